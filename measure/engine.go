package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// engineState is one engine of the fleet.
type engineState struct {
	id        types.TargetID
	index     int
	model     *modelengine.Engine
	role      types.Role
	iterating bool
	failed    bool
	// drainingTo is set from the order until the engine is empty.
	drainingTo *types.Role
	changing   bool
	changingTo types.Role
	// life grows when the engine crashes, so that its running iteration is void.
	incarnation int
	// incoming counts KV transfers on their way to the engine.
	incomingTransfers int
	calls             map[*modelengine.Job]*call
	// cached holds the prefix blocks that the engine is known to have.
	cachedBlocks map[uint64]bool
	reports      []types.LoadReport
	// counters is the load that the entry daemon puts on the engine.
	counters *routing.Counters
	history  routing.History
}

func newEngineState(i int, role types.Role) *engineState {
	e := &engineState{id: engineID(i), index: i, role: role, counters: &routing.Counters{}}
	e.reset()
	return e
}

// restart gives the engine an empty state in its present role.
func (e *engineState) reset() {
	d := modelengine.Description{Role: e.role, Model: model, Version: "1"}
	e.model = modelengine.NewEngine(engineParams(), d)
	e.calls = map[*modelengine.Job]*call{}
	e.cachedBlocks = map[uint64]bool{}
}

// available reports whether routers may send new work.
func (e *engineState) available() bool { return !e.failed && !e.changing && e.drainingTo == nil }

func (e *engineState) planningState() planning.State {
	switch {
	case e.failed:
		return planning.Failed
	case e.changing, e.drainingTo != nil:
		return planning.Changing
	}
	return planning.Serving
}

// sample records a load report and drops those that are not needed any more.
func (e *engineState) sample(now time.Time) {
	e.reports = append(e.reports, e.model.Report(now))
	if keep := int(reportLag/reportInterval) + 1; len(e.reports) > keep {
		e.reports = e.reports[1:]
	}
}

// report returns the load as it was reportLag ago.
func (e *engineState) report() types.LoadReport {
	if len(e.reports) == 0 {
		return types.LoadReport{}
	}
	return e.reports[0]
}

// step starts the next iteration of the engine if it has work.
func (s *sim) startIteration(e *engineState) {
	if e.iterating || e.failed || e.changing {
		return
	}
	d, out := e.model.Step(s.time())
	if d == 0 {
		s.changeRoleWhenIdle(e)
		return
	}
	e.iterating = true
	life := e.incarnation
	s.scheduleAfter(d, func() {
		if e.incarnation != life {
			return
		}
		e.iterating = false
		for _, o := range out {
			s.handleOutput(e, o)
		}
		s.moveStreams(e)
		s.startIteration(e)
	})
}

// order starts the change of an engine: routers stop sending work at once, and
// the role changes when the last stream has finished or moved.
func (s *sim) startRoleChange(i int, to types.Role) {
	e := s.engines[i]
	if !e.available() || e.role == to {
		return
	}
	e.drainingTo = &to
	s.result.RoleChanges++
	s.publishFleet()
	if !e.iterating {
		s.moveStreams(e)
		s.startIteration(e)
	}
}

// moveStreams moves the streams of a draining engine to others by KV transfer.
// A stream without a place elsewhere stays until it ends.
func (s *sim) moveStreams(e *engineState) {
	if e.drainingTo == nil {
		return
	}
	for _, c := range e.decodingCalls() {
		to := s.placement.decodeEngine(s, c)
		if to == nil {
			return
		}
		e.model.Cancel(c.job)
		delete(e.calls, c.job)
		s.releaseDecode(c)
		s.transfer(c, to)
	}
}

// decoding returns the calls that generate tokens, in order of arrival.
func (e *engineState) decodingCalls() []*call {
	var out []*call
	for j, c := range e.calls {
		if j.Produced > 0 && !c.prefilling {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (s *sim) changeRoleWhenIdle(e *engineState) {
	if e.drainingTo == nil || e.model.Running() > 0 || e.incomingTransfers > 0 {
		return
	}
	e.changingTo, e.drainingTo, e.changing = *e.drainingTo, nil, true
	o := modelengine.Order{ID: "change", Role: e.changingTo, Model: model, Version: "1"}
	if _, err := e.model.Apply(o, s.time()); err != nil {
		panic(err) // the engine is idle and there is only one source of orders
	}
	life := e.incarnation
	s.scheduleAfter(engineParams().ChangeTime, func() {
		if e.incarnation != life {
			return
		}
		e.changing = false
		e.model.Changing(s.time())
		e.role = e.model.Description().Role
		clear(e.cachedBlocks)
		s.publishFleet()
	})
}

// crash cuts all streams of the engine.
func (s *sim) crash(e *engineState) {
	e.incarnation++
	e.iterating, e.failed, e.changing, e.drainingTo = false, true, false, nil
	for _, c := range e.sortedCalls() {
		delete(e.calls, c.job)
		s.finish(c, false)
	}
	s.publishFleet()
}

func (e *engineState) sortedCalls() []*call {
	out := make([]*call, 0, len(e.calls))
	for _, c := range e.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

// comeBack brings a crashed engine back in the role that it had.
func (s *sim) restart(e *engineState) {
	e.failed = false
	e.reset()
	s.publishFleet()
}
