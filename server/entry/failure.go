package entry

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/types"
)

// failure classifies a failed dispatch: the reason for a retry, and for the refusal without one.
type failure struct {
	retry   types.RetryReason
	refusal types.RefusalReason
}

// refuse ends a request for which the router found no target. If an earlier attempt may have run, the
// reason is the failure of that attempt, which is more useful to the caller than reason.
func (f failure) refuse(a *types.Attempt, reason types.RefusalReason) types.Outcome {
	if a.Sent() {
		reason = f.refusal
	}
	return a.Refuse(reason)
}

// classify converts an error of the engine client to a failure.
func classify(err error) failure {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return failure{types.RetryUnreachable, types.RefusedTargetUnreachable}
	case errors.Is(err, engine.ErrStalled):
		return failure{types.RetryTargetSilent, types.RefusedTargetSilent}
	case errors.Is(err, engine.ErrTruncated):
		return failure{types.RetryTruncated, types.RefusedAnswerTruncated}
	case errors.Is(err, engine.ErrResponseTooLarge):
		return failure{types.RetryTooLong, types.RefusedAnswerTooLong}
	case errors.Is(err, engine.ErrRefused):
		return failure{types.RetryTargetRefused, types.RefusedTargetFailed}
	}
	return failure{types.RetryTargetFailed, types.RefusedTargetFailed}
}

// mayRetry reports whether a failed dispatch may be retried, and spends retry budget for it. A target
// that refused the request has done no work: retrying elsewhere does not multiply load and needs no
// budget.
func (f failure) mayRetry(b *admission.RetryBudget) bool {
	return f.retry == types.RetryTargetRefused || b.Spend()
}

// recordFailure logs a failed dispatch and excludes the target from routing for the failure back-off.
func (d *Daemon) recordFailure(t *routing.Target, id types.RequestID, err error) {
	d.backOffTarget(t, time.Now())
	d.log.WithError(err).WithFields(map[string]any{
		daemon.FieldTarget: t.ID, daemon.FieldRequest: id,
	}).Warn("dispatch failed")
}

// isKVCacheMissing reports whether an engine could not import the requested KV cache. It has then
// started no work.
func isKVCacheMissing(err error) bool {
	var statusErr *engine.StatusError
	return errors.As(err, &statusErr) && statusErr.Status == fasthttp.StatusFailedDependency
}
