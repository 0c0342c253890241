package routing

import (
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

// Load is work on one target: prompt tokens that wait for prefill, streams that
// are generating, and requests in progress.
type Load struct {
	QueuedPrefill, Decoding, InFlight int64
}

func (l Load) plus(o Load) Load {
	return Load{l.QueuedPrefill + o.QueuedPrefill, l.Decoding + o.Decoding, l.InFlight + o.InFlight}
}

func (l Load) minus(o Load) Load {
	return Load{l.QueuedPrefill - o.QueuedPrefill, l.Decoding - o.Decoding, l.InFlight - o.InFlight}
}

func (l Load) atLeast(o Load) Load {
	return Load{max(l.QueuedPrefill, o.QueuedPrefill), max(l.Decoding, o.Decoding), max(l.InFlight, o.InFlight)}
}

// Load returns this daemon's own work on the target now.
func (c *Counters) Load() Load {
	return Load{c.QueuedPrefill.Load(), c.Decoding.Load(), c.InFlight.Load()}
}

const (
	// maxBackoffDoublings bounds the back-off of a target that keeps failing at
	// 16 times the first.
	maxBackoffDoublings = 4
	// recoveryLimit is the concurrency limit of a target after a failure, so
	// that its return does not draw all waiting work at once.
	recoveryLimit = 2
)

// Fail records a failed dispatch. The target gets no work for a back-off that
// doubles with each consecutive failure and varies by up to a half, so that the
// daemons do not all return to it at one moment.
func (c *Counters) RecordFailure(now time.Time, base time.Duration, rnd Rand) {
	doublings := min(c.Failures.Add(1)-1, maxBackoffDoublings)
	d := base << doublings
	d += time.Duration(rnd.IntN(int(d/2) + 1))
	c.RetryAfter.Store(clock.Nanos(now.Add(d)))
	c.Limit.Store(recoveryLimit * LimitUnit)
}

// historySamples covers more than the 2 s by which reports are late, at one
// sample per view update (500 ms).
const historySamples = 16

// History keeps recent samples of this daemon's own work on one target, so that
// a report can be corrected by what happened since its time. It has one user at
// a time: the builder of snapshots.
type History struct {
	times [historySamples]time.Time
	loads [historySamples]Load
	n     int
}

// Record adds a sample.
func (h *History) Record(now time.Time, l Load) {
	h.times[h.n%historySamples] = now
	h.loads[h.n%historySamples] = l
	h.n++
}

// At returns the newest sample that is not after t, or the oldest sample when
// all are after t.
func (h *History) At(t time.Time) Load {
	var l Load
	for i := h.n - 1; i >= max(h.n-historySamples, 0); i-- {
		l = h.loads[i%historySamples]
		if !h.times[i%historySamples].After(t) {
			break
		}
	}
	return l
}

// Estimate returns the load of the target at now: the last report, this
// daemon's dispatches less its completions since the report, and the same of
// the other daemons as far as digests tell.
func (t *Target) EstimateLoad(now time.Time) Load {
	own := t.Counters.Load()
	if !t.HasReport {
		return own.plus(t.PeerDelta).atLeast(own)
	}
	reported := Load{int64(t.Report.QueuedPrefillTokens), int64(t.Report.DecodeStreams), int64(t.Report.Running)}
	others := reported.minus(t.LocalAtReport).plus(t.PeerDelta).atLeast(Load{})
	at := t.Report.At
	if t.PeerDeltaAt.After(at) {
		at = t.PeerDeltaAt
	}
	others.QueuedPrefill = drained(others.QueuedPrefill, t.Rates.PrefillTokensPerSecond, now.Sub(at))
	return own.plus(others)
}

// drained returns what is left of a queue that was reported age ago. Prompts
// that arrived since are not known; to count the old queue for them was measured
// to be worse than to count none (docs/decisions/0002).
func drained(queued int64, rate float64, age time.Duration) int64 {
	return max(queued-int64(rate*age.Seconds()), 0)
}
