package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// harness is an entry daemon on a loopback address with one engine and two plain services, whose
// handlers the test provides.
type harness struct {
	*Daemon
	address string
	server  *callerServer
	stopped <-chan struct{} // closed when Serve returns
}

func startServer(t *testing.T, s interface{ Serve(net.Listener) error }) (string, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() { _ = s.Serve(l); close(done) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), done
}

func newHarness(t *testing.T, eng, plain fasthttp.RequestHandler) *harness {
	t.Helper()
	engineAddress, _ := startServer(t, &fasthttp.Server{Handler: eng})
	plainAddress, _ := startServer(t, &fasthttp.Server{Handler: plain})
	return newHarnessWithTargets(t, engineAddress, plainAddress)
}

// newHarnessWithTargets is newHarness for targets that already run at the given addresses.
func newHarnessWithTargets(t *testing.T, engineAddress, plainAddress string) *harness {
	t.Helper()
	s := DefaultSettings()
	s.VM, s.DataCentre, s.Control, s.MaxBodyBytes = "vm", "a", []string{"127.0.0.1:1"}, 4<<10
	s.StopTimeout = 20 * time.Second
	d, err := New(s, daemon.NewLogger(io.Discard, "error", "test"))
	assert.NilError(t, err)
	h := &harness{Daemon: d}
	c := configuration.New()
	c.Revision = 1
	c.Services["llm"] = configuration.Entry[configuration.Service]{Value: configuration.Service{ID: "llm", Kind: types.KindEngine}}
	c.Services["book"] = configuration.Entry[configuration.Service]{Value: configuration.Service{ID: "book", Kind: types.KindPlain}}
	c.Targets["e"] = configuration.Entry[configuration.Target]{Value: configuration.Target{
		ID: "e", Service: "llm", Address: engineAddress, DataCentre: "a", Model: "m",
		Rates: configuration.Rates{PrefillTokensPerSecond: 1e6, IterationBase: time.Millisecond, MaxStreams: 64},
	}}
	c.Targets["p"] = configuration.Entry[configuration.Target]{Value: configuration.Target{
		ID: "p", Service: "book", Address: plainAddress, DataCentre: "a",
	}}
	c.Targets["p2"] = configuration.Entry[configuration.Target]{Value: configuration.Target{
		ID: "p2", Service: "book", Address: plainAddress, DataCentre: "a",
	}}
	c.Services["slot"] = configuration.Entry[configuration.Service]{Value: configuration.Service{ID: "slot", Kind: types.KindPlain, RunWithoutLog: true}}
	c.Targets["s"] = configuration.Entry[configuration.Target]{Value: configuration.Target{
		ID: "s", Service: "slot", Address: plainAddress, DataCentre: "a",
	}}
	c.Workspaces["club"] = configuration.Entry[configuration.Workspace]{Value: configuration.Workspace{ID: "club", Share: 1}}
	b, err := records.EncodeSnapshot(&configuration.Snapshot{Config: c})
	assert.NilError(t, err)
	assert.NilError(t, d.views.Update(&peerv1.View{Revision: 1, Configuration: b}, time.Now()))
	h.server = d.newServer()
	h.address, h.stopped = startServer(t, h.server)
	return h
}

type testRequest struct {
	method, path, body string
	header             map[string]string
}

// do sends a request with valid headers, overridden by those of s; an empty value omits a header.
func (h *harness) do(t *testing.T, c *http.Client, s testRequest) (int, errorDetail, string) {
	t.Helper()
	req, err := http.NewRequest(s.method, "http://"+h.address+s.path, strings.NewReader(s.body))
	assert.NilError(t, err)
	header := map[string]string{"X-Request-Id": "r", "X-Workspace": "club", "X-Deadline-Ms": "5000"}
	for k, v := range s.header {
		header[k] = v
	}
	for k, v := range header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	resp, err := c.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var e errorBody
	_ = json.Unmarshal(b, &e)
	return resp.StatusCode, e.Error, string(b)
}

// respondTokens writes a complete engine response with one event for each text.
func respondTokens(ctx *fasthttp.RequestCtx, texts ...string) {
	var g engine.GenerateRequest
	_ = json.Unmarshal(ctx.PostBody(), &g)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i, text := range texts {
			_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"index\":%d,\"count\":1,\"text\":%q}\n\n", g.RequestID, g.ResumeFrom+i, text)
		}
		_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"done\":true,\"tokens\":%d,\"checksum\":\"%016x\"}\n\n",
			g.RequestID, g.ResumeFrom+len(texts), xxhash.Sum64String(strings.Join(texts, "")))
	})
}

