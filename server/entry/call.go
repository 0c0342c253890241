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
	c, bad := parseCall(ctx, now)
	if bad != nil {
		d.refuseInput(ctx, bad, fasthttp.StatusBadRequest)
		return
	}
	reply, o := d.serveCall(c)
	d.counters.finished(o)
	if reply == nil {
		refuse(c.ID, o).write(ctx)
		return
	}
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType(reply.ContentType)
	ctx.Response.Header.Set("X-Request-Id", string(c.ID))
	ctx.SetBody(reply.Body)
}

func (d *Daemon) serveCall(c *call) (*engine.Reply, types.Outcome) {
	var a types.Attempt
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

// dispatchCall sends a call to a target. Only an idempotent call is sent again
// after a failure; any other is tried elsewhere only while nothing was sent.
func (d *Daemon) dispatchCall(c *call, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	budget := budgetOf(v, c.Service)
	budget.Earn()
	r := routing.Request{Service: c.Service, Deadline: c.Deadline}
	if c.Affinity != "" {
		r.AffinityKey = routing.HashKey(c.Affinity)
	}
	var last failure
	for retries := 0; ; retries++ {
		dec := d.router.Route(d.views.Load().Fleet, &r, time.Now(), seed())
		if dec.Target == nil {
			return nil, last.refuse(a, dec.Reason)
		}
		reply, err := d.callTarget(c, dec.Target, a)
		if err == nil {
			return reply, types.Answered{}
		}
		d.failed(dec.Target, c.ID, err)
		f := classify(err)
		last = f
		if retries == d.settings.MaxRetries || (c.Class != types.ClassIdempotent && a.Sent()) {
			return nil, a.Refuse(f.refusal)
		}
		if !f.mayRetry(budget) {
			return nil, a.Refuse(types.RefusedRetryBudget)
		}
		d.counters.retried(f.retry)
		r.Excluded = append(r.Excluded, dec.Target.ID)
	}
}

func (d *Daemon) callTarget(c *call, t *routing.Target, a *types.Attempt) (*engine.Reply, error) {
	t.Counters.InFlight.Add(1)
	defer t.Counters.InFlight.Add(-1)
	dispatch := a.Begin()
	reply, err := d.targets.Call(t.Address, &engine.Call{
		RequestID: c.ID, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, Key: c.Key,
	}, c.Deadline)
	if errors.Is(err, engine.ErrNotSent) {
		dispatch.NotStarted()
	}
	if err == nil {
		t.Counters.Failures.Store(0)
		observe(t, 0, 0) // plain services have no prediction; the limit only recovers from failures
	}
	return reply, err
}
