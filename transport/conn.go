// Package transport keeps HTTP/1.1 connections to targets. A connection
// carries one request at a time, ends reads and writes that make no progress,
// and knows whether a byte of a request was written.
package transport

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNotSent reports a failure before the first byte of the request was written.
var ErrNotSent = errors.New("request was not sent")

const (
	readBufBytes  = 8 << 10
	writeBufBytes = 4 << 10
)

// Conn is a connection to a target that carries one request at a time. It ends
// a read or write that makes no progress, since a connection that something
// between the two ends has dropped gives no error by itself.
type Conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	opened time.Time
	idle   time.Time // since when it is idle
	expire *time.Timer

	progress time.Duration
	bound    time.Time // end of the request at the latest
	sent     bool      // a byte of the request was written
}

func newConn(c net.Conn) *Conn {
	cn := &Conn{Conn: c, opened: time.Now()}
	cn.r = bufio.NewReaderSize(cn, readBufBytes)
	cn.w = bufio.NewWriterSize(cn, writeBufBytes)
	return cn
}

// Read implements net.Conn within the progress deadline.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn within the progress deadline.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.deadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent = c.sent || n > 0
	return n, err
}

func (c *Conn) deadline() time.Time {
	d := time.Now().Add(c.progress)
	if c.bound.Before(d) {
		return c.bound
	}
	return d
}

// SetProgress bounds the time between two reads or writes that move data.
func (c *Conn) SetProgress(d time.Duration) { c.progress = d }

// SetBound sets the time at which the request ends at the latest.
func (c *Conn) SetBound(t time.Time) { c.bound = t }

// Sent reports whether a byte of the current request was written.
func (c *Conn) Sent() bool { return c.sent }

// Idle returns how long the connection was not in use before now.
func (c *Conn) Idle(now time.Time) time.Duration { return now.Sub(c.idle) }

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.r }

// Begin starts a new request within the given limits.
func (c *Conn) Begin(progress time.Duration, bound time.Time) {
	c.progress, c.bound, c.sent = progress, bound, false
}

// WriteAll writes a whole message. The error wraps ErrNotSent when no byte of
// the request was written.
func (c *Conn) WriteAll(parts ...[]byte) error {
	for _, p := range parts {
		if _, err := c.w.Write(p); err != nil {
			return c.writeError(err)
		}
	}
	return c.writeError(c.w.Flush())
}

func (c *Conn) writeError(err error) error {
	if err != nil && !c.sent {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// RoundTrip writes a request and reads the header of its answer. The error
// wraps ErrNotSent when no byte was written.
func (c *Conn) RoundTrip(req *fasthttp.Request, resp *fasthttp.Response, progress time.Duration, bound time.Time) error {
	c.Begin(progress, bound)
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return c.writeError(err)
	}
	return c.ReadHead(resp, req.Header.IsHead())
}

// ReadHead reads the header of an answer; its body is left as a stream.
func (c *Conn) ReadHead(resp *fasthttp.Response, skipBody bool) error {
	resp.StreamBody = true
	resp.SkipBody = skipBody
	return resp.Read(c.r)
}

// Quiet reports whether the connection is open and has nothing to read. Data
// on an idle connection is a late answer, which belongs to nobody.
func (c *Conn) Quiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peek = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peek == syscall.EAGAIN || peek == syscall.EWOULDBLOCK)
}
