package directory

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/ratelimit"
)

// Work is an amount of work on one target, or a difference of two amounts.
type Work struct {
	// Requests is the number of requests of any kind in progress.
	Requests int64
	// PrefillTokens is the work of prompts that were sent and not yet prefilled, in
	// tokens, excluding tokens that are expected in the prefix cache.
	PrefillTokens int64
	// PrefillPrompts is the number of prompts in PrefillTokens.
	PrefillPrompts int64
	// Streams is the number of streams that are generating tokens.
	Streams int64
	// StreamTokens is the KV cache of requests that generate tokens, in tokens.
	StreamTokens int64
	// KVInserted is the total number of tokens ever inserted into the KV cache, by
	// prefill or by transfer from another engine. It only grows.
	KVInserted int64
	// Sent is the total number of requests that were sent to the target or have a reserved
	// time to be sent. It only grows.
	Sent int64
}

// InProgress returns w without the totals, which only grow.
func (w Work) InProgress() Work {
	w.KVInserted, w.Sent = 0, 0
	return w
}

// Totals returns the totals in w, which only grow.
func (w Work) Totals() Work { return Work{KVInserted: w.KVInserted, Sent: w.Sent} }

// Counters accumulates Work. It is safe for concurrent use; each field is updated
// atomically on its own.
type Counters struct {
	requests, prefillTokens, prefillPrompts, streams, streamTokens, kvInserted, sent atomic.Int64
}

// Add adds w.
func (c *Counters) Add(w Work) {
	addTo(&c.requests, w.Requests)
	addTo(&c.prefillTokens, w.PrefillTokens)
	addTo(&c.prefillPrompts, w.PrefillPrompts)
	addTo(&c.streams, w.Streams)
	addTo(&c.streamTokens, w.StreamTokens)
	addTo(&c.kvInserted, w.KVInserted)
	addTo(&c.sent, w.Sent)
}

func addTo(a *atomic.Int64, n int64) {
	if n != 0 {
		a.Add(n)
	}
}

// Load returns the current values.
func (c *Counters) Load() Work {
	return Work{
		c.requests.Load(), c.prefillTokens.Load(), c.prefillPrompts.Load(), c.streams.Load(), c.streamTokens.Load(), c.kvInserted.Load(),
		c.sent.Load(),
	}
}

// Minus returns w less v.
func (w Work) Minus(v Work) Work {
	return Work{
		w.Requests - v.Requests, w.PrefillTokens - v.PrefillTokens, w.PrefillPrompts - v.PrefillPrompts,
		w.Streams - v.Streams, w.StreamTokens - v.StreamTokens, w.KVInserted - v.KVInserted,
		w.Sent - v.Sent,
	}
}

// Plus returns the sum of w and v.
func (w Work) Plus(v Work) Work {
	return Work{
		w.Requests + v.Requests, w.PrefillTokens + v.PrefillTokens, w.PrefillPrompts + v.PrefillPrompts,
		w.Streams + v.Streams, w.StreamTokens + v.StreamTokens, w.KVInserted + v.KVInserted,
		w.Sent + v.Sent,
	}
}

// Load is the load and health of a target as known to this daemon, from one start of
// the target to the next. It is safe for concurrent use.
type Load struct {
	// Local is the work of this daemon on the target. Peers is the work of the other
	// daemons as last reported by them.
	Local, Peers Counters
	// Leaving is set at the first sign that the target takes no new work: its removal
	// from the registrations, or another target at its address. What the target declares
	// itself is in DeclaredLeaving.
	Leaving atomic.Bool
	// RetryAfter is the time, in nanoseconds of clock.Nanos, before which the target
	// is avoided because of its failures. It still receives work if there is no other.
	RetryAfter atomic.Int64
	// Limit is the limit of requests that the target has declared.
	Limit ratelimit.Limiter
	// Cache is this daemon's estimate of the prefix cache of an engine.
	Cache PrefixTable

	consecutiveFailures atomic.Int64 // reset by a success
	failureShare        atomic.Int64 // share of failed requests, smoothed, in 1/failureShareUnit
	smoothedDelay       atomic.Int64 // excess of latency over prediction, in nanoseconds
	lastActivity        atomic.Int64 // in nanoseconds of clock.Nanos
	suspected           atomic.Bool  // unresponsive or suspended
	suspendedUntil      atomic.Int64 // in nanoseconds of clock.Nanos
	connectedUntil      atomic.Int64 // in nanoseconds of clock.Nanos
	declaredLeaving     atomic.Bool
	pauseRequestedUntil atomic.Int64 // in nanoseconds of clock.Nanos
}

// NewLoad returns the initial Load of a new or restarted target.
func NewLoad() *Load { return &Load{} }

// RecordPrefill records that an engine has cached the shared parts of a prompt and has
// inserted the given number of tokens into its KV cache.
func (l *Load) RecordPrefill(parts []Part, inserted int) {
	l.Local.Add(Work{KVInserted: int64(inserted)})
	l.Cache.Use(parts, l.cacheClock())
}

// CachedTokens returns the number of leading tokens that an engine is expected to have
// cached. The cache is modelled as LRU: a part is expected to be evicted once capacity
// tokens have been inserted since its last use.
func (l *Load) CachedTokens(parts []Part, capacity int) int {
	return l.Cache.Cached(parts, l.cacheClock()-int64(capacity))
}

