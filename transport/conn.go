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
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
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
	// writePieceBytes is the number of bytes of a request after which the connection is checked
	// for a response that begins before its request was sent.
	writePieceBytes = 256 << 10
	// resetDelay is how long a reset may arrive after the close that it follows. A target that
	// closes a connection without having read the request sends both within microseconds.
	resetDelay = 2 * time.Millisecond
	// minUploadBytes is the size of a request from which on a reset is waited for. Targets read
	// smaller requests with their head.
	minUploadBytes = 16 << 10
	// ackCheckDelay is the time without a response after which the connection is checked for data
	// that is not acknowledged: several round trips between regions. It is suspicious if none of it
	// is acknowledged within ackCheckInterval either. A slow link or reader acknowledges some.
	ackCheckDelay    = 100 * time.Millisecond
	ackCheckInterval = 50 * time.Millisecond
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
	written         int64     // bytes of the request that were written
	early           bool      // the response began before the target had the whole request
	readRemaining   int64     // bytes until the read limit
	lifetime        int64     // of the peer, 0 if it was not verified
	checkAck        bool      // acknowledgments are checked by the next read
	suspect         func()    // of OnSuspicion, or nil

	// sleep is time.Sleep, and queued is unacknowledged, except in tests.
	sleep  func(time.Duration)
	queued func() int
}

func newConn(c net.Conn) *Conn {
	cn := &Conn{Conn: c, opened: time.Now(), sleep: time.Sleep}
	cn.queued = cn.unacknowledged
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
	n, err := c.readBefore(b[:min(int64(len(b)), c.readRemaining)], c.nextIODeadline())
	c.readRemaining -= int64(n)
	c.checkBroken(err)
	return n, err
}

// readBefore reads until the deadline. The first read of a response is interrupted to check whether
// the peer acknowledges the request.
func (c *Conn) readBefore(b []byte, deadline time.Time) (int, error) {
	for before, delay := 0, ackCheckDelay; c.checkAck; delay = ackCheckInterval {
		check := time.Now().Add(delay)
		if !check.Before(deadline) {
			break
		}
		if err := c.SetReadDeadline(check); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.checkAck = false
			return n, err
		}
		queued := c.queued()
		if before > 0 && queued >= before {
			c.suspect()
		}
		c.checkAck = before == 0 && queued > 0
		before = queued
	}
	c.checkAck = false
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// OnSuspicion sets a function that is called when the connection breaks, or the peer does not
// acknowledge a request. Neither a close nor a missing response is suspicious. The function must not
// block.
func (c *Conn) OnSuspicion(f func()) { c.suspect = f }

func (c *Conn) checkBroken(err error) {
	if err == nil || c.suspect == nil {
		return
	}
	for _, e := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, e) {
			c.suspect()
			return
		}
	}
}

// Write implements net.Conn with the progress timeout as deadline.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.nextIODeadline()); err != nil {
		return 0, err
	}
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+writePieceBytes, len(b))])
		written += n
		c.sent, c.written = c.sent || n > 0, c.written+int64(n)
		if err != nil || written == len(b) {
			c.checkBroken(err)
			return written, err
		}
		c.early = c.early || c.hasInput()
	}
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
// Sent, Early and the read limit.
func (c *Conn) Begin(progressTimeout time.Duration, deadline time.Time) {
	c.progressTimeout, c.requestDeadline, c.sent, c.readRemaining = progressTimeout, deadline, false, maxHeadBytes
	c.early, c.written, c.checkAck = false, 0, c.suspect != nil
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
// its limits, and ErrInvalidHead if what arrives is no response.
func (c *Conn) ReadHead(resp *fasthttp.Response, skipBody bool) error {
	resp.StreamBody = true
	status := 0
	_, err := c.r.Peek(1)
	if err == nil {
		// What a target sends after it has read a request acknowledges all of it.
		c.early = c.early || c.unacknowledged() > 0
		status, err = readHead(c.r, &resp.Header)
	}
	c.readRemaining = math.MaxInt64
	if err == nil && !skipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified {
		err = resp.ReadBody(c.r, 0)
	}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	return err
}

// Early reports whether the response is known to have begun before the target had received the
// whole request. The connection must not carry another one.
func (c *Conn) Early() bool { return c.early }

// ClosedInOrder reports, after io.EOF, whether the close of the connection can be the end of a
// response whose end is not marked. It is not if the response began before its request was
// received, or if a reset followed the close: a target that closes a connection without having
// read the request resets it, and a read returns the close before the reset. After an upload it
// waits for resetDelay.
func (c *Conn) ClosedInOrder() bool {
	if c.early || c.unacknowledged() > 0 {
		return false
	}
	if !c.inCloseWait() {
		return false
	}
	if c.written < minUploadBytes {
		return true
	}
	c.sleep(resetDelay)
	return c.inCloseWait()
}

// inCloseWait reports whether the peer has closed the connection and not reset it. It returns true
// for a connection without a TCP state.
func (c *Conn) inCloseWait() bool {
	closeWait := true
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closeWait = info.State == unix.BPF_TCP_CLOSE_WAIT
		}
	})
	return closeWait
}

// unacknowledged returns the number of written bytes that the peer has not acknowledged, 0 if
// this is not known.
func (c *Conn) unacknowledged() int {
	n := 0
	c.control(func(fd int) {
		if v, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = v
		}
	})
	return n
}

// hasInput reports whether the peer has sent data or closed the connection.
func (c *Conn) hasInput() bool {
	input := c.r.Buffered() > 0
	c.control(func(fd int) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		input = input || err == nil
	})
	return input
}

// control calls f with the file descriptor of the connection, if it has one and is open.
func (c *Conn) control(f func(fd int)) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}

// Reusable reports whether the connection is open and has no data to read. Data on
// an idle connection is a late response to an earlier request, so that the connection
// must not carry another one.
func (c *Conn) Reusable() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	// The check is a read and would fail after the deadline of the last response.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
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
