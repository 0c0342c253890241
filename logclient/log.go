// Package logclient is the client for the platform's append-only log and its VM list.
// Its errors distinguish operations that did not take effect from operations
// that may have.
package logclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Errors of this package. Every error wraps one of them.
var (
	// ErrUnavailable reports that the service did not carry out the operation.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrAmbiguous reports that the response was lost; the operation may have
	// taken effect.
	ErrAmbiguous = errors.New("outcome of the platform operation is unknown")
	// ErrRateLimited reports that the service refused the operation because of its
	// rate limit.
	ErrRateLimited = errors.New("platform service refused the operation: rate limit exceeded")
	// ErrExpired reports that the requested records are older than the log's retention.
	ErrExpired = errors.New("records have expired from the log")
	// ErrMalformed reports a request or response that cannot be encoded or decoded.
	ErrMalformed = errors.New("platform message is malformed")
)

// Record is one record of a stream.
type Record struct {
	Offset types.Offset
	// At is the time of the append by the log's clock.
	At   time.Time
	Data []byte
}

// Batch is the result of a read.
type Batch struct {
	// Era is the era of the log, 0 if it does not state one.
	Era types.Era
	// Oldest is the offset of the oldest record that the log retains.
	Oldest types.Offset
	// Next is the offset that will be assigned to the next appended record.
	Next    types.Offset
	Records []Record
}

// Log is an append-only log with a total order per stream.
type Log interface {
	// Append appends the data as consecutive records and returns the offset of
	// the first. Errors: ErrUnavailable, ErrAmbiguous, ErrRateLimited.
	Append(ctx context.Context, stream string, data [][]byte) (types.Offset, error)
	// Read returns up to limit records from the given offset. If there are none,
	// it waits for the first one for at most the duration wait. Errors: ErrUnavailable, ErrMalformed,
	// *ExpiredError.
	Read(ctx context.Context, stream string, from types.Offset, limit int, wait time.Duration) (Batch, error)
}

// ExpiredError carries the oldest offset that can still be read, and the era of the
// log as in Batch. It wraps ErrExpired.
type ExpiredError struct {
	Era    types.Era
	Oldest types.Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records have expired: the oldest available offset is %d", e.Oldest)
}

// Unwrap returns ErrExpired.
func (e *ExpiredError) Unwrap() error { return ErrExpired }

// StreamConfig is the log stream of configuration changes.
const StreamConfig = "config"

// LeaseStream returns the name of the lease stream of a data centre.
func LeaseStream(dc types.DataCentreID) string { return "lease." + string(dc) }

// KeyStream returns the name of the idempotency stream of a data centre.
func KeyStream(dc types.DataCentreID) string { return "keys." + string(dc) }
