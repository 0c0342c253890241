package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// exchange serves one request. It runs on one goroutine.
type exchange struct {
	g         *Gateway
	r         *Request
	w         Responder
	table     *routes.Table
	route     *routes.Route
	service   *routes.Service
	serviceID types.ServiceID
	budget    *admission.RetryBudget
	deadline  time.Time
	caller    context.Context // ends when the caller is gone
	ctx       context.Context // ends at the deadline, too

	attempt    types.Attempt
	excluded   []types.TargetID
	tries      int  // requests that may have reached a target
	runs       int  // tries that may have run
	prefills   int  // prefill requests that may have reached an engine
	started    bool // the head of an answer was passed to the caller
	first      time.Duration
	status     int // of the answer that was passed to the caller
	retryAfter time.Duration
	held       int64 // bytes of answers that wait for their end
	trail      []Event
	lastTarget types.TargetID
	lastErr    error
}

// maxTries bounds the requests that are sent for one attempt of a caller,
// whatever the route allows to run.
const maxTries = 4

func (x *exchange) now() time.Time { return x.g.settings.Now() }

func (x *exchange) serve() types.Outcome {
	if x.ctx.Err() != nil {
		return x.attempt.Refuse(types.RefusedDeadline)
	}
	if x.route.Kind == routes.KindStream {
		return x.serveStream()
	}
	return x.servePlain()
}

// end reports the outcome.
func (x *exchange) end(o types.Outcome) Result {
	e := x.event(KindOutcome)
	e.Outcome, e.TimeToFirst, e.Status, e.Attempts = o, x.first, x.status, x.tries+x.prefills
	e.Late = x.route != nil && x.first > x.route.Objective
	x.decided(e)
	x.release()
	x.g.observer.ObserveEnd(x.trail)
	return Result{Outcome: o, Started: x.started, RetryAfter: x.retryAfter}
}

func (x *exchange) decided(e Event) {
	x.g.observer.ObserveDecision(&e)
	x.trail = append(x.trail, e)
}

func (x *exchange) event(k Kind) Event {
	e := Event{Kind: k, Request: x.r, Service: x.serviceID, Elapsed: x.now().Sub(x.r.Arrived)}
	if x.table != nil {
		e.ConfigVersion = x.table.Version
	}
	if x.route != nil {
		e.Route = x.route.Name
	}
	return e
}

// query returns what the placement of the next try depends on.
func (x *exchange) query() *placement.Request {
	q := &placement.Request{Bytes: x.r.Bytes, Hash: x.r.Hash, Excluded: x.excluded, Now: x.now()}
	if x.r.Prompt != nil {
		q.Prompt = *x.r.Prompt
	}
	return q
}

func (x *exchange) candidates() []*directory.Target {
	return x.g.directory.Load().Service(x.serviceID)
}

// pick returns the best choice. Targets that are in a pause after failures are
// used when there are no others: the pause is a guess, a refusal is certain.
func (x *exchange) pick(f placement.Filter, s placement.Scorer) placement.Choice {
	q := x.query()
	c := placement.Pick(x.candidates(), q, f, s)
	if c.Target == nil {
		q.Now = q.Now.Add(time.Hour)
		c = placement.Pick(x.candidates(), q, f, s)
	}
	return c
}

// call returns the common part of a call.
func (x *exchange) call(t *directory.Target, s Stage) *Call {
	return &Call{
		Request: x.r, Target: t, Stage: s, Deadline: x.deadline, Priority: -1,
		ProgressTimeout: x.deadline.Sub(x.now()), ResumeAfter: x.r.ResumeAfter, RequireLiveConnection: !x.route.Repeatable(),
	}
}

// work keeps the own work on a target while a call is in progress.
type work struct {
	g *Gateway
	t *directory.Target
	w directory.Work
}

func (x *exchange) begin(t *directory.Target, w directory.Work) *work {
	t.Load.BeginWork(w, x.now())
	x.g.share.NotifyLoadChange(t)
	return &work{x.g, t, w}
}

