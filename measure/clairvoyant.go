package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// schedule holds the roles that the clairvoyant plan wants at each step.
type schedule []planning.RoleCounts

const scheduleStep = 2 * time.Second

// clairvoyant follows a schedule that was computed from the whole trace.
type clairvoyant struct {
	adaptiveRoles
	schedule schedule
	// lead is how early a change is ordered, so that it is done in time.
	leadTime time.Duration
}

// Plan moves engines toward the schedule, as many at a time as it takes.
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

// demands returns what the trace asks for in each step, counting only the part
// of a popular prefix that no engine can have cached.
func (tr *Trace) demandPerStep() []planning.Demand {
	out := make([]planning.Demand, traceLength/scheduleStep)
	for _, r := range tr.Requests {
		d := &out[r.Arrival/scheduleStep]
		d.Prefill += float64(r.Prompt-len(r.Blocks)*types.BlockTokens) / scheduleStep.Seconds()
		d.Decode += float64(r.Output) / scheduleStep.Seconds()
	}
	return out
}

// available returns how many engines the trace leaves at a time.
func (tr *Trace) availableEngines(t time.Duration) int {
	if tr.Crash != nil && t >= tr.Crash.At && t < tr.Crash.RestartAt {
		return engineCount - 1
	}
	return engineCount
}

// splits returns all ways to give n engines roles, with at least one engine for
// each phase.
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

// initial returns the roles that fit the first seconds of a trace best. All
// policies that change roles start with them.
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

// headroom returns how many times the demand the roles could serve.
func headroom(n planning.RoleCounts, d planning.Demand) float64 {
	const far = 0.01 // low enough for a demand beyond any capacity
	return capacityModel().ServedShare(n, scaleDemand(d, far)) / far
}

// scale returns the demand that engines at the given utilisation can serve as
// well as engines at full capacity can serve d.
func scaleDemand(d planning.Demand, utilisation float64) planning.Demand {
	return planning.Demand{Prefill: d.Prefill / utilisation, Decode: d.Decode / utilisation}
}

// rankSplits returns the static splits, best first, by the demand that they
// serve over the whole trace according to the capacity model.
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

// bestSchedule finds by dynamic programming the roles over time that serve the
// most of the demand, when prefill and decode use the given parts of the
// capacity and a change costs one engine for the time of the change. The roles
// at the start are free.
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

func bestPrevious(options []planning.RoleCounts, value []float64, n planning.RoleCounts) int {
	best, bestValue := 0, value[0]-changeSeconds(options[0], n)
	for k := 1; k < len(options); k++ {
		if v := value[k] - changeSeconds(options[k], n); v > bestValue {
			best, bestValue = k, v
		}
	}
	return best
}

// changeSeconds returns the engine time that a transition costs. An engine that
// is lost or comes back costs nothing.
func changeSeconds(a, b planning.RoleCounts) float64 {
	gone, come := 0, 0
	for r := range a {
		gone += max(a[r]-b[r], 0)
		come += max(b[r]-a[r], 0)
	}
	return float64(min(gone, come)) * engineParams().ChangeTime.Seconds()
}

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
