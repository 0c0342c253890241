package directory

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

// Work is an amount of work on one target.
type Work struct {
	// Requests counts requests in progress, of any kind.
	Requests int64
	// Prefill counts prompt tokens that were sent and are not read yet, less
	// those expected in the prefix cache.
	PrefillTokens int64
	// Prefills counts the prompts that Prefill is the sum of.
	PrefillPrompts int64
	// Streams counts streams that generate tokens.
	Streams int64
	// StreamTokens counts the KV cache of these streams in tokens.
	StreamTokens int64
	// KVInserted counts all tokens that were ever brought into the KV cache, by prefill
	// or from another engine. It only grows.
	KVInserted int64
}

// InProgress returns w without what has ended.
func (w Work) InProgress() Work {
	w.KVInserted = 0
	return w
}

// Counters holds a Work that several goroutines change.
type Counters struct {
	requests, prefill, prefills, streams, streamTokens, read atomic.Int64
}

// Add adds w.
func (c *Counters) Add(w Work) {
	addTo(&c.requests, w.Requests)
	addTo(&c.prefill, w.PrefillTokens)
	addTo(&c.prefills, w.PrefillPrompts)
	addTo(&c.streams, w.Streams)
	addTo(&c.streamTokens, w.StreamTokens)
	addTo(&c.read, w.KVInserted)
}

func addTo(a *atomic.Int64, n int64) {
	if n != 0 {
		a.Add(n)
	}
}

// Load returns the sum.
func (c *Counters) Load() Work {
	return Work{
		c.requests.Load(), c.prefill.Load(), c.prefills.Load(), c.streams.Load(), c.streamTokens.Load(), c.read.Load(),
	}
}

// Minus returns w less v.
func (w Work) Minus(v Work) Work {
	return Work{
		w.Requests - v.Requests, w.PrefillTokens - v.PrefillTokens, w.PrefillPrompts - v.PrefillPrompts,
		w.Streams - v.Streams, w.StreamTokens - v.StreamTokens, w.KVInserted - v.KVInserted,
	}
}

// Plus returns the sum of w and v.
func (w Work) Plus(v Work) Work {
	return Work{
		w.Requests + v.Requests, w.PrefillTokens + v.PrefillTokens, w.PrefillPrompts + v.PrefillPrompts,
		w.Streams + v.Streams, w.StreamTokens + v.StreamTokens, w.KVInserted + v.KVInserted,
	}
}

// Load is what this daemon knows of the load and the health of one start of a
// target. All fields are safe for concurrent use.
type Load struct {
	// Own is the work that this daemon has on the target, Peers that of the
	// other daemons as far as they have told.
	Local, Peers Counters
	// Leaving is set by the first sign that the target takes no new work.
	Leaving atomic.Bool
	// RetryAfter is the time in nanoseconds of clock.Nanos before which the target gets
	// no new work after failures.
	RetryAfter atomic.Int64
	// Cache is the prefix cache of an engine as far as this daemon knows.
	Cache PrefixTable

	failures atomic.Int64 // consecutive
	failed   atomic.Int64 // failed share of recent requests, in 1/shareUnit
	delay    atomic.Int64 // smoothed excess over predictions, in nanoseconds
	heard    atomic.Int64 // last sign of life in nanoseconds of clock.Nanos
	suspect  atomic.Bool  // this daemon finds the target silent or has ordered it away
	away     atomic.Int64 // end of an ordered absence in nanoseconds of clock.Nanos
	kept     atomic.Int64 // until when a connection is expected to be open, in nanoseconds of clock.Nanos
}

// NewLoad returns the state of a target that has just been seen.
func NewLoad() *Load { return &Load{} }

// RecordPrefill records that an engine holds the shared parts of a prompt and has brought
// the given number of tokens into its KV cache for it.
func (l *Load) RecordPrefill(parts []Part, read int) {
	l.Local.Add(Work{KVInserted: int64(read)})
	l.Cache.Use(parts, l.clock())
}

// CachedTokens returns the number of leading tokens that an engine is expected to hold.
// A part is expected to be evicted once capacity tokens were brought in after
// its last use, as by a cache that evicts the least recently used.
func (l *Load) CachedTokens(parts []Part, capacity int) int {
	return l.Cache.Cached(parts, l.clock()-int64(capacity))
}

// clock counts the tokens that were brought into the KV cache, from 1.
func (l *Load) clock() int64 { return l.Local.read.Load() + l.Peers.read.Load() + 1 }

