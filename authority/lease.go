// Package authority decides which control daemon of a data centre may send
// orders to its targets, and which order a target gets next. The lease holder
// follows from the sequence of records in the data centre's lease stream alone.
// The package performs no I/O and does not encode messages.
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

// Holder identifies one run of one control daemon. A restarted daemon has a new
// incarnation and is a different holder.
type Holder struct {
	VM          types.VMID `json:"vm"`
	Incarnation string     `json:"incarnation"`
}

// Record is one decoded record of the lease stream.
type Record struct {
	Kind       Kind               `json:"kind"`
	DataCentre types.DataCentreID `json:"data_centre"`
	Holder     Holder             `json:"holder"`
	// Term is the offset of a valid claim plus one. Renewals and releases repeat it
	// for readers that start after the claim has expired from the log. It does not
	// depend on the era, so that all releases accept the same claims.
	Term types.FencingNumber `json:"term"`
	// Previous is set on claims only. It is the offset of the last record that
	// the claimant had read, or -1 for an empty stream.
	Previous types.Offset `json:"previous"`
	// Attempt identifies the append, so that the sender can match the record
	// when it reads the stream.
	Attempt uint64 `json:"attempt"`
}

// Settings are the parameters of a lease.
type Settings struct {
	DataCentre types.DataCentreID
	Self       Holder
	// Duration is how long the lease is valid after a claim or renewal is sent.
	Duration time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// Margin is the time beyond Duration that a claimant waits. It covers the
	// difference in clock rates over one Duration.
	Margin time.Duration
	// Quarantine applies to targets that do not check fencing numbers. It is the
	// time after which an earlier holder that did not release the lease is
	// assumed to have no order in flight. It must exceed the longest pause of a
	// process.
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

// fenceEraBit is the lowest bit of a fencing number that states the era of its claim. It leaves room
// for 2^32 records in an era, and for 2^21 eras in the 53 bits of an integer that each JSON decoder
// keeps.
const fenceEraBit = 32

// fencingNumber returns the fencing number of the claim with a Term, which rises with the offsets of an
// era and with the eras. In the first era it is the Term alone, as in releases that know no eras.
func fencingNumber(era types.Era, term types.FencingNumber) types.FencingNumber {
	return types.FencingNumber(max(era-types.FirstEra, 0))<<fenceEraBit + term
}

// Lease is one daemon's replica of the lease state machine of a data centre.
// It is not safe for concurrent use. All times must carry a monotonic clock
// reading of the same process.
type Lease struct {
	settings Settings
	era      types.Era // of the log, 0 if it has not stated one
	next     types.Offset
	holder   Holder
	term     types.FencingNumber // of the holder's claim
	// highest is the highest fencing number of a valid claim that was read in any era.
	highest types.FencingNumber
	// unclaimed is true while the lease is released or was never claimed.
	unclaimed bool
	// claimRead is false after records have expired unread, until a valid claim is
	// read. The holder is then inferred from renewals only, and the expired
	// records may include a later claim of another holder.
	claimRead bool
	// lastReadAt is when the last valid claim or renewal was read.
	lastReadAt time.Time
	// earlierHolders maps each holder that lost the lease without releasing it to
	// the time at which this was read. The zero Holder stands for all holders in
	// expired records.
	earlierHolders map[Holder]time.Time
	// pendingSends maps the attempts of this daemon's records that have not been
	// read back to their send times.
	pendingSends map[uint64]time.Time
	nextAttempt  uint64
	heldUntil    time.Time
	lastSentAt   time.Time
}

// NewLease returns the lease state at the beginning of the stream.
func NewLease(s Settings, now time.Time) *Lease {
	return &Lease{
		settings: s, unclaimed: true, claimRead: true, lastReadAt: now,
		earlierHolders: map[Holder]time.Time{}, pendingSends: map[uint64]time.Time{},
	}
}

// NextOffset returns the offset of the next record to read.
func (l *Lease) NextOffset() types.Offset { return l.next }

// Holder returns the current holder and its fencing number; ok is false while
// the lease is unclaimed.
func (l *Lease) Holder() (h Holder, f types.FencingNumber, ok bool) {
	return l.holder, fencingNumber(l.era, l.term), !l.unclaimed
}

// Era returns the era of the log in which the state was read, 0 if the log has not stated one.
func (l *Lease) Era() types.Era { return l.era }

// EnterEra records the era that the log states with the records that are read next. After a change of
// the era the log may lack claims and gives out their offsets again: the state is reset as by Return, and
// EnterEra returns true. Eras only rise. That also holds for a daemon that starts after a return, which may have taken
// back the claim of a daemon that still sends orders.
func (l *Lease) EnterEra(era types.Era, now time.Time) bool {
	if era <= l.era {
		return false
	}
	unchanged := l.era == 0 && era == types.FirstEra
	l.era = era
	if !unchanged {
		l.Return(now)
	}
	return !unchanged
}

// Return resets the state and continues at offset 0, because the log has returned from an older copy.
// The daemon then waits as after SkipExpired.
func (l *Lease) Return(now time.Time) { l.reset(0, now) }

// MissingRecords returns how many records must precede the next claim so that its fencing number is
// higher than all that this daemon knows. It is 0 unless the log has returned from an older copy
// without stating an era.
func (l *Lease) MissingRecords() int {
	next := fencingNumber(l.era, types.FencingNumber(l.next)+1)
	return int(l.highest+1) - int(min(next, l.highest+1))
}

// Observe applies the record at offset o, read at now. A nil record is one that
// could not be decoded: it only advances the offset, which invalidates a claim
// that does not name it. The error wraps ErrGap if records are missing.
func (l *Lease) Observe(o types.Offset, r *Record, now time.Time) error {
	if o < l.next {
		return nil
	}
	if o > l.next {
		return fmt.Errorf("expected offset %d, got %d: %w", l.next, o, ErrGap)
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
		delete(l.pendingSends, r.Attempt)
	}
	return nil
}

// SkipExpired resets the state and continues at oldest, because the records
// before it have expired. The daemon then waits for a full lease duration plus
// margin from now, or from the last renewal that it reads, before it claims.
func (l *Lease) SkipExpired(oldest types.Offset, now time.Time) {
	if oldest > l.next {
		l.reset(oldest, now)
	}
}

// reset forgets the holder and continues at next. An unknown holder may still send orders.
func (l *Lease) reset(next types.Offset, now time.Time) {
	if !l.unclaimed {
		l.earlierHolders[l.holder] = now
	}
	l.earlierHolders[Holder{}] = now
	l.next = next
	l.holder, l.term = Holder{}, 0
	l.unclaimed, l.claimRead = false, false
	l.lastReadAt = now
	l.heldUntil = time.Time{}
	clear(l.pendingSends)
}

// observeClaim accepts a claim only if it directly follows the record that it
// names in Previous. The check uses offsets only, so all readers agree.
func (l *Lease) observeClaim(o types.Offset, r *Record, now time.Time) {
	if r.Previous != o-1 || r.Term != types.FencingNumber(o)+1 {
		return
	}
	if !l.unclaimed && l.holder != r.Holder {
		l.earlierHolders[l.holder] = now
	}
	l.dropExpiredQuarantines(now)
	l.holder, l.term = r.Holder, r.Term
	l.highest = max(l.highest, fencingNumber(l.era, r.Term))
	l.unclaimed, l.claimRead = false, true
	l.lastReadAt = now
	l.heldUntil = time.Time{}
	l.extendIfSelf(r)
}

func (l *Lease) observeRenew(r *Record, now time.Time) {
	if !l.claimRead {
		// The claim has expired from the log, but its holder may still be running.
		if r.Term >= l.term {
			l.holder, l.term, l.lastReadAt = r.Holder, r.Term, now
		}
		return
	}
	if l.unclaimed || r.Holder != l.holder || r.Term != l.term {
		return
	}
	l.lastReadAt = now
	l.extendIfSelf(r)
}

// observeRelease marks the lease as unclaimed. It has no effect while the claim
// has not been read, because the release may then be a late one of an earlier
// holder.
func (l *Lease) observeRelease(r *Record, now time.Time) {
	if !l.claimRead || l.unclaimed || r.Holder != l.holder || r.Term != l.term {
		return
	}
	l.unclaimed = true
	l.lastReadAt = now
	l.heldUntil = time.Time{}
	delete(l.earlierHolders, r.Holder)
}

func (l *Lease) dropExpiredQuarantines(now time.Time) {
	for h, at := range l.earlierHolders {
		if now.Sub(at) >= l.settings.Quarantine {
			delete(l.earlierHolders, h)
		}
	}
}

// extendIfSelf extends the lease if the record is this daemon's own. The
// duration counts from the send time, not from the read. A record without a
// pending send, such as a duplicate, extends nothing.
func (l *Lease) extendIfSelf(r *Record) {
	if r.Holder != l.settings.Self {
		return
	}
	sentAt, ok := l.pendingSends[r.Attempt]
	if !ok {
		return
	}
	if end := sentAt.Add(l.settings.Duration); end.After(l.heldUntil) {
		l.heldUntil = end
	}
}

// Step returns the record to append now, or nil if there is none, and the time
// of the next call. The caller must have read the stream to its end. Step
// stores now as the send time of the returned record.
func (l *Lease) Step(now time.Time) (*Record, time.Time) {
	if l.Held(now) {
		due := l.lastSentAt.Add(l.settings.RenewInterval)
		if now.Before(due) {
			return nil, due
		}
		return l.newRecord(KindRenew, l.term, now), now.Add(l.settings.RenewInterval)
	}
	if !l.unclaimed {
		claimable := l.lastReadAt.Add(l.settings.Duration + l.settings.Margin)
		if now.Before(claimable) {
			return nil, claimable
		}
	}
	if due := l.lastSentAt.Add(l.settings.RenewInterval); !l.lastSentAt.IsZero() && now.Before(due) {
		return nil, due
	}
	return l.newRecord(KindClaim, types.FencingNumber(l.next)+1, now), now.Add(l.settings.RenewInterval)
}

// Release returns the record that releases the lease, or nil if this daemon
// does not hold it. The daemon stops being the holder at once: its claims and
// renewals that have not been read back no longer take effect. A caller that
// has an order in flight must not append the release but let the lease expire,
// because the next holder applies no quarantine after a release.
func (l *Lease) Release(now time.Time) *Record {
	held := l.Held(now)
	l.heldUntil = time.Time{}
	clear(l.pendingSends)
	if !held {
		return nil
	}
	return l.newRecord(KindRelease, l.term, now)
}

func (l *Lease) newRecord(k Kind, term types.FencingNumber, now time.Time) *Record {
	l.nextAttempt++
	l.pendingSends[l.nextAttempt] = now
	l.lastSentAt = now
	l.dropExpiredSends(now)
	return &Record{
		Kind: k, DataCentre: l.settings.DataCentre, Holder: l.settings.Self,
		Term: term, Previous: l.next - 1, Attempt: l.nextAttempt,
	}
}

// dropExpiredSends removes sends that are too old to extend the lease.
func (l *Lease) dropExpiredSends(now time.Time) {
	for a, at := range l.pendingSends {
		if now.Sub(at) > l.settings.Duration {
			delete(l.pendingSends, a)
		}
	}
}

// Held reports whether this daemon holds the lease at now.
func (l *Lease) Held(now time.Time) bool { return l.holderIsSelf() && now.Before(l.heldUntil) }

func (l *Lease) holderIsSelf() bool {
	return l.claimRead && !l.unclaimed && l.holder == l.settings.Self
}

// Grant returns this daemon's current authority, or the zero Grant if it has
// none.
func (l *Lease) Grant() Grant {
	if !l.holderIsSelf() || l.heldUntil.IsZero() {
		return Grant{}
	}
	g := Grant{Fence: fencingNumber(l.era, l.term), Until: l.heldUntil}
	for h, at := range l.earlierHolders {
		// No quarantine for this process itself, because it tracks its own orders.
		if h != l.settings.Self {
			g.Earlier = append(g.Earlier, EarlierHolder{Holder: h, Until: at.Add(l.settings.Quarantine)})
		}
	}
	return g
}
