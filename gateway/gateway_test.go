package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// fakeResponse returns its pieces one by one, and then err, or io.EOF if err is nil.
type fakeResponse struct {
	status int
	pieces []string
	err    error
	closed bool
	// unmarked makes the end of the response that of its connection.
	unmarked        bool
	progressTimeout time.Duration
}

func (r *fakeResponse) Status() int { return r.status }
func (r *fakeResponse) Close()      { r.closed = true }

func (r *fakeResponse) EndMarked() bool { return !r.unmarked }

func (r *fakeResponse) SetProgressTimeout(d time.Duration) { r.progressTimeout = d }

func (r *fakeResponse) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		return 0, io.EOF
	}
	n := copy(p, r.pieces[0])
	r.pieces = r.pieces[1:]
	return n, nil
}

// fakeTargets records all calls and passes them to its functions.
type fakeTargets struct {
	mu       sync.Mutex
	calls    []Call
	released []Handle
	prefill  func(c *Call) (Handle, error)
	send     func(ctx context.Context, c *Call) (Response, error)
}

func (f *fakeTargets) record(c *Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, *c)
}

func (f *fakeTargets) Prefill(_ context.Context, c *Call) (Handle, error) {
	f.record(c)
	return f.prefill(c)
}

func (f *fakeTargets) Send(ctx context.Context, c *Call) (Response, error) {
	f.record(c)
	return f.send(ctx, c)
}

func (f *fakeTargets) Release(h Handle) { f.released = append(f.released, h) }

// stages returns a letter for each call: w for StageCombined, p for StagePrefill and d for
// StageDecode.
func (f *fakeTargets) stages() string {
	var out strings.Builder
	for _, c := range f.calls {
		out.WriteByte("wpd"[c.Stage])
	}
	return out.String()
}

// fakeCaller is a Responder that collects the response.
type fakeCaller struct {
	status int
	body   strings.Builder
	ended  bool
}

func (w *fakeCaller) WriteResponse(resp Response, body []byte) error {
	w.status, w.ended = resp.Status(), true
	w.body.Write(body)
	return nil
}
func (w *fakeCaller) BeginStream(resp Response) error { w.status = resp.Status(); return nil }
func (w *fakeCaller) WriteChunk(p []byte) error       { w.body.Write(p); return nil }
func (w *fakeCaller) EndStream() error                { w.ended = true; return nil }

type nopObserver struct{}

func (nopObserver) ObserveDecision(*Event)                              {}
func (nopObserver) ObserveEnd([]Event)                                  {}
func (nopObserver) NotifyLoadChange(*directory.Target)                  {}
func (nopObserver) NotifyPartsUsed(*directory.Target, []directory.Part) {}

// maxBuffered is the bound of buffered responses in these tests, in bytes.
const maxBuffered = 64 << 10

type testGateway struct {
	g       *Gateway
	d       *directory.Directory
	targets *fakeTargets
}

func newTestGateway() *testGateway {
	w := &testGateway{d: directory.New(), targets: &fakeTargets{}}
	for _, id := range []types.TargetID{"p1", "p2", "d1", "d2"} {
		e := directory.Entry{ID: id, Service: "llm", Role: types.RolePrefill, Slots: 8}
		if id[0] == 'd' {
			e.Role = types.RoleDecode
		}
		w.d.Put(e)
	}
	w.d.Put(directory.Entry{ID: "a", Service: "desk", Slots: 2})
	w.d.Put(directory.Entry{ID: "b", Service: "desk", Slots: 2})
	w.targets.prefill = func(c *Call) (Handle, error) { return Handle{c.Target, "h"}, nil }
	speed := placement.EngineSpeed{PrefillTokensPerMs: 50, PrefillSetup: 8 * time.Millisecond, IterationTime: 6 * time.Millisecond}
	w.g = New(Settings{Speed: speed, Costs: placement.Costs{Failure: time.Second}, MaxBufferedBytes: maxBuffered, Demand: &demand.Table{}, Now: time.Now}, w.d, w.targets, nopObserver{}, nopObserver{})
	w.g.SetTable(routes.NewTable(1, routes.Limits{}, []routes.Route{
		route("once", routes.KindNonIdempotent, 1, "desk"), route("read", routes.KindIdempotent, 2, "desk"),
		route("chat", routes.KindStream, 1, "llm"), route("resume", routes.KindStream, 2, "llm"),
	}, []routes.Service{{Name: "desk"}, {Name: "llm", Engine: &routes.Engine{Slots: 64, KVTokens: 500_000}}}))
	return w
}

