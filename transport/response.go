package transport

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// ResponseConn checks the head of each response on a connection of the HTTP library's own client,
// which reports status 000 as 200 and takes blanks in names of fields. Reads fail with ErrInvalidHead
// if it is none, or if it is that of an interim response: no request of such a client awaits one, and
// the head after it would not be checked. It carries one request at a time.
type ResponseConn struct {
	net.Conn
	head headChecker // of the response to the last request
}

// NewResponseConn returns a ResponseConn on an open connection.
func NewResponseConn(c net.Conn) *ResponseConn { return &ResponseConn{Conn: c} }

// Write implements net.Conn. The next bytes that are read begin a response.
func (c *ResponseConn) Write(b []byte) (int, error) {
	c.head = headChecker{line: c.head.line[:0]}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *ResponseConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if headErr := c.head.feed(b[:n]); headErr != nil {
		return 0, headErr
	}
	if s := c.head.status; s != 0 && s < fasthttp.StatusOK {
		return 0, fmt.Errorf("interim status %d: %w", s, ErrInvalidHead)
	}
	return n, err
}
