package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/types"
)

// budgets holds the retry budget of each service. The table is read without locks and
// copied on write when a service is added.
type budgets struct {
	table  atomic.Pointer[map[types.ServiceID]*admission.RetryBudget]
	limits atomic.Pointer[admission.RetryLimits]
	mu     sync.Mutex
}

func (b *budgets) get(s types.ServiceID) *admission.RetryBudget {
	if t := b.table.Load(); t != nil {
		if v := (*t)[s]; v != nil {
			return v
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[types.ServiceID]*admission.RetryBudget{}
	if t := b.table.Load(); t != nil {
		if v := (*t)[s]; v != nil {
			return v
		}
		for k, v := range *t {
			next[k] = v
		}
	}
	v := &admission.RetryBudget{}
	if l := b.limits.Load(); l != nil {
		v.SetLimits(*l)
	}
	next[s] = v
	b.table.Store(&next)
	return v
}

func (b *budgets) setLimits(l admission.RetryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Store(&l)
	if t := b.table.Load(); t != nil {
		for _, v := range *t {
			v.SetLimits(l)
		}
	}
}
