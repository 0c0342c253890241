package engine

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readBufBytes  = 8 << 10
	writeBufBytes = 4 << 10
	// probeAfter is how long a connection may be idle before it is probed for a
	// request that must not run twice. Such a request cannot be sent again, so
	// that a connection that died unnoticed would cost its result.
	probeAfter = 100 * time.Millisecond
	probePath  = "/v1/state"
	// maxProbeAnswer bounds the answer to a probe.
	maxProbeAnswer = 64 << 10
)

// conn is a connection to a target that carries one request at a time. It ends
// a read or write that makes no progress, since a connection that something
// between the two ends has dropped gives no error by itself.
type conn struct {
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

func newConn(c net.Conn) *conn {
	cn := &conn{Conn: c, opened: time.Now()}
	cn.r = bufio.NewReaderSize(cn, readBufBytes)
	cn.w = bufio.NewWriterSize(cn, writeBufBytes)
	return cn
}

// Read implements net.Conn within the progress deadline.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn within the progress deadline.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.deadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent = c.sent || n > 0
	return n, err
}

func (c *conn) deadline() time.Time {
	d := time.Now().Add(c.progress)
	if c.bound.Before(d) {
		return c.bound
	}
	return d
}

// roundTrip writes a request and reads the header of its answer. The error
// wraps ErrNotSent when no byte was written.
func (c *conn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, progress time.Duration, bound time.Time) error {
	c.progress, c.bound, c.sent = progress, bound, false
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil && !c.sent {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return convert(err)
	}
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	if err := resp.Read(c.r); err != nil {
		return convert(err)
	}
	return nil
}

// quiet reports whether the connection is open and has nothing to read. Data
// on an idle connection is a late answer, which belongs to nobody.
func (c *conn) quiet() bool {
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

// host holds the idle connections to one target and counts all of them.
type host struct {
	address string
	mu      sync.Mutex
	idle    []*conn // the most recently used last
	open    int
}

// take returns the most recently used idle connection, or nil.
func (h *host) take() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	c := h.idle[n-1]
	h.idle = h.idle[:n-1]
	c.expire.Stop()
	return c
}

// put keeps a connection for later requests for at most maxIdle.
func (h *host) put(c *conn, maxIdle time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.idle = time.Now()
	c.expire = time.AfterFunc(maxIdle, func() { h.drop(c) })
	h.idle = append(h.idle, c)
}

// drop closes a connection if it is still idle.
func (h *host) drop(c *conn) {
	h.mu.Lock()
	found := false
	for i, v := range h.idle {
		if v == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			found = true
			break
		}
	}
	h.mu.Unlock()
	if found {
		h.close(c)
	}
}

// reserve counts a new connection unless there are limit already.
func (h *host) reserve(limit int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open >= limit {
		return false
	}
	h.open++
	return true
}

func (h *host) unreserve() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
}

func (h *host) close(c *conn) {
	_ = c.Close()
	h.unreserve()
}
