// Package authority decides which control daemon of a data centre may give
// orders to its targets. The decision follows from the order of records in the
// data centre's lease stream alone. The package performs no I/O and does not
// encode messages.
package authority

import (
	"errors"
	"fmt"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrGap reports that lease records before the given offset are missing.
var ErrGap = errors.New("lease records are missing before this offset")

// Kind is the kind of a lease record.
type Kind string

// Kinds of lease record.
const (
	KindClaim   Kind = "claim"
	KindRenew   Kind = "renew"
	KindRelease Kind = "release"
)

// Holder identifies one run of one control daemon. A restarted daemon is
// another holder.
type Holder struct {
	VM          types.VMID `json:"vm"`
	Incarnation string     `json:"incarnation"`
}

// Record is one decoded record of the lease stream.
type Record struct {
	Kind   Kind   `json:"kind"`
	Holder Holder `json:"holder"`
	// Term grows by one with each valid claim.
	Term uint64 `json:"term"`
	// Previous is, for a claim, the offset of the last record that the claimant
	// had read, -1 for an empty stream.
	Previous types.Offset `json:"previous"`
	// Attempt identifies the append, so that its sender recognises it.
	Attempt uint64 `json:"attempt"`
}

// Settings of the lease.
type Settings struct {
	Self Holder
	// Duration is the time for which a claim or renewal holds.
	Duration time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// Margin is added to Duration by claimants. It covers the difference in
	// clock rates over one Duration.
	Margin time.Duration
	// Quarantine is the time after which the earlier holder of a lease that was
	// not released is taken to have no order under way, for targets that do not
	// check fencing numbers.
	Quarantine time.Duration
}

// ClockRateError is the largest assumed difference between the rates of two
// monotonic clocks: 500 parts per million, the limit to which NTP slews.
const ClockRateError = 500e-6

// MarginFor returns the default margin for a lease duration: the clock-rate
// error over the duration plus 100 ms for timer granularity.
func MarginFor(d time.Duration) time.Duration {
	return time.Duration(float64(d)*ClockRateError) + 100*time.Millisecond
}

// Lease is the lease state machine of one data centre as one daemon sees it.
// It is not safe for concurrent use. All times must carry the monotonic clock
// reading of the same process.
type Lease struct {
	settings Settings
	next     types.Offset
	holder   Holder
	term     uint64
	fence    types.FencingNumber
	// free says that the lease was released or was never claimed.
	free bool
	// readAt is when the last valid claim or renewal was read.
	readAt time.Time
	// prior and priorReleased describe the holder before the current one.
	prior         Holder
	priorReleased bool
	claimedAt     time.Time
	// sent holds the send time of own records that have not been read back.
	sent        map[uint64]time.Time
	nextAttempt uint64
	until       time.Time
	lastSend    time.Time
}

// NewLease returns the state at the beginning of the stream. A daemon that
// starts at now waits at least one lease duration before its first claim,
// unless it reads that the lease is free.
func NewLease(s Settings, now time.Time) *Lease {
	return &Lease{settings: s, free: true, readAt: now, sent: map[uint64]time.Time{}}
}

// NextOffset returns the offset of the next record to read.
func (l *Lease) NextOffset() types.Offset { return l.next }

// Holder returns the current holder and its fencing number; ok is false while
// the lease is free.
func (l *Lease) Holder() (h Holder, f types.FencingNumber, ok bool) {
	return l.holder, l.fence, !l.free
}

// Observe folds the record at offset o, read at now. A nil record could not be
// decoded; it counts as a record that lies between others. The error wraps
// ErrGap when records are missing.
func (l *Lease) Observe(o types.Offset, r *Record, now time.Time) error {
	if o < l.next {
		return nil
	}
	if o > l.next {
		return fmt.Errorf("next is %d, got %d: %w", l.next, o, ErrGap)
	}
	previous := l.next - 1
	l.next = o + 1
	if r == nil {
		return nil
	}
	switch r.Kind {
	case KindClaim:
		l.observeClaim(o, previous, r, now)
	case KindRenew:
		l.observeRenew(r, now)
	case KindRelease:
		l.observeRelease(r, now)
	}
	if r.Holder == l.settings.Self {
		delete(l.sent, r.Attempt)
	}
	return nil
}

// Restart drops what is known of the stream because records before oldest have
// expired. The daemon then waits a full lease from now before it claims.
func (l *Lease) Restart(oldest types.Offset, now time.Time) {
	l.next = oldest
	l.free = false
	l.holder = Holder{}
	l.readAt = now
	l.until = time.Time{}
}

func (l *Lease) observeClaim(o, previous types.Offset, r *Record, now time.Time) {
	if r.Previous != previous {
		return
	}
	l.prior, l.priorReleased = l.holder, l.free
	l.holder, l.term = r.Holder, r.Term
	l.fence = types.FencingNumber(o) + 1
	l.free = false
	l.readAt, l.claimedAt = now, now
	l.until = time.Time{}
	l.extendOwn(r)
}

func (l *Lease) observeRenew(r *Record, now time.Time) {
	if l.free || r.Holder != l.holder || r.Term != l.term {
		return
	}
	l.readAt = now
	l.extendOwn(r)
}

func (l *Lease) observeRelease(r *Record, now time.Time) {
	if l.free || r.Holder != l.holder || r.Term != l.term {
		return
	}
	l.free = true
	l.readAt = now
	l.until = time.Time{}
}

// extendOwn counts the lease from before the record was sent. A record whose
// send time is not known, such as a duplicate, extends nothing.
func (l *Lease) extendOwn(r *Record) {
	if r.Holder != l.settings.Self {
		return
	}
	sentAt, ok := l.sent[r.Attempt]
	if !ok {
		return
	}
	if end := sentAt.Add(l.settings.Duration); end.After(l.until) {
		l.until = end
	}
}

// Step returns the record to append now, or nil and the time at which to ask
// again. The caller must have read the stream to its end. Step records now as
// the send time of the returned record.
func (l *Lease) Step(now time.Time) (*Record, time.Time) {
	if l.Held(now) {
		due := l.lastSend.Add(l.settings.RenewEvery)
		if now.Before(due) {
			return nil, due
		}
		return l.send(KindRenew, l.term, now), now.Add(l.settings.RenewEvery)
	}
	if !l.free {
		claimable := l.readAt.Add(l.settings.Duration + l.settings.Margin)
		if now.Before(claimable) {
			return nil, claimable
		}
	}
	if due := l.lastSend.Add(l.settings.RenewEvery); !l.lastSend.IsZero() && now.Before(due) {
		return nil, due
	}
	return l.send(KindClaim, l.term+1, now), now.Add(l.settings.RenewEvery)
}

// Release returns the record that gives up the lease, or nil if this daemon
// does not hold it. The daemon stops being the holder at once.
func (l *Lease) Release(now time.Time) *Record {
	if !l.Held(now) {
		return nil
	}
	r := l.send(KindRelease, l.term, now)
	l.until = time.Time{}
	return r
}

func (l *Lease) send(k Kind, term uint64, now time.Time) *Record {
	l.nextAttempt++
	l.sent[l.nextAttempt] = now
	l.lastSend = now
	l.dropOldSends(now)
	return &Record{Kind: k, Holder: l.settings.Self, Term: term, Previous: l.next - 1, Attempt: l.nextAttempt}
}

// dropOldSends forgets records that could no longer extend the lease.
func (l *Lease) dropOldSends(now time.Time) {
	for a, at := range l.sent {
		if now.Sub(at) > l.settings.Duration {
			delete(l.sent, a)
		}
	}
}

// Held reports whether this daemon holds the lease at now.
func (l *Lease) Held(now time.Time) bool {
	return !l.free && l.holder == l.settings.Self && now.Before(l.until)
}

// Grant returns the authority that this daemon has; its zero value grants
// nothing.
func (l *Lease) Grant() Grant {
	if l.free || l.holder != l.settings.Self || l.until.IsZero() {
		return Grant{}
	}
	g := Grant{Fence: l.fence, Until: l.until, Prior: l.prior}
	if !l.priorReleased && l.prior != (Holder{}) && l.prior != l.settings.Self {
		g.UncheckedFrom = l.claimedAt.Add(l.settings.Quarantine)
	}
	return g
}
