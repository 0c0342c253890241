package control

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

const (
	planEvery = time.Second
	// planInterval is the time between tokens that the plan aims at, 26 ms for
	// 95 in 100.
	planInterval = 26 * time.Millisecond
	// planTimeout ends a planned change that the engine did not carry out.
	planTimeout = time.Minute
)

// planChunks is the most prompt tokens in one batch iteration, by role.
var planChunks = [types.RoleCount]int{types.RoleMixed: 256, types.RolePrefill: 4096, types.RoleDecode: 64}

// plannedRole is the role that a plan gives to an engine until the engine has it.
type plannedRole struct {
	role  types.Role
	since time.Time
}

// rolePlanner plans the roles of the engines of the data centre whose service
// leaves them to the system. All daemons follow the demand, so that a new lease
// holder has its averages; only the holder plans.
type rolePlanner struct {
	dc       types.DataCentreID
	log      *logrus.Entry
	config   func() *configuration.Config
	gate     *authority.Gate
	fleet    *fleetState
	own      func() []*peerv1.ModelDemand
	planners map[types.ServiceID]*servicePlanner
	seen     map[demandSource]planning.Demand
	// roles is read by the order loop.
	roles atomic.Pointer[map[types.TargetID]plannedRole]
}

// demandSource names one cumulative count: the demand for a model on one run
// of a daemon.
type demandSource struct {
	vm          types.VMID
	incarnation string
	model       types.ModelID
}

type servicePlanner struct {
	planner *planning.Planner
	// revision is that of the service for which the planner was made.
	revision types.Revision
}

func newRolePlanner(d *Daemon) *rolePlanner {
	p := &rolePlanner{
		dc: d.dc, log: d.log, config: d.config.Config, gate: d.gate, fleet: d.fleet, own: d.entries.totals,
		planners: map[types.ServiceID]*servicePlanner{}, seen: map[demandSource]planning.Demand{},
	}
	p.roles.Store(&map[types.TargetID]plannedRole{})
	return p
}

func (p *rolePlanner) run(ctx context.Context) {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.step(time.Now())
	}
}

// roleOf returns the role that a target shall have: the configured one, or for
// a service whose roles are planned the planned one, or the one it has.
func (p *rolePlanner) roleOf(t configuration.Target, current types.Role) types.Role {
	if !p.config().Services[t.Service].Value.RolesPlanned {
		return t.Role
	}
	if r, ok := (*p.roles.Load())[t.ID]; ok {
		return r.role
	}
	return current
}

func (p *rolePlanner) step(now time.Time) {
	c := p.config()
	demand := p.newDemand()
	_, err := p.gate.Check(now, true, false)
	roles := p.pending(now)
	for id, s := range c.Services {
		if !s.Value.RolesPlanned {
			continue
		}
		engines := p.engines(c, id, roles, now)
		sp := p.plannerOf(c, id, s)
		if sp == nil {
			continue
		}
		observe(sp.planner, engines, demand, now)
		if err == nil {
			p.plan(sp.planner, engines, roles, now)
		}
	}
	if err != nil {
		clear(roles) // a new holder starts from the roles that engines have
	}
	p.roles.Store(&roles)
}

// newDemand returns the work asked for since the last step, by model.
func (p *rolePlanner) newDemand() map[types.ModelID]planning.Demand {
	sum := map[types.ModelID]planning.Demand{}
	next := map[demandSource]planning.Demand{}
	count := func(vm types.VMID, incarnation string, list []*peerv1.ModelDemand) {
		for _, m := range list {
			src := demandSource{vm, incarnation, types.ModelID(m.GetModel())}
			total := planning.Demand{Prefill: float64(m.GetPrefillTokens()), Decode: float64(m.GetDecodeTokens())}
			next[src] = total
			before, known := p.seen[src]
			if !known {
				continue // what came before this daemon heard of the source has no known time
			}
			d := sum[src.model]
			sum[src.model] = planning.Demand{
				Prefill: d.Prefill + total.Prefill - before.Prefill, Decode: d.Decode + total.Decode - before.Decode,
			}
		}
	}
	count("", "", p.own())
	for _, d := range p.fleet.peerDemand(p.dc) {
		count(d.vm, d.incarnation, d.models)
	}
	p.seen = next
	return sum
}

