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

var errSlow = errors.New("response did not arrive in time")

// linkSource is a topic with one key whose records have the same size. A call fails after
// callTimeout if the link does not transfer its response until then.
type linkSource struct {
	fakeSource
	listEnd      types.Offset // the end of the topic when it is listed
	end          func() types.Offset
	recordBytes  int
	bytesPerS    int
	maxReadBytes int
	// rejected makes all calls fail at once.
	rejected         bool
	reads, newest    int
	newestUnsupports bool
}

const callTimeout = 800 * time.Millisecond

func (s *linkSource) transfer(ctx context.Context, bytes int) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if s.rejected {
		return errSlow
	}
	d := time.Duration(bytes) * time.Second / time.Duration(s.bytesPerS)
	time.Sleep(min(d, callTimeout))
	if d > callTimeout {
		return errSlow
	}
	return nil
}

func (s *linkSource) items(from, to types.Offset) (items []Item[string]) {
	v := "value"
	for o := from; o < to; o++ {
		items = append(items, Item[string]{Key: "k", Value: &v, Next: o + 1})
	}
	return items
}

func (s *linkSource) List(context.Context) (Listing[string], error) {
	return Listing[string]{Next: s.listEnd}, nil
}

func (s *linkSource) Read(ctx context.Context, at types.Position, wait time.Duration) ([]Item[string], types.Offset, error) {
	from := at.Offset
	if ctx.Err() == nil {
		s.reads++
	}
	end := s.end()
	to := min(end, from+types.Offset(s.maxReadBytes/s.recordBytes))
	if to == from {
		time.Sleep(wait)
	}
	if err := s.transfer(ctx, int(to-from)*s.recordBytes); err != nil {
		return nil, 0, err
	}
	if to < end {
		return s.items(from, to), to, ErrMore
	}
	return s.items(from, to), to, nil
}

func (s *linkSource) ReadNewest(ctx context.Context, at types.Position) ([]Item[string], types.Offset, error) {
	from := at.Offset
	if s.newestUnsupports {
		return nil, 0, ErrUnsupported
	}
	s.newest++
	end := s.end()
	if err := s.transfer(ctx, s.recordBytes*4/3); err != nil {
		return nil, 0, err
	}
	if end <= from {
		return nil, from, nil
	}
	return s.items(end-1, end), end, nil
}

// changingHandler reports the items with an even offset as changes.
type changingHandler struct{ fakeHandler }

func (h *changingHandler) HandleChanges(items []Item[string], outage time.Duration) (changed []Item[string]) {
	h.fakeHandler.HandleChanges(items, outage)
	for _, i := range items {
		if i.Next%2 == 0 {
			changed = append(changed, i)
		}
	}
	return changed
}

// runFor follows s for a duration in virtual time.
func runFor(t *testing.T, d time.Duration, f func(began time.Time) (Source[string], Schedule)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		src, s := f(time.Now())
		s.Now, s.MinPause, s.MaxPause = clocktest.Virtual, 100*time.Millisecond, second
		Follow(ctx, src, &changingHandler{}, s)
	})
}

// Guards against a node that never catches up: it is 23 configurations of 187 KB behind, half of
// its link of 10 Mbit/s is free, and a configuration follows every 0.25 s (issue 41: a node served
// again after 5 s had the configuration of 5 s before).
func TestBacklogOnSlowLink(t *testing.T) {
	const interval = 250 * time.Millisecond
	var late time.Duration
	runFor(t, 10*time.Second, func(began time.Time) (Source[string], Schedule) {
		end := func() types.Offset { return types.Offset(time.Since(began)/interval) + 30 }
		src := &linkSource{listEnd: 30 - 23, end: end, recordBytes: 187_000, bytesPerS: 625_000, maxReadBytes: 1 << 20}
		return src, Schedule{Due: every(500*time.Millisecond, 0), OnRead: func(r ReadResult) {
			if !r.Listed {
				late = max(late, time.Duration(end()-r.Next)*interval)
			}
		}}
	})
	assert.Assert(t, late > 0 && late <= time.Second, "%s behind after a read", late)
}

