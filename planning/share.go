package planning

import (
	"cmp"
	"math"
	"slices"

	"github.com/lentilpick/lentilpick/types"
)

// ShareChange is an order to give an engine another role.
type ShareChange struct {
	Engine types.TargetID
	Role   types.Role
}

// KeepShare returns the fewest changes after which a share of the engines, from
// 0 to 1, has the prefill role. With two engines or more each role has at least
// one. Changes go to the data centres that are furthest from the share.
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
	left := slices.Clone(engines)
	slices.SortFunc(left, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	var out []ShareChange
	for range max(want-have, have-want) {
		i := mostOf(left, from)
		if i < 0 {
			break
		}
		left[i].Role = to
		out = append(out, ShareChange{left[i].ID, to})
	}
	return out
}

// mostOf returns the index of an engine with the role in the data centre where
// the largest part of the engines has it, or -1.
func mostOf(engines []Engine, role types.Role) int {
	total, with := map[types.DataCentreID]int{}, map[types.DataCentreID]int{}
	for _, e := range engines {
		total[e.Group.DataCentre]++
		if e.Role == role {
			with[e.Group.DataCentre]++
		}
	}
	best, bestPart := -1, 0.0
	for i, e := range engines {
		dc := e.Group.DataCentre
		if part := float64(with[dc]) / float64(total[dc]); e.Role == role && part > bestPart {
			best, bestPart = i, part
		}
	}
	return best
}
