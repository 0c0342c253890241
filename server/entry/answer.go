package entry

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	RequestID    types.RequestID `json:"request_id,omitempty"`
	Outcome      string          `json:"outcome"`
	Reason       string          `json:"reason"`
	Field        string          `json:"field,omitempty"`
	Message      string          `json:"message"`
	RetryAfterMs int             `json:"retry_after_ms,omitempty"`
}

// meanRetryAfterMs is the mean of the randomized retry delay suggested to callers, in milliseconds.
const meanRetryAfterMs = 500

const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// refusal is the error response to a request that was not answered by a target.
type refusal struct {
	status int
	detail errorDetail
}

// newRefusal converts an outcome other than answered into an error response.
func newRefusal(id types.RequestID, o types.Outcome) refusal {
	switch v := o.(type) {
	case types.NotRun:
		return refusal{notRunStatus(v.Reason()), newErrorDetail(id, outcomeNotRun, v.Reason())}
	case types.Unknown:
		return refusal{unknownStatus(v.Reason()), newErrorDetail(id, outcomeUnknown, v.Reason())}
	}
	return refusal{fasthttp.StatusInternalServerError, newErrorDetail(id, outcomeUnknown, types.RefusedTargetFailed)}
}

func newErrorDetail(id types.RequestID, outcome string, r types.RefusalReason) errorDetail {
	d := errorDetail{RequestID: id, Outcome: outcome, Reason: r.String(), Field: fields[r], Message: messages[r]}
	if r == types.RefusedKeyInProgress || (outcome == outcomeNotRun && isTransient(r)) {
		// The jitter keeps callers that were refused at the same time from retrying at the same time.
		d.RetryAfterMs = meanRetryAfterMs/2 + rand.IntN(meanRetryAfterMs)
	}
	return d
}

// isTransient reports whether a reason depends on the current load or state of the daemon, so that a
// later retry may succeed.
func isTransient(r types.RefusalReason) bool {
	switch r {
	case types.RefusedWorkspaceLimit, types.RefusedDeadline, types.RefusedNoTarget, types.RefusedOverload,
		types.RefusedPoolFull, types.RefusedStopping, types.RefusedRetryBudget, types.RefusedTargetLimit:
		return true
	}
	return false
}

func notRunStatus(r types.RefusalReason) int {
	switch r {
	case types.RefusedBadInput:
		return fasthttp.StatusBadRequest
	case types.RefusedUnknownModel, types.RefusedUnknownService:
		return fasthttp.StatusNotFound
	case types.RefusedUnknownWorkspace:
		return fasthttp.StatusForbidden
	case types.RefusedWorkspaceLimit, types.RefusedOverload:
		return fasthttp.StatusTooManyRequests
	case types.RefusedKeyConflict:
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusServiceUnavailable
}

func unknownStatus(r types.RefusalReason) int {
	if r == types.RefusedKeyInProgress || r == types.RefusedKeyUnknown {
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusGatewayTimeout
}

// fields maps a refusal reason to the request field that caused it.
var fields = map[types.RefusalReason]string{
	types.RefusedUnknownModel:     "model",
	types.RefusedUnknownService:   "path",
	types.RefusedUnknownWorkspace: "X-Workspace",
	types.RefusedKeyConflict:      "Idempotency-Key",
}

// messages maps a refusal reason to the message that is sent to the caller.
var messages = [types.RefusalReasonCount]string{
	types.RefusedBadInput:          "the request is not valid; correct the field",
	types.RefusedUnknownModel:      "no engine carries this model or adapter",
	types.RefusedUnknownService:    "no such service",
	types.RefusedUnknownWorkspace:  "the workspace does not exist or may not call this service",
	types.RefusedWorkspaceLimit:    "the workspace has too many requests in progress; send it again later",
	types.RefusedDeadline:          "no target can meet the deadline; send it again with a later deadline",
	types.RefusedNoTarget:          "no target is available; send it again later",
	types.RefusedOverload:          "the daemon has too many requests in progress; send it again later",
	types.RefusedPoolFull:          "the daemon has no free worker; send it again later",
	types.RefusedStopping:          "the daemon is stopping; send it again to another one",
	types.RefusedKeyInProgress:     "a request with this key is in progress; ask again for its result",
	types.RefusedKeyConflict:       "the key was used for a different request; use another key",
	types.RefusedKeyUnknown:        "an earlier request with this key may have run; check with the service before using another key",
	types.RefusedKeyUnavailable:    "the key cannot be checked now; send it again later",
	types.RefusedRetryBudget:       "the target failed and the retry budget of the service is used up",
	types.RefusedTargetUnreachable: "the target cannot be reached",
	types.RefusedTargetFailed:      "the target failed",
	types.RefusedTargetSilent:      "the target stopped answering",
	types.RefusedAnswerTruncated:   "the answer ended early",
	types.RefusedAnswerTooLong:     "the answer was longer than answers may be",
	types.RefusedCallerGone:        "the caller closed the connection",
	types.RefusedInternal:          "the daemon failed to serve the request",
	types.RefusedCrashingPrompt:    "a part of the prompt crashes targets; send it again later",
	types.RefusedRateLimited:       "the targets take no more requests for now; send it again later",
	types.RefusedVersionUnknown:    "no software version is known at which the stream may begin; send it again later",
	types.RefusedStreamVersion:     "the software version that began the stream is not known; begin a new stream",
	types.RefusedTargetsPaused:     "all targets have asked for a pause; send it again later",
	types.RefusedTargetLimit:       "all targets have as many requests as they can serve in time; send it again later",
}

func (r refusal) write(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, errorBody{r.detail})
	ctx.SetStatusCode(r.status)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
