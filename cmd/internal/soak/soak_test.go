package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform/standin"
)

func answeredOutcome(id, route string) outcome {
	o := outcome{id: id, route: route, status: 200, hasServerStamp: true, complete: true, node: "n"}
	o.body = expectedBody(&o)
	return o
}

// Guards against a soak that passes whatever happens: the check must report each
// violated guarantee and accept each allowed outcome.
func TestOracle(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(o *outcome)
		runs    int
		body    string
		wantErr bool
	}{
		"answered":            {func(*outcome) {}, 1, "", false},
		"ran twice":           {func(*outcome) {}, 2, "", true},
		"refused, not run":    {func(o *outcome) { o.status = 503 }, 0, "", false},
		"refused, but ran":    {func(o *outcome) { o.status = 503 }, 1, "", true},
		"unknown, ran":        {func(o *outcome) { o.status = 502 }, 1, "", false},
		"another body ran":    {func(*outcome) {}, 1, "other", true},
		"other's response":    {func(o *outcome) { o.body = standin.PlainResponse("x") }, 1, "", true},
		"part of response":    {func(o *outcome) { o.body = o.body[:3] }, 1, "", true},
		"truncated":           {func(o *outcome) { o.body, o.complete, o.err = o.body[:3], false, io.ErrUnexpectedEOF }, 1, "", false},
		"truncated and wrong": {func(o *outcome) { o.body, o.complete = "x", false }, 1, "", true},
		"no server stamp":     {func(o *outcome) { o.hasServerStamp = false }, 1, "", true},
	} {
		o := answeredOutcome("r1", "once")
		c.change(&o)
		body := "body of r1"
		if c.body != "" {
			body = c.body
		}
		assert.Equal(t, o.check(c.runs, body) != nil, c.wantErr, name)
	}
	o := answeredOutcome("r2", "resume")
	assert.NilError(t, o.check(2, "body of r2"), "a resumable stream may run twice")
}

// Guards against a link that loses bytes without a fault, forwards responses while
// they are blocked, or loses the bytes that it blocked.
func TestLink(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	k, err := newLink(l.Addr().String())
	assert.NilError(t, err)
	c, err := net.Dial("tcp4", k.address())
	assert.NilError(t, err)
	defer c.Close()
	buf := make([]byte, 1)
	_, err = c.Write([]byte("a"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, buf)
	assert.NilError(t, err)
	k.setFault(faultBlockResponses)
	_, err = c.Write([]byte("b"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = c.Read(buf)
	assert.ErrorContains(t, err, "timeout")
	k.setFault(faultNone)
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), "b")
}

// Guards against a node that does not start because its two ports are the same, or because a connection
// that another process opens has taken one of them.
func TestNodePortsAreNotTakenByConnections(t *testing.T) {
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	assert.NilError(t, err)
	var first, last int
	_, err = fmt.Sscan(string(b), &first, &last)
	assert.NilError(t, err)
	assert.Assert(t, callerPort != readyPort)
	for _, port := range []int{callerPort, readyPort} {
		assert.Assert(t, port < first || port > last, "%d of %d to %d", port, first, last)
	}
}
