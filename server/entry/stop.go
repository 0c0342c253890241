package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// stopGracePeriod is how long connections stay open after a stop begins. In this time, callers that
	// reuse a connection get a refusal instead of a closed connection, and the load balancer notices
	// that the daemon is not ready.
	stopGracePeriod = time.Second
	// maxOutcomeReserve bounds the part of the stop timeout that is left for the outcomes of the requests
	// that it ends: they are written to the callers, and the ends of keyed requests are recorded. A record
	// takes two batch periods of the control daemons, and a second attempt another finishRetryInterval.
	maxOutcomeReserve = 2 * time.Second
)

// errStopped ends a dispatch that is in progress, or about to begin, at the end of a stop.
var errStopped = errors.New("the daemon has stopped")

func (d *Daemon) isStopping() bool { return d.lifecycle.Schedule() != nil }

// mayBegin reports whether a request may be sent to a target now. During a stop, one of which nothing has
// been sent is refused unless it can end in time; one that may have run gains nothing from a refusal and
// goes on until the end of the stop.
func (d *Daemon) mayBegin(a *types.Attempt, s types.ServiceID, deadline time.Time) bool {
	return !d.isStopping() || a.Sent() || d.lifecycle.Allows(time.Now(), deadline, d.durations.Route(string(s)))
}

func (d *Daemon) recordDuration(s types.ServiceID, arrived time.Time) {
	p := d.durations.Route(string(s)).Begin()
	p.End(time.Since(arrived))
}

// outcomeReserve returns the part of a stop timeout in which no request is in progress any more.
func outcomeReserve(stopTimeout time.Duration) time.Duration {
	return min(maxOutcomeReserve, stopTimeout/5)
}

// stop refuses new requests with the outcome not run, and waits for the requests in progress to finish.
// Those that have not finished shortly before the stop timeout get their outcome then. The error, which is
// logged, reports that connections are open at the stop timeout.
func (d *Daemon) stop(server *callerServer) error {
	timeout := d.settings.StopTimeout
	began := time.Now()
	end := began.Add(timeout - outcomeReserve(timeout))
	d.lifecycle.Begin(shutdown.Schedule{Began: began, AcceptUntil: end, End: end})
	d.log.WithField("in_flight", d.admission.InFlight()).Info("stopping")
	defer time.AfterFunc(time.Until(end), func() {
		d.endRequests()
		server.EndReads()
	}).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(timeout))
	defer cancel()
	time.Sleep(min(stopGracePeriod, timeout/2))
	err := server.Shutdown(ctx, outcomeReserve(timeout)/2)
	defer context.AfterFunc(ctx, d.stopRecording)()
	d.pendingFinishes.Wait()
	l := d.log.WithFields(logrus.Fields{
		"refused": d.counters.stopRefused.Load(), "ended": d.counters.stopEnded.Load(), "elapsed_ms": time.Since(began).Milliseconds(),
	})
	if err != nil {
		l.WithError(err).Warn("stopped with open connections")
		return err
	}
	l.Info("stopped")
	return nil
}

// logEnded logs a request that the end of a stop has ended, if it may have run.
func (d *Daemon) logEnded(id types.RequestID, o types.Outcome) {
	if _, ok := o.(types.Unknown); ok {
		d.log.WithField(daemon.FieldRequest, id).Warn("request ended by the stop; it may have run")
	}
}
