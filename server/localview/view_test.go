package localview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

func viewWithConfig(t *testing.T, c *configuration.Config) *peerv1.View {
	t.Helper()
	b, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 1, Config: c})
	assert.NilError(t, err)
	return &peerv1.View{Configuration: b}
}

// Guards against a lagging control daemon that reverts the configuration to an older revision.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := NewStore("dc-00", nil)
	c := largeConfig(3)
	c.Revision = 7
	assert.NilError(t, s.Update(viewWithConfig(t, c), time.Unix(1, 0)))
	old := largeConfig(1)
	old.Revision = 6
	assert.NilError(t, s.Update(viewWithConfig(t, old), time.Unix(2, 0)))
	assert.Equal(t, s.Load().Config.Revision, types.Revision(7))
}

// Guards against a snapshot whose cost grows with the number of data centres out of reach.
func TestFleetContainsOnlyTargetsInReach(t *testing.T) {
	s := NewStore("dc-00", []types.DataCentreID{"dc-00", "dc-01"})
	assert.NilError(t, s.Update(viewWithConfig(t, largeConfig(300)), time.Unix(1, 0)))
	assert.Equal(t, len(s.Load().Fleet.Targets()), 20)
}

// Guards against requests to a target that a peer or the platform reported as leaving.
func TestLeavingTargetIsMarked(t *testing.T) {
	s := NewStore("dc-00", nil)
	v := viewWithConfig(t, largeConfig(2))
	v.Leaving = []string{"engine-00001"}
	assert.NilError(t, s.Update(v, time.Unix(1, 0)))
	f := s.Load().Fleet
	assert.Assert(t, f.Target("engine-00001").Leaving)
	assert.Assert(t, !f.Target("engine-00000").Leaving)
}