func respondBooked(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetBodyString("booked")
}

const validCompletion = `{"model":"m","prompt":"p","max_tokens":2}`

// Guards against input that is not HTTP and crashes the daemon or gets no response.
func TestNotHTTP(t *testing.T) {
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) { respondTokens(ctx, "a") }, respondBooked)
	for _, text := range []string{"hello\r\n\r\n", "GET / HTTP/9\r\nContent-Length: -1\r\n\r\n", "\x16\x03\x01\x00\x00\r\n\r\n"} {
		c, err := net.Dial("tcp", h.address)
		assert.NilError(t, err)
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		var e errorBody
		assert.NilError(t, json.Unmarshal(b, &e), "%q", b)
		assert.Equal(t, e.Error.Field, "http")
		_ = c.Close()
	}
	status, _, _ := h.do(t, http.DefaultClient, testRequest{"GET", "/healthz", "", nil})
	assert.Equal(t, status, 200)
}

// Guards against a stop that truncates a stream in progress, and against a request on an idle
// connection that is dropped instead of refused.
func TestGracefulStop(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			_, _ = io.WriteString(w, "data: {\"request_id\":\"r\",\"index\":0,\"count\":1,\"text\":\"a\"}\n\n")
			_ = w.Flush()
			close(started)
			<-finish
			_, _ = fmt.Fprintf(w, "data: {\"request_id\":\"r\",\"done\":true,\"tokens\":1,\"checksum\":\"%016x\"}\n\n", xxhash.Sum64String("a"))
		})
	}, respondBooked)
	reusing := &http.Client{Transport: &http.Transport{}}
	status, _, _ := h.do(t, reusing, testRequest{"GET", "/healthz", "", nil})
	assert.Equal(t, status, 200)
	var wg sync.WaitGroup
	wg.Go(func() {
		status, _, body := h.do(t, http.DefaultClient, testRequest{"POST", "/v1/completions", validCompletion, nil})
		assert.Check(t, status == 200 && strings.Contains(body, `"complete":true`), body)
	})
	<-started
	wg.Go(func() { assert.Check(t, h.stop(h.server)) })
	for !h.isStopping() {
		time.Sleep(time.Millisecond)
	}
	status, e, _ := h.do(t, reusing, testRequest{"POST", "/v1/services/book/x", "", nil})
	assert.Equal(t, status, 503)
	assert.Equal(t, e.Reason, "stopping")
	assert.Equal(t, e.Outcome, outcomeNotRun)
	close(finish)
	wg.Wait()
	<-h.stopped
}

// Guards against an engine that continues to generate after the caller has disconnected.
func TestCallerDisconnectCancels(t *testing.T) {
	cancelled := make(chan struct{})
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer close(cancelled)
			for i := range 60_000 {
				_, _ = fmt.Fprintf(w, "data: {\"request_id\":\"r\",\"index\":%d,\"count\":1,\"text\":\"a\"}\n\n", i)
				if w.Flush() != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}, respondBooked)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.address+"/v1/completions",
		strings.NewReader(`{"model":"m","prompt":"p","max_tokens":60000,"stream":true}`))
	assert.NilError(t, err)
	for k, v := range map[string]string{"X-Request-Id": "r", "X-Workspace": "club", "X-Deadline-Ms": "5000"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	<-cancelled
}

