package load

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func roundTrip(t *testing.T, c net.Conn, wait time.Duration) error {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(wait)))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a blocked relay that forwards data, or that refuses connections
// instead of stalling them: the scenario daemon-cut-off would then not simulate a
// network partition.
func TestBlockedRelayStallsConnections(t *testing.T) {
	r, err := newRelay("127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	defer r.close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.listener.Addr().String())
		assert.NilError(t, err)
		return c
	}
	old := dial()
	assert.NilError(t, roundTrip(t, old, time.Minute))
	r.setBlocked(true)
	for _, c := range []net.Conn{old, dial()} {
		var n net.Error
		err := roundTrip(t, c, 50*time.Millisecond)
		assert.Assert(t, errors.As(err, &n) && n.Timeout(), "%v", err)
	}
	r.setBlocked(false)
	assert.NilError(t, roundTrip(t, dial(), time.Minute))
}
