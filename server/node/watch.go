package node

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

const (
	watchInterval = 200 * time.Millisecond
	// decodeProgressTimeout is how long a decode engine may make no progress: several times the
	// longest interval between events of a stream in the deployment. Most intervals are much
	// shorter.
	decodeProgressTimeout = 600 * time.Millisecond
	// prefillProgressTimeout is the same for prefill engines. The longest prompt of the deployment
	// takes about 1.2 s.
	prefillProgressTimeout = 1500 * time.Millisecond
	// plainProgressTimeout is the same for plain services, whose requests usually take 15 ms.
	plainProgressTimeout = 400 * time.Millisecond
	// suspicionTime is how long a stalled target gets no new requests.
	suspicionTime = 700 * time.Millisecond
	// minSilentTogether is the number of targets whose silence at the same time may be due to the
	// link of this node.
	minSilentTogether = 2
)

// watchTargets takes targets out of use while they make no progress on requests of this node, and
// removes targets that have not registered again after an outage of the store.
func (n *Node) watchTargets(ctx context.Context) {
	w := progressWatcher{log: n.log, directory: n.directory, link: n.link, notify: n.exchanger.NotifyLoadChange}
	for daemon.Sleep(ctx, watchInterval) {
		w.check(time.Now())
	}
}

// linkState tells targets that have failed from a lost link to all of them.
type linkState interface {
	// InDoubt reports whether the link is lost or may be lost.
	InDoubt() bool
	RecordSuspicion(target uint64, now clock.Instant)
}

// progressWatcher checks all targets for progress. While the link of this node to the targets is in
// doubt, a silent target is paused on this node only.
type progressWatcher struct {
	log       *logrus.Entry
	directory *directory.Directory
	link      linkState
	// notify publishes the changed load of a target to the other nodes.
	notify func(*directory.Target)
}

func (w *progressWatcher) check(now time.Time) {
	// A node that gets its updates from others may not read the store for some time, so the end
	// of the grace period is checked here.
	logChanges(w.log, w.directory.Expire(now))
	w.checkLink(now)
	w.directory.Load().All(func(t *directory.Target) {
		suspected, limit := t.Load.Suspected(), progressTimeout(t)
		if w.link.InDoubt() && t.Load.Stalled(now, limit) {
			t.Load.PauseUntil(now.Add(suspicionTime))
			limit = math.MaxInt64 // only suspensions count
		}
		if !t.Load.CheckActivity(now, limit, suspicionTime) {
			return
		}
		w.notify(t)
		if !suspected {
			w.log.WithField(daemon.FieldTarget, t.ID).WithField(daemon.FieldService, t.Service).Warn("target is silent")
		}
	})
}

// checkLink records a suspicion if several targets become silent together. One that is slow is usual
// and costs no probes.
func (w *progressWatcher) checkLink(now time.Time) {
	var silent []uint64
	w.directory.Load().All(func(t *directory.Target) {
		if !t.Load.Suspected() && t.Load.Stalled(now, progressTimeout(t)) {
			silent = append(silent, t.Hash)
		}
	})
	if len(silent) < minSilentTogether {
		return
	}
	for _, hash := range silent {
		w.link.RecordSuspicion(hash, clock.Now())
	}
}

func progressTimeout(t *directory.Target) time.Duration {
	switch t.Role {
	case types.RolePrefill:
		return prefillProgressTimeout
	case types.RoleDecode:
		return decodeProgressTimeout
	}
	return plainProgressTimeout
}
