package routing

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Prediction is the predicted performance of a request on one target, or on two if
// prefill and decode are split.
type Prediction struct {
	// FirstToken is the predicted time to first token.
	FirstToken time.Duration
	// TokenInterval is the predicted time between tokens.
	TokenInterval time.Duration
	// PrefillTokens is the number of prompt tokens that are expected not to be in the
	// prefix cache and to need prefill.
	PrefillTokens int
	// Cost ranks the candidates, the lowest first. It has no unit.
	Cost float64
}

// Scorer predicts how targets would serve a request.
type Scorer interface {
	// Score predicts a request on one target. cached is the number of prompt tokens
	// that are expected to be in its prefix cache.
	Score(r *Request, t *Target, cached int, now time.Time) Prediction
	// ScoreSplit predicts a request whose prefill and decode run on two engines, from
	// the predictions for each of them.
	ScoreSplit(r *Request, prefill, decode *Candidate, now time.Time) Prediction
}

// LoadScorer predicts performance from the estimated load of a target and the rates
// of the engine.
type LoadScorer struct {
	// ChunkTokens is the maximum number of prompt tokens in one batch iteration, by
	// role.
	ChunkTokens [types.RoleCount]float64
}

// NewLoadScorer returns a scorer for engines with chunked prefill: small chunks on
// engines that decode in the same iterations, large ones on prefill engines.
func NewLoadScorer() LoadScorer {
	var s LoadScorer
	s.ChunkTokens[types.RoleMixed] = 256
	s.ChunkTokens[types.RolePrefill] = 4096
	s.ChunkTokens[types.RoleDecode] = 64
	return s
}

const (
	// defaultBudget and defaultInterval are the time to first token and the time
	// between tokens assumed for requests that set no limits. They are the objectives
	// of the design page, section 1.5.
	defaultBudget   = 310 * time.Millisecond
	defaultInterval = 26 * time.Millisecond
	// tieWeight is the weight of the less critical of the two limits. It decides
	// between candidates that are equally close to the more critical one.
	tieWeight = 0.05
	// missedDeadlineCost is added for each limit that is exceeded. It is higher than
	// the cost of any candidate that meets both, so such a candidate always wins.
	missedDeadlineCost = 4
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
	// Each iteration processes one prefill chunk and one token of each stream.
	iterationWithChunk := iteration.Seconds() + chunk/rate
	uncached := max(r.PromptTokens-cached, 1)
	tokens := float64(load.QueuedPrefill) + float64(uncached)
	first := tokens/rate + iteration.Seconds()*max(tokens/chunk, 1)
	if t.Rates.MaxStreams > 0 && load.InFlight >= int64(t.Rates.MaxStreams) {
		// The batch is full: the request waits until about one stream has completed.
		first += float64(r.MaxTokens) * iterationWithChunk / float64(t.Rates.MaxStreams)
	}
	// The chunks of queued prompts lengthen the iterations of the running streams.
	// This prompt counts only if other streams are running, because its own stream
	// starts after its prefill.
	queued := float64(load.QueuedPrefill)
	if load.Decoding > 0 {
		queued = tokens
	}
	interval := iteration + t.Rates.DecodeCost + seconds(min(queued, chunk)/rate)
	p := Prediction{FirstToken: seconds(first), TokenInterval: interval, PrefillTokens: uncached}
	p.Cost = cost(r, p, now)
	if t.HasReport && t.Report.KVFreeTokens < r.PromptTokens {
		p.Cost += missedDeadlineCost // the prompt would wait for space in the KV cache
	}
	return p
}

// ScoreSplit implements Scorer.
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

// cost relates both predicted times to the limits of the request, which makes time
// to first token and time between tokens comparable.
func cost(r *Request, p Prediction, now time.Time) float64 {
	budget, ok := r.budget(now)
	if !ok {
		budget = defaultBudget
	}
	interval := r.TokenInterval
	if interval == 0 {
		interval = defaultInterval
	}
	a, b := deadlineCost(p.FirstToken, budget), deadlineCost(p.TokenInterval, interval)
	return max(a, b) + tieWeight*min(a, b)
}

// deadlineCost returns the fraction of the allowed time that is predicted to be
// used, plus missedDeadlineCost if it is exceeded.
func deadlineCost(predicted, allowed time.Duration) float64 {
	c := float64(predicted) / float64(max(allowed, time.Millisecond))
	if predicted > allowed {
		c += missedDeadlineCost
	}
	return c
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