// Guards against a split request that transfers its KV cache through the daemon, names the wrong
// source, or fails if the KV cache is missing or the prefill fails.
func TestSplitDispatch(t *testing.T) {
	for name, c := range map[string]struct {
		kvMissing, prefillFails bool
		want                    []string
	}{
		"split":         {false, false, []string{"prefill", "with kv"}},
		"kv missing":    {true, false, []string{"prefill", "with kv", "combined"}},
		"prefill fails": {false, true, []string{"prefill", "combined"}},
	} {
		t.Run(name, func(t *testing.T) {
			var steps []string
			var source string
			h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
				var g engine.GenerateRequest
				_ = json.Unmarshal(ctx.PostBody(), &g)
				switch {
				case g.PrefillOnly:
					steps = append(steps, "prefill")
					if c.prefillFails {
						ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
						return
					}
					respondTokens(ctx)
				case g.KVSource != "":
					steps, source = append(steps, "with kv"), g.KVSource
					if c.kvMissing {
						ctx.SetStatusCode(fasthttp.StatusFailedDependency)
						return
					}
					respondTokens(ctx, "a", "b")
				default:
					steps = append(steps, "combined")
					respondTokens(ctx, "a", "b")
				}
			}, respondBooked)
			v := h.views.Load()
			r := &completion{header: header{ID: "r"}, completionBody: completionBody{Model: "m", Prompt: "p", MaxTokens: 2}}
			x := newExchange(h.Daemon, r, v, retryBudget(v, "llm"))
			x.prefillTarget = v.Fleet.Target("e")
			assert.NilError(t, x.dispatch(v.Fleet.Target("e")))
			assert.Equal(t, (<-x.parts).text+(<-x.parts).text, "ab")
			assert.DeepEqual(t, steps, c.want)
			assert.Assert(t, source == "" || source == v.Fleet.Target("e").Address)
			assert.Equal(t, v.Fleet.Target("e").Counters.InFlight.Load(), int64(0))
		})
	}
}

// keyStub is a KeyService that returns a fixed verdict and records the ends of attempts.
type keyStub struct {
	verdict  idempotency.Verdict
	recorded *idempotency.Response
	err      error
	ends     chan idempotency.Kind
	// failures is the number of calls of Finish that fail before one succeeds.
	failures int
}

func (k *keyStub) Claim(context.Context, idempotency.Key, string, uint64) (idempotency.Verdict, *idempotency.Response, error) {
	return k.verdict, k.recorded, k.err
}

func (k *keyStub) Finish(_ context.Context, _ idempotency.Key, _ string, end idempotency.Kind, _ *idempotency.Response) error {
	if k.failures--; k.failures >= 0 {
		return errors.New("the control daemon was killed")
	}
	k.ends <- end
	return nil
}

// Guards against a keyed request that runs although the verdict does not allow it, is retried after
// data was sent, or gets the wrong outcome.
func TestKeyedCall(t *testing.T) {
	for name, c := range map[string]struct {
		service string
		keys    keyStub
		plain   fasthttp.RequestHandler
		status  int
		outcome string
		runs    int64
		end     idempotency.Kind
	}{
		"runs":              {"book", keyStub{verdict: idempotency.VerdictRun}, respondBooked, 201, "", 1, idempotency.KindCompleted},
		"no response":       {"book", keyStub{verdict: idempotency.VerdictRun}, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }, 504, outcomeUnknown, 1, idempotency.KindUnknown},
		"other request ID":  {"book", keyStub{verdict: idempotency.VerdictRun}, func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set("X-Request-Id", "q") }, 504, outcomeUnknown, 1, idempotency.KindUnknown},
		"replayed":          {"book", keyStub{verdict: idempotency.VerdictCompleted, recorded: &idempotency.Response{Status: 201, Body: []byte("booked")}}, respondBooked, 201, "", 0, ""},
		"body dropped":      {"book", keyStub{verdict: idempotency.VerdictCompleted, recorded: &idempotency.Response{Status: 201, BodyDropped: true}}, respondBooked, 409, outcomeUnknown, 0, ""},
		"in progress":       {"book", keyStub{verdict: idempotency.VerdictInProgress}, respondBooked, 409, outcomeUnknown, 0, idempotency.KindReleased},
		"conflict":          {"book", keyStub{verdict: idempotency.VerdictConflict}, respondBooked, 409, outcomeNotRun, 0, idempotency.KindReleased},
		"earlier unknown":   {"book", keyStub{verdict: idempotency.VerdictUnknown}, respondBooked, 409, outcomeUnknown, 0, idempotency.KindReleased},
		"claim fails":       {"book", keyStub{err: errors.New("unreachable")}, respondBooked, 503, outcomeNotRun, 0, idempotency.KindReleased},
		"log down, refuse":  {"book", keyStub{verdict: idempotency.VerdictLogDown}, respondBooked, 503, outcomeNotRun, 0, idempotency.KindReleased},
		"log down, allowed": {"slot", keyStub{verdict: idempotency.VerdictLogDown}, respondBooked, 201, "", 1, idempotency.KindCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			h := newHarness(t, nil, func(ctx *fasthttp.RequestCtx) {
				if ctx.IsPost() {
					runs.Add(1)
				}
				c.plain(ctx)
			})
			for range 20 { // enough retry budget that a wrong retry is not refused
				retryBudget(h.views.Load(), "book").Earn()
			}
			c.keys.ends = make(chan idempotency.Kind, 1)
			h.keys = &c.keys
			status, e, body := h.do(t, http.DefaultClient, testRequest{"POST", "/v1/services/" + c.service + "/x", "", map[string]string{"Idempotency-Key": "k"}})
			assert.Equal(t, status, c.status)
			assert.Equal(t, e.Outcome, c.outcome)
			assert.Assert(t, status != 201 || body == "booked")
			assert.Equal(t, runs.Load(), c.runs)
			h.pendingFinishes.Wait()
			if c.end != "" {
				assert.Equal(t, <-c.keys.ends, c.end)
			}
			assert.Equal(t, len(c.keys.ends), 0)
		})
	}
}

