package logclient

import (
	"net"
	"time"
)

const (
	// progressTimeout is the time without data after which a response in progress is given up.
	progressTimeout = readTimeout
	// maxTransferTime bounds a response in addition to its timeout. The snapshot of the largest
	// configuration is a response of 4.4 MB, which takes 3.5 s at 10 Mbit/s.
	maxTransferTime = 30 * time.Second
)

// progressConn extends the deadline of a read while data arrives, so that the timeout of a call
// detects an unresponsive connection and does not bound the size of a response. It is used by one
// call at a time.
type progressConn struct {
	net.Conn
	deadline, latest time.Time
}

// SetDeadline implements net.Conn.
func (c *progressConn) SetDeadline(t time.Time) error {
	c.setRead(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.setRead(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *progressConn) setRead(t time.Time) { c.deadline, c.latest = t, t.Add(maxTransferTime) }

// Read implements net.Conn.
func (c *progressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.deadline.IsZero() {
		return n, err
	}
	next := time.Now().Add(progressTimeout)
	if next.After(c.latest) {
		next = c.latest
	}
	if next.After(c.deadline) {
		c.deadline = next
		if deadlineErr := c.Conn.SetReadDeadline(next); err == nil {
			err = deadlineErr
		}
	}
	return n, err
}
