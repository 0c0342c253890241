package types

import (
	"slices"
	"sync/atomic"
)

// RefusalReason is the reason why a request was refused or failed. Each reason
// has its own counter in the metrics.
type RefusalReason uint8

// Refusal reasons, in the order of refusalNames.
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
	// RefusedTargetsPaused means that all targets have requested a pause.
	RefusedTargetsPaused
	// RefusedInternal means that the request failed because of a fault of the daemon.
	RefusedInternal
	// RefusedCrashingPrompt means that the prompt has a part whose requests crash engines.
	RefusedCrashingPrompt
	// RefusedRateLimited means that the targets take no further request in time by the limits
	// that they have declared.
	RefusedRateLimited
	// RefusedCredentialMissing, RefusedCredentialMalformed, RefusedCredentialRepeated and
	// RefusedCredentialUnknown mean that the route needs a credential of a workspace, and that the
	// request has none, one of another form, several, or one of no workspace.
	RefusedCredentialMissing
	RefusedCredentialMalformed
	RefusedCredentialRepeated
	RefusedCredentialUnknown
	// RefusedVersionUnknown means that no software version is known at which the stream may begin.
	RefusedVersionUnknown
	// RefusedStreamVersion means that the software version that began the stream, which the
	// request resumes, cannot be determined.
	RefusedStreamVersion
	// RefusedPeerCredential, RefusedPeerConfiguration and RefusedPeerTargets refuse a request that
	// another daemon forwards: that daemon is not authenticated, its configuration is newer than
	// that of this one, or this one does not reach the targets either.
	RefusedPeerCredential
	RefusedPeerConfiguration
	RefusedPeerTargets
	// RefusalReasonCount is the number of reasons, not a reason itself.
	RefusalReasonCount
)

var refusalNames = [RefusalReasonCount]string{
	"bad_input", "unknown_model", "unknown_service", "unknown_workspace",
	"workspace_limit", "deadline", "no_target", "overload", "pool_full",
	"stopping", "key_in_progress", "key_conflict", "key_unknown",
	"key_unavailable", "retry_budget", "target_unreachable",
	"target_failed", "target_silent", "answer_truncated", "caller_gone",
	"target_limit", "no_configuration", "unknown_route", "timeout",
	"answer_too_long", "targets_paused", "internal_error", "prompt_crashes_targets",
	"targets_rate_limited", "credential_missing", "credential_malformed", "credential_repeated",
	"credential_unknown", "version_unknown", "stream_version_unknown",
	"peer_credential", "peer_configuration", "peer_targets_lost",
}

// Unauthenticated reports whether the request was refused because of its credential.
func (r RefusalReason) Unauthenticated() bool {
	return r >= RefusedCredentialMissing && r <= RefusedCredentialUnknown
}

// ParseRefusalReason returns the reason with the given name, and false if there is none.
func ParseRefusalReason(name string) (RefusalReason, bool) {
	i := slices.Index(refusalNames[:], name)
	return RefusalReason(max(i, 0)), i >= 0
}

// String returns the name used in responses, logs and metrics.
func (r RefusalReason) String() string {
	if r >= RefusalReasonCount {
		return "unknown_reason"
	}
	return refusalNames[r]
}

// RetryReason is the reason why a request was sent again.
type RetryReason uint8

// Retry reasons, in the order of retryNames.
const (
	RetryUnreachable RetryReason = iota
	RetryTargetFailed
	RetryTargetSilent
	RetryTruncated
	RetryTargetRefused
	RetryAnswerFailed
	RetryTooLong
	// RetryTargetPaused means that the chosen target requested a pause, or declared that it
	// is leaving, before the request was sent.
	RetryTargetPaused
	// RetryPeerUnreachable and RetryPeerRefused mean that the request was not sent to another
	// daemon, and that the other daemon was not able to serve it.
	RetryPeerUnreachable
	RetryPeerRefused
	// RetryReasonCount is the number of reasons, not a reason itself.
	RetryReasonCount
)

var retryNames = [RetryReasonCount]string{
	"unreachable", "target_failed", "target_silent", "truncated", "target_refused",
	"answer_failed", "too_long", "target_paused", "peer_unreachable", "peer_refused",
}

// String returns the name used in logs and metrics.
func (r RetryReason) String() string {
	if r >= RetryReasonCount {
		return "unknown_reason"
	}
	return retryNames[r]
}

// RequestClass determines how often a request may run.
type RequestClass uint8

// Request classes.
const (
	// ClassIdempotent requests may run more than once.
	ClassIdempotent RequestClass = iota
	// ClassKeyed requests may run at most once and carry an idempotency key.
	ClassKeyed
	// ClassUnkeyed requests may run at most once and carry no key, so they are
	// dispatched once and never retried.
	ClassUnkeyed
)

// Outcome is the result of a request. Only Answered, NotRun and Unknown
// implement it.
type Outcome interface{ outcome() }

// Answered means that the caller received the complete response.
type Answered struct{}

// NotRun means that no byte that could start work was sent to a target. Only
// Attempt.Refuse creates a valid value.
type NotRun struct{ reason RefusalReason }

// Unknown means that work may have started on a target and the result is unknown.
type Unknown struct{ reason RefusalReason }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason returns why the request was refused.
func (n NotRun) Reason() RefusalReason { return n.reason }

// Reason returns why the result is unknown.
func (u Unknown) Reason() RefusalReason { return u.reason }

// ReasonOf returns the reason of an outcome, and false for Answered.
func ReasonOf(o Outcome) (RefusalReason, bool) {
	switch v := o.(type) {
	case NotRun:
		return v.reason, true
	case Unknown:
		return v.reason, true
	}
	return 0, false
}

// Attempt records for one request whether a byte that could start work was sent
// to a target. It is the only source of NotRun and Unknown outcomes, so that a
// refusal after the first byte cannot report that the request was not run. The
// zero value is ready for use and safe for concurrent use.
type Attempt struct{ sent atomic.Bool }

// Begin marks the request as sent and returns a new dispatch of it. It must be
// called before the first byte is written to a target.
func (a *Attempt) Begin() Dispatch { return Dispatch{attempt: a, first: !a.sent.Swap(true)} }

// Sent reports whether work may have started.
func (a *Attempt) Sent() bool { return a.sent.Load() }

// Refuse returns NotRun if nothing has been sent, and Unknown otherwise.
func (a *Attempt) Refuse(reason RefusalReason) Outcome {
	if a.Sent() {
		return Unknown{reason}
	}
	return NotRun{reason}
}

// RefuseAsUnknown returns Unknown for a request that was not sent but whose key
// belongs to an earlier attempt that may have run.
func (a *Attempt) RefuseAsUnknown(reason RefusalReason) Outcome { return Unknown{reason} }

// Dispatch is one transmission of a request to a target. An Attempt has several
// if the request is retried.
type Dispatch struct {
	attempt *Attempt
	first   bool
}

// NotStarted records that the dispatch failed before its first byte, for example
// because the connection was refused, or that the target has confirmed that it
// did not run the request. The attempt still counts as sent if an earlier
// dispatch was sent.
func (d Dispatch) NotStarted() {
	if d.first {
		d.attempt.sent.Store(false)
	}
}
