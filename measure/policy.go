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
	Initial() planning.RoleCounts
	Placement() placement
	Plan(v View) []Order
}

// fixed keeps the roles as they are.
type fixed struct {
	name  string
	roles planning.RoleCounts
	place func() placement
}

func (f fixed) Name() string                 { return f.name }
func (f fixed) Initial() planning.RoleCounts { return f.roles }
func (f fixed) Placement() placement         { return f.place() }
func (f fixed) Plan(View) []Order            { return nil }

func static(name string, n planning.RoleCounts) Policy {
	return fixed{name, n, newShipped}
}

func random(n planning.RoleCounts) Policy      { return fixed{PolicyRandom, n, newRandom} }
func leastLoaded(n planning.RoleCounts) Policy { return fixed{PolicyLeastLoaded, n, newLeastLoaded} }

// adaptive is the part that policies which change roles have in common.
type adaptive struct {
	name  string
	roles planning.RoleCounts
}

func (a adaptive) Name() string                 { return a.name }
func (a adaptive) Initial() planning.RoleCounts { return a.roles }
func (a adaptive) Placement() placement         { return newShipped() }

// reactive moves one engine whenever one phase is above its threshold and the
// other is not. It is the usual rule without a cost of change.
type reactive struct{ adaptive }

// Thresholds of the reactive rule: a third of the deadline of the first token
// spent in the queue, and nine tenths of the streams that the time between
// tokens allows.
const (
	reactiveWait    = firstTokenShort / 3
	reactiveStreams = 0.9
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
	p := params()
	decoders := n[types.RoleDecode] + n[types.RoleMixed]
	wait := seconds(float64(queued) / float64(max(n[types.RolePrefill], 1)) / p.Rates.PrefillTokensPerSecond)
	limit := float64(tokenInterval-p.Rates.IterationBase) / float64(p.Rates.DecodeCost)
	use := float64(streams) / float64(max(decoders, 1)) / limit
	switch {
	case wait > reactiveWait && use < reactiveStreams && decoders > 1:
		if n[types.RoleMixed] > 0 {
			return convert(v.Engines, types.RoleMixed, types.RolePrefill, 1)
		}
		return convert(v.Engines, types.RoleDecode, types.RolePrefill, 1)
	case use > reactiveStreams && wait < reactiveWait && n[types.RolePrefill] > 1:
		return convert(v.Engines, types.RolePrefill, types.RoleDecode, 1)
	}
	return nil
}

// convert orders the change of the k least loaded engines of a role.
func convert(engines []planning.Engine, from, to types.Role, k int) []Order {
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
type lentilpick struct {
	adaptive
	planner *planning.Planner
}

func newLentilpick(name string, weight float64, roles planning.RoleCounts) Policy {
	p := planning.NewPlanner(planning.DefaultSettings(weight), capacity())
	return &lentilpick{adaptive{name, roles}, p}
}

func (l *lentilpick) Plan(v View) []Order {
	now := epoch.Add(v.Now)
	l.planner.Observe(group, now, v.Prefill, v.Decode)
	var out []Order
	for _, c := range l.planner.Plan(now, v.Engines) {
		i := slices.IndexFunc(v.Engines, func(e planning.Engine) bool { return e.ID == c.Engine })
		out = append(out, Order{i, c.To})
	}
	return out
}
