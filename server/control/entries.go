package control

import (
	"maps"
	"sync"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/types"
)

// entryState is what an entry daemon reported last.
type entryState struct {
	revision types.Revision
	at       time.Time
}

// entries holds the entry daemons that report to this control daemon and the
// demand that they reported.
type entries struct {
	mu     sync.Mutex
	states map[string]entryState
	demand map[types.ModelID]*peerv1.ModelDemand
}

func newEntries() *entries {
	return &entries{states: map[string]entryState{}, demand: map[types.ModelID]*peerv1.ModelDemand{}}
}

const maxEntries = 64

func (e *entries) report(r *peerv1.ReportLoadRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.states, func(_ string, s entryState) bool { return now.Sub(s.at) > forgetAfter })
	if _, ok := e.states[r.GetVm()]; !ok && len(e.states) >= maxEntries {
		return
	}
	e.states[r.GetVm()] = entryState{types.Revision(r.GetRevision()), now}
	for _, d := range r.GetDemand() {
		m := types.ModelID(d.GetModel())
		sum, ok := e.demand[m]
		if !ok {
			sum = &peerv1.ModelDemand{Model: d.GetModel()}
			e.demand[m] = sum
		}
		sum.PrefillTokens += d.GetPrefillTokens()
		sum.DecodeTokens += d.GetDecodeTokens()
		sum.Requests += d.GetRequests()
	}
}

// totals returns the work that entry daemons reported since this daemon's start.
func (e *entries) totals() []*peerv1.ModelDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*peerv1.ModelDemand, 0, len(e.demand))
	for _, d := range e.demand {
		out = append(out, &peerv1.ModelDemand{
			Model: d.GetModel(), PrefillTokens: d.GetPrefillTokens(), DecodeTokens: d.GetDecodeTokens(), Requests: d.GetRequests(),
		})
	}
	return out
}

func (e *entries) all() map[string]entryState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]entryState, len(e.states))
	for k, v := range e.states {
		out[k] = v
	}
	return out
}
