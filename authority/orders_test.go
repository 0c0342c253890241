package authority

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

var (
	oldLoad = EngineSpec{Model: "m", Version: "1"}
	newLoad = EngineSpec{Model: "m", Version: "2"}
)

const fence = types.FencingNumber(7)

// cycle reads a target's state and returns the order that follows.
func cycle(o *Orders, id types.TargetID, w DesiredState, s ObservedState) *Order {
	if !o.BeginRead(id, fence) {
		return nil
	}
	return o.FinishRead(id, w, &s, fence)
}

// Guards against a change of an engine that still has requests or takes new ones.
func TestTargetIsEmptiedBeforeChange(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: newLoad}
	first := cycle(o, "t", w, ObservedState{EngineSpec: oldLoad})
	assert.Assert(t, first.Drain)
	assert.Equal(t, first.Version, "1")
	o.RecordResult("t", OutcomeAccepted)
	assert.Assert(t, cycle(o, "t", w, ObservedState{EngineSpec: oldLoad, Leaving: true, Running: 1}) == nil)
	second := cycle(o, "t", w, ObservedState{EngineSpec: oldLoad, Leaving: true})
	assert.Equal(t, second.Version, "2")
	assert.Assert(t, !second.Drain)
	assert.Assert(t, second.ID != first.ID)
}

// Guards against two orders at a time for one target, and against an order
// from a state that was read under another fencing number.
func TestOneOrderInFlight(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: oldLoad, Drain: true}
	assert.Assert(t, !o.BeginRead("t", 0), "a read in a quarantine may be obsolete when it is used")
	assert.Assert(t, cycle(o, "t", w, ObservedState{EngineSpec: oldLoad}) != nil)
	assert.Assert(t, !o.BeginRead("t", fence))
	o.RecordResult("t", OutcomeUnknown)
	assert.Assert(t, !o.ResultsKnown(), "a lost result must keep the lease from being released")
	assert.Assert(t, o.BeginRead("t", fence))
	assert.Assert(t, o.FinishRead("t", w, &ObservedState{EngineSpec: oldLoad}, fence+1) == nil)
	assert.Assert(t, !o.ResultsKnown())
	assert.Assert(t, cycle(o, "t", w, ObservedState{EngineSpec: oldLoad, OrderInProgress: "7-1"}) == nil)
	assert.Assert(t, o.ResultsKnown())
}

// Guards against a late order of an earlier holder that a target accepts
// because it never saw the new holder's number.
func TestNewHolderRaisesFence(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: oldLoad, ChecksFencing: true}
	order := cycle(o, "t", w, ObservedState{EngineSpec: oldLoad, HighestFence: 3, Running: 5})
	assert.Equal(t, order.Fence, fence)
	assert.DeepEqual(t, order.EngineSpec, oldLoad)
	o.RecordResult("t", OutcomeAccepted)
	assert.Assert(t, cycle(o, "t", w, ObservedState{EngineSpec: oldLoad, HighestFence: fence}) == nil)
	change := DesiredState{EngineSpec: newLoad, ChecksFencing: true}
	order = cycle(o, "t", change, ObservedState{EngineSpec: oldLoad, HighestFence: 3, Leaving: true})
	assert.DeepEqual(t, order.EngineSpec, oldLoad) // the earlier holder could still open the target
	assert.Assert(t, order.Drain)
	o.RecordResult("t", OutcomeAccepted)
	assert.Assert(t, cycle(o, "t", change, ObservedState{EngineSpec: oldLoad, HighestFence: fence + 1}) == nil)
}

// Guards against more targets out of service for the weight store than allowed,
// and against a failed target that keeps its slot.
func TestLoadsAreLimited(t *testing.T) {
	o := NewOrders(1)
	w := DesiredState{EngineSpec: newLoad}
	assert.Assert(t, cycle(o, "a", w, ObservedState{EngineSpec: oldLoad}) != nil)
	o.RecordResult("a", OutcomeAccepted)
	assert.Assert(t, cycle(o, "b", w, ObservedState{EngineSpec: oldLoad}) == nil)
	assert.Assert(t, o.BeginRead("a", fence))
	assert.Assert(t, o.FinishRead("a", w, nil, fence) == nil)
	assert.Assert(t, cycle(o, "b", w, ObservedState{EngineSpec: oldLoad}) != nil)
}
