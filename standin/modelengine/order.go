package modelengine

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Order instructs the engine which role, model, version and adapters to serve.
type Order struct {
	ID       string              `json:"id"`
	Fence    types.FencingNumber `json:"fence"`
	Revision types.Revision      `json:"revision"`
	Role     types.Role          `json:"role"`
	Model    types.ModelID       `json:"model"`
	Version  string              `json:"version"`
	Adapters []types.AdapterID   `json:"adapters,omitempty"`
	Drain    bool                `json:"drain,omitempty"`
}

// Apply carries out an order. A change of role, model or version interrupts all
// jobs on the engine and takes ChangeTime. Errors: ErrStaleFence,
// ErrOrderInProgress.
func (e *Engine) Apply(o Order, now time.Time) ([]Output, error) {
	changing := e.Changing(now)
	stale := o.Fence < e.highestFence
	if stale {
		e.Stats.OrdersStale++
		if e.params.ChecksFencing {
			return nil, ErrStaleFence
		}
	}
	if changing {
		if o.ID == e.changingTo.ID {
			return nil, nil // a repetition of the order in progress
		}
		e.Stats.OrdersConflicting++
		return nil, ErrOrderInProgress
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.Stats.OrdersAccepted++
	if stale {
		e.Stats.StaleApplied++
	}
	e.lastOrder = o
	e.leaving = o.Drain
	if e.matchesDescription(o) {
		e.description.Adapters = o.Adapters
		return nil, nil
	}
	if o.Role != e.description.Role {
		e.Stats.RoleChanges++
	}
	e.changingTo = &o
	e.changeEndsAt = now.Add(e.params.ChangeTime)
	return e.InterruptAll(), nil
}

func (e *Engine) matchesDescription(o Order) bool {
	return o.Role == e.description.Role && o.Model == e.description.Model && o.Version == e.description.Version
}

func (e *Engine) finishChange(now time.Time) {
	if e.changingTo == nil || now.Before(e.changeEndsAt) {
		return
	}
	o := e.changingTo
	e.description = Description{Role: o.Role, Model: o.Model, Version: o.Version, Adapters: slices.Clone(o.Adapters)}
	e.resetCache()
	e.changingTo = nil
}

// AbortChange aborts a change in progress, as a crash does. The engine retains the
// description that it had before.
func (e *Engine) AbortChange() { e.changingTo = nil }

// OrderInProgress returns the identifier of the order in progress, or "" if there
// is none.
func (e *Engine) OrderInProgress(now time.Time) string {
	if !e.Changing(now) {
		return ""
	}
	return e.changingTo.ID
}

// HighestFence returns the highest fencing number of the accepted orders.
func (e *Engine) HighestFence() types.FencingNumber { return e.highestFence }
