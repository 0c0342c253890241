package logclient

import (
	"errors"
	"net"
	"time"
)

// dialError is a failure that occurred before any byte of a request was written.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(addr string, timeout time.Duration, wrap func(net.Conn) net.Conn) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &dialError{err}
	}
	if wrap != nil {
		conn = wrap(conn)
	}
	return conn, nil
}

func isDialError(err error) bool {
	var d *dialError
	return errors.As(err, &d)
}
