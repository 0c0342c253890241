package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Candidate is a target that passed all filters, with the prediction for the
// request.
type Candidate struct {
	*Target
	Prediction
}

// Filter excludes targets that cannot serve a request.
type Filter interface {
	// Keep reports whether the target may serve the request.
	Keep(r *Request, t *Target, now time.Time) bool
}

// Picker chooses among candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate. There is at least one
	// candidate. Of candidates with equal cost, the earlier one is preferred.
	Pick(r *Request, c []Candidate, rnd *Rand) int
}

const (
	// maxCandidates is the maximum number of targets that are scored to choose one.
	// It keeps the cost of a decision independent of the size of the fleet.
	maxCandidates = 16
	// maxExamined is the maximum number of targets that random sampling examines,
	// including those that filters drop.
	maxExamined = 32
	// prefixCandidates is the number of targets, in the order of preference for a
	// prefix block, that become candidates. A popular prefix spreads over them when
	// waiting in the queue takes longer than the cached prefix saves.
	prefixCandidates = 2
	// defaultSamples is the default of Router.Samples. More samples give no better
	// decisions at 370 targets (docs/decisions/0002).
	defaultSamples = 4
)

// Router chooses targets by means of filters, a scorer and a picker.
type Router struct {
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
	// RingOffset is where this daemon's part of the ring starts, as a fraction of the
	// ring in units of 2^-64. At equal cost, targets from there on are preferred, so
	// that daemons with the same stale report choose different targets. 0 means that
	// the daemon has no part of its own and starts at random positions.
	RingOffset uint64
	// Daemons is the number of daemons among which the ring is divided equally.
	Daemons int
	// Samples is the number of sampled candidates, in addition to those chosen by
	// prefix.
	Samples int
}

// NewRouter returns the router that the entry daemon uses.
func NewRouter() *Router {
	return &Router{
		Filters: []Filter{AvailableFilter{}, ResidencyFilter{}},
		Scorer:  NewLoadScorer(),
		Picker:  LowestCost{},
		Samples: defaultSamples,
	}
}

// SetRingOffset assigns the i-th of n equal parts of the ring to this daemon, where
// i is in [0,n).
func (ro *Router) SetRingOffset(i, n int) {
	ro.RingOffset, ro.Daemons = ^uint64(0)/uint64(n)*uint64(i)+1, n
}

// Decision is the result of Route.
type Decision struct {
	// Target is nil if the request is refused; Reason is then set.
	Target *Target
	// Prefill, if not nil, is the engine that runs the prefill. Target then imports
	// the KV cache from it and runs the decode.
	Prefill    *Target
	Prediction Prediction
	Reason     types.RefusalReason
}

// search is the working memory of one decision. Searches are pooled, because values
// passed to the interfaces of a Router escape to the heap and would be allocated
// anew for each decision.
type search struct {
	router *Router
	r      *Request
	now    time.Time
	rnd    Rand
	// buf[:n] contains the candidates of the current choice.
	buf [maxCandidates]Candidate
	n   int
	// examined counts the targets passed to add, including those that were dropped.
	examined int
	// dedupLen is the number of leading candidates that a new target is compared
	// with to avoid duplicates.
	dedupLen     int
	limitReached bool // a target was dropped only for its concurrency limit
	remote       bool // the targets are in another data centre
	ranking      ranking
	// prefill and decode are the two engines of a split.
	prefill, decode Candidate
}

var searchPool = sync.Pool{New: func() any { return new(search) }}

// Route chooses a target for the request, or one engine each for prefill and decode.
// It does not change any counters. Its cost does not grow with the fleet, and it
// does not allocate.
func (ro *Router) Route(f *Fleet, r *Request, now time.Time, rnd Rand) Decision {
	p, missing := f.findPool(r)
	if p == nil {
		return Decision{Reason: missing}
	}
	s := searchPool.Get().(*search)
	s.router, s.r, s.now, s.rnd, s.limitReached = ro, r, now, rnd, false
	d := s.decide(p)
	s.r, s.router = nil, nil
	searchPool.Put(s)
	return d
}

func (s *search) decide(p *pool) Decision {
	if s.r.AffinityKey != 0 {
		if d := s.byAffinityKey(&p.all); d.Target != nil {
			return d
		}
	}
	s.remote = false
	best := s.bestDecision(&p.local)
	if !s.meetsDeadlines(best) {
		s.remote = true
		if remote := s.bestDecision(&p.remote); better(remote, best) {
			best = remote
		}
	}
	switch {
	case best.Target == nil && s.limitReached:
		return Decision{Reason: types.RefusedTargetLimit}
	case best.Target == nil:
		return Decision{Reason: types.RefusedNoTarget}
	case !s.meetsDeadlines(best):
		return Decision{Prediction: best.Prediction, Reason: types.RefusedDeadline}
	}
	return best
}