func route(name string, k routes.Kind, attempts int, service types.ServiceID) routes.Route {
	return routes.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: k, Timeout: 4 * time.Second, Objective: 500 * time.Millisecond,
		TokenInterval: 200 * time.Millisecond, MaxRuns: attempts, Resumable: name == "resume",
		Services: []routes.WeightedService{{Service: service, Weight: 1}},
	}
}

func (w *testGateway) serve(ctx context.Context, path string) (Result, *fakeCaller) {
	r := &Request{ID: "r", Host: "h", Path: path, Arrived: time.Now(), Hash: 3}
	if strings.HasPrefix(path, "/chat") || strings.HasPrefix(path, "/resume") {
		r.Prompt = &placement.Prompt{Tokens: 1000, MaxOutputTokens: 20}
	}
	c := &fakeCaller{}
	return w.g.Serve(ctx, r, c), c
}

func outcomeText(o types.Outcome) string {
	switch v := o.(type) {
	case types.NotRun:
		return "not_run " + v.Reason().String()
	case types.Unknown:
		return "unknown " + v.Reason().String()
	}
	return "answered"
}

// respondAfter returns a send function that fails with each of the errors in turn and
// then returns the response. A nil error stands for a response.
func respondAfter(response *fakeResponse, errs ...error) func(context.Context, *Call) (Response, error) {
	return func(context.Context, *Call) (Response, error) {
		if len(errs) > 0 {
			err := errs[0]
			errs = errs[1:]
			if err != nil {
				return nil, err
			}
		}
		return response, nil
	}
}

// Guards against the outcome not run after a call that may have run, and against sending
// a non-idempotent request again after such a call.
func TestNonIdempotent(t *testing.T) {
	for name, c := range map[string]struct {
		errs  []error
		want  string
		calls int
	}{
		"answered":                 {nil, "answered", 1},
		"stalled":                  {[]error{ErrStalled}, "unknown target_silent", 1},
		"truncated":                {[]error{ErrInvalidResponse}, "unknown answer_truncated", 1},
		"refused, then served":     {[]error{ErrRefused}, "answered", 2},
		"not sent, then truncated": {[]error{ErrNotSent, ErrInvalidResponse}, "unknown answer_truncated", 2},
		"refused, then stalled":    {[]error{ErrRefused, ErrStalled}, "unknown target_silent", 2},
		"refused by all":           {[]error{ErrRefused, ErrRefused, ErrRefused, ErrRefused, ErrRefused, ErrRefused}, "not_run no_target", 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway()
			w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"done"}}, c.errs...)
			r, caller := w.serve(context.Background(), "/once/x")
			assert.Equal(t, outcomeText(r.Outcome), c.want)
			assert.Equal(t, len(w.targets.calls), c.calls)
			assert.Equal(t, caller.ended, c.want == "answered")
		})
	}
}

// Guards against running an idempotent request on more targets than the route allows, and
// against not retrying it at all.
func TestIdempotent(t *testing.T) {
	w := newTestGateway()
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"done"}}, ErrStalled)
	r, caller := w.serve(context.Background(), "/read/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, caller.body.String(), "done")
	w.targets.send = respondAfter(nil, ErrInvalidResponse, ErrInvalidResponse, ErrInvalidResponse)
	w.targets.calls = nil
	r, _ = w.serve(context.Background(), "/read/x")
	assert.Equal(t, outcomeText(r.Outcome), "unknown answer_truncated")
	assert.Equal(t, len(w.targets.calls), 2)
}

// Guards against retries beyond the retry budget, which all nodes share.
func TestRetryBudget(t *testing.T) {
	w := newTestGateway()
	w.g.SetRetryLimits(admission.RetryLimits{Ratio: 0, MaxSaved: 3})
	w.targets.send = respondAfter(&fakeResponse{status: 500})
	for range 10 {
		w.targets.send = respondAfter(&fakeResponse{status: 500, pieces: []string{"x"}})
		_, _ = w.serve(context.Background(), "/read/x")
	}
	assert.Equal(t, len(w.targets.calls), 10+3)
}

// Guards against charging a retry of a split request only once although it sends both a
// prefill and a decode request, and against not charging rejected prefills. Both faults
// exceeded the retry budget of all nodes in random fault runs (mix --seed 219087638923).
func TestRetryBudgetOfSplitRequests(t *testing.T) {
	w := newTestGateway()
	w.g.SetRetryLimits(admission.RetryLimits{Ratio: 0, MaxSaved: 7})
	w.targets.send = func(context.Context, *Call) (Response, error) { return nil, ErrRefused }
	for range 10 {
		_, _ = w.serve(context.Background(), "/chat/x")
	}
	first, extra := 10*2, len(w.targets.calls)-10*2
	assert.Assert(t, extra <= 7, "%d calls in addition to the first %d", extra, first)
	assert.Assert(t, extra > 0)

	w = newTestGateway()
	w.g.SetRetryLimits(admission.RetryLimits{Ratio: 0, MaxSaved: 7})
	w.targets.prefill = func(*Call) (Handle, error) { return Handle{}, ErrRefused }
	w.targets.send = func(context.Context, *Call) (Response, error) {
		return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, nil
	}
	for range 30 {
		_, _ = w.serve(context.Background(), "/chat/x")
	}
	rejected := strings.Count(w.targets.stages(), "p")
	assert.Assert(t, rejected <= 30+7, "%d rejected prefills", rejected)
}

