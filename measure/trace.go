package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Shares of prefill in the total engine time. The low share is that of the deployment that the design
// targets; the high share exceeds it by half of the total.
const (
	prefillShareLow  = 0.22
	prefillShareHigh = 0.72
	prefillShareMid  = (prefillShareLow + prefillShareHigh) / 2
)

// engineSecondsPerRequest is the mean engine time of a request. At prefillShareLow it gives 443 output
// tokens per request, or 3.9 million tokens/s at 8,800 requests/s. The mean is the same for all prefill
// shares, so that a policy cannot raise its goodput by serving only one kind of request.
const engineSecondsPerRequest = 0.118

// peakLoad is the offered load as a fraction of the fleet's capacity with roles that always match the
// demand. Engines cannot be added for a peak.
const peakLoad = 0.9

// Length of the traces, and the lognormal distributions of request sizes around their means.
const (
	traceLength   = 300 * time.Second
	promptSigma   = 0.6 // standard deviation of the logarithm of prompt tokens
	outputSigma   = 0.4 // standard deviation of the logarithm of output tokens
	maxSizeFactor = 4.0 // upper limit, in multiples of the mean
)

// Request is one request of a trace. Prompt and Output are numbers of tokens, and Blocks are the prefix
// blocks at the start of the prompt that other requests may share.
type Request struct {
	Arrival   time.Duration
	Workspace int
	Prompt    int
	Output    int
	Blocks    []uint64
}

// Crash describes the crash and the restart of one engine.
type Crash struct {
	Engine        int
	At, RestartAt time.Duration
}

// Trace is a sequence of requests in order of arrival, with an optional crash of one engine.
type Trace struct {
	Name     string
	Requests []Request
	Crash    *Crash
}

// traceSpec describes the random process that generates a trace. The functions take the time in seconds
// from the start of the trace.
type traceSpec struct {
	name           string
	prefillShare   func(t float64) float64
	load           func(t float64) float64
	burst          bool
	sharedPrefixes bool
	crash          *Crash
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// linearRamp returns a before the time from, b after the time to, and interpolates in between.
func linearRamp(t, from, to, a, b float64) float64 {
	x := min(max((t-from)/(to-from), 0), 1)
	return a + x*(b-a)
}

// oscillationHalfPeriodSeconds is close to the payback time of a role change: the 7 s out of service
// pay back in 7 s to 28 s, depending on the planner's weight, if the changed engine is fully used.
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

// Traces generates all traces. The same seed gives the same traces.
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

// Start and end of the burst of one workspace, and the factor by which its request rate increases.
const (
	burstStartSeconds, burstEndSeconds = 100, 160
	burstRateFactor                    = 10
)

// burstFactor returns the total request rate at time t relative to the rate without a burst.
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

// Half of the requests of the prefix trace start with one of eight shared prefixes of one block each.
// The set of prefixes is replaced in the middle of the trace.
const (
	sharedPrefixRatio = 0.5
	sharedPrefixCount = 8
)

// sharedPrefixBlock draws a shared prefix from a Zipf distribution and returns its block.
func sharedPrefixBlock(t float64, rnd *rand.Rand) uint64 {
	z := rand.NewZipf(rnd, 1.2, 1, sharedPrefixCount-1)
	set := uint64(1)
	if t >= traceLength.Seconds()/2 {
		set = 2
	}
	return set<<32 | (z.Uint64() + 1)
}

// lognormalTokens draws a number of tokens from a lognormal distribution with the given mean, limited
// to maxSizeFactor times the mean and at least 1.
func lognormalTokens(rnd *rand.Rand, mean, sigma float64) int {
	x := math.Exp(rnd.NormFloat64()*sigma - sigma*sigma/2)
	return max(int(mean*min(x, maxSizeFactor)), 1)
}
