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
	// plainWork is the assumed time of one request of a plain service, until an
	// answer has shown it. It is the users' figure for their booking services.
	plainWork = 15 * time.Millisecond
	// silentShare is the part of the time left that a target may stay silent on
	// a request that can still go elsewhere.
	silentShare = 0.4
)

// servePlain serves a request whose answer is passed on when it is whole.
func (x *exchange) servePlain() types.Outcome {
	for {
		c := x.pick(placement.Available{}, placement.PlainScorer{Costs: x.g.settings.Costs, ServiceTime: plainWork})
		if c.Target == nil {
			return x.noTarget()
		}
		a, body, err := x.callPlain(c)
		if err == nil && (a.Status() < http.StatusInternalServerError || !x.mayRetry(failedAnswer, false)) {
			return x.pass(a, body)
		}
		if err == nil {
			x.excluded = append(x.excluded, c.Target.ID)
			continue
		}
		x.blame(c.Target, err)
		f := classify(err)
		if o := x.stopped(); o != nil {
			return o
		}
		if !x.mayRetry(f, false) {
			return x.refuse(f.refusal, x.route.Objective)
		}
	}
}

// failedAnswer is a target's own failure. The target has run the request.
var failedAnswer = failure{retry: types.RetryAnswerFailed, refusal: types.RefusedTargetFailed}

// pass gives a whole answer to the caller.
func (x *exchange) pass(a Response, body []byte) types.Outcome {
	x.first = x.now().Sub(x.r.Arrived)
	x.started, x.status = true, a.Status()
	if err := x.w.WriteResponse(a, body); err != nil {
		return x.attempt.Refuse(types.RefusedCallerGone)
	}
	return types.Answered{}
}

// refuse ends a request that has found no target, or none that answered.
func (x *exchange) refuse(reason types.RefusalReason, after time.Duration) types.Outcome {
	x.retryAfter = after
	return x.attempt.Refuse(reason)
}

// noTarget ends a request that finds no target. After a try that may have run,
// the failure of the last one tells the caller more than that there is no other.
func (x *exchange) noTarget() types.Outcome {
	reason := types.RefusedNoTarget
	if x.attempt.Sent() && x.lastErr != nil {
		reason = classify(x.lastErr).refusal
	}
	return x.refuse(reason, x.route.Objective)
}

// callPlain sends the request to a target and reads the whole answer.
func (x *exchange) callPlain(c placement.Choice) (Response, []byte, error) {
	t := c.Target
	w := x.begin(t, directory.Work{Requests: 1})
	defer w.end()
	call := x.call(t, StageCombined)
	if x.route.Repeatable() && x.runs+1 < x.route.MaxRuns {
		call.ProgressTimeout = time.Duration(float64(call.ProgressTimeout) * silentShare)
	}
	x.sending(c, StageCombined)
	d := x.attempt.Begin()
	began := x.now()
	a, err := x.g.targets.Send(x.ctx, call)
	x.sent(err, d)
	if err != nil {
		return nil, nil, err
	}
	defer a.Close()
	body, err := x.readWhole(a)
	if err != nil {
		return nil, nil, err
	}
	t.Load.RecordActivity(x.now())
	t.Load.RecordSuccess()
	t.Load.SetConnectedUntil(x.now().Add(connectionTime))
	t.Load.RecordDelay(x.now().Sub(began) - c.Predicted())
	return a, body, nil
}

// sent counts a call and records whether it can have run.
func (x *exchange) sent(err error, d types.Dispatch) {
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
		x.tries++
	}
}

func (x *exchange) sending(c placement.Choice, s Stage) {
	e := x.event(KindSend)
	e.Target, e.Stage, e.Predicted, e.UncachedTokens = c.Target.ID, s, c.Predicted(), c.UncachedTokens
	x.lastTarget, x.lastErr = c.Target.ID, nil
	x.decided(e)
}

// isEnd reports whether an error is the end of a whole answer.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
