package planning

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

// engines returns an engine for each pair of characters: the data centre, and p for
// prefill or d for decode.
func engines(spec string) []Engine {
	var out []Engine
	for i := 0; i < len(spec); i += 2 {
		role := types.RoleDecode
		if spec[i+1] == 'p' {
			role = types.RolePrefill
		}
		out = append(out, Engine{
			ID: types.TargetID(rune('a' + i/2)), Group: Group{DataCentre: types.DataCentreID(spec[i : i+1])}, Role: role,
		})
	}
	return out
}

// Guards against more changes than the share requires, against changes concentrated in
// one data centre, and against a role without engines.
func TestPlanPrefillShare(t *testing.T) {
	for _, c := range []struct {
		name, engines string
		share         float64
		want          int
		role          types.Role
	}{
		{"share met", "1p1d2p2d", 0.5, 0, 0},
		{"too few prefill engines", "1p1d1d1d2d2d2d2d", 0.5, 3, types.RolePrefill},
		{"too many prefill engines", "1p1p1p2p2p2d", 0.5, 2, types.RoleDecode},
		{"at least one decode engine", "1d1d1d", 1, 2, types.RolePrefill},
		{"at least one prefill engine", "1p1p1p", 0, 2, types.RoleDecode},
		{"one engine", "1d", 0.5, 0, 0},
	} {
		got := PlanPrefillShare(engines(c.engines), c.share)
		assert.Equal(t, len(got), c.want, c.name)
		for _, g := range got {
			assert.Equal(t, g.Role, c.role, c.name)
		}
	}
	got := PlanPrefillShare(engines("1d1d1d2d2d2d"), 0.33)
	assert.Equal(t, len(got), 2)
	assert.Assert(t, (got[0].Engine < "d") != (got[1].Engine < "d"), "changes %v, want one in each data centre", got)
}
