package feed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/types"
)

// fakeSource returns the result of the next step of a script for each call.
type fakeSource struct {
	steps []func() error
	lists int
	reads []types.Offset
	eras  []types.Era // of reads
	end   types.Offset
	era   types.Era
	done  func()
}

func (s *fakeSource) next() error {
	if len(s.steps) == 0 {
		s.done()
		return nil
	}
	f := s.steps[0]
	s.steps = s.steps[1:]
	return f()
}

func (s *fakeSource) List(context.Context) (Listing[string], error) {
	s.lists++
	v := "listed"
	return Listing[string]{Items: []Item[string]{{Key: "k", Value: &v}}, Era: s.era, Next: s.end}, s.next()
}

func (s *fakeSource) Read(_ context.Context, from types.Position, _ time.Duration) ([]Item[string], types.Offset, error) {
	s.reads, s.eras = append(s.reads, from.Offset), append(s.eras, from.Era)
	return nil, from.Offset + 1, s.next()
}

func (s *fakeSource) DecodeRecord(r Record) (Item[string], error) {
	if r.DeltaBase != 0 {
		return Item[string]{}, ErrUnusable
	}
	v := string(r.Value)
	return Item[string]{Key: r.Key, Value: &v, Raw: r.Value, Next: r.Next}, nil
}

type fakeHandler struct {
	listed, changed, failed int
	outages                 []time.Duration
	peerKeys                []string
	peerOutages             []time.Duration
}

func (h *fakeHandler) HandleListing(_ Listing[string], outage time.Duration) {
	h.listed++
	h.outages = append(h.outages, outage)
}
func (h *fakeHandler) HandleChanges(_ []Item[string], outage time.Duration) []Item[string] {
	h.changed++
	h.outages = append(h.outages, outage)
	return nil
}
func (h *fakeHandler) HandlePeerUpdate(items []Item[string], outage time.Duration) {
	for _, i := range items {
		h.peerKeys = append(h.peerKeys, i.Key)
	}
	h.peerOutages = append(h.peerOutages, outage)
}
func (h *fakeHandler) HandleFailure(error, time.Duration) { h.failed++ }

func ok() error { return nil }

func second() time.Duration { return time.Second }

// every returns a Due function that reads once per interval.
func every(interval, wait time.Duration) func(clock.Instant) (time.Duration, time.Duration) {
	var last clock.Instant
	return func(now clock.Instant) (time.Duration, time.Duration) {
		if pause := last.Add(interval).Sub(now); pause > 0 {
			return pause, wait
		}
		last = now
		return 0, wait
	}
}

func follow(t *testing.T, s *fakeSource) *fakeHandler {
	h := &fakeHandler{}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s.done = cancel
		Follow(ctx, s, h, Schedule{Now: clocktest.Virtual, Due: every(100*time.Millisecond, 0), MinPause: 100 * time.Millisecond, MaxPause: second})
	})
	return h
}

// Guards against records that are missed because a read does not continue where the
// previous one ended.
func TestReadContinuesAtLastOffset(t *testing.T) {
	s := &fakeSource{end: 40, steps: []func() error{ok, ok, ok}}
	h := follow(t, s)
	assert.Equal(t, s.lists, 1)
	assert.DeepEqual(t, s.reads, []types.Offset{40, 41, 42})
	assert.Equal(t, h.listed, 1)
}

// Guards against keys that are missed because their records have expired. Follow has to
// list again without reporting a failure.
func TestExpiredRecordsAreListedAgain(t *testing.T) {
	expired := func() error { return ErrExpired }
	s := &fakeSource{end: 7, steps: []func() error{ok, expired, ok, ok}}
	h := follow(t, s)
	assert.Equal(t, s.lists, 2)
	assert.Equal(t, h.listed, 2)
	assert.Equal(t, h.failed, 0)
}

// Guards against a long outage that is not reported to the handler, and against a single
// failed call that counts as an outage.
func TestOutage(t *testing.T) {
	fail := func() error { return errors.New("down") }
	long := []func() error{ok, fail, fail, fail, fail, ok, ok}
	h := follow(t, &fakeSource{steps: long})
	assert.Equal(t, h.failed, 4)
	assert.Equal(t, h.outages[1], 1500*time.Millisecond, "sum of the pauses of 100, 200, 400 and 800 ms")
	assert.Equal(t, h.outages[2], time.Duration(0))
	h = follow(t, &fakeSource{steps: []func() error{ok, fail, ok}})
	assert.Equal(t, h.outages[1], time.Duration(0))
}

// Guards against a node that is refused by the store and calls it again on each message
// from a peer: 13 nodes made 7,319 calls instead of a few hundred in the run trouble-1 of
// kereru-tpl.
func TestWakeDoesNotShortenPauseAfterFailures(t *testing.T) {
	wake := make(chan struct{}, 100)
	for range cap(wake) {
		wake <- struct{}{}
	}
	s := &fakeSource{}
	fails := 0
	for range 10 {
		s.steps = append(s.steps, func() error { fails++; return errors.New("refused") })
	}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s.done = cancel
		began := time.Now()
		Follow(ctx, s, &fakeHandler{}, Schedule{Now: clocktest.Virtual, Due: every(time.Second, 0), Wake: wake, MinPause: 100 * time.Millisecond, MaxPause: second})
		assert.Assert(t, time.Since(began) >= 7*time.Second, "10 failures took %s", time.Since(began))
	})
	assert.Equal(t, fails, 10)
}

