package planning

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Group is a set of engines that can take over each other's work.
type Group struct {
	DataCentre types.DataCentreID
	Model      types.ModelID
}

// State says whether an engine can be counted on.
type State uint8

// States of an engine.
const (
	// Serving engines take work in their role.
	Serving State = iota
	// Changing engines carry out an order.
	Changing
	// Leaving engines are withdrawn or being replaced and take no new work.
	Leaving
	// Failed engines do not answer.
	Failed
)

// Engine is what the planner knows of one engine.
type Engine struct {
	ID    types.TargetID
	Group Group
	Role  types.Role
	State State
	// ChangingTo is the role that a Changing engine will have.
	ChangingTo types.Role
	// Running is the number of requests on the engine; an engine with fewer
	// drains faster.
	Running int
}

// Settings of the planner.
type Settings struct {
	// Weight multiplies the cost of a change: low values give more goodput,
	// high values fewer changes.
	Weight float64
	// OutOfService is how long a change keeps an engine from serving.
	ChangeDowntime time.Duration
	// Horizon is how long the present mix is expected to last.
	Horizon time.Duration
	// PrefillUtilisation and DecodeUtilisation are the parts of the capacity
	// that can be used before the deadlines break. Prefill needs more room,
	// because its queue counts against the deadline of the first token.
	MaxPrefillUtilisation, MaxDecodeUtilisation float64
	// SevereLoss is the part of the demand whose loss allows several changes of
	// a group at a time.
	SevereLoss float64
	// SevereShare bounds the engines of a group in change at a time when the
	// loss is severe, as a part of the group.
	SevereShare float64
	// Minimum is the number of engines that a change never goes below, by role.
	MinPerRole RoleCounts
	// ChangeTimeout is when a change that did not finish no longer counts.
	ChangeTimeout time.Duration
}

// Weights for the two kinds of operator.
const (
	LowWeight  = 1.0
	HighWeight = 2.0
)

// DefaultSettings returns settings with the given weight.
func DefaultSettings(weight float64) Settings {
	return Settings{
		Weight:                weight,
		ChangeDowntime:        7 * time.Second, // 4 s for the order and about 3 s of draining
		Horizon:               time.Minute,     // the mix changes within minutes
		MaxPrefillUtilisation: 0.8,
		MaxDecodeUtilisation:  0.95,
		SevereLoss:            0.1,
		SevereShare:           0.25,
		MinPerRole:            RoleCounts{types.RolePrefill: 1, types.RoleDecode: 1},
		ChangeTimeout:         time.Minute,
	}
}

// Change is an order to give an engine another role.
type Change struct {
	Engine   types.TargetID
	Group    Group
	From, To types.Role
	// Payback is how long the new role has to last to be worth the change.
	Payback time.Duration
}

// Planner plans the roles of all groups. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	capacity *Capacity
	groups   map[Group]*groupState
}

type groupState struct {
	estimate Estimate
	pending  map[types.TargetID]pending
	// heldUntil is the end of the payback time of the last change in each
	// direction.
	heldUntil [2]time.Time
	flaps     flaps
}

type pending struct {
	to      types.Role
	started time.Time
}

// NewPlanner returns a planner for engines of the given capacity.
func NewPlanner(s Settings, c *Capacity) *Planner {
	return &Planner{settings: s, capacity: c, groups: map[Group]*groupState{}}
}

func (p *Planner) group(g Group) *groupState {
	st := p.groups[g]
	if st == nil {
		st = &groupState{pending: map[types.TargetID]pending{}}
		p.groups[g] = st
	}
	return st
}

// Observe adds the tokens that callers of a group asked for since the previous
// call.
func (p *Planner) Observe(g Group, now time.Time, prefillTokens, decodeTokens float64) {
	p.group(g).estimate.Observe(now, prefillTokens, decodeTokens)
}

// Estimate returns the estimate of a group.
func (p *Planner) Estimate(g Group) Estimate { return p.group(g).estimate }

