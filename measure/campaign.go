package measure

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// Campaign holds the results of all policies on all traces, ordered by trace and policy, and the
// bounds that were checked on them.
type Campaign struct {
	Seed    uint64    `json:"seed"`
	Results []*Result `json:"results"`
	Bounds  []Bound   `json:"bounds"`
}

// Run simulates all policies on all traces. Each simulation is sequential; independent simulations
// run in parallel on half of the CPUs.
func Run(seed uint64) (*Campaign, error) {
	traces := Traces(seed)
	jobs := make([][]*simulation, len(traces))
	for i, tr := range traces {
		jobs[i] = candidates(tr)
	}
	if err := runSimulations(jobs, seed); err != nil {
		return nil, err
	}
	c := &Campaign{Seed: seed}
	for _, list := range jobs {
		results := bestPerPolicy(list)
		adoptIfBetter(results, PolicyPure, PolicyStatic)
		adoptIfBetter(results, PolicyStatic, PolicyClairvoyant)
		c.Results = append(c.Results, results...)
	}
	c.Bounds = checkBounds(c.Results)
	return c, nil
}

// simulation is one run of a policy on a trace. Several variants of a policy may share its name, in
// which case the variant with the highest goodput represents the policy.
type simulation struct {
	trace  *Trace
	policy Policy
	result *Result
}

// rankedSplitCount is the number of static splits to simulate, taken from the top of the capacity
// model's ranking. All splits without mixed engines, and the one with only mixed engines, are
// simulated as well.
const rankedSplitCount = 12

// The clairvoyant policy is the best of the schedules for these utilisations of prefill and decode
// capacity, each with these lead times for role changes.
var (
	clairvoyantUtilisations = [][2]float64{{0.75, 0.95}, {0.8, 0.9}, {0.85, 0.85}, {0.85, 0.95}, {0.9, 1}, {1, 1}}
	clairvoyantLeadTimes    = []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second}
)

func candidates(tr *Trace) []*simulation {
	start := tr.initialRoles()
	policies := []Policy{newRandomPolicy(start), newLeastLoadedPolicy(start)}
	for p := 1; p < engineCount; p++ {
		n := planning.RoleCounts{types.RolePrefill: p, types.RoleDecode: engineCount - p}
		policies = append(policies, newStaticPolicy(PolicyPure, n))
	}
	for _, n := range tr.rankSplits()[:rankedSplitCount] {
		policies = append(policies, newStaticPolicy(PolicyStatic, n))
	}
	policies = append(policies, newStaticPolicy(PolicyStatic, planning.RoleCounts{types.RoleMixed: engineCount}))
	policies = append(policies, reactive{adaptiveRoles{PolicyReactive, start}})
	for _, u := range clairvoyantUtilisations {
		s := tr.bestSchedule(u[0], u[1])
		for _, lead := range clairvoyantLeadTimes {
			policies = append(policies, clairvoyant{adaptiveRoles{PolicyClairvoyant, s[0]}, s, lead})
		}
	}
	policies = append(policies,
		newPlannerPolicy(PolicyLow, planning.LowWeight, start),
		newPlannerPolicy(PolicyHigh, planning.HighWeight, start),
		newSharePolicy())
	out := make([]*simulation, len(policies))
	for i, p := range policies {
		out[i] = &simulation{trace: tr, policy: p}
	}
	return out
}

func runSimulations(jobs [][]*simulation, seed uint64) error {
	pool, err := ants.NewPool(max(runtime.NumCPU()/2, 1))
	if err != nil {
		return fmt.Errorf("create worker pool: %w", err)
	}
	defer pool.Release()
	var wg sync.WaitGroup
	for _, list := range jobs {
		for _, j := range list {
			wg.Add(1)
			if err := pool.Submit(func() {
				defer wg.Done()
				j.result = simulate(j.trace, j.policy, seed)
				j.result.InitialRoles = j.policy.InitialRoles()
			}); err != nil {
				return fmt.Errorf("submit simulation of policy %q on trace %q: %w", j.policy.Name(), j.trace.Name, err)
			}
		}
	}
	wg.Wait()
	return nil
}

// bestPerPolicy returns the result with the highest goodput for each policy name. Simulations with
// the same policy name must be adjacent in the list.
func bestPerPolicy(list []*simulation) []*Result {
	var out []*Result
	for _, j := range list {
		last := len(out) - 1
		switch {
		case last < 0 || out[last].Policy != j.result.Policy:
			out = append(out, j.result)
		case j.result.Goodput > out[last].Goodput:
			out[last] = j.result
		}
	}
	return out
}

// adoptIfBetter replaces the result of the policy wide by that of the policy narrow if narrow has the
// higher goodput. Narrow searches a subset of the plans that are open to wide, so wide must not come
// out worse.
func adoptIfBetter(results []*Result, narrow, wide string) {
	var narrowResult, wideResult *Result
	wideIndex := 0
	for i, r := range results {
		switch r.Policy {
		case narrow:
			narrowResult = r
		case wide:
			wideResult, wideIndex = r, i
		}
	}
	if narrowResult.Goodput > wideResult.Goodput {
		adopted := *narrowResult
		adopted.Policy = wide
		results[wideIndex] = &adopted
	}
}
