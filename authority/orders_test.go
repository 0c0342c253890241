package authority

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

var (
	oldLoad = Load{Model: "m", Version: "1"}
	newLoad = Load{Model: "m", Version: "2"}
)

const fence = types.FencingNumber(7)

// cycle reads a target's state and returns the order that follows.
func cycle(o *Orders, id types.TargetID, w Wanted, s State) *Order {
	if !o.BeginRead(id, fence) {
		return nil
	}
	return o.Read(id, w, &s, fence)
}

// Guards against a change of an engine that still has requests or takes new ones.
func TestTargetIsEmptiedBeforeChange(t *testing.T) {
	o := NewOrders(1)
	w := Wanted{Load: newLoad}
	first := cycle(o, "t", w, State{Load: oldLoad})
	assert.Assert(t, first.Drain)
	assert.Equal(t, first.Version, "1")
	o.Result("t", OutcomeAccepted)
	assert.Assert(t, cycle(o, "t", w, State{Load: oldLoad, Leaving: true, Running: 1}) == nil)
	second := cycle(o, "t", w, State{Load: oldLoad, Leaving: true})
	assert.Equal(t, second.Version, "2")
	assert.Assert(t, !second.Drain)
	assert.Assert(t, second.ID != first.ID)
}

// Guards against two orders at a time for one target, and against an order
// from a state that was read under another fencing number.
func TestOneOrderInFlight(t *testing.T) {
	o := NewOrders(1)
	w := Wanted{Load: oldLoad, Drain: true}
	assert.Assert(t, !o.BeginRead("t", 0), "a read in a quarantine may be obsolete when it is used")
	assert.Assert(t, cycle(o, "t", w, State{Load: oldLoad}) != nil)
	assert.Assert(t, !o.BeginRead("t", fence))
	o.Result("t", OutcomeUnknown)
	assert.Assert(t, !o.Settled(), "a lost result must keep the lease from being released")
	assert.Assert(t, o.BeginRead("t", fence))
	assert.Assert(t, o.Read("t", w, &State{Load: oldLoad}, fence+1) == nil)
	assert.Assert(t, !o.Settled())
	assert.Assert(t, cycle(o, "t", w, State{Load: oldLoad, OrderInProgress: "7-1"}) == nil)
	assert.Assert(t, o.Settled())
}

// Guards against a late order of an earlier holder that a target accepts
// because it never saw the new holder's number.
func TestNewHolderRaisesFence(t *testing.T) {
	o := NewOrders(1)
	w := Wanted{Load: oldLoad, ChecksFencing: true}
	order := cycle(o, "t", w, State{Load: oldLoad, HighestFence: 3, Running: 5})
	assert.Equal(t, order.Fence, fence)
	assert.DeepEqual(t, order.Load, oldLoad)
	o.Result("t", OutcomeAccepted)
	assert.Assert(t, cycle(o, "t", w, State{Load: oldLoad, HighestFence: fence}) == nil)
	change := Wanted{Load: newLoad, ChecksFencing: true}
	order = cycle(o, "t", change, State{Load: oldLoad, HighestFence: 3, Leaving: true})
	assert.DeepEqual(t, order.Load, oldLoad) // the earlier holder could still open the target
	assert.Assert(t, order.Drain)
	o.Result("t", OutcomeAccepted)
	assert.Assert(t, cycle(o, "t", change, State{Load: oldLoad, HighestFence: fence + 1}) == nil)
}

// Guards against more targets out of service for the weight store than allowed,
// and against a failed target that keeps its slot.
func TestLoadsAreLimited(t *testing.T) {
	o := NewOrders(1)
	w := Wanted{Load: newLoad}
	assert.Assert(t, cycle(o, "a", w, State{Load: oldLoad}) != nil)
	o.Result("a", OutcomeAccepted)
	assert.Assert(t, cycle(o, "b", w, State{Load: oldLoad}) == nil)
	assert.Assert(t, o.BeginRead("a", fence))
	assert.Assert(t, o.Read("a", w, nil, fence) == nil)
	assert.Assert(t, cycle(o, "b", w, State{Load: oldLoad}) != nil)
}
