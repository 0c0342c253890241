// Package placement chooses the targets of a request from a snapshot of the
// directory: engines for prefill and decode, or an instance of a plain service.
// It performs no I/O and changes no counters.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// Prompt describes the prompt of a request.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutputTokens is the maximum number of tokens to generate.
	MaxOutputTokens int
	// Parts are the leading parts of the prompt that other prompts may share.
	Parts []directory.Part
}

// Request describes a request to be placed.
type Request struct {
	Prompt Prompt
	// Bytes is the size of the request on the wire.
	Bytes int
	// Hash breaks ties between targets of equal cost.
	Hash uint64
	// Excluded lists targets that must not be chosen again for this request.
	Excluded []types.TargetID
	Now      time.Time
	// AllowFailing admits targets that are avoided because of failures.
	AllowFailing bool
}

// Filter decides whether a target is eligible for a request.
type Filter interface {
	Accept(r *Request, t *directory.Target) bool
}

// Scorer predicts latency and cost of a request on a target.
type Scorer interface {
	Score(r *Request, t *directory.Target) Choice
}

// Choice is a target and the predictions for the request on this target.
type Choice struct {
	// Target is nil if the filter accepted no target.
	Target *directory.Target
	// Wait is the predicted queueing time on the target. Run is the predicted time
	// from the start of execution to the first result.
	Wait, Run time.Duration
	// RateDelay is the time until the target takes another request by its declared limit.
	RateDelay time.Duration
	// UncachedTokens is the number of prompt tokens that the target has to prefill.
	// PrefillWork is the work of this prefill including attention, in tokens.
	UncachedTokens int
	PrefillWork    int64
	// FetchFrom is the engine from which the target fetches missing shared parts of
	// the KV cache, or nil.
	FetchFrom *directory.Target
	// Cost ranks the choices; the lowest is best. It is expressed as time and
	// includes the delay that the choice causes to other requests.
	Cost time.Duration
}

// Predicted returns the predicted time until the first result.
func (c Choice) Predicted() time.Duration { return c.Wait + c.Run }

// Pick returns the choice with the lowest cost among the targets that the filter
// accepts. Ties are broken by rendezvous hashing of target and request, so that
// daemons spread requests over equal targets without coordination.
func Pick(targets []*directory.Target, r *Request, f Filter, s Scorer) Choice {
	best := Choice{Cost: math.MaxInt64}
	var bestRank uint64
	for _, t := range targets {
		if !f.Accept(r, t) {
			continue
		}
		c := s.Score(r, t)
		c.RateDelay = t.Load.Limit.Delay(clock.Nanos(r.Now))
		c.Cost += c.RateDelay
		rank := mix(t.Hash ^ r.Hash)
		if c.Cost < best.Cost || c.Cost == best.Cost && rank > bestRank {
			best, bestRank = c, rank
			best.Target = t
		}
	}
	return best
}

// Better returns the one of two choices for a request with the lower cost, with ties broken as by
// Pick. A choice without a target loses.
func Better(r *Request, a, b Choice) Choice {
	switch {
	case a.Target == nil:
		return b
	case b.Target == nil || a.Cost < b.Cost:
		return a
	case a.Cost == b.Cost && mix(a.Target.Hash^r.Hash) > mix(b.Target.Hash^r.Hash):
		return a
	}
	return b
}

// mix is the finalizer of MurmurHash3 (Appleby, public domain).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Available accepts usable targets that are not excluded.
type Available struct{}

// Accept implements Filter.
func (Available) Accept(r *Request, t *directory.Target) bool {
	usable := t.Usable(r.Now) || r.AllowFailing && t.Admits(r.Now)
	return usable && !slices.Contains(r.Excluded, t.ID)
}

