// Package placement chooses the targets of a request from a snapshot of the
// directory: engines for the prefill and for the tokens of a prompt, or an
// instance of a plain service. It performs no I/O and changes no counter.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// Prompt describes the prompt of a request.
type Prompt struct {
	// Tokens is the length of the whole prompt.
	Tokens int
	// Output is the largest number of tokens that are generated.
	MaxOutputTokens int
	// Parts are the leading parts that other prompts may share.
	Parts []directory.Part
}

// Request is what a choice depends on.
type Request struct {
	Prompt Prompt
	// Bytes is the size of the request on the wire.
	Bytes int
	// Hash spreads requests for which all targets are alike.
	Hash uint64
	// Excluded targets are not used again for this request.
	Excluded []types.TargetID
	Now      time.Time
}

// Filter decides whether a target may serve a request at all.
type Filter interface {
	Accept(r *Request, t *directory.Target) bool
}

// Scorer predicts how a target would serve a request.
type Scorer interface {
	Score(r *Request, t *directory.Target) Choice
}

// Choice is a target with what is predicted for the request on it.
type Choice struct {
	// Target is nil when no target passed the filter.
	Target *directory.Target
	// Wait is the predicted time until the target begins with the request, Run
	// the time that it then takes until its first result.
	Wait, Run time.Duration
	// Uncached is the number of prompt tokens that the target has to read, Work
	// the same with attention in units of tokens.
	UncachedTokens int
	PrefillWork    int64
	// Fetch, if not nil, is an engine from which the target fetches the shared
	// parts that it lacks.
	FetchFrom *directory.Target
	// Cost orders the choices; the lowest is best. It has the unit of time, and
	// includes what a choice costs others.
	Cost time.Duration
}

// Predicted returns the predicted time until the first result.
func (c Choice) Predicted() time.Duration { return c.Wait + c.Run }

// Pick returns the choice with the lowest cost among the targets that the
// filter keeps. Equal costs go to the target that the hash prefers, so that
// daemons without common knowledge spread their requests.
func Pick(targets []*directory.Target, r *Request, f Filter, s Scorer) Choice {
	best := Choice{Cost: math.MaxInt64}
	var bestRank uint64
	for _, t := range targets {
		if !f.Accept(r, t) {
			continue
		}
		c := s.Score(r, t)
		rank := mix(t.Hash ^ r.Hash)
		if c.Cost < best.Cost || c.Cost == best.Cost && rank > bestRank {
			best, bestRank = c, rank
			best.Target = t
		}
	}
	return best
}

// mix is the finalizer of MurmurHash3 (Appleby, public domain).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Available keeps targets that take new work and are not excluded.
type Available struct{}

// Keep implements Filter.
func (Available) Accept(r *Request, t *directory.Target) bool {
	return t.Usable(r.Now) && !slices.Contains(r.Excluded, t.ID)
}

// Role keeps the available engines of one role.
type HasRole types.Role

// Keep implements Filter.
func (o HasRole) Accept(r *Request, t *directory.Target) bool {
	return t.Role == types.Role(o) && Available{}.Accept(r, t)
}

// Generates keeps the available engines that generate tokens: all but those that
// only read prompts.
type GeneratesTokens struct{}

// Keep implements Filter.
func (GeneratesTokens) Accept(r *Request, t *directory.Target) bool {
	return t.Role != types.RolePrefill && Available{}.Accept(r, t)
}

// Costs holds what the choice of a target is weighed with.
type Costs struct {
	// Local is the data centre of this daemon.
	Local types.DataCentreID
	// RemoteByte is the cost of a byte that is sent to another data centre.
	RemoteCostPerByte time.Duration
	// CacheTokens is the number of tokens that the KV cache of an engine keeps
	// besides those of running requests.
	CacheTokens int
	// Connection is the cost of a new connection to a target.
	Connection time.Duration
	// Failure is the cost of a target that fails all requests.
	Failure time.Duration
}

func (c Costs) remote(t *directory.Target, bytes int) time.Duration {
	if t.DataCentre == c.Local {
		return 0
	}
	return time.Duration(bytes) * c.RemoteCostPerByte
}

// connection returns the cost of the connection that a request needs.
func (c Costs) connection(r *Request, t *directory.Target) time.Duration {
	if t.Load.Connected(r.Now) {
		return 0
	}
	return c.Connection
}

func (c Costs) health(t *directory.Target) time.Duration {
	return time.Duration(t.Load.FailureShare() * float64(c.Failure))
}

func (c Costs) cached(r *Request, t *directory.Target) int {
	return min(t.Load.CachedTokens(r.Prompt.Parts, c.CacheTokens), r.Prompt.Tokens)
}

