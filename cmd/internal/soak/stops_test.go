package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// Guards against a scenario of stops that passes whatever happens: each broken promise of
// rule LOST must be detected, and each case that the rule leaves out must be accepted.
func TestStopsOracle(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	stop := &plannedStop{began, at(7.5)}
	run := func(from, to float64) standin.Work {
		return standin.Work{Stage: standin.WorkRun, Started: at(from), Ended: at(to)}
	}
	running := func(from float64) standin.Work { return standin.Work{Stage: standin.WorkRun, Started: at(from)} }
	brokeOff := func(from, to float64) standin.Work {
		w := run(from, to)
		w.BrokeOff = true
		return w
	}
	for name, c := range map[string]struct {
		sent, ended float64
		change      func(e *exchange)
		works       []standin.Work
		stop        *plannedStop
		want        verdict
	}{
		"complete":                          {5, 7, func(e *exchange) { e.complete, e.status = true, 200 }, []standin.Work{run(5, 7)}, stop, verdictAnswered},
		"refused":                           {5, 5.1, func(e *exchange) { e.complete, e.status = true, 503 }, nil, stop, verdictRefused},
		"failed":                            {5, 5.1, func(e *exchange) { e.complete, e.status = true, 502 }, nil, stop, verdictFailed},
		"not sent":                          {5, 5.1, func(e *exchange) { e.sent, e.err = time.Time{}, io.ErrClosedPipe }, nil, stop, verdictUnsent},
		"crosses the close":                 {5, 5.2, nil, nil, stop, verdictCrossed},
		"read, not passed on":               {5, 5.201, nil, nil, stop, verdictLost},
		"passed on, then closed":            {5, 5.1, nil, []standin.Work{running(5.05)}, stop, verdictLost},
		"refused by a target, then closed":  {5, 5.1, nil, []standin.Work{{Stage: standin.WorkRefused, Started: at(5.05), Ended: at(5.05)}}, stop, verdictLost},
		"prefilled, then closed":            {5, 5.1, nil, []standin.Work{{Stage: standin.WorkPrefill, Started: at(5.05), Ended: at(5.06)}}, stop, verdictLost},
		"sent late, cut at the end":         {3.001, 7.5, nil, []standin.Work{running(3.1)}, stop, verdictLost},
		"sent early, cut at the end":        {3, 7.5, nil, []standin.Work{running(3.1)}, stop, verdictLong},
		"sent before, cut at the end":       {-0.4, 7.5, nil, []standin.Work{running(-0.3)}, stop, verdictLong},
		"sent early, cut before last sixth": {1, 6.66, nil, []standin.Work{run(1, 6.8)}, stop, verdictLost},
		"sent early, target done before":    {1, 7.5, nil, []standin.Work{run(1, 6.6)}, stop, verdictLost},
		"sent early, no target at the end":  {1, 7.5, nil, []standin.Work{{Stage: standin.WorkRefused, Started: at(7.4), Ended: at(7.4)}}, stop, verdictLost},
		"sent early, waiting for a slot":    {1, 7.5, nil, []standin.Work{{Stage: standin.WorkQueued, Started: at(1.1), Ended: at(1.1)}}, stop, verdictLost},
		"sent early, waiting in the node":   {1, 7.5, nil, nil, stop, verdictLost},
		"no stop":                           {1, 7.5, nil, []standin.Work{running(1)}, nil, verdictLost},
		"target broke off":                  {5, 6, nil, []standin.Work{brokeOff(5.1, 5.99)}, stop, verdictBrokeOff},
		"resumed elsewhere, then cut":       {5, 7.5, nil, []standin.Work{brokeOff(5.1, 6), running(6.1)}, stop, verdictLost},
		"broke off, refused elsewhere":      {5, 6, nil, []standin.Work{brokeOff(5.1, 5.9), {Stage: standin.WorkRefused, Started: at(5.95), Ended: at(5.95)}}, stop, verdictBrokeOff},
		"broke off, waits elsewhere":        {5, 7.5, nil, []standin.Work{brokeOff(5.1, 5.9), {Stage: standin.WorkQueued, Started: at(5.95), Ended: at(5.95)}}, stop, verdictLost},
		"broke off after the close":         {5, 6, nil, []standin.Work{brokeOff(5.1, 6.1)}, stop, verdictLost},
		"deadline passed":                   {-1, 7.0, nil, []standin.Work{running(-1)}, stop, verdictTimeLimit},
		"just before the deadline":          {-1, 6.99, nil, []standin.Work{run(-1, 6)}, stop, verdictLost},
		"caller gave up":                    {5, 7.1, func(e *exchange) { e.gaveUp = true }, []standin.Work{running(5.1)}, stop, verdictTimeLimit},
	} {
		e := exchange{began: at(c.sent), sent: at(c.sent), ended: at(c.ended), timeLimit: 8 * time.Second, status: 200, err: io.ErrUnexpectedEOF}
		if c.change != nil {
			c.change(&e)
		}
		assert.Equal(t, classify(&e, c.works, c.stop, stopTimeout).String(), c.want.String(), name)
	}
}

