// Package feed follows a keyed feed of the store: it lists the newest record of each key
// and then reads changes. It retries after outages and lists again when records have
// expired.
package feed

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// ErrExpired reports that the store no longer has the requested records, so that the
// keys have to be listed again.
var ErrExpired = errors.New("records have expired")

// ErrUnusable reports that a record from another daemon cannot be decoded. The same
// record has to be read from the source instead.
var ErrUnusable = errors.New("record from another daemon cannot be decoded")

// ErrUnsupported reports that a source does not support ReadNewest.
var ErrUnsupported = errors.New("source does not support reading the newest records only")

// ErrMore reports that a read returned only the first of the records that the source has. It
// comes with these records, and the next offset is beyond the one to read from.
var ErrMore = errors.New("source has more records than the read has returned")

// Item is the newest record of one key.
type Item[T any] struct {
	Key string
	// Next is the offset after the record.
	Next types.Offset
	// Value is nil when the key was removed, and for a record that was skipped.
	Value *T
	// Raw is the encoded value as stored in the source, empty when the key was removed.
	Raw []byte
	// Err is the decoding error of the record, if any. Value is nil in this case,
	// although the key was not removed.
	Err error
	// Skipped reports that the record was not decoded, because a newer one of its key in the
	// same response replaces it.
	Skipped bool
}

// Listing contains the newest record of each key.
type Listing[T any] struct {
	Items []Item[T]
	// Next is the offset from which to read changes.
	Next types.Offset
	// Age is the time since the listing was current, 0 if it comes from the store.
	Age time.Duration
}

// Source reads keyed records of one type.
type Source[T any] interface {
	// List returns the newest records of all keys.
	List(ctx context.Context) (Listing[T], error)
	// Read returns the changes from an offset on and the next offset to read from. If
	// there are none, it waits for at most wait. The error wraps ErrExpired when records
	// from that offset on have expired. It is ErrMore if the source has further records.
	Read(ctx context.Context, from types.Offset, wait time.Duration) ([]Item[T], types.Offset, error)
	// ReadNewest returns the newest record of each key that has changed from an offset on, and
	// the next offset to read from. It does not return records that a newer one of their key has
	// replaced, and does not wait. The error wraps ErrUnsupported if keys of the feed may be
	// removed, which the newest records do not show.
	ReadNewest(ctx context.Context, from types.Offset) ([]Item[T], types.Offset, error)
	// DecodeRecord decodes a record that another daemon has read. The error wraps
	// ErrUnusable if the record has to be read from the source instead.
	DecodeRecord(r Record) (Item[T], error)
}

// Handler processes the records of a feed. Its methods are called from the goroutine
// that runs Follow.
type Handler[T any] interface {
	// HandleListing replaces all items by those of a listing. outage is the length of the
	// outage of the source that this call has ended, 0 if there was none.
	HandleListing(l Listing[T], outage time.Duration)
	// HandleChanges applies items that were read from the source and returns those that are
	// relevant to other daemons, in order. outage is as in HandleListing.
	HandleChanges(items []Item[T], outage time.Duration) []Item[T]
	// HandlePeerUpdate processes items that another daemon has read. outage is the length
	// of the current outage of the source for this daemon, 0 if it can read the source.
	HandlePeerUpdate(items []Item[T], outage time.Duration)
	// HandleFailure is called after each failed call, with the time since the first of
	// the consecutive failed calls began.
	HandleFailure(err error, outage time.Duration)
}

// Record is an encoded record of the source.
type Record struct {
	Key   string
	Value []byte
	// Next is the offset after the record.
	Next types.Offset
	// DeltaBase, if not 0, indicates that Value is a delta to the record of the same key
	// whose Next is DeltaBase.
	DeltaBase types.Offset
}

// Update contains all relevant records between two offsets, as another daemon has read
// them.
type Update struct {
	// Records contains every relevant record from offset Since on, and Next is the
	// offset after the last of them.
	Since, Next types.Offset
	Records     []Record
}

// ReadResult describes a successful call to the source.
type ReadResult struct {
	// AsOf is the earliest time at which the source can have evaluated the call: the end
	// of the source was at Next then or later.
	AsOf clock.Instant
	// Next is the offset after the last record that was read.
	Next types.Offset
	// Changed is the offset after the last record that HandleChanges has returned, 0 if it
	// returned none. It is 0 for a list, which does not show what has changed.
	Changed types.Offset
	// Listed reports whether the call was a list.
	Listed bool
	// Duration is the time that a read with records took, 0 for other calls.
	Duration time.Duration
}

// CallReason is the reason for a call to the source.
type CallReason uint8

