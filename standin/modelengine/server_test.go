package modelengine

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

// serveEngine runs an engine on a loopback address until the test ends.
func serveEngine(t *testing.T) (address string, r *Runner) {
	t.Helper()
	r = NewRunner(testEngine(func(p *Params) { p.Rates.IterationBase = time.Millisecond }), RunnerSettings{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fasthttp.Server{Handler: NewServer(r).Handle}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		r.Close()
	})
	return l.Addr().String(), r
}

func post(t *testing.T, address, path string, in any) (int, string) {
	t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(t, err)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	assert.NilError(t, fasthttp.Do(req, resp))
	return resp.StatusCode(), string(resp.Body())
}

func lastEvent(t *testing.T, body string) event {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(body), "\n")
	data, ok := strings.CutPrefix(lines[len(lines)-1], "data: ")
	assert.Assert(t, ok, body)
	var e event
	assert.NilError(t, json.Unmarshal([]byte(data), &e))
	return e
}

// Guards against a stand-in that decodes without the KV cache of the given source, or
// with a cache that does not exist: tests would then not show the cost of a wrong
// role plan.
func TestKVTransferBetweenEngines(t *testing.T) {
	first, _ := serveEngine(t)
	second, r := serveEngine(t)
	request := generateRequest{RequestID: "r", Model: "m", Prompt: strings.Repeat("x", 400), MaxTokens: 4, PrefillOnly: true}
	code, body := post(t, first, "/v1/completions", request)
	assert.Equal(t, code, fasthttp.StatusOK)
	end := lastEvent(t, body)
	assert.Assert(t, end.Done && end.Tokens == 0 && end.PromptTokens == 100, body)

	request.PrefillOnly, request.KVSource = false, first
	code, body = post(t, second, "/v1/completions", request)
	assert.Equal(t, code, fasthttp.StatusOK)
	end = lastEvent(t, body)
	assert.Assert(t, end.Done && end.Tokens == 4 && end.CachedTokens == 100, body)

	request.RequestID = "unknown"
	code, _ = post(t, second, "/v1/completions", request)
	assert.Equal(t, code, fasthttp.StatusFailedDependency)
	r.Do(func(e *Engine, _ time.Time) []Output {
		assert.Equal(t, e.Stats.Submitted, int64(1))
		return nil
	})
}

// Guards against a cancelled request whose output ends like that of a completed one.
func TestCancelInterruptsJob(t *testing.T) {
	address, r := serveEngine(t)
	j := testJob("r", 10, 60_000)
	out, err := r.Submit(j, "m", "")
	assert.NilError(t, err)
	<-out
	code, _ := post(t, address, "/v1/cancel", requestRef{"r"})
	assert.Equal(t, code, fasthttp.StatusOK)
	var last Output
	for last = range out {
	}
	assert.Assert(t, last.Interrupted)
	code, _ = post(t, address, "/v1/cancel", requestRef{"r"})
	assert.Equal(t, code, fasthttp.StatusNotFound)
}

// Guards against a runner that does not wake at the end of a change while it has no
// work.
func TestRunnerWakesAtEndOfChange(t *testing.T) {
	e := testEngine(func(p *Params) { p.ChangeTime = time.Millisecond })
	r := NewRunner(e, RunnerSettings{})
	defer r.Close()
	assert.NilError(t, r.Order(Order{ID: "o", Fence: 1, Role: types.RoleDecode, Model: "m", Version: "1"}))
	for { // runs into the test's time limit if the change does not complete
		if report, _ := r.Report(); report.Role == types.RoleDecode && !report.Changing {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a change of model that completes although the weight store refuses
// the read.
func TestLoadWaitsForWeights(t *testing.T) {
	e := testEngine(func(p *Params) { p.ChangeTime = 0 })
	requested := make(chan struct{})
	result := make(chan error)
	r := NewRunner(e, RunnerSettings{Weights: weightsFunc(func(types.ModelID, string) error {
		requested <- struct{}{}
		return <-result
	})})
	defer r.Close()
	assert.NilError(t, r.Order(Order{ID: "o", Fence: 1, Role: types.RoleMixed, Model: "m", Version: "2"}))
	<-requested
	r.Do(func(e *Engine, now time.Time) []Output {
		assert.Equal(t, e.OrderInProgress(now), "o")
		return nil
	})
	result <- ErrWeightsUnavailable
	<-requested // retries after a refusal
	result <- nil
	for changing := true; changing; {
		r.Do(func(e *Engine, now time.Time) []Output {
			changing = e.Changing(now)
			return nil
		})
	}
	r.Do(func(e *Engine, _ time.Time) []Output {
		assert.Equal(t, e.Description().Version, "2")
		return nil
	})
}

type weightsFunc func(types.ModelID, string) error

func (f weightsFunc) Read(m types.ModelID, v string) error { return f(m, v) }
