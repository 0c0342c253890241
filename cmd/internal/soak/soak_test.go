package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform/standin"
)

func answered(id, route string) outcome {
	o := outcome{id: id, route: route, status: 200, stamped: true, whole: true, node: "n"}
	o.body = expected(&o)
	return o
}

// Guards against a soak that passes whatever happens: each broken promise is
// seen, and what is allowed is not.
func TestOracle(t *testing.T) {
	for name, c := range map[string]struct {
		change func(o *outcome)
		runs   int
		body   string
		broken bool
	}{
		"answered":             {func(*outcome) {}, 1, "", false},
		"ran twice":            {func(*outcome) {}, 2, "", true},
		"refused, not run":     {func(o *outcome) { o.status = 503 }, 0, "", false},
		"refused, but ran":     {func(o *outcome) { o.status = 503 }, 1, "", true},
		"unknown, ran":         {func(o *outcome) { o.status = 502 }, 1, "", false},
		"another body ran":     {func(*outcome) {}, 1, "other", true},
		"another's answer":     {func(o *outcome) { o.body = standin.PlainResponse("x") }, 1, "", true},
		"part of an answer":    {func(o *outcome) { o.body = o.body[:3] }, 1, "", true},
		"cut":                  {func(o *outcome) { o.body, o.whole, o.err = o.body[:3], false, io.ErrUnexpectedEOF }, 1, "", false},
		"cut, with wrong part": {func(o *outcome) { o.body, o.whole = "x", false }, 1, "", true},
		"no signature":         {func(o *outcome) { o.stamped = false }, 1, "", true},
	} {
		o := answered("r1", "once")
		c.change(&o)
		body := "body of r1"
		if c.body != "" {
			body = c.body
		}
		assert.Equal(t, o.check(c.runs, body) != nil, c.broken, name)
	}
	o := answered("r2", "resume")
	assert.NilError(t, o.check(2, "body of r2"), "a stream that may be resumed may run twice")
}

// Guards against a link that loses bytes while it is sound, moves them while it
// is silent, or loses what it held back.
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
	k.set(faultOneWay)
	_, err = c.Write([]byte("b"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = c.Read(buf)
	assert.ErrorContains(t, err, "timeout")
	k.set(faultNone)
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), "b")
}