// Reasons for calls, in the order of callReasonNames.
const (
	// CallList lists all keys: at the start, or because records have expired.
	CallList CallReason = iota
	// CallDue is a read that is due according to the schedule.
	CallDue
	// CallWoken is a read after a wake: another daemon has read a change.
	CallWoken
	// CallRetry repeats a failed read.
	CallRetry
	// CallReasonCount is the number of reasons, not a reason itself.
	CallReasonCount
)

var callReasonNames = [CallReasonCount]string{"list", "due", "change", "retry"}

// String returns the name used in metrics.
func (r CallReason) String() string { return callReasonNames[r] }

// CallResult describes a completed call to the source.
type CallResult struct {
	Reason CallReason
	// Duration is the time from the start of the call to its end.
	Duration time.Duration
	// Records is the number of records that the call returned, and Bytes the size of their
	// encoded values. Both are 0 after an error.
	Records, Bytes int
	// Skipped is the number of records between From and Next that were not decoded or, if
	// Newest is set, not requested. The latter include those of other keys.
	Skipped int
	// Newest reports whether the call requested the newest records only.
	Newest bool
	// From is the offset from which the call read, 0 for a list. Next is the offset from which
	// the next call reads.
	From, Next types.Offset
	// Err is nil if the call succeeded. It wraps ErrExpired if the keys have to be listed.
	Err error
}

// Schedule determines when Follow reads, and connects it to the reads of other daemons.
type Schedule struct {
	// Now returns the time; nil means clock.Now.
	Now func() clock.Instant
	// Due returns how long to wait before the next read, 0 to read now, and how long the
	// read may wait for changes. It is called again after the pause.
	Due func(now clock.Instant) (pause, wait time.Duration)
	// OnCall, if not nil, is called before each call to the source.
	OnCall func(CallReason)
	// OnResult, if not nil, is called after each call to the source, before its records are
	// handled.
	OnResult func(CallResult)
	// OnRead, if not nil, is called after each successful call.
	OnRead func(ReadResult)
	// MinPause and MaxPause bound the pause after a failed call, which doubles with each
	// consecutive failure.
	MinPause time.Duration
	MaxPause func() time.Duration
	// Wake, if not nil, ends the pause before a read early.
	Wake <-chan struct{}
	// Known, if not nil, returns the offset up to which, by the claims of other daemons, the
	// source has records.
	Known func() types.Offset
	// FetchMissing, if not nil, fetches the changes from an offset on from another daemon. It is
	// called only if Known is beyond that offset.
	FetchMissing func(ctx context.Context, from types.Offset) (Update, error)
	// PeerUpdates, if not nil, delivers what other daemons have read. An update that starts
	// after the offset that is applied is reported to OnMissed.
	PeerUpdates <-chan Update
	// OnApplied, if not nil, is called after an update from PeerUpdates was applied, and
	// OnMissed, if not nil, when one could not be used. next is the offset up to which all
	// records are applied.
	OnApplied, OnMissed func(next types.Offset)
}

// minOutage is the shortest time without a successful call that counts as an outage.
// Shorter failures are single lost calls.
const minOutage = 500 * time.Millisecond

const (
	// fetchTimeout bounds FetchMissing. It is the time that a read by the daemon that reads for
	// others waits for changes: a daemon that does not respond must not delay a read of the
	// source for longer than that.
	fetchTimeout = 500 * time.Millisecond
	// fetchInterval is the minimum time between the start of a fetch that left records missing
	// and the next one. Claims of other daemons arrive several times as often.
	fetchInterval = 250 * time.Millisecond
)

// Follow reads the feed until the context ends. It lists the keys first and reads changes
// from then on.
func Follow[T any](ctx context.Context, src Source[T], h Handler[T], s Schedule) {
	if s.Now == nil {
		s.Now = clock.Now
	}
	f := follower[T]{src: src, h: h, s: s}
	for ctx.Err() == nil {
		if f.listOrRead(ctx) {
			f.pause = 0
			continue
		}
		f.pause = min(max(2*f.pause, s.MinPause), s.MaxPause())
		f.backOff(ctx)
	}
}

type follower[T any] struct {
	src    Source[T]
	h      Handler[T]
	s      Schedule
	next   types.Offset
	listed bool
	// failingSince is when the first of the consecutive failed calls began, 0 after a
	// successful one.
	failingSince clock.Instant
	pause        time.Duration
	// more reports whether the latest read returned only a part of the records of the source.
	// changed is the offset after the last change in such reads that OnRead was not told yet.
	more    bool
	changed types.Offset
	// noNewest reports that the source does not support ReadNewest. emptyUpTo is the value of
	// Known at which ReadNewest returned nothing.
	noNewest  bool
	emptyUpTo types.Offset
	// nextFetch is the earliest time of the next call of FetchMissing.
	nextFetch clock.Instant
	// missedUpTo is the end of the latest update that could not be used since the last read.
	missedUpTo types.Offset
}

