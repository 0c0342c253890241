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
	// Era is the era of the offsets, 0 if it is not known.
	Era types.Era
	// Next is the offset after the newest record that was read.
	Next types.Offset
	// Age is the upper bound of the time since the snapshot matched the store.
	Age time.Duration
}

// Feed stores the newest records of one feed. It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	records map[string]feed.Record // nil until the feed was listed
	// shared holds the newest record of each key that other daemons have as well, because it
	// was listed, published by this daemon or received from another one. It is the base of the
	// next delta. A record that does not decode is not published.
	shared map[string]feed.Record
	bases  bases         // recently replaced records
	era    types.Era     // of all offsets
	next   types.Offset  // all records before it are stored
	asOf   clock.Instant // of the last read
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
	c := Snapshot{Records: make([]feed.Record, 0, len(f.records)), Era: f.era, Next: f.next, Age: now.Sub(f.asOf)}
	for _, r := range f.records {
		c.Records = append(c.Records, r)
	}
	return c, nil
}

// RecordTo returns a handler that stores the records in f and forwards all calls to h. After
// each read with changes that are relevant to other daemons it calls publish, which decides
// whether to send them. Only then publish calls update, which encodes them.
func RecordTo[T any](f *Feed, h feed.Handler[T], publish func(update func() feed.Update)) feed.Handler[T] {
	return &recorder[T]{h, f, publish}
}

type recorder[T any] struct {
	feed.Handler[T]
	feed    *Feed
	publish func(update func() feed.Update)
}

// HandleListing implements feed.Handler.
func (r *recorder[T]) HandleListing(l feed.Listing[T], outage time.Duration) {
	records := make([]feed.Record, 0, len(l.Items))
	for _, i := range l.Items {
		records = append(records, cloneRecord(i))
	}
	r.feed.replaceAll(records, types.Position{Era: l.Era, Offset: l.Next})
	r.Handler.HandleListing(l, outage)
}

// HandleChanges implements feed.Handler.
func (r *recorder[T]) HandleChanges(items []feed.Item[T], outage time.Duration) []feed.Item[T] {
	records := make([]feed.Record, 0, len(items))
	for _, i := range items {
		records = append(records, cloneRecord(i))
	}
	r.feed.store(records)
	changed := r.Handler.HandleChanges(items, outage)
	if len(changed) == 0 {
		return nil
	}
	records = slices.DeleteFunc(records, func(stored feed.Record) bool { return !isNewest(changed, stored) })
	next := changed[len(changed)-1].Next
	since, bases := r.feed.share(records, next)
	r.publish(func() feed.Update {
		u := feed.Update{Era: since.Era, Since: since.Offset, Next: next, Records: make([]feed.Record, 0, len(records))}
		for i := range records {
			u.Records = append(u.Records, encodeDelta(records[i], bases[i]))
		}
		return u
	})
	return changed
}

// HandlePeerUpdate implements feed.Handler. It retains the encoded values of the items, each of
// which DecodeRecord has allocated or its record contained.
func (r *recorder[T]) HandlePeerUpdate(items []feed.Item[T], outage time.Duration) {
	records := make([]feed.Record, 0, len(items))
	next := types.Offset(0)
	for _, i := range items {
		records = append(records, feed.Record{Key: i.Key, Value: i.Raw, Next: i.Next})
		next = max(next, i.Next)
	}
	r.feed.store(records)
	r.feed.share(records, next)
	r.Handler.HandlePeerUpdate(items, outage)
}

// isNewest reports whether r is the record of the last of the items with its key.
func isNewest[T any](items []feed.Item[T], r feed.Record) bool {
	for _, i := range slices.Backward(items) {
		if i.Key == r.Key {
			return i.Next == r.Next
		}
	}
	return false
}

// cloneRecord returns the record of an item. It clones the value, which may be a part of a
// response with many records.
func cloneRecord[T any](i feed.Item[T]) feed.Record {
	return feed.Record{Key: i.Key, Value: bytes.Clone(i.Raw), Next: i.Next}
}

// replaceAll replaces all records by those of a listing from whose end, next, changes have to be
// read. The replaced ones remain the bases of deltas that others have sent or will send in this era.
func (f *Feed) replaceAll(records []feed.Record, next types.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.records
	f.records, f.shared = make(map[string]feed.Record, len(records)), map[string]feed.Record{}
	for _, r := range records {
		f.records[r.Key] = r
		if isBase(r) {
			f.shared[r.Key] = r
		}
		if before := old[r.Key]; before.Next != r.Next {
			f.bases.add(before)
		}
	}
	if next.Era != f.era || next.Offset < f.next {
		// The store has returned from an older copy and gives out offsets again.
		f.bases, f.era, f.next, f.completeUpTo = bases{}, next.Era, 0, 0
	}
	// A record of a later page may be newer than next, but the changes of other keys between
	// them are missing.
	f.next = max(f.next, next.Offset)
	f.completeUpTo = max(f.completeUpTo, next.Offset)
}

