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
	"github.com/lentilpick/lentilpick/shutdown"
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
	caller    Caller
	budget    *admission.RetryBudget
	durations *shutdown.RouteDurations
	progress  shutdown.Progress
	deadline  time.Time
	callerCtx context.Context // ends when the caller disconnects
	ctx       context.Context // ends at the deadline as well

	// binding restricts a stream to the software version that has begun it or has to.
	binding versionBinding

	callerAttempt types.Attempt
	peersTried    bool // the request was sent, or was to be sent, through another daemon
	unreachable   int  // targets to which no connection could be opened
	excluded      []types.TargetID
	attempts      int  // requests that may have reached a target, except prefills
	runs          int  // attempts that may have run
	prefills      int  // prefill requests that may have reached an engine
	started       bool // the head of a response was passed to the caller
	events        int  // reads with complete events that were passed to the caller
	timeToFirst   time.Duration
	status        int // of the response that was passed to the caller
	retryAfter    time.Duration
	reserved      reservedTime
	buffered      int64 // bytes of buffered responses
	decisions     []Event
	lastTarget    types.TargetID
	lastErr       error
}

// maxAttempts bounds the retries for one attempt of a caller, independently of the
// route's MaxRuns: once maxAttempts+1 requests were sent, prefills included, there are
// no further retries.
const maxAttempts = 4

func (x *exchange) now() time.Time { return x.g.settings.Now() }

// mayBegin reports whether the process lives long enough for the request, or for another
// attempt of it.
func (x *exchange) mayBegin() bool {
	return x.g.settings.Shutdown.Allows(x.now(), x.deadline, x.durations)
}

func (x *exchange) serve() types.Outcome {
	if x.ctx.Err() != nil {
		return x.callerAttempt.Refuse(types.RefusedDeadline)
	}
	if x.route.Kind == routes.KindStream {
		return x.serveStream()
	}
	return x.servePlain()
}

// end reports the outcome to the observer and releases the buffers.
func (x *exchange) end(o types.Outcome) Result {
	e := x.newEvent(KindOutcome)
	e.Outcome, e.TimeToFirst, e.Status, e.Attempts, e.Events = o, x.timeToFirst, x.status, x.attempts+x.prefills, x.events
	e.Late = x.route != nil && x.timeToFirst > x.route.Objective
	if reason, failed := types.ReasonOf(o); failed && reason == types.RefusedInternal {
		e.Err = x.lastErr
	}
	if _, answered := o.(types.Answered); answered {
		x.progress.End(e.Elapsed)
	} else if x.durations != nil {
		x.progress.Extend(e.Elapsed)
	}
	x.recordDecision(e)
	x.releaseBuffers()
	x.g.observer.ObserveEnd(x.decisions)
	return Result{Outcome: o, Started: x.started, RetryAfter: x.retryAfter}
}

func (x *exchange) recordDecision(e Event) {
	x.g.observer.ObserveDecision(&e)
	x.decisions = append(x.decisions, e)
}

func (x *exchange) newEvent(k Kind) Event {
	e := Event{Kind: k, Request: x.r, Service: x.serviceID, Version: x.binding.version, Elapsed: x.now().Sub(x.r.Arrived)}
	if x.table != nil {
		e.ConfigVersion = x.table.Version
	}
	if x.route != nil {
		e.Route = x.route.Name
	}
	return e
}

// placementRequest returns the input of placement for the next attempt.
func (x *exchange) placementRequest() *placement.Request {
	q := &placement.Request{Bytes: x.r.Bytes, Hash: x.r.Hash, Excluded: x.excluded, Now: x.now()}
	if x.r.Prompt != nil {
		q.Prompt = *x.r.Prompt
	}
	return q
}

// candidates returns the targets that a choice with the filter looks at.
func (x *exchange) candidates(q *placement.Request, f placement.Filter) []*directory.Target {
	return placement.Candidates(x.g.directory.Load(), x.serviceID, q, f)
}

// pickTarget returns the best choice, of the version to which the request is bound. If there are no
// others, targets that are avoided because of failures are used as well: such a target may have
// recovered, whereas a refusal is certain to fail the request.
func (x *exchange) pickTarget(f placement.Filter, s placement.Scorer) placement.Choice {
	f = x.binding.restrict(f)
	q := x.placementRequest()
	c := placement.Pick(x.candidates(q, f), q, f, s)
	if c.Target == nil {
		q.AllowFailing = true
		c = placement.Pick(x.candidates(q, f), q, f, s)
	}
	return c
}

