package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// Names of the policies, as printed.
const (
	PolicyRandom      = "random"
	PolicyLeastLoaded = "least-loaded"
	PolicyPure        = "best pure split"
	PolicyStatic      = "best static"
	PolicyReactive    = "reactive"
	PolicyClairvoyant = "clairvoyant"
	PolicyLow         = "lentilpick low"
	PolicyHigh        = "lentilpick high"
)

// Order gives the engine with an index another role.
type Order struct {
	Engine int
	To     types.Role
}

// View is what a policy sees when it plans. Reports are late.
type View struct {
	Now     time.Duration
	Engines []planning.Engine
	Reports []types.LoadReport
	// Prefill and Decode are the tokens asked for since the last plan.
	Prefill, Decode float64
}

// Policy decides where requests go and which roles engines have.
type Policy interface {
	Name() string
	InitialRoles() planning.RoleCounts
	Placement() placement
	Plan(v View) []Order
}

// fixed keeps the roles as they are.
type fixedRoles struct {
	name         string
	roles        planning.RoleCounts
	newPlacement func() placement
}

func (f fixedRoles) Name() string                      { return f.name }
func (f fixedRoles) InitialRoles() planning.RoleCounts { return f.roles }
func (f fixedRoles) Placement() placement              { return f.newPlacement() }
func (f fixedRoles) Plan(View) []Order                 { return nil }

func newStaticPolicy(name string, n planning.RoleCounts) Policy {
	return fixedRoles{name, n, newRouterPlacement}
}

func newRandomPolicy(n planning.RoleCounts) Policy {
	return fixedRoles{PolicyRandom, n, newRandomPlacement}
}
func newLeastLoadedPolicy(n planning.RoleCounts) Policy {
	return fixedRoles{PolicyLeastLoaded, n, newLeastLoadedPlacement}
}

// adaptive is the part that policies which change roles have in common.
type adaptiveRoles struct {
	name  string
	roles planning.RoleCounts
}

func (a adaptiveRoles) Name() string                      { return a.name }
func (a adaptiveRoles) InitialRoles() planning.RoleCounts { return a.roles }
func (a adaptiveRoles) Placement() placement              { return newRouterPlacement() }

// reactive moves one engine whenever one phase is above its threshold and the
// other is not. It is the usual rule without a cost of change.
type reactive struct{ adaptiveRoles }

// Thresholds of the reactive rule: a third of the deadline of the first token
// spent in the queue, and nine tenths of the streams that the time between
// tokens allows.
const (
	reactiveWaitLimit   = shortPromptDeadline / 3
	reactiveStreamLimit = 0.9
)

func (r reactive) Plan(v View) []Order {
	var n planning.RoleCounts
	queued, streams := 0, 0
	for i, e := range v.Engines {
		if e.State == planning.Changing {
			return nil
		}
		if e.State != planning.Serving {
			continue
		}
		n[e.Role]++
		queued += v.Reports[i].QueuedPrefillTokens
		streams += v.Reports[i].DecodeStreams
	}
	p := engineParams()
	decoders := n[types.RoleDecode] + n[types.RoleMixed]
	wait := seconds(float64(queued) / float64(max(n[types.RolePrefill], 1)) / p.Rates.PrefillTokensPerSecond)
	limit := float64(tokenInterval-p.Rates.IterationBase) / float64(p.Rates.DecodeCost)
	use := float64(streams) / float64(max(decoders, 1)) / limit
	switch {
	case wait > reactiveWaitLimit && use < reactiveStreamLimit && decoders > 1:
		if n[types.RoleMixed] > 0 {
			return orderRoleChanges(v.Engines, types.RoleMixed, types.RolePrefill, 1)
		}
		return orderRoleChanges(v.Engines, types.RoleDecode, types.RolePrefill, 1)
	case use > reactiveStreamLimit && wait < reactiveWaitLimit && n[types.RolePrefill] > 1:
		return orderRoleChanges(v.Engines, types.RolePrefill, types.RoleDecode, 1)
	}
	return nil
}

// convert orders the change of the k least loaded engines of a role.
func orderRoleChanges(engines []planning.Engine, from, to types.Role, k int) []Order {
	var free []int
	for i, e := range engines {
		if e.State == planning.Serving && e.Role == from {
			free = append(free, i)
		}
	}
	slices.SortStableFunc(free, func(a, b int) int { return cmp.Compare(engines[a].Running, engines[b].Running) })
	var out []Order
	for _, i := range free[:min(k, len(free))] {
		out = append(out, Order{i, to})
	}
	return out
}

// lentilpick uses the planner of the planning module.
type plannerPolicy struct {
	adaptiveRoles
	planner *planning.Planner
}

func newPlannerPolicy(name string, weight float64, roles planning.RoleCounts) Policy {
	p := planning.NewPlanner(planning.DefaultSettings(weight), capacityModel())
	return &plannerPolicy{adaptiveRoles{name, roles}, p}
}

func (l *plannerPolicy) Plan(v View) []Order {
	now := epoch.Add(v.Now)
	l.planner.Observe(group, now, v.Prefill, v.Decode)
	var out []Order
	for _, c := range l.planner.Plan(now, v.Engines) {
		i := slices.IndexFunc(v.Engines, func(e planning.Engine) bool { return e.ID == c.Engine })
		out = append(out, Order{i, c.To})
	}
	return out
}