// EngineSpeed is what is known of the speed of engines.
type EngineSpeed struct {
	// PrefillPerMs is the number of prompt tokens that a prefill engine reads in
	// a millisecond, without attention to the tokens before them.
	PrefillTokensPerMs float64
	// PairsPerToken is the number of pairs of a token and an earlier one for which
	// attention takes as long as reading one token.
	PairsPerToken float64
	// Setup is the time that each prompt takes besides its tokens.
	PrefillSetup time.Duration
	// Step is the time of one batch iteration; each stream adds StreamStep.
	IterationTime, IterationTimePerStream time.Duration
}

// Work returns the work of reading the last uncached tokens of a prompt, in
// tokens without attention. Attention relates each token to all before it.
func (s EngineSpeed) PrefillWork(prompt, uncached int) int64 {
	if s.PairsPerToken <= 0 {
		return int64(uncached)
	}
	u := float64(uncached)
	pairs := u * (float64(prompt) - u/2)
	return int64(uncached) + int64(pairs/s.PairsPerToken)
}

func (s EngineSpeed) prefill(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillTokensPerMs * float64(time.Millisecond))
}

// Link describes the transfer of KV cache between engines.
type Link struct {
	TokenBytes int
	// Mbps is the rate in Mbit/s; 0 means that nothing can be transferred.
	Mbps float64
	// TransferCostPerToken is the cost of a token that is moved, besides its time.
	TransferCostPerToken time.Duration
}

// crossing is by how much longer a transfer between data centres takes.
const crossing = 2

// time returns the time to move tokens between two data centres.
func (l Link) time(tokens int, from, to types.DataCentreID) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(l.TokenBytes) * 8
	d := time.Duration(bits / (l.Mbps * 1e6) * float64(time.Second))
	if from != to {
		d *= crossing
	}
	return d
}

// cost returns the time of a transfer and what it costs besides.
func (l Link) cost(tokens int, from, to types.DataCentreID) time.Duration {
	c := time.Duration(tokens) * l.TransferCostPerToken
	if from != to {
		c *= crossing
	}
	return l.time(tokens, from, to) + c
}

// CacheSource is an engine that holds leading parts of a prompt.
type CacheSource struct {
	Target *directory.Target
	Tokens int
}

// FindCacheSource returns the engine that holds most of the prompt, and among equals
// one in the given data centre.
func FindCacheSource(targets []*directory.Target, r *Request, c Costs) CacheSource {
	var best CacheSource
	for _, t := range targets {
		if t.Leaving() || len(r.Prompt.Parts) == 0 {
			continue
		}
		n := c.cached(r, t)
		if n > best.Tokens || n == best.Tokens && n > 0 && t.DataCentre == c.Local {
			best = CacheSource{t, n}
		}
	}
	return best
}

// minFetch is the least number of tokens for which a fetch is worth its call.
const minFetch = 512

// PrefillScorer scores engines that read the prompt.
type PrefillScorer struct {
	Costs
	Speed EngineSpeed
	Link  Link
	// FetchCostPerToken is the cost of holding a shared token on one more engine, where
	// it takes the place of another one.
	FetchCostPerToken time.Duration
	// Source is the engine that holds most of the prompt; its Target is nil if
	// nothing can be fetched.
	Source CacheSource
}

// Score implements Scorer. A shared part that has to be read again counts
// twice: it delays this request and takes the engine's time from others.
func (s PrefillScorer) Score(r *Request, t *directory.Target) Choice {
	load := t.Load.Total()
	cached := s.cached(r, t)
	c := Choice{Wait: s.Speed.prefill(max(load.PrefillTokens, 0)) + time.Duration(max(load.PrefillPrompts, 0))*s.Speed.PrefillSetup}
	var fetch time.Duration
	if missing := s.Source.Tokens - cached; s.Source.Target != nil && s.Source.Target != t && missing >= minFetch {
		c.FetchFrom = s.Source.Target
		cached = s.Source.Tokens
		fetch = s.Link.time(missing, c.FetchFrom.DataCentre, t.DataCentre)
		c.Cost = s.Link.cost(missing, c.FetchFrom.DataCentre, t.DataCentre) - fetch + time.Duration(missing)*s.FetchCostPerToken
	}
	c.UncachedTokens = r.Prompt.Tokens - cached
	c.PrefillWork = s.Speed.PrefillWork(r.Prompt.Tokens, c.UncachedTokens)
	c.Run = s.Speed.prefill(c.PrefillWork) + s.Speed.PrefillSetup + fetch
	reread := max(c.UncachedTokens-s.private(r), 0)
	c.Cost += c.Wait + c.Run + s.Speed.prefill(int64(reread)) + s.remote(t, r.Bytes) + s.health(t) + max(t.Load.Delay(), 0)
	return c
}