func (f *follower[T]) listOrRead(ctx context.Context) bool {
	if !f.listed {
		return f.list(ctx)
	}
	var wait time.Duration
	reason := CallRetry
	switch {
	case f.pause > 0:
	case f.more:
		reason = CallDue
	default:
		wait, reason = f.waitUntilDue(ctx)
	}
	f.notifyCall(reason)
	began := f.s.Now()
	c, items, err := f.read(ctx, wait)
	c.Reason = reason
	more := errors.Is(err, ErrMore) && c.Next > f.next
	if more {
		err = nil
	}
	c.Err = err
	f.notifyResult(c, began, items)
	if errors.Is(err, ErrExpired) {
		f.listed, f.more = false, false
		return f.list(ctx)
	}
	if err != nil {
		return f.recordFailure(err, began)
	}
	next := c.Next
	r := ReadResult{AsOf: began, Next: next}
	if next != c.From {
		r.Duration = f.s.Now().Sub(began)
	}
	if c.Newest {
		wait = 0
	}
	// A read that returns no records was evaluated by the source after its wait. One with
	// records may have been evaluated at once and its response delayed afterwards.
	if next == c.From && f.s.Now().Sub(began) >= wait {
		r.AsOf = began.Add(wait)
	}
	if len(items) > 0 {
		items = f.applyDuringRead(items)
	}
	f.next, f.more = max(f.next, next), more
	if i := f.h.HandleChanges(items, f.recordSuccess()); len(i) > 0 {
		f.changed = i[len(i)-1].Next
	}
	if more {
		// Until the last part is read, the feed is not up to date as of any time.
		return true
	}
	r.Changed, f.changed = f.changed, 0
	f.notifyRead(r)
	return true
}

// applyDuringRead applies the updates that have arrived during a read, and returns the items of the
// read that are not among them. What other daemons have by now is then the base of what this one
// publishes; a delta to a record that they have skipped would make all of them read the source.
func (f *follower[T]) applyDuringRead(items []Item[T]) []Item[T] {
	f.applyQueued()
	return slices.DeleteFunc(items, func(i Item[T]) bool { return i.Next != 0 && i.Next <= f.next })
}

// read reads the changes from the applied offset on, or only the newest records if that is
// less than all changes.
func (f *follower[T]) read(ctx context.Context, wait time.Duration) (CallResult, []Item[T], error) {
	c := CallResult{From: f.next}
	if f.prefersNewest() {
		items, next, err := f.src.ReadNewest(ctx, f.next)
		if !errors.Is(err, ErrUnsupported) {
			c.Newest, c.Next = true, next
			if err == nil {
				c.Skipped = max(int(next-f.next)-len(items), 0)
			}
			if err == nil && next == f.next {
				f.emptyUpTo = f.known()
			}
			return c, items, err
		}
		f.noNewest = true
	}
	items, next, err := f.src.Read(ctx, f.next, wait)
	c.Next = next
	for i := range items {
		if items[i].Skipped {
			c.Skipped++
		}
	}
	return c, items, err
}

// prefersNewest reports whether the next call reads the newest records only. A read of all
// changes that has failed would ask for the same records again, and more of them each time. If
// other daemons claim no changes that are missing here, the newest record would be read in vain.
func (f *follower[T]) prefersNewest() bool {
	if f.noNewest {
		return false
	}
	known := f.known()
	failed := f.pause > 0 && (f.s.Known == nil || known > f.next)
	return failed || f.more || known > f.next+1 && known > f.emptyUpTo
}

// known returns the offset up to which, by the claims of other daemons, the source has
// records.
func (f *follower[T]) known() types.Offset {
	if f.s.Known == nil {
		return 0
	}
	return f.s.Known()
}

func (f *follower[T]) list(ctx context.Context) bool {
	f.notifyCall(CallList)
	began := f.s.Now()
	l, err := f.src.List(ctx)
	f.notifyResult(CallResult{Reason: CallList, Next: l.Next, Err: err}, began, l.Items)
	if err != nil {
		return f.recordFailure(err, began)
	}
	f.listed, f.next, f.more = true, l.Next, false
	f.h.HandleListing(l, f.recordSuccess())
	f.notifyRead(ReadResult{AsOf: began.Add(-l.Age), Next: l.Next, Listed: true})
	return true
}

// waitUntilDue waits until a read is due and returns how long the read may wait for
// changes, and the reason for the read.
func (f *follower[T]) waitUntilDue(ctx context.Context) (time.Duration, CallReason) {
	for ctx.Err() == nil {
		pause, wait := f.s.Due(f.s.Now())
		if pause <= 0 {
			return wait, CallDue
		}
		if f.sleep(ctx, pause, f.s.Wake) && !f.fetchMissing(ctx) {
			return 0, CallWoken
		}
	}
	return 0, CallDue
}

