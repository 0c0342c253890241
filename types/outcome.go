package types

import "sync/atomic"

// RefusalReason names why a request got no answer. Each reason has its own
// counter in the metrics.
type RefusalReason uint8

// Refusal reasons. Keep refusalNames in the same order.
const (
	RefusedBadInput RefusalReason = iota
	RefusedUnknownModel
	RefusedUnknownService
	RefusedUnknownWorkspace
	RefusedWorkspaceLimit
	RefusedDeadline
	RefusedNoTarget
	RefusedOverload
	RefusedPoolFull
	RefusedStopping
	RefusedKeyInProgress
	RefusedKeyConflict
	RefusedKeyUnknown
	RefusedKeyUnavailable
	RefusedRetryBudget
	RefusedTargetUnreachable
	RefusedTargetFailed
	RefusedTargetSilent
	RefusedAnswerTruncated
	RefusedCallerGone
	RefusedTargetLimit
	RefusedNoConfiguration
	RefusedUnknownRoute
	RefusedTimeout
	RefusedAnswerTooLong
	// RefusalReasonCount is the number of reasons; it is not a reason.
	RefusalReasonCount
)

var refusalNames = [RefusalReasonCount]string{
	"bad_input", "unknown_model", "unknown_service", "unknown_workspace",
	"workspace_limit", "deadline", "no_target", "overload", "pool_full",
	"stopping", "key_in_progress", "key_conflict", "key_unknown",
	"key_unavailable", "retry_budget", "target_unreachable",
	"target_failed", "target_silent", "answer_truncated", "caller_gone",
	"target_limit", "no_configuration", "unknown_route", "timeout",
	"answer_too_long",
}

// String returns the name used in answers, logs and metrics.
func (r RefusalReason) String() string {
	if r >= RefusalReasonCount {
		return "unknown_reason"
	}
	return refusalNames[r]
}

// RetryReason names why a request was sent again.
type RetryReason uint8

// Retry reasons. Keep retryNames in the same order.
const (
	RetryUnreachable RetryReason = iota
	RetryTargetFailed
	RetryTargetSilent
	RetryTruncated
	RetryTargetRefused
	RetryAnswerFailed
	RetryTooLong
	// RetryReasonCount is the number of reasons; it is not a reason.
	RetryReasonCount
)

var retryNames = [RetryReasonCount]string{
	"unreachable", "target_failed", "target_silent", "truncated", "target_refused", "answer_failed", "too_long",
}

// String returns the name used in logs and metrics.
func (r RetryReason) String() string {
	if r >= RetryReasonCount {
		return "unknown_reason"
	}
	return retryNames[r]
}

// RequestClass says how often a request may run.
type RequestClass uint8

// Classes of request.
const (
	// ClassIdempotent may run again without harm.
	ClassIdempotent RequestClass = iota
	// ClassKeyed may run at most once and carries an idempotency key.
	ClassKeyed
	// ClassUnkeyed may run at most once and carries no key: one dispatch, no retry.
	ClassUnkeyed
)

// Outcome is the result of a request. Only Answered, NotRun and Unknown
// implement it.
type Outcome interface{ outcome() }

// Answered says that the caller got the whole answer.
type Answered struct{}

// NotRun says that no byte that could start work has left for a target. Only
// Attempt.Refuse builds a valid one.
type NotRun struct{ reason RefusalReason }

// Unknown says that work may have started.
type Unknown struct{ reason RefusalReason }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason returns why the request was refused.
func (n NotRun) Reason() RefusalReason { return n.reason }

// Reason returns why the result is not known.
func (u Unknown) Reason() RefusalReason { return u.reason }

// Attempt records for one request whether a byte that could start work has
// left for a target. It is the only source of NotRun and Unknown outcomes, so
// that a refusal after the first byte cannot claim that nothing ran. The zero
// value is ready for use and safe for concurrent use.
type Attempt struct{ sent atomic.Bool }

// Begin must be called before a dispatch writes its first byte to a target.
func (a *Attempt) Begin() Dispatch { return Dispatch{attempt: a, first: !a.sent.Swap(true)} }

// Sent reports whether work may have started.
func (a *Attempt) Sent() bool { return a.sent.Load() }

// Refuse returns NotRun while nothing was sent, and Unknown afterwards.
func (a *Attempt) Refuse(reason RefusalReason) Outcome {
	if a.Sent() {
		return Unknown{reason}
	}
	return NotRun{reason}
}

// Dispatch is one try to send a request to a target.
type Dispatch struct {
	attempt *Attempt
	first   bool
}

// RefuseEarlier returns Unknown for a request that was not sent but whose key
// belongs to an earlier attempt that may have run.
func (a *Attempt) RefuseAsUnknown(reason RefusalReason) Outcome { return Unknown{reason} }

// NotStarted records that the dispatch failed before its first byte, such as a
// refused dial, or that the target has proved that it did not run the request.
// An earlier dispatch that was sent keeps the attempt sent.
func (d Dispatch) NotStarted() {
	if d.first {
		d.attempt.sent.Store(false)
	}
}
