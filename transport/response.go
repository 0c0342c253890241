package transport

import (
	"bytes"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// maxStatusLineBytes bounds a status line that a ResponseConn buffers.
const maxStatusLineBytes = 512

// ResponseConn checks the status line of each response on a connection of the HTTP library's own
// client, which reports status 000 as 200. Reads fail with ErrInvalidHead if it is none, or if it is
// that of an interim response: no request of such a client awaits one, and the head after it would
// not be checked. It carries one request at a time.
type ResponseConn struct {
	net.Conn
	line    []byte // beginning of the response to the last request
	checked bool
}

// NewResponseConn returns a ResponseConn on an open connection.
func NewResponseConn(c net.Conn) *ResponseConn { return &ResponseConn{Conn: c} }

// Write implements net.Conn. The next bytes that are read begin a response.
func (c *ResponseConn) Write(b []byte) (int, error) {
	c.line, c.checked = c.line[:0], false
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *ResponseConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.checked || n == 0 {
		return n, err
	}
	line, _, complete := bytes.Cut(b[:n], []byte("\n"))
	c.line = append(c.line, line[:min(len(line), maxStatusLineBytes)]...)
	if len(c.line) > maxStatusLineBytes {
		return 0, fmt.Errorf("status line of more than %d bytes: %w", maxStatusLineBytes, ErrInvalidHead)
	}
	if !complete {
		return n, err
	}
	c.checked = true
	status, headErr := parseStatus(c.line)
	if headErr != nil {
		return 0, headErr
	}
	if status < fasthttp.StatusOK {
		return 0, fmt.Errorf("interim status %d: %w", status, ErrInvalidHead)
	}
	return n, err
}
