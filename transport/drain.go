package transport

import (
	"io"
	"net"
	"time"
)

const (
	// drainTimeout and maxDrainBytes bound the rest of a rejected message that is read
	// and discarded. They suffice for the rest of a header or a small body.
	drainTimeout  = 100 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// Drain reads and discards what the peer still sends, within bounds of time and size.
// Closing a connection with unread bytes resets it, and the peer may lose a response
// that was written before.
func Drain(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, c, maxDrainBytes)
}

// DrainAfterResponse closes the sending side of the connection and drains the receiving
// side. The caller closes the connection afterwards.
func DrainAfterResponse(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	Drain(c)
}
