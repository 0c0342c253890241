package planning

import (
	"math"
	"time"
)

// Demand is the work that callers request, in tokens per second.
type Demand struct {
	// Prefill is the rate of prompt tokens that are not in a prefix cache.
	Prefill float64
	// Decode is the rate of output tokens.
	Decode float64
}

// Estimate tracks the demand for one model by a fast and a slow exponentially
// weighted moving average. The zero value is ready for use.
type Estimate struct {
	fast, slow Demand
	last       time.Time
	started    bool
	mix        mixTracker
}

// Time constants of the averages. The fast one is several times the interval between
// observations, so that a single burst is not mistaken for a new mix. The slow one
// gives an error of about 2% at 100 requests per second.
const (
	FastWindow = 3 * time.Second
	SlowWindow = 25 * time.Second
)

// Observe adds the tokens requested since the previous call. The first call only
// starts the first interval; its tokens are ignored.
func (e *Estimate) Observe(now time.Time, prefillTokens, decodeTokens float64) {
	if e.last.IsZero() {
		e.last = now
		return
	}
	dt := now.Sub(e.last)
	if dt <= 0 {
		return
	}
	e.last = now
	rate := Demand{prefillTokens / dt.Seconds(), decodeTokens / dt.Seconds()}
	if !e.started {
		e.fast, e.slow, e.started = rate, rate, true
		return
	}
	e.fast = e.fast.movedToward(rate, dt, FastWindow)
	e.slow = e.slow.movedToward(rate, dt, SlowWindow)
	e.mix.observe(now, e.fast, e.slow)
}

// movedToward returns the average after the rate r was observed for dt.
func (d Demand) movedToward(r Demand, dt, window time.Duration) Demand {
	a := 1 - math.Exp(-dt.Seconds()/window.Seconds())
	return Demand{d.Prefill + a*(r.Prefill-d.Prefill), d.Decode + a*(r.Decode-d.Decode)}
}

// Fast returns the average with the time constant FastWindow.
func (e *Estimate) Fast() Demand { return e.fast }

// Slow returns the average with the time constant SlowWindow.
func (e *Estimate) Slow() Demand { return e.slow }

// Spread returns the difference between the averages relative to the slow one. It is
// 0 while the demand is steady.
func (e *Estimate) Spread() float64 {
	return max(relativeDifference(e.fast.Prefill, e.slow.Prefill), relativeDifference(e.fast.Decode, e.slow.Decode))
}

func relativeDifference(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return math.Abs(a-b) / b
}

// fullWeightSpread is the spread from which on the demand is considered to have
// changed and only the fast average counts, because the slow one is out of date.
const fullWeightSpread = 0.4

// fastWeight returns the weight of the fast average, from 0 to 1. The slow average is
// preferred while the demand is steady, because it has less noise.
func (e *Estimate) fastWeight() float64 { return min(e.Spread()/fullWeightSpread, 1) }

// mixTracker tracks reversals of the mix, which is the ratio of prefill to decode, so
// that an alternating mix is not mistaken for a permanent change.
type mixTracker struct {
	// direction is the direction of the current shift: 1 toward prefill, -1 toward
	// decode, 0 before the first shift.
	direction int
	since     time.Time
	// peak is the demand at the extreme of the current shift.
	peak Demand
	// lastDuration and lastPeak describe the previous shift; lastDuration is 0 if
	// there was none.
	lastDuration time.Duration
	lastPeak     Demand
}

// mixShiftThreshold is the difference between the logarithms of the fast and the slow
// ratio of prefill to decode that counts as a shift of the mix. It is several times
// the noise of the fast average.
const mixShiftThreshold = 0.35

func (m *mixTracker) observe(now time.Time, fast, slow Demand) {
	if fast.Prefill <= 0 || fast.Decode <= 0 || slow.Prefill <= 0 || slow.Decode <= 0 {
		return
	}
	diff := logRatio(fast) - logRatio(slow)
	direction := 0
	switch {
	case diff > mixShiftThreshold:
		direction = 1
	case diff < -mixShiftThreshold:
		direction = -1
	}
	if direction != 0 && direction != m.direction {
		if m.direction != 0 {
			m.lastDuration, m.lastPeak = now.Sub(m.since), m.peak
		}
		m.direction, m.since, m.peak = direction, now, fast
	}
	if float64(m.direction)*(logRatio(fast)-logRatio(m.peak)) > 0 {
		m.peak = fast
	}
}

// logRatio returns the logarithm of the ratio of prefill to decode.
func logRatio(d Demand) float64 { return math.Log(d.Prefill / d.Decode) }

// remaining returns how much longer the current mix is expected to last, at most the
// horizon. Without a previous shift it is the horizon. Otherwise the current shift is
// expected to last as long as the previous one and, once it has lasted longer, for as
// long again as it has lasted so far.
func (m *mixTracker) remaining(now time.Time, horizon time.Duration) time.Duration {
	if m.lastDuration == 0 {
		return horizon
	}
	age := now.Sub(m.since)
	if age <= m.lastDuration {
		return min(m.lastDuration-age, horizon)
	}
	return min(age, horizon)
}