// ShortestPause returns the shortest remaining pause that the targets have requested. It
// returns 0 unless all targets that are not leaving have requested one.
func ShortestPause(targets []*directory.Target, now time.Time) time.Duration {
	var shortest time.Duration
	for _, t := range targets {
		if t.Leaving() {
			continue
		}
		pause := t.Load.RequestedPause(now)
		if pause == 0 {
			return 0
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}

// AnyLimited reports whether one of the targets that the filter accepts has declared a limit.
func AnyLimited(targets []*directory.Target, r *Request, f Filter) bool {
	return slices.ContainsFunc(targets, func(t *directory.Target) bool { return t.Load.Limit.Limited() && f.Accept(r, t) })
}

// HasRole accepts the available engines of one role.
type HasRole types.Role

// Accept implements Filter.
func (h HasRole) Accept(r *Request, t *directory.Target) bool {
	return t.Role == types.Role(h) && Available{}.Accept(r, t)
}

// GeneratesTokens accepts the available engines that generate tokens: all except
// those with the prefill role.
type GeneratesTokens struct{}

// Accept implements Filter.
func (GeneratesTokens) Accept(r *Request, t *directory.Target) bool {
	return t.Role != types.RolePrefill && Available{}.Accept(r, t)
}

// OfVersion accepts the targets of one software version that another filter accepts.
type OfVersion struct {
	Version types.SoftwareVersion
	Filter
}

// Accept implements Filter.
func (o OfVersion) Accept(r *Request, t *directory.Target) bool {
	return t.Version == o.Version && o.Filter.Accept(r, t)
}

// Costs holds the cost parameters for choosing a target.
type Costs struct {
	// Local is the data centre of this daemon.
	Local types.DataCentreID
	// RemoteCostPerByte is the cost of a byte sent to another data centre.
	RemoteCostPerByte time.Duration
	// CacheTokens is the part of an engine's KV cache, in tokens, that is available
	// for prompt parts besides running requests.
	CacheTokens int
	// Connection is the cost of opening a connection to a target.
	Connection time.Duration
	// Failure is the cost of a target that fails all requests. It scales with the
	// share of failed requests.
	Failure time.Duration
}

func (c Costs) trafficCost(t *directory.Target, bytes int) time.Duration {
	if t.DataCentre == c.Local {
		return 0
	}
	return time.Duration(bytes) * c.RemoteCostPerByte
}

// connectionCost returns the cost of opening a connection for the request, or 0 if
// one is expected to be open.
func (c Costs) connectionCost(r *Request, t *directory.Target) time.Duration {
	if t.Load.Connected(r.Now) {
		return 0
	}
	return c.Connection
}

func (c Costs) failureCost(t *directory.Target) time.Duration {
	return time.Duration(t.Load.FailureShare() * float64(c.Failure))
}

func (c Costs) cachedTokens(r *Request, t *directory.Target) int {
	return min(t.Load.CachedTokens(r.Prompt.Parts, c.CacheTokens), r.Prompt.Tokens)
}

// EngineSpeed describes the performance of engines.
type EngineSpeed struct {
	// PrefillTokensPerMs is the number of prompt tokens that a prefill engine processes
	// per millisecond, excluding attention to earlier tokens.
	PrefillTokensPerMs float64
	// PairsPerToken is the number of pairs of a token and an earlier token for which
	// attention takes as long as processing one token. Values of 0 or less disable
	// the attention term.
	PairsPerToken float64
	// PrefillSetup is the fixed time per prompt.
	PrefillSetup time.Duration
	// IterationTime is the time of one batch iteration. Each stream in the batch adds
	// IterationTimePerStream.
	IterationTime, IterationTimePerStream time.Duration
}

// PrefillWork returns the work of prefilling the last uncached tokens of a prompt
// of the given length. The unit is the work of one token without attention. Each
// token attends to all tokens before it.
func (s EngineSpeed) PrefillWork(prompt, uncached int) int64 {
	if s.PairsPerToken <= 0 {
		return int64(uncached)
	}
	n := float64(uncached)
	pairs := n * (float64(prompt) - n/2)
	return int64(uncached) + int64(pairs/s.PairsPerToken)
}

// PrefillTime returns the time that a prefill engine needs for a prompt with the given work.
func (s EngineSpeed) PrefillTime(work int64) time.Duration {
	return s.prefillTime(work) + s.PrefillSetup
}

func (s EngineSpeed) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillTokensPerMs * float64(time.Millisecond))
}

// Link describes the transfer of KV cache between engines.
type Link struct {
	TokenBytes int
	// Mbps is the rate in Mbit/s. At 0 the transfer time is not modelled.
	Mbps float64
	// TransferCostPerToken is the cost of a transferred token in addition to the
	// transfer time.
	TransferCostPerToken time.Duration
}

