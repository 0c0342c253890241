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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *sim) engineOf(t *routing.Target) *engineState {
	for _, e := range s.engines {
		if e.id == t.ID {
			return e
		}
	}
	return nil
}

// source returns the random source of one decision.
func (s *sim) source() routing.Rand { return routing.NewRand(s.rnd.Uint64()) }

func (s *sim) request(c *call) *routing.Request {
	return &routing.Request{
		Model: model, Combined: true, PromptTokens: c.req.Prompt, MaxTokens: c.req.Output,
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
func (noSplit) ScoreSplit(*routing.Request, *routing.Candidate, *routing.Candidate, time.Time) routing.Prediction {
	return routing.Prediction{Cost: math.Inf(1)}
}
