package measure

import "fmt"

// Bounds from section 6.5 of the design.
const (
	minClairvoyantRatio      = 0.95 // goodput relative to the clairvoyant plan
	minStaticRatio           = 1.3  // goodput relative to the best static split, on step and ramp
	maxReactiveChangeRatio   = 0.5  // role changes relative to the reactive policy
	maxHighWeightGoodputLoss = 0.03 // share of the goodput at the low weight
	// minPureRatio is the goodput of the share plan relative to the best fixed share of prefill
	// and decode engines, found by simulating all of them (issue 22).
	minPureRatio = 0.95
)

// Bound is the result of checking one requirement on one trace. Value is what was measured, and
// Limit is the minimum or maximum that the requirement sets.
type Bound struct {
	Trace string  `json:"trace"`
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Pass  bool    `json:"pass"`
}

// checkBounds checks the results of all traces. Goodput bounds apply to both weights of the planner
// unless their name states one.
func checkBounds(results []*Result) []Bound {
	byTrace := map[string]map[string]*Result{}
	var order []string
	for _, r := range results {
		if byTrace[r.Trace] == nil {
			byTrace[r.Trace] = map[string]*Result{}
			order = append(order, r.Trace)
		}
		byTrace[r.Trace][r.Policy] = r
	}
	var out []Bound
	for _, name := range order {
		out = append(out, checkTraceBounds(name, byTrace[name])...)
	}
	return out
}

func checkTraceBounds(trace string, byPolicy map[string]*Result) []Bound {
	var out []Bound
	low, high := byPolicy[PolicyLow], byPolicy[PolicyHigh]
	for _, planned := range []*Result{low, high} {
		out = append(out, atLeast(trace, planned.Policy+" / clairvoyant goodput", planned.Goodput/byPolicy[PolicyClairvoyant].Goodput, minClairvoyantRatio))
		if trace == "step" || trace == "ramp" {
			out = append(out, atLeast(trace, planned.Policy+" / best static goodput", planned.Goodput/byPolicy[PolicyStatic].Goodput, minStaticRatio))
		}
		out = append(out, atMost(trace, planned.Policy+" - 0.5 x reactive changes",
			float64(planned.RoleChanges)-maxReactiveChangeRatio*float64(byPolicy[PolicyReactive].RoleChanges), 0))
	}
	share := byPolicy[PolicyShare]
	out = append(out,
		atLeast(trace, share.Policy+" / best pure split goodput", share.Goodput/byPolicy[PolicyPure].Goodput, minPureRatio),
		atMost(trace, share.Policy+" - 0.5 x reactive changes",
			float64(share.RoleChanges)-maxReactiveChangeRatio*float64(byPolicy[PolicyReactive].RoleChanges), 0))
	out = append(out,
		atMost(trace, "high - low weight changes", float64(high.RoleChanges-low.RoleChanges), changeDifferenceLimit(low)),
		atMost(trace, "goodput lost by the high weight", 1-high.Goodput/low.Goodput, maxHighWeightGoodputLoss))
	return out
}

// changeDifferenceLimit returns the largest allowed difference between the role changes at the high
// and at the low weight: at least one change fewer, or no more if the low weight makes none.
func changeDifferenceLimit(low *Result) float64 {
	if low.RoleChanges == 0 {
		return 0
	}
	return -1
}

func atLeast(trace, name string, value, limit float64) Bound {
	return Bound{trace, name, value, limit, value >= limit}
}

func atMost(trace, name string, value, limit float64) Bound {
	return Bound{trace, name, value, limit, value <= limit}
}

// String formats the bound as one line of the printed report.
func (b Bound) String() string {
	verdict := "pass"
	if !b.Pass {
		verdict = "MISS"
	}
	return fmt.Sprintf("%s  %-12s %-42s %7.3f (bound %.3f)", verdict, b.Trace, b.Name, b.Value, b.Limit)
}
