package routing

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Prediction is what a Scorer expects of a request on one target.
type Prediction struct {
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
	// TokenInterval is the predicted time between tokens.
	TokenInterval time.Duration
	// Prefill is the number of prompt tokens that are expected to need prefill.
	PrefillTokens int
	// Cost orders candidates; the lowest is best. It has no unit.
	Cost float64
}

// Scorer predicts how a target would serve a request. cached is the number of
// prompt tokens that are expected in the target's prefix cache.
type Scorer interface {
	Score(r *Request, t *Target, cached int, now time.Time) Prediction
	// Join predicts a request whose prefill runs on one engine and whose tokens
	// come from another, from the predictions for each.
	ScoreSplit(r *Request, prefill, decode *Candidate, now time.Time) Prediction
}

// LoadScorer predicts from the estimated load of a target.
type LoadScorer struct {
	// ChunkTokens is the most prompt tokens in one batch iteration, by role.
	ChunkTokens [types.RoleCount]float64
}

// NewLoadScorer returns a scorer for engines with chunked prefill: small chunks
// beside generating streams, large ones on prefill engines.
func NewLoadScorer() LoadScorer {
	var s LoadScorer
	s.ChunkTokens[types.RoleMixed] = 256
	s.ChunkTokens[types.RolePrefill] = 4096
	s.ChunkTokens[types.RoleDecode] = 64
	return s
}

const (
	// defaultBudget and defaultInterval stand in for the deadlines that a request
	// does not state. They are the targets of the design page, section 1.5.
	defaultBudget   = 310 * time.Millisecond
	defaultInterval = 26 * time.Millisecond
	// tieWeight orders candidates that are equally close to their tighter
	// deadline.
	tieWeight = 0.05
	// missCost is the cost of each missed deadline. It exceeds what two met
	// deadlines can cost, so that a target that meets both always wins.
	missCost = 4
)

// Score implements Scorer.
func (s LoadScorer) Score(r *Request, t *Target, cached int, now time.Time) Prediction {
	load := t.EstimateLoad(now)
	if t.Kind == types.KindPlain {
		return Prediction{Cost: float64(load.InFlight)}
	}
	rate := max(t.Rates.PrefillTokensPerSecond, 1)
	chunk := s.ChunkTokens[t.Role]
	iteration := t.Rates.IterationBase + time.Duration(load.Decoding)*t.Rates.DecodeCost
	// One chunk is processed per iteration, beside one token for each stream.
	perChunk := iteration.Seconds() + chunk/rate
	uncached := max(r.PromptTokens-cached, 1)
	tokens := float64(load.QueuedPrefill) + float64(uncached)
	first := tokens/rate + iteration.Seconds()*max(tokens/chunk, 1)
	if t.Rates.MaxStreams > 0 && load.InFlight >= int64(t.Rates.MaxStreams) {
		// The batch is full; the request waits for about one stream to end.
		first += float64(r.MaxTokens) * perChunk / float64(t.Rates.MaxStreams)
	}
	// Streams share their iterations with the chunks of waiting prompts. This
	// prompt counts where it delays other streams; its own come after it.
	waiting := float64(load.QueuedPrefill)
	if load.Decoding > 0 {
		waiting = tokens
	}
	interval := iteration + t.Rates.DecodeCost + seconds(min(waiting, chunk)/rate)
	p := Prediction{FirstToken: seconds(first), TokenInterval: interval, PrefillTokens: uncached}
	p.Cost = cost(r, p, now)
	if t.HasReport && t.Report.KVFreeTokens < r.PromptTokens {
		p.Cost += missCost // the KV cache has no room; the prompt would wait
	}
	return p
}

// Join implements Scorer.
func (s LoadScorer) ScoreSplit(r *Request, prefill, decode *Candidate, now time.Time) Prediction {
	rate := max(prefill.Rates.KVTransferTokensPerSecond, 1)
	transfer := seconds(float64(r.PromptTokens) / rate)
	p := Prediction{
		FirstToken:    prefill.FirstToken + transfer + decode.TokenInterval,
		TokenInterval: decode.TokenInterval,
		PrefillTokens: prefill.Prediction.PrefillTokens,
	}
	p.Cost = cost(r, p, now)
	return p
}

// cost weighs both times against what the request allows, so that time to the
// first token and time between tokens are comparable.
func cost(r *Request, p Prediction, now time.Time) float64 {
	budget, ok := r.budget(now)
	if !ok {
		budget = defaultBudget
	}
	interval := r.TokenInterval
	if interval == 0 {
		interval = defaultInterval
	}
	a, b := part(p.FirstToken, budget), part(p.TokenInterval, interval)
	return max(a, b) + tieWeight*min(a, b)
}

func part(predicted, allowed time.Duration) float64 {
	c := float64(predicted) / float64(max(allowed, time.Millisecond))
	if predicted > allowed {
		c += missCost
	}
	return c
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
