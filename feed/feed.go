// Package feed follows keyed records: it lists the newest record of each key
// and then reads the changes, over outages and expired records.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// ErrExpired reports that records before the newest ones are gone, so that the
// keys have to be listed again.
var ErrExpired = errors.New("records have expired")

// ErrUnusable reports a record of another daemon that cannot be used, unlike one
// that the source holds in the same form.
var ErrUnusable = errors.New("record of another daemon is not usable")

// Item is the newest record of one key.
type Item[T any] struct {
	Key string
	// Next is the offset after the record.
	Next types.Offset
	// Value is nil when the key was removed.
	Value *T
	// Raw is the value as the source holds it, empty when the key was removed.
	Raw []byte
	// Err says why a record does not decode; Value is nil then, but the key was
	// not removed.
	Err error
}

// Listing holds the newest records of all keys.
type Listing[T any] struct {
	Items []Item[T]
	// Next is the offset from which to read changes.
	Next types.Offset
	// Age is how long ago the listing was true, 0 if it comes from the store.
	Age time.Duration
}

// Source reads keyed records of one type.
type Source[T any] interface {
	// List returns all keys.
	List(ctx context.Context) (Listing[T], error)
	// Read returns the changes from an offset and the next offset. If there are
	// none it waits for at most wait. The error wraps ErrExpired when records are
	// missing.
	Read(ctx context.Context, from types.Offset, wait time.Duration) ([]Item[T], types.Offset, error)
	// DecodeRecord decodes a record that another daemon has read. The error wraps
	// ErrUnusable if the record has to be read from the source instead.
	DecodeRecord(r Record) (Item[T], error)
}

// Handler is told of the records. Its methods are called from the goroutine
// that runs Follow. away is how long the source could not be read before.
type Handler[T any] interface {
	HandleListing(l Listing[T], away time.Duration)
	// HandleChanges returns the items that matter to other daemons, in order.
	HandleChanges(items []Item[T], away time.Duration) []Item[T]
	// HandlePeerUpdate is like HandleChanges for items that another daemon has read. away is how long
	// this daemon cannot read the source now, 0 if it can.
	HandlePeerUpdate(items []Item[T], away time.Duration)
	// HandleFailure is called after each failed call, with the time since the last one
	// that did not fail.
	HandleFailure(err error, away time.Duration)
}

// Record is a record as the source holds it.
type Record struct {
	Key   string
	Value []byte
	// Next is the offset after the record.
	Next types.Offset
	// DeltaBase, if not 0, says that Value only holds the changes to the record of the
	// key that ends at that offset.
	DeltaBase types.Offset
}

// Update holds the records that matter between two offsets, as another daemon has
// read them.
type Update struct {
	// Since is the offset after which the records are all that matters, and Next
	// the one after the last of them.
	Since, Next types.Offset
	Records     []Record
}

// ReadResult is what a good call has shown of the source.
type ReadResult struct {
	// AsOf is when the source looked at the earliest: Next was its end then, or
	// later.
	AsOf clock.Instant
	// Next is the offset that was reached.
	Next types.Offset
	// Changed is the offset after the last record that HandleChanges has returned, 0
	// without one. It is not known what has changed in a list.
	Changed types.Offset
	Listed  bool
}

// Schedule says when to read.
type Schedule struct {
	// Now returns the time; nil means clock.Now.
	Now func() clock.Instant
	// Due returns how long to wait before the next read, 0 to read now, and how
	// long the read waits for changes. It is asked again after the wait.
	Due func(now clock.Instant) (pause, wait time.Duration)
	// OnRead, if not nil, is told after each good call.
	OnRead func(ReadResult)
	// MinPause and MaxPause bound the pause after a failed read.
	MinPause time.Duration
	MaxPause func() time.Duration
	// Wake, if not nil, ends the wait before a read early.
	Wake <-chan struct{}
	// PeerUpdates, if not nil, receives what other daemons have read. Each item follows
	// what is known, or overlaps it.
	PeerUpdates <-chan Update
	// OnApplied, if not nil, is told of the offset up to which all is known after news,
	// and OnMissed, if not nil, of the same when news could not be used.
	OnApplied, OnMissed func(next types.Offset)
}

// awayAfter is how long a source has to fail before its records count as
// missing news. Shorter failures are single lost calls.
const awayAfter = 500 * time.Millisecond