// private returns the tokens of the prompt that no cache can hold.
func (s PrefillScorer) private(r *Request) int {
	n := r.Prompt.Tokens
	for _, p := range r.Prompt.Parts {
		n -= p.Tokens
	}
	return max(n, 0)
}

// DecodeScorer scores engines that take over the KV cache from another engine
// and generate the tokens.
type DecodeScorer struct {
	Costs
	Speed  EngineSpeed
	Engine routes.Engine
	Link   Link
	// Source is the data centre of the engine that has read the prompt.
	SourceDataCentre types.DataCentreID
}

// full is the share of the KV cache up to which an engine gets more streams.
// Beyond it the engine may preempt streams.
const full = 0.85

// overloaded is the cost of an engine without room. It exceeds all other costs
// but leaves the order among such engines.
const overloaded = 10 * time.Second

// Score implements Scorer.
func (s DecodeScorer) Score(r *Request, t *directory.Target) Choice {
	load := t.Load.Total()
	moved := r.Prompt.Tokens - s.cached(r, t)
	c := Choice{
		Wait:           s.Link.time(moved, s.SourceDataCentre, t.DataCentre),
		Run:            s.Speed.IterationTime + time.Duration(load.Streams)*s.Speed.IterationTimePerStream,
		UncachedTokens: moved,
	}
	waiting := s.Speed.prefill(2*max(load.PrefillTokens, 0)) / 4
	c.Cost = s.Link.cost(moved, s.SourceDataCentre, t.DataCentre) + c.Run + waiting + time.Duration(load.Streams)*s.Speed.IterationTime + s.remote(t, r.Bytes) + s.connection(r, t) + s.health(t) + max(t.Load.Delay(), 0)
	if !s.room(load, r) {
		c.Cost += overloaded
	}
	return c
}

func (s DecodeScorer) room(load directory.Work, r *Request) bool {
	if s.Engine.Slots > 0 && load.Requests >= int64(s.Engine.Slots) {
		return false
	}
	need := load.StreamTokens + int64(r.Prompt.Tokens+r.Prompt.MaxOutputTokens)
	return s.Engine.KVTokens == 0 || float64(need) <= full*float64(s.Engine.KVTokens)
}

// CombinedScorer scores engines that both read the prompt and generate the tokens.
type CombinedScorer struct {
	Costs
	Speed  EngineSpeed
	Engine routes.Engine
}

// wholeSlowdown is by how much slower a decode engine reads prompts than a
// prefill engine.
const wholeSlowdown = 2

// Score implements Scorer.
func (s CombinedScorer) Score(r *Request, t *directory.Target) Choice {
	load := t.Load.Total()
	uncached := r.Prompt.Tokens - s.cached(r, t)
	work := s.Speed.PrefillWork(r.Prompt.Tokens, uncached)
	slowdown := time.Duration(1)
	if t.Role == types.RoleDecode {
		slowdown = wholeSlowdown
	}
	c := Choice{
		Wait:           slowdown * s.Speed.prefill(max(load.PrefillTokens, 0)),
		Run:            slowdown*s.Speed.prefill(work) + s.Speed.PrefillSetup,
		UncachedTokens: uncached, PrefillWork: work,
	}
	c.Cost = c.Wait + c.Run + time.Duration(load.Streams)*s.Speed.IterationTime + s.remote(t, r.Bytes) + s.health(t) + max(t.Load.Delay(), 0)
	if !(DecodeScorer{Engine: s.Engine}).room(load, r) {
		c.Cost += overloaded
	}
	return c
}

// PlainScorer scores instances of plain services.
type PlainScorer struct {
	Costs
	// Work is the usual time of one request.
	ServiceTime time.Duration
}

// queued is by how much a request that waits costs more than one that runs.
const queued = 8

// Score implements Scorer.
func (s PlainScorer) Score(r *Request, t *directory.Target) Choice {
	n := t.Load.Total().Requests
	slots := int64(max(t.Slots, 1))
	c := Choice{Run: s.ServiceTime}
	if n >= slots {
		c.Wait = time.Duration(n-slots+1) * s.ServiceTime / time.Duration(slots)
	}
	c.Cost = time.Duration(n)*s.ServiceTime/time.Duration(slots) + queued*c.Wait + s.remote(t, r.Bytes) + s.connection(r, t) + s.health(t) + max(t.Load.Delay(), 0)
	return c
}