// newCall returns a call with the fields that all stages share.
func (x *exchange) newCall(t *directory.Target, s Stage) *Call {
	return &Call{
		Request: x.r, Target: t, Stage: s, Caller: x.currentCaller(), Deadline: x.deadline, Priority: -1,
		ProgressTimeout: x.deadline.Sub(x.now()), ResumeAfter: x.r.ResumeAfter, RequireLiveConnection: !x.route.Repeatable(),
		RequireLifetime: x.requiresLifetime(t),
	}
}

// trackedWork is the local work on a target for a call in progress.
type trackedWork struct {
	g *Gateway
	t *directory.Target
	w directory.Work
}

func (x *exchange) beginWork(t *directory.Target, w directory.Work) *trackedWork {
	t.Load.BeginWork(w, x.now())
	x.g.publisher.NotifyLoadChange(t)
	return &trackedWork{x.g, t, w}
}

// replace replaces the tracked work by w.
func (k *trackedWork) replace(w directory.Work) {
	k.t.Load.Local.Add(w.Minus(k.w))
	k.w = w
	k.g.publisher.NotifyLoadChange(k.t)
}

func (k *trackedWork) end() { k.replace(directory.Work{}) }

// failure classifies a failed call.
type failure struct {
	retry   types.RetryReason
	refusal types.RefusalReason
	notRun  bool // the target did not run the request
	notSent bool // the target did not receive the request
}

func classify(err error) failure {
	switch {
	case errors.Is(err, ErrPaused):
		return failure{types.RetryTargetPaused, types.RefusedTargetsPaused, true, true}
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

// wrongRolePause is how long an engine receives no work after it refused a request for
// its role. It is about the lag of registrations.
const wrongRolePause = 500 * time.Millisecond

// recordFailure records a failed call in the load of the target and excludes the target
// from this request.
func (x *exchange) recordFailure(t *directory.Target, err error) {
	now := x.now()
	x.lastTarget, x.lastErr = t.ID, err
	x.excluded = append(x.excluded, t.ID)
	switch {
	case x.callerCtx.Err() != nil:
		// The failure is due to the caller's disconnection, not to the target.
	case errors.Is(err, ErrPaused):
		// The target has not failed.
	case errors.Is(err, ErrMisdirected):
		t.Load.Leaving.Store(true)
	case errors.Is(err, ErrWrongRole):
		t.Load.RetryAfter.Store(clock.Nanos(now.Add(wrongRolePause)))
	case x.g.settings.Peers.TargetsLost():
		// The failure is due to the lost link of this daemon.
		x.unreachable++
	case errors.Is(err, ErrNotSent):
		x.unreachable++
		t.Load.RecordUnreachable(now)
	default:
		t.Load.RecordFailure(now)
	}
}

// contextOutcome returns the outcome of a request whose context has ended, or nil.
func (x *exchange) contextOutcome() types.Outcome {
	switch {
	case errors.Is(context.Cause(x.callerCtx), ErrStopping):
		return x.refuse(types.RefusedStopping, minRetryAfter)
	case x.callerCtx.Err() != nil:
		return x.callerAttempt.Refuse(types.RefusedCallerGone)
	case x.ctx.Err() != nil:
		return x.callerAttempt.Refuse(types.RefusedTimeout)
	}
	return nil
}

// mayRetry reports whether a failed call may be retried and, if so, spends the retry from
// the budget. Prefill calls do not run the request and may be repeated on every route.
func (x *exchange) mayRetry(f failure, prefill bool) bool {
	ok := x.retryAllowed(f, prefill) && x.budget.SpendN(x.retryCost(f, prefill))
	e := x.newEvent(KindRetry)
	if !ok {
		e.Kind = KindNoRetry
	}
	e.RetryReason, e.Target, e.Err, e.Events = f.retry, x.lastTarget, x.lastErr, x.events
	x.recordDecision(e)
	return ok
}

// giveUp ends a request after a failed call that is not retried.
func (x *exchange) giveUp(f failure) types.Outcome {
	if !x.callerAttempt.Sent() && !x.mayBegin() {
		return x.refuse(types.RefusedStopping, minRetryAfter)
	}
	return x.refuse(f.refusal, x.route.Objective)
}

// retryCost returns how many requests a retry sends in addition to those of a request
// without failures. A retry after a failed prefill costs nothing: a rejected prefill has
// already been charged, and the first accepted one is free. After a failed run the
// prompt may have to be prefilled again as well.
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
	if x.attempts+x.prefills >= maxAttempts+1 || !x.started && !x.mayBegin() {
		return false
	}
	if f.notRun || prefill {
		return true
	}
	repeatable := x.route.Repeatable() || x.route.Kind == routes.KindStream && x.route.Resumable
	return repeatable && x.runs < x.route.MaxRuns
}
