// Package feed follows keyed records: it lists the newest record of each key
// and then reads the changes, over outages and expired records.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrExpired reports that records before the newest ones are gone, so that the
// keys have to be listed again.
var ErrExpired = errors.New("records have expired")

// Item is the newest record of one key.
type Item[T any] struct {
	Key string
	// Value is nil when the key was removed.
	Value *T
	// Err says why a record does not decode; Value is nil then, but the key was
	// not removed.
	Err error
}

// Source reads keyed records of one type.
type Source[T any] interface {
	// List returns all keys and the offset from which to read changes.
	List(ctx context.Context) ([]Item[T], types.Offset, error)
	// Read returns the changes from an offset and the next offset. If there are
	// none it waits for at most wait. The error wraps ErrExpired when records are
	// missing.
	Read(ctx context.Context, from types.Offset, wait time.Duration) ([]Item[T], types.Offset, error)
}

// Handler is told of the records. Its methods are called from the goroutine
// that runs Follow. away is how long the source could not be read before.
type Handler[T any] interface {
	Listed(items []Item[T], away time.Duration)
	Changed(items []Item[T], away time.Duration)
	// Failed is called after each failed call, with the time since the last one
	// that did not fail.
	Failed(err error, away time.Duration)
}

// Schedule says when to read.
type Schedule struct {
	// Every is the time between reads that do not wait, Wait the time that a read
	// waits for changes.
	Every, Wait time.Duration
	// MinPause and MaxPause bound the pause after a failed read.
	MinPause, MaxPause time.Duration
	// Wake, if not nil, ends a pause between reads early.
	Wake <-chan struct{}
}

// awayAfter is how long a source has to fail before its records count as
// missing news. Shorter failures are single lost calls.
const awayAfter = 500 * time.Millisecond

// Follow reads until the context ends.
func Follow[T any](ctx context.Context, src Source[T], h Handler[T], s Schedule) {
	f := follower[T]{src: src, h: h, s: s, good: time.Now()}
	for ctx.Err() == nil {
		if f.step(ctx) {
			f.pause = 0
			f.sleep(ctx, s.Every)
			continue
		}
		f.pause = min(max(2*f.pause, s.MinPause), s.MaxPause)
		f.sleep(ctx, f.pause)
	}
}

type follower[T any] struct {
	src    Source[T]
	h      Handler[T]
	s      Schedule
	next   types.Offset
	listed bool
	good   time.Time // when the last call succeeded
	pause  time.Duration
}

func (f *follower[T]) step(ctx context.Context) bool {
	if !f.listed {
		items, next, err := f.src.List(ctx)
		if err != nil {
			return f.failed(err)
		}
		f.listed, f.next = true, next
		f.h.Listed(items, f.back())
		return true
	}
	items, next, err := f.src.Read(ctx, f.next, f.s.Wait)
	if errors.Is(err, ErrExpired) {
		f.listed = false
		return f.step(ctx)
	}
	if err != nil {
		return f.failed(err)
	}
	f.next = next
	f.h.Changed(items, f.back())
	return true
}

func (f *follower[T]) failed(err error) bool {
	f.h.Failed(err, time.Since(f.good))
	return false
}

// back returns how long the source was away and records that it is there.
func (f *follower[T]) back() time.Duration {
	away := time.Since(f.good) - f.s.Every - f.s.Wait
	f.good = time.Now()
	if away < awayAfter || f.pause == 0 {
		return 0
	}
	return away
}

func (f *follower[T]) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.s.Wake:
	}
}
