package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// readinessDrainTime is how long a stopping node still accepts connections: the platform sends
	// new ones until two readiness checks, 1 s apart, have failed, plus a margin.
	readinessDrainTime = 2500 * time.Millisecond
	// stopMargin is the time between the end of the graceful stop and the platform's SIGKILL.
	stopMargin = 500 * time.Millisecond
)

// Field names of log lines about a planned stop.
const (
	// fieldSinceStop is the time from the request of the stop to the arrival of a request,
	// negative if that arrived before.
	fieldSinceStop = "since_stop_ms"
	// fieldGraceLeft is the rest of the stop at the end of a request.
	fieldGraceLeft  = "grace_left_ms"
	fieldInProgress = "in_progress"
)

// stop shuts the node down: it fails its readiness checks so that the platform sends no new
// connections, then closes idle connections, and the others after their responses.
func (n *Node) stop(listeners ...net.Listener) {
	began := time.Now()
	end := began.Add(n.machine.StopGracePeriod - stopMargin)
	n.shutdown.Begin(shutdown.Schedule{Began: began, AcceptUntil: began.Add(readinessDrainTime), End: end})
	n.log.WithFields(logrus.Fields{fieldInProgress: n.front.InFlight(), fieldGraceLeft: millis(end.Sub(began))}).Info("stopping")
	n.exchanger.NotifyCarrying()
	n.front.DisableKeepAlive()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var unregistered sync.WaitGroup
	unregistered.Go(func() { unregisterMember(n.store, n.self()) })
	daemon.Sleep(ctx, readinessDrainTime)
	n.front.Stop(ctx)
	for _, l := range listeners {
		_ = l.Close()
	}
	unregistered.Wait()
	n.log.WithFields(n.stopped.fields()).WithFields(logrus.Fields{
		fieldInProgress: n.front.InFlight(), fieldGraceLeft: millis(time.Until(end)),
	}).Info("stopped")
}

// stopTally counts the requests that end during a planned stop. It is safe for concurrent use.
type stopTally struct {
	counts [stopOutcomeCount]atomic.Int64
}

// stopOutcome is the end of a request during a planned stop.
type stopOutcome uint8

// Ends of requests that arrived before the stop, and of those that arrived since, in the same
// order as stopOutcomeNames.
const (
	earlierAnswered stopOutcome = iota
	earlierRefused
	earlierFailed
	laterAnswered
	laterRefused
	laterFailed
	stopOutcomeCount
)

var stopOutcomeNames = [stopOutcomeCount]string{
	"earlier_answered", "earlier_refused", "earlier_failed", "later_answered", "later_refused", "later_failed",
}

// stopOutcomeOf classifies a request that arrived at the given time.
func stopOutcomeOf(arrived, stopBegan time.Time, o types.Outcome) stopOutcome {
	end := earlierAnswered
	switch o.(type) {
	case types.NotRun:
		end = earlierRefused
	case types.Unknown:
		end = earlierFailed
	}
	if !arrived.Before(stopBegan) {
		end += laterAnswered - earlierAnswered
	}
	return end
}

func (t *stopTally) add(o stopOutcome) { t.counts[o].Add(1) }

// fields returns the counts as fields of a log line.
func (t *stopTally) fields() logrus.Fields {
	f := logrus.Fields{}
	for i, name := range stopOutcomeNames {
		f[name] = t.counts[i].Load()
	}
	return f
}

// observeStop counts a request that ended during a planned stop and returns its log fields. It
// returns nil while the node serves.
func (o *observer) observeStop(e *gateway.Event) logrus.Fields {
	x := o.shutdown.Schedule()
	if x == nil {
		return nil
	}
	end := stopOutcomeOf(e.Request.Arrived, x.Began, e.Outcome)
	o.stopped.add(end)
	o.counters.stopping.Add(int(end))
	return logrus.Fields{
		fieldSinceStop: millis(e.Request.Arrived.Sub(x.Began)),
		fieldGraceLeft: millis(x.End.Sub(e.Request.Arrived.Add(e.Elapsed))),
	}
}
