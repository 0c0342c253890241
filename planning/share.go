package planning

import (
	"cmp"
	"math"
	"slices"

	"github.com/lentilpick/lentilpick/types"
)

// ShareChange is a change of an engine's role.
type ShareChange struct {
	Engine types.TargetID
	Role   types.Role
}

// PlanPrefillShare returns the smallest set of changes after which the given share of
// the engines, from 0 to 1, has the prefill role. Prefill and decode each get at least
// one engine; with fewer than two engines there are no changes. Engines in the data
// centres that are furthest from the share change first.
func PlanPrefillShare(engines []Engine, share float64) []ShareChange {
	n := len(engines)
	if n < 2 {
		return nil
	}
	want := min(max(int(math.Round(share*float64(n))), 1), n-1)
	have := 0
	for _, e := range engines {
		if e.Role == types.RolePrefill {
			have++
		}
	}
	from, to := types.RoleDecode, types.RolePrefill
	if have > want {
		from, to = to, from
	}
	planned := slices.Clone(engines)
	slices.SortFunc(planned, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	var out []ShareChange
	for range max(want-have, have-want) {
		i := nextToChange(planned, from)
		if i < 0 {
			break
		}
		planned[i].Role = to
		out = append(out, ShareChange{planned[i].ID, to})
	}
	return out
}

// nextToChange returns the index of an engine with the role in the data centre with
// the largest fraction of such engines, or -1 if there is none.
func nextToChange(engines []Engine, role types.Role) int {
	total, withRole := map[types.DataCentreID]int{}, map[types.DataCentreID]int{}
	for _, e := range engines {
		total[e.Group.DataCentre]++
		if e.Role == role {
			withRole[e.Group.DataCentre]++
		}
	}
	best, bestFraction := -1, 0.0
	for i, e := range engines {
		dc := e.Group.DataCentre
		if fraction := float64(withRole[dc]) / float64(total[dc]); e.Role == role && fraction > bestFraction {
			best, bestFraction = i, fraction
		}
	}
	return best
}