// crossDataCentreFactor multiplies time and cost of transfers between data centres.
const crossDataCentreFactor = 2

// transferTime returns the time to transfer the KV cache of a number of tokens between two
// data centres.
func (l Link) transferTime(tokens int, from, to types.DataCentreID) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(l.TokenBytes) * 8
	d := time.Duration(bits / (l.Mbps * 1e6) * float64(time.Second))
	if from != to {
		d *= crossDataCentreFactor
	}
	return d
}

// transferCost returns the time of a transfer plus its additional cost.
func (l Link) transferCost(tokens int, from, to types.DataCentreID) time.Duration {
	c := time.Duration(tokens) * l.TransferCostPerToken
	if from != to {
		c *= crossDataCentreFactor
	}
	return l.transferTime(tokens, from, to) + c
}

// CacheSource is an engine with cached leading parts of a prompt.
type CacheSource struct {
	Target *directory.Target
	// Tokens is the number of cached leading tokens.
	Tokens int
}

// FindCacheSource returns the engine with the longest cached prefix of the prompt,
// and among equals one in the local data centre. Its Target is nil if no engine has
// cached a part of the prompt.
func FindCacheSource(targets []*directory.Target, r *Request, c Costs) CacheSource {
	var best CacheSource
	for _, t := range targets {
		if t.Leaving() || len(r.Prompt.Parts) == 0 {
			continue
		}
		n := c.cachedTokens(r, t)
		if n > best.Tokens || n == best.Tokens && n > 0 && t.DataCentre == c.Local {
			best = CacheSource{t, n}
		}
	}
	return best
}

// minFetchTokens is the minimum number of missing tokens for a fetch. Smaller fetches
// do not pay for the additional call.
const minFetchTokens = 512

// PrefillScorer scores engines that prefill the prompt.
type PrefillScorer struct {
	Costs
	Speed EngineSpeed
	Link  Link
	// FetchCostPerToken is the cost of caching a shared token on one more engine, where
	// it displaces another token.
	FetchCostPerToken time.Duration
	// Source is the engine with the longest cached prefix of the prompt. Its Target is
	// nil if nothing can be fetched.
	Source CacheSource
}

// Score implements Scorer. Recomputing a shared part counts twice: it delays this
// request and takes engine time from other requests.
func (s PrefillScorer) Score(r *Request, t *directory.Target) Choice {
	load := t.Load.Total()
	cached := s.cachedTokens(r, t)
	c := Choice{Wait: s.Speed.prefillTime(max(load.PrefillTokens, 0)) + time.Duration(max(load.PrefillPrompts, 0))*s.Speed.PrefillSetup}
	var fetch time.Duration
	if missing := s.Source.Tokens - cached; s.Source.Target != nil && s.Source.Target != t && missing >= minFetchTokens {
		c.FetchFrom = s.Source.Target
		cached = s.Source.Tokens
		fetch = s.Link.transferTime(missing, c.FetchFrom.DataCentre, t.DataCentre)
		c.Cost = s.Link.transferCost(missing, c.FetchFrom.DataCentre, t.DataCentre) - fetch + time.Duration(missing)*s.FetchCostPerToken
	}
	c.UncachedTokens = r.Prompt.Tokens - cached
	c.PrefillWork = s.Speed.PrefillWork(r.Prompt.Tokens, c.UncachedTokens)
	c.Run = s.Speed.prefillTime(c.PrefillWork) + s.Speed.PrefillSetup + fetch
	recomputed := max(c.UncachedTokens-s.uncacheableTokens(r), 0)
	c.Cost += c.Wait + c.Run + s.Speed.prefillTime(int64(recomputed)) + s.trafficCost(t, r.Bytes) + s.connectionCost(r, t) + s.failureCost(t) + max(t.Load.Delay(), 0)
	return c
}

// uncacheableTokens returns the number of prompt tokens that belong to no shared part.
func (s PrefillScorer) uncacheableTokens(r *Request) int {
	n := r.Prompt.Tokens
	for _, p := range r.Prompt.Parts {
		n -= p.Tokens
	}
	return max(n, 0)
}

// DecodeScorer scores engines that fetch the KV cache from the prefill engine and
// generate the tokens.
type DecodeScorer struct {
	Costs
	Speed  EngineSpeed
	Engine routes.Engine
	Link   Link
	// SourceDataCentre is the data centre of the engine that ran the prefill.
	SourceDataCentre types.DataCentreID
}