// store stores the records of a read or an update in order.
func (f *Feed) store(records []feed.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.next = max(f.next, r.Next)
		f.bases.add(f.records[r.Key])
		if len(r.Value) == 0 {
			delete(f.records, r.Key)
			continue
		}
		f.records[r.Key] = r
	}
}

// share records that other daemons have records as well, or will have once they are published,
// and all other relevant ones up to next. It returns the position up to which they had all before,
// and for each record the one of its key that they had.
func (f *Feed) share(records []feed.Record, next types.Offset) (since types.Position, before []feed.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		before = append(before, f.shared[r.Key])
		delete(f.shared, r.Key)
		if isBase(r) {
			f.shared[r.Key] = r
		}
	}
	since = types.Position{Era: f.era, Offset: f.completeUpTo}
	f.completeUpTo = max(f.completeUpTo, next)
	return since, before
}

// RecordRead records that the feed was read to its end as of the given time, from the
// store or from the snapshot of another daemon.
func (f *Feed) RecordRead(asOf clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = asOf
}

// Fetcher fetches the snapshot of a feed from another daemon.
type Fetcher interface {
	Fetch(ctx context.Context) (Snapshot, error)
}

// Source is a source of the store that fetches the first listing of a feed from other daemons
// if the store does not respond in time or fails. A later listing comes from another daemon only if
// it is of a later era, because a listing must not be older than the records it replaces. It is not
// safe for concurrent use.
type Source[T any] struct {
	feed.Source[T]
	peers  Fetcher
	feed   *Feed
	newest func() types.Era
	listed bool
	era    types.Era // of the last listing
}

// NewSource returns a Source for store. f holds the records of the feed, which are the bases
// of deltas. newest returns the newest known era of the store.
func NewSource[T any](store feed.Source[T], peers Fetcher, f *Feed, newest func() types.Era) *Source[T] {
	return &Source[T]{Source: store, peers: peers, feed: f, newest: newest}
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
	list := s.listFromStoreOrPeers
	if s.listed && s.newest() <= s.era {
		list = s.Source.List
	}
	l, err := list(ctx)
	if err == nil {
		s.listed, s.era = true, l.Era
	}
	return l, err
}

func (s *Source[T]) listFromStoreOrPeers(ctx context.Context) (feed.Listing[T], error) {
	store := make(chan result[feed.Listing[T]], 1)
	go func() {
		l, err := s.Source.List(ctx)
		store <- result[feed.Listing[T]]{l, err}
	}()
	timer := time.NewTimer(peerFetchDelay)
	defer timer.Stop()
	var r result[feed.Listing[T]]
	select {
	case r = <-store:
		if r.err == nil {
			return r.value, nil
		}
		store <- r
	case <-timer.C:
	}
	return s.listFromEither(ctx, store)
}

// result is the result of a call in another goroutine.
type result[V any] struct {
	value V
	err   error
}

// listFromEither returns the first listing that arrives: from another daemon, or from the store,
// whose call sends its result to store. It returns the error of the store if both fail.
func (s *Source[T]) listFromEither(ctx context.Context, store <-chan result[feed.Listing[T]]) (feed.Listing[T], error) {
	fetchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := make(chan result[Snapshot], 1)
	go func() {
		c, err := s.peers.Fetch(fetchContext)
		peers <- result[Snapshot]{c, err}
	}()
	var failed error
	for range 2 {
		select {
		case r := <-store:
			if r.err == nil {
				return r.value, nil
			}
			failed = r.err
		case r := <-peers:
			if r.err != nil || s.listed && r.value.Era <= s.era {
				continue
			}
			if l, err := s.listing(r.value); err == nil {
				return l, nil
			}
		}
	}
	return feed.Listing[T]{}, failed
}

func (s *Source[T]) listing(c Snapshot) (feed.Listing[T], error) {
	l := feed.Listing[T]{Era: c.Era, Next: c.Next, Age: c.Age}
	for _, r := range c.Records {
		i, err := s.Source.DecodeRecord(r)
		if err != nil {
			return feed.Listing[T]{}, err
		}
		l.Items = append(l.Items, i)
	}
	return l, nil
}
