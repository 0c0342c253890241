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

func message(t *testing.T, c *configuration.Config) *peerv1.View {
	t.Helper()
	b, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 1, Config: c})
	assert.NilError(t, err)
	return &peerv1.View{Configuration: b}
}

// Guards against a control daemon that lags behind reverting the configuration.
func TestOlderConfigurationIsNotTaken(t *testing.T) {
	s := NewStore("dc-00", nil)
	c := targetSize(3)
	c.Revision = 7
	assert.NilError(t, s.Update(message(t, c), time.Unix(1, 0)))
	old := targetSize(1)
	old.Revision = 6
	assert.NilError(t, s.Update(message(t, old), time.Unix(2, 0)))
	assert.Equal(t, s.Load().Config.Revision, types.Revision(7))
}

// Guards against a snapshot whose cost grows with data centres out of reach.
func TestFleetHoldsTargetsInReach(t *testing.T) {
	s := NewStore("dc-00", []types.DataCentreID{"dc-00", "dc-01"})
	assert.NilError(t, s.Update(message(t, targetSize(300)), time.Unix(1, 0)))
	assert.Equal(t, len(s.Load().Fleet.Targets()), 20)
}

// Guards against work for a target that a peer or the platform named as leaving.
func TestLeavingTargetIsMarked(t *testing.T) {
	s := NewStore("dc-00", nil)
	v := message(t, targetSize(2))
	v.Leaving = []string{"engine-00001"}
	assert.NilError(t, s.Update(v, time.Unix(1, 0)))
	f := s.Load().Fleet
	assert.Assert(t, f.Target("engine-00001").Leaving)
	assert.Assert(t, !f.Target("engine-00000").Leaving)
}
