// Package mirror retains the newest encoded records of a feed, so that a daemon that starts
// during an outage of the store can fetch them from another daemon. It performs no I/O
// itself; a Fetcher does.
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

// ErrNotListed reports that a daemon has no snapshot of a feed, because it has not listed the
// feed yet.
var ErrNotListed = errors.New("feed has not been listed yet")

// Snapshot contains the newest records of a feed that a daemon has applied.
type Snapshot struct {
	Records []feed.Record
	// Next is the offset after the newest record that was read.
	Next types.Offset
	// Age is the upper bound of the time since the snapshot matched the store.
	Age time.Duration
}

// Feed stores the newest records of one feed. It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	records map[string]feed.Record // nil until the feed was listed
	// bases holds recently replaced records as bases of deltas, by key, the newest last.
	bases map[string][]feed.Record
	next  types.Offset
	asOf  clock.Instant // of the last read
	// completeUpTo is the offset up to which all relevant records were listed, published by
	// this daemon or received from peers. It is the Since of the next update.
	completeUpTo types.Offset
}

// Snapshot returns the newest records. The error is ErrNotListed if the feed was not listed
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

// RecordTo returns a handler that stores the records in f and forwards all calls to h. After
// each read it calls publish with the changes that are relevant to other daemons; publish
// decides whether to send them.
func RecordTo[T any](f *Feed, h feed.Handler[T], publish func(feed.Update)) feed.Handler[T] {
	return &recorder[T]{h, f, publish}
}

type recorder[T any] struct {
	feed.Handler[T]
	feed    *Feed
	publish func(feed.Update)
}

// HandleListing implements feed.Handler.
func (r *recorder[T]) HandleListing(l feed.Listing[T], outage time.Duration) {
	r.feed.reset()
	storeItems(r.feed, l.Items)
	r.feed.advance(l.Next)
	r.Handler.HandleListing(l, outage)
}

// HandleChanges implements feed.Handler.
func (r *recorder[T]) HandleChanges(items []feed.Item[T], outage time.Duration) []feed.Item[T] {
	before := currentRecords(r.feed, items)
	storeItems(r.feed, items)
	changed := r.Handler.HandleChanges(items, outage)
	if len(changed) == 0 {
		return nil
	}
	u := feed.Update{Next: changed[len(changed)-1].Next}
	for at, i := range changed {
		if isLast(changed, at) {
			u.Records = append(u.Records, encodeDelta(recordOf(i), before[i.Key]))
		}
	}
	u.Since = r.feed.advance(u.Next)
	r.publish(u)
	return changed
}

// HandlePeerUpdate implements feed.Handler.
func (r *recorder[T]) HandlePeerUpdate(items []feed.Item[T], outage time.Duration) {
	storeItems(r.feed, items)
	for _, i := range items {
		r.feed.advance(i.Next)
	}
	r.Handler.HandlePeerUpdate(items, outage)
}

// isLast reports whether no later item has the same key as items[at].
func isLast[T any](items []feed.Item[T], at int) bool {
	return !slices.ContainsFunc(items[at+1:], func(i feed.Item[T]) bool { return i.Key == items[at].Key })
}

func recordOf[T any](i feed.Item[T]) feed.Record {
	return feed.Record{Key: i.Key, Value: bytes.Clone(i.Raw), Next: i.Next}
}

// currentRecords returns the stored records for the keys of items.
func currentRecords[T any](f *Feed, items []feed.Item[T]) map[string]feed.Record {
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

// reset removes all records before those of a listing are stored.
func (f *Feed) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records, f.bases = map[string]feed.Record{}, map[string][]feed.Record{}
}

// RecordRead records that the feed was read to its end as of the given time, from the
// store or from the snapshot of another daemon.
func (f *Feed) RecordRead(asOf clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = asOf
}

// advance raises completeUpTo to next and returns its previous value.
func (f *Feed) advance(next types.Offset) types.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.completeUpTo
	f.completeUpTo = max(old, next)
	f.next = max(f.next, next)
	return old
}

func storeItems[T any](f *Feed, items []feed.Item[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range items {
		f.next = max(f.next, i.Next)
		if len(i.Raw) == 0 {
			delete(f.records, i.Key)
			continue
		}
		f.retainBase(f.records[i.Key])
		f.records[i.Key] = recordOf(i)
	}
}

// Fetcher fetches the snapshot of a feed from another daemon.
type Fetcher interface {
	Fetch(ctx context.Context) (Snapshot, error)
}

// Source is a source of the store that fetches the first listing of a feed from other daemons
// if the store does not respond in time or fails. Later listings only come from the store,
// because a listing must not be older than the records it replaces. It is not safe for
// concurrent use.
type Source[T any] struct {
	feed.Source[T]
	peers  Fetcher
	feed   *Feed
	listed bool
}

// NewSource returns a Source for store. f holds the records of the feed, which are the bases
// of deltas.
func NewSource[T any](store feed.Source[T], peers Fetcher, f *Feed) *Source[T] {
	return &Source[T]{Source: store, peers: peers, feed: f}
}

// DecodeRecord implements feed.Source.
func (s *Source[T]) DecodeRecord(r feed.Record) (feed.Item[T], error) {
	full, err := s.feed.decodeDelta(r)
	if err != nil {
		return feed.Item[T]{}, err
	}
	return s.Source.DecodeRecord(full)
}

// peerFetchDelay is how long the first list waits for the response of the store before it
// fetches a snapshot from other daemons. It is several times the usual response time of some
// milliseconds, and short compared with the time that callers wait.
const peerFetchDelay = 250 * time.Millisecond

// List implements feed.Source.
func (s *Source[T]) List(ctx context.Context) (feed.Listing[T], error) {
	if s.listed {
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
	timer := time.NewTimer(peerFetchDelay)
	defer timer.Stop()
	var r result
	responded := true
	select {
	case r = <-store:
	case <-timer.C:
		responded = false
	}
	if !responded || r.err != nil {
		if snapshot, err := s.peers.Fetch(ctx); err == nil {
			if l, err := s.listing(snapshot); err == nil {
				s.listed = true
				return l, nil
			}
		}
	}
	if !responded {
		r = <-store
	}
	s.listed = r.err == nil
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
