package authority

import (
	"fmt"
	"slices"

	"github.com/lentilpick/lentilpick/types"
)

// EngineSpec is the role, model version and adapters that an engine serves.
type EngineSpec struct {
	Role     types.Role
	Model    types.ModelID
	Version  string
	Adapters []types.AdapterID
}

// sameWeights reports whether a change to other needs no read from the weight store.
func (s EngineSpec) sameWeights(other EngineSpec) bool {
	return s.Model == other.Model && s.Version == other.Version
}

// sameEngine reports whether a change to other interrupts no requests.
func (s EngineSpec) sameEngine(other EngineSpec) bool {
	return s.sameWeights(other) && s.Role == other.Role
}

// DesiredState is the state that a target should be in.
type DesiredState struct {
	EngineSpec
	// Drain means that the target should take no new work.
	Drain bool
	// Withdrawn means that the target gets no orders.
	Withdrawn bool
	// ChecksFencing means that the target refuses orders with stale fencing numbers.
	ChecksFencing bool
}

// ObservedState is the state of a target as returned by one read.
type ObservedState struct {
	EngineSpec
	// HighestFence is the highest fencing number that the target has seen.
	HighestFence types.FencingNumber
	// OrderInProgress is the ID of the order that the target is carrying out, or
	// empty.
	OrderInProgress string
	// Running is the number of requests on the target.
	Running int
	// Leaving is true while the target takes no new work.
	Leaving bool
}

// Order instructs a target to change to a state. It contains the complete state,
// not a difference.
type Order struct {
	// ID is unique among the orders of all holders, so that a target can detect a
	// repeated order.
	ID    string
	Fence types.FencingNumber
	EngineSpec
	Drain bool
}

// Outcome is the result of one order.
type Outcome uint8

// Outcomes of an order.
const (
	// OutcomeNotSent means that no byte of the order was written.
	OutcomeNotSent Outcome = iota
	OutcomeAccepted
	OutcomeRefused
	// OutcomeUnknown means that no response arrived; the order may be carried out.
	OutcomeUnknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"not_sent", "accepted", "refused", "unknown"}

// String returns the name used in status and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Phase is the operation that is in progress for a target.
type Phase uint8

// Phases of a target. Before each order the target's state is read, and the read
// starts only after the previous order has ended.
const (
	PhaseIdle Phase = iota
	PhaseReading
	PhaseSending
)

type targetOrders struct {
	phase Phase
	// readFence is the fencing number under which the read began.
	readFence types.FencingNumber
	// resultUnknown is true if the outcome of the last order is unknown and the
	// state has not been read since.
	resultUnknown bool
	// hasLoadSlot is true while the target counts towards maxConcurrentLoads.
	hasLoadSlot bool
	// lastStatus is "in_flight" or the name of the last order's outcome; it is
	// empty before the first order.
	lastStatus string
	// satisfiedFence is the fencing number under which the last read required no
	// order, or 0 if it required one.
	satisfiedFence types.FencingNumber
}

// Orders is the state machine of the orders that this process sends to the
// targets of a data centre. It is not safe for concurrent use.
type Orders struct {
	maxConcurrentLoads int
	sequence           uint64
	targets            map[types.TargetID]*targetOrders
}

// NewOrders returns an Orders without targets. At most maxConcurrentLoads
// targets change their model or version at a time, because the weight store is
// rate-limited.
func NewOrders(maxConcurrentLoads int) *Orders {
	return &Orders{maxConcurrentLoads: maxConcurrentLoads, targets: map[types.TargetID]*targetOrders{}}
}

// BeginRead reports whether the caller must read the state of a target now. If
// so, the caller must call FinishRead afterwards. fence is the fencing number
// from Gate.Check for this target, or 0 if the check failed: no read begins
// during a quarantine, because a late order of an earlier holder could still
// make it stale.
func (o *Orders) BeginRead(id types.TargetID, fence types.FencingNumber) bool {
	t, ok := o.targets[id]
	if !ok {
		t = &targetOrders{}
		o.targets[id] = t
	}
	if t.phase != PhaseIdle || fence == 0 {
		return false
	}
	t.phase, t.readFence = PhaseReading, fence
	return true
}

// FinishRead handles the result of the read that BeginRead started, which is nil if
// the read failed, and returns the order to send, or nil. fence is the current
// fencing number. A read that began under a different one is discarded, because
// another holder may have sent orders since. If FinishRead returns an order, the
// caller must call RecordResult.
func (o *Orders) FinishRead(id types.TargetID, desired DesiredState, observed *ObservedState, fence types.FencingNumber) *Order {
	t, ok := o.targets[id]
	if !ok || t.phase != PhaseReading {
		return nil
	}
	t.phase = PhaseIdle
	if observed == nil {
		// A failed target must not block the loads of other targets.
		t.hasLoadSlot = false
		return nil
	}
	if fence == 0 || fence != t.readFence {
		return nil
	}
	t.resultUnknown = false
	o.updateLoadSlot(t, desired, observed)
	order := nextOrder(desired, observed, fence, t.hasLoadSlot)
	if order == nil {
		t.satisfiedFence = fence
		return nil
	}
	t.satisfiedFence = 0
	o.sequence++
	order.Fence = fence
	order.ID = fmt.Sprintf("%d-%d", fence, o.sequence)
	t.phase, t.lastStatus = PhaseSending, "in_flight"
	return order
}

