package control

import (
	"maps"
	"sync"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/types"
)

// entryState is the last report of an entry daemon.
type entryState struct {
	revision types.Revision
	at       time.Time // of the report
}

// entryDaemons holds the entry daemons that report to this control daemon and the sum
// of the demand that they reported.
type entryDaemons struct {
	mu     sync.Mutex
	states map[string]entryState
	demand map[types.ModelID]*peerv1.ModelDemand
}

func newEntryDaemons() *entryDaemons {
	return &entryDaemons{states: map[string]entryState{}, demand: map[types.ModelID]*peerv1.ModelDemand{}}
}

const maxEntryDaemons = 64

func (e *entryDaemons) report(r *peerv1.ReportLoadRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.states, func(_ string, s entryState) bool { return now.Sub(s.at) > peerRetention })
	if _, ok := e.states[r.GetVm()]; !ok && len(e.states) >= maxEntryDaemons {
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

// totals returns the demand that entry daemons have reported since this daemon started.
func (e *entryDaemons) totals() []*peerv1.ModelDemand {
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

func (e *entryDaemons) all() map[string]entryState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]entryState, len(e.states))
	for k, v := range e.states {
		out[k] = v
	}
	return out
}
