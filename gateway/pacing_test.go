package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// limitTargets declares a limit for some targets.
func (w *testGateway) limitTargets(perSecond float64, ids ...types.TargetID) {
	for _, id := range ids {
		w.d.Load().Target(id).Load.Limit.Declare(perSecond, true, clock.Nanos(time.Now()))
	}
}

// callsTo returns the number of calls to a target.
func (w *testGateway) callsTo(id types.TargetID) (n int) {
	for _, c := range w.targets.calls {
		if c.Target.ID == id {
			n++
		}
	}
	return n
}

func respondWithEvent(context.Context, *Call) (Response, error) {
	return &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n"}}, nil
}

// Guards against requests beyond the declared limits of all targets of a plain service: they
// wait within their objective, and are refused at once otherwise.
func TestPlainRequestsKeepToLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = func(context.Context, *Call) (Response, error) {
			return &fakeResponse{status: 200, pieces: []string{"ok"}}, nil
		}
		w.limitTargets(4, "a", "b")
		began, refused := time.Now(), 0
		for range 40 {
			res, _ := w.serve(context.Background(), "/read/x")
			if outcomeText(res.Outcome) == "not_run targets_rate_limited" {
				refused++
				assert.Assert(t, res.RetryAfter > 0)
				time.Sleep(10 * time.Millisecond)
			}
		}
		assert.Equal(t, len(w.targets.calls)+refused, 40)
		allowed := 2 * (4*time.Since(began).Seconds() + 2)
		assert.Assert(t, float64(len(w.targets.calls)) <= allowed, "%d calls, %v allowed", len(w.targets.calls), allowed)
		w.limitTargets(0.5, "a", "b")
		for range 4 {
			w.serve(context.Background(), "/read/x")
		}
		at := time.Now()
		res, _ := w.serve(context.Background(), "/read/x")
		assert.Equal(t, outcomeText(res.Outcome), "not_run targets_rate_limited")
		assert.Equal(t, time.Since(at), time.Duration(0), "it is refused at once")
	})
}

// Guards against targets without a limit that get no more requests than those with one.
func TestTargetsWithoutLimitTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = respondWithEvent
		w.limitTargets(1, "p1", "d1")
		for range 30 {
			res, _ := w.serve(context.Background(), "/chat/x")
			assert.Equal(t, outcomeText(res.Outcome), "answered")
		}
		assert.Assert(t, w.callsTo("p1") <= 2 && w.callsTo("d1") <= 2, "%d and %d", w.callsTo("p1"), w.callsTo("d1"))
	})
}

// Guards against prefills in vain, for which no engine takes the decode.
func TestDecodeIsReservedBeforeThePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = respondWithEvent
		w.limitTargets(2, "d1", "d2")
		w.targets.prefill = func(c *Call) (Handle, error) {
			time.Sleep(200 * time.Millisecond)
			return Handle{c.Target, "h"}, nil
		}
		var all sync.WaitGroup
		var outcomes [40]string
		for i := range outcomes {
			all.Go(func() {
				res, _ := w.serve(context.Background(), "/chat/x")
				outcomes[i] = outcomeText(res.Outcome)
			})
		}
		all.Wait()
		answered := 0
		for _, o := range outcomes {
			if o == "answered" {
				answered++
			} else {
				assert.Equal(t, o, "not_run targets_rate_limited")
			}
		}
		assert.Equal(t, w.callsTo("p1")+w.callsTo("p2"), answered)
		assert.Equal(t, w.callsTo("d1")+w.callsTo("d2"), answered)
		assert.Assert(t, answered >= 2 && answered < 40)
	})
}

// Guards against a request that waits for a limit after its caller has disconnected.
func TestWaitForLimitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.limitTargets(5, "a", "b")
		for _, id := range []types.TargetID{"a", "b"} {
			for range 3 {
				w.d.Load().Target(id).Load.Reserve(time.Now())
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		at := time.Now()
		res, _ := w.serve(ctx, "/read/x")
		assert.Equal(t, time.Since(at), 50*time.Millisecond)
		assert.Equal(t, outcomeText(res.Outcome), "not_run caller_gone")
		assert.Equal(t, len(w.targets.calls), 0)
	})
}
