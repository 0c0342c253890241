package node

import (
	"slices"
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
		if s.Engine == nil {
			return
		}
		versions := k.engines(s, now)
		share := k.share(s, slices.Concat(versions...), now)
		for _, engines := range versions {
			changes := planVersion(engines, share, len(versions) > 1)
			out = append(out, changes[:min(len(changes), k.maxChanges(s, engines, len(versions) > 1, now))]...)
		}
	})
	return out
}

// maxChanging is the share of the engines of a service that may change their roles at the same time
// while callers are served: each of them is out of service for seconds.
const maxChanging = 0.1

// planVersion returns the role changes of the engines of one software version. KV cache of another
// version is of no use, so that each version needs engines of both roles. An engine that is alone in
// its version has to generate, and serves combined requests.
func planVersion(engines []planning.Engine, share float64, several bool) []planning.ShareChange {
	if several && len(engines) == 1 && engines[0].Role == types.RolePrefill {
		return []planning.ShareChange{{Engine: engines[0].ID, Role: types.RoleDecode}}
	}
	return planning.PlanPrefillShare(engines, share)
}

// maxChanges returns the number of engines of one version of a service that may begin to change their
// roles now. Beside other versions, those of a version that has one role only may do so at once:
// without the other role they are of little use.
func (k *roleController) maxChanges(s *routes.Service, engines []planning.Engine, several bool, now time.Time) int {
	if r := k.services[s.Name]; r == nil || !r.balancer.HasDemand() {
		return len(engines)
	}
	changing, prefill := 0, 0
	snapshot := k.directory.Load()
	for _, e := range engines {
		if e.Role == types.RolePrefill {
			prefill++
		}
		t := snapshot.Target(e.ID)
		if o, ok := k.ordered[e.ID]; ok && now.Before(o.until) && t != nil && t.Role != o.role {
			changing++
		}
	}
	if several && (prefill == 0 || prefill == len(engines)) {
		return len(engines)
	}
	return max(max(int(maxChanging*float64(len(engines))), 1)-changing, 0)
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

// engines returns the engines of a service that accept requests, by software version, with their
// current roles or those that they were ordered to take. It omits engines with the mixed role.
func (k *roleController) engines(s *routes.Service, now time.Time) (versions [][]planning.Engine) {
	for _, v := range k.directory.Load().Versions(s.Name) {
		var out []planning.Engine
		for _, t := range v.Targets {
			if t.Leaving() || t.Role == types.RoleMixed {
				continue
			}
			role := t.Role
			if o, ok := k.ordered[t.ID]; ok && now.Before(o.until) {
				role = o.role
			}
			out = append(out, planning.Engine{ID: t.ID, Group: planning.Group{DataCentre: t.DataCentre}, Role: role})
		}
		if len(out) > 0 {
			versions = append(versions, out)
		}
	}
	return versions
}
