package measure

import "fmt"

// Bounds of the design, section 6.5.
const (
	minClairvoyantRatio      = 0.95
	minStaticRatio           = 1.3
	maxReactiveChangeRatio   = 0.5
	maxHighWeightGoodputLoss = 0.03
)

// Bound is one requirement on one trace.
type Bound struct {
	Trace string  `json:"trace"`
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Pass  bool    `json:"pass"`
}

// bounds checks the results of all traces. Bounds on goodput hold for both
// weights, unless the name says otherwise.
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

func checkTraceBounds(trace string, r map[string]*Result) []Bound {
	var out []Bound
	low, high := r[PolicyLow], r[PolicyHigh]
	for _, l := range []*Result{low, high} {
		out = append(out, atLeast(trace, l.Policy+" / clairvoyant goodput", l.Goodput/r[PolicyClairvoyant].Goodput, minClairvoyantRatio))
		if trace == "step" || trace == "ramp" {
			out = append(out, atLeast(trace, l.Policy+" / best static goodput", l.Goodput/r[PolicyStatic].Goodput, minStaticRatio))
		}
		out = append(out, atMost(trace, l.Policy+" - 0.5 x reactive changes",
			float64(l.RoleChanges)-maxReactiveChangeRatio*float64(r[PolicyReactive].RoleChanges), 0))
	}
	out = append(out,
		atMost(trace, "high - low weight changes", float64(high.RoleChanges-low.RoleChanges), changeDifferenceLimit(low)),
		atMost(trace, "goodput lost by the high weight", 1-high.Goodput/low.Goodput, maxHighWeightGoodputLoss))
	return out
}

// fewer returns the largest difference that counts as fewer changes. Where the
// low weight makes no change, there is nothing to reduce.
func changeDifferenceLimit(low *Result) float64 {
	if low.RoleChanges == 0 {
		return 0
	}
	return -1
}

func atLeast(trace, name string, v, limit float64) Bound {
	return Bound{trace, name, v, limit, v >= limit}
}

func atMost(trace, name string, v, limit float64) Bound {
	return Bound{trace, name, v, limit, v <= limit}
}

// String formats a bound as one line of the report.
func (b Bound) String() string {
	verdict := "pass"
	if !b.Pass {
		verdict = "MISS"
	}
	return fmt.Sprintf("%s  %-12s %-42s %7.3f (bound %.3f)", verdict, b.Trace, b.Name, b.Value, b.Limit)
}
