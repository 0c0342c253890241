package gateway

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Kind is a kind of decision.
type Kind string

// Kinds of decision.
const (
	KindSend    Kind = "send"
	KindRetry   Kind = "retry"
	KindNoRetry Kind = "no_retry"
	KindOutcome Kind = "outcome"
)

// Event is one decision about a request, or its outcome.
type Event struct {
	Kind    Kind
	Request *Request
	Route   string
	Service types.ServiceID
	// Config is the version of the configuration that decided, 0 without one.
	ConfigVersion uint64
	Target        types.TargetID
	Stage         Stage
	// Predicted is the predicted time to the first result, for KindSend.
	Predicted      time.Duration
	UncachedTokens int
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// First is the time to the first event or the whole answer, for KindOutcome.
	TimeToFirst time.Duration
	Outcome     types.Outcome
	// Retry, Target and Err say why a call is repeated or not, for KindRetry and
	// KindNoRetry.
	RetryReason types.RetryReason
	// Status is the status of the target's answer, 0 without one.
	Status int
	// Late says that the answer, or its first event, missed the objective.
	Late     bool
	Attempts int
	Err      error
}
