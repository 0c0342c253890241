// Package transport keeps HTTP/1.1 connections to targets. A connection
// carries one request at a time, ends reads and writes that make no progress,
// and knows whether a byte of a request was written.
package transport

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent reports a failure before the first byte of the request was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrTooLarge reports an answer that is longer than SetReadLimit allows, or whose head
	// is longer than one may be.
	ErrTooLarge = errors.New("answer is too long")
)

const (
	// readBufBytes is the longest head that can be decoded.
	readBufBytes  = 8 << 10
	writeBufBytes = 4 << 10
	// maxHeadBytes bounds all heads before an answer's body, interim ones as well,
	// and what is read ahead of the body.
	maxHeadBytes = 8 * readBufBytes
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
	left     int64     // bytes that may still be read
}

func newConn(c net.Conn) *Conn {
	cn := &Conn{Conn: c, opened: time.Now()}
	cn.r = bufio.NewReaderSize(cn, readBufBytes)
	cn.w = bufio.NewWriterSize(cn, writeBufBytes)
	return cn
}

// Read implements net.Conn within the progress deadline. The error wraps
// ErrTooLarge when no more bytes may be read.
func (c *Conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, ErrTooLarge
	}
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
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

// SetProgressTimeout bounds the time between two reads or writes that move data.
func (c *Conn) SetProgressTimeout(d time.Duration) { c.progress = d }

// SetBound sets the time at which the request ends at the latest.
func (c *Conn) SetRequestDeadline(t time.Time) { c.bound = t }

// SetReadLimit bounds the bytes that are read from now on until the next request, those
// of the encoding included.
func (c *Conn) SetReadLimit(n int64) { c.left = n }

// Sent reports whether a byte of the current request was written.
func (c *Conn) Sent() bool { return c.sent }

// Idle returns how long the connection was not in use before now.
func (c *Conn) IdleTime(now time.Time) time.Duration { return now.Sub(c.idle) }

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.r }

// Begin starts a new request within the given limits.
func (c *Conn) Begin(progress time.Duration, bound time.Time) {
	c.progress, c.bound, c.sent, c.left = progress, bound, false, maxHeadBytes
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

// ReadHead reads the header of an answer; its body is left as a stream, of which
// all may be read until SetReadLimit says less. The error wraps ErrTooLarge if the
// header is longer than one may be.
func (c *Conn) ReadHead(resp *fasthttp.Response, skipBody bool) error {
	resp.StreamBody = true
	resp.SkipBody = skipBody
	err := resp.Read(c.r)
	c.left = math.MaxInt64
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	return err
}

// Quiet reports whether the connection is open and has nothing to read. Data
// on an idle connection is a late answer, which belongs to nobody.
func (c *Conn) Reusable() bool {
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
