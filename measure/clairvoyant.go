package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// schedule holds the desired number of engines per role for each scheduleStep of a trace.
type schedule []planning.RoleCounts

const scheduleStep = 2 * time.Second

// clairvoyant follows a schedule that was computed in advance from the complete trace.
type clairvoyant struct {
	adaptiveRoles
	schedule schedule
	// leadTime is how long before its scheduled time a change is ordered, so that it completes in time.
	leadTime time.Duration
}

// Plan orders all role changes that are needed to match the schedule.
func (c clairvoyant) Plan(v View) []Order {
	want := c.schedule.rolesAt(v.Now + c.leadTime)
	var have planning.RoleCounts
	for _, e := range v.Engines {
		switch e.State {
		case planning.Serving:
			have[e.Role]++
		case planning.Changing:
			have[e.ChangingTo]++
		}
	}
	var out []Order
	for from := range types.RoleCount {
		for to := range types.RoleCount {
			k := min(have[from]-want[from], want[to]-have[to])
			if k <= 0 {
				continue
			}
			moved := orderRoleChanges(v.Engines, from, to, k)
			have[from] -= len(moved)
			have[to] += len(moved)
			out = append(out, moved...)
		}
	}
	return out
}

func (s schedule) rolesAt(t time.Duration) planning.RoleCounts {
	return s[min(int(t/scheduleStep), len(s)-1)]
}

// demandPerStep returns the demand of the trace in each scheduleStep, in tokens/s. Shared prefixes do
// not count as prefill, as engines can have them cached.
func (tr *Trace) demandPerStep() []planning.Demand {
	out := make([]planning.Demand, traceLength/scheduleStep)
	for _, r := range tr.Requests {
		d := &out[r.Arrival/scheduleStep]
		d.Prefill += float64(r.Prompt-len(r.Blocks)*types.BlockTokens) / scheduleStep.Seconds()
		d.Decode += float64(r.Output) / scheduleStep.Seconds()
	}
	return out
}

// availableEngines returns the number of engines that are not crashed at time t.
func (tr *Trace) availableEngines(t time.Duration) int {
	if tr.Crash != nil && t >= tr.Crash.At && t < tr.Crash.RestartAt {
		return engineCount - 1
	}
	return engineCount
}

// roleSplits returns all assignments of roles to n engines that leave at least one engine for prefill
// and one for decode; a mixed engine serves both.
func roleSplits(n int) []planning.RoleCounts {
	var out []planning.RoleCounts
	for p := 0; p <= n; p++ {
		for d := 0; p+d <= n; d++ {
			m := n - p - d
			if m == 0 && (p == 0 || d == 0) {
				continue
			}
			out = append(out, planning.RoleCounts{types.RolePrefill: p, types.RoleDecode: d, types.RoleMixed: m})
		}
	}
	return out
}

// initialRoles returns the roles with the most headroom for the mean demand of the first steps of the
// trace. All policies start with them except the static splits and the clairvoyant policy, which
// choose their own.
func (tr *Trace) initialRoles() planning.RoleCounts {
	const steps = 10
	var d planning.Demand
	for _, x := range tr.demandPerStep()[:steps] {
		d.Prefill += x.Prefill / steps
		d.Decode += x.Decode / steps
	}
	return slices.MaxFunc(roleSplits(engineCount), func(a, b planning.RoleCounts) int {
		return cmp.Compare(headroom(a, d), headroom(b, d))
	})
}

// headroom returns the multiple of the demand that the roles could serve.
func headroom(n planning.RoleCounts, d planning.Demand) float64 {
	const utilisation = 0.01 // low enough that the scaled demand exceeds the capacity of any roles
	return capacityModel().ServedShare(n, scaleDemand(d, utilisation)) / utilisation
}

// scaleDemand divides the demand by the utilisation: engines at full capacity serve the result as
// well as engines that are limited to this utilisation serve d.
func scaleDemand(d planning.Demand, utilisation float64) planning.Demand {
	return planning.Demand{Prefill: d.Prefill / utilisation, Decode: d.Decode / utilisation}
}

// rankSplits returns all static splits, ordered by decreasing demand that they serve over the complete
// trace according to the capacity model at 90% utilisation.
func (tr *Trace) rankSplits() []planning.RoleCounts {
	c := capacityModel()
	demands := tr.demandPerStep()
	type ranked struct {
		n     planning.RoleCounts
		value float64
	}
	var all []ranked
	for _, n := range roleSplits(engineCount) {
		v := 0.0
		for _, d := range demands {
			v += c.ServedShare(n, scaleDemand(d, 0.9)) * c.EngineEquivalents(d)
		}
		all = append(all, ranked{n, v})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(b.value, a.value) })
	out := make([]planning.RoleCounts, len(all))
	for i, r := range all {
		out[i] = r.n
	}
	return out
}

// bestSchedule returns the schedule that serves the most demand, found by dynamic programming. Prefill
// and decode are the usable shares of the capacity. A role change costs the time that the engine is
// out of service; the initial roles cost nothing.
func (tr *Trace) bestSchedule(prefill, decode float64) schedule {
	demands := tr.demandPerStep()
	steps := len(demands)
	options := make([][]planning.RoleCounts, steps)
	value := make([][]float64, steps)
	from := make([][]int, steps)
	c := capacityModel()
	for i, d := range demands {
		options[i] = roleSplits(tr.availableEngines(time.Duration(i) * scheduleStep))
		value[i] = make([]float64, len(options[i]))
		from[i] = make([]int, len(options[i]))
		for k, n := range options[i] {
			usable := planning.Demand{Prefill: d.Prefill / prefill, Decode: d.Decode / decode}
			gain := c.ServedShare(n, usable) * c.EngineEquivalents(d) * scheduleStep.Seconds()
			if i == 0 {
				value[i][k] = gain
				continue
			}
			from[i][k] = bestPrevious(options[i-1], value[i-1], n)
			prev := from[i][k]
			value[i][k] = value[i-1][prev] - changeSeconds(options[i-1][prev], n) + gain
		}
	}
	return backtrack(options, value, from)
}

// bestPrevious returns the index of the option of the previous step from which a change to n leaves
// the highest value.
func bestPrevious(options []planning.RoleCounts, value []float64, n planning.RoleCounts) int {
	best, bestValue := 0, value[0]-changeSeconds(options[0], n)
	for k := 1; k < len(options); k++ {
		if v := value[k] - changeSeconds(options[k], n); v > bestValue {
			best, bestValue = k, v
		}
	}
	return best
}

// changeSeconds returns the engine time in seconds that a transition from a to b takes. Engines that
// crash or restart take none.
func changeSeconds(a, b planning.RoleCounts) float64 {
	removed, added := 0, 0
	for r := range a {
		removed += max(a[r]-b[r], 0)
		added += max(b[r]-a[r], 0)
	}
	return float64(min(removed, added)) * engineParams().ChangeTime.Seconds()
}

// backtrack returns the schedule that ends in the option of the last step with the highest value.
func backtrack(options [][]planning.RoleCounts, value [][]float64, from [][]int) schedule {
	last := len(options) - 1
	k := 0
	for i, v := range value[last] {
		if v > value[last][k] {
			k = i
		}
	}
	out := make(schedule, len(options))
	for i := last; i >= 0; i-- {
		out[i] = options[i][k]
		k = from[i][k]
	}
	return out
}