// Guards against repeated or missing events when a stream is resumed on another target,
// and against passing on an incomplete event.
func TestResume(t *testing.T) {
	w := newTestGateway()
	n := 0
	w.targets.send = func(_ context.Context, c *Call) (Response, error) {
		n++
		if n == 1 {
			return &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"}, err: ErrInvalidResponse}, nil
		}
		assert.Equal(t, c.ResumeAfter, "2")
		assert.Equal(t, c.Stage, StageCombined)
		return &fakeResponse{status: 200, pieces: []string{"id: 3\ndata: c\n\n"}}, nil
	}
	r, caller := w.serve(context.Background(), "/resume/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, caller.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	assert.Assert(t, caller.ended)
}

// Guards against resuming a truncated stream on a route that is not resumable, and
// against ending it as if it were complete.
func TestStreamNotResumable(t *testing.T) {
	w := newTestGateway()
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n"}, err: ErrInvalidResponse})
	r, caller := w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "unknown answer_truncated")
	assert.Assert(t, r.Started && !caller.ended)
	assert.Equal(t, w.targets.stages(), "pd")
}

// Guards against ending the request after a failed prefill or a lost KV cache, and
// against a KV cache that is never freed.
func TestPrefillFailures(t *testing.T) {
	w := newTestGateway()
	fails := 1
	w.targets.prefill = func(c *Call) (Handle, error) {
		if fails > 0 {
			fails--
			return Handle{}, ErrInvalidResponse
		}
		return Handle{c.Target, "h"}, nil
	}
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, ErrRefused)
	r, _ := w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, w.targets.stages(), "ppdpd")
	assert.Equal(t, len(w.targets.released), 0)

	w = newTestGateway()
	ctx, cancel := context.WithCancel(context.Background())
	w.targets.prefill = func(c *Call) (Handle, error) { return Handle{c.Target, "h"}, nil }
	w.targets.send = func(context.Context, *Call) (Response, error) { cancel(); return nil, ErrNotSent }
	r, _ = w.serve(ctx, "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "not_run caller_gone")
	assert.Equal(t, len(w.targets.released), 1)
}

// Guards against accepting a request whose first event would be too late, and against a
// refusal without a time to retry.
func TestOverload(t *testing.T) {
	w := newTestGateway()
	for _, id := range []types.TargetID{"p1", "p2"} {
		w.d.Load().Target(id).Load.Peers.Add(directory.Work{PrefillTokens: 500_000, PrefillPrompts: 40})
	}
	r, _ := w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "not_run overload")
	assert.Assert(t, r.RetryAfter >= minRetryAfter)
	assert.Equal(t, len(w.targets.calls), 0)

	w = newTestGateway()
	for _, id := range []types.TargetID{"p1", "p2", "d1", "d2"} {
		w.d.Put(directory.Entry{ID: id, Service: "llm", Role: types.RoleMixed, Slots: 8})
		w.d.Load().Target(id).Load.Peers.Add(directory.Work{PrefillTokens: 500_000, PrefillPrompts: 40})
	}
	r, _ = w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "not_run overload")
}

// Guards against a request that is not ended at its deadline, and against work that
// continues after the deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = func(ctx context.Context, _ *Call) (Response, error) {
			<-ctx.Done()
			return nil, ErrCanceled
		}
		began := time.Now()
		r, _ := w.serve(context.Background(), "/once/x")
		assert.Equal(t, time.Since(began), 4*time.Second)
		assert.Equal(t, outcomeText(r.Outcome), "unknown timeout")
	})
}

// Guards against replacing a configuration by an older one.
func TestOlderConfigurationIgnored(t *testing.T) {
	w := newTestGateway()
	assert.Assert(t, w.g.SetTable(routes.NewTable(5, routes.Limits{}, nil, nil)))
	assert.Assert(t, !w.g.SetTable(routes.NewTable(4, routes.Limits{}, nil, nil)))
	assert.Equal(t, w.g.Table().Version, uint64(5))
	r, _ := w.serve(context.Background(), "/once/x")
	assert.Equal(t, outcomeText(r.Outcome), "not_run unknown_route")
}

