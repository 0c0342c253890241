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
	decodeEngine(s *sim, c *call) *engineState
}

// roleFilter keeps engines of one role.
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

// source returns the random source of one decision.
func (s *sim) newRand() routing.Rand { return routing.NewRand(s.rnd.Uint64()) }

func (s *sim) routingRequest(c *call) *routing.Request {
	return &routing.Request{
		Model: model, Combined: true, PromptTokens: c.req.Prompt, MaxTokens: c.req.Output,
		Blocks: c.req.Blocks, TokenInterval: tokenInterval,
	}
}

// blind splits each request over a prefill engine and another one without a
// prediction, and so refuses none.
type splitPlacement struct{ prefillRouter, decodeRouter *routing.Router }

// notPrefill keeps engines that decode.
type decodeFilter struct{}

// Keep implements routing.Filter.
func (decodeFilter) Keep(_ *routing.Request, t *routing.Target, _ time.Time) bool {
	return t.Role != types.RolePrefill
}

func newSplitPlacement(scorer routing.Scorer, picker routing.Picker) placement {
	b := splitPlacement{routing.NewRouter(), routing.NewRouter()}
	b.prefillRouter.Filters = append(b.prefillRouter.Filters, roleFilter{types.RolePrefill})
	b.decodeRouter.Filters = append(b.decodeRouter.Filters, decodeFilter{})
	for _, r := range []*routing.Router{b.prefillRouter, b.decodeRouter} {
		r.Scorer, r.Picker = scorer, picker
	}
	return b
}

func (b splitPlacement) dispatch(s *sim, c *call) bool {
	p := b.prefillRouter.Route(s.fleet, s.routingRequest(c), s.time(), s.newRand())
	d := b.decodeRouter.Route(s.fleet, s.routingRequest(c), s.time(), s.newRand())
	if p.Target == nil || d.Target == nil {
		return false
	}
	s.runSplit(c, s.engineFor(p.Target), s.engineFor(d.Target))
	return true
}

func (b splitPlacement) decodeEngine(s *sim, c *call) *engineState {
	d := b.decodeRouter.Route(s.fleet, s.routingRequest(c), s.time(), s.newRand())
	if d.Target == nil {
		return nil
	}
	return s.engineFor(d.Target)
}

// randomPicker picks any candidate.
type randomPicker struct{}

// Pick implements routing.Picker.
func (randomPicker) Pick(_ *routing.Request, c []routing.Candidate, rnd *routing.Rand) int {
	return rnd.IntN(len(c))
}

// noScore predicts nothing.
type zeroScorer struct{ singleEngineScorer }

// Score implements routing.Scorer.
func (zeroScorer) Score(*routing.Request, *routing.Target, int, time.Time) routing.Prediction {
	return routing.Prediction{}
}

// reportScore orders engines by the requests in their last report.
type reportScorer struct{ singleEngineScorer }

// Score implements routing.Scorer.
func (reportScorer) Score(_ *routing.Request, t *routing.Target, _ int, _ time.Time) routing.Prediction {
	return routing.Prediction{Cost: float64(t.Report.Running)}
}

func newRandomPlacement() placement { return newSplitPlacement(zeroScorer{}, randomPicker{}) }
func newLeastLoadedPlacement() placement {
	return newSplitPlacement(reportScorer{}, routing.LowestCost{})
}

// noSplit is the part of a scorer for routers that choose one engine at a time.
type singleEngineScorer struct{}

// Join implements routing.Scorer.
func (singleEngineScorer) ScoreSplit(*routing.Request, *routing.Candidate, *routing.Candidate, time.Time) routing.Prediction {
	return routing.Prediction{Cost: math.Inf(1)}
}
