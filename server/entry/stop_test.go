package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/types"
)

// blockingKeys is a KeyService whose claims wait until they are cancelled or release is closed.
type blockingKeys struct {
	keyStub
	claimed, release chan struct{}
}

func (k *blockingKeys) Claim(ctx context.Context, _ idempotency.Key, _ string, _ uint64) (idempotency.Verdict, *idempotency.Response, error) {
	close(k.claimed)
	select {
	case <-k.release:
		return idempotency.VerdictRun, nil, nil
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the fields of the last line with each message.
func (b *logBuffer) lines(t *testing.T) map[string]map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]map[string]any{}
	for line := range strings.Lines(b.buf.String()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		out[fields["msg"].(string)] = fields
	}
	return out
}

// Guards against requests that a stop ends with a closed connection instead of an outcome, and
// against a log that does not tell how many they were.
func TestRequestsInProgressAtStopTimeoutGetAnOutcome(t *testing.T) {
	const complete = `{"model":"m","prompt":"p","max_tokens":2}`
	stream := strings.Replace(complete, "}", `,"stream":true}`, 1)
	for name, c := range map[string]struct {
		path, body, key string
		tokens          string // that the engine sends before it goes silent
		claimWaits      bool
		status          int
		outcome         string
		end             idempotency.Kind
	}{
		"call":               {path: "/v1/services/book/x", status: 504, outcome: outcomeUnknown},
		"keyed call":         {path: "/v1/services/book/x", key: "k", status: 504, outcome: outcomeUnknown, end: idempotency.KindUnknown},
		"claim":              {path: "/v1/services/book/x", key: "k", claimWaits: true, status: 503, outcome: outcomeNotRun, end: idempotency.KindReleased},
		"complete response":  {path: "/v1/completions", body: complete, tokens: "a", status: 504, outcome: outcomeUnknown},
		"before first token": {path: "/v1/completions", body: stream, status: 504, outcome: outcomeUnknown},
		"stream":             {path: "/v1/completions", body: stream, tokens: "a", status: 200, outcome: outcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, finish := make(chan struct{}), make(chan struct{})
			t.Cleanup(func() { close(finish) })
			h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetContentType("text/event-stream")
				ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
					if c.tokens != "" {
						_, _ = io.WriteString(w, "data: {\"request_id\":\"r\",\"index\":0,\"count\":1,\"text\":\"a\"}\n\n")
					}
					_ = w.Flush()
					close(started)
					<-finish
				})
			}, func(*fasthttp.RequestCtx) {
				close(started)
				<-finish
			})
			var logs logBuffer
			h.log = daemon.NewLogger(&logs, "info", "test")
			ends := make(chan idempotency.Kind, 1)
			h.keys = &keyStub{verdict: idempotency.VerdictRun, ends: ends}
			if c.claimWaits {
				h.keys = &blockingKeys{keyStub: keyStub{ends: ends}, claimed: started}
			}
			h.settings.StopTimeout = 3 * time.Second
			stopped := make(chan error, 1)
			go func() {
				<-started
				stopped <- h.stop(h.server)
			}()
			status, e, body := h.do(t, &http.Client{Timeout: 10 * time.Second}, testRequest{"POST", c.path, c.body,
				map[string]string{"Idempotency-Key": c.key, "X-Deadline-Ms": "60000"}})
			if status == 200 {
				events := strings.Split(strings.TrimSpace(body), "\n\n")
				var last streamEvent
				assert.NilError(t, json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &last), body)
				assert.Assert(t, last.Error != nil && !last.Done, body)
				e = *last.Error
				assert.Equal(t, last.Index, 1)
			}
			assert.Equal(t, status, c.status)
			assert.Equal(t, e.Outcome, c.outcome)
			assert.Equal(t, e.Reason, "stopping")
			assert.NilError(t, <-stopped)
			lines := logs.lines(t)
			assert.Equal(t, lines["stopping"]["in_flight"], 1.0)
			assert.Equal(t, lines["stopped"]["ended"].(float64)+lines["stopped"]["refused"].(float64), 1.0)
			assert.Equal(t, lines["stopped"]["ended"] == 1.0, c.outcome == outcomeUnknown)
			assert.Equal(t, lines["request ended by the stop; it may have run"] != nil, c.outcome == outcomeUnknown)
			if c.end != "" {
				assert.Equal(t, len(ends), 1, "the end is recorded before the process ends")
				assert.Equal(t, <-ends, c.end)
			}
		})
	}
}

// recordDurations records twenty answered requests of the given duration, if it is not 0.
func (d *Daemon) recordDurations(s types.ServiceID, took time.Duration) {
	for range 20 {
		if took > 0 {
			d.recordDuration(s, time.Now().Add(-took))
		}
	}
}