// Plan returns the changes to start now. The planner counts them as in
// progress until the engine serves in its new role, fails, leaves or
// disappears, or the change times out.
func (p *Planner) Plan(now time.Time, engines []Engine) []Change {
	byGroup := map[Group][]Engine{}
	order := make([]Group, 0, len(p.groups))
	for _, e := range engines {
		if _, ok := byGroup[e.Group]; !ok {
			order = append(order, e.Group)
		}
		byGroup[e.Group] = append(byGroup[e.Group], e)
	}
	var out []Change
	for _, g := range order {
		out = append(out, p.planGroup(now, g, byGroup[g])...)
	}
	p.forgetMissing(byGroup)
	return out
}

// forgetMissing drops changes of groups that have no engine left.
func (p *Planner) forgetMissing(seen map[Group][]Engine) {
	for g, st := range p.groups {
		if len(seen[g]) == 0 {
			clear(st.pending)
		}
	}
}

func (p *Planner) planGroup(now time.Time, g Group, engines []Engine) []Change {
	st := p.group(g)
	st.reconcile(now, engines, p.settings.ChangeTimeout)
	if !st.estimate.started {
		return nil
	}
	serving, planned := st.count(engines)
	m, ok := p.best(now, st, serving, planned)
	if !ok {
		return nil
	}
	room := p.allowedInFlight(st, planned) - len(st.pending)
	return p.start(now, g, st, engines, m, min(room, m.engines))
}

// reconcile brings the changes in progress in line with what the engines report.
func (st *groupState) reconcile(now time.Time, engines []Engine, timeout time.Duration) {
	seen := make(map[types.TargetID]bool, len(engines))
	for _, e := range engines {
		seen[e.ID] = true
		c, known := st.pending[e.ID]
		switch {
		case e.State == Changing && !known:
			// Ordered by an earlier lease holder.
			st.pending[e.ID] = pending{to: e.ChangingTo, started: now}
		case !known:
		case e.State == Failed, e.State == Leaving,
			e.State == Serving && e.Role == c.to,
			now.Sub(c.started) > timeout:
			delete(st.pending, e.ID)
		}
	}
	for id := range st.pending {
		if !seen[id] {
			delete(st.pending, id)
		}
	}
}

// count returns the engines that serve now and the engines that will serve
// once the changes in progress are done.
func (st *groupState) count(engines []Engine) (serving, planned RoleCounts) {
	for _, e := range engines {
		if c, ok := st.pending[e.ID]; ok {
			planned[c.to]++
			continue
		}
		if e.State == Serving {
			serving[e.Role]++
			planned[e.Role]++
		}
	}
	return serving, planned
}

// allowedInFlight returns how many engines of the group may change at a time.
func (p *Planner) allowedInFlight(st *groupState, planned RoleCounts) int {
	loss := 1 - p.served(planned, st.estimate.fast)
	if loss < p.settings.SevereLoss {
		return 1
	}
	return max(1, int(float64(planned.total())*p.settings.SevereShare))
}

// move is a change of one or more engines from one role to another.
type move struct {
	from, to types.Role
	engines  int
	gain     float64 // engines' worth of goodput
	net      float64 // engine-seconds over the horizon, after cost
}

// best returns the move with the highest goodput over the horizon minus the
// cost of the changes. A change has to pay back within half of the horizon,
// because it blocks changes in the other direction until then.
func (p *Planner) best(now time.Time, st *groupState, serving, planned RoleCounts) (move, bool) {
	o := p.outlook(now, st)
	base := p.goodput(o, planned)
	cost := p.changeCost() * (1 + st.flaps.level(now, p.settings.Horizon))
	horizon := p.settings.Horizon.Seconds()
	found := move{}
	for from := range types.RoleCount {
		room := serving[from] - p.settings.MinPerRole[from]
		for to := range types.RoleCount {
			if to == from || st.reverses(now, from, to) {
				continue
			}
			after := planned
			for k := 1; k <= room; k++ {
				after[from]--
				after[to]++
				gain := p.goodput(o, after) - base
				net := gain*horizon - float64(k)*cost
				if net > found.net+1e-9 && gain*horizon/2 >= float64(k)*cost {
					found = move{from, to, k, gain, net}
				}
			}
		}
	}
	return found, found.net > 0
}

// outlook is the demand expected over the horizon: a few demands, each with
// the part of the horizon that it is expected to take.
type outlook [3]struct {
	demand Demand
	part   float64
}

