package node

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// Guards against a software version whose engines all prefill or all decode, while their KV cache is
// of no use to those of another version.
func TestEachSoftwareVersionHasBothRoles(t *testing.T) {
	k := newTestRoleController(&fakeRoleSetter{}, 0)
	for _, id := range []types.TargetID{"e", "f"} {
		k.directory.Put(directory.Entry{ID: id, Service: "llm", Role: types.RolePrefill, Version: "v2"})
	}
	k.directory.Put(directory.Entry{ID: "g", Service: "llm", Role: types.RolePrefill, Version: "v3"})
	var changed []string
	for _, c := range k.plan(time.Now()) {
		v := string(k.directory.Load().Target(c.Engine).Version)
		changed = append(changed, v+" to "+c.Role.String())
	}
	slices.Sort(changed)
	assert.DeepEqual(t, changed, []string{" to prefill", " to prefill", "v2 to decode", "v3 to decode"})
	assert.Equal(t, len(planVersion([]planning.Engine{{Role: types.RolePrefill}}, 0.5, false)), 0)
}