// Guards against losing the end of an answered call if the control daemon that records it is killed:
// repeated requests would find the key in progress. Found by make faults, log-outage.
func TestRecordingOfEndIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := DefaultSettings()
		s.VM, s.DataCentre, s.Control = "vm", "a", []string{"127.0.0.1:1"}
		d, err := New(s, daemon.NewLogger(io.Discard, "error", "test"))
		assert.NilError(t, err)
		defer d.pool.Release()
		k := &keyStub{ends: make(chan idempotency.Kind, 2)}
		k.failures = 3
		d.keys = k
		d.finishKey(&keyedCall{call: &call{}}, idempotency.KindCompleted, nil)
		d.pendingFinishes.Wait()
		assert.Equal(t, len(k.ends), 1)
		k.failures = 1 << 30
		d.finishKey(&keyedCall{call: &call{}}, idempotency.KindCompleted, nil)
		d.pendingFinishes.Wait() // returns after finishTimeout
		assert.Equal(t, len(k.ends), 1)
	})
}

// Guards against a parser that panics or accepts values out of range.
func FuzzParseCompletion(f *testing.F) {
	for _, s := range []string{validCompletion, `{"model":"m","prompt":"p","max_tokens":-1}`, `{"priority":1e99}`, `{"x":1}`, `[]`, `{`, ``, "\xff", `{"prompt":"\ud800"}`} {
		f.Add([]byte(s), "5000")
	}
	f.Add([]byte(validCompletion), "-1")
	f.Fuzz(func(t *testing.T, body []byte, deadline string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.Set("X-Request-Id", "r")
		ctx.Request.Header.Set("X-Workspace", "club")
		ctx.Request.Header.Set("X-Deadline-Ms", deadline)
		ctx.Request.SetBody(body)
		c, inputErr := parseCompletion(&ctx, time.Unix(0, 0))
		if inputErr != nil {
			assert.Assert(t, inputErr.Field != "" && inputErr.Message != "")
			return
		}
		assert.Assert(t, c.MaxTokens >= 1 && c.MaxTokens <= maxOutputTokens && c.Priority >= 0 && c.Model != "")
		assert.Assert(t, c.Deadline.After(time.Unix(0, 0)) && !c.Deadline.After(time.Unix(600, 0)))
	})
}

// Guards against a caller's path that reaches the reserved paths of a target.
func FuzzParseCall(f *testing.F) {
	for _, s := range []string{"/v1/services/book/x", "/v1/services/book/../v1/orders", "/v1/services/book/%2e%2e/x", "/v1/services//x", "/v1/services/book/v1%2forders", "/v1/services/book/a%0d%0ab?q=1"} {
		f.Add(s, "k")
	}
	f.Fuzz(func(t *testing.T, path, key string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(path)
		for k, v := range map[string]string{"X-Request-Id": "r", "X-Workspace": "club", "X-Deadline-Ms": "5", "Idempotency-Key": key} {
			ctx.Request.Header.Set(k, v)
		}
		c, inputErr := parseCall(&ctx, time.Unix(0, 0))
		if inputErr != nil {
			assert.Assert(t, inputErr.Field != "" && inputErr.Message != "")
			return
		}
		var sent fasthttp.URI
		assert.NilError(t, sent.Parse(nil, []byte("http://127.0.0.1:1"+c.Path)))
		assert.Assert(t, !isReserved(string(sent.Path())), "path %q is sent as reserved path %q", path, sent.Path())
		assert.Equal(t, string(sent.Host()), "127.0.0.1:1")
	})
}
