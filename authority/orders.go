package authority

import (
	"fmt"
	"slices"

	"github.com/lentilpick/lentilpick/types"
)

// Load is what an engine carries.
type EngineSpec struct {
	Role     types.Role
	Model    types.ModelID
	Version  string
	Adapters []types.AdapterID
}

// sameWeights reports whether a change to m reads nothing from the weight store.
func (l EngineSpec) sameWeights(m EngineSpec) bool {
	return l.Model == m.Model && l.Version == m.Version
}

// sameEngine reports whether a change to m interrupts nothing.
func (l EngineSpec) sameEngine(m EngineSpec) bool { return l.sameWeights(m) && l.Role == m.Role }

// Wanted is what a target shall be.
type DesiredState struct {
	EngineSpec
	// Drain says that the target shall take no new work.
	Drain bool
	// Withdrawn targets get no orders.
	Withdrawn bool
	// ChecksFencing declares that the target refuses stale fencing numbers.
	ChecksFencing bool
}

// State is what one read of a target's state returned.
type ObservedState struct {
	EngineSpec
	HighestFence types.FencingNumber
	// OrderInProgress is the identifier of the order being carried out, if any.
	OrderInProgress string
	// Running is the number of requests on the target.
	Running int
	Leaving bool
}

// Order tells a target what to be. It is absolute.
type Order struct {
	// ID is unique per holder and order, so that a target can tell a repeated
	// order from another one.
	ID    string
	Fence types.FencingNumber
	EngineSpec
	Drain bool
}

// Outcome is the result of one order.
type Outcome uint8

// Outcomes of an order.
const (
	// OutcomeNotSent says that no byte of the order was written.
	OutcomeNotSent Outcome = iota
	OutcomeAccepted
	OutcomeRefused
	// OutcomeUnknown says that the answer was lost; the order may be carried out.
	OutcomeUnknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"not_sent", "accepted", "refused", "unknown"}

// String returns the name used in status and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Phase is what is under way for a target.
type Phase uint8

// Phases of a target. Each order is preceded by a read of the target's state
// that began after the end of the order before it.
const (
	PhaseIdle Phase = iota
	PhaseReading
	PhaseSending
)

type targetOrders struct {
	phase Phase
	// fence is the fencing number under which the read began.
	fence types.FencingNumber
	// unsettled says that the result of the last order is not known and the
	// state has not been read since.
	unsettled bool
	// slot says that the target has one of the load slots.
	slot bool
	last string
	// satisfied is the fencing number under which the last read called for no
	// order; 0 if it called for one.
	satisfied types.FencingNumber
}

// Orders is the state machine of the orders to all targets of a data centre,
// as far as this process sends them. It is not safe for concurrent use.
type Orders struct {
	maxLoads int
	sequence uint64
	targets  map[types.TargetID]*targetOrders
}

// NewOrders returns the state without orders. At most maxLoads targets change
// their model or version at a time, because the weight store limits its rate.
func NewOrders(maxLoads int) *Orders {
	return &Orders{maxLoads: maxLoads, targets: map[types.TargetID]*targetOrders{}}
}

// BeginRead reports whether the state of a target shall be read now under the
// given fencing number. If so, the caller must call Read afterwards. The number
// is that of Gate.Check for this target, 0 after an error: during a quarantine
// an earlier holder's late order can still make the read obsolete.
func (o *Orders) BeginRead(id types.TargetID, fence types.FencingNumber) bool {
	t, ok := o.targets[id]
	if !ok {
		t = &targetOrders{}
		o.targets[id] = t
	}
	if t.phase != PhaseIdle || fence == 0 {
		return false
	}
	t.phase, t.fence = PhaseReading, fence
	return true
}

// Read takes the result of the read that BeginRead allowed, nil if it failed,
// and returns the order to send, or nil. fence is the fencing number in force
// now; a read under another one may be older than another holder's orders and
// is not used. After an order the caller must call Result.
func (o *Orders) FinishRead(id types.TargetID, w DesiredState, s *ObservedState, fence types.FencingNumber) *Order {
	t, ok := o.targets[id]
	if !ok || t.phase != PhaseReading {
		return nil
	}
	t.phase = PhaseIdle
	if s == nil {
		// A failed target must not keep the others from loading.
		t.slot = false
		return nil
	}
	if fence == 0 || fence != t.fence {
		return nil
	}
	t.unsettled = false
	o.takeSlot(t, w, s)
	order := nextOrder(w, s, fence, t.slot)
	if order == nil {
		t.satisfied = fence
		return nil
	}
	t.satisfied = 0
	o.sequence++
	order.Fence = fence
	order.ID = fmt.Sprintf("%d-%d", fence, o.sequence)
	t.phase, t.last = PhaseSending, "in_flight"
	return order
}

