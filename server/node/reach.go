package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/reach"
)

// Results of probes, as counted by lentilpick_link_probes.
const (
	probeConnected = iota
	probeRefused
	probeTimedOut
)

var probeResultNames = []string{probeConnected: "connected", probeRefused: "refused", probeTimedOut: "timed_out"}

const (
	fieldFailed  = "failed"
	fieldTargets = "targets"
	// maxProbes bounds the probes in progress.
	maxProbes = 8
	// maxReferences is the number of targets that are compared with one that cannot be reached.
	maxReferences = 3
)

// targetLink probes targets to find out whether this node has lost its link to them.
type targetLink struct {
	*reach.Tracker
	log       *logrus.Entry
	directory *directory.Directory
	// probe opens a connection to a target.
	probe func(*directory.Target, time.Duration) error
	// closeIdle closes the idle connections to all targets.
	closeIdle func()
	// abandonDials ends the dials in progress, and notify publishes a change to the other nodes.
	abandonDials, notify func()

	now    func() clock.Instant
	pool   *ants.Pool
	probes *daemon.ReasonCounter
	losses metric.Int64Counter
	// timedOut is set if a probe of the last round has timed out. It is used by run, which causes each
	// loss.
	timedOut bool
}

func newTargetLink(log *logrus.Entry, m *daemon.Metrics, d *directory.Directory) (*targetLink, error) {
	l := &targetLink{log: log, directory: d, now: clock.Now, abandonDials: func() {}, notify: func() {}}
	l.Tracker = reach.New(reach.Settings{Changed: l.changed})
	var err error
	if l.probes, err = m.NewReasonCounter("lentilpick_link_probes", "New connections that test the link to the targets, by result.", probeResultNames); err != nil {
		return nil, err
	}
	if l.losses, err = m.Meter.Int64Counter("lentilpick_link_losses", metric.WithDescription("Times that this node has lost its link to the targets.")); err != nil {
		return nil, err
	}
	if l.pool, err = ants.NewPool(maxProbes, ants.WithDisablePurge(true)); err != nil {
		return nil, err
	}
	return l, m.Gauge("lentilpick_targets_lost", "1 while this node has lost its link to the targets.", func() int64 {
		if l.Lost() {
			return 1
		}
		return 0
	})
}

// observeLink begins to observe the connections to targets.
func (n *Node) observeLink() (err error) {
	if n.link, err = newTargetLink(n.log, n.metrics, n.directory); err != nil {
		return err
	}
	n.link.probe, n.link.closeIdle, n.link.abandonDials = n.targets.Probe, n.targets.CloseIdle, n.targets.AbandonDials
	n.link.notify = n.exchanger.NotifyCarrying
	n.targets.ObserveLink(n.link)
	n.crashes.linkExplains = n.link.explains
	return nil
}

// run probes targets when the tracker asks for it, until ctx ends.
func (l *targetLink) run(ctx context.Context) {
	defer l.pool.Release()
	for ctx.Err() == nil {
		targets, candidates := l.candidates(nil)
		r := l.Next(l.now(), len(candidates))
		if r.Probes == 0 {
			l.wait(ctx, r.Next)
			continue
		}
		failed, timedOut := l.probeAll(targets, candidates, r.Probes)
		l.timedOut = timedOut
		l.Finish(r, failed, l.now())
	}
}

// wait returns at the given time, if it is not 0, when the tracker has news, or when ctx ends.
func (l *targetLink) wait(ctx context.Context, until clock.Instant) {
	var due <-chan time.Time
	if until != 0 {
		timer := time.NewTimer(until.Sub(l.now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-l.Wake():
	case <-due:
	}
}

// explains reports whether a target that cannot be reached may be sound: the link is lost, or no
// other target of its data centre can be reached either, or none at all if it is alone there. It
// opens up to maxReferences connections, one after the other. Without another target it returns
// false.
func (l *targetLink) explains(t *directory.Target) bool {
	if l.Lost() {
		return true
	}
	targets, candidates := l.candidates(func(o *directory.Target) bool { return o.Hash != t.Hash && o.DataCentre == t.DataCentre })
	if len(targets) == 0 {
		targets, candidates = l.candidates(func(o *directory.Target) bool { return o.Hash != t.Hash })
	}
	for _, i := range reach.Pick(candidates, maxReferences, rand.Uint64()) {
		if l.probe(targets[i], reach.ProbeTimeout) == nil {
			l.probes.Add(probeConnected)
			return false
		}
	}
	return len(targets) > 0
}

// candidates returns the targets that accept returns true for and that are not leaving. A nil accept
// accepts all.
func (l *targetLink) candidates(accept func(*directory.Target) bool) (targets []*directory.Target, candidates []reach.Candidate) {
	now := time.Now()
	l.directory.Load().All(func(t *directory.Target) {
		if t.Leaving() || accept != nil && !accept(t) {
			return
		}
		targets = append(targets, t)
		candidates = append(candidates, reach.Candidate{
			Target: t.Hash, Service: t.Service, DataCentre: t.DataCentre, Failing: t.Load.Failing() || !t.Usable(now),
		})
	})
	return targets, candidates
}

// probeAll probes n of the targets at the same time and returns how many have failed, and whether
// one of them has timed out.
func (l *targetLink) probeAll(targets []*directory.Target, candidates []reach.Candidate, n int) (failed int, timedOut bool) {
	picked := reach.Pick(candidates, n, rand.Uint64())
	results := make(chan error, len(picked))
	for _, i := range picked {
		if err := l.pool.Submit(func() { results <- l.probe(targets[i], reach.ProbeTimeout) }); err != nil {
			results <- nil // the pool is closed: the node is stopping
		}
	}
	for range picked {
		switch err := <-results; {
		case err == nil:
			l.probes.Add(probeConnected)
			continue
		case isTimeout(err):
			timedOut = true
			l.probes.Add(probeTimedOut)
		default:
			l.probes.Add(probeRefused)
		}
		failed++
	}
	return failed, timedOut
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// changed implements reach.Settings.Changed.
func (l *targetLink) changed(c reach.Change) {
	l.notify()
	if c.Lost {
		// Their requests go through other nodes now.
		l.abandonDials()
		l.losses.Add(context.Background(), 1)
		l.log.WithFields(logrus.Fields{fieldFailed: c.Failed, fieldTargets: l.directory.Load().Len(), "timed_out": l.timedOut}).Warn("link to the targets lost")
		if l.timedOut {
			// Their targets may have closed them before the link works again.
			go l.closeIdle()
		}
		return
	}
	now := time.Now()
	l.directory.Load().All(func(t *directory.Target) { t.Load.ForgetFailures(now) })
	l.log.WithField(fieldElapsed, millis(c.Duration)).Info("link to the targets works again")
}