// Guards against refusing prompts where engines have no separate roles, or where no
// engine has the prefill role.
func TestEnginesWithoutPrefillRole(t *testing.T) {
	for _, role := range []types.Role{types.RoleMixed, types.RoleDecode} {
		w := newTestGateway()
		for _, id := range []types.TargetID{"p1", "p2", "d1", "d2"} {
			w.d.Put(directory.Entry{ID: id, Service: "llm", Role: role, Slots: 8})
		}
		w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, ErrRefused)
		r, _ := w.serve(context.Background(), "/chat/x")
		assert.Equal(t, outcomeText(r.Outcome), "answered")
		assert.Equal(t, w.targets.stages(), "ww", "calls after the first engine has refused the request")
	}
}

// Guards against local work that remains on a target after the request.
func TestWorkIsRemovedAfterRequest(t *testing.T) {
	w := newTestGateway()
	for _, errs := range [][]error{nil, {ErrInvalidResponse}, {ErrRefused}, {ErrNotSent, ErrNotSent}} {
		w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, errs...)
		_, _ = w.serve(context.Background(), "/chat/x")
	}
	w.d.Load().All(func(t2 *directory.Target) {
		assert.Equal(t, t2.Load.Local.Load().InProgress(), directory.Work{})
	})
}

// Guards against sending again to an address that belongs to another target, and against
// removing an engine permanently because its role has changed.
func TestTargetStateAfterFailures(t *testing.T) {
	w := newTestGateway()
	w.targets.send = respondAfter(&fakeResponse{status: 200}, ErrMisdirected)
	_, _ = w.serve(context.Background(), "/once/x")
	first := w.targets.calls[0].Target
	assert.Assert(t, first.Leaving())
	w.targets.prefill = func(*Call) (Handle, error) { return Handle{}, ErrWrongRole }
	w.targets.calls = nil
	_, _ = w.serve(context.Background(), "/chat/x")
	first = w.targets.calls[0].Target
	assert.Assert(t, !first.Leaving())
	assert.Assert(t, !first.Usable(time.Now()))
}

// Guards against lost or repeated bytes if events end in the middle of a read.
func FuzzEventBuffer(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\n\r\nrest", 3)
	f.Add("\n\n\n\n", 1)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		b := newEventBuffer()
		defer b.release()
		r := &chunkReader{stream, max(size, 1)}
		var out strings.Builder
		for {
			_, err := b.fill(r)
			events := b.complete()
			out.Write(events)
			b.drop(len(events))
			if errors.Is(err, io.EOF) {
				break
			}
			assert.NilError(t, err)
		}
		assert.Equal(t, out.String()+string(b.incomplete()), stream)
	})
}

// chunkReader reads s in chunks of up to n bytes.
type chunkReader struct {
	s string
	n int
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.s == "" {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.n)], c.s)
	c.s = c.s[n:]
	return n, nil
}

func BenchmarkServeStream(b *testing.B) {
	w := newTestGateway()
	b.ReportAllocs()
	for b.Loop() {
		w.targets.calls = w.targets.calls[:0]
		w.targets.send = func(context.Context, *Call) (Response, error) {
			return &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}}, nil
		}
		_, _ = w.serve(context.Background(), "/chat/x")
	}
}

// endlessResponse never ends. If next is not nil, each Read first receives from it.
type endlessResponse struct {
	fakeResponse
	next chan struct{}
}

func (r *endlessResponse) Read(p []byte) (int, error) {
	if r.next != nil {
		<-r.next
	}
	return len(p), nil
}

// Guards against exhausting memory by many concurrent responses, each of which is within
// its limit, and against buffers that remain reserved after the end of a request.
func TestBufferedBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		const requests = maxBuffered / initialBufferBytes
		next := make(chan struct{})
		w.targets.send = func(context.Context, *Call) (Response, error) {
			return &endlessResponse{fakeResponse{status: 200}, next}, nil
		}
		outcomes := make(chan types.Outcome, requests)
		for range requests {
			go func() {
				r, _ := w.serve(context.Background(), "/once/x")
				outcomes <- r.Outcome
			}()
		}
		synctest.Wait()
		assert.Equal(t, w.g.BufferedBytes(), int64(maxBuffered))
		r, _ := w.serve(context.Background(), "/once/x")
		assert.Equal(t, r.Outcome.(types.Unknown).Reason(), types.RefusedAnswerTooLong)
		close(next)
		for range requests {
			o := <-outcomes
			assert.Equal(t, o.(types.Unknown).Reason(), types.RefusedAnswerTooLong)
		}
		assert.Equal(t, w.g.BufferedBytes(), int64(0))
	})
}
