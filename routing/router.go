package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Candidate is a target that passed all filters, with its prediction.
type Candidate struct {
	*Target
	Prediction
}

// Filter decides whether a target may serve a request at all.
type Filter interface {
	Keep(r *Request, t *Target, now time.Time) bool
}

// Picker chooses one of the candidates and returns its index. It is never
// called with no candidates. Candidates are in order of preference where their
// costs are equal.
type Picker interface {
	Pick(r *Request, c []Candidate, rnd *Rand) int
}

const (
	// maxCandidates bounds the work of one decision, so that its cost does not
	// grow with the fleet.
	maxCandidates = 16
	// maxLooked bounds the targets that one search looks at, including those that
	// filters drop.
	maxLooked = 32
	// prefixRanks is how many targets in the order of preference of a prefix
	// block are candidates. A popular prefix spreads over them as their queues
	// outgrow what the cache saves.
	prefixRanks = 2
	// defaultSamples is chosen by measurement (docs/decisions/0002): more than
	// four brought nothing at 370 targets.
	defaultSamples = 4
)

// Router combines filters, a scorer and a picker.
type Router struct {
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
	// Home is the position of this daemon among its peers, as a fraction of the
	// ring in 1/2^64. Targets from there on are preferred at equal cost, so that
	// daemons with the same stale report choose different targets. 0 means none.
	RingOffset uint64
	// Daemons is the number of daemons that share the ring; each has that part of
	// it as its home.
	Daemons int
	// Samples is the number of candidates besides those with the prefix.
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

// SetHome makes the router the one of daemon i of n.
func (ro *Router) SetRingOffset(i, n int) {
	ro.RingOffset, ro.Daemons = ^uint64(0)/uint64(n)*uint64(i)+1, n
}

// Decision is the result of Route.
type Decision struct {
	// Target is nil when the request cannot be served; Reason then says why.
	Target *Target
	// Prefill, if not nil, is the engine that runs the prefill; Target then
	// imports its KV cache and generates the tokens.
	Prefill    *Target
	Prediction Prediction
	Reason     types.RefusalReason
}

// search is the working memory of one decision. It is reused, because what is
// passed to the interfaces of a Router would otherwise be allocated each time.
type search struct {
	router *Router
	r      *Request
	now    time.Time
	rnd    Rand
	buf    [maxCandidates]Candidate
	n      int
	looked int
	// checked is how many of the first candidates a new one may repeat.
	checked int
	full    bool // a target was dropped only for its concurrency limit
	remote  bool // the targets are in another data centre
	rank    ranking
	// prefill and decode are the two parts of a split.
	prefill, decode Candidate
}

var searches = sync.Pool{New: func() any { return new(search) }}

// Route chooses a target for the request. It does not change any counter. Its
// cost is bounded for fleets of any size, and it does not allocate.
func (ro *Router) Route(f *Fleet, r *Request, now time.Time, rnd Rand) Decision {
	p, missing := f.pool(r)
	if p == nil {
		return Decision{Reason: missing}
	}
	s := searches.Get().(*search)
	s.router, s.r, s.now, s.rnd, s.full = ro, r, now, rnd, false
	d := s.decide(p)
	s.r, s.router = nil, nil
	searches.Put(s)
	return d
}

func (s *search) decide(p *pool) Decision {
	if s.r.AffinityKey != 0 {
		if d := s.byKey(&p.any); d.Target != nil {
			return d
		}
	}
	s.remote = false
	best := s.best(&p.local)
	if !s.meets(best) {
		s.remote = true
		if remote := s.best(&p.remote); better(remote, best) {
			best = remote
		}
	}
	switch {
	case best.Target == nil && s.full:
		return Decision{Reason: types.RefusedTargetLimit}
	case best.Target == nil:
		return Decision{Reason: types.RefusedNoTarget}
	case !s.meets(best):
		return Decision{Prediction: best.Prediction, Reason: types.RefusedDeadline}
	}
	return best
}

// late reports whether the first token would miss its deadline.
func (s *search) late(d Decision) bool {
	budget, ok := s.r.budget(s.now)
	return ok && d.Prediction.FirstToken > budget
}

// meets reports whether the decision meets both deadlines of the request.
func (s *search) meets(d Decision) bool {
	if d.Target == nil || s.late(d) {
		return false
	}
	return s.r.TokenInterval == 0 || d.Prediction.TokenInterval <= s.r.TokenInterval
}

func better(a, b Decision) bool {
	return a.Target != nil && (b.Target == nil || a.Prediction.Cost < b.Prediction.Cost)
}

// best compares serving the whole request on one engine with splitting it.
func (s *search) best(g *group) Decision {
	if s.r.Service != "" {
		return s.whole(&g.all)
	}
	d := s.whole(&g.role[types.RoleMixed])
	if !s.r.Combined && g.role[types.RolePrefill].len() > 0 {
		if split := s.split(g); better(split, d) {
			d = split
		}
	}
	if s.meets(d) {
		return d
	}
	// A decode engine prefills in small chunks, and a prefill engine generates
	// beside large ones, so that they serve whole requests only where they must.
	for _, role := range []types.Role{types.RoleDecode, types.RolePrefill} {
		if other := s.whole(&g.role[role]); better(other, d) {
			d = other
		}
	}
	return d
}

func (s *search) whole(g *ring) Decision {
	c := s.choose(g, true)
	return Decision{Target: c.Target, Prediction: c.Prediction}
}

// split chooses an engine for the prefill and one for the tokens. Mixed engines
// take the tokens where the decode engines have no room.
func (s *search) split(g *group) Decision {
	s.prefill = s.choose(&g.role[types.RolePrefill], true)
	if s.prefill.Target == nil {
		return Decision{}
	}
	d := s.join(&g.role[types.RoleDecode])
	if s.meets(d) {
		return d
	}
	if mixed := s.join(&g.role[types.RoleMixed]); better(mixed, d) {
		return mixed
	}
	return d
}

// join adds the best engine of a ring for the tokens after a prefill elsewhere.
func (s *search) join(g *ring) Decision {
	s.decode = s.choose(g, false)
	if s.decode.Target == nil {
		return Decision{}
	}
	p := s.router.Scorer.ScoreSplit(s.r, &s.prefill, &s.decode, s.now)
	return Decision{Target: s.decode.Target, Prefill: s.prefill.Target, Prediction: p}
}

// choose returns the best of a bounded number of targets. Without prefill the
// target is scored for its streams alone.
func (s *search) choose(g *ring, prefill bool) Candidate {
	s.n, s.looked, s.checked = 0, 0, maxCandidates
	if g.len() == 0 {
		return Candidate{}
	}
	// Requests go to another data centre for want of capacity, not for its caches.
	if prefill && !s.remote && len(s.r.Blocks) > 0 {
		s.addByPrefix(g)
	}
	s.addSamples(g, prefill)
	if s.n == 0 {
		return Candidate{}
	}
	return s.buf[s.router.Picker.Pick(s.r, s.buf[:s.n], &s.rnd)]
}

// addByPrefix adds the preferred targets of the first and of the last block:
// one is shared by many requests, the other is the most specific.
func (s *search) addByPrefix(g *ring) {
	last := len(s.r.Blocks) - 1
	s.addRanked(g, last)
	if last > 0 {
		s.addRanked(g, 0)
	}
}

func (s *search) addRanked(g *ring, block int) {
	g.rank(s.r.Blocks[block], &s.rank)
	for i := range min(s.rank.n, prefixRanks) {
		// The best ranked target is expected to hold the block, because every
		// daemon sends it there first; each further one half as likely.
		s.add(s.rank.targets[i], (block+1)*types.BlockTokens>>(i+1), true)
	}
}

// addSamples adds the home targets of this daemon and random others. A ring of
// up to maxCandidates is added whole, from home on.
func (s *search) addSamples(g *ring, prefill bool) {
	s.looked = 0
	start := g.position(s.router.RingOffset)
	if s.router.RingOffset == 0 {
		start = s.rnd.IntN(g.len())
	}
	if g.len() <= maxCandidates {
		s.checked = s.n
		for i := range g.len() {
			s.add(g.targets[(start+i)%g.len()], 0, prefill)
		}
		return
	}
	start += s.rnd.IntN(max(g.len()/max(s.router.Daemons, 1), 1))
	s.add(g.targets[start%g.len()], 0, prefill)
	most := min(s.n+s.router.Samples-1, maxCandidates)
	for s.n < most && s.looked < maxLooked {
		s.add(g.targets[s.rnd.IntN(g.len())], 0, prefill)
	}
}

// add scores a target unless it is a candidate already or a filter drops it.
func (s *search) add(t *Target, expected int, prefill bool) {
	s.looked++
	for i := range min(s.n, s.checked) {
		if s.buf[i].Target == t {
			return
		}
	}
	if s.n == maxCandidates || !s.keep(t) {
		return
	}
	cached := s.r.PromptTokens
	if prefill {
		cached = t.cached(s.r, expected)
	}
	s.buf[s.n] = Candidate{t, s.router.Scorer.Score(s.r, t, cached, s.now)}
	s.n++
}

func (s *search) keep(t *Target) bool {
	for _, f := range s.router.Filters {
		if !f.Keep(s.r, t, s.now) {
			return false
		}
	}
	if t.Counters.AtLimit() {
		s.full = true
		return false
	}
	return true
}

// byKey returns the most preferred target of the affinity key that passes the
// filters. Load does not matter, so that all daemons choose the same one.
func (s *search) byKey(g *ring) Decision {
	if g.len() == 0 {
		return Decision{}
	}
	g.rank(s.r.AffinityKey, &s.rank)
	for _, t := range s.rank.targets[:s.rank.n] {
		if s.keep(t) {
			return Decision{Target: t, Prediction: s.router.Scorer.Score(s.r, t, 0, s.now)}
		}
	}
	return Decision{}
}

// cached returns how many prompt tokens the target's prefix cache is expected
// to hold: what its view shows, or by affinity when events are still to come.
func (t *Target) cached(r *Request, expected int) int {
	if len(r.Blocks) == 0 {
		return 0
	}
	known := t.Cache.leading(r.Blocks) * types.BlockTokens
	if t.Cache.Uncertain() {
		known /= 2
	}
	return max(known, expected)
}

// AvailableFilter drops targets that are leaving, changing, excluded for this
// request, or in their back-off after a failure.
type AvailableFilter struct{}

// Keep implements Filter.
func (AvailableFilter) Keep(r *Request, t *Target, now time.Time) bool {
	if t.Leaving || t.Changing || r.excludes(t.ID) {
		return false
	}
	return t.Counters.RetryAfter.Load() <= clock.Nanos(now)
}

// ResidencyFilter drops engines that do not carry the requested adapter or
// version.
type ResidencyFilter struct{}

// Keep implements Filter.
func (ResidencyFilter) Keep(r *Request, t *Target, _ time.Time) bool {
	if r.Version != "" && t.Version != r.Version {
		return false
	}
	return r.Adapter == "" || slices.Contains(t.Adapters, r.Adapter)
}

// LowestCost picks the candidate with the lowest cost, the first among equals.
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