// Guards against the newest record only, and its page in base64, where a read of the changes is
// less, against calls that the source does not support, and against a daemon that calls the source
// without a pause because others claim what the source does not have.
func TestChoiceOfReads(t *testing.T) {
	for name, c := range map[string]struct {
		known, end    types.Offset
		unsupported   bool
		reads, newest int
		skipped       int
	}{
		"up to date":     {10, 10, false, 10, 0, 0},
		"one behind":     {11, 11, false, 10, 0, 0},
		"two behind":     {12, 12, false, 9, 1, 1},
		"not supported":  {12, 12, true, 10, 0, 0},
		"claims invalid": {50, 10, false, 9, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			src := &linkSource{listEnd: 10, recordBytes: 1, bytesPerS: 1e9, maxReadBytes: 1 << 20, newestUnsupports: c.unsupported}
			src.end = func() types.Offset { return c.end }
			skipped := 0
			runFor(t, 950*time.Millisecond, func(time.Time) (Source[string], Schedule) {
				return src, Schedule{
					Due: every(100*time.Millisecond, 0), Known: func() types.Offset { return c.known },
					OnResult: func(r CallResult) { skipped += r.Skipped },
				}
			})
			assert.Equal(t, src.reads, c.reads)
			assert.Equal(t, src.newest, c.newest)
			assert.Equal(t, skipped, c.skipped, "records that were not requested")
		})
	}
}

// Guards against a claim to have read the feed to its end after a read that returned only a part
// of it, against changes in such reads that are never claimed, and against a read that waits until
// it is due although more records follow.
func TestPartialReads(t *testing.T) {
	var results []ReadResult
	src := &linkSource{end: func() types.Offset { return 7 }, recordBytes: 100, bytesPerS: 1e9, maxReadBytes: 300, newestUnsupports: true}
	runFor(t, 900*time.Millisecond, func(time.Time) (Source[string], Schedule) {
		return src, Schedule{Due: every(500*time.Millisecond, 0), OnRead: func(r ReadResult) {
			r.AsOf, r.Duration = 0, 0
			results = append(results, r)
		}}
	})
	assert.DeepEqual(t, results, []ReadResult{{Listed: true}, {Next: 7, Changed: 6}, {Next: 7}})
	assert.Equal(t, src.reads, 4, "three parts, and a read when it is due")
}

// Guards against a node that the store rejects, or that a wake tells of a change, and that reads
// the store although another daemon has the change, and against requests to others at the pace of
// their messages when these have nothing.
func TestFetchMissing(t *testing.T) {
	for name, c := range map[string]struct {
		rejected bool
		wakes    int
		// fetch is the time that a fetch takes, and fails whether it returns an error.
		fetch time.Duration
		fails bool
		// calls is the number of calls to the source, and fetches the maximum number of fetches.
		calls, fetches int
	}{
		"woken":                       {false, 1, 0, false, 0, 1},
		"woken, fetch fails":          {false, 1, 0, true, 1, 1},
		"rejected":                    {true, 100, 0, false, 5, 1},
		"rejected, not woken":         {true, 0, 0, false, 5, 1},
		"rejected, fetches fail":      {true, 100, 0, true, 5, 5},
		"rejected, others are silent": {true, 100, time.Hour, true, 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			fetches, applied := 0, 0
			src := &linkSource{listEnd: 10, end: func() types.Offset { return 12 }, rejected: c.rejected, recordBytes: 1, bytesPerS: 1e9, maxReadBytes: 1 << 20}
			runFor(t, 1650*time.Millisecond, func(time.Time) (Source[string], Schedule) {
				wake := make(chan struct{}, 100)
				for range c.wakes {
					wake <- struct{}{}
				}
				due := every(100*time.Millisecond, 0)
				if !c.rejected {
					due = func(clock.Instant) (time.Duration, time.Duration) { return time.Minute, 0 }
				}
				return src, Schedule{
					Due: due, Wake: wake, Known: src.end, OnApplied: func(types.Offset) { applied++ },
					FetchMissing: func(ctx context.Context, at types.Position) (Update, error) {
						from := at.Offset
						fetches++
						select {
						case <-ctx.Done():
						case <-time.After(c.fetch):
						}
						if c.fails {
							return Update{}, errSlow
						}
						return Update{Since: from, Next: 12, Records: []Record{{Key: "k", Value: []byte("v"), Next: 12}}}, nil
					},
				}
			})
			assert.Equal(t, src.reads+src.newest, c.calls)
			assert.Assert(t, fetches > 0 && fetches <= c.fetches, "%d fetches", fetches)
			assert.Equal(t, applied == 1, !c.fails)
		})
	}
}