// RecordPeerParts records that an engine holds parts by the word of another daemon.
func (l *Load) RecordPeerParts(parts []Part) { l.Cache.Use(parts, l.clock()) }

// BeginWork records that own work of a request begins at now.
func (l *Load) BeginWork(w Work, now time.Time) {
	if l.Local.requests.Load() == 0 {
		l.heard.Store(clock.Nanos(now))
	}
	l.Local.Add(w)
}

// RecordActivity records a sign of life at now.
func (l *Load) RecordActivity(now time.Time) {
	l.heard.Store(clock.Nanos(now))
	if l.suspect.Load() && l.away.Load() <= clock.Nanos(now) {
		l.suspect.Store(false)
		l.RetryAfter.Store(0)
	}
}

// CheckActivity reports whether the target has been silent for longer than limit on
// work of this daemon, and takes it out of use for pause if so.
func (l *Load) CheckActivity(now time.Time, limit, pause time.Duration) bool {
	silent := l.Local.requests.Load() > 0 && clock.Nanos(now)-l.heard.Load() > int64(limit)
	silent = silent || clock.Nanos(now) < l.away.Load()
	l.suspect.Store(silent)
	if silent {
		l.PauseUntil(now.Add(pause))
	}
	return silent
}

// SuspendUntil records that the target was ordered to do something during which it
// takes no work, until the given time or until EndSuspension.
func (l *Load) SuspendUntil(until time.Time) {
	l.away.Store(clock.Nanos(until))
	l.suspect.Store(true)
	l.PauseUntil(until)
}

// EndSuspension ends an ordered absence.
func (l *Load) EndSuspension() {
	l.away.Store(0)
	l.suspect.Store(false)
	l.RetryAfter.Store(0)
}

// Suspected reports whether the target shall get no work by the word of this
// daemon: it is silent, or away.
func (l *Load) Suspected() bool { return l.suspect.Load() }

// PauseUntil takes the target out of use until the given time.
func (l *Load) PauseUntil(until time.Time) {
	if n := clock.Nanos(until); n > l.RetryAfter.Load() {
		l.RetryAfter.Store(n)
	}
}

// Total returns the work of all daemons on the target.
func (l *Load) Total() Work { return l.Local.Load().Plus(l.Peers.Load()) }

const (
	shareUnit = 1 << 20
	// smoothing is the weight of one observation, as a power of two: the last 8
	// requests make up two thirds of the average.
	smoothing = 3
	// backOff is the pause after the second failure in a row; it doubles with
	// each further one up to maxBackOff. A single failure is common on sound
	// targets and causes none.
	backOff    = 200 * time.Millisecond
	maxBackOff = 2 * time.Second
)

func (l *Load) average(a *atomic.Int64, v int64) {
	old := a.Load()
	a.Store(old + (v-old)>>smoothing)
}

// SetConnectedUntil records that a connection to the target is open and expected to be usable
// until the given time.
func (l *Load) SetConnectedUntil(until time.Time) { l.kept.Store(clock.Nanos(until)) }

// Connected reports whether a connection to the target is expected to be open.
func (l *Load) Connected(now time.Time) bool { return clock.Nanos(now) < l.kept.Load() }

// RecordSuccess records an answer.
func (l *Load) RecordSuccess() {
	l.failures.Store(0)
	l.average(&l.failed, 0)
}

// RecordFailure records a failure at now. A target that fails again and again gets no
// work for a while.
func (l *Load) RecordFailure(now time.Time) {
	l.average(&l.failed, shareUnit)
	n := l.failures.Add(1)
	if n < 2 {
		return
	}
	pause := min(backOff<<min(n-2, 8), maxBackOff)
	l.RetryAfter.Store(clock.Nanos(now.Add(pause)))
}

// RecordUnreachable records that no connection could be opened at now.
func (l *Load) RecordUnreachable(now time.Time) {
	l.failures.Add(1)
	l.RecordFailure(now)
}

// FailureShare returns the failed share of recent requests, 0 to 1.
func (l *Load) FailureShare() float64 { return float64(l.failed.Load()) / shareUnit }

// RecordDelay records by how much an answer was later than predicted.
func (l *Load) RecordDelay(d time.Duration) { l.average(&l.delay, int64(d)) }

// Delay returns the smoothed excess over predictions.
func (l *Load) Delay() time.Duration { return time.Duration(l.delay.Load()) }
