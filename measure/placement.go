package measure

import (
	"math"
	"time"

	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/types"
)

// placement chooses the engines of a call.
type placement interface {
	// dispatch starts the call, or reports that no engine can serve it in time.
	dispatch(s *sim, c *call) bool
	// decode returns an engine that can take over the stream of a call, or nil.
	decode(s *sim, c *call) *engineState
}

// roleFilter keeps engines of one role.
type roleFilter struct{ role types.Role }

// Keep implements routing.Filter.
func (f roleFilter) Keep(_ *routing.Request, t *routing.Target, _ time.Time) bool {
	return t.Role == f.role
}

// phase says which work of a request a scorer predicts.
type phase uint8

const (
	phaseWhole phase = iota
	phasePrefill
	phaseDecode
)

// roleScorer predicts how an engine serves a phase of a request from the
// dispatches of the only entry daemon. It stands for the scorer of the routing
// module, which knows neither roles nor phases yet.
type roleScorer struct {
	noSplit
	phase phase
	sim   *sim
}

// never is the predicted time of work that cannot meet its deadline.
const never = time.Hour

// Score implements routing.Scorer.
func (sc *roleScorer) Score(r *routing.Request, t *routing.Target, _ int, _ time.Time) routing.Prediction {
	e := sc.sim.engineOf(t)
	queued := t.Counters.QueuedPrefill.Load()
	streams := t.Counters.Decoding.Load()
	chunk := float64(params().ChunkTokens[t.Role])
	chunkTime := seconds(chunk / t.Rates.PrefillTokensPerSecond)
	plain := t.Rates.IterationBase + time.Duration(streams+1)*t.Rates.DecodeCost
	p := routing.Prediction{TokenInterval: plain}
	if sc.phase == phaseWhole || queued > 0 {
		p.TokenInterval += chunkTime
	}
	if sc.phase == phaseDecode {
		p.FirstToken = p.TokenInterval
	} else {
		todo := float64(queued) + float64(r.PromptTokens-e.cachedBlocks(r.Blocks))
		p.FirstToken = plain + seconds(todo/chunk*(chunkTime+plain).Seconds())
	}
	if sc.phase != phasePrefill && p.TokenInterval > r.TokenInterval {
		p.FirstToken = never
	}
	p.Cost = p.FirstToken.Seconds()
	return p
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (e *engineState) cachedBlocks(blocks []uint64) int {
	return e.cachedTokens(&Request{Blocks: blocks})
}

func (s *sim) engineOf(t *routing.Target) *engineState {
	for _, e := range s.engines {
		if e.id == t.ID {
			return e
		}
	}
	return nil
}

// byRole serves requests split over a prefill and a decode engine, on mixed
// engines, or, as spill-over, whole on a decode engine.
type byRole struct {
	prefillOnly, decodeOnly, decodeMixed, mixed, spill *routing.Router
	ready                                              bool
}

func newByRole() placement { return &byRole{} }

func (b *byRole) init(s *sim) {
	if b.ready {
		return
	}
	b.ready = true
	b.prefillOnly = roleRouter(s, phasePrefill, types.RolePrefill)
	b.decodeOnly = roleRouter(s, phaseDecode, types.RoleDecode)
	b.decodeMixed = roleRouter(s, phaseDecode, types.RoleMixed)
	b.mixed = roleRouter(s, phaseWhole, types.RoleMixed)
	b.spill = roleRouter(s, phaseWhole, types.RoleDecode)
}

// roleRouter is the router of the entry daemon with a filter and a scorer for
// one phase on engines of one role.
func roleRouter(s *sim, p phase, role types.Role) *routing.Router {
	r := routing.NewRouter()
	r.Filters = append(r.Filters, roleFilter{role})
	r.Scorer = &roleScorer{phase: p, sim: s}
	r.Picker = routing.LowestCost{}
	return r
}

// choice is a way to serve a call; pressure is the largest part of a deadline
// that it is predicted to use.
type choice struct {
	prefill, decode *engineState
	pressure        float64
}

func (b *byRole) dispatch(s *sim, c *call) bool {
	b.init(s)
	best := b.split(s, c)
	if w := b.whole(s, c, b.mixed); w.pressure < best.pressure {
		best = w
	}
	if best.pressure > 1 {
		best = b.whole(s, c, b.spill)
	}
	if best.pressure > 1 {
		return false
	}
	if best.prefill == best.decode {
		s.runWhole(c, best.decode)
		return true
	}
	s.runSplit(c, best.prefill, best.decode)
	return true
}

func (b *byRole) split(s *sim, c *call) choice {
	r := s.request(c)
	budget := firstTokenDeadline(c.req.Prompt) - transferTime(c.req.Prompt) - tokenInterval
	r.Deadline = s.time().Add(budget)
	p := b.prefillOnly.Route(s.fleet, r, s.time(), s.source())
	d := b.decodePlace(s, c)
	if p.Target == nil || d.Target == nil {
		return choice{pressure: math.Inf(1)}
	}
	return choice{s.engineOf(p.Target), s.engineOf(d.Target), pressure(p.Prediction.FirstToken, budget, d.Prediction.TokenInterval)}
}

func (b *byRole) whole(s *sim, c *call, ro *routing.Router) choice {
	budget := firstTokenDeadline(c.req.Prompt)
	r := s.request(c)
	r.Deadline = s.time().Add(budget)
	d := ro.Route(s.fleet, r, s.time(), s.source())
	if d.Target == nil {
		return choice{pressure: math.Inf(1)}
	}
	e := s.engineOf(d.Target)
	return choice{e, e, pressure(d.Prediction.FirstToken, budget, d.Prediction.TokenInterval)}
}

func pressure(first, budget, interval time.Duration) float64 {
	return max(float64(first)/float64(budget), float64(interval)/float64(tokenInterval))
}

// decodePlace prefers decode engines, since mixed ones hold few streams.
func (b *byRole) decodePlace(s *sim, c *call) routing.Decision {
	r := s.request(c)
	r.Deadline = s.time().Add(firstTokenDeadline(c.req.Prompt))
	d := b.decodeOnly.Route(s.fleet, r, s.time(), s.source())
	if d.Target == nil {
		d = b.decodeMixed.Route(s.fleet, r, s.time(), s.source())
	}
	return d
}

func (b *byRole) decode(s *sim, c *call) *engineState {
	d := b.decodePlace(s, c)
	if d.Target == nil {
		return nil
	}
	return s.engineOf(d.Target)
}

// source returns the random source of one decision.
func (s *sim) source() routing.Rand { return routing.NewRand(s.rnd.Uint64()) }

func (s *sim) request(c *call) *routing.Request {
	return &routing.Request{
		Whole: true,
		Model: model, PromptTokens: c.req.Prompt, MaxTokens: c.req.Output,
		Blocks: c.req.Blocks, TokenInterval: tokenInterval,
	}
}

// blind splits each request over a prefill engine and another one without a
// prediction, and so refuses none.
type blind struct{ first, second *routing.Router }

// notPrefill keeps engines that decode.
type notPrefill struct{}

// Keep implements routing.Filter.
func (notPrefill) Keep(_ *routing.Request, t *routing.Target, _ time.Time) bool {
	return t.Role != types.RolePrefill
}

func newBlind(scorer routing.Scorer, picker routing.Picker) placement {
	b := blind{routing.NewRouter(), routing.NewRouter()}
	b.first.Filters = append(b.first.Filters, roleFilter{types.RolePrefill})
	b.second.Filters = append(b.second.Filters, notPrefill{})
	for _, r := range []*routing.Router{b.first, b.second} {
		r.Scorer, r.Picker = scorer, picker
	}
	return b
}

func (b blind) dispatch(s *sim, c *call) bool {
	p := b.first.Route(s.fleet, s.request(c), s.time(), s.source())
	d := b.second.Route(s.fleet, s.request(c), s.time(), s.source())
	if p.Target == nil || d.Target == nil {
		return false
	}
	s.runSplit(c, s.engineOf(p.Target), s.engineOf(d.Target))
	return true
}

func (b blind) decode(s *sim, c *call) *engineState {
	d := b.second.Route(s.fleet, s.request(c), s.time(), s.source())
	if d.Target == nil {
		return nil
	}
	return s.engineOf(d.Target)
}

// randomPicker picks any candidate.
type randomPicker struct{}

// Pick implements routing.Picker.
func (randomPicker) Pick(_ *routing.Request, c []routing.Candidate, rnd *routing.Rand) int {
	return rnd.IntN(len(c))
}

// noScore predicts nothing.
type noScore struct{ noSplit }

// Score implements routing.Scorer.
func (noScore) Score(*routing.Request, *routing.Target, int, time.Time) routing.Prediction {
	return routing.Prediction{}
}

// reportScore orders engines by the requests in their last report.
type reportScore struct{ noSplit }

// Score implements routing.Scorer.
func (reportScore) Score(_ *routing.Request, t *routing.Target, _ int, _ time.Time) routing.Prediction {
	return routing.Prediction{Cost: float64(t.Report.Running)}
}

func newRandom() placement      { return newBlind(noScore{}, randomPicker{}) }
func newLeastLoaded() placement { return newBlind(reportScore{}, routing.LowestCost{}) }

// noSplit is the part of a scorer for routers that choose one engine at a time.
type noSplit struct{}

// Join implements routing.Scorer.
func (noSplit) Join(*routing.Request, *routing.Candidate, *routing.Candidate, time.Time) routing.Prediction {
	return routing.Prediction{Cost: math.Inf(1)}
}
