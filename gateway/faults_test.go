package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

// pacedResponse returns one of its pieces after each interval, and then repeats the last one without
// end if endless is set.
type pacedResponse struct {
	fakeResponse
	interval time.Duration
	endless  bool
}

func (r *pacedResponse) Read(p []byte) (int, error) {
	time.Sleep(r.interval)
	if r.endless && len(r.pieces) == 1 {
		return copy(p, r.pieces[0]), nil
	}
	return r.fakeResponse.Read(p)
}

// Guards against a stream that is cut although its events arrive, slowly, and against one that lasts
// until the timeout of its route although its target sends only parts of an event.
func TestSlowAndTricklingStreams(t *testing.T) {
	for name, c := range map[string]struct {
		response *pacedResponse
		want     string
		within   time.Duration
	}{
		"slow": {
			&pacedResponse{fakeResponse{status: 200, pieces: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}}, 900 * time.Millisecond, false},
			"answered", 4 * time.Second,
		},
		"trickling": {
			&pacedResponse{fakeResponse{status: 200, pieces: []string{"id: 1\n\n", "."}}, 50 * time.Millisecond, true},
			"unknown target_silent", 2500 * time.Millisecond,
		},
		"trickling before the first event": {
			&pacedResponse{fakeResponse{status: 200, pieces: []string{"."}}, 50 * time.Millisecond, true},
			"unknown target_silent", 2500 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway()
				w.targets.send = func(context.Context, *Call) (Response, error) { return c.response, nil }
				began := time.Now()
				r, caller := w.serve(t.Context(), "/chat/x")
				assert.Equal(t, outcomeText(r.Outcome), c.want)
				assert.Equal(t, caller.ended, c.want == "answered")
				assert.Assert(t, time.Since(began) < c.within, "%s", time.Since(began))
			})
		})
	}
}

// silentResponse sends its pieces, and is silent for a time before the last one.
type silentResponse struct {
	fakeResponse
	silence time.Duration
}

func (r *silentResponse) Read(p []byte) (int, error) {
	if len(r.pieces) == 1 {
		if r.silence > r.progressTimeout {
			time.Sleep(r.progressTimeout)
			return 0, ErrStalled
		}
		time.Sleep(r.silence)
	}
	return r.fakeResponse.Read(p)
}

// Guards against a stream that is cut because its target, or the whole machine, is silent for longer
// than callers usually wait, although this caller waits and no other target can go on.
func TestSilenceDoesNotCutAStream(t *testing.T) {
	for _, path := range []string{"/chat/x", "/resume/x"} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway()
			w.targets.send = func(_ context.Context, c *Call) (Response, error) {
				r := fakeResponse{status: 200, pieces: []string{"id: 1\n\n", "id: 2\n\n"}, progressTimeout: c.ProgressTimeout}
				if c.ResumeAfter != "" {
					r.pieces = r.pieces[1:]
					return &r, nil
				}
				return &silentResponse{r, 3 * time.Second}, nil
			}
			r, caller := w.serve(t.Context(), path)
			assert.Equal(t, outcomeText(r.Outcome), "answered")
			assert.Equal(t, caller.body.String(), "id: 1\n\nid: 2\n\n")
		})
	}
}

// slowCaller needs some time for each chunk.
type slowCaller struct {
	fakeCaller
	delay time.Duration
}

func (w *slowCaller) WriteChunk(p []byte) error {
	time.Sleep(w.delay)
	return w.fakeCaller.WriteChunk(p)
}

// Guards against a sound stream that is cut because its caller reads slowly.
func TestSlowCallerDoesNotCutAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n", "id: 2\n", "\n"}})
		c := &slowCaller{delay: 3 * time.Second}
		r := &Request{ID: "r", Host: "h", Path: "/chat/x", Arrived: time.Now(), Prompt: &placement.Prompt{Tokens: 1000, MaxOutputTokens: 20}}
		w.g.Serve(t.Context(), r, c)
		assert.Equal(t, c.body.String(), "id: 1\n\nid: 2\n\n")
	})
}

// Guards against a stream without a length that breaks off within an event and looks complete, since
// the connection of a target that crashes ends like one of a complete response.
func TestStreamThatEndsWithinAnEvent(t *testing.T) {
	w := newTestGateway()
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\nid: 2\ndata"}})
	r, caller := w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "unknown answer_truncated")
	assert.Equal(t, caller.body.String(), "id: 1\n\n")
	assert.Assert(t, !caller.ended)
}

// Guards against a resumed stream that looks complete to its caller although its second engine has
// crashed before its first event, and whose end is not marked.
func TestResumedStreamThatEndsWithoutAnEvent(t *testing.T) {
	for _, unmarked := range []bool{false, true} {
		w, f := newGuardedGateway()
		responses := []*fakeResponse{
			{status: 200, pieces: []string{"id: 1\n\n"}, err: ErrInvalidResponse}, {status: 200, unmarked: unmarked},
		}
		w.targets.send = func(context.Context, *Call) (Response, error) {
			r := responses[0]
			responses = responses[1:]
			return r, nil
		}
		_, caller := w.serve(context.Background(), "/resume/x")
		assert.Equal(t, caller.ended, !unmarked)
		assert.Equal(t, len(f.events) == 2, unmarked, "a crash of the second engine leaves evidence")
	}
}