// change replaces the work.
func (k *work) change(w directory.Work) {
	k.t.Load.Local.Add(w.Minus(k.w))
	k.w = w
	k.g.share.NotifyLoadChange(k.t)
}

func (k *work) end() { k.change(directory.Work{}) }

// failure is a failed call in the terms of this layer.
type failure struct {
	retry   types.RetryReason
	refusal types.RefusalReason
	notRun  bool // the target has not run the request
	notSent bool // the target has not seen the request
}

func classify(err error) failure {
	switch {
	case errors.Is(err, ErrNotSent):
		return failure{types.RetryUnreachable, types.RefusedTargetUnreachable, true, true}
	case errors.Is(err, ErrRefused), errors.Is(err, ErrMisdirected), errors.Is(err, ErrWrongRole):
		return failure{types.RetryTargetRefused, types.RefusedTargetFailed, true, false}
	case errors.Is(err, ErrStalled):
		return failure{types.RetryTargetSilent, types.RefusedTargetSilent, false, false}
	case errors.Is(err, ErrResponseTooLarge):
		return failure{types.RetryTooLong, types.RefusedAnswerTooLong, false, false}
	case errors.Is(err, ErrInvalidResponse):
		return failure{types.RetryTruncated, types.RefusedAnswerTruncated, false, false}
	}
	return failure{types.RetryTargetFailed, types.RefusedTargetFailed, false, false}
}

// wrongRolePause is how long an engine gets no work after it has refused its
// role: about as long as its registration lags behind.
const wrongRolePause = 500 * time.Millisecond

// blame records a failed call with the target.
func (x *exchange) blame(t *directory.Target, err error) {
	now := x.now()
	x.lastTarget, x.lastErr = t.ID, err
	x.excluded = append(x.excluded, t.ID)
	switch {
	case x.caller.Err() != nil:
		// A caller that leaves says nothing about the target.
	case errors.Is(err, ErrMisdirected):
		t.Load.Leaving.Store(true)
	case errors.Is(err, ErrWrongRole):
		t.Load.RetryAfter.Store(clock.Nanos(now.Add(wrongRolePause)))
	case errors.Is(err, ErrNotSent):
		t.Load.RecordUnreachable(now)
	default:
		t.Load.RecordFailure(now)
	}
}

// stopped returns the outcome of a request whose context has ended, or nil.
func (x *exchange) stopped() types.Outcome {
	switch {
	case x.caller.Err() != nil:
		return x.attempt.Refuse(types.RefusedCallerGone)
	case x.ctx.Err() != nil:
		return x.attempt.Refuse(types.RefusedTimeout)
	}
	return nil
}

// mayRetry reports whether a failed call may be followed by another one, and
// takes it from the budget. prefill calls run nothing and may be repeated.
func (x *exchange) mayRetry(f failure, prefill bool) bool {
	ok := x.retryAllowed(f, prefill) && x.budget.SpendN(x.retryCost(f, prefill))
	e := x.event(KindRetry)
	if !ok {
		e.Kind = KindNoRetry
	}
	e.RetryReason, e.Target, e.Err = f.retry, x.lastTarget, x.lastErr
	x.decided(e)
	return ok
}

// retryCost returns how many requests beyond the first ones a retry sends. The
// first prefill that an engine accepts is free; one that it rejects was charged
// when it was. After a failed run the prompt may have to be read again as well.
func (x *exchange) retryCost(f failure, prefill bool) int64 {
	switch {
	case prefill || f.notSent:
		return 0
	case x.prefills > 0:
		return 2
	}
	return 1
}

func (x *exchange) retryAllowed(f failure, prefill bool) bool {
	if x.tries+x.prefills >= maxTries+1 {
		return false
	}
	if f.notRun || prefill {
		return true
	}
	repeatable := x.route.Repeatable() || x.route.Kind == routes.KindStream && x.route.Resumable
	return repeatable && x.runs < x.route.MaxRuns
}
