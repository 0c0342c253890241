package planning

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

var (
	group = Group{DataCentre: "chaguanas", Model: "assistant"}
	start = time.Unix(1_000_000, 0)
	rates = types.EngineRates{
		PrefillTokensPerSecond: 16_000, IterationBase: 8 * time.Millisecond,
		DecodeCost: 150 * time.Microsecond, MaxStreams: 128,
	}
	chunks = [types.RoleCount]int{types.RoleMixed: 256, types.RolePrefill: 4096, types.RoleDecode: 64}
	// Each demand fully occupies nine or ten engines.
	decodeHeavy  = Demand{Prefill: 30_000, Decode: 33_000}
	prefillHeavy = Demand{Prefill: 110_000, Decode: 12_000}
)

// fixture runs a planner with one group of engines in virtual time.
type fixture struct {
	*Planner
	now     time.Time
	engines []Engine
}

func newFixture(s Settings, prefill, decode int) *fixture {
	c := CapacityOf(rates, chunks, 26*time.Millisecond)
	f := &fixture{Planner: NewPlanner(s, c), now: start}
	for i := range prefill + decode {
		role := types.RolePrefill
		if i >= prefill {
			role = types.RoleDecode
		}
		id := types.TargetID(fmt.Sprintf("e%03d", i))
		f.engines = append(f.engines, Engine{ID: id, Group: group, Role: role})
	}
	return f
}

// run observes a constant demand, plans once per second and returns the changes. The
// engines do not carry them out.
func (f *fixture) run(d Demand, t time.Duration) []Change {
	var out []Change
	for range int(t / time.Second) {
		f.now = f.now.Add(time.Second)
		f.Observe(group, f.now, d.Prefill, d.Decode)
		out = append(out, f.Plan(f.now, f.engines)...)
	}
	return out
}

func (f *fixture) engine(id types.TargetID) *Engine {
	for i := range f.engines {
		if f.engines[i].ID == id {
			return &f.engines[i]
		}
	}
	return nil
}

// complete makes the engines carry out the changes.
func (f *fixture) complete(changes []Change) {
	for _, c := range changes {
		f.engine(c.Engine).Role = c.To
	}
}

// oneAtATime returns settings with which no loss is severe, so that only one engine of
// a group changes at a time.
func oneAtATime() Settings {
	s := DefaultSettings(LowWeight)
	s.SevereLoss = 1
	return s
}

// Guards against changes that cost more than they gain.
func TestNoChangeWhileDemandIsServed(t *testing.T) {
	f := newFixture(DefaultSettings(LowWeight), 3, 9)
	assert.Equal(t, len(f.run(decodeHeavy, time.Minute)), 0)
}

// Guards against two concurrent changes in one group when the loss is not severe.
func TestOneChangeInFlight(t *testing.T) {
	f := newFixture(oneAtATime(), 2, 10)
	assert.Equal(t, len(f.run(prefillHeavy, 30*time.Second)), 1)
}

// Guards against a group that changes one engine at a time although much of its
// demand is not served, and against too many engines out of service at the same time.
func TestSevereLossAllowsSeveralChanges(t *testing.T) {
	f := newFixture(DefaultSettings(LowWeight), 2, 10)
	assert.Equal(t, len(f.run(prefillHeavy, 30*time.Second)), 3)
}

// Guards against reversing a change before its payback time is over.
func TestNoReversalWithinPayback(t *testing.T) {
	f := newFixture(oneAtATime(), 2, 10)
	first := f.run(prefillHeavy, 10*time.Second)
	assert.Equal(t, len(first), 1)
	f.complete(first)
	end := f.now.Add(first[0].Payback)
	for f.now.Before(end) {
		for _, c := range f.run(decodeHeavy, time.Second) {
			assert.Equal(t, direction(c.From, c.To), towardPrefill, "change reversed within the payback time, at %v", f.now.Sub(start))
			f.complete([]Change{c})
		}
	}
	reversal := f.run(Demand{Prefill: 3_000, Decode: 55_000}, time.Minute)
	assert.Assert(t, len(reversal) > 0)
	assert.Equal(t, direction(reversal[0].From, reversal[0].To), towardDecode)
}

// Guards against a plan that leaves fewer engines in a role than its minimum.
func TestMinimumPerRole(t *testing.T) {
	s := DefaultSettings(LowWeight)
	s.MinPerRole[types.RoleDecode] = 4
	f := newFixture(s, 2, 6)
	for range 30 {
		f.complete(f.run(Demand{Prefill: 500_000, Decode: 10}, 10*time.Second))
	}
	decode := 0
	for _, e := range f.engines {
		if e.Role == types.RoleDecode {
			decode++
		}
	}
	assert.Equal(t, decode, 4)
}

// Guards against a group whose planning stops permanently because an engine failed
// during its change.
func TestFailedEngineEndsItsChange(t *testing.T) {
	f := newFixture(oneAtATime(), 2, 10)
	first := f.run(prefillHeavy, 10*time.Second)
	assert.Equal(t, len(first), 1)
	f.engine(first[0].Engine).State = Failed
	second := f.run(prefillHeavy, time.Second)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Engine != first[0].Engine)
}

