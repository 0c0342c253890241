package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/transport"
)

// Errors of this package. Every error wraps one of them.
var (
	// ErrNotSent reports a failure before the first byte of the request was written.
	ErrNotSent = transport.ErrNotSent
	// ErrStalled reports that the target made no progress within the progress timeout.
	ErrStalled = errors.New("target made no progress")
	// ErrTruncated reports a response that ended before it was complete.
	ErrTruncated = errors.New("response ended before it was complete")
	// ErrMismatch reports a response that belongs to another request.
	ErrMismatch = errors.New("response belongs to another request")
	// ErrRefused reports that the target refused the request.
	ErrRefused = errors.New("target refused the request")
	// ErrResponseTooLarge reports a header, an event or a response over its size limit.
	ErrResponseTooLarge = errors.New("response is too large")
	// ErrFailed reports any other failure after the request was sent.
	ErrFailed = errors.New("request to the target failed")
)

// StatusError is the HTTP status and message of a target's refusal. It wraps ErrRefused.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target responded with status %d: %s", e.Status, e.Message)
}

// Unwrap returns ErrRefused.
func (e *StatusError) Unwrap() error { return ErrRefused }

// wrapTransportError converts a transport error that occurred after the first byte was
// sent into an error of this package.
func wrapTransportError(err error) error {
	var n net.Error
	var brokenChunk fasthttp.ErrBrokenChunk
	var smallBuffer *fasthttp.ErrSmallBuffer // trailer fields exceed the read buffer
	switch {
	case errors.As(err, &n) && n.Timeout(), errors.Is(err, fasthttp.ErrTimeout):
		return fmt.Errorf("%w: %w", ErrStalled, err)
	case errors.Is(err, transport.ErrTooLarge), errors.As(err, &smallBuffer):
		return fmt.Errorf("%w: %w", ErrResponseTooLarge, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &brokenChunk):
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return fmt.Errorf("%w: %w", ErrFailed, err)
}

func errorMessage(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	const maxMessageBytes = 200
	return string(body[:min(len(body), maxMessageBytes)])
}