// cacheClock is the logical clock of the KV cache: the number of inserted tokens plus 1.
func (l *Load) cacheClock() int64 { return l.Local.kvInserted.Load() + l.Peers.kvInserted.Load() + 1 }

// RecordPeerParts records parts that an engine has cached, as reported by another daemon.
func (l *Load) RecordPeerParts(parts []Part) { l.Cache.Use(parts, l.cacheClock()) }

// BeginWork records that work of a request of this daemon begins at the given time.
func (l *Load) BeginWork(w Work, now time.Time) {
	if l.Local.requests.Load() == 0 {
		l.lastActivity.Store(clock.Nanos(now))
	}
	l.Local.Add(w)
}

// RecordActivity records that the target made progress at the given time. It ends the
// suspicion of an unresponsive target, except during a suspension.
func (l *Load) RecordActivity(now time.Time) {
	l.lastActivity.Store(clock.Nanos(now))
	if l.suspected.Load() && l.suspendedUntil.Load() <= clock.Nanos(now) {
		l.suspected.Store(false)
		l.RetryAfter.Store(0)
	}
}

// CheckActivity reports whether the target is suspended or has made no progress on work
// of this daemon for longer than limit. If so, it takes the target out of use for the
// duration pause.
func (l *Load) CheckActivity(now time.Time, limit, pause time.Duration) bool {
	unresponsive := l.Stalled(now, limit) || clock.Nanos(now) < l.suspendedUntil.Load()
	l.suspected.Store(unresponsive)
	if unresponsive {
		l.PauseUntil(now.Add(pause))
	}
	return unresponsive
}

// Stalled reports whether the target has made no progress on work of this daemon for longer than
// limit.
func (l *Load) Stalled(now time.Time, limit time.Duration) bool {
	return l.Local.requests.Load() > 0 && clock.Nanos(now)-l.lastActivity.Load() > int64(limit)
}

// SuspendUntil records that the target has an order during which it accepts no work,
// such as a change of role. The suspension ends at the given time or by EndSuspension.
func (l *Load) SuspendUntil(until time.Time) {
	l.suspendedUntil.Store(clock.Nanos(until))
	l.suspected.Store(true)
	l.PauseUntil(until)
}

// EndSuspension ends a suspension before its time.
func (l *Load) EndSuspension() {
	l.suspendedUntil.Store(0)
	l.suspected.Store(false)
	l.RetryAfter.Store(0)
}

// Suspected reports whether this daemon considers the target unable to accept work:
// it is unresponsive or suspended.
func (l *Load) Suspected() bool { return l.suspected.Load() }

// PauseUntil takes the target out of use until the given time. It never shortens a pause.
func (l *Load) PauseUntil(until time.Time) {
	if n := clock.Nanos(until); n > l.RetryAfter.Load() {
		l.RetryAfter.Store(n)
	}
}

// Total returns the work of this daemon and its peers on the target.
func (l *Load) Total() Work { return l.Local.Load().Plus(l.Peers.Load()) }

const (
	failureShareUnit = 1 << 20
	// smoothingShift sets the weight of an observation to 1/2^smoothingShift: the last
	// 8 requests make up two thirds of the average.
	smoothingShift = 3
	// initialBackoff is the pause after the second consecutive failure. It doubles with
	// each further failure up to maxBackoff. A single failure causes no pause, as it is
	// common on healthy targets.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

func (l *Load) updateAverage(a *atomic.Int64, v int64) {
	old := a.Load()
	a.Store(old + (v-old)>>smoothingShift)
}

// SetConnectedUntil records that a connection to the target is open and is expected to
// be usable until the given time.
func (l *Load) SetConnectedUntil(until time.Time) { l.connectedUntil.Store(clock.Nanos(until)) }

// Connected reports whether a connection to the target is expected to be open.
func (l *Load) Connected(now time.Time) bool { return clock.Nanos(now) < l.connectedUntil.Load() }

// RecordSuccess records a successful response and resets the consecutive failures.
func (l *Load) RecordSuccess() {
	l.consecutiveFailures.Store(0)
	l.updateAverage(&l.failureShare, 0)
}

// RecordFailure records a failure at the given time. From the second consecutive failure
// on, the target is paused with exponential backoff.
func (l *Load) RecordFailure(now time.Time) {
	l.updateAverage(&l.failureShare, failureShareUnit)
	n := l.consecutiveFailures.Add(1)
	if n < 2 {
		return
	}
	pause := min(initialBackoff<<min(n-2, 8), maxBackoff)
	l.RetryAfter.Store(clock.Nanos(now.Add(pause)))
}

// Failing reports whether the last request failed.
func (l *Load) Failing() bool { return l.consecutiveFailures.Load() > 0 }

// RecordUnreachable records that no connection could be opened at the given time. It
// counts as two consecutive failures.
func (l *Load) RecordUnreachable(now time.Time) {
	l.consecutiveFailures.Add(1)
	l.RecordFailure(now)
}

// FailureShare returns the share of recent requests that failed, from 0 to 1.
func (l *Load) FailureShare() float64 { return float64(l.failureShare.Load()) / failureShareUnit }

// RecordDelay records by how much a response was later than predicted.
func (l *Load) RecordDelay(d time.Duration) { l.updateAverage(&l.smoothedDelay, int64(d)) }

// Delay returns the smoothed excess of latency over prediction.
func (l *Load) Delay() time.Duration { return time.Duration(l.smoothedDelay.Load()) }
