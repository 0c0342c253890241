package planning

import (
	"math"
	"time"
)

// Demand is the work that callers ask for, in tokens per second.
type Demand struct {
	// Prefill counts prompt tokens that are not in a prefix cache.
	Prefill float64
	// Decode counts output tokens.
	Decode float64
}

// Estimate follows the demand of one model with a fast and a slow
// exponentially weighted average. The zero value is ready for use.
type Estimate struct {
	fast, slow Demand
	last       time.Time
	started    bool
	swing      swing
}

// Time constants of the averages. The fast one spans several times the
// interval between observations, so that a single burst does not look like a
// new mix. The slow one is long enough for an error of about 2% at a hundred
// requests a second.
const (
	FastWindow = 3 * time.Second
	SlowWindow = 25 * time.Second
)

// Observe adds the tokens that were asked for since the previous call. The
// first call only sets the start of the first interval.
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
	e.fast = e.fast.toward(rate, dt, FastWindow)
	e.slow = e.slow.toward(rate, dt, SlowWindow)
	e.swing.observe(now, e.fast, e.slow)
}

func (d Demand) toward(r Demand, dt, window time.Duration) Demand {
	a := 1 - math.Exp(-dt.Seconds()/window.Seconds())
	return Demand{d.Prefill + a*(r.Prefill-d.Prefill), d.Decode + a*(r.Decode-d.Decode)}
}

// Fast returns the average over FastWindow.
func (e *Estimate) Fast() Demand { return e.fast }

// Slow returns the average over SlowWindow.
func (e *Estimate) Slow() Demand { return e.slow }

// Spread returns the distance between the averages relative to the slow one;
// 0 means that the demand is steady.
func (e *Estimate) Spread() float64 {
	return max(relative(e.fast.Prefill, e.slow.Prefill), relative(e.fast.Decode, e.slow.Decode))
}

func relative(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return math.Abs(a-b) / b
}

// fullSpread is the spread at which the demand counts as moved and the slow
// average as out of date.
const fullSpread = 0.4

// trust returns the weight of the fast average, from 0 to 1. While the demand
// is steady the slow average is used, because it has less noise.
func (e *Estimate) trust() float64 { return min(e.Spread()/fullSpread, 1) }

// swing remembers the last reversal of the mix, so that a mix that comes and
// goes is not taken for one that stays.
type swing struct {
	// sign is 1 while the mix moves or has moved toward prefill, -1 toward
	// decode, 0 before the first move.
	sign  int
	since time.Time
	// extreme is the demand at the far end of the present move.
	extreme Demand
	// dwell and previous describe the move before; dwell is 0 if there was none.
	dwell    time.Duration
	previous Demand
}

// swingThreshold is the difference between the logarithms of the fast and the
// slow prompt-to-output ratio that counts as a move; it is several times the
// noise of the fast average.
const swingThreshold = 0.35

func (s *swing) observe(now time.Time, fast, slow Demand) {
	if fast.Prefill <= 0 || fast.Decode <= 0 || slow.Prefill <= 0 || slow.Decode <= 0 {
		return
	}
	diff := logRatio(fast) - logRatio(slow)
	sign := 0
	switch {
	case diff > swingThreshold:
		sign = 1
	case diff < -swingThreshold:
		sign = -1
	}
	if sign != 0 && sign != s.sign {
		if s.sign != 0 {
			s.dwell, s.previous = now.Sub(s.since), s.extreme
		}
		s.sign, s.since, s.extreme = sign, now, fast
	}
	if float64(s.sign)*(logRatio(fast)-logRatio(s.extreme)) > 0 {
		s.extreme = fast
	}
}

func logRatio(d Demand) float64 { return math.Log(d.Prefill / d.Decode) }

// remaining returns how long the present mix is expected to last. A mix that
// has come back before is expected to last as long as the one before it, and,
// once it has lasted longer, for as long again as it has lasted.
func (s *swing) remaining(now time.Time, horizon time.Duration) time.Duration {
	if s.dwell == 0 {
		return horizon
	}
	age := now.Sub(s.since)
	if age <= s.dwell {
		return min(s.dwell-age, horizon)
	}
	return min(age, horizon)
}
