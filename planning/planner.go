package planning

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Group identifies a set of engines that can serve the same requests.
type Group struct {
	DataCentre types.DataCentreID
	Model      types.ModelID
}

// State is the state of an engine as seen by the planner.
type State uint8

// States of an engine.
const (
	// Serving engines accept work in their role.
	Serving State = iota
	// Changing engines are carrying out an order.
	Changing
	// Leaving engines are being drained, because they are withdrawn or replaced, and
	// accept no new work.
	Leaving
	// Failed engines do not respond.
	Failed
)

// Engine is the state of one engine as input to a plan.
type Engine struct {
	ID    types.TargetID
	Group Group
	Role  types.Role
	State State
	// ChangingTo is the role that a Changing engine is changing to.
	ChangingTo types.Role
	// Running is the number of requests in progress on the engine. Engines with
	// fewer requests drain faster.
	Running int
}

// Settings contains the settings of a Planner.
type Settings struct {
	// Weight is a factor on the cost of a change: low values give more goodput,
	// high values give fewer changes.
	Weight float64
	// ChangeDowntime is how long an engine is out of service during a change.
	ChangeDowntime time.Duration
	// Horizon is how long the current mix is expected to last if it does not
	// alternate. The gain of a change is compared with its cost over this period.
	Horizon time.Duration
	// MaxPrefillUtilisation and MaxDecodeUtilisation are the fractions of the
	// capacity that can be used without missing deadlines. Prefill needs more
	// headroom, because time in its queue counts towards the time to first token.
	MaxPrefillUtilisation, MaxDecodeUtilisation float64
	// SevereLoss is the fraction of the demand that must be unserved before several
	// engines of a group may change at the same time.
	SevereLoss float64
	// SevereShare limits the engines that may change at the same time when the loss
	// is severe, as a fraction of the group.
	SevereShare float64
	// MinPerRole is the minimum number of serving engines that changes leave in each
	// role.
	MinPerRole RoleCounts
	// ChangeTimeout is the time after which an unfinished change is no longer
	// regarded as in progress.
	ChangeTimeout time.Duration
}

// Values of Settings.Weight for operators who prefer goodput and for operators who
// prefer few role changes.
const (
	LowWeight  = 1.0
	HighWeight = 2.0
)

// DefaultSettings returns settings with the given weight.
func DefaultSettings(weight float64) Settings {
	return Settings{
		Weight:                weight,
		ChangeDowntime:        7 * time.Second, // 4 s for the order and about 3 s for draining
		Horizon:               time.Minute,     // the mix changes within minutes
		MaxPrefillUtilisation: 0.8,
		MaxDecodeUtilisation:  0.95,
		SevereLoss:            0.1,
		SevereShare:           0.25,
		MinPerRole:            RoleCounts{types.RolePrefill: 1, types.RoleDecode: 1},
		ChangeTimeout:         time.Minute,
	}
}

// Change is an order to change the role of an engine.
type Change struct {
	Engine   types.TargetID
	Group    Group
	From, To types.Role
	// Payback is how long the engine has to stay in the new role for the gain to
	// exceed the cost of the change.
	Payback time.Duration
}

// Planner plans the roles of the engines of all groups. It is not safe for concurrent
// use.
type Planner struct {
	settings Settings
	capacity *Capacity
	groups   map[Group]*groupState
}

type groupState struct {
	estimate Estimate
	pending  map[types.TargetID]pendingChange
	// paybackUntil is the end of the payback time of the changes in each direction.
	// Changes in the opposite direction are blocked until then.
	paybackUntil [2]time.Time
	flapPenalty  flapPenalty
}

type pendingChange struct {
	to      types.Role
	started time.Time
}

// NewPlanner returns a planner for engines with the given capacity.
func NewPlanner(s Settings, c *Capacity) *Planner {
	return &Planner{settings: s, capacity: c, groups: map[Group]*groupState{}}
}

func (p *Planner) group(g Group) *groupState {
	st := p.groups[g]
	if st == nil {
		st = &groupState{pending: map[types.TargetID]pendingChange{}}
		p.groups[g] = st
	}
	return st
}

