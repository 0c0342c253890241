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
}

// Time constants of the averages. The fast one spans several times the
// interval between observations, so that a single burst does not look like a
// new mix; the slow one spans about the time a change of role takes to pay off.
const (
	FastWindow = 3 * time.Second
	SlowWindow = 15 * time.Second
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