// takeSlot gives the target a load slot while it changes its weights or is
// drained for that.
func (o *Orders) takeSlot(t *targetOrders, w DesiredState, s *ObservedState) {
	switch {
	case s.OrderInProgress != "":
		t.slot = true // an earlier holder's order may read the weight store
	case w.Withdrawn || s.sameWeights(w.EngineSpec):
		t.slot = false
	case !t.slot:
		t.slot = o.loads() < o.maxLoads
	}
}

func (o *Orders) loads() int {
	n := 0
	for _, t := range o.targets {
		if t.slot {
			n++
		}
	}
	return n
}

// Result takes the result of the order that Read returned.
func (o *Orders) RecordResult(id types.TargetID, out Outcome) {
	t, ok := o.targets[id]
	if !ok || t.phase != PhaseSending {
		return
	}
	t.phase, t.last = PhaseIdle, out.String()
	t.unsettled = out == OutcomeUnknown
}

// Satisfied reports whether the last read under the fencing number called for
// no order. Such a target needs no read until what is wanted of it or what it
// reports changes.
func (o *Orders) Satisfied(id types.TargetID, fence types.FencingNumber) bool {
	t, ok := o.targets[id]
	return ok && fence != 0 && t.satisfied == fence && !t.unsettled
}

// Sending reports whether the result of any order is outstanding.
func (o *Orders) HasInFlight() bool {
	for _, t := range o.targets {
		if t.phase == PhaseSending {
			return true
		}
	}
	return false
}

// Settled reports whether the result of each order is known, so that the lease
// may be released.
func (o *Orders) ResultsKnown() bool {
	for _, t := range o.targets {
		if t.phase == PhaseSending || t.unsettled {
			return false
		}
	}
	return true
}

// Statuses returns the state of the last order of each target that got one.
func (o *Orders) Statuses() map[types.TargetID]string {
	out := make(map[types.TargetID]string, len(o.targets))
	for id, t := range o.targets {
		if t.last != "" {
			out[id] = t.last
		}
	}
	return out
}

// Forget drops targets for which nothing is under way and keep returns false.
func (o *Orders) Prune(keep func(types.TargetID) bool) {
	for id, t := range o.targets {
		if t.phase == PhaseIdle && !keep(id) {
			delete(o.targets, id)
		}
	}
}

// nextOrder returns the order that brings a target closer to what is wanted, or
// nil. A target takes no new work and is empty before its role, model or
// version changes, so that no request is cut. A target that checks fencing
// numbers gets an order from each new holder even if nothing changes, because
// it refuses an earlier holder's late order only after it has seen a higher
// number.
func nextOrder(w DesiredState, s *ObservedState, fence types.FencingNumber, slot bool) *Order {
	if s.OrderInProgress != "" || w.Withdrawn {
		return nil
	}
	if w.ChecksFencing && s.HighestFence > fence {
		return nil // a newer holder has ordered this target
	}
	raise := w.ChecksFencing && s.HighestFence < fence
	keep := &Order{EngineSpec: s.EngineSpec, Drain: s.Leaving}
	if s.sameEngine(w.EngineSpec) {
		if s.Leaving == w.Drain && slices.Equal(s.Adapters, w.Adapters) && !raise {
			return nil
		}
		return &Order{EngineSpec: w.EngineSpec, Drain: w.Drain}
	}
	if !s.sameWeights(w.EngineSpec) && !slot {
		if raise {
			return keep
		}
		return nil
	}
	if !s.Leaving || raise {
		// A late order of an earlier holder could still open the target for work
		// between the read and the change, so the number is raised first.
		keep.Drain = true
		return keep
	}
	if s.Running > 0 {
		return nil
	}
	return &Order{EngineSpec: w.EngineSpec, Drain: w.Drain}
}