// Guards against waiting for the change of an engine that has since been replaced.
func TestReplacedEngineEndsItsChange(t *testing.T) {
	f := newFixture(oneAtATime(), 2, 10)
	first := f.run(prefillHeavy, 10*time.Second)
	assert.Equal(t, len(first), 1)
	*f.engine(first[0].Engine) = Engine{ID: "new", Group: group, Role: types.RoleDecode}
	assert.Equal(t, len(f.run(prefillHeavy, time.Second)), 1)
}

// Guards against counting the capacity of engines that are being drained.
func TestDrainingEnginesDoNotCount(t *testing.T) {
	f := newFixture(DefaultSettings(LowWeight), 8, 4)
	assert.Equal(t, len(f.run(prefillHeavy, 30*time.Second)), 0)
	for i := range 4 {
		f.engines[i].State = Leaving
	}
	got := f.run(prefillHeavy, 30*time.Second)
	assert.Assert(t, len(got) > 0)
	assert.Equal(t, got[0].To, types.RolePrefill)
	for _, c := range got {
		assert.Equal(t, f.engine(c.Engine).State, Serving)
	}
}

// Guards against a new lease holder that orders a second change while one ordered by
// its predecessor is in progress.
func TestChangeByPreviousLeaseHolderCounts(t *testing.T) {
	f := newFixture(oneAtATime(), 2, 10)
	f.engines[11].State, f.engines[11].ChangingTo = Changing, types.RolePrefill
	assert.Equal(t, len(f.run(prefillHeavy, 30*time.Second)), 0)
}

// Guards against a change of role for demand that mixed batching can serve.
func TestMixedBatchingBeforeChange(t *testing.T) {
	f := newFixture(DefaultSettings(LowWeight), 2, 4)
	for i := range 6 {
		id := types.TargetID(fmt.Sprintf("m%d", i))
		f.engines = append(f.engines, Engine{ID: id, Group: group, Role: types.RoleMixed})
	}
	f.run(Demand{Prefill: 20_000, Decode: 15_000}, 30*time.Second)
	assert.Equal(t, len(f.run(Demand{Prefill: 50_000, Decode: 12_000}, 30*time.Second)), 0)
}

// Guards against a weight that has no effect.
func TestHighWeightGivesFewerChanges(t *testing.T) {
	changes := func(weight float64) int {
		f := newFixture(DefaultSettings(weight), 3, 9)
		n := 0
		for i := range 60 {
			d := decodeHeavy
			if i%2 == 1 {
				d = prefillHeavy
			}
			got := f.run(d, 10*time.Second)
			f.complete(got)
			n += len(got)
		}
		return n
	}
	low, high := changes(LowWeight), changes(HighWeight)
	assert.Assert(t, high < low, "%d changes with high weight, %d with low weight, want fewer with high weight", high, low)
}

// Guards against roles that follow every shift of a mix that alternates faster than
// changes pay off.
func TestRolesStopFollowingAlternatingMix(t *testing.T) {
	f := newFixture(DefaultSettings(LowWeight), 3, 9)
	const shifts = 30
	lateChanges := 0
	for i := range shifts {
		d := decodeHeavy
		if i%2 == 1 {
			d = prefillHeavy
		}
		got := f.run(d, 40*time.Second)
		f.complete(got)
		if i >= shifts/2 {
			lateChanges += len(got)
		}
	}
	assert.Assert(t, lateChanges < shifts/2, "%d changes in the last %d shifts, want less than one per shift", lateChanges, shifts/2)
}

// Guards against mistaking noise in the fast average for a new mix.
func TestSteadyDemandPrefersSlowAverage(t *testing.T) {
	var e Estimate
	now := start
	for i := range 120 {
		noise := 1 + 0.1*float64(i%2*2-1)
		now = now.Add(time.Second)
		e.Observe(now, 30_000*noise, 30_000/noise)
	}
	assert.Assert(t, e.fastWeight() < 0.25, "weight of the fast average is %f, want less than 0.25", e.fastWeight())
	for range 5 {
		now = now.Add(time.Second)
		e.Observe(now, 90_000, 10_000)
	}
	assert.Equal(t, e.fastWeight(), 1.0)
}

// Guards against a plan that reverses direction repeatedly at no extra cost, and
// against a penalty that does not decay.
func TestReversalsRaiseCostOfChanges(t *testing.T) {
	f := newFixture(DefaultSettings(LowWeight), 2, 10)
	st := f.group(group)
	const reversals = 20
	for i := range reversals {
		st.flapPenalty.recordChange(start, f.settings.Horizon, i%2)
	}
	assert.Equal(t, len(f.run(prefillHeavy, 20*time.Second)), 0)
	f.run(prefillHeavy, 10*time.Minute)
	assert.Assert(t, len(st.pending) > 0, "no change after 10 minutes: the flap penalty does not decay")
}