// pending returns the planned changes that are not carried out and not too old.
func (p *rolePlanner) pending(now time.Time) map[types.TargetID]plannedRole {
	out := map[types.TargetID]plannedRole{}
	for id, r := range *p.roles.Load() {
		rep, ok := p.fleet.report(id)
		done := ok && rep.Role == r.role && !rep.Changing
		if !done && now.Sub(r.since) < planTimeout {
			out[id] = r
		}
	}
	return out
}

// engines returns the engines of a service in this data centre, in the order of
// their names, so that a plan does not depend on the order of a map.
func (p *rolePlanner) engines(c *configuration.Config, service types.ServiceID, roles map[types.TargetID]plannedRole, now time.Time) []planning.Engine {
	var out []planning.Engine
	for id, t := range c.Targets {
		if t.Value.Service == service && t.Value.DataCentre == p.dc && t.Value.State != configuration.TargetWithdrawn {
			out = append(out, p.engine(t.Value, roles[id], now))
		}
	}
	slices.SortFunc(out, func(a, b planning.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (p *rolePlanner) engine(t configuration.Target, planned plannedRole, now time.Time) planning.Engine {
	r, ok := p.fleet.report(t.ID)
	e := planning.Engine{
		ID: t.ID, Group: planning.Group{DataCentre: p.dc, Model: t.Model}, Role: r.Role, Running: r.Running, ChangingTo: r.Role,
	}
	if !planned.since.IsZero() {
		e.ChangingTo = planned.role
	}
	switch {
	case !ok || now.Sub(r.At) > freshReport:
		e.State = planning.Failed
	case t.State == configuration.TargetDraining || p.fleet.addressLeaving(t.Address):
		e.State = planning.Leaving
	case r.Changing || !planned.since.IsZero():
		e.State = planning.Changing
	}
	return e
}

// plannerOf returns the planner of a service, made anew when the service
// changed; nil while the service has no engine here.
func (p *rolePlanner) plannerOf(c *configuration.Config, id types.ServiceID, s configuration.Entry[configuration.Service]) *servicePlanner {
	sp := p.planners[id]
	if sp != nil && sp.revision == s.Revision {
		return sp
	}
	for _, t := range c.Targets {
		if t.Value.Service != id || t.Value.DataCentre != p.dc {
			continue
		}
		set := planning.DefaultSettings(s.Value.RoleChangeWeight)
		if n := s.Value.MinPerRole; n > 0 {
			set.MinPerRole = planning.RoleCounts{types.RolePrefill: n, types.RoleDecode: n}
		}
		capacity := planning.CapacityOf(types.EngineRates(t.Value.Rates), planChunks, planInterval)
		sp = &servicePlanner{planning.NewPlanner(set, capacity), s.Revision}
		p.planners[id] = sp
		return sp
	}
	return nil
}

func observe(pl *planning.Planner, engines []planning.Engine, demand map[types.ModelID]planning.Demand, now time.Time) {
	seen := map[planning.Group]bool{}
	for _, e := range engines {
		if !seen[e.Group] {
			seen[e.Group] = true
			d := demand[e.Group.Model]
			pl.Observe(e.Group, now, d.Prefill, d.Decode)
		}
	}
}

func (p *rolePlanner) plan(pl *planning.Planner, engines []planning.Engine, roles map[types.TargetID]plannedRole, now time.Time) {
	for _, ch := range pl.Plan(now, engines) {
		roles[ch.Engine] = plannedRole{ch.To, now}
		p.log.WithField(daemon.FieldTarget, ch.Engine).WithField("from", ch.From.String()).WithField("role", ch.To.String()).
			Info("role change planned")
	}
}
