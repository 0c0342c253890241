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

func fill(c *Controller, w *Workspace, weight int64, n int) (accepted int) {
	for range n {
		if _, _, ok := c.Admit(w, weight, 0, start); ok {
			accepted++
		}
	}
	return accepted
}

// Guards against a workspace that takes the places of all others, and against
// unused share that nobody can use.
func TestBurstLeavesPlacesForOthers(t *testing.T) {
	c := NewController(Limits{MaxInFlight: 80, WorkspaceInFlight: 1000})
	var alone, burst, quiet Workspace
	assert.Equal(t, fill(c, &alone, 1, 100), 80, "a workspace on its own may use everything")
	c = NewController(Limits{MaxInFlight: 80, WorkspaceInFlight: 1000})
	fill(c, &quiet, 1, 1)
	taken := fill(c, &burst, 1, 1000)
	assert.Assert(t, taken >= 69 && taken < 80, "the burst has %d places", taken)
	for range taken {
		c.Release(&burst)
	}
	fill(c, &burst, 1, 69)
	assert.Equal(t, fill(c, &quiet, 1, 8), 8, "an eighth stays free beyond the burst")
}

// Guards against a weight that does not count, and against a priority that
// lifts a workspace over its share.
func TestTermsFollowShareAndPriority(t *testing.T) {
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
	assert.Assert(t, borrowed[&light] > 180 && borrowed[&light] < 220, "%d of 400 borrowed", borrowed[&light])
	for {
		ticket, _, _ := c.Admit(&light, 1, 9, start)
		if ticket.Borrowed {
			assert.Assert(t, ticket.BudgetShare > borrowedBudget && ticket.BudgetShare < 1)
			return
		}
	}
}

// Guards against counts that drift when requests start and end concurrently.
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

// Guards against a limit that stays high on an overloaded target, falls to
// nothing, or does not recover.
func TestTargetLimitAdapts(t *testing.T) {
	var limit atomic.Int64
	const most, predicted = 128, 100 * time.Millisecond
	AdaptLimit(&limit, 10, most, predicted, predicted)
	assert.Equal(t, limit.Load(), int64(0), "no limit while first tokens are on time")
	for range 40 {
		AdaptLimit(&limit, 10, most, time.Second, predicted)
	}
	low := limit.Load()
	assert.Assert(t, low <= 20*LimitUnit, "limit %d", low)
	for range 1000 {
		AdaptLimit(&limit, 1, most, time.Minute, predicted)
	}
	assert.Equal(t, limit.Load(), int64(minLimit))
	for range 200_000 {
		AdaptLimit(&limit, limit.Load()/LimitUnit, most, predicted, predicted)
	}
	assert.Equal(t, limit.Load(), int64(most*LimitUnit))
}

// Guards against a retry storm: with every attempt failing, the retries of a
// service stay at a tenth of its requests beyond what it had saved.
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
	assert.Assert(t, retries <= 50+100, "%d retries of 1000 requests", retries)
}

// Guards against a refusal without its reason.
func TestFullDaemonRefuses(t *testing.T) {
	c := NewController(Limits{MaxInFlight: 1, WorkspaceInFlight: 1})
	var a, b Workspace
	fill(c, &a, 1, 1)
	_, reason, ok := c.Admit(&b, 1, 0, start)
	assert.Assert(t, !ok)
	assert.Equal(t, reason, types.RefusedOverload)
}

// Guards against shares that are not shared out anew because the time of day was
// set back: a workspace that has gone would keep its share for that long.
func TestClockStepsDoNotKeepShares(t *testing.T) {
	now := time.Now()
	c := NewController(Limits{MaxInFlight: 80, WorkspaceInFlight: 1000})
	var gone, stays Workspace
	c.activeWeight(&gone, 3, now)
	c.activeWeight(&stays, 1, now)
	at := clocktest.Step(now.Add(2*activePeriod), -60*time.Second)
	assert.Equal(t, c.activeWeight(&stays, 1, at), int64(1))
}