// Observe adds the tokens requested from a group since the previous call.
func (p *Planner) Observe(g Group, now time.Time, prefillTokens, decodeTokens float64) {
	p.group(g).estimate.Observe(now, prefillTokens, decodeTokens)
}

// Estimate returns the estimated demand for a group.
func (p *Planner) Estimate(g Group) Estimate { return p.group(g).estimate }

// Plan returns the changes to start now. A change is in progress until the engine
// serves in its new role, fails, is drained or is no longer listed, or until the
// change times out.
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
	p.clearEmptyGroups(byGroup)
	return out
}

// clearEmptyGroups discards the pending changes of groups without engines.
func (p *Planner) clearEmptyGroups(byGroup map[Group][]Engine) {
	for g, st := range p.groups {
		if len(byGroup[g]) == 0 {
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
	serving, planned := st.countEngines(engines)
	m, ok := p.bestMove(now, st, serving, planned)
	if !ok {
		return nil
	}
	allowed := p.maxInFlight(st, planned) - len(st.pending)
	return p.startChanges(now, g, st, engines, m, min(allowed, m.engines))
}

// reconcile updates the pending changes to match the reported states of the engines.
func (st *groupState) reconcile(now time.Time, engines []Engine, timeout time.Duration) {
	seen := make(map[types.TargetID]bool, len(engines))
	for _, e := range engines {
		seen[e.ID] = true
		c, inProgress := st.pending[e.ID]
		switch {
		case e.State == Changing && !inProgress:
			// A previous lease holder ordered this change.
			st.pending[e.ID] = pendingChange{to: e.ChangingTo, started: now}
		case !inProgress:
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

// countEngines returns the engines that serve now, without those in change, and the
// engines that will serve once all pending changes are completed.
func (st *groupState) countEngines(engines []Engine) (serving, planned RoleCounts) {
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

// maxInFlight returns the number of engines of the group that may change at the same
// time.
func (p *Planner) maxInFlight(st *groupState, planned RoleCounts) int {
	loss := 1 - p.served(planned, st.estimate.fast)
	if loss < p.settings.SevereLoss {
		return 1
	}
	return max(1, int(float64(planned.sum())*p.settings.SevereShare))
}

// move is a change of one or more engines from one role to another.
type move struct {
	from, to types.Role
	engines  int
	gain     float64 // goodput in engine equivalents
	net      float64 // gain over the horizon less cost, in engine-seconds
}

// bestMove returns the move with the highest net gain: goodput over the horizon less
// the cost of the changes. ok is false if no move has one. A change must pay back
// within half of the horizon, because it blocks changes in the opposite direction
// until then.
func (p *Planner) bestMove(now time.Time, st *groupState, serving, planned RoleCounts) (best move, ok bool) {
	fc := p.forecast(now, st)
	base := p.goodput(fc, planned)
	cost := p.changeCost() * (1 + st.flapPenalty.decayed(now, p.settings.Horizon))
	horizon := p.settings.Horizon.Seconds()
	for from := range types.RoleCount {
		available := serving[from] - p.settings.MinPerRole[from]
		for to := range types.RoleCount {
			if to == from || st.reverses(now, from, to) {
				continue
			}
			after := planned
			for k := 1; k <= available; k++ {
				after[from]--
				after[to]++
				gain := p.goodput(fc, after) - base
				net := gain*horizon - float64(k)*cost
				if net > best.net+1e-9 && gain*horizon/2 >= float64(k)*cost {
					best = move{from, to, k, gain, net}
				}
			}
		}
	}
	return best, best.net > 0
}

// forecast is the demand expected over the horizon: several demands, each with the
// fraction of the horizon that it is expected to take.
type forecast [3]struct {
	demand   Demand
	fraction float64
}

// forecast predicts the demand over the horizon. The current mix continues for the
// time that it is expected to last. If it has alternated with another mix, each of the
// two takes half of the rest of the horizon.
func (p *Planner) forecast(now time.Time, st *groupState) forecast {
	e := &st.estimate
	horizon := p.settings.Horizon
	continues := e.mix.remaining(now, horizon).Seconds() / horizon.Seconds()
	fraction := (1 + continues) / 2
	fastWeight := e.fastWeight()
	var fc forecast
	fc[0].demand, fc[0].fraction = e.fast, fastWeight*fraction
	fc[1].demand, fc[1].fraction = e.slow, (1-fastWeight)*fraction
	fc[2].demand, fc[2].fraction = e.mix.lastPeak, 1-fraction
	return fc
}

// goodput returns the part of the expected demand that is served, in engine
// equivalents.
func (p *Planner) goodput(fc forecast, n RoleCounts) float64 {
	sum := 0.0
	for _, x := range fc {
		if x.fraction > 0 {
			sum += x.fraction * p.served(n, x.demand) * p.capacity.EngineEquivalents(x.demand)
		}
	}
	return sum
}

// served returns the fraction of the demand that can be served within the deadlines.
func (p *Planner) served(n RoleCounts, d Demand) float64 {
	return p.capacity.ServedShare(n, Demand{
		Prefill: d.Prefill / p.settings.MaxPrefillUtilisation,
		Decode:  d.Decode / p.settings.MaxDecodeUtilisation,
	})
}

// changeCost returns the cost of one change in engine-seconds: the time that one
// engine is out of service, times the weight.
func (p *Planner) changeCost() float64 {
	return p.settings.ChangeDowntime.Seconds() * p.settings.Weight
}

// prefillRank orders the roles by how much of their work is prefill.
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

// reverses reports whether a change is opposite to one whose payback time is not over.
func (st *groupState) reverses(now time.Time, from, to types.Role) bool {
	return now.Before(st.paybackUntil[1-direction(from, to)])
}

// startChanges starts changes of up to n engines, those with the fewest requests
// first, because they drain fastest.
func (p *Planner) startChanges(now time.Time, g Group, st *groupState, engines []Engine, m move, n int) []Change {
	if n <= 0 {
		return nil
	}
	var available []Engine
	for _, e := range engines {
		if _, changing := st.pending[e.ID]; !changing && e.State == Serving && e.Role == m.from {
			available = append(available, e)
		}
	}
	slices.SortFunc(available, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	payback := p.payback(m)
	var out []Change
	for _, e := range available[:min(n, len(available))] {
		st.pending[e.ID] = pendingChange{to: m.to, started: now}
		out = append(out, Change{Engine: e.ID, Group: g, From: m.from, To: m.to, Payback: payback})
	}
	st.flapPenalty.recordChange(now, p.settings.Horizon, direction(m.from, m.to))
	end := &st.paybackUntil[direction(m.from, m.to)]
	until := now.Add(p.settings.ChangeDowntime + payback)
	if until.After(*end) {
		*end = until
	}
	return out
}

// payback returns the time after which the gain of a move equals its cost.
func (p *Planner) payback(m move) time.Duration {
	cost := float64(m.engines) * p.changeCost()
	return time.Duration(cost / m.gain * float64(time.Second))
}

// flapPenalty damps alternating changes, as in route flap damping (RFC 2439). Each
// reversal of the direction adds 1, which raises the cost of further changes by the
// cost of one change, and the penalty decays with a time constant of two horizons. If
// the mix alternates faster than changes pay off, the roles soon stop changing.
type flapPenalty struct {
	value         float64
	updatedAt     time.Time
	lastDirection int
	hasDirection  bool
}

// decayed returns the penalty at the given time.
func (f *flapPenalty) decayed(now time.Time, horizon time.Duration) float64 {
	return f.value * math.Exp(-now.Sub(f.updatedAt).Seconds()/(2*horizon.Seconds()))
}

// recordChange records a change in the given direction.
func (f *flapPenalty) recordChange(now time.Time, horizon time.Duration, direction int) {
	if f.hasDirection && direction != f.lastDirection {
		f.value, f.updatedAt = f.decayed(now, horizon)+1, now
	}
	f.lastDirection, f.hasDirection = direction, true
}
