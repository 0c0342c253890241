package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/types"
)

// maxRecordedBody bounds the answer body that is kept with a key.
const maxRecordedBody = 4 << 10

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
	for retries := 0; ; retries++ {
		dec := d.router.Route(d.views.Load().Fleet, &r, time.Now(), seed())
		if dec.Target == nil {
			return nil, a.Refuse(dec.Reason)
		}
		reply, err := d.callTarget(c, dec.Target, a)
		if err == nil {
			return reply, types.Answered{}
		}
		d.failed(dec.Target, c.ID, err)
		f := classify(err)
		if retries == d.settings.MaxRetries || (c.Class != types.ClassIdempotent && a.Sent()) {
			return nil, a.Refuse(f.refusal)
		}
		if !budget.Spend() {
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

// serveKeyed runs a call at most once for its key.
func (d *Daemon) serveKeyed(c *call, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	k := idempotency.Key{Service: c.Service, Workspace: c.Workspace, Key: c.Key}
	attempt := d.settings.VM + "/" + strconv.FormatUint(d.attempts.Add(1), 36) + "/" + d.incarnation
	verdict, answer, err := d.claim(c, k, attempt)
	if err != nil {
		if v.Config.Services[c.Service].Value.RunWithoutLog {
			return d.dispatchCall(c, v, a)
		}
		// The claim may still reach the log; the release lets the key run later.
		d.finishKey(c, k, attempt, idempotency.KindReleased, nil)
		return nil, a.Refuse(types.RefusedKeyUnavailable)
	}
	switch verdict {
	case idempotency.VerdictRun:
	case idempotency.VerdictCompleted:
		return replay(answer), types.Answered{}
	case idempotency.VerdictConflict:
		return nil, a.Refuse(types.RefusedKeyConflict)
	case idempotency.VerdictInProgress:
		return nil, a.RefuseEarlier(types.RefusedKeyInProgress)
	default:
		return nil, a.RefuseEarlier(types.RefusedKeyUnknown)
	}
	reply, o := d.dispatchCall(c, v, a)
	end, recorded := keyEnd(reply, o)
	d.finishKey(c, k, attempt, end, recorded)
	return reply, o
}

// claim asks for the key until the caller's deadline. Repeating the question
// for one attempt is harmless.
func (d *Daemon) claim(c *call, k idempotency.Key, attempt string) (idempotency.Verdict, *idempotency.Answer, error) {
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	return d.keys.Claim(ctx, k, attempt, digest(c))
}

// digest identifies the content of a call, so that a key that is used for
// another request is detected.
func digest(c *call) uint64 {
	h := xxhash.New()
	var size [8]byte
	for _, s := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(s)
	}
	return h.Sum64()
}

func replay(a *idempotency.Answer) *engine.Reply {
	if a == nil {
		return &engine.Reply{Status: fasthttp.StatusOK}
	}
	return &engine.Reply{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// finishKey records the end of an attempt in the background, so that the caller
// does not wait for the log. If that fails the key stays in progress and later
// counts as unknown, which is safe.
func (d *Daemon) finishKey(c *call, k idempotency.Key, attempt string, end idempotency.Kind, a *idempotency.Answer) {
	d.finishing.Add(1)
	go func() {
		defer d.finishing.Done()
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.ProgressTimeout)
		defer cancel()
		if err := d.keys.Finish(ctx, k, attempt, end, a); err != nil {
			d.log.WithError(err).WithField(daemon.FieldRequest, c.ID).Warn("the end of a keyed request was not recorded")
		}
	}()
}

func keyEnd(reply *engine.Reply, o types.Outcome) (idempotency.Kind, *idempotency.Answer) {
	switch o.(type) {
	case types.Answered:
		a := &idempotency.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
		if len(a.Body) > maxRecordedBody {
			a.Body, a.BodyDropped = nil, true
		}
		return idempotency.KindCompleted, a
	case types.NotRun:
		return idempotency.KindReleased, nil
	}
	return idempotency.KindUnknown, nil
}