// Guards against a summary that names the wrong state of a request that was cut.
func TestStateOfCutRequest(t *testing.T) {
	run, prefill := standin.Work{Stage: standin.WorkRun}, standin.Work{Stage: standin.WorkPrefill}
	assert.Equal(t, (&exchange{}).state(nil), "no run")
	assert.Equal(t, (&exchange{}).state([]standin.Work{prefill}), "waiting")
	assert.Equal(t, (&exchange{}).state([]standin.Work{prefill, run}), "first event")
	assert.Equal(t, (&exchange{events: 1}).state([]standin.Work{prefill, run}), "mid-stream")
}

// Guards against a request that counts for the wrong life of its node: a refusal by a node that
// serves is a fault, one by a node that stops or starts is not.
func TestPhaseOfNode(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	n := stoppingNode{lives: []nodeLife{{at(0), at(10), at(17)}, {ready: at(20)}}}
	for _, c := range []struct {
		from, to int
		phase    string
		stops    bool
	}{
		{1, 9, phaseServing, false}, {9, 11, phaseStopping, true}, {12, 17, phaseStopping, true},
		{18, 21, phaseStarting, false}, {21, 22, phaseServing, false},
	} {
		assert.Equal(t, n.phaseAt(at(c.from), at(c.to)), c.phase, fmt.Sprint(c))
		assert.Equal(t, n.stopAt(at(c.to), 0) != nil, c.stops, fmt.Sprint(c))
	}
}

// Guards against a caller that gives up its connection while the node keeps it open, keeps one
// that the node has closed or announced to close, or takes a truncated response as complete.
func TestKeptCaller(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	next := make(chan string)
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			buf := make([]byte, 4<<10)
			for {
				if _, err := c.Read(buf); err != nil {
					break
				}
				response := <-next
				_, _ = io.WriteString(c, response)
				if response[len(response)-1] != '\n' {
					break
				}
			}
			_ = c.Close()
		}
	}()
	n := &stoppingNode{node: &node{name: "n", callerAddress: l.Addr().String()}}
	k := keptCaller{callers: &keptCallers{run: &stopsRun{nodes: []*stoppingNode{n}}}, name: "k", rng: (&stopsRun{}).newRNG(0, 0)}
	request := streamRequest{route: "chat", plan: standin.StreamPlan{Events: 1}, deadline: time.Second}
	send := func(response string) *exchange {
		go func() { next <- response }()
		return k.send(t.Context(), request)
	}
	e := send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1\n\n")
	assert.Assert(t, e.complete && e.status == http.StatusOK && e.events == 1, "%+v", e)
	assert.Assert(t, k.staysOpen(10*time.Millisecond))
	e = send("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	assert.Assert(t, e.complete && k.retryAfter(e) == 250*time.Millisecond && k.conn == nil, "%+v", e)
	assert.Equal(t, len(accepted), 1)
	e = send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n1\n\n\r\n3\r\n2")
	assert.Assert(t, !e.complete && !e.gaveUp && e.events == 1 && k.conn == nil, "%+v", e)
	assert.Assert(t, errors.Is(e.err, io.ErrUnexpectedEOF) || errors.Is(e.err, os.ErrDeadlineExceeded), "%v", e.err)
	assert.Equal(t, len(accepted), 2)
	assert.Equal(t, len(k.callers.exchanges), 3)
}
