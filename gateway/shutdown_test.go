package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/shutdown"
)

// beginStop makes the gateway one of a process that ends after the given time.
func (w *testGateway) beginStop(after time.Duration) {
	now := time.Now()
	w.g.settings.Shutdown.Begin(shutdown.Schedule{Began: now, AcceptUntil: now.Add(after), End: now.Add(after)})
}

// Guards against a stopping process that sends a request to a target although it has to cut the
// response, and against one that refuses requests which end in time.
func TestRequestsThatOutlastTheProcessReachNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := []string{"id: 1\n\n", "id: 2\n\n"}
		w := newTestGateway()
		w.targets.send = func(context.Context, *Call) (Response, error) {
			return &pacedResponse{fakeResponse{status: 200, pieces: events}, 500 * time.Millisecond, false}, nil
		}
		w.beginStop(3900 * time.Millisecond)
		r, _ := w.serve(t.Context(), "/chat/x")
		assert.Equal(t, outcomeText(r.Outcome), "not_run stopping", "nothing is known about the route, whose time-out is after the stop")
		assert.Assert(t, r.RetryAfter > 0)
		assert.Equal(t, len(w.targets.calls), 0)

		w.g.settings.Shutdown = &shutdown.State{}
		for range 20 {
			r, _ = w.serve(t.Context(), "/chat/x")
			assert.Equal(t, outcomeText(r.Outcome), "answered")
		}
		w.beginStop(3900 * time.Millisecond)
		r, _ = w.serve(t.Context(), "/chat/x")
		assert.Equal(t, outcomeText(r.Outcome), "answered", "earlier responses of the route were short")
		time.Sleep(2 * time.Second)
		calls := len(w.targets.calls)
		r, _ = w.serve(t.Context(), "/chat/x")
		assert.Equal(t, outcomeText(r.Outcome), "not_run stopping")
		assert.Equal(t, len(w.targets.calls), calls)
	})
}

// Guards against a retry that a stopping process begins and cannot end, while the request is known
// not to have run and another process can take it.
func TestNoRetryThatOutlastsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = func(context.Context, *Call) (Response, error) {
			if w.g.settings.Shutdown.Schedule() == nil {
				w.beginStop(3 * time.Second)
			}
			return nil, ErrRefused
		}
		r, _ := w.serve(t.Context(), "/read/x")
		assert.Equal(t, outcomeText(r.Outcome), "not_run stopping")
		assert.Equal(t, len(w.targets.calls), 1)
	})
}

// Guards against requests in progress at the end of a stop whose outcome is not told, or counted as
// that of a caller who has left, and against a refusal of one that may have run.
func TestRequestsInProgressEndWithTheStop(t *testing.T) {
	for path, want := range map[string]string{"/once/x": "unknown stopping", "/chat/x": "not_run stopping"} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway()
			ctx, cancel := context.WithCancelCause(t.Context())
			w.targets.prefill = func(*Call) (Handle, error) { <-ctx.Done(); return Handle{}, ErrCanceled }
			w.targets.send = func(context.Context, *Call) (Response, error) { <-ctx.Done(); return nil, ErrCanceled }
			time.AfterFunc(time.Second, func() { cancel(ErrStopping) })
			r, caller := w.serve(ctx, path)
			assert.Equal(t, outcomeText(r.Outcome), want)
			assert.Assert(t, !r.Started && !caller.ended)
		})
	}
}

// Guards against an estimate from short responses only, while long ones that have not ended yet show
// that a request may outlast the process.
func TestResponsesInProgressCountForTheEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		respond := func(interval time.Duration, events ...string) {
			w.targets.send = func(context.Context, *Call) (Response, error) {
				return &pacedResponse{fakeResponse{status: 200, pieces: events}, interval, false}, nil
			}
		}
		respond(time.Millisecond, "id: 1\n\n")
		for range 20 {
			w.serve(t.Context(), "/chat/x")
		}
		respond(time.Second, "id: 1\n\n", "id: 2\n\n", "id: 3\n\n")
		var running sync.WaitGroup
		for range 5 {
			running.Go(func() { w.serve(t.Context(), "/chat/x") })
		}
		time.Sleep(2500 * time.Millisecond)
		w.beginStop(2900 * time.Millisecond)
		r, _ := w.serve(t.Context(), "/chat/x")
		assert.Equal(t, outcomeText(r.Outcome), "not_run stopping")
		running.Wait()
	})
}

// Guards against an estimate from the complete responses of a route only, most of whose requests end
// without one after a long time.
func TestRequestsWithoutResponseCountForTheEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = func(context.Context, *Call) (Response, error) { return &fakeResponse{status: 200}, nil }
		for range 20 {
			r, _ := w.serve(t.Context(), "/once/x")
			assert.Equal(t, outcomeText(r.Outcome), "answered")
		}
		w.targets.send = func(ctx context.Context, _ *Call) (Response, error) { <-ctx.Done(); return nil, ErrCanceled }
		for range 20 {
			r, _ := w.serve(t.Context(), "/once/x")
			assert.Equal(t, outcomeText(r.Outcome), "unknown timeout")
		}
		w.beginStop(3900 * time.Millisecond)
		calls := len(w.targets.calls)
		r, _ := w.serve(t.Context(), "/once/x")
		assert.Equal(t, outcomeText(r.Outcome), "not_run stopping")
		assert.Equal(t, len(w.targets.calls), calls)
	})
}