// Guards against changes that each node reads from the store although a peer has
// published them, against applying a record that is older than what was read, and against
// updates that leave a gap.
func TestPeerUpdates(t *testing.T) {
	record := func(key string, next types.Offset) Record { return Record{Key: key, Value: []byte("v"), Next: next} }
	s := &fakeSource{end: 40, steps: []func() error{ok, ok, func() error { return errors.New("down") }, ok}}
	h := &fakeHandler{}
	var applied, missed []types.Offset
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s.done = cancel
		updates := make(chan Update, 4)
		updates <- Update{Since: 30, Next: 42, Records: []Record{record("old", 35), record("new", 42)}}
		updates <- Update{Since: 45, Next: 46, Records: []Record{record("gap", 46)}}
		updates <- Update{Since: 42, Next: 43, Records: []Record{{Key: "unusable", Next: 43, DeltaBase: 7}}}
		updates <- Update{Since: 42, Next: 44, Records: []Record{record("next", 44)}}
		time.AfterFunc(1500*time.Millisecond, func() {
			updates <- Update{Since: 44, Next: 47, Records: []Record{record("outage", 47)}}
		})
		Follow(ctx, s, h, Schedule{
			Now: clocktest.Virtual,
			Due: every(time.Second, 0), PeerUpdates: updates, OnApplied: func(o types.Offset) { applied = append(applied, o) },
			OnMissed: func(o types.Offset) { missed = append(missed, o) },
			MinPause: time.Second, MaxPause: second,
		})
	})
	assert.DeepEqual(t, h.peerKeys, []string{"new", "next", "outage"})
	assert.DeepEqual(t, applied, []types.Offset{42, 44, 47})
	assert.DeepEqual(t, missed, []types.Offset{42, 42})
	assert.Equal(t, s.reads[1], types.Offset(44), "reads continue after the applied updates")
	assert.DeepEqual(t, h.peerOutages, []time.Duration{0, 0, 500 * time.Millisecond})
}

// timedSource completes each read after a delay.
type timedSource struct {
	fakeSource
	delays  []time.Duration
	records bool
}

func (s *timedSource) Read(_ context.Context, at types.Position, _ time.Duration) ([]Item[string], types.Offset, error) {
	from := at.Offset
	if len(s.delays) == 0 {
		s.done()
		return nil, from, nil
	}
	time.Sleep(s.delays[0])
	s.delays = s.delays[1:]
	if s.records {
		return []Item[string]{{Key: "k", Next: from + 1}}, from + 1, nil
	}
	return nil, from, nil
}

// Guards against a read that counts as fresher than it is because its response, or this
// node, was delayed.
func TestReadAgeIncludesDelays(t *testing.T) {
	const wait = 500 * time.Millisecond
	for name, c := range map[string]struct {
		delay   time.Duration
		records bool
		age     time.Duration
	}{
		"full wait":                       {wait, false, 0},
		"delayed after the wait":          {5 * time.Second, false, 4500 * time.Millisecond},
		"response before the end of wait": {100 * time.Millisecond, false, 100 * time.Millisecond},
		"records, delayed or not":         {5 * time.Second, true, 5 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &timedSource{fakeSource: fakeSource{done: cancel, steps: []func() error{ok}}, delays: []time.Duration{c.delay}, records: c.records}
			var results []ReadResult
			var ages []time.Duration
			Follow(ctx, s, &fakeHandler{}, Schedule{
				Now: clocktest.Virtual, Due: every(0, wait), MinPause: second(), MaxPause: second,
				OnRead: func(r ReadResult) {
					results = append(results, r)
					ages = append(ages, clocktest.Virtual().Sub(r.AsOf))
				},
			})
			assert.Assert(t, results[0].Listed && !results[1].Listed)
			assert.Equal(t, ages[1], c.age, name)
		})
	}
}

func (s *fakeSource) ReadNewest(context.Context, types.Position) ([]Item[string], types.Offset, error) {
	return nil, 0, ErrUnsupported
}

// Guards against a node that reads on from an offset of before a return of the source, applies updates of
// another era, or takes targets that the older copy lacks for removed ones.
func TestNewEraIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeSource{done: cancel, steps: []func() error{ok, ok, ok, ok}, end: 7, era: 1}
		h, updates, newest := &fakeHandler{}, make(chan Update, 4), types.Era(1)
		var results []ReadResult
		Follow(ctx, s, h, Schedule{
			Now: clocktest.Virtual, Due: every(time.Second, 0), MinPause: second(), MaxPause: second,
			Era: func() types.Era { return newest }, PeerUpdates: updates,
			OnRead: func(r ReadResult) {
				results = append(results, r)
				if len(results) == 2 {
					s.era, newest = 2, 2
					updates <- Update{Era: 2, Since: 8, Next: 9, Records: []Record{{Key: "newer", Next: 9}}}
					updates <- Update{Era: 1, Since: 8, Next: 9, Records: []Record{{Key: "same", Next: 9}}}
				}
			},
		})
		assert.DeepEqual(t, h.peerKeys, []string{"same"})
		assert.Equal(t, s.lists, 2)
		assert.Assert(t, results[2].Listed && results[2].Era == 2 && !results[3].Listed && results[3].Era == 2)
		assert.DeepEqual(t, s.eras[:2], []types.Era{1, 2})
		assert.Equal(t, h.outages[2], minOutage)
	})
}
