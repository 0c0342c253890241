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

func newTestPlanner(planned bool) (*rolePlanner, *[]*peerv1.ModelDemand) {
	c := configuration.New()
	c.Services["s"] = configuration.Entry[configuration.Service]{Value: configuration.Service{ID: "s", RolesPlanned: planned}}
	local := &[]*peerv1.ModelDemand{}
	p := &rolePlanner{
		dc: "x", config: func() *configuration.Config { return c }, gate: &authority.Gate{}, fleet: newFleetState("a"),
		localDemand: func() []*peerv1.ModelDemand { return *local },
		planners:    map[types.ServiceID]*servicePlanner{}, lastTotals: map[demandSource]planning.Demand{},
	}
	p.roles.Store(&map[types.TargetID]plannedRole{})
	return p, local
}

// Guards against a daemon that restarts and counts the cumulative total of a
// long-running peer as the demand of one second.
func TestFirstTotalIsIgnored(t *testing.T) {
	p, local := newTestPlanner(true)
	*local = []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 10}}
	peer := membership.Peer{VM: "b", DataCentre: "x", Incarnation: "1"}
	p.fleet.setPeerDemand(peer, []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 1_000_000}})
	assert.Equal(t, p.demandSinceLastStep()["m"], planning.Demand{})
	p.fleet.setPeerDemand(peer, []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 1_000_500, DecodeTokens: 7}})
	assert.Equal(t, p.demandSinceLastStep()["m"], planning.Demand{Prefill: 500, Decode: 7})
	peer.Incarnation = "2"
	p.fleet.setPeerDemand(peer, []*peerv1.ModelDemand{{Model: "m", PrefillTokens: 3}})
	assert.Equal(t, p.demandSinceLastStep()["m"], planning.Demand{})
}

// Guards against a new lease holder that reverts the roles planned by an earlier
// holder, and against planned roles for a service whose roles are configured.
func TestRoleWithoutPlanIsUnchanged(t *testing.T) {
	target := configuration.Target{ID: "t", Service: "s", Role: types.RoleMixed}
	p, _ := newTestPlanner(true)
	assert.Equal(t, p.roleOf(target, types.RoleDecode), types.RoleDecode)
	p.roles.Store(&map[types.TargetID]plannedRole{"t": {types.RolePrefill, time.Now()}})
	assert.Equal(t, p.roleOf(target, types.RoleDecode), types.RolePrefill)
	p, _ = newTestPlanner(false)
	assert.Equal(t, p.roleOf(target, types.RoleDecode), types.RoleMixed)
}