// panickingResponse panics when it is read.
type panickingResponse struct{ fakeResponse }

func (*panickingResponse) Read([]byte) (int, error) { panic("read") }

// Guards against an engine that crashes before its first event and whose response, which has
// no length, counts as a complete empty stream and as proof that the prompt is sound.
func TestStreamThatEndsWithoutAnEvent(t *testing.T) {
	w, f := newGuardedGateway()
	w.targets.send = func(context.Context, *Call) (Response, error) { return &fakeResponse{status: 200}, nil }
	res, caller := w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(res.Outcome), "unknown answer_truncated")
	assert.Assert(t, !caller.ended)
	assert.Equal(t, f.broken, 1)
	assert.Equal(t, f.answered, 0)
	res = w.g.Serve(context.Background(), &Request{
		ID: "r", Host: "h", Path: "/chat/x", Arrived: time.Now(), ResumeAfter: "6", Prompt: &placement.Prompt{Tokens: 1000, MaxOutputTokens: 20},
	}, caller)
	assert.Equal(t, outcomeText(res.Outcome), "answered", "a stream that is resumed after its last event")
}

// Guards against a panic that ends the process, leaves work in the load of a target or reports a
// request that may have run as not run.
func TestPanicEndsOneRequest(t *testing.T) {
	w := newTestGateway()
	w.targets.send = func(context.Context, *Call) (Response, error) {
		return &panickingResponse{fakeResponse{status: 200}}, nil
	}
	for _, path := range []string{"/once/x", "/read/x", "/chat/x"} {
		r, _ := w.serve(context.Background(), path)
		assert.Equal(t, outcomeText(r.Outcome), "unknown internal_error", path)
	}
	w.targets.send = func(context.Context, *Call) (Response, error) { panic("send") }
	r, _ := w.serve(context.Background(), "/once/x")
	assert.Equal(t, outcomeText(r.Outcome), "unknown internal_error")
	w.targets.prefill = func(*Call) (Handle, error) { panic("prefill") }
	r, _ = w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(r.Outcome), "not_run internal_error")
	assert.Equal(t, w.g.Panics(), int64(5))
	assert.Equal(t, w.g.BufferedBytes(), int64(0))
	for _, id := range []types.TargetID{"a", "b", "d1", "d2", "p1", "p2"} {
		assert.Equal(t, w.d.Load().Target(id).Load.Local.Load().Requests, int64(0), "%s", id)
	}
}

// Guards against a request that waits for targets that all request a pause, and against a refusal
// with another time than that of the first one that is back.
func TestAllTargetsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		now := time.Now()
		w.d.Load().Target("a").Load.RequestPause(now.Add(30 * time.Second))
		w.d.Load().Target("b").Load.RequestPause(now.Add(7 * time.Second))
		r, _ := w.serve(t.Context(), "/read/x")
		assert.Equal(t, outcomeText(r.Outcome), "not_run targets_paused")
		assert.Equal(t, r.RetryAfter, 7*time.Second)
		assert.Equal(t, len(w.targets.calls), 0)
		assert.Equal(t, time.Since(now), time.Duration(0))
		time.Sleep(7 * time.Second)
		w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"done"}})
		r, _ = w.serve(t.Context(), "/read/x")
		assert.Equal(t, outcomeText(r.Outcome), "answered")
		assert.Equal(t, w.targets.calls[0].Target.ID, types.TargetID("b"))
	})
}

// Guards against a target that is charged with a failure, or a retry that is charged to the budget,
// because the target requested a pause after it was chosen.
func TestPauseBetweenChoiceAndSend(t *testing.T) {
	w := newTestGateway()
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"done"}}, ErrPaused)
	r, _ := w.serve(context.Background(), "/once/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, len(w.targets.calls), 2)
	assert.Equal(t, w.targets.calls[0].Target.Load.FailureShare(), 0.0)
}

// Guards against bytes of a target that make the splitting of events panic, lose or repeat bytes, or
// return an incomplete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), 3)
	f.Add([]byte("id: 1\r\n\r\ndata\r\n\r\n"), 1)
	f.Add([]byte("\n\n\n\r\n\n"), 2)
	f.Add([]byte("id:\nid: x\n\nid"), 5)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		step = min(max(step, 1), 4096)
		b := newEventBuffer()
		defer b.release()
		var out []byte
		r := bytes.NewReader(data)
		for {
			n, err := b.fill(io.LimitReader(r, int64(step)))
			if n > 0 {
				events := b.complete()
				assert.Assert(t, len(events) == 0 || bytes.HasSuffix(events, []byte("\n\n")) || bytes.HasSuffix(events, []byte("\n\r\n")))
				assert.Equal(t, countEvents(events) > 0, len(events) > 0)
				_ = lastID(events, "")
				out = append(out, events...)
				b.drop(len(events))
			}
			if errors.Is(err, ErrResponseTooLarge) {
				return
			}
			if r.Len() == 0 {
				break
			}
		}
		assert.Equal(t, string(append(out, b.incomplete()...)), string(data))
	})
}