// Guards against a request that is sent to a target during a stop although it cannot end in time: it
// could have been refused as not run.
func TestStopSendsOnlyWhatCanEnd(t *testing.T) {
	for name, c := range map[string]struct {
		deadlineMs string
		expected   time.Duration
		status     int
		end        idempotency.Kind
	}{
		"unknown duration": {"60000", 0, 503, idempotency.KindReleased},
		"too long":         {"60000", time.Minute, 503, idempotency.KindReleased},
		"expected in time": {"60000", time.Second, 201, idempotency.KindCompleted},
		"deadline in time": {"5000", time.Minute, 201, idempotency.KindCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, nil, respondBooked)
			h.recordDurations("book", c.expected)
			k := &blockingKeys{keyStub{ends: make(chan idempotency.Kind, 1)}, make(chan struct{}), make(chan struct{})}
			h.keys = k
			h.settings.StopTimeout = 10 * time.Second
			stopped := make(chan error, 1)
			go func() {
				<-k.claimed
				go func() { stopped <- h.stop(h.server) }()
				for !h.isStopping() {
					time.Sleep(time.Millisecond)
				}
				close(k.release)
			}()
			status, e, body := h.do(t, http.DefaultClient, testRequest{"POST", "/v1/services/book/x", "",
				map[string]string{"Idempotency-Key": "k", "X-Deadline-Ms": c.deadlineMs}})
			assert.Equal(t, status, c.status, body)
			if status == 503 {
				assert.Equal(t, e.Outcome, outcomeNotRun)
				assert.Equal(t, e.Reason, "stopping")
				assert.Assert(t, e.RetryAfterMs > 0)
			}
			assert.NilError(t, <-stopped)
			assert.Equal(t, <-k.ends, c.end)
		})
	}
}

// Guards against a completion that a stop sends for the first time although it cannot end, and against
// one that a stop no longer resumes.
func TestStopSendsOnlyCompletionsThatCanEnd(t *testing.T) {
	for name, c := range map[string]struct {
		expected time.Duration
		sent     bool
		answered bool
	}{
		"unknown duration": {0, false, false},
		"expected in time": {time.Second, false, true},
		"sent before":      {0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(ctx *fasthttp.RequestCtx) { respondTokens(ctx, "a", "b") }, nil)
			h.recordDurations("llm", c.expected)
			now := time.Now()
			h.lifecycle.Begin(shutdown.Schedule{Began: now, AcceptUntil: now.Add(10 * time.Second), End: now.Add(10 * time.Second)})
			v := h.views.Load()
			r := &completion{header: header{ID: "r", Arrived: now}, completionBody: completionBody{Model: "m", Prompt: "p", MaxTokens: 2}}
			x := newExchange(h.Daemon, r, v, retryBudget(v, "llm"))
			x.service = "llm"
			if c.sent {
				x.attempt.Begin()
			}
			o := x.serve()
			if c.answered {
				assert.Equal(t, o, types.Answered{})
				return
			}
			refused, ok := o.(types.NotRun)
			assert.Assert(t, ok, "%#v", o)
			assert.Equal(t, refused.Reason(), types.RefusedStopping)
		})
	}
}

// delayedListener accepts connections that hand over received bytes only when the server acts on the
// connection, as a busy machine may do.
type delayedListener struct {
	net.Listener
	received chan struct{} // closed when bytes are held back
	hold     atomic.Bool
}

func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &delayedConn{Conn: c, listener: l, acted: make(chan struct{})}, err
}

type delayedConn struct {
	net.Conn
	listener *delayedListener
	acted    chan struct{}
	held     atomic.Bool
}

func (c *delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.hold.Load() && c.held.CompareAndSwap(false, true) {
		close(c.listener.received)
		<-c.acted
	}
	return n, err
}

func (c *delayedConn) act() {
	if c.held.Load() {
		select {
		case <-c.acted:
		default:
			close(c.acted)
		}
	}
}

func (c *delayedConn) SetReadDeadline(t time.Time) error {
	defer c.act()
	return c.Conn.SetReadDeadline(t)
}

func (c *delayedConn) Close() error {
	defer c.act()
	return c.Conn.Close()
}

// Guards against a request that a stop receives on an idle connection and drops without a response.
func TestStopAnswersWhatItReceivedOnIdleConnections(t *testing.T) {
	h := newHarness(t, nil, respondBooked)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	delayed := &delayedListener{Listener: l, received: make(chan struct{})}
	server := h.newServer()
	go func() { _ = server.Serve(delayed) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	const header = " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Workspace: club\r\nX-Deadline-Ms: 5000\r\n\r\n"
	r := bufio.NewReader(c)
	_, err = io.WriteString(c, "GET /healthz"+header)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	delayed.hold.Store(true)
	_, err = io.WriteString(c, "GET /v1/services/book/x"+header)
	assert.NilError(t, err)
	<-delayed.received
	stopped := make(chan error, 1)
	go func() { stopped <- h.stop(server) }()
	resp, err = http.ReadResponse(r, nil)
	assert.NilError(t, err)
	var e errorBody
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&e))
	assert.Equal(t, e.Error.Outcome, outcomeNotRun)
	assert.Equal(t, e.Error.Reason, "stopping")
	assert.Assert(t, resp.Close, "the response announces that the connection closes")
	assert.NilError(t, <-stopped)
}

