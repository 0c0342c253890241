package transport

import (
	"io"
	"net"
	"time"
)

const (
	// drainTime and drainBytes bound what is read of a message that is not served:
	// a caller sends the rest of a header or a small body in that time.
	drainTime  = 100 * time.Millisecond
	drainBytes = 256 << 10
)

// Drain reads what the peer of a connection still sends, within bounds. Closing a
// connection with bytes that were not read resets it, and the peer may lose the
// answer that was written before.
func Drain(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, c, drainBytes)
}

// DrainAfterAnswer tells the peer that nothing follows the answer, and drains the
// connection before it is closed.
func DrainAfterResponse(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	Drain(c)
}
