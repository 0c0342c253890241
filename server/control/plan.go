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
	planningInterval = time.Second
	// targetTokenInterval is the 95th percentile of the time between tokens that
	// role plans aim for.
	targetTokenInterval = 26 * time.Millisecond
	// roleChangeTimeout is the time after which a planned role change that the
	// engine has not made is dropped.
	roleChangeTimeout = time.Minute
)

// maxChunkTokens is the maximum number of prompt tokens in one batch iteration, by role.
var maxChunkTokens = [types.RoleCount]int{types.RoleMixed: 256, types.RolePrefill: 4096, types.RoleDecode: 64}

// plannedRole is a role that is assigned to an engine and not yet taken on by it.
type plannedRole struct {
	role  types.Role
	since time.Time
}

// rolePlanner plans the roles of the data centre's engines for services with
// planned roles. All daemons record the demand, so that a new lease holder has the
// demand averages; only the holder plans.
type rolePlanner struct {
	dc          types.DataCentreID
	log         *logrus.Entry
	config      func() *configuration.Config
	gate        *authority.Gate
	fleet       *fleetState
	localDemand func() []*peerv1.ModelDemand
	planners    map[types.ServiceID]*servicePlanner
	lastTotals  map[demandSource]planning.Demand
	// roles is read by the order reconciler.
	roles atomic.Pointer[map[types.TargetID]plannedRole]
}

// demandSource identifies a cumulative counter: the demand for a model at one
// incarnation of a daemon.
type demandSource struct {
	vm          types.VMID
	incarnation string
	model       types.ModelID
}

type servicePlanner struct {
	planner *planning.Planner
	// revision is the revision of the service that the planner was created for.
	revision types.Revision
}

func newRolePlanner(d *Daemon) *rolePlanner {
	p := &rolePlanner{
		dc: d.dc, log: d.log, config: d.config.Config, gate: d.gate, fleet: d.fleet, localDemand: d.entryDaemons.totals,
		planners: map[types.ServiceID]*servicePlanner{}, lastTotals: map[demandSource]planning.Demand{},
	}
	p.roles.Store(&map[types.TargetID]plannedRole{})
	return p
}

func (p *rolePlanner) run(ctx context.Context) {
	tick := time.NewTicker(planningInterval)
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

// roleOf returns the role that a target should have: the configured role or, for a
// service with planned roles, the planned role if there is one and the current role
// otherwise.
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
	demand := p.demandSinceLastStep()
	_, err := p.gate.Check(now, true, false)
	roles := p.pendingChanges(now)
	for id, s := range c.Services {
		if !s.Value.RolesPlanned {
			continue
		}
		engines := p.engines(c, id, roles, now)
		sp := p.plannerFor(c, id, s)
		if sp == nil {
			continue
		}
		observe(sp.planner, engines, demand, now)
		if err == nil {
			p.plan(sp.planner, engines, roles, now)
		}
	}
	if err != nil {
		clear(roles) // a new lease holder starts from the current roles of the engines
	}
	p.roles.Store(&roles)
}

// demandSinceLastStep returns the tokens requested since the last step, by model.
func (p *rolePlanner) demandSinceLastStep() map[types.ModelID]planning.Demand {
	sum := map[types.ModelID]planning.Demand{}
	next := map[demandSource]planning.Demand{}
	count := func(vm types.VMID, incarnation string, list []*peerv1.ModelDemand) {
		for _, m := range list {
			src := demandSource{vm, incarnation, types.ModelID(m.GetModel())}
			total := planning.Demand{Prefill: float64(m.GetPrefillTokens()), Decode: float64(m.GetDecodeTokens())}
			next[src] = total
			previous, ok := p.lastTotals[src]
			if !ok {
				continue // the first total of a source covers an unknown period
			}
			d := sum[src.model]
			sum[src.model] = planning.Demand{
				Prefill: d.Prefill + total.Prefill - previous.Prefill, Decode: d.Decode + total.Decode - previous.Decode,
			}
		}
	}
	count("", "", p.localDemand())
	for _, d := range p.fleet.peerDemand(p.dc) {
		count(d.vm, d.incarnation, d.models)
	}
	p.lastTotals = next
	return sum
}

// pendingChanges returns the planned role changes that are neither completed nor
// timed out.
func (p *rolePlanner) pendingChanges(now time.Time) map[types.TargetID]plannedRole {
	out := map[types.TargetID]plannedRole{}
	for id, r := range *p.roles.Load() {
		rep, ok := p.fleet.report(id)
		done := ok && rep.Role == r.role && !rep.Changing
		if !done && now.Sub(r.since) < roleChangeTimeout {
			out[id] = r
		}
	}
	return out
}

// engines returns the engines of a service in this data centre, sorted by ID, so
// that a plan does not depend on the iteration order of a map.
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
	case !ok || now.Sub(r.At) > maxReportAge:
		e.State = planning.Failed
	case t.State == configuration.TargetDraining || p.fleet.addressLeaving(t.Address):
		e.State = planning.Leaving
	case r.Changing || !planned.since.IsZero():
		e.State = planning.Changing
	}
	return e
}

// plannerFor returns the planner of a service, or nil while the service has no
// engine in this data centre. A change of the service replaces its planner.
func (p *rolePlanner) plannerFor(c *configuration.Config, id types.ServiceID, s configuration.Entry[configuration.Service]) *servicePlanner {
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
		capacity := planning.CapacityOf(types.EngineRates(t.Value.Rates), maxChunkTokens, targetTokenInterval)
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