// Guards against a caller that sends slowly: the end of a stop must refuse its request, which the closed
// connection alone does not, and must not wait for the rest.
func TestStopRefusesRequestsThatHaveNotArrived(t *testing.T) {
	for name, text := range map[string]string{
		"header": "POST /v1/services/book/x HTTP/1.1\r\nHost: h\r\nX-Req",
		"body":   "POST /v1/services/book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 100\r\n\r\nbooked",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, nil, respondBooked)
			h.settings.StopTimeout = 3 * time.Second
			c, err := net.Dial("tcp", h.address)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, text)
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond) // until the daemon reads
			assert.NilError(t, h.stop(h.server))
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			var e errorBody
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&e))
			assert.Equal(t, e.Error.Outcome, outcomeNotRun)
			assert.Equal(t, e.Error.Reason, "stopping")
		})
	}
}

// Guards against a request that a stop passes on and leaves without a complete response or an outcome,
// whenever its caller sends it and however long its response takes.
func TestStopUnderLoadLosesNoRequest(t *testing.T) {
	const callers = 48
	var passedOn sync.Map // request IDs that reached a target
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
		var g engine.GenerateRequest
		_ = json.Unmarshal(ctx.PostBody(), &g)
		passedOn.Store(string(g.RequestID), nil)
		texts := make([]string, g.MaxTokens)
		for i := range texts {
			texts[i] = "a"
		}
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for i := range texts {
				_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"index\":%d,\"count\":1,\"text\":\"a\"}\n\n", g.RequestID, i)
				if w.Flush() != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"done\":true,\"tokens\":%d,\"checksum\":\"%016x\"}\n\n",
				g.RequestID, g.MaxTokens, xxhash.Sum64String(strings.Join(texts, "")))
		})
	}, func(ctx *fasthttp.RequestCtx) {
		passedOn.Store(string(ctx.Request.Header.Peek("X-Request-Id")), nil)
		ms, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("ms")))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		respondBooked(ctx)
	})
	h.settings.StopTimeout = 3 * time.Second
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	var answered, ended, refused, unsent atomic.Int64
	for caller := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(37, uint64(caller)))
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("r%d-%d", caller, n)
				length := 1 + rnd.IntN(100)
				if rnd.IntN(4) == 0 {
					length = 600 // longer than the stop
				}
				path, body := "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d,"stream":true}`, length)
				if caller%3 == 0 {
					path, body = fmt.Sprintf("/v1/services/book/x?ms=%d", 10*length), "x"
				}
				outcome, err := sendOnce(client, h.address, id, path, body)
				_, reached := passedOn.Load(id)
				switch {
				case err != nil && reached:
					t.Errorf("request %s to %s was passed on and lost: %s", id, path, err)
				case err != nil:
					unsent.Add(1)
					return // the daemon accepts no connections any more
				case outcome == "":
					answered.Add(1)
				case outcome == outcomeUnknown:
					ended.Add(1)
				default:
					refused.Add(1)
					if reached {
						t.Errorf("request %s to %s was passed on and refused as not run", id, path)
					}
				}
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	assert.Check(t, h.stop(h.server))
	close(stopped)
	wg.Wait()
	t.Logf("%d answered, %d ended as unknown, %d refused, %d not sent", answered.Load(), ended.Load(), refused.Load(), unsent.Load())
	assert.Assert(t, answered.Load() > 0 && ended.Load() > 0 && refused.Load() > 0)
}

// sendOnce sends a request and returns the outcome of the response, which is empty if it is complete.
func sendOnce(client *http.Client, address, id, path, body string) (string, error) {
	req, err := http.NewRequest("POST", "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Workspace": "club", "X-Deadline-Ms": "60000"} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	var e errorBody
	if resp.StatusCode >= 400 {
		err := json.Unmarshal(b, &e)
		return e.Error.Outcome, err
	}
	if resp.StatusCode != 200 {
		return "", nil
	}
	events := strings.Split(strings.TrimSpace(string(b)), "\n\n")
	var last streamEvent
	if err := json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &last); err != nil {
		return "", err
	}
	if last.Error != nil {
		return last.Error.Outcome, nil
	}
	if !last.Done {
		return "", io.ErrUnexpectedEOF
	}
	return "", nil
}
