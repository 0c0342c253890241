package entry

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/types"
)

func (d *Daemon) handleCall(ctx *fasthttp.RequestCtx, now time.Time) {
	c, inputErr := parseCall(ctx, now)
	if inputErr != nil {
		d.refuseInput(ctx, inputErr, fasthttp.StatusBadRequest)
		return
	}
	reply, o := d.serveCall(c)
	d.counters.recordOutcome(o)
	if reply == nil {
		newRefusal(c.ID, o).write(ctx)
		return
	}
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType(reply.ContentType)
	ctx.Response.Header.Set("X-Request-Id", string(c.ID))
	ctx.SetBody(reply.Body)
}

func (d *Daemon) serveCall(c *call) (reply *engine.Reply, o types.Outcome) {
	var a types.Attempt
	defer d.recoverPanic(c.ID, func() { reply, o = nil, a.Refuse(types.RefusedInternal) })
	v := d.views.Load()
	s, ok := v.Config.Services[c.Service]
	if !ok || s.Value.Kind != types.KindPlain {
		return nil, a.Refuse(types.RefusedUnknownService)
	}
	w, _, o := d.admit(v, c.Workspace, c.Service, 0, &a)
	if o != nil {
		return nil, o
	}
	defer d.admission.Release(w.Admission)
	if c.Class == types.ClassKeyed {
		return d.serveKeyed(c, v, &a)
	}
	return d.dispatchCall(c, v, &a)
}

// dispatchCall sends a call to a target. After a failure, an idempotent call is retried on another
// target; any other call is retried only if no attempt has sent any data.
func (d *Daemon) dispatchCall(c *call, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	budget := retryBudget(v, c.Service)
	budget.Earn()
	r := routing.Request{Service: c.Service, Deadline: c.Deadline}
	if c.Affinity != "" {
		r.AffinityKey = routing.HashKey(c.Affinity)
	}
	var lastFailure failure
	for retries := 0; ; retries++ {
		decision := d.router.Route(d.views.Load().Fleet, &r, time.Now(), newRand())
		if decision.Target == nil {
			return nil, lastFailure.refuse(a, decision.Reason)
		}
		if !d.mayBegin(a, c.Service, c.Deadline) {
			return nil, a.Refuse(types.RefusedStopping)
		}
		reply, err := d.callTarget(c, decision.Target, a)
		switch {
		case err == nil:
			d.recordDuration(c.Service, c.Arrived)
			return reply, types.Answered{}
		case errors.Is(err, errStopped):
			o := a.Refuse(types.RefusedStopping)
			d.logEnded(c.ID, o)
			return nil, o
		case errors.Is(err, errPanicked):
			return nil, a.Refuse(types.RefusedInternal)
		}
		d.recordFailure(decision.Target, c.ID, err)
		f := classify(err)
		lastFailure = f
		if retries == d.settings.MaxRetries || (c.Class != types.ClassIdempotent && a.Sent()) {
			return nil, a.Refuse(f.refusal)
		}
		if !f.mayRetry(budget) {
			return nil, a.Refuse(types.RefusedRetryBudget)
		}
		d.counters.recordRetry(f.retry)
		r.Excluded = append(r.Excluded, decision.Target.ID)
	}
}

type callResult struct {
	reply *engine.Reply
	err   error
}

// errPanicked ends a dispatch that panicked.
var errPanicked = errors.New("panic while calling the target")

// callTarget sends a call to a target and waits for the response, but not beyond the end of a stop. The
// response is read by a goroutine of its own, because reading from a target cannot be cancelled.
func (d *Daemon) callTarget(c *call, t *routing.Target, a *types.Attempt) (*engine.Reply, error) {
	if d.requests.Err() != nil {
		return nil, errStopped
	}
	dispatch := a.Begin()
	results := make(chan callResult, 1)
	go func() {
		defer d.recoverPanic(c.ID, func() { results <- callResult{err: errPanicked} })
		results <- d.exchangeCall(c, t, dispatch)
	}()
	select {
	case r := <-results:
		return r.reply, r.err
	case <-d.requests.Done():
		return nil, errStopped
	}
}

func (d *Daemon) exchangeCall(c *call, t *routing.Target, dispatch types.Dispatch) callResult {
	t.Counters.InFlight.Add(1)
	defer t.Counters.InFlight.Add(-1)
	reply, err := d.targets.Call(t.Address, &engine.Call{
		RequestID: c.ID, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, Key: c.Key,
	}, c.Deadline)
	if errors.Is(err, engine.ErrNotSent) {
		dispatch.NotStarted()
	}
	if err == nil {
		t.Counters.Failures.Store(0)
		adaptTargetLimit(t, 0, 0) // calls of plain services have no predicted latency, so the limit only recovers from failures
	}
	return callResult{reply, err}
}
