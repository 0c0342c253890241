package gateway

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Kind is the kind of an Event.
type Kind string

// Kinds of events.
const (
	KindSend Kind = "send"
	// KindForward is a request that is sent to another daemon.
	KindForward Kind = "forward"
	KindRetry   Kind = "retry"
	KindNoRetry Kind = "no_retry"
	KindOutcome Kind = "outcome"
)

// Event is a decision about a request, or its outcome.
type Event struct {
	Kind    Kind
	Request *Request
	Route   string
	Service types.ServiceID
	// ConfigVersion is the version of the configuration that applies, or 0 without a
	// configuration.
	ConfigVersion uint64
	// Version is the software version of the target, for KindSend, and otherwise the one to which
	// the stream is bound. It is empty if it is unknown or the stream is not bound.
	Version types.SoftwareVersion
	Target  types.TargetID
	// Peer is the daemon to which the request is sent, for KindForward and a retry after it.
	Peer  types.VMID
	Stage Stage
	// Predicted is the predicted time from sending to the first result, for KindSend.
	Predicted      time.Duration
	UncachedTokens int
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// TimeToFirst is the time from arrival to the first event or to the complete
	// response, for KindOutcome.
	TimeToFirst time.Duration
	Outcome     types.Outcome
	// RetryReason, Target and Err describe the failed call, for KindRetry and
	// KindNoRetry. Err is also set for KindOutcome with RefusedInternal.
	RetryReason types.RetryReason
	// Status is the status code of the target's response, or 0 without a response.
	Status int
	// Late reports whether the response, or its first event, missed the objective.
	Late bool
	// Events is the number of reads with complete events that were passed to the caller so
	// far, for all kinds except KindSend.
	Events int
	// Attempts is the number of requests sent to targets, including prefills.
	Attempts int
	Err      error
}
