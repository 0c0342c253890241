package authority

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

var (
	oldSpec = EngineSpec{Model: "m", Version: "1"}
	newSpec = EngineSpec{Model: "m", Version: "2"}
)

const fence = types.FencingNumber(7)

// readState runs one read of a target with the given result and returns the
// resulting order. It returns nil if no read may begin.
func readState(o *Orders, id types.TargetID, w DesiredState, s ObservedState) *Order {
	if !o.BeginRead(id, fence) {
		return nil
	}
	return o.FinishRead(id, w, &s, fence)
}

// An engine must not be changed while it has running requests or takes new ones.
func TestTargetIsDrainedBeforeChange(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: newSpec}
	first := readState(o, "t", w, ObservedState{EngineSpec: oldSpec})
	assert.Assert(t, first.Drain)
	assert.Equal(t, first.Version, "1")
	o.RecordResult("t", OutcomeAccepted)
	assert.Assert(t, readState(o, "t", w, ObservedState{EngineSpec: oldSpec, Leaving: true, Running: 1}) == nil)
	second := readState(o, "t", w, ObservedState{EngineSpec: oldSpec, Leaving: true})
	assert.Equal(t, second.Version, "2")
	assert.Assert(t, !second.Drain)
	assert.Assert(t, second.ID != first.ID)
}

// A target must have at most one order in flight, and no order may follow from a
// state that was read under another fencing number.
func TestOneOrderInFlight(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: oldSpec, Drain: true}
	assert.Assert(t, !o.BeginRead("t", 0), "a state that is read during a quarantine may be stale when it is used")
	assert.Assert(t, readState(o, "t", w, ObservedState{EngineSpec: oldSpec}) != nil)
	assert.Assert(t, !o.BeginRead("t", fence))
	o.RecordResult("t", OutcomeUnknown)
	assert.Assert(t, !o.ResultsKnown(), "the lease must not be released while a result is unknown")
	assert.Assert(t, o.BeginRead("t", fence))
	assert.Assert(t, o.FinishRead("t", w, &ObservedState{EngineSpec: oldSpec}, fence+1) == nil)
	assert.Assert(t, !o.ResultsKnown())
	assert.Assert(t, readState(o, "t", w, ObservedState{EngineSpec: oldSpec, OrderInProgress: "7-1"}) == nil)
	assert.Assert(t, o.ResultsKnown())
}

// A target accepts a late order of an earlier holder until it has received the
// new holder's fencing number, so each new holder must send that number first.
func TestNewHolderRaisesFence(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: oldSpec, ChecksFencing: true}
	order := readState(o, "t", w, ObservedState{EngineSpec: oldSpec, HighestFence: 3, Running: 5})
	assert.Equal(t, order.Fence, fence)
	assert.DeepEqual(t, order.EngineSpec, oldSpec)
	o.RecordResult("t", OutcomeAccepted)
	assert.Assert(t, readState(o, "t", w, ObservedState{EngineSpec: oldSpec, HighestFence: fence}) == nil)
	change := DesiredState{EngineSpec: newSpec, ChecksFencing: true}
	order = readState(o, "t", change, ObservedState{EngineSpec: oldSpec, HighestFence: 3, Leaving: true})
	assert.DeepEqual(t, order.EngineSpec, oldSpec) // the earlier holder could still end the drain
	assert.Assert(t, order.Drain)
	o.RecordResult("t", OutcomeAccepted)
	assert.Assert(t, readState(o, "t", change, ObservedState{EngineSpec: oldSpec, HighestFence: fence + 1}) == nil)
}

// The number of targets that load weights, or are drained for it, must stay within
// the limit, and a failed target must free its load slot.
func TestLoadsAreLimited(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: newSpec}
	assert.Assert(t, readState(o, "a", w, ObservedState{EngineSpec: oldSpec}) != nil)
	o.RecordResult("a", OutcomeAccepted)
	assert.Assert(t, readState(o, "b", w, ObservedState{EngineSpec: oldSpec}) == nil)
	assert.Assert(t, o.BeginRead("a", fence))
	assert.Assert(t, o.FinishRead("a", w, nil, fence) == nil)
	assert.Assert(t, readState(o, "b", w, ObservedState{EngineSpec: oldSpec}) != nil)
}
