package transport

import (
	"net"
	"time"
)

// ProgressConn is a connection whose read deadline moves with the data that arrives. HTTP clients
// set one deadline for a whole response, which on a slow link cuts off a large response that is
// still arriving, and the next attempt requests the same again. With a ProgressConn the deadline
// that is set from outside bounds the time until the first byte. It is used by one call at a time.
type ProgressConn struct {
	net.Conn
	// StallTimeout bounds the time between two reads that return data, and MaxTransferTime the
	// time from the deadline set from outside to the end of the response.
	StallTimeout, MaxTransferTime time.Duration
	// end is the latest deadline, zero if no deadline is set.
	end time.Time
}

// SetDeadline implements net.Conn.
func (c *ProgressConn) SetDeadline(t time.Time) error {
	c.setEnd(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *ProgressConn) SetReadDeadline(t time.Time) error {
	c.setEnd(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *ProgressConn) setEnd(t time.Time) {
	c.end = t
	if !t.IsZero() {
		c.end = t.Add(c.MaxTransferTime)
	}
}

// Read implements net.Conn.
func (c *ProgressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || err != nil || c.end.IsZero() {
		return n, err
	}
	next := time.Now().Add(c.StallTimeout)
	if next.After(c.end) {
		next = c.end
	}
	return n, c.Conn.SetReadDeadline(next)
}