// missesDeadline reports whether the first token is predicted after the budget.
func (s *search) missesDeadline(d Decision) bool {
	budget, ok := s.r.budget(s.now)
	return ok && d.Prediction.FirstToken > budget
}

// meetsDeadlines reports whether the decision has a target and meets both the
// deadline of the first token and the limit on the time between tokens.
func (s *search) meetsDeadlines(d Decision) bool {
	if d.Target == nil || s.missesDeadline(d) {
		return false
	}
	return s.r.TokenInterval == 0 || d.Prediction.TokenInterval <= s.r.TokenInterval
}

// better reports whether a is preferable to b.
func better(a, b Decision) bool {
	return a.Target != nil && (b.Target == nil || a.Prediction.Cost < b.Prediction.Cost)
}

// bestDecision returns the better one of serving the request on a single engine and
// splitting prefill and decode.
func (s *search) bestDecision(g *group) Decision {
	if s.r.Service != "" {
		return s.combined(&g.all)
	}
	d := s.combined(&g.byRole[types.RoleMixed])
	if !s.r.Combined && g.byRole[types.RolePrefill].len() > 0 {
		if split := s.split(g); better(split, d) {
			d = split
		}
	}
	if s.meetsDeadlines(d) {
		return d
	}
	// Decode engines prefill in small chunks, and prefill engines decode alongside
	// large chunks, so they serve combined requests only if nothing else meets the
	// deadlines.
	for _, role := range []types.Role{types.RoleDecode, types.RolePrefill} {
		if other := s.combined(&g.byRole[role]); better(other, d) {
			d = other
		}
	}
	return d
}

// combined chooses one engine for both prefill and decode.
func (s *search) combined(g *ring) Decision {
	c := s.choose(g, true)
	return Decision{Target: c.Target, Prediction: c.Prediction}
}

// split chooses one engine for the prefill and one for the decode. Mixed engines
// are considered for the decode if no decode engine meets the deadlines.
func (s *search) split(g *group) Decision {
	s.prefill = s.choose(&g.byRole[types.RolePrefill], true)
	if s.prefill.Target == nil {
		return Decision{}
	}
	d := s.addDecode(&g.byRole[types.RoleDecode])
	if s.meetsDeadlines(d) {
		return d
	}
	if mixed := s.addDecode(&g.byRole[types.RoleMixed]); better(mixed, d) {
		return mixed
	}
	return d
}

// addDecode completes a split with the best engine of a ring for the decode.
func (s *search) addDecode(g *ring) Decision {
	s.decode = s.choose(g, false)
	if s.decode.Target == nil {
		return Decision{}
	}
	p := s.router.Scorer.ScoreSplit(s.r, &s.prefill, &s.decode, s.now)
	return Decision{Target: s.decode.Target, Prefill: s.prefill.Target, Prediction: p}
}

// choose returns the best of a bounded number of targets. If prefill is false, the
// targets are scored for the decode only.
func (s *search) choose(g *ring, prefill bool) Candidate {
	s.n, s.examined, s.dedupLen = 0, 0, maxCandidates
	if g.len() == 0 {
		return Candidate{}
	}
	// Another data centre is used if local capacity is short, not for its caches.
	if prefill && !s.remote && len(s.r.Blocks) > 0 {
		s.addByPrefix(g)
	}
	s.addSamples(g, prefill)
	if s.n == 0 {
		return Candidate{}
	}
	return s.buf[s.router.Picker.Pick(s.r, s.buf[:s.n], &s.rnd)]
}

// addByPrefix adds the preferred targets of the first block, which many requests
// share, and of the last block, which is the most specific to this request.
func (s *search) addByPrefix(g *ring) {
	last := len(s.r.Blocks) - 1
	s.addPreferred(g, last)
	if last > 0 {
		s.addPreferred(g, 0)
	}
}

// addPreferred adds the preferred targets of a prefix block.
func (s *search) addPreferred(g *ring, block int) {
	g.rank(s.r.Blocks[block], &s.ranking)
	for i := range min(s.ranking.n, prefixCandidates) {
		// Every daemon prefers the first target in the ranking, so the prefix up to this
		// block is likely to be in its cache. Half of the prefix is expected there, and
		// the expectation halves with each further rank.
		s.add(s.ranking.targets[i], (block+1)*types.BlockTokens>>(i+1), true)
	}
}

