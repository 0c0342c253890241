package modelengine

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Order tells the engine what to be.
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

// Apply carries out an order. A change of role, model or version cuts the jobs
// that are still on the engine and takes ChangeTime. Errors: ErrStaleFence,
// ErrBusy.
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
			return nil, nil // the same order again
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
	if e.carries(o) {
		e.desc.Adapters = o.Adapters
		return nil, nil
	}
	if o.Role != e.desc.Role {
		e.Stats.RoleChanges++
	}
	e.changingTo = &o
	e.changeEnds = now.Add(e.params.ChangeTime)
	return e.InterruptAll(), nil
}

func (e *Engine) carries(o Order) bool {
	return o.Role == e.desc.Role && o.Model == e.desc.Model && o.Version == e.desc.Version
}

func (e *Engine) finishChange(now time.Time) {
	if e.changingTo == nil || now.Before(e.changeEnds) {
		return
	}
	o := e.changingTo
	e.desc = Description{Role: o.Role, Model: o.Model, Version: o.Version, Adapters: slices.Clone(o.Adapters)}
	e.resetCache()
	e.changingTo = nil
}

// AbortChange gives up a change, as a crash in its middle does. The engine
// keeps what it carried before.
func (e *Engine) AbortChange() { e.changingTo = nil }

// OrderInProgress returns the identifier of the order being carried out, or "".
func (e *Engine) OrderInProgress(now time.Time) string {
	if !e.Changing(now) {
		return ""
	}
	return e.changingTo.ID
}

// HighestFence returns the highest fencing number that the engine has seen.
func (e *Engine) HighestFence() types.FencingNumber { return e.highestFence }
