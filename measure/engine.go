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

// engineState is the state of one simulated engine.
type engineState struct {
	id        types.TargetID
	index     int
	model     *modelengine.Engine
	role      types.Role
	iterating bool
	failed    bool
	// drainingTo is the ordered role while the engine drains, and nil otherwise.
	drainingTo *types.Role
	changing   bool
	changingTo types.Role
	// incarnation is incremented when the engine crashes. Events that were scheduled for an earlier
	// incarnation are ignored.
	incarnation int
	// incomingTransfers counts KV transfers to the engine that are in progress.
	incomingTransfers int
	calls             map[*modelengine.Job]*call
	// cachedBlocks holds the prefix blocks that the engine has computed since it last started or
	// changed its role.
	cachedBlocks map[uint64]bool
	reports      []types.LoadReport
	// counters tracks the work that the entry daemon has dispatched to the engine.
	counters *routing.Counters
	history  routing.History
}

func newEngineState(i int, role types.Role) *engineState {
	e := &engineState{id: engineID(i), index: i, role: role, counters: &routing.Counters{}}
	e.reset()
	return e
}

// reset replaces the engine model by an idle one in the current role, with an empty cache.
func (e *engineState) reset() {
	d := modelengine.Description{Role: e.role, Model: model, Version: "1"}
	e.model = modelengine.NewEngine(engineParams(), d)
	e.calls = map[*modelengine.Job]*call{}
	e.cachedBlocks = map[uint64]bool{}
}

// available reports whether the engine accepts new work.
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

// sample records a load report and drops those older than reportLag.
func (e *engineState) sample(now time.Time) {
	e.reports = append(e.reports, e.model.Report(now))
	if retained := int(reportLag/reportInterval) + 1; len(e.reports) > retained {
		e.reports = e.reports[1:]
	}
}

// report returns the load report that is reportLag old, as seen by routers and policies. Until the
// engine has reported for that long, it is the oldest report.
func (e *engineState) report() types.LoadReport {
	if len(e.reports) == 0 {
		return types.LoadReport{}
	}
	return e.reports[0]
}

// startIteration starts the next iteration of the engine. If there is no work, an ordered role change
// is applied.
func (s *sim) startIteration(e *engineState) {
	if e.iterating || e.failed || e.changing {
		return
	}
	duration, outputs := e.model.Step(s.time())
	if duration == 0 {
		s.changeRoleWhenIdle(e)
		return
	}
	e.iterating = true
	incarnation := e.incarnation
	s.scheduleAfter(duration, func() {
		if e.incarnation != incarnation {
			return
		}
		e.iterating = false
		for _, o := range outputs {
			s.handleOutput(e, o)
		}
		s.moveStreams(e)
		s.startIteration(e)
	})
}

// startRoleChange starts to drain an engine for a change of its role. Routers stop sending it new work
// immediately; the role changes when the last stream has finished or moved to another engine.
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

// moveStreams moves the streams of a draining engine to other engines by KV transfer. Streams that no
// other engine can take stay until they end.
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

// decodingCalls returns the calls that have produced output tokens on the engine, in order of arrival.
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

// changeRoleWhenIdle applies the ordered role once the engine has no running requests and no incoming
// KV transfers. The engine is out of service for the change time of the engine model.
func (s *sim) changeRoleWhenIdle(e *engineState) {
	if e.drainingTo == nil || e.model.Running() > 0 || e.incomingTransfers > 0 {
		return
	}
	e.changingTo, e.drainingTo, e.changing = *e.drainingTo, nil, true
	order := modelengine.Order{ID: "change", Role: e.changingTo, Model: model, Version: "1"}
	if _, err := e.model.Apply(order, s.time()); err != nil {
		panic(err) // cannot fail: the engine is idle and this is the only source of orders
	}
	incarnation := e.incarnation
	s.scheduleAfter(engineParams().ChangeTime, func() {
		if e.incarnation != incarnation {
			return
		}
		e.changing = false
		e.model.Changing(s.time())
		e.role = e.model.Description().Role
		clear(e.cachedBlocks)
		s.publishFleet()
	})
}

// crash stops the engine and fails all its calls.
func (s *sim) crash(e *engineState) {
	e.incarnation++
	e.iterating, e.failed, e.changing, e.drainingTo = false, true, false, nil
	for _, c := range e.sortedCalls() {
		delete(e.calls, c.job)
		s.finish(c, false)
	}
	s.publishFleet()
}

// sortedCalls returns all calls on the engine in order of arrival.
func (e *engineState) sortedCalls() []*call {
	out := make([]*call, 0, len(e.calls))
	for _, c := range e.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return out
}

// restart returns a crashed engine to service, idle and in the role that it had before the crash.
func (s *sim) restart(e *engineState) {
	e.failed = false
	e.reset()
	s.publishFleet()
}