// Follow reads until the context ends. The first reads list the keys and then
// ask for changes at once.
func Follow[T any](ctx context.Context, src Source[T], h Handler[T], s Schedule) {
	if s.Now == nil {
		s.Now = clock.Now
	}
	f := follower[T]{src: src, h: h, s: s}
	for ctx.Err() == nil {
		if f.step(ctx) {
			f.pause = 0
			continue
		}
		f.pause = min(max(2*f.pause, s.MinPause), s.MaxPause())
		// A wake does not shorten the pause: while this node is turned away it comes
		// with each message of the others.
		f.sleep(ctx, f.pause, nil)
	}
}

type follower[T any] struct {
	src    Source[T]
	h      Handler[T]
	s      Schedule
	next   types.Offset
	listed bool
	// lost is when the first of the last failed calls began; zero after a good one.
	lost  clock.Instant
	pause time.Duration
}

func (f *follower[T]) step(ctx context.Context) bool {
	if !f.listed {
		return f.list(ctx)
	}
	var wait time.Duration
	if f.pause == 0 {
		wait = f.await(ctx)
	}
	began := f.s.Now()
	items, next, err := f.src.Read(ctx, f.next, wait)
	if errors.Is(err, ErrExpired) {
		f.listed = false
		return f.list(ctx)
	}
	if err != nil {
		return f.failed(err, began)
	}
	r := ReadResult{AsOf: began, Next: next}
	// A read without records has waited before it looked for the last time. One
	// with records may have been answered at once and held up on its way.
	if next == f.next && f.s.Now().Sub(began) >= wait {
		r.AsOf = began.Add(wait)
	}
	f.next = next
	if c := f.h.HandleChanges(items, f.back()); len(c) > 0 {
		r.Changed = c[len(c)-1].Next
	}
	f.read(r)
	return true
}

func (f *follower[T]) list(ctx context.Context) bool {
	began := f.s.Now()
	l, err := f.src.List(ctx)
	if err != nil {
		return f.failed(err, began)
	}
	f.listed, f.next = true, l.Next
	f.h.HandleListing(l, f.back())
	f.read(ReadResult{AsOf: began.Add(-l.Age), Next: l.Next, Listed: true})
	return true
}

// await waits until a read is due and returns how long it may wait for changes.
func (f *follower[T]) await(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		pause, wait := f.s.Due(f.s.Now())
		if pause <= 0 {
			return wait
		}
		if f.sleep(ctx, pause, f.s.Wake) {
			return 0
		}
	}
	return 0
}

func (f *follower[T]) read(r ReadResult) {
	if f.s.OnRead != nil {
		f.s.OnRead(r)
	}
}

// failed notes that a call which began at a time has failed.
func (f *follower[T]) failed(err error, began clock.Instant) bool {
	if f.lost == 0 {
		f.lost = began
	}
	f.h.HandleFailure(err, f.away())
	return false
}

// away returns how long the source has not answered, 0 if the last call was good.
func (f *follower[T]) away() time.Duration {
	if f.lost == 0 {
		return 0
	}
	return f.s.Now().Sub(f.lost)
}

// back returns how long the source was away and records that it is there.
func (f *follower[T]) back() time.Duration {
	away := f.away()
	f.lost = 0
	if away < awayAfter {
		return 0
	}
	return away
}

// sleep waits and reports whether it was woken early. It folds news meanwhile.
func (f *follower[T]) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	news := f.s.PeerUpdates
	if !f.listed {
		news = nil // there is nothing yet that it could follow
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
		case n := <-news:
			f.fold(n)
		}
	}
}

// fold takes what another daemon has read.
func (f *follower[T]) fold(n Update) {
	if n.Next <= f.next {
		return
	}
	if n.Since > f.next {
		// It followed news that was not usable.
		f.missed()
		return
	}
	var items []Item[T]
	for _, r := range n.Records {
		// What was read from the source is at least as new.
		if r.Next <= f.next {
			continue
		}
		i, err := f.src.DecodeRecord(r)
		if err != nil {
			f.missed()
			return
		}
		items = append(items, i)
	}
	f.next = n.Next
	f.h.HandlePeerUpdate(items, f.away())
	if f.s.OnApplied != nil {
		f.s.OnApplied(f.next)
	}
}

// missed says how far the records are known after news that was not usable.
func (f *follower[T]) missed() {
	if f.s.OnMissed != nil {
		f.s.OnMissed(f.next)
	}
}