// backOff waits for the pause after a failed call. A wake does not shorten the pause: while the
// store refuses the calls of this node, each message from a peer would trigger another call. It
// only fetches what is missing from another daemon.
func (f *follower[T]) backOff(ctx context.Context) {
	end := f.s.Now().Add(f.pause)
	f.fetchMissing(ctx)
	var wake <-chan struct{}
	if f.s.FetchMissing != nil {
		wake = f.s.Wake
	}
	for ctx.Err() == nil {
		left := end.Sub(f.s.Now())
		if left <= 0 {
			return
		}
		if f.sleep(ctx, left, wake) {
			f.fetchMissing(ctx)
		}
	}
}

// fetchMissing fetches the changes that other daemons claim, and that this one has not applied,
// from one of them. It reports whether it has applied changes and is not known to miss others.
func (f *follower[T]) fetchMissing(ctx context.Context) bool {
	if f.s.FetchMissing == nil || !f.listed {
		return false
	}
	before := f.next
	f.applyQueued()
	if f.known() > f.next && f.s.Now() >= f.nextFetch {
		f.nextFetch = f.s.Now().Add(fetchInterval)
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if u, err := f.s.FetchMissing(ctx, f.next); err == nil {
			f.applyUpdate(u)
		}
		// A wake during the fetch may be about the changes that it has returned.
		select {
		case <-f.s.Wake:
		default:
		}
	}
	if f.next == before || max(f.known(), f.missedUpTo) > f.next {
		return false
	}
	f.nextFetch = 0
	return true
}

// applyQueued applies the updates that other daemons have sent already.
func (f *follower[T]) applyQueued() {
	for {
		select {
		case u := <-f.s.PeerUpdates:
			f.applyUpdate(u)
		default:
			return
		}
	}
}

func (f *follower[T]) notifyCall(r CallReason) {
	if f.s.OnCall != nil {
		f.s.OnCall(r)
	}
}

// notifyResult reports a call that began at began and returned items.
func (f *follower[T]) notifyResult(r CallResult, began clock.Instant, items []Item[T]) {
	if f.s.OnResult == nil {
		return
	}
	if r.Err != nil {
		r.Next = f.next
	}
	r.Duration, r.Records = f.s.Now().Sub(began), len(items)
	for i := range items {
		r.Bytes += len(items[i].Raw)
	}
	f.s.OnResult(r)
}

func (f *follower[T]) notifyRead(r ReadResult) {
	if f.missedUpTo <= f.next {
		f.missedUpTo = 0
	}
	if f.s.OnRead != nil {
		f.s.OnRead(r)
	}
}

// recordFailure reports a failed call to the handler. It returns false, which is the
// result of listOrRead.
func (f *follower[T]) recordFailure(err error, began clock.Instant) bool {
	if f.failingSince == 0 {
		f.failingSince = began
	}
	f.h.HandleFailure(err, f.outage())
	return false
}

// outage returns the time since the source began to fail, 0 if the last call succeeded.
func (f *follower[T]) outage() time.Duration {
	if f.failingSince == 0 {
		return 0
	}
	return f.s.Now().Sub(f.failingSince)
}

// recordSuccess returns the length of the outage that has ended, 0 if there was none of at
// least minOutage.
func (f *follower[T]) recordSuccess() time.Duration {
	outage := f.outage()
	f.failingSince = 0
	if outage < minOutage {
		return 0
	}
	return outage
}

// sleep waits for d and reports whether a wake ended the wait early. It applies peer
// updates meanwhile.
func (f *follower[T]) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	updates := f.s.PeerUpdates
	if !f.listed {
		updates = nil // updates can only be applied on top of a listing
	}
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return false
		case <-wake:
			return true
		case u := <-updates:
			f.applyUpdate(u)
		}
	}
}

// applyUpdate applies the records that another daemon has read.
func (f *follower[T]) applyUpdate(u Update) {
	if u.Next <= f.next {
		return
	}
	if u.Since > f.next {
		// Records are missing: an earlier update was not usable.
		f.reportMissed(u)
		return
	}
	var items []Item[T]
	for _, r := range u.Records {
		// The source has already returned this record or a newer one.
		if r.Next <= f.next {
			continue
		}
		i, err := f.src.DecodeRecord(r)
		if err != nil {
			f.reportMissed(u)
			return
		}
		items = append(items, i)
	}
	f.next = u.Next
	f.h.HandlePeerUpdate(items, f.outage())
	if f.s.OnApplied != nil {
		f.s.OnApplied(f.next)
	}
}

func (f *follower[T]) reportMissed(u Update) {
	f.missedUpTo = max(f.missedUpTo, u.Next)
	if f.s.OnMissed != nil {
		f.s.OnMissed(f.next)
	}
}
