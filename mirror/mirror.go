// Package mirror keeps the newest records of a feed as they were read, so that a
// daemon that starts while the store does not answer takes them from another
// daemon. It performs no I/O; a Fetcher does.
package mirror

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// ErrNotListed reports a feed that was not read yet.
var ErrNotListed = errors.New("the feed was not read yet")

// Snapshot is what a daemon holds of a feed.
type Snapshot struct {
	Records []feed.Record
	// Next is the offset after the newest record that was read.
	Next types.Offset
	// Age is how long ago the daemon knew all that the store held, at most.
	Age time.Duration
}

// Feed holds the newest records of one feed. It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	records map[string]feed.Record // nil until the feed was listed
	// older holds the records that long ones have replaced lately, the newest last.
	older map[string][]feed.Record
	next  types.Offset
	asOf  clock.Instant // of the last read
	// told is the offset through which nothing matters that was not published.
	told types.Offset
}

// Snapshot returns the records. The error is ErrNotListed if the feed was not listed
// yet.
func (f *Feed) Snapshot(now clock.Instant) (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		return Snapshot{}, ErrNotListed
	}
	c := Snapshot{Records: make([]feed.Record, 0, len(f.records)), Next: f.next, Age: now.Sub(f.asOf)}
	for _, r := range f.records {
		c.Records = append(c.Records, r)
	}
	return c, nil
}

// RecordTo returns a handler that passes everything on to h and keeps the records
// in f. It gives publish what matters to other daemons of each read; publish
// decides whether to tell them.
func RecordTo[T any](f *Feed, h feed.Handler[T], publish func(feed.Update)) feed.Handler[T] {
	return &keeper[T]{h, f, publish}
}

type keeper[T any] struct {
	feed.Handler[T]
	feed    *Feed
	publish func(feed.Update)
}

// HandleListing implements feed.Handler.
func (k *keeper[T]) HandleListing(l feed.Listing[T], away time.Duration) {
	k.feed.list()
	keep(k.feed, l.Items)
	k.feed.reach(l.Next)
	k.Handler.HandleListing(l, away)
}

// HandleChanges implements feed.Handler.
func (k *keeper[T]) HandleChanges(items []feed.Item[T], away time.Duration) []feed.Item[T] {
	before := pick(k.feed, items)
	keep(k.feed, items)
	changed := k.Handler.HandleChanges(items, away)
	if len(changed) == 0 {
		return nil
	}
	n := feed.Update{Next: changed[len(changed)-1].Next}
	for at, i := range changed {
		if isLast(changed, at) {
			n.Records = append(n.Records, shorten(recordOf(i), before[i.Key]))
		}
	}
	n.Since = k.feed.reach(n.Next)
	k.publish(n)
	return changed
}

// HandlePeerUpdate implements feed.Handler.
func (k *keeper[T]) HandlePeerUpdate(items []feed.Item[T], away time.Duration) {
	keep(k.feed, items)
	for _, i := range items {
		k.feed.reach(i.Next)
	}
	k.Handler.HandlePeerUpdate(items, away)
}

// isLast reports whether no later item has the key of the one at a position.
func isLast[T any](items []feed.Item[T], at int) bool {
	return !slices.ContainsFunc(items[at+1:], func(i feed.Item[T]) bool { return i.Key == items[at].Key })
}

func recordOf[T any](i feed.Item[T]) feed.Record {
	return feed.Record{Key: i.Key, Value: bytes.Clone(i.Raw), Next: i.Next}
}

// pick returns the records of the keys of some items.
func pick[T any](f *Feed, items []feed.Item[T]) map[string]feed.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]feed.Record, len(items))
	for _, i := range items {
		if r, ok := f.records[i.Key]; ok {
			out[i.Key] = r
		}
	}
	return out
}

// list forgets all records before a list.
func (f *Feed) list() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records, f.older = map[string]feed.Record{}, map[string][]feed.Record{}
}

// RecordRead records that the feed was read to its end as of the given time, from the
// store or from the snapshot of another daemon.
func (f *Feed) RecordRead(asOf clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = asOf
}

// reach notes that all that matters up to next is known, and returns the offset
// up to which that was so before.
func (f *Feed) reach(next types.Offset) types.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.told
	f.told = max(old, next)
	f.next = max(f.next, next)
	return old
}

func keep[T any](f *Feed, items []feed.Item[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range items {
		f.next = max(f.next, i.Next)
		if len(i.Raw) == 0 {
			delete(f.records, i.Key)
			continue
		}
		f.retire(f.records[i.Key])
		f.records[i.Key] = recordOf(i)
	}
}

// Fetcher asks other daemons for what they hold of a feed.
type Fetcher interface {
	Fetch(ctx context.Context) (Snapshot, error)
}

// Source lists a feed from other daemons if the store does not answer the first
// list, and is the store's source in all else: a list that replaces what is
// known must not be older than it. It is not safe for concurrent use.
type Source[T any] struct {
	feed.Source[T]
	peers Fetcher
	feed  *Feed
	known bool
}

// NewSource returns a source of what store holds. f keeps its records.
func NewSource[T any](store feed.Source[T], peers Fetcher, f *Feed) *Source[T] {
	return &Source[T]{Source: store, peers: peers, feed: f}
}

// DecodeRecord implements feed.Source.
func (s *Source[T]) DecodeRecord(r feed.Record) (feed.Item[T], error) {
	full, err := s.feed.restore(r)
	if err != nil {
		return feed.Item[T]{}, err
	}
	return s.Source.DecodeRecord(full)
}

// headStart is how long the store has for its answer before other daemons are
// asked: several times its usual time of some milliseconds, and short beside the
// time that callers wait.
const headStart = 250 * time.Millisecond

// List implements feed.Source.
func (s *Source[T]) List(ctx context.Context) (feed.Listing[T], error) {
	if s.known {
		return s.Source.List(ctx)
	}
	type result struct {
		feed.Listing[T]
		err error
	}
	store := make(chan result, 1)
	go func() {
		l, err := s.Source.List(ctx)
		store <- result{l, err}
	}()
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	var r result
	answered := true
	select {
	case r = <-store:
	case <-timer.C:
		answered = false
	}
	if !answered || r.err != nil {
		if c, err := s.peers.Fetch(ctx); err == nil {
			if l, err := s.listing(c); err == nil {
				s.known = true
				return l, nil
			}
		}
	}
	if !answered {
		r = <-store
	}
	s.known = r.err == nil
	return r.Listing, r.err
}

func (s *Source[T]) listing(c Snapshot) (feed.Listing[T], error) {
	l := feed.Listing[T]{Next: c.Next, Age: c.Age}
	for _, r := range c.Records {
		i, err := s.Source.DecodeRecord(r)
		if err != nil {
			return feed.Listing[T]{}, err
		}
		l.Items = append(l.Items, i)
	}
	return l, nil
}
