package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentilpick/lentilpick/platform/standin"
	"github.com/lentilpick/lentilpick/types"
)

// keptConn is a caller that sends one request after the other on its connection.
type keptConn struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (w *testEnv) dialCaller() *keptConn {
	conn, err := net.Dial("tcp4", strings.TrimPrefix(w.url, "http://"))
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{w.t, conn, bufio.NewReader(conn)}
}

// send sends a request that its caller waits longer for than a node takes to stop.
func (k *keptConn) send(id, route string) {
	h := standin.Headers(id, route == "chat")
	h["X-Deadline-Ms"] = "20000"
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 6\r\n", route, standin.Host)
	for name, value := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	_, err := io.WriteString(k.conn, b.String()+"\r\nprompt")
	assert.NilError(k.t, err)
}

func (k *keptConn) head() *http.Response {
	resp, err := http.ReadResponse(k.r, nil)
	assert.NilError(k.t, err)
	return resp
}

// newStoppingEnv starts a node whose stop ends 3.5 s after it begins, and routes with a longer
// time-out.
func newStoppingEnv(t *testing.T) *testEnv {
	w := newEnv(t)
	w.gracePeriod = 4 * time.Second
	w.startNode(0)
	w.version++
	w.store.ConfigureTimeout(w.version, 20*time.Second)
	w.awaitReady()
	return w
}

// assertRefused asserts that a request got a complete refusal because of the stop, and has not run.
func (w *testEnv) assertRefused(id string, resp *http.Response) {
	w.t.Helper()
	assert.Equal(w.t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(w.t, resp.Header.Get("X-Refusal-Reason"), types.RefusedStopping.String())
	assert.Assert(w.t, resp.Header.Get("Retry-After") != "")
	assert.Assert(w.t, resp.Close, "the caller has to use another node")
	assert.Equal(w.t, w.runsOf(id), 0)
}

// Guards against a stopping node that passes on a stream and cuts it when its process ends: one that
// arrives on a new connection, and one on a connection that was kept open by an earlier response.
func TestStoppingNodeBeginsNoStreamThatItCannotEnd(t *testing.T) {
	w := newStoppingEnv(t)
	const events = 80
	w.decode.SetBehaviour(standin.Behaviour{Work: 50 * time.Millisecond, Events: events})
	kept := w.dialCaller()
	kept.send("begun-before", "chat")
	before := kept.head()
	assert.Assert(t, !before.Close)
	time.Sleep(time.Second)
	fresh := w.dialCaller()
	w.beginStop()
	time.Sleep(200 * time.Millisecond)
	fresh.send("on-new-connection", "chat")
	w.assertRefused("on-new-connection", fresh.head())

	body, err := io.ReadAll(before.Body)
	assert.NilError(t, err, "the stream that began before the stop is cut")
	assert.Equal(t, strings.Count(string(body), "id: "), events)
	kept.send("on-kept-connection", "chat")
	w.assertRefused("on-kept-connection", kept.head())
	w.stop()
}

// Guards against a stop that ends without a response to a request that a target is still running.
func TestStoppingNodeAnswersWhatItCannotEnd(t *testing.T) {
	w := newStoppingEnv(t)
	for _, target := range w.plain {
		target.SetBehaviour(standin.Behaviour{Unresponsive: true})
	}
	caller := w.dialCaller()
	caller.send("r1", "once")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.runsOf("r1") == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not reached a target")
	}, poll.WithDelay(time.Millisecond))
	w.stop()
	resp := caller.head()
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "it may have run")
	assert.Equal(t, resp.Header.Get("X-Refusal-Reason"), types.RefusedStopping.String())
	assert.Assert(t, resp.Close)
}
