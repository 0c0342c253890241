package loadshare

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
)

// peerState is the state that was received from another daemon.
type peerState struct {
	start, seq   uint64
	lastReceived time.Time
	applied      map[uint64]appliedWork
	// active holds the targets with work in progress in applied.
	active map[uint64]struct{}
	demand map[uint64]demand.Work // by service hash
	// carries reports whether the daemon accepts requests of others.
	carries bool
	// requests is the sum of the requests in progress in applied.
	requests atomic.Int64
}

// appliedWork is the work of a peer that was added to load. A target that restarts gets a new
// Load, to which nothing was added yet.
type appliedWork struct {
	load *directory.Load
	work directory.Work
}

// apply applies the reported load of a target and returns the prompt parts that it has used.
func (p *peerState) apply(load *directory.Load, reported *targetLoad, now time.Time) []directory.Part {
	load.Limit.Charge(p.newlySent(load, reported), clock.Nanos(now))
	p.set(load, reported.target, reported.work)
	if reported.stalled {
		load.PauseUntil(now.Add(suspectPause))
	}
	if len(reported.parts) == 0 {
		return nil
	}
	parts := make([]directory.Part, len(reported.parts))
	for k, key := range reported.parts {
		parts[k].Key = key
	}
	load.RecordPeerParts(parts)
	return parts
}

// newlySent returns how many requests the daemon has sent to a target since its last message. Of
// a target on which this daemon knows no work of it, one counts: the total may be of long ago.
func (p *peerState) newlySent(load *directory.Load, reported *targetLoad) int64 {
	if old := p.applied[reported.target]; old.load == load {
		return reported.work.Sent - old.work.Sent
	}
	return min(reported.work.Sent, 1)
}

// set replaces the work of the daemon on a target.
func (p *peerState) set(load *directory.Load, target uint64, w directory.Work) {
	old := p.applied[target]
	p.requests.Add(w.Requests - old.work.Requests)
	if old.load != load {
		old = appliedWork{load: load}
	}
	load.Peers.Add(w.Minus(old.work))
	p.applied[target] = appliedWork{load, w}
	if w.InProgress() == (directory.Work{}) {
		delete(p.active, target)
	} else {
		p.active[target] = struct{}{}
	}
}

// endUnlisted ends the work on all targets that a full state does not list: the message that
// reported its end was lost.
func (p *peerState) endUnlisted(loads []targetLoad) {
	for target := range p.active {
		if !slices.ContainsFunc(loads, func(l targetLoad) bool { return l.target == target }) {
			a := p.applied[target]
			p.set(a.load, target, a.work.Totals())
		}
	}
}

// endRemoved ends the work on targets that are no longer registered, of which no message reports
// the end.
func (p *peerState) endRemoved(s *directory.Snapshot) {
	for target := range p.active {
		a := p.applied[target]
		if t := s.ByHash(target); t == nil || t.Load != a.load {
			p.set(a.load, target, a.work.Totals())
		}
	}
}

// retract removes the unfinished work of the daemon from the targets.
func (p *peerState) retract() {
	if p == nil {
		return
	}
	for _, t := range p.applied {
		t.load.Peers.Add(directory.Work{}.Minus(t.work.InProgress()))
	}
}
