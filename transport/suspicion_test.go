package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// scriptedConn returns one error a read, and records the read deadlines.
type scriptedConn struct {
	net.Conn
	errs      []error
	deadlines []time.Time
}

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return nil
}

func (c *scriptedConn) Read([]byte) (int, error) {
	err := c.errs[0]
	c.errs = c.errs[1:]
	return 0, err
}

// Guards against a lost link that is noticed only when a request times out, against a request that
// the checks end or prolong, and against suspicion of a slow target or upload.
func TestRequestWithoutAcknowledgmentIsSuspicious(t *testing.T) {
	timeout := os.ErrDeadlineExceeded
	for name, c := range map[string]struct {
		errs    []error
		queued  []int // of each check
		suspect int
	}{
		"not acknowledged":  {[]error{timeout, timeout, timeout}, []int{80, 80}, 1},
		"acknowledged":      {[]error{timeout, timeout}, []int{0}, 0},
		"acknowledged late": {[]error{timeout, timeout, timeout}, []int{80, 0}, 0},
		"slow upload":       {[]error{timeout, timeout, timeout}, []int{900, 800}, 0},
		"reset":             {[]error{syscall.ECONNRESET}, nil, 1},
		"reset later":       {[]error{timeout, syscall.ECONNRESET}, []int{0}, 1},
		"given up":          {[]error{timeout, timeout, syscall.ETIMEDOUT}, []int{900, 800}, 1},
		"closed":            {[]error{net.ErrClosed}, nil, 0},
	} {
		raw := &scriptedConn{errs: c.errs}
		conn, suspected := newConn(raw), 0
		conn.queued = func() int {
			n := c.queued[0]
			c.queued = c.queued[1:]
			return n
		}
		conn.OnSuspicion(func() { suspected++ })
		conn.Begin(time.Second, time.Now().Add(time.Minute))
		var resp fasthttp.Response
		last := c.errs[len(c.errs)-1]
		if err := conn.ReadHead(&resp, false); !errors.Is(err, last) || suspected != c.suspect || len(raw.errs)+len(c.queued) > 0 {
			t.Errorf("%s: error %v, suspected %d times, %d reads and %d checks left", name, err, suspected, len(raw.errs), len(c.queued))
		}
		if n := len(raw.deadlines); n > 1 && !raw.deadlines[n-1].After(raw.deadlines[0].Add(time.Second/2)) {
			t.Errorf("%s: deadlines %v", name, raw.deadlines)
		}
	}
}

// Guards against a check that waits beyond the deadline of a request.
func TestShortRequestIsNotChecked(t *testing.T) {
	raw := &scriptedConn{errs: []error{os.ErrDeadlineExceeded}}
	conn := newConn(raw)
	conn.OnSuspicion(func() { t.Error("suspected") })
	deadline := time.Now().Add(ackCheckDelay / 2)
	conn.Begin(time.Second, deadline)
	var resp fasthttp.Response
	if err := conn.ReadHead(&resp, false); !errors.Is(err, os.ErrDeadlineExceeded) || !raw.deadlines[0].Equal(deadline) {
		t.Fatalf("error %v, deadlines %v", err, raw.deadlines)
	}
}

// Guards against an idle connection that is closed because the deadline of its last response has
// passed, so that the next request opens a new one.
func TestIdleConnectionOutlivesDeadlineOfItsResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(raw)
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if !c.Reusable() {
		t.Fatal("not reusable")
	}
}

// Guards against a request that ends because its target was silent for a second, when the only
// keep-alive probe of its connection was due.
func TestLostProbeDoesNotEndAConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(Settings{DialTimeout: 5 * time.Second, MaxConns: 1, UserTimeout: 2 * time.Second})
	c, err := p.Dial(context.Background(), l.Addr().String(), time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.control(func(fd int) {
		if v, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE); err != nil || v != 0 {
			t.Errorf("keep-alive probes %d, error %v", v, err)
		}
	})
}
