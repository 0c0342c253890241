// Package transport pools HTTP/1.1 connections to targets. A connection carries
// one request at a time, times out reads and writes that make no progress, and
// records whether a byte of the request was written.
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
	// ErrConnLimit reports that the limit of open connections to a target is reached.
	ErrConnLimit = errors.New("too many open connections")
	// ErrNotSent reports a failure before the first byte of the request was written.
	ErrNotSent = errors.New("no byte of the request was written")
	// ErrTooLarge reports a response that exceeds the limit of SetReadLimit, or a response
	// header that exceeds the read buffer or maxHeadBytes.
	ErrTooLarge = errors.New("limit on bytes read from the connection reached")
)

const (
	// readBufBytes is also the size limit of one response header, which is decoded from
	// the buffer.
	readBufBytes  = 8 << 10
	writeBufBytes = 4 << 10
	// maxHeadBytes bounds the bytes read before the response body: the header, the
	// headers of interim (1xx) responses, and the part of the body that is read ahead.
	maxHeadBytes = 8 * readBufBytes
)

// Conn is a connection to a target that carries one request at a time. It times
// out a read or write that makes no progress, because a connection that was
// dropped by a device on the path reports no error by itself.
type Conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	opened    time.Time
	idleSince time.Time
	idleTimer *time.Timer

	progressTimeout time.Duration
	requestDeadline time.Time // upper bound of the I/O deadlines
	sent            bool      // at least one byte of the request was written
	readRemaining   int64     // bytes until the read limit
	lifetime        int64     // of the peer, 0 if it was not verified
}

func newConn(c net.Conn) *Conn {
	cn := &Conn{Conn: c, opened: time.Now()}
	cn.r = bufio.NewReaderSize(cn, readBufBytes)
	cn.w = bufio.NewWriterSize(cn, writeBufBytes)
	return cn
}

// Read implements net.Conn with the progress timeout as deadline. It returns
// ErrTooLarge when the read limit is reached.
func (c *Conn) Read(b []byte) (int, error) {
	if c.readRemaining <= 0 {
		return 0, ErrTooLarge
	}
	if err := c.SetReadDeadline(c.nextIODeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.readRemaining)])
	c.readRemaining -= int64(n)
	return n, err
}

// Write implements net.Conn with the progress timeout as deadline.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.nextIODeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent = c.sent || n > 0
	return n, err
}

func (c *Conn) nextIODeadline() time.Time {
	d := time.Now().Add(c.progressTimeout)
	if c.requestDeadline.Before(d) {
		return c.requestDeadline
	}
	return d
}

// SetProgressTimeout sets the timeout of each single read or write.
func (c *Conn) SetProgressTimeout(d time.Duration) { c.progressTimeout = d }

// SetRequestDeadline sets the time at which reads and writes of the current request
// time out, whatever progress they make.
func (c *Conn) SetRequestDeadline(t time.Time) { c.requestDeadline = t }

// SetReadLimit limits the bytes that can be read from now on until the next request. The
// bytes of the transfer encoding count.
func (c *Conn) SetReadLimit(n int64) { c.readRemaining = n }

// Sent reports whether at least one byte of the current request was written.
func (c *Conn) Sent() bool { return c.sent }

// IdleTime returns how long the connection has been idle at the time now.
func (c *Conn) IdleTime(now time.Time) time.Duration { return now.Sub(c.idleSince) }

// Lifetime returns the value of SetLifetime, or 0.
func (c *Conn) Lifetime() int64 { return c.lifetime }

// SetLifetime records which lifetime of the peer was found at the other end. It holds as long as
// the connection, which ends with the process of the peer.
func (c *Conn) SetLifetime(v int64) { c.lifetime = v }

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.r }

// Begin starts a new request with the given progress timeout and deadline, and resets
// Sent and the read limit.
func (c *Conn) Begin(progressTimeout time.Duration, deadline time.Time) {
	c.progressTimeout, c.requestDeadline, c.sent, c.readRemaining = progressTimeout, deadline, false, maxHeadBytes
}

// WriteAll writes the parts of a request and flushes the buffer. The error wraps
// ErrNotSent if no byte of the request was written.
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

// RoundTrip writes a request and reads the response header. The error wraps
// ErrNotSent if no byte of the request was written.
func (c *Conn) RoundTrip(req *fasthttp.Request, resp *fasthttp.Response, progressTimeout time.Duration, deadline time.Time) error {
	c.Begin(progressTimeout, deadline)
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return c.writeError(err)
	}
	return c.ReadHead(resp, req.Header.IsHead())
}

// ReadHead reads the response header and leaves the body as a stream, without a read
// limit until SetReadLimit is called. The error wraps ErrTooLarge if the header exceeds
// its limits.
func (c *Conn) ReadHead(resp *fasthttp.Response, skipBody bool) error {
	resp.StreamBody = true
	resp.SkipBody = skipBody
	err := resp.Read(c.r)
	c.readRemaining = math.MaxInt64
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	return err
}

// Reusable reports whether the connection is open and has no data to read. Data on
// an idle connection is a late response to an earlier request, so that the connection
// must not carry another one.
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
