package feed

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

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
	era    types.Era // of next
	next   types.Offset
	listed bool
	// listedOnce reports whether the keys were listed before, in any era.
	listedOnce bool
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
	// missedUpTo is the end of the updates that could not be used and that no read has reached.
	missedUpTo types.Offset
}

func (f *follower[T]) listOrRead(ctx context.Context) bool {
	if !f.listed {
		return f.list(ctx)
	}
	wait, reason := f.waitForRead(ctx)
	if f.outdated() {
		return f.list(ctx)
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
	if c.Newest {
		wait = 0
	}
	r := f.readResult(c, began, wait)
	if len(items) > 0 {
		items = f.applyDuringRead(items)
	}
	f.next, f.more = max(f.next, c.Next), more
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

// position returns the position from which to read changes.
func (f *follower[T]) position() types.Position { return types.Position{Era: f.era, Offset: f.next} }

// outdated reports whether the source is known to have begun another era since the keys were listed.
func (f *follower[T]) outdated() bool { return f.s.Era != nil && f.s.Era() > f.era }

// waitForRead waits until the next read and returns how long it may wait for changes, and its
// reason. A retry, and a read of the rest after a part, begin at once.
func (f *follower[T]) waitForRead(ctx context.Context) (time.Duration, CallReason) {
	switch {
	case f.pause > 0:
		return 0, CallRetry
	case f.more:
		return 0, CallDue
	}
	return f.waitUntilDue(ctx)
}

// readResult returns the result of a successful read that began at began and waited for changes
// for at most wait.
func (f *follower[T]) readResult(c CallResult, began clock.Instant, wait time.Duration) ReadResult {
	r := ReadResult{AsOf: began, Era: f.era, Next: c.Next}
	took := f.s.Now().Sub(began)
	switch {
	case c.Next != c.From:
		// The source may have evaluated the read at once and its response been delayed afterwards.
		r.Duration = took
	case took >= wait:
		r.AsOf = began.Add(wait) // evaluated after the wait
	}
	return r
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
		items, next, err := f.src.ReadNewest(ctx, f.position())
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
	items, next, err := f.src.Read(ctx, f.position(), wait)
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
	outage := f.recordSuccess()
	if f.listedOnce && l.Era != f.era {
		outage = max(outage, minOutage)
		f.missedUpTo, f.emptyUpTo = 0, 0
	}
	f.listed, f.listedOnce, f.more = true, true, false
	f.era, f.next = l.Era, l.Next
	f.h.HandleListing(l, outage)
	f.notifyRead(ReadResult{AsOf: began.Add(-l.Age), Era: l.Era, Next: l.Next, Listed: true})
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
	if f.s.FetchMissing == nil || !f.listed || f.outdated() {
		return false
	}
	before := f.next
	f.applyQueued()
	if f.known() > f.next && f.s.Now() >= f.nextFetch {
		f.nextFetch = f.s.Now().Add(fetchInterval)
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if u, err := f.s.FetchMissing(ctx, f.position()); err == nil {
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
	if u.Era != 0 && u.Era != f.era || u.Next <= f.next {
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
