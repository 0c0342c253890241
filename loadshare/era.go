package loadshare

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// eraTarget stands in the list of loads for the era of the store in which the offsets of a message were
// given out. Daemons of earlier releases ignore the load of a target that they do not know, and have no
// other part of a message that may be extended.
const eraTarget = 0x5f9d3c1be2a74806

const (
	// minListSpread, maxListSpread and listSpreadPerPeer determine the time over which the daemons spread
	// their lists after a return of the store, so that a large fleet does not make all of them within one
	// second.
	minListSpread     = 500 * time.Millisecond
	maxListSpread     = 2 * time.Second
	listSpreadPerPeer = 20 * time.Millisecond
	// refutedTime is how long an era that the store has refuted is not taken from messages again.
	refutedTime = 10 * time.Second
)

// eraTracker tracks the newest era of the store that this daemon knows of, from the store itself or from
// messages of other daemons. It is safe for concurrent use.
type eraTracker struct {
	newest   atomic.Int64 // types.Era
	returned atomic.Bool  // the era has changed since the start of this daemon

	mu        sync.Mutex // serialises writers
	confirmed types.Era  // stated by the store
	// toldAt is the time at which a message stated newest, if that is later than confirmed.
	toldAt clock.Instant
	// refuted is the latest era that a message stated and the store refuted, at refutedAt.
	refuted   types.Era
	refutedAt clock.Instant
}

func (t *eraTracker) load() types.Era { return types.Era(t.newest.Load()) }

// confirm records an era that the store has stated, and reports whether it is newer than the known one.
func (t *eraTracker) confirm(era types.Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = max(t.confirmed, era)
	return t.raise(era)
}

// hear records an era that a message of another daemon states, and reports whether it is newer than the
// known one.
func (t *eraTracker) hear(era types.Era, now clock.Instant) bool {
	if era <= t.load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.refuted && now.Sub(t.refutedAt) < refutedTime || !t.raise(era) {
		return false
	}
	t.toldAt = now
	return true
}

// raise sets the newest era. The caller holds t.mu.
func (t *eraTracker) raise(era types.Era) bool {
	old := t.load()
	if era <= old {
		return false
	}
	if old != 0 {
		t.returned.Store(true)
	}
	t.newest.Store(int64(era))
	return true
}

// listed records the era of a list that the store has begun to answer at the given time or later. It
// takes back a later era that was only stated by messages before.
func (t *eraTracker) listed(era types.Era, asOf, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest := t.load(); newest > max(era, t.confirmed) && asOf > t.toldAt {
		t.refuted, t.refutedAt = newest, now
		t.newest.Store(int64(max(era, t.confirmed)))
	}
}

// Era returns the newest known era of the store, or 0.
func (e *Exchanger) Era() types.Era { return e.eras.load() }

// StoreReturned reports whether the store is known to have returned from an older copy since this daemon
// started.
func (e *Exchanger) StoreReturned() bool { return e.eras.returned.Load() }

// ObserveEra records an era that the store has stated to this daemon.
func (e *Exchanger) ObserveEra(era types.Era) {
	if e.eras.confirm(era) {
		e.expectLists(era, 0)
	}
}

// HandleEras sets a function that is called with each newer era, and with the daemon whose message states
// it, empty if the store does. It must be set before Run and must not block.
func (e *Exchanger) HandleEras(f func(era types.Era, source types.VMID)) { e.eraHandler = f }

// expectLists makes this daemon list all feeds again, each at a random time, because the store or the peer
// with the given hash has stated a newer era.
func (e *Exchanger) expectLists(era types.Era, source uint64) {
	e.eraHandler(era, e.peers.Load().name(source))
	spread := min(max(minListSpread, time.Duration(e.peers.Load().len())*listSpreadPerPeer), maxListSpread)
	for _, f := range e.feeds {
		f.expectList(rand.N(spread))
	}
}

// acceptOffsets records a newer era that a message states, and reports whether its offsets are known to be
// of that era, or of the only one so far. Daemons of earlier releases state none: their offsets count as
// long as this daemon has seen no return of the store, after which they may be of any era.
func (e *Exchanger) acceptOffsets(m *message, at clock.Instant) bool {
	if e.eras.hear(m.era, at) {
		e.expectLists(m.era, m.sender)
	}
	return m.era != 0 || !e.eras.returned.Load()
}
