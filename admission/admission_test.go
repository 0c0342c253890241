package admission

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/types"
)

var start = time.Unix(1_000_000, 0)

// fill sends n requests and returns how many were accepted.
func fill(c *Controller, w *Workspace, weight int64, n int) (accepted int) {
	for range n {
		if _, _, ok := c.Admit(w, weight, 0, start); ok {
			accepted++
		}
	}
	return accepted
}

// Guards against a workspace that uses the capacity of all others, and against unused
// capacity that cannot be borrowed.
func TestBurstLeavesCapacityForOthers(t *testing.T) {
	c := NewController(Limits{MaxInFlight: 80, WorkspaceInFlight: 1000})
	var only, burst, quiet Workspace
	assert.Equal(t, fill(c, &only, 1, 100), 80, "requests accepted from the only active workspace")
	c = NewController(Limits{MaxInFlight: 80, WorkspaceInFlight: 1000})
	fill(c, &quiet, 1, 1)
	accepted := fill(c, &burst, 1, 1000)
	assert.Assert(t, accepted >= 69 && accepted < 80, "%d requests of the burst accepted, want 69 to 79", accepted)
	for range accepted {
		c.Release(&burst)
	}
	fill(c, &burst, 1, 69)
	assert.Equal(t, fill(c, &quiet, 1, 8), 8, "requests accepted within the reserve for workspaces within their share")
}

// Guards against a weight without effect, and against a priority that raises the share
// of a workspace.
func TestTicketDependsOnShareAndPriority(t *testing.T) {
	c := NewController(Limits{MaxInFlight: 1000, WorkspaceInFlight: 1000})
	var heavy, light Workspace
	borrowed := map[*Workspace]int{}
	for range 400 {
		for w, weight := range map[*Workspace]int64{&heavy: 3, &light: 1} {
			ticket, _, _ := c.Admit(w, weight, 0, start)
			if ticket.Borrowed {
				borrowed[w]++
			}
		}
	}
	// At equal rates the share of the light workspace is a quarter of all requests.
	assert.Equal(t, borrowed[&heavy], 0)
	assert.Assert(t, borrowed[&light] > 180 && borrowed[&light] < 220, "%d of 400 requests borrowed, want about 200", borrowed[&light])
	for {
		ticket, _, _ := c.Admit(&light, 1, 9, start)
		if ticket.Borrowed {
			assert.Assert(t, ticket.BudgetShare > borrowedBudgetShare && ticket.BudgetShare < 1)
			return
		}
	}
}

// Guards against counters that drift when requests start and end concurrently.
func TestCountsReturnToZero(t *testing.T) {
	c := NewController(Limits{MaxInFlight: 6, WorkspaceInFlight: 4})
	var w [2]Workspace
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 2000 {
				if _, _, ok := c.Admit(&w[i%2], int64(n%5), 0, start); ok {
					c.Release(&w[i%2])
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, c.InFlight(), int64(0))
	assert.Equal(t, w[0].InFlight()+w[1].InFlight(), int64(0))
}

// Guards against a limit that stays high on an overloaded target, falls to zero, or
// does not recover.
func TestTargetLimitAdapts(t *testing.T) {
	var limit atomic.Int64
	const maxRequests, predicted = 128, 100 * time.Millisecond
	AdaptLimit(&limit, 10, maxRequests, predicted, predicted)
	assert.Equal(t, limit.Load(), int64(0), "limit although first tokens are in time")
	for range 40 {
		AdaptLimit(&limit, 10, maxRequests, time.Second, predicted)
	}
	low := limit.Load()
	assert.Assert(t, low <= 20*LimitUnit, "limit is %d, want at most %d", low, 20*LimitUnit)
	for range 1000 {
		AdaptLimit(&limit, 1, maxRequests, time.Minute, predicted)
	}
	assert.Equal(t, limit.Load(), int64(minTargetLimit))
	for range 200_000 {
		AdaptLimit(&limit, limit.Load()/LimitUnit, maxRequests, predicted, predicted)
	}
	assert.Equal(t, limit.Load(), int64(maxRequests*LimitUnit))
}

// Guards against a retry storm: if every attempt fails, retries are limited to the
// saved ones plus a tenth of the requests.
func TestRetriesAreBounded(t *testing.T) {
	var b RetryBudget
	for range 10_000 {
		b.Earn()
	}
	retries := 0
	for range 1000 {
		b.Earn()
		for range 3 {
			if !b.Spend() {
				break
			}
			retries++
		}
	}
	assert.Assert(t, retries <= 50+100, "%d retries for 1000 requests, want at most 150", retries)
}

// Guards against a refusal with a missing or wrong reason.
func TestRefusalReasonAtDaemonLimit(t *testing.T) {
	c := NewController(Limits{MaxInFlight: 1, WorkspaceInFlight: 1})
	var a, b Workspace
	fill(c, &a, 1, 1)
	_, reason, ok := c.Admit(&b, 1, 0, start)
	assert.Assert(t, !ok)
	assert.Equal(t, reason, types.RefusedOverload)
}

// Guards against an inactive workspace that keeps its share for longer because the
// system clock was set back.
func TestActiveWeightIgnoresClockSteps(t *testing.T) {
	now := time.Now()
	c := NewController(Limits{MaxInFlight: 80, WorkspaceInFlight: 1000})
	var inactive, active Workspace
	c.activeWeight(&inactive, 3, now)
	c.activeWeight(&active, 1, now)
	at := clocktest.Step(now.Add(2*activePeriod), -60*time.Second)
	assert.Equal(t, c.activeWeight(&active, 1, at), int64(1))
}