// addSamples adds a target from this daemon's part of the ring and random others. A
// ring of up to maxCandidates targets is added completely, starting at the daemon's
// part.
func (s *search) addSamples(g *ring, prefill bool) {
	s.examined = 0
	start := g.positionOf(s.router.RingOffset)
	if s.router.RingOffset == 0 {
		start = s.rnd.IntN(g.len())
	}
	if g.len() <= maxCandidates {
		s.dedupLen = s.n
		for i := range g.len() {
			s.add(g.targets[(start+i)%g.len()], 0, prefill)
		}
		return
	}
	start += s.rnd.IntN(max(g.len()/max(s.router.Daemons, 1), 1))
	s.add(g.targets[start%g.len()], 0, prefill)
	limit := min(s.n+s.router.Samples-1, maxCandidates)
	for s.n < limit && s.examined < maxExamined {
		s.add(g.targets[s.rnd.IntN(g.len())], 0, prefill)
	}
}

// add scores a target and makes it a candidate, unless it already is one or is not
// usable. expected is the number of prompt tokens that are expected to be cached
// because of affinity.
func (s *search) add(t *Target, expected int, prefill bool) {
	s.examined++
	for i := range min(s.n, s.dedupLen) {
		if s.buf[i].Target == t {
			return
		}
	}
	if s.n == maxCandidates || !s.usable(t) {
		return
	}
	cached := s.r.PromptTokens
	if prefill {
		cached = t.cached(s.r, expected)
	}
	s.buf[s.n] = Candidate{t, s.router.Scorer.Score(s.r, t, cached, s.now)}
	s.n++
}

// usable reports whether the target passes the filters and is below its concurrency
// limit.
func (s *search) usable(t *Target) bool {
	for _, f := range s.router.Filters {
		if !f.Keep(s.r, t, s.now) {
			return false
		}
	}
	if t.Counters.AtLimit() {
		s.limitReached = true
		return false
	}
	return true
}

// byAffinityKey returns the most preferred usable target for the affinity key. It
// ignores load, so that all daemons choose the same target.
func (s *search) byAffinityKey(g *ring) Decision {
	if g.len() == 0 {
		return Decision{}
	}
	g.rank(s.r.AffinityKey, &s.ranking)
	for _, t := range s.ranking.targets[:s.ranking.n] {
		if s.usable(t) {
			return Decision{Target: t, Prediction: s.router.Scorer.Score(s.r, t, 0, s.now)}
		}
	}
	return Decision{}
}

// cached returns the number of prompt tokens that are expected to be in the
// target's prefix cache: those in the view of the cache, or the number expected by
// affinity if that is higher, because cache events may not have arrived yet. Only
// half of the tokens in an uncertain view count.
func (t *Target) cached(r *Request, expected int) int {
	if len(r.Blocks) == 0 {
		return 0
	}
	tokens := t.Cache.matchedPrefix(r.Blocks) * types.BlockTokens
	if t.Cache.Uncertain() {
		tokens /= 2
	}
	return max(tokens, expected)
}

// AvailableFilter drops targets that are draining, carrying out an order, excluded
// for this request, or in back-off after a failure.
type AvailableFilter struct{}

// Keep implements Filter.
func (AvailableFilter) Keep(r *Request, t *Target, now time.Time) bool {
	if t.Leaving || t.Changing || r.excludes(t.ID) {
		return false
	}
	return t.Counters.RetryAfter.Load() <= clock.Nanos(now)
}

// ResidencyFilter drops engines that do not have the requested adapter or version
// of the model loaded.
type ResidencyFilter struct{}

// Keep implements Filter.
func (ResidencyFilter) Keep(r *Request, t *Target, _ time.Time) bool {
	if r.Version != "" && t.Version != r.Version {
		return false
	}
	return r.Adapter == "" || slices.Contains(t.Adapters, r.Adapter)
}

// LowestCost picks the candidate with the lowest cost, the first one if several
// have the same cost.
type LowestCost struct{}

// Pick implements Picker.
func (LowestCost) Pick(_ *Request, c []Candidate, _ *Rand) int {
	best := 0
	for i := range c {
		if c[i].Cost < c[best].Cost {
			best = i
		}
	}
	return best
}
