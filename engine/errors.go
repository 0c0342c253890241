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
	// ErrStalled reports that the target made no progress within the progress deadline.
	ErrStalled = errors.New("target made no progress")
	// ErrTruncated reports an answer without its end marker.
	ErrTruncated = errors.New("answer ended without its end marker")
	// ErrMismatch reports an answer that belongs to another request.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrRefused reports that the target refused the request.
	ErrRefused = errors.New("target refused the request")
	// ErrResponseTooLarge reports a head, an event or an answer that is longer than one may be.
	ErrResponseTooLarge = errors.New("answer is too long")
	// ErrFailed reports any other failure after the request was sent.
	ErrFailed = errors.New("exchange with the target failed")
)

// StatusError is a refusal by the target with its HTTP status. It wraps ErrRefused.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered %d: %s", e.Status, e.Message)
}

// Unwrap returns ErrRefused.
func (e *StatusError) Unwrap() error { return ErrRefused }

// convert turns a transport error after the first byte into an error of this
// package.
func convert(err error) error {
	var n net.Error
	var broken fasthttp.ErrBrokenChunk
	var small *fasthttp.ErrSmallBuffer // of the fields after the last chunk
	switch {
	case errors.As(err, &n) && n.Timeout(), errors.Is(err, fasthttp.ErrTimeout):
		return fmt.Errorf("%w: %w", ErrStalled, err)
	case errors.Is(err, transport.ErrTooLarge), errors.As(err, &small):
		return fmt.Errorf("%w: %w", ErrResponseTooLarge, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return fmt.Errorf("%w: %w", ErrFailed, err)
}

func errorText(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	const most = 200
	return string(body[:min(len(body), most)])
}
