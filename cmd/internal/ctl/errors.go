package ctl

import (
	"errors"
	"net"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
)

// Errors of the commands. Each has its own exit code.
var (
	// ErrRefused reports a change or a call that is not valid or not permitted.
	ErrRefused = merry.New("refused")
	// ErrConflict reports a change that lost against a concurrent change.
	ErrConflict = merry.New("conflict")
	// ErrNotPublished reports a change that did not reach the log, or a failed call that changes
	// nothing.
	ErrNotPublished = merry.New("not published")
	// ErrUnknown reports a change that may be in force.
	ErrUnknown = merry.New("result unknown")
	// ErrNotInForce reports that a change was not in force on all daemons within the timeout.
	ErrNotInForce = merry.New("not in force on all daemons in time")
	// ErrUsage reports a command line that is not valid.
	ErrUsage = merry.New("usage")
)

var exitCodes = []struct {
	err  error
	code int
}{{ErrRefused, 1}, {ErrConflict, 2}, {ErrNotPublished, 3}, {ErrUnknown, 4}, {ErrNotInForce, 5}, {ErrUsage, 6}}

// ExitCode returns the exit code of an error: 0 for nil, and 1 for an error that is not one of
// this package.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	for _, e := range exitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return 1
}

func failf(kind error, format string, args ...any) error {
	return merry.Appendf(kind, format, args...)
}

// callError converts the error of a call that changes nothing, unless the server's response
// indicates otherwise.
func (g *Globals) callError(err error) error {
	text := err.Error()
	var ce *connect.Error
	if errors.As(err, &ce) {
		text = ce.Message()
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return failf(ErrRefused, "%s; set --token or LENTILPICK_TOKEN", text)
	case connect.CodeUnimplemented:
		return failf(ErrRefused, "the daemon at %s does not implement this call; use a daemon of the current version", g.Address)
	case connect.CodeInvalidArgument, connect.CodePermissionDenied:
		return failf(ErrRefused, "%s", text)
	case connect.CodeAborted:
		return failf(ErrConflict, "%s", text)
	}
	return failf(ErrNotPublished, "%s; check --address or try another control daemon", text)
}

// isDecided reports whether the server has evaluated and rejected the change.
func isDecided(err error) bool {
	c := connect.CodeOf(err)
	return c == connect.CodeInvalidArgument || c == connect.CodeAborted
}

// isCallRejected reports whether the server rejected the call without evaluating the change, so
// that a retry cannot succeed.
func isCallRejected(err error) bool {
	c := connect.CodeOf(err)
	return c == connect.CodeUnauthenticated || c == connect.CodePermissionDenied || c == connect.CodeUnimplemented
}

// isCertainlyNotPublished reports whether this attempt certainly did not reach the log: the server
// returned this result, or no connection was made. An interrupted connection has the same code as
// the server's response, but does not show whether the change was published.
func isCertainlyNotPublished(err error) bool {
	if connect.CodeOf(err) == connect.CodeUnavailable && connect.IsWireError(err) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
