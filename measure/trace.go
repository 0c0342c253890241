package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Shares of prefill in the work, measured in engine time. The low one is the
// share of the target size; the high one differs from it by half of all work.
const (
	prefillShareLow  = 0.22
	prefillShareHigh = 0.72
	prefillShareMid  = (prefillShareLow + prefillShareHigh) / 2
)

// workPerRequest is the mean engine time of a request. It gives 443 output
// tokens at shareLow, which is 3.9 million tokens/s over 8,800 requests/s. The
// mean is the same for every share, so a policy cannot raise its goodput by
// serving one kind of request only.
const engineSecondsPerRequest = 0.118 // s

// peakLoad is the work that callers ask for, as a part of what the fleet could
// do if its roles always fitted. Engines cannot be added for a peak.
const peakLoad = 0.9

// Trace lengths and the request sizes around their means.
const (
	traceLength   = 300 * time.Second
	promptSigma   = 0.6 // standard deviation of the logarithm
	outputSigma   = 0.4
	maxSizeFactor = 4.0 // multiples of the mean
)

// Request is one request of a trace.
type Request struct {
	Arrival   time.Duration
	Workspace int
	Prompt    int
	Output    int
	Blocks    []uint64
}

// Loss is the crash of one engine.
type Crash struct {
	Engine        int
	At, RestartAt time.Duration
}

// Trace is a sequence of requests and what happens to the engines meanwhile.
type Trace struct {
	Name     string
	Requests []Request
	Crash    *Crash
}

// shape describes a trace before its requests are drawn.
type traceSpec struct {
	name           string
	prefillShare   func(t float64) float64
	load           func(t float64) float64
	burst          bool
	sharedPrefixes bool
	crash          *Crash
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// ramp rises from a to b between the times from and to.
func linearRamp(t, from, to, a, b float64) float64 {
	x := min(max((t-from)/(to-from), 0), 1)
	return a + x*(b-a)
}

// oscillationHalfPeriod is near the payback time: the planner's cost of 7 s out
// of service pays back in 7 s to 28 s, depending on the weight, when the
// changed engine is fully used.
const oscillationHalfPeriodSeconds = 20.0

func traceSpecs() []traceSpec {
	step := func(t float64) float64 {
		if t >= traceLength.Seconds()/2 {
			return prefillShareHigh
		}
		return prefillShareLow
	}
	rampShare := func(t float64) float64 { return linearRamp(t, 90, 210, prefillShareLow, prefillShareHigh) }
	oscillation := func(t float64) float64 {
		if int(t/oscillationHalfPeriodSeconds)%2 == 1 {
			return prefillShareHigh
		}
		return prefillShareLow
	}
	return []traceSpec{
		{name: "step", prefillShare: step, load: constant(peakLoad)},
		{name: "ramp", prefillShare: rampShare, load: constant(peakLoad)},
		{name: "oscillation", prefillShare: oscillation, load: constant(peakLoad)},
		{name: "burst", prefillShare: constant(prefillShareLow), load: constant(0.7), burst: true},
		{name: "prefix", prefillShare: constant(prefillShareMid), load: constant(peakLoad), sharedPrefixes: true},
		{
			name:         "loss",
			prefillShare: func(t float64) float64 { return linearRamp(t, 60, 120, prefillShareLow, prefillShareHigh) },
			load:         func(t float64) float64 { return linearRamp(t, 60, 120, 0.6, peakLoad) },
			crash:        &Crash{Engine: 5, At: 150 * time.Second, RestartAt: 220 * time.Second},
		},
	}
}

// Traces draws all traces from the seed.
func Traces(seed uint64) []*Trace {
	var out []*Trace
	for i, s := range traceSpecs() {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)+1))
		out = append(out, s.generate(rnd))
	}
	return out
}

func (s traceSpec) generate(rnd *rand.Rand) *Trace {
	tr := &Trace{Name: s.name, Crash: s.crash}
	t := 0.0
	for {
		rate := s.load(t) * engineCount / engineSecondsPerRequest
		burst := s.burstFactor(t)
		t += rnd.ExpFloat64() / (rate * burst)
		if t >= traceLength.Seconds() {
			return tr
		}
		tr.Requests = append(tr.Requests, s.generateRequest(t, burst, rnd))
	}
}

// Limits of the burst of one workspace, in seconds, and its factor.
const (
	burstStartSeconds, burstEndSeconds = 100, 160
	burstRateFactor                    = 10
)

// burstFactor returns the rate of all workspaces relative to the steady one.
func (s traceSpec) burstFactor(t float64) float64 {
	if !s.burst || t < burstStartSeconds || t >= burstEndSeconds {
		return 1
	}
	return float64(workspaceCount-1+burstRateFactor) / workspaceCount
}

func (s traceSpec) generateRequest(t, burst float64, rnd *rand.Rand) Request {
	c := capacityModel()
	share := s.prefillShare(t)
	r := Request{
		Arrival: time.Duration(t * float64(time.Second)),
		Prompt:  lognormalTokens(rnd, share*engineSecondsPerRequest*c.SingleEngine().Prefill, promptSigma),
		Output:  lognormalTokens(rnd, (1-share)*engineSecondsPerRequest*c.SingleEngine().Decode, outputSigma),
	}
	r.Workspace = rnd.IntN(workspaceCount)
	if burst > 1 && rnd.Float64() < float64(burstRateFactor-1)/float64(workspaceCount-1+burstRateFactor) {
		r.Workspace = 0
	}
	if s.sharedPrefixes && rnd.Float64() < sharedPrefixRatio {
		r.Prompt += types.BlockTokens
		r.Blocks = []uint64{sharedPrefixBlock(t, rnd)}
	}
	return r
}

// Half of the requests of the prefix trace begin with one of eight rulebooks of
// one block each. The set is replaced in the middle of the trace.
const (
	sharedPrefixRatio = 0.5
	sharedPrefixCount = 8
)

// popularBlock draws a rulebook by Zipf's law.
func sharedPrefixBlock(t float64, rnd *rand.Rand) uint64 {
	z := rand.NewZipf(rnd, 1.2, 1, sharedPrefixCount-1)
	set := uint64(1)
	if t >= traceLength.Seconds()/2 {
		set = 2
	}
	return set<<32 | (z.Uint64() + 1)
}

// size draws a lognormal number of tokens with the given mean.
func lognormalTokens(rnd *rand.Rand, mean, spread float64) int {
	x := math.Exp(rnd.NormFloat64()*spread - spread*spread/2)
	return max(int(mean*min(x, maxSizeFactor)), 1)
}
