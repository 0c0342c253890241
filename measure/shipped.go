package measure

import (
	"time"

	"github.com/lentilpick/lentilpick/routing"
)

// shipped places calls with the router of the entry daemon as it is, except for
// the prefill chunks of the simulated engines.
type shipped struct{ router, resume *routing.Router }

func newShipped() placement {
	scorer := routing.LoadScorer{}
	for role, n := range params().ChunkTokens {
		scorer.ChunkTokens[role] = float64(n)
	}
	p := shipped{routing.NewRouter(), routing.NewRouter()}
	p.router.Scorer, p.resume.Scorer = scorer, scorer
	p.resume.Filters = append(p.resume.Filters, notPrefill{})
	return p
}

func (p shipped) dispatch(s *sim, c *call) bool {
	r := s.request(c)
	r.Combined = false
	r.Deadline = s.time().Add(firstTokenDeadline(c.req.Prompt))
	d := p.router.Route(s.fleet, r, s.time(), s.source())
	if d.Target == nil {
		return false
	}
	if d.Prefill == nil {
		s.runWhole(c, s.engineOf(d.Target))
		return true
	}
	s.runSplit(c, s.engineOf(d.Prefill), s.engineOf(d.Target))
	return true
}

// decode finds an engine for a stream whose KV cache moves with it, so that no
// prefill is left.
func (p shipped) decode(s *sim, c *call) *engineState {
	r := s.request(c)
	r.PromptTokens, r.Blocks = 1, nil
	r.Deadline = s.time().Add(time.Second)
	d := p.resume.Route(s.fleet, r, s.time(), s.source())
	if d.Target == nil || d.Prediction.TokenInterval > tokenInterval {
		return nil
	}
	return s.engineOf(d.Target)
}
