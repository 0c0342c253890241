// Package reach tells a node that has lost its link to the targets from targets that have failed.
// It answers one load: a partition between one node and all targets, while callers, the store and
// the other nodes still reach the node. What a single target does says nothing about the link, so
// the link counts as lost only when new connections to several targets, chosen over services and
// data centres, fail together.
//
// Failures of requests only start a round of probes; the result of the round decides. A round
// begins and ends within a bounded time, so that dials from before a suspension of the machine,
// whose timers expire together after it, are no evidence. The package performs no I/O and takes all
// clock readings as arguments.
package reach

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

const (
	// ProbeTimeout bounds a probe: several round trips between regions.
	ProbeTimeout = 250 * time.Millisecond
	// roundProbes is the number of targets of a round that decides whether the link is lost.
	roundProbes = 4
	// minFailed is the number of distinct targets that have to fail for the link to be lost, or all
	// if the node knows fewer.
	minFailed = 3
	// minKnown is the number of known targets from which on the link can be lost. A single target
	// that fails cannot be told from a lost link.
	minKnown = 2
	// lateness is the time after the time-out of its probes at which a round still counts. At most
	// maxRepeated rounds are repeated because they ended later, so that a machine that is always late
	// decides as well.
	lateness    = 100 * time.Millisecond
	maxRepeated = 3
	// connectedTime is how long a new connection shows that the link works.
	connectedTime = 100 * time.Millisecond
	// roundInterval is the minimum time from one round to the next, and excusedInterval the same if
	// only excused targets fail.
	roundInterval   = 500 * time.Millisecond
	excusedInterval = 2 * time.Second
	// excuseTime is how long the failures of a target count as its own after a round that found the
	// link working.
	excuseTime = 4 * time.Second

	// lostProbes is the number of probes of a round while the link is lost, and the number of
	// distinct targets that have to connect to end it.
	lostProbes = 2
	// minLostInterval and maxLostInterval bound the time between these rounds. It is the time since
	// the loss divided by lostIntervalDivisor.
	minLostInterval     = 250 * time.Millisecond
	maxLostInterval     = time.Second
	lostIntervalDivisor = 4
	// A link that is lost again within relapseTime counts as lost for minHold at least, and for
	// twice the time with each further loss, up to maxHold.
	relapseTime = 10 * time.Second
	minHold     = time.Second
	maxHold     = 4 * time.Second
)

// Change is a loss of the link, or its end.
type Change struct {
	Lost bool
	At   clock.Instant
	// Failed is the number of targets of the round that found the link lost.
	Failed int
	// Duration is the time for which the link was lost, at its end.
	Duration time.Duration
}

// Settings configure a Tracker.
type Settings struct {
	// Changed, if not nil, is called for each change, one after the other. It must not block, and of
	// the methods of the Tracker it may call Lost only.
	Changed func(Change)
}

// Tracker decides whether a node has lost its link to all targets. It is safe for concurrent use,
// except that Next and Finish are called by one goroutine in turn. Lost, and RecordConnected while
// nothing fails, take no locks.
type Tracker struct {
	settings Settings
	lost     atomic.Bool
	// unresolved is set while the link is lost or evidence waits for a round.
	unresolved    atomic.Bool
	doubt         atomic.Bool  // the link is lost or may be lost
	lastConnected atomic.Int64 // as an Instant, 0 before the first connection
	wake          chan struct{}

	mu sync.Mutex
	// failing are the targets with evidence since the last new connection or round.
	failing map[uint64]struct{}
	// excused holds the time until which the failures of a target count as its own.
	excused map[uint64]clock.Instant
	// nextRound and nextExcusedRound are the earliest times of the next round, the latter if only
	// excused targets fail.
	nextRound, nextExcusedRound clock.Instant
	repeated                    int // rounds in succession that ended too late

	// connected are the targets that connected while the link is lost.
	connected map[uint64]struct{}
	needed    int // distinct targets that have to connect
	lostSince clock.Instant
	lostUntil clock.Instant // earliest end of the loss
	nextProbe clock.Instant
	confirm   bool // the next round follows a success and is not delayed
	endedAt   clock.Instant
	hold      time.Duration
}

// New returns a Tracker of a link that works.
func New(s Settings) *Tracker {
	return &Tracker{
		settings: s, wake: make(chan struct{}, 1),
		failing: map[uint64]struct{}{}, excused: map[uint64]clock.Instant{}, connected: map[uint64]struct{}{},
	}
}

// Lost reports whether the node has lost its link to the targets.
func (t *Tracker) Lost() bool { return t.lost.Load() }

// InDoubt reports whether the link is lost, or targets have failed and no new connection and no
// round has shown since that it works. The failure of a target is no evidence against it then.
func (t *Tracker) InDoubt() bool { return t.doubt.Load() }

// ConnectedSince reports whether a new connection was established at the given time or later.
func (t *Tracker) ConnectedSince(at clock.Instant) bool {
	c := clock.Instant(t.lastConnected.Load())
	return c != 0 && c >= at
}

// Wake returns the channel that receives a value when Next may return an earlier time than before.
func (t *Tracker) Wake() <-chan struct{} { return t.wake }

// RecordConnected records that a new connection to a target was established.
func (t *Tracker) RecordConnected(target uint64, now clock.Instant) {
	for {
		old := t.lastConnected.Load()
		if old >= int64(now) || t.lastConnected.CompareAndSwap(old, int64(now)) {
			break
		}
	}
	if !t.unresolved.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.excused, target)
	if !t.lost.Load() {
		t.resolve()
		return
	}
	if now < t.lostUntil {
		return
	}
	t.connected[target] = struct{}{}
	if len(t.connected) >= t.needed {
		t.end(now)
	}
}

