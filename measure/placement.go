package measure

import (
	"math"
	"time"

	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/types"
)

// placement chooses the engines that serve a call.
type placement interface {
	// dispatch starts the call, or returns false if no engine can serve it within its deadline.
	dispatch(s *sim, c *call) bool
	// decodeEngine returns an engine that can take over the stream of a call, or nil if there is none.
	decodeEngine(s *sim, c *call) *engineState
}

// roleFilter selects engines of one role.
type roleFilter struct{ role types.Role }

// Keep implements routing.Filter.
func (f roleFilter) Keep(_ *routing.Request, t *routing.Target, _ time.Time) bool {
	return t.Role == f.role
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *sim) engineFor(t *routing.Target) *engineState {
	for _, e := range s.engines {
		if e.id == t.ID {
			return e
		}
	}
	return nil
}

// newRand returns the random source for one routing decision.
func (s *sim) newRand() routing.Rand { return routing.NewRand(s.rnd.Uint64()) }

func (s *sim) routingRequest(c *call) *routing.Request {
	return &routing.Request{
		Model: model, Combined: true, PromptTokens: c.req.Prompt, MaxTokens: c.req.Output,
		Blocks: c.req.Blocks, TokenInterval: tokenInterval,
	}
}

// splitPlacement places prefill on a prefill engine and decode on a decode or mixed engine. It does not
// predict latencies, so it refuses a request only if there is no engine for a phase.
type splitPlacement struct{ prefillRouter, decodeRouter *routing.Router }

// decodeFilter selects engines that can decode: those with the decode or the mixed role.
type decodeFilter struct{}

// Keep implements routing.Filter.
func (decodeFilter) Keep(_ *routing.Request, t *routing.Target, _ time.Time) bool {
	return t.Role != types.RolePrefill
}

func newSplitPlacement(scorer routing.Scorer, picker routing.Picker) placement {
	sp := splitPlacement{routing.NewRouter(), routing.NewRouter()}
	sp.prefillRouter.Filters = append(sp.prefillRouter.Filters, roleFilter{types.RolePrefill})
	sp.decodeRouter.Filters = append(sp.decodeRouter.Filters, decodeFilter{})
	for _, r := range []*routing.Router{sp.prefillRouter, sp.decodeRouter} {
		r.Scorer, r.Picker = scorer, picker
	}
	return sp
}

func (sp splitPlacement) dispatch(s *sim, c *call) bool {
	p := sp.prefillRouter.Route(s.fleet, s.routingRequest(c), s.time(), s.newRand())
	d := sp.decodeRouter.Route(s.fleet, s.routingRequest(c), s.time(), s.newRand())
	if p.Target == nil || d.Target == nil {
		return false
	}
	s.runSplit(c, s.engineFor(p.Target), s.engineFor(d.Target))
	return true
}

func (sp splitPlacement) decodeEngine(s *sim, c *call) *engineState {
	d := sp.decodeRouter.Route(s.fleet, s.routingRequest(c), s.time(), s.newRand())
	if d.Target == nil {
		return nil
	}
	return s.engineFor(d.Target)
}

// randomPicker picks a candidate uniformly at random.
type randomPicker struct{}

// Pick implements routing.Picker.
func (randomPicker) Pick(_ *routing.Request, c []routing.Candidate, rnd *routing.Rand) int {
	return rnd.IntN(len(c))
}

// zeroScorer gives all engines the same cost.
type zeroScorer struct{ singleEngineScorer }

// Score implements routing.Scorer.
func (zeroScorer) Score(*routing.Request, *routing.Target, int, time.Time) routing.Prediction {
	return routing.Prediction{}
}

// reportScorer uses the number of running requests in the last load report as the cost.
type reportScorer struct{ singleEngineScorer }

// Score implements routing.Scorer.
func (reportScorer) Score(_ *routing.Request, t *routing.Target, _ int, _ time.Time) routing.Prediction {
	return routing.Prediction{Cost: float64(t.Report.Running)}
}

func newRandomPlacement() placement { return newSplitPlacement(zeroScorer{}, randomPicker{}) }
func newLeastLoadedPlacement() placement {
	return newSplitPlacement(reportScorer{}, routing.LowestCost{})
}

// singleEngineScorer is embedded by scorers for routers that choose one engine at a time. It gives
// split placements an infinite cost.
type singleEngineScorer struct{}

// ScoreSplit implements routing.Scorer.
func (singleEngineScorer) ScoreSplit(*routing.Request, *routing.Candidate, *routing.Candidate, time.Time) routing.Prediction {
	return routing.Prediction{Cost: math.Inf(1)}
}