// outlook expects the present mix for the time that it is likely to last. If
// it has alternated with another, the two share the rest of the horizon.
func (p *Planner) outlook(now time.Time, st *groupState) outlook {
	e := &st.estimate
	horizon := p.settings.Horizon
	stays := e.swing.remaining(now, horizon).Seconds() / horizon.Seconds()
	part := (1 + stays) / 2
	trust := e.trust()
	var o outlook
	o[0].demand, o[0].part = e.fast, trust*part
	o[1].demand, o[1].part = e.slow, (1-trust)*part
	o[2].demand, o[2].part = e.swing.previous, 1-part
	return o
}

// goodput returns the engines' worth of the expected demand that is served.
func (p *Planner) goodput(o outlook, n RoleCounts) float64 {
	sum := 0.0
	for _, x := range o {
		if x.part > 0 {
			sum += x.part * p.served(n, x.demand) * p.capacity.EngineEquivalents(x.demand)
		}
	}
	return sum
}

// served returns the part of the demand that can be served within the deadlines.
func (p *Planner) served(n RoleCounts, d Demand) float64 {
	return p.capacity.ServedShare(n, Demand{
		Prefill: d.Prefill / p.settings.MaxPrefillUtilisation,
		Decode:  d.Decode / p.settings.MaxDecodeUtilisation,
	})
}

// changeCost returns the cost of one change in engine-seconds: seconds out of
// service times the capacity of one engine times the weight.
func (p *Planner) changeCost() float64 {
	return p.settings.ChangeDowntime.Seconds() * p.settings.Weight
}

// prefillRank orders the roles from decode to prefill.
var prefillRank = [types.RoleCount]int{types.RoleDecode: 0, types.RoleMixed: 1, types.RolePrefill: 2}

const (
	towardDecode = iota
	towardPrefill
)

func direction(from, to types.Role) int {
	if prefillRank[to] > prefillRank[from] {
		return towardPrefill
	}
	return towardDecode
}

// reverses reports whether a change would undo one whose payback time is not over.
func (st *groupState) reverses(now time.Time, from, to types.Role) bool {
	return now.Before(st.heldUntil[1-direction(from, to)])
}

// start orders the change of the n engines that drain fastest.
func (p *Planner) start(now time.Time, g Group, st *groupState, engines []Engine, m move, n int) []Change {
	if n <= 0 {
		return nil
	}
	var free []Engine
	for _, e := range engines {
		if _, busy := st.pending[e.ID]; !busy && e.State == Serving && e.Role == m.from {
			free = append(free, e)
		}
	}
	slices.SortFunc(free, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	payback := p.payback(m)
	var out []Change
	for _, e := range free[:min(n, len(free))] {
		st.pending[e.ID] = pending{to: m.to, started: now}
		out = append(out, Change{Engine: e.ID, Group: g, From: m.from, To: m.to, Payback: payback})
	}
	st.flaps.change(now, p.settings.Horizon, direction(m.from, m.to))
	held := &st.heldUntil[direction(m.from, m.to)]
	until := now.Add(p.settings.ChangeDowntime + payback)
	if until.After(*held) {
		*held = until
	}
	return out
}

// payback returns the time after which the gain of a move equals its cost.
func (p *Planner) payback(m move) time.Duration {
	cost := float64(m.engines) * p.changeCost()
	return time.Duration(cost / m.gain * float64(time.Second))
}

// flaps counts how often the plan has turned round lately. Each turn raises the
// cost of further changes by its own amount and fades over two horizons, as in
// route flap damping (RFC 2439), so that a mix that comes and goes faster than
// changes pay off soon finds the roles settled.
type flaps struct {
	count float64
	at    time.Time
	last  int
	any   bool
}

// level returns the faded count.
func (f *flaps) level(now time.Time, horizon time.Duration) float64 {
	return f.count * math.Exp(-now.Sub(f.at).Seconds()/(2*horizon.Seconds()))
}

func (f *flaps) change(now time.Time, horizon time.Duration, direction int) {
	if f.any && direction != f.last {
		f.count, f.at = f.level(now, horizon)+1, now
	}
	f.last, f.any = direction, true
}
