package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// serviceRoles is the plan for one service.
type serviceRoles struct {
	balancer *planning.Balancer
	total    demand.Work // at the previous step
	// share and plan are those that were logged last. plan is 0 without one.
	share, plan float64
}

// plan returns the role changes that are needed to reach the planned share.
func (k *roleController) plan(now time.Time) []planning.ShareChange {
	table := k.gateway.Table()
	if table == nil {
		return nil
	}
	var out []planning.ShareChange
	table.Services(func(s *routes.Service) {
		if s.Engine != nil {
			engines := k.engines(s, now)
			changes := planning.PlanPrefillShare(engines, k.share(s, engines, now))
			out = append(out, changes[:min(len(changes), k.maxChanges(s, len(engines), now))]...)
		}
	})
	return out
}

// maxChanging is the share of the engines of a service that may change their roles at the same time
// while callers are served: each of them is out of service for seconds.
const maxChanging = 0.1

// maxChanges returns the number of engines of a service that may begin to change their roles now.
func (k *roleController) maxChanges(s *routes.Service, engines int, now time.Time) int {
	if r := k.services[s.Name]; r == nil || !r.balancer.HasDemand() {
		return engines
	}
	changing := 0
	for _, t := range k.directory.Load().Service(s.Name) {
		if o, ok := k.ordered[t.ID]; ok && now.Before(o.until) && t.Role != o.role {
			changing++
		}
	}
	return max(max(int(maxChanging*float64(engines)), 1)-changing, 0)
}

// share returns the planned share of prefill engines of a service.
func (k *roleController) share(s *routes.Service, engines []planning.Engine, now time.Time) float64 {
	if k.fixedShare > 0 {
		return k.fixedShare
	}
	r := k.services[s.Name]
	if r == nil {
		settings := planning.DefaultBalanceSettings()
		if !k.bootstrap {
			settings.InitialShare = 0
		}
		r = &serviceRoles{balancer: planning.NewBalancer(settings)}
		k.services[s.Name] = r
	}
	k.observe(r, s, now)
	prefill := 0
	for _, e := range engines {
		if e.Role == types.RolePrefill {
			prefill++
		}
	}
	share := r.balancer.Share(now, prefill, len(engines))
	// The share also follows the engines that are registered; only the plan is logged.
	if plan := r.balancer.Plan(); r.share == 0 && share != 0 || plan != r.plan {
		k.logPlan(s, r, share, prefill, len(engines))
		r.share, r.plan = share, plan
	}
	return share
}

// observe adds the demand since the previous step to the plan of a service.
func (k *roleController) observe(r *serviceRoles, s *routes.Service, now time.Time) {
	total := k.demand(s.Name)
	w := total.Minus(r.total)
	r.total = total
	m := planning.StreamModel{
		Slots: s.Engine.Slots, KVTokens: s.Engine.KVTokens, Slowdown: defaultStreamSlowdown, Streams: k.meanStreams(s, now),
	}
	if v, ok := total.Intervals.Slowdown(); ok {
		m.Slowdown = v
	}
	decode := m.BusyTime(time.Duration(w.Slots)*time.Microsecond, w.KV)
	r.balancer.Observe(now, time.Duration(w.Prefill)*time.Microsecond, decode)
}

func (k *roleController) logPlan(s *routes.Service, r *serviceRoles, share float64, prefill, engines int) {
	busy := r.balancer.Busy()
	k.log.WithFields(logrus.Fields{
		daemon.FieldService: s.Name, "share": share, "earlier_share": r.share, "engines": engines, "prefill": prefill,
		"busy_prefill": busy.Prefill, "busy_decode": busy.Decode,
	}).Info("role plan")
}

// meanStreams returns the mean number of streams on the engines of a service that generate tokens.
func (k *roleController) meanStreams(s *routes.Service, now time.Time) float64 {
	streams, engines := int64(0), 0
	for _, t := range k.directory.Load().Service(s.Name) {
		if t.Role != types.RolePrefill && t.Usable(now) {
			streams += t.Load.Total().Streams
			engines++
		}
	}
	return float64(streams) / float64(max(engines, 1))
}

// defaultStreamSlowdown is the slowdown of an engine with each further stream until it is learned.
const defaultStreamSlowdown = float64(iterationTimePerStream) / float64(iterationTime)

// engines returns the engines of a service that accept requests, with their current roles or those
// that they were ordered to take. It omits engines with the mixed role.
func (k *roleController) engines(s *routes.Service, now time.Time) []planning.Engine {
	var out []planning.Engine
	for _, t := range k.directory.Load().Service(s.Name) {
		if t.Leaving() || t.Role == types.RoleMixed {
			continue
		}
		role := t.Role
		if o, ok := k.ordered[t.ID]; ok && now.Before(o.until) {
			role = o.role
		}
		out = append(out, planning.Engine{ID: t.ID, Group: planning.Group{DataCentre: t.DataCentre}, Role: role})
	}
	return out
}
