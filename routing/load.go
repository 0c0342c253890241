package routing

import (
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

// Load is the work on one target: prompt tokens that wait for prefill, streams that
// generate tokens, and requests in progress.
type Load struct {
	QueuedPrefill, Decoding, InFlight int64
}

func (l Load) add(o Load) Load {
	return Load{l.QueuedPrefill + o.QueuedPrefill, l.Decoding + o.Decoding, l.InFlight + o.InFlight}
}

func (l Load) sub(o Load) Load {
	return Load{l.QueuedPrefill - o.QueuedPrefill, l.Decoding - o.Decoding, l.InFlight - o.InFlight}
}

func (l Load) atLeast(o Load) Load {
	return Load{max(l.QueuedPrefill, o.QueuedPrefill), max(l.Decoding, o.Decoding), max(l.InFlight, o.InFlight)}
}

// Load returns this daemon's current work on the target.
func (c *Counters) Load() Load {
	return Load{c.QueuedPrefill.Load(), c.Decoding.Load(), c.InFlight.Load()}
}

const (
	// maxBackoffDoublings limits the back-off after consecutive failures to 16 times
	// the initial one.
	maxBackoffDoublings = 4
	// recoveryLimit is the concurrency limit, in requests, of a target after a
	// failure. It prevents a burst of waiting requests when the target recovers.
	recoveryLimit = 2
)

// RecordFailure records a failed dispatch. The target gets no work during a back-off
// that starts at base and doubles with each consecutive failure. Random jitter of up
// to half of the back-off keeps the daemons from resuming at the same time.
func (c *Counters) RecordFailure(now time.Time, base time.Duration, rnd Rand) {
	doublings := min(c.Failures.Add(1)-1, maxBackoffDoublings)
	d := base << doublings
	d += time.Duration(rnd.IntN(int(d/2) + 1))
	c.RetryAfter.Store(clock.Nanos(now.Add(d)))
	c.Limit.Store(recoveryLimit * LimitUnit)
}

// historySize is the number of samples in a History. At one sample per view update
// (500 ms) they cover more than the 2 s by which load reports are delayed.
const historySize = 16

// History records recent samples of this daemon's work on one target, which
// Target.EstimateLoad needs to correct a report for the work that was started and
// completed after it. A History is not safe for concurrent use; only the builder of
// snapshots uses it.
type History struct {
	times [historySize]time.Time
	loads [historySize]Load
	n     int
}

// Record adds a sample.
func (h *History) Record(now time.Time, l Load) {
	h.times[h.n%historySize] = now
	h.loads[h.n%historySize] = l
	h.n++
}

// At returns the latest sample that is not after t, or the oldest sample if all are
// after t.
func (h *History) At(t time.Time) Load {
	var l Load
	for i := h.n - 1; i >= max(h.n-historySize, 0); i-- {
		l = h.loads[i%historySize]
		if !h.times[i%historySize].After(t) {
			break
		}
	}
	return l
}

// EstimateLoad returns the estimated load of the target at now: the last report,
// corrected for the changes in the work of this daemon and, according to their
// digests, of the other daemons since the report.
func (t *Target) EstimateLoad(now time.Time) Load {
	local := t.Counters.Load()
	if !t.HasReport {
		return local.add(t.PeerDelta).atLeast(local)
	}
	reported := Load{int64(t.Report.QueuedPrefillTokens), int64(t.Report.DecodeStreams), int64(t.Report.Running)}
	others := reported.sub(t.LocalAtReport).add(t.PeerDelta).atLeast(Load{})
	asOf := t.Report.At
	if t.PeerDeltaAt.After(asOf) {
		asOf = t.PeerDeltaAt
	}
	others.QueuedPrefill = remainingPrefill(others.QueuedPrefill, t.Rates.PrefillTokensPerSecond, now.Sub(asOf))
	return local.add(others)
}

// remainingPrefill returns the tokens that are left of a queue that was reported age
// ago. Prompts that arrived since then are unknown and count as none: assuming that
// the old queue is still there in their place gives worse decisions
// (docs/decisions/0002).
func remainingPrefill(queued int64, rate float64, age time.Duration) int64 {
	return max(queued-int64(rate*age.Seconds()), 0)
}
