package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// plainServiceTime is the assumed time of one request of a plain service. The
	// smoothed delay of a target corrects it after the first responses. The value is the
	// deployment's figure for its booking services.
	plainServiceTime = 15 * time.Millisecond
	// repeatableProgressShare is the share of the remaining time after which a target
	// without progress times out, if the request may still run on another target.
	repeatableProgressShare = 0.4
)

// servePlain serves a request whose response is passed on when it is complete.
func (x *exchange) servePlain() types.Outcome {
	for {
		if x.mustForward() {
			var end *outcomeError
			if errors.As(x.forwardPlain(), &end) {
				return end.outcome
			}
		}
		if o := x.endForwarded(); o != nil {
			return o
		}
		c := x.pickTarget(placement.Available{}, placement.PlainScorer{Costs: x.g.settings.Costs, ServiceTime: plainServiceTime})
		if c.Target == nil {
			return x.noTarget()
		}
		if o := x.awaitLimit(c.Target); o != nil {
			return o
		}
		resp, body, err := x.callPlain(c)
		if err == nil && (resp.Status() < http.StatusInternalServerError || !x.mayRetry(errorResponse, false)) {
			return x.writeResponse(resp, body)
		}
		if err == nil {
			x.excluded = append(x.excluded, c.Target.ID)
			continue
		}
		x.recordFailure(c.Target, err)
		f := classify(err)
		if o := x.contextOutcome(); o != nil {
			return o
		}
		if !x.mayRetry(f, false) {
			return x.giveUp(f)
		}
	}
}

// errorResponse is the failure of a call that returned an error response. The target has
// run the request.
var errorResponse = failure{retry: types.RetryAnswerFailed, refusal: types.RefusedTargetFailed}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(resp Response, body []byte) types.Outcome {
	x.timeToFirst = x.now().Sub(x.r.Arrived)
	x.started, x.status = true, resp.Status()
	if err := x.w.WriteResponse(resp, body); err != nil {
		return x.callerAttempt.Refuse(types.RefusedCallerGone)
	}
	return types.Answered{}
}

// refuse ends a request without a response from a target.
func (x *exchange) refuse(reason types.RefusalReason, retryAfter time.Duration) types.Outcome {
	x.retryAfter = retryAfter
	return x.callerAttempt.Refuse(reason)
}

// noTarget ends a request for which no target is available. After an attempt that may
// have run, the reason is the failure of the last attempt, which is more useful to the
// caller.
func (x *exchange) noTarget() types.Outcome {
	if pause := placement.ShortestPause(x.binding.targets(x.g.directory.Load(), x.serviceID), x.now()); pause > 0 && !x.callerAttempt.Sent() {
		return x.refuse(types.RefusedTargetsPaused, max(pause, minRetryAfter))
	}
	reason := types.RefusedNoTarget
	if x.callerAttempt.Sent() && x.lastErr != nil {
		reason = classify(x.lastErr).refusal
	}
	return x.refuse(reason, x.route.Objective)
}

// callPlain sends the request to a target and reads the complete response.
func (x *exchange) callPlain(c placement.Choice) (Response, []byte, error) {
	t := c.Target
	w := x.beginWork(t, directory.Work{Requests: 1})
	defer w.end()
	call := x.newCall(t, StageCombined)
	if x.route.Repeatable() && x.runs+1 < x.route.MaxRuns {
		call.ProgressTimeout = time.Duration(float64(call.ProgressTimeout) * repeatableProgressShare)
	}
	x.recordSend(c, StageCombined)
	d := x.callerAttempt.Begin()
	began := x.now()
	resp, err := x.g.targets.Send(x.ctx, call)
	x.recordAttempt(err, d)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Close()
	body, err := x.readResponse(resp)
	if err != nil {
		return nil, nil, err
	}
	t.Load.RecordActivity(x.now())
	t.Load.RecordSuccess()
	t.Load.SetConnectedUntil(x.now().Add(connectionReuseTime))
	t.Load.RecordDelay(x.now().Sub(began) - c.Predicted())
	return resp, body, nil
}

// recordAttempt counts a call and records whether it may have run.
func (x *exchange) recordAttempt(err error, d types.Dispatch) {
	f := failure{}
	if err != nil {
		f = classify(err)
	}
	if f.notRun {
		d.NotStarted()
	} else {
		x.runs++
	}
	if !f.notSent {
		x.attempts++
	}
}

func (x *exchange) recordSend(c placement.Choice, s Stage) {
	e := x.newEvent(KindSend)
	e.Target, e.Stage, e.Predicted, e.UncachedTokens = c.Target.ID, s, c.Predicted(), c.UncachedTokens
	e.Version = c.Target.Version
	x.lastTarget, x.lastErr = c.Target.ID, nil
	x.recordDecision(e)
}

// isEnd reports whether an error marks the end of a complete response.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
