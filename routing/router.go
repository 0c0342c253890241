package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Prediction is what a Scorer expects of a request on one target.
type Prediction struct {
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
	// TokenInterval is the predicted time between tokens.
	TokenInterval time.Duration
	// Cost orders candidates; the lowest is best. It has no unit.
	Cost float64
}

// Candidate is a target that passed all filters, with its prediction.
type Candidate struct {
	*Target
	Prediction
}

// Filter decides whether a target may serve a request at all.
type Filter interface {
	Keep(r *Request, t *Target, now time.Time) bool
}

// Scorer predicts how a target would serve a request.
type Scorer interface {
	Score(r *Request, t *Target, now time.Time) Prediction
}

// Picker chooses one of the candidates and returns its index. It is never
// called with no candidates.
type Picker interface {
	Pick(r *Request, c []Candidate, rnd *rand.Rand) int
}

// maxCandidates bounds the work of one decision, so that its cost does not grow
// with the fleet.
const maxCandidates = 16

// Router combines filters, a scorer and a picker.
type Router struct {
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
}

// NewRouter returns the router that the entry daemon uses.
func NewRouter() *Router {
	return &Router{
		Filters: []Filter{AvailableFilter{}, AdapterFilter{}},
		Scorer:  LoadScorer{},
		Picker:  LowestCost{},
	}
}

// Decision is the result of Route.
type Decision struct {
	// Target is nil when the request cannot be served; Reason then says why.
	Target     *Target
	Prediction Prediction
	Reason     types.RefusalReason
}

// Route chooses a target for the request. It does not change any counter.
func (ro *Router) Route(f *Fleet, r *Request, now time.Time, rnd *rand.Rand) Decision {
	pool, missing := pool(f, r)
	if len(pool) == 0 {
		return Decision{Reason: missing}
	}
	var buf [maxCandidates]Candidate
	c := ro.collect(buf[:0], f, pool, r, now, rnd)
	if len(c) == 0 {
		return Decision{Reason: types.RefusedNoTarget}
	}
	best := c[ro.Picker.Pick(r, c, rnd)]
	if !r.Deadline.IsZero() && now.Add(best.FirstToken).After(r.Deadline) {
		return Decision{Prediction: best.Prediction, Reason: types.RefusedDeadline}
	}
	return Decision{Target: best.Target, Prediction: best.Prediction}
}

func pool(f *Fleet, r *Request) ([]*Target, types.RefusalReason) {
	if r.Service != "" {
		return f.Plain(r.Service), types.RefusedUnknownService
	}
	return f.Engines(r.Model), types.RefusedUnknownModel
}

// collect filters and scores up to maxCandidates targets. With an affinity key
// all targets are considered in rendezvous order, since the key must win over
// sampling.
func (ro *Router) collect(dst []Candidate, f *Fleet, pool []*Target, r *Request, now time.Time, rnd *rand.Rand) []Candidate {
	if r.AffinityKey != 0 {
		return ro.collectByKey(dst, pool, r, now)
	}
	start := rnd.IntN(len(pool))
	for pass := 0; pass < 2 && len(dst) == 0; pass++ {
		for i := range pool {
			t := pool[(start+i)%len(pool)]
			local := t.DataCentre == f.Local
			if local != (pass == 0) || !ro.keep(r, t, now) {
				continue
			}
			dst = append(dst, Candidate{t, ro.Scorer.Score(r, t, now)})
			if len(dst) == maxCandidates {
				return dst
			}
		}
	}
	return dst
}

func (ro *Router) collectByKey(dst []Candidate, pool []*Target, r *Request, now time.Time) []Candidate {
	var best *Target
	var weight uint64
	for _, t := range pool {
		w := rendezvousWeight(r.AffinityKey, t.Hash)
		if (best == nil || w > weight) && ro.keep(r, t, now) {
			best, weight = t, w
		}
	}
	if best == nil {
		return dst
	}
	return append(dst, Candidate{best, ro.Scorer.Score(r, best, now)})
}

func (ro *Router) keep(r *Request, t *Target, now time.Time) bool {
	for _, f := range ro.Filters {
		if !f.Keep(r, t, now) {
			return false
		}
	}
	return true
}

// AvailableFilter drops targets that are leaving, changing, excluded for this
// request, or in their back-off after a failure.
type AvailableFilter struct{}

// Keep implements Filter.
func (AvailableFilter) Keep(r *Request, t *Target, now time.Time) bool {
	if t.Leaving || t.Changing || r.excludes(t.ID) {
		return false
	}
	return t.Counters.RetryAfter.Load() <= now.UnixNano()
}

// AdapterFilter drops engines that do not carry the requested adapter.
type AdapterFilter struct{}

// Keep implements Filter.
func (AdapterFilter) Keep(r *Request, t *Target, _ time.Time) bool {
	if r.Adapter == "" {
		return true
	}
	for _, a := range t.Adapters {
		if a == r.Adapter {
			return true
		}
	}
	return false
}

// LoadScorer predicts from the last report and this daemon's own dispatches.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(r *Request, t *Target, _ time.Time) Prediction {
	own := t.Counters
	if t.Kind == types.KindPlain {
		load := float64(own.InFlight.Load()) + float64(t.Report.Running)
		return Prediction{Cost: load}
	}
	queued := max(float64(t.Report.QueuedPrefillTokens), 0) + float64(own.QueuedPrefill.Load())
	rate := max(t.Rates.PrefillTokensPerSecond, 1)
	first := (queued + float64(r.PromptTokens)) / rate
	streams := max(int64(t.Report.DecodeStreams), own.Decoding.Load()) + 1
	interval := t.Rates.IterationBase + time.Duration(streams)*t.Rates.DecodeCost
	p := Prediction{
		FirstToken:    time.Duration(first*float64(time.Second)) + interval,
		TokenInterval: interval,
	}
	p.Cost = p.FirstToken.Seconds() + float64(r.MaxTokens)*interval.Seconds()
	return p
}

// LowestCost picks the candidate with the lowest cost.
type LowestCost struct{}

// Pick implements Picker.
func (LowestCost) Pick(_ *Request, c []Candidate, _ *rand.Rand) int {
	best := 0
	for i := range c {
		if c[i].Cost < c[best].Cost {
			best = i
		}
	}
	return best
}