// maxKVShare is the share of an engine's KV cache that may be allocated to streams.
// Above this share the engine may preempt streams.
const maxKVShare = 0.85

// noRoomCost is added to the cost of an engine without room for the request. It
// exceeds all other costs but preserves the ranking among such engines.
const noRoomCost = 10 * time.Second

// Score implements Scorer.
func (s DecodeScorer) Score(r *Request, t *directory.Target) Choice {
	load := t.Load.Total()
	transferred := r.Prompt.Tokens - s.cachedTokens(r, t)
	c := Choice{
		Wait:           s.Link.transferTime(transferred, s.SourceDataCentre, t.DataCentre),
		Run:            s.Speed.IterationTime + time.Duration(load.Streams)*s.Speed.IterationTimePerStream,
		UncachedTokens: transferred,
	}
	prefillWait := s.Speed.prefillTime(2*max(load.PrefillTokens, 0)) / 4
	c.Cost = s.Link.transferCost(transferred, s.SourceDataCentre, t.DataCentre) + c.Run + prefillWait + time.Duration(load.Streams)*s.Speed.IterationTime + s.trafficCost(t, r.Bytes) + s.connectionCost(r, t) + s.failureCost(t) + max(t.Load.Delay(), 0)
	if !s.hasRoom(load, r) {
		c.Cost += noRoomCost
	}
	return c
}

func (s DecodeScorer) hasRoom(load directory.Work, r *Request) bool {
	if s.Engine.Slots > 0 && load.Requests >= int64(s.Engine.Slots) {
		return false
	}
	need := load.StreamTokens + int64(r.Prompt.Tokens+r.Prompt.MaxOutputTokens)
	return s.Engine.KVTokens == 0 || float64(need) <= maxKVShare*float64(s.Engine.KVTokens)
}

// CombinedScorer scores engines that run both prefill and decode of a request.
type CombinedScorer struct {
	Costs
	Speed  EngineSpeed
	Engine routes.Engine
}

// decodeEnginePrefillSlowdown is the ratio of the prefill time on a decode engine to
// that on a prefill engine.
const decodeEnginePrefillSlowdown = 2

// Score implements Scorer.
func (s CombinedScorer) Score(r *Request, t *directory.Target) Choice {
	load := t.Load.Total()
	uncached := r.Prompt.Tokens - s.cachedTokens(r, t)
	work := s.Speed.PrefillWork(r.Prompt.Tokens, uncached)
	slowdown := time.Duration(1)
	if t.Role == types.RoleDecode {
		slowdown = decodeEnginePrefillSlowdown
	}
	c := Choice{
		Wait:           slowdown * s.Speed.prefillTime(max(load.PrefillTokens, 0)),
		Run:            slowdown*s.Speed.prefillTime(work) + s.Speed.PrefillSetup,
		UncachedTokens: uncached, PrefillWork: work,
	}
	c.Cost = c.Wait + c.Run + time.Duration(load.Streams)*s.Speed.IterationTime + s.trafficCost(t, r.Bytes) + s.failureCost(t) + max(t.Load.Delay(), 0)
	if !(DecodeScorer{Engine: s.Engine}).hasRoom(load, r) {
		c.Cost += noRoomCost
	}
	return c
}

// PlainScorer scores instances of plain services.
type PlainScorer struct {
	Costs
	// ServiceTime is the typical time of one request.
	ServiceTime time.Duration
}

// queueCostFactor is the cost of queueing time relative to that of service time.
const queueCostFactor = 8

// Score implements Scorer.
func (s PlainScorer) Score(r *Request, t *directory.Target) Choice {
	n := t.Load.Total().Requests
	slots := int64(max(t.Slots, 1))
	c := Choice{Run: s.ServiceTime}
	if n >= slots {
		c.Wait = time.Duration(n-slots+1) * s.ServiceTime / time.Duration(slots)
	}
	c.Cost = time.Duration(n)*s.ServiceTime/time.Duration(slots) + queueCostFactor*c.Wait + s.trafficCost(t, r.Bytes) + s.connectionCost(r, t) + s.failureCost(t) + max(t.Load.Delay(), 0)
	return c
}
