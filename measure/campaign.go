package measure

import (
	"runtime"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// Campaign holds the results of all policies on all traces, in a fixed order.
type Campaign struct {
	Seed    uint64    `json:"seed"`
	Results []*Result `json:"results"`
	Bounds  []Bound   `json:"bounds"`
}

// Run measures all policies on all traces. Simulations are independent and run
// on a pool of half of the processors; each one is sequential.
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

// job is one simulation. Jobs with the same policy name compete: the one with
// the highest goodput stands for the policy.
type simulation struct {
	trace  *Trace
	policy Policy
	result *Result
}

// rankedSplits is how many of the splits that the capacity model likes best are
// simulated, besides all splits without mixed engines and all engines mixed.
const rankedSplitCount = 12

// The clairvoyant plan is the best of schedules for several utilisations of
// prefill and decode capacity and several times to order changes early.
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
		newPlannerPolicy(PolicyHigh, planning.HighWeight, start))
	out := make([]*simulation, len(policies))
	for i, p := range policies {
		out[i] = &simulation{trace: tr, policy: p}
	}
	return out
}

func runSimulations(jobs [][]*simulation, seed uint64) error {
	pool, err := ants.NewPool(max(runtime.NumCPU()/2, 1))
	if err != nil {
		return err
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
				return err
			}
		}
	}
	wg.Wait()
	return nil
}

// best keeps for each policy name the result with the highest goodput.
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

// include makes the wider of two searches at least as good as the narrower one.
func adoptIfBetter(results []*Result, narrow, wide string) {
	var n, w *Result
	at := 0
	for i, r := range results {
		switch r.Policy {
		case narrow:
			n = r
		case wide:
			w, at = r, i
		}
	}
	if n.Goodput > w.Goodput {
		same := *n
		same.Policy = wide
		results[at] = &same
	}
}