// updateLoadSlot assigns a load slot to a target that changes its weights or is
// drained for such a change, and takes it back otherwise.
func (o *Orders) updateLoadSlot(t *targetOrders, desired DesiredState, observed *ObservedState) {
	switch {
	case observed.OrderInProgress != "":
		t.hasLoadSlot = true // an earlier holder's order may read the weight store
	case desired.Withdrawn || observed.sameWeights(desired.EngineSpec):
		t.hasLoadSlot = false
	case !t.hasLoadSlot:
		t.hasLoadSlot = o.loadSlotsInUse() < o.maxConcurrentLoads
	}
}

func (o *Orders) loadSlotsInUse() int {
	n := 0
	for _, t := range o.targets {
		if t.hasLoadSlot {
			n++
		}
	}
	return n
}

// RecordResult records the outcome of the order that FinishRead returned.
func (o *Orders) RecordResult(id types.TargetID, out Outcome) {
	t, ok := o.targets[id]
	if !ok || t.phase != PhaseSending {
		return
	}
	t.phase, t.lastStatus = PhaseIdle, out.String()
	t.resultUnknown = out == OutcomeUnknown
}

// Satisfied reports whether the last read under the fencing number required no
// order. Such a target needs no further read until its desired state or its
// load report changes.
func (o *Orders) Satisfied(id types.TargetID, fence types.FencingNumber) bool {
	t, ok := o.targets[id]
	return ok && fence != 0 && t.satisfiedFence == fence && !t.resultUnknown
}

// HasInFlight reports whether the result of any order is outstanding.
func (o *Orders) HasInFlight() bool {
	for _, t := range o.targets {
		if t.phase == PhaseSending {
			return true
		}
	}
	return false
}

// ResultsKnown reports whether the results of all orders are known, so that the
// lease may be released.
func (o *Orders) ResultsKnown() bool {
	for _, t := range o.targets {
		if t.phase == PhaseSending || t.resultUnknown {
			return false
		}
	}
	return true
}

// Statuses returns the status of the last order of each target that has received
// one: "in_flight" or the name of its outcome.
func (o *Orders) Statuses() map[types.TargetID]string {
	out := make(map[types.TargetID]string, len(o.targets))
	for id, t := range o.targets {
		if t.lastStatus != "" {
			out[id] = t.lastStatus
		}
	}
	return out
}

// Prune removes idle targets for which keep returns false.
func (o *Orders) Prune(keep func(types.TargetID) bool) {
	for id, t := range o.targets {
		if t.phase == PhaseIdle && !keep(id) {
			delete(o.targets, id)
		}
	}
}

// nextOrder returns the order that brings a target closer to its desired state,
// or nil. Before its role, model or version changes, a target is drained and has
// no running requests, so that no response is truncated. A target that checks
// fencing numbers gets an order from each new holder even if nothing changes,
// because it refuses a late order of an earlier holder only after it has received
// a higher number.
func nextOrder(desired DesiredState, observed *ObservedState, fence types.FencingNumber, hasLoadSlot bool) *Order {
	if observed.OrderInProgress != "" || desired.Withdrawn {
		return nil
	}
	if desired.ChecksFencing && observed.HighestFence > fence {
		return nil // a newer holder has sent an order to this target
	}
	raiseFence := desired.ChecksFencing && observed.HighestFence < fence
	current := &Order{EngineSpec: observed.EngineSpec, Drain: observed.Leaving}
	if observed.sameEngine(desired.EngineSpec) {
		if observed.Leaving == desired.Drain && slices.Equal(observed.Adapters, desired.Adapters) && !raiseFence {
			return nil
		}
		return &Order{EngineSpec: desired.EngineSpec, Drain: desired.Drain}
	}
	if !observed.sameWeights(desired.EngineSpec) && !hasLoadSlot {
		if raiseFence {
			return current
		}
		return nil
	}
	if !observed.Leaving || raiseFence {
		// Raise the fencing number first: between the read and the change, a late
		// order of an earlier holder could let the target take new work again.
		current.Drain = true
		return current
	}
	if observed.Running > 0 {
		return nil
	}
	return &Order{EngineSpec: desired.EngineSpec, Drain: desired.Drain}
}