// Guards against retries that read the whole newest record although nothing has changed, or other
// daemons have sent what has: all nodes that the store has rejected read at the same moment.
func TestRetryWithoutMissingChanges(t *testing.T) {
	for name, c := range map[string]struct {
		known         types.Offset
		reads, newest int
	}{
		"nothing missing": {10, 1, 0},
		"one missing":     {11, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			src := &linkSource{listEnd: 10, end: func() types.Offset { return c.known }, rejected: true, recordBytes: 1, bytesPerS: 1e9, maxReadBytes: 1 << 20}
			runFor(t, 450*time.Millisecond, func(time.Time) (Source[string], Schedule) {
				return src, Schedule{
					Due: func(clock.Instant) (pause, wait time.Duration) {
						if !src.rejected {
							pause = time.Minute
						}
						return pause, 0
					},
					Known: func() types.Offset { return c.known },
					OnResult: func(r CallResult) {
						if errors.Is(r.Err, errSlow) { // of the first read
							src.rejected, src.reads, src.newest = false, 0, 0
						}
					},
				}
			})
			assert.Equal(t, src.reads, c.reads)
			assert.Equal(t, src.newest, c.newest)
		})
	}
}

// Guards against a daemon that takes a fetch for complete although an update that it could not use
// has told it of a later change, which no claim has mentioned yet.
func TestFetchAfterUnusableUpdate(t *testing.T) {
	src := &linkSource{listEnd: 10, end: func() types.Offset { return 13 }, recordBytes: 1, bytesPerS: 1e9, maxReadBytes: 1 << 20}
	var next types.Offset
	runFor(t, time.Second, func(time.Time) (Source[string], Schedule) {
		wake, updates := make(chan struct{}, 1), make(chan Update, 1)
		updates <- Update{Since: 11, Next: 13, Records: []Record{{Key: "k", Value: []byte("v"), Next: 13}}}
		return src, Schedule{
			Due:         func(clock.Instant) (time.Duration, time.Duration) { return time.Minute, 0 },
			Wake:        wake,
			PeerUpdates: updates,
			OnMissed: func(types.Offset) {
				select {
				case wake <- struct{}{}:
				default:
				}
			},
			Known: func() types.Offset { return 11 },
			FetchMissing: func(_ context.Context, at types.Position) (Update, error) {
				from := at.Offset
				return Update{Since: from, Next: 11, Records: []Record{{Key: "k", Value: []byte("v"), Next: 11}}}, nil
			},
			OnRead: func(r ReadResult) { next = r.Next },
		}
	})
	assert.Equal(t, next, types.Offset(13), "the later change was not read")
}

// Guards against a reader that publishes a change as a delta to a record that the other daemons have
// skipped: while its read was on the way, they have received newer records from another reader. All
// of them would read the source at the same moment.
func TestUpdatesThatArriveDuringARead(t *testing.T) {
	for name, c := range map[string]struct {
		updateNext types.Offset
		applied    []types.Offset
	}{
		"older than the read": {11, []types.Offset{11, 12}},
		"newer than the read": {13, []types.Offset{13}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				updates := make(chan Update, 1)
				began := time.Now()
				end := func() types.Offset {
					if time.Since(began) < 100*time.Millisecond {
						return 12
					}
					return max(12, c.updateNext)
				}
				src := &linkSource{listEnd: 10, end: end, recordBytes: 100, bytesPerS: 1000, maxReadBytes: 1 << 20}
				h := &orderHandler{}
				time.AfterFunc(100*time.Millisecond, func() {
					updates <- Update{Since: 10, Next: c.updateNext, Records: []Record{{Key: "k", Value: []byte("v"), Next: c.updateNext}}}
				})
				var next types.Offset
				Follow(ctx, src, h, Schedule{
					Now: clocktest.Virtual, Due: every(500*time.Millisecond, 0), PeerUpdates: updates,
					MinPause: time.Second, MaxPause: second,
					OnRead:    func(r ReadResult) { next = max(next, r.Next) },
					OnApplied: func(n types.Offset) { next = max(next, n) },
				})
				assert.DeepEqual(t, h.applied, c.applied)
				assert.Equal(t, next, max(12, c.updateNext))
			})
		})
	}
}

// orderHandler records the offsets after the records in the order in which they are handled.
type orderHandler struct {
	fakeHandler
	applied []types.Offset
}

func (h *orderHandler) HandleChanges(items []Item[string], _ time.Duration) []Item[string] {
	for _, i := range items {
		h.applied = append(h.applied, i.Next)
	}
	return items
}

func (h *orderHandler) HandlePeerUpdate(items []Item[string], _ time.Duration) {
	h.HandleChanges(items, 0)
}
