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

// failure is a failed dispatch in the terms of this layer.
type failure struct {
	retry   types.RetryReason
	refusal types.RefusalReason
}

// refuse ends a request that finds no target. After a try that may have run, the
// failure of the last one tells the caller more than that there is no other.
func (f failure) refuse(a *types.Attempt, reason types.RefusalReason) types.Outcome {
	if a.Sent() {
		reason = f.refusal
	}
	return a.Refuse(reason)
}

// classify converts an error of the engine client.
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

// mayRetry reports whether a failed dispatch may be tried again. A target that
// refused has done no work, so that sending the request elsewhere does not
// multiply load and costs no budget.
func (f failure) mayRetry(b *admission.RetryBudget) bool {
	return f.retry == types.RetryTargetRefused || b.Spend()
}

// failed takes a target out of use for the failure back-off.
func (d *Daemon) failed(t *routing.Target, id types.RequestID, err error) {
	d.markFailed(t, time.Now())
	d.log.WithError(err).WithFields(map[string]any{
		daemon.FieldTarget: t.ID, daemon.FieldRequest: id,
	}).Warn("dispatch failed")
}

// isKVMissing reports whether an engine could not get the KV cache that it was
// told to import. It has started no work then.
func isKVMissing(err error) bool {
	var s *engine.StatusError
	return errors.As(err, &s) && s.Status == fasthttp.StatusFailedDependency
}
