package measure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// Policy names as they appear in the report.
const (
	PolicyRandom      = "random"
	PolicyLeastLoaded = "least-loaded"
	PolicyPure        = "best pure split"
	PolicyStatic      = "best static"
	PolicyReactive    = "reactive"
	PolicyClairvoyant = "clairvoyant"
	PolicyLow         = "lentilpick low"
	PolicyHigh        = "lentilpick high"
	PolicyShare       = "lentilpick share"
)

// Order is an instruction to change an engine's role. Engine is an index into View.Engines.
type Order struct {
	Engine int
	To     types.Role
}

// View is the state of the fleet that a policy plans with. Reports are reportLag old.
type View struct {
	Now     time.Duration
	Engines []planning.Engine
	Reports []types.LoadReport
	// Prefill and Decode are the numbers of tokens requested since the previous plan.
	Prefill, Decode float64
}

// Policy decides where requests are placed and which roles the engines have.
type Policy interface {
	Name() string
	InitialRoles() planning.RoleCounts
	Placement() placement
	Plan(v View) []Order
}

// fixedRoles is a policy that never changes roles.
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

// adaptiveRoles is the common part of the policies that change roles.
type adaptiveRoles struct {
	name  string
	roles planning.RoleCounts
}

func (a adaptiveRoles) Name() string                      { return a.name }
func (a adaptiveRoles) InitialRoles() planning.RoleCounts { return a.roles }
func (a adaptiveRoles) Placement() placement              { return newRouterPlacement() }

// reactive changes the role of one engine whenever one phase is above its threshold and the other is
// not. It is the usual threshold rule, which ignores the cost of a role change.
type reactive struct{ adaptiveRoles }

// Thresholds of the reactive policy: a prefill queue per engine that takes a third of the first-token
// deadline of short prompts, and 90% of the streams that a decoding engine can serve within
// tokenInterval.
const (
	reactiveWaitLimit   = shortPromptDeadline / 3
	reactiveStreamLimit = 0.9 // share of the streams at tokenInterval
)

// Plan orders at most one role change, and none while a change is in progress.
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
	streamLimit := float64(tokenInterval-p.Rates.IterationBase) / float64(p.Rates.DecodeCost)
	utilisation := float64(streams) / float64(max(decoders, 1)) / streamLimit
	switch {
	case wait > reactiveWaitLimit && utilisation < reactiveStreamLimit && decoders > 1:
		if n[types.RoleMixed] > 0 {
			return orderRoleChanges(v.Engines, types.RoleMixed, types.RolePrefill, 1)
		}
		return orderRoleChanges(v.Engines, types.RoleDecode, types.RolePrefill, 1)
	case utilisation > reactiveStreamLimit && wait < reactiveWaitLimit && n[types.RolePrefill] > 1:
		return orderRoleChanges(v.Engines, types.RolePrefill, types.RoleDecode, 1)
	}
	return nil
}

// orderRoleChanges orders a role change for the k serving engines of a role with the fewest running
// requests, or for all of them if there are fewer than k.
func orderRoleChanges(engines []planning.Engine, from, to types.Role, k int) []Order {
	var eligible []int
	for i, e := range engines {
		if e.State == planning.Serving && e.Role == from {
			eligible = append(eligible, i)
		}
	}
	slices.SortStableFunc(eligible, func(a, b int) int { return cmp.Compare(engines[a].Running, engines[b].Running) })
	var out []Order
	for _, i := range eligible[:min(k, len(eligible))] {
		out = append(out, Order{i, to})
	}
	return out
}

// plannerPolicy changes roles with the planner that the control daemon uses.
type plannerPolicy struct {
	adaptiveRoles
	planner *planning.Planner
}

func newPlannerPolicy(name string, weight float64, roles planning.RoleCounts) Policy {
	p := planning.NewPlanner(planning.DefaultSettings(weight), capacityModel())
	return &plannerPolicy{adaptiveRoles{name, roles}, p}
}

func (pp *plannerPolicy) Plan(v View) []Order {
	now := epoch.Add(v.Now)
	pp.planner.Observe(group, now, v.Prefill, v.Decode)
	var out []Order
	for _, c := range pp.planner.Plan(now, v.Engines) {
		i := slices.IndexFunc(v.Engines, func(e planning.Engine) bool { return e.ID == c.Engine })
		out = append(out, Order{i, c.To})
	}
	return out
}

// sharePolicy changes roles with the plan of the node on the users' platform: the share of prefill
// engines follows the demand.
type sharePolicy struct {
	adaptiveRoles
	balancer *planning.Balancer
	rates    planning.Demand // of one engine, in tokens per second
}

// newSharePolicy returns a policy that starts with the initial share of a node. It uses no mixed
// engines, as those of the platform prefill or decode.
func newSharePolicy() Policy {
	s := planning.DefaultBalanceSettings()
	prefill := int(math.Round(s.InitialShare * engineCount))
	roles := planning.RoleCounts{types.RolePrefill: prefill, types.RoleDecode: engineCount - prefill}
	return &sharePolicy{adaptiveRoles{PolicyShare, roles}, planning.NewBalancer(s), capacityModel().SingleEngine()}
}

// Plan orders the changes that lead to the planned share, with at most one engine out of service.
func (p *sharePolicy) Plan(v View) []Order {
	now := epoch.Add(v.Now)
	p.balancer.Observe(now, seconds(v.Prefill/p.rates.Prefill), seconds(v.Decode/p.rates.Decode))
	var serving []planning.Engine
	prefill := 0
	for _, e := range v.Engines {
		if e.State == planning.Changing {
			return nil
		}
		if e.State != planning.Serving {
			continue
		}
		serving = append(serving, e)
		if e.Role == types.RolePrefill {
			prefill++
		}
	}
	changes := planning.PlanPrefillShare(serving, p.balancer.Share(now, prefill, len(serving)))
	if len(changes) == 0 {
		return nil
	}
	i := slices.IndexFunc(v.Engines, func(e planning.Engine) bool { return e.ID == changes[0].Engine })
	return []Order{{i, changes[0].Role}}
}