// RecordUnreachable records that a new connection to a target was refused, reset or timed out.
func (t *Tracker) RecordUnreachable(target uint64, now clock.Instant) { t.recordFailure(target, now) }

// RecordSuspicion records weaker evidence of a lost link: an established connection was reset or
// does not acknowledge data, or a dial takes long.
func (t *Tracker) RecordSuspicion(target uint64, now clock.Instant) { t.recordFailure(target, now) }

func (t *Tracker) recordFailure(target uint64, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost.Load() {
		return
	}
	before := len(t.failing)
	t.failing[target] = struct{}{}
	t.unresolved.Store(true)
	excused := now < t.excused[target]
	if !excused && !t.doubt.Swap(true) || before == 0 {
		t.signal()
	}
}

func (t *Tracker) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Round is what the caller of Next has to do.
type Round struct {
	// Probes is the number of distinct targets to which the caller opens new connections now, with
	// ProbeTimeout, and whose results it passes to RecordConnected and RecordUnreachable and then to
	// Finish. With 0 it calls Next again at Next, or when Wake receives a value.
	Probes int
	// Next is 0 if there is no such time.
	Next clock.Instant

	began   clock.Instant
	failing []uint64 // the targets whose failures the round explains
	known   int
	confirm bool
}

// Next returns the next round of probes. known is the number of targets that can be probed.
func (t *Tracker) Next(now clock.Instant, known int) Round {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost.Load() {
		if known == 0 {
			t.end(now) // nothing is left to be reached
			return Round{}
		}
		t.needed = min(lostProbes, known)
		if now < t.nextProbe {
			return Round{Next: t.nextProbe}
		}
		return Round{Probes: t.needed, began: now, known: known, confirm: t.confirm}
	}
	if len(t.failing) == 0 {
		return Round{}
	}
	if known < minKnown {
		t.resolve()
		return Round{}
	}
	due := t.nextExcusedRound
	if t.doubt.Load() {
		due = t.nextRound
	}
	if c := clock.Instant(t.lastConnected.Load()); c != 0 {
		due = max(due, c.Add(connectedTime))
	}
	if now < due {
		return Round{Next: due}
	}
	return Round{Probes: min(roundProbes, known), began: now, known: known, failing: slices.Collect(maps.Keys(t.failing))}
}

// Finish records the end of a round, of whose probes the given number has failed.
func (t *Tracker) Finish(r Round, failed int, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost.Load() {
		t.finishLost(r, failed, now)
		return
	}
	late := now.Sub(r.began) > ProbeTimeout+lateness
	t.nextRound, t.nextExcusedRound = now.Add(roundInterval), now.Add(excusedInterval)
	switch {
	case failed < r.Probes:
		t.excuse(r.failing, now)
		t.resolve()
	case t.ConnectedSince(r.began):
		// The link may have been lost during the round, so that the next evidence is not delayed.
		t.nextRound, t.nextExcusedRound = now, now
		t.resolve()
	case late && t.repeated < maxRepeated:
		t.repeated++
		t.nextRound, t.nextExcusedRound = now, now
	case failed >= min(minFailed, r.known):
		t.begin(failed, now)
	}
}

// resolve discards the evidence because the link works.
func (t *Tracker) resolve() {
	clear(t.failing)
	t.repeated = 0
	t.doubt.Store(false)
	t.unresolved.Store(false)
}

// excuse attributes the evidence to the targets themselves.
func (t *Tracker) excuse(failing []uint64, now clock.Instant) {
	for target, until := range t.excused {
		if until <= now {
			delete(t.excused, target)
		}
	}
	for _, target := range failing {
		t.excused[target] = now.Add(excuseTime)
	}
}

func (t *Tracker) begin(failed int, now clock.Instant) {
	t.resolve()
	clear(t.excused)
	if t.endedAt != 0 && now.Sub(t.endedAt) < relapseTime {
		t.hold = min(max(2*t.hold, minHold), maxHold)
	} else {
		t.hold = 0
	}
	t.lostSince, t.lostUntil = now, now.Add(t.hold)
	t.nextProbe, t.confirm, t.needed = max(now.Add(minLostInterval), t.lostUntil), false, lostProbes
	clear(t.connected)
	t.unresolved.Store(true)
	t.doubt.Store(true)
	t.lost.Store(true)
	t.changed(Change{Lost: true, At: now, Failed: failed})
}

func (t *Tracker) end(now clock.Instant) {
	t.endedAt = now
	clear(t.connected)
	t.nextRound, t.nextExcusedRound = now, now
	t.lost.Store(false)
	t.resolve()
	t.changed(Change{At: now, Duration: now.Sub(t.lostSince)})
	t.signal()
}

// finishLost schedules the next round while the link is lost. The first success is followed by
// another round at once, and forgotten after a round without one.
func (t *Tracker) finishLost(r Round, failed int, now clock.Instant) {
	if failed >= r.Probes {
		clear(t.connected)
	}
	t.confirm = len(t.connected) > 0 && !r.confirm
	if t.confirm {
		t.nextProbe = now
		return
	}
	t.nextProbe = now.Add(min(max(now.Sub(t.lostSince)/lostIntervalDivisor, minLostInterval), maxLostInterval))
}

func (t *Tracker) changed(c Change) {
	if t.settings.Changed != nil {
		t.settings.Changed(c)
	}
}
