package measure

import (
	"time"

	"github.com/lentilpick/lentilpick/routing"
)

// routerPlacement places calls with the entry daemon's router in its default configuration, except that
// the scorer uses the prefill chunk sizes of the simulated engines.
type routerPlacement struct{ router, decodeRouter *routing.Router }

func newRouterPlacement() placement {
	scorer := routing.LoadScorer{}
	for role, n := range engineParams().ChunkTokens {
		scorer.ChunkTokens[role] = float64(n)
	}
	p := routerPlacement{routing.NewRouter(), routing.NewRouter()}
	p.router.Scorer, p.decodeRouter.Scorer = scorer, scorer
	p.decodeRouter.Filters = append(p.decodeRouter.Filters, decodeFilter{})
	return p
}

func (p routerPlacement) dispatch(s *sim, c *call) bool {
	r := s.routingRequest(c)
	r.Combined = false
	r.Deadline = s.time().Add(firstTokenDeadline(c.req.Prompt))
	d := p.router.Route(s.fleet, r, s.time(), s.newRand())
	if d.Target == nil {
		return false
	}
	if d.Prefill == nil {
		s.runCombined(c, s.engineFor(d.Target))
		return true
	}
	s.runSplit(c, s.engineFor(d.Prefill), s.engineFor(d.Target))
	return true
}

// decodeEngine finds an engine for a stream whose KV cache is transferred, so that no prefill remains.
func (p routerPlacement) decodeEngine(s *sim, c *call) *engineState {
	r := s.routingRequest(c)
	r.PromptTokens, r.Blocks = 1, nil
	r.Deadline = s.time().Add(time.Second)
	d := p.decodeRouter.Route(s.fleet, r, s.time(), s.newRand())
	if d.Target == nil || d.Prediction.TokenInterval > tokenInterval {
		return nil
	}
	return s.engineFor(d.Target)
}
