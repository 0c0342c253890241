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
	Kind       Kind               `json:"kind"`
	DataCentre types.DataCentreID `json:"data_centre"`
	Holder     Holder             `json:"holder"`
	// Term is the fencing number of the claim: the offset of a valid claim plus
	// one. Renewals and releases repeat it, so that a reader whose log no
	// longer has the claim learns it from them.
	Term types.FencingNumber `json:"term"`
	// Previous is, for a claim, the offset of the last record that the claimant
	// had read, -1 for an empty stream.
	Previous types.Offset `json:"previous"`
	// Attempt identifies the append, so that its sender recognises it.
	Attempt uint64 `json:"attempt"`
}

// Settings of the lease.
type Settings struct {
	DataCentre types.DataCentreID
	Self       Holder
	// Duration is the time for which a claim or renewal holds.
	Duration time.Duration
	// RenewEvery is the time between renewals.
	RenewInterval time.Duration
	// Margin is added to Duration by claimants. It covers the difference in
	// clock rates over one Duration.
	Margin time.Duration
	// Quarantine is the time after which an earlier holder that did not release
	// the lease is taken to have no order under way, for targets that do not
	// check fencing numbers. It must exceed the longest pause of a process.
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
	fence    types.FencingNumber
	// free says that the lease was released or was never claimed.
	free bool
	// claimSeen is false after expired records, until a valid claim is read. The
	// holder is then known from renewals only, and a later claim of another
	// holder may be among the expired records.
	claimSeen bool
	// readAt is when the last valid claim or renewal was read.
	readAt time.Time
	// earlier holds the holders that lost the lease without a release, and when
	// this was read. The zero Holder stands for holders in expired records.
	earlier map[Holder]time.Time
	// sent holds the send time of own records that have not been read back.
	sent        map[uint64]time.Time
	nextAttempt uint64
	until       time.Time
	lastSend    time.Time
}

// NewLease returns the state at the beginning of the stream.
func NewLease(s Settings, now time.Time) *Lease {
	return &Lease{
		settings: s, free: true, claimSeen: true, readAt: now,
		earlier: map[Holder]time.Time{}, sent: map[uint64]time.Time{},
	}
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
	l.next = o + 1
	if r == nil || r.DataCentre != l.settings.DataCentre {
		return nil
	}
	switch r.Kind {
	case KindClaim:
		l.observeClaim(o, r, now)
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
// expired. The daemon then waits a full lease from now, or from the last
// renewal that it reads, before it claims.
func (l *Lease) SkipExpired(oldest types.Offset, now time.Time) {
	if oldest <= l.next {
		return
	}
	if !l.free {
		l.earlier[l.holder] = now
	}
	l.earlier[Holder{}] = now
	l.next = oldest
	l.holder, l.fence = Holder{}, 0
	l.free, l.claimSeen = false, false
	l.readAt = now
	l.until = time.Time{}
	clear(l.sent)
}

// observeClaim takes a claim that directly follows the record that it names.
// All readers decide this from offsets alone.
func (l *Lease) observeClaim(o types.Offset, r *Record, now time.Time) {
	if r.Previous != o-1 || r.Term != types.FencingNumber(o)+1 {
		return
	}
	if !l.free && l.holder != r.Holder {
		l.earlier[l.holder] = now
	}
	l.dropEarlier(now)
	l.holder, l.fence = r.Holder, r.Term
	l.free, l.claimSeen = false, true
	l.readAt = now
	l.until = time.Time{}
	l.extendOwn(r)
}

func (l *Lease) observeRenew(r *Record, now time.Time) {
	if !l.claimSeen {
		// The claim has expired from the log, but its holder may live on.
		if r.Term >= l.fence {
			l.holder, l.fence, l.readAt = r.Holder, r.Term, now
		}
		return
	}
	if l.free || r.Holder != l.holder || r.Term != l.fence {
		return
	}
	l.readAt = now
	l.extendOwn(r)
}

// observeRelease frees the lease. Without the claim, a release may be a late
// one of an earlier holder, so it frees nothing.
func (l *Lease) observeRelease(r *Record, now time.Time) {
	if !l.claimSeen || l.free || r.Holder != l.holder || r.Term != l.fence {
		return
	}
	l.free = true
	l.readAt = now
	l.until = time.Time{}
	delete(l.earlier, r.Holder)
}

// dropEarlier forgets holders whose quarantine has elapsed.
func (l *Lease) dropEarlier(now time.Time) {
	for h, at := range l.earlier {
		if now.Sub(at) >= l.settings.Quarantine {
			delete(l.earlier, h)
		}
	}
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
		due := l.lastSend.Add(l.settings.RenewInterval)
		if now.Before(due) {
			return nil, due
		}
		return l.send(KindRenew, l.fence, now), now.Add(l.settings.RenewInterval)
	}
	if !l.free {
		claimable := l.readAt.Add(l.settings.Duration + l.settings.Margin)
		if now.Before(claimable) {
			return nil, claimable
		}
	}
	if due := l.lastSend.Add(l.settings.RenewInterval); !l.lastSend.IsZero() && now.Before(due) {
		return nil, due
	}
	return l.send(KindClaim, types.FencingNumber(l.next)+1, now), now.Add(l.settings.RenewInterval)
}

// Release returns the record that gives up the lease, or nil if this daemon
// does not hold it. The daemon stops being the holder at once; claims and
// renewals that are still on their way give it nothing. A caller that has an
// order under way must let the lease expire instead, because the next holder
// trusts a release.
func (l *Lease) Release(now time.Time) *Record {
	held := l.Held(now)
	l.until = time.Time{}
	clear(l.sent)
	if !held {
		return nil
	}
	return l.send(KindRelease, l.fence, now)
}

func (l *Lease) send(k Kind, term types.FencingNumber, now time.Time) *Record {
	l.nextAttempt++
	l.sent[l.nextAttempt] = now
	l.lastSend = now
	l.dropOldSends(now)
	return &Record{
		Kind: k, DataCentre: l.settings.DataCentre, Holder: l.settings.Self,
		Term: term, Previous: l.next - 1, Attempt: l.nextAttempt,
	}
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
func (l *Lease) Held(now time.Time) bool { return l.own() && now.Before(l.until) }

func (l *Lease) own() bool {
	return l.claimSeen && !l.free && l.holder == l.settings.Self
}

// Grant returns the authority that this daemon has; its zero value grants
// nothing.
func (l *Lease) Grant() Grant {
	if !l.own() || l.until.IsZero() {
		return Grant{}
	}
	g := Grant{Fence: l.fence, Until: l.until}
	for h, at := range l.earlier {
		// This process knows of its own orders, so it needs no quarantine.
		if h != l.settings.Self {
			g.Earlier = append(g.Earlier, EarlierHolder{Holder: h, Until: at.Add(l.settings.Quarantine)})
		}
	}
	return g
}
