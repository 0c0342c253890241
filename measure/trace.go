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
	shareLow  = 0.22
	shareHigh = 0.72
	shareMid  = (shareLow + shareHigh) / 2
)

// workPerRequest is the mean engine time of a request. It gives 443 output
// tokens at shareLow, which is 3.9 million tokens/s over 8,800 requests/s. The
// mean is the same for every share, so a policy cannot raise its goodput by
// serving one kind of request only.
const workPerRequest = 0.118 // s

// peakLoad is the work that callers ask for, as a part of what the fleet could
// do if its roles always fitted. Engines cannot be added for a peak.
const peakLoad = 0.9

// Trace lengths and the request sizes around their means.
const (
	traceLength  = 300 * time.Second
	promptSpread = 0.6 // standard deviation of the logarithm
	outputSpread = 0.4
	sizeCap      = 4.0 // multiples of the mean
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
type Loss struct {
	Engine   int
	At, Back time.Duration
}

// Trace is a sequence of requests and what happens to the engines meanwhile.
type Trace struct {
	Name     string
	Requests []Request
	Loss     *Loss
}

// shape describes a trace before its requests are drawn.
type shape struct {
	name   string
	share  func(t float64) float64
	load   func(t float64) float64
	burst  bool
	prefix bool
	loss   *Loss
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// ramp rises from a to b between the times from and to.
func ramp(t, from, to, a, b float64) float64 {
	x := min(max((t-from)/(to-from), 0), 1)
	return a + x*(b-a)
}

// oscillationHalfPeriod is near the payback time: the planner's cost of 7 s out
// of service pays back in 7 s to 28 s, depending on the weight, when the
// changed engine is fully used.
const oscillationHalfPeriod = 20.0

func shapes() []shape {
	step := func(t float64) float64 {
		if t >= traceLength.Seconds()/2 {
			return shareHigh
		}
		return shareLow
	}
	rampShare := func(t float64) float64 { return ramp(t, 90, 210, shareLow, shareHigh) }
	oscillation := func(t float64) float64 {
		if int(t/oscillationHalfPeriod)%2 == 1 {
			return shareHigh
		}
		return shareLow
	}
	return []shape{
		{name: "step", share: step, load: constant(peakLoad)},
		{name: "ramp", share: rampShare, load: constant(peakLoad)},
		{name: "oscillation", share: oscillation, load: constant(peakLoad)},
		{name: "burst", share: constant(shareLow), load: constant(0.7), burst: true},
		{name: "prefix", share: constant(shareMid), load: constant(peakLoad), prefix: true},
		{
			name:  "loss",
			share: func(t float64) float64 { return ramp(t, 60, 120, shareLow, shareHigh) },
			load:  func(t float64) float64 { return ramp(t, 60, 120, 0.6, peakLoad) },
			loss:  &Loss{Engine: 5, At: 150 * time.Second, Back: 220 * time.Second},
		},
	}
}

// Traces draws all traces from the seed.
func Traces(seed uint64) []*Trace {
	var out []*Trace
	for i, s := range shapes() {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)+1))
		out = append(out, s.draw(rnd))
	}
	return out
}

func (s shape) draw(rnd *rand.Rand) *Trace {
	tr := &Trace{Name: s.name, Loss: s.loss}
	t := 0.0
	for {
		rate := s.load(t) * engineCount / workPerRequest
		burst := s.burstFactor(t)
		t += rnd.ExpFloat64() / (rate * burst)
		if t >= traceLength.Seconds() {
			return tr
		}
		tr.Requests = append(tr.Requests, s.request(t, burst, rnd))
	}
}

// Limits of the burst of one workspace, in seconds, and its factor.
const (
	burstFrom, burstTo = 100, 160
	burstTimes         = 10
)

// burstFactor returns the rate of all workspaces relative to the steady one.
func (s shape) burstFactor(t float64) float64 {
	if !s.burst || t < burstFrom || t >= burstTo {
		return 1
	}
	return float64(workspaceCount-1+burstTimes) / workspaceCount
}

func (s shape) request(t, burst float64, rnd *rand.Rand) Request {
	c := capacity()
	share := s.share(t)
	r := Request{
		Arrival: time.Duration(t * float64(time.Second)),
		Prompt:  size(rnd, share*workPerRequest*c.SingleEngine().Prefill, promptSpread),
		Output:  size(rnd, (1-share)*workPerRequest*c.SingleEngine().Decode, outputSpread),
	}
	r.Workspace = rnd.IntN(workspaceCount)
	if burst > 1 && rnd.Float64() < float64(burstTimes-1)/float64(workspaceCount-1+burstTimes) {
		r.Workspace = 0
	}
	if s.prefix && rnd.Float64() < prefixShare {
		r.Prompt += types.BlockTokens
		r.Blocks = []uint64{popularBlock(t, rnd)}
	}
	return r
}

// Half of the requests of the prefix trace begin with one of eight rulebooks of
// one block each. The set is replaced in the middle of the trace.
const (
	prefixShare = 0.5
	prefixCount = 8
)

// popularBlock draws a rulebook by Zipf's law.
func popularBlock(t float64, rnd *rand.Rand) uint64 {
	z := rand.NewZipf(rnd, 1.2, 1, prefixCount-1)
	set := uint64(1)
	if t >= traceLength.Seconds()/2 {
		set = 2
	}
	return set<<32 | (z.Uint64() + 1)
}

// size draws a lognormal number of tokens with the given mean.
func size(rnd *rand.Rand, mean, spread float64) int {
	x := math.Exp(rnd.NormFloat64()*spread - spread*spread/2)
	return max(int(mean*min(x, sizeCap)), 1)
}
