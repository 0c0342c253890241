package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

func planFixture(planned bool) (*rolePlanner, *[]*peerv1.ModelDemand) {
	c := configuration.New()
	c.Services["s"] = configuration.Entry[configuration.Service]{Value: configuration.Service{ID: "s", RolesPlanned: planned}}
	own := &[]*peerv1.ModelDemand{}
	p := &rolePlanner{
		dc: "x", config: func() *configuration.Config { return c }, gate: &authority.Gate{}, fleet: newFleetState("a"),
		own:      func() []*peerv1.ModelDemand { return *own },
		planners: map[types.ServiceID]*servicePlanner{}, seen: map[demandSource]planning.Demand{},
	}
	p.roles.Store(&map[types.TargetID]plannedRole{})
	return p, own
}

// Guards against the total of a long-running peer counting as the demand of one
// second after a restart of this daemon.
func TestFirstTotalIsNoDemand(t *testing.T) {
	p, own := planFixture(true)
	*own = []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 10}}
	peer := membership.Peer{VM: "b", DataCentre: "x", Incarnation: "1"}
	p.fleet.setDemand(peer, []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 1_000_000}})
	assert.Equal(t, p.newDemand()["m"], planning.Demand{})
	p.fleet.setDemand(peer, []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 1_000_500, DecodeTokens: 7}})
	assert.Equal(t, p.newDemand()["m"], planning.Demand{Prefill: 500, Decode: 7})
	peer.Incarnation = "2"
	p.fleet.setDemand(peer, []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 3}})
	assert.Equal(t, p.newDemand()["m"], planning.Demand{})
}

// Guards against a new lease holder that reverts the roles which an earlier
// holder planned, and against a plan for a service whose roles are configured.
func TestRoleWithoutPlanStays(t *testing.T) {
	target := configuration.Target{ID: "t", Service: "s", Role: types.RoleMixed}
	p, _ := planFixture(true)
	assert.Equal(t, p.roleOf(target, types.RoleDecode), types.RoleDecode)
	p.roles.Store(&map[types.TargetID]plannedRole{"t": {types.RolePrefill, time.Now()}})
	assert.Equal(t, p.roleOf(target, types.RoleDecode), types.RolePrefill)
	p, _ = planFixture(false)
	assert.Equal(t, p.roleOf(target, types.RoleDecode), types.RoleMixed)
}
