package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
)

// fakeGuard blocks all prompts while blocked is not 0, and counts what is reported to it.
type fakeGuard struct {
	blocked          time.Duration
	broken, answered int
	unmarked         []int // events of the responses with an unmarked end
	events           []int // of the broken responses
}

func (f *fakeGuard) Blocked([]directory.Part) time.Duration { return f.blocked }
func (f *fakeGuard) RecordAnswer([]directory.Part)          { f.answered++ }

func (f *fakeGuard) RecordUnmarkedEnd(_ *directory.Target, _ []directory.Part, events int) {
	f.unmarked = append(f.unmarked, events)
}

func (f *fakeGuard) RecordBroken(_ *directory.Target, _ []directory.Part, events int) {
	f.broken++
	f.events = append(f.events, events)
}

func newGuardedGateway() (*testGateway, *fakeGuard) {
	w, f := newTestGateway(), &fakeGuard{}
	w.g.settings.Crashes = f
	return w, f
}

// Guards against requests with a blocked part that reach engines: at all, after their prefill,
// or as a retry.
func TestBlockedPromptReachesNoEngine(t *testing.T) {
	w, f := newGuardedGateway()
	f.blocked = time.Minute
	res, _ := w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(res.Outcome), "not_run prompt_crashes_targets")
	assert.Equal(t, res.RetryAfter, time.Minute)
	assert.Equal(t, w.targets.stages(), "")

	w, f = newGuardedGateway()
	w.targets.prefill = func(c *Call) (Handle, error) {
		f.blocked = time.Minute
		return Handle{c.Target, "h"}, nil
	}
	res, _ = w.serve(context.Background(), "/chat/x")
	assert.Equal(t, outcomeText(res.Outcome), "not_run prompt_crashes_targets")
	assert.Equal(t, w.targets.stages(), "p")
	assert.Equal(t, len(w.targets.released), 1)

	w, f = newGuardedGateway()
	w.targets.send = func(context.Context, *Call) (Response, error) {
		f.blocked = time.Minute
		return nil, ErrInvalidResponse
	}
	res, _ = w.serve(context.Background(), "/resume/x")
	assert.Equal(t, outcomeText(res.Outcome), "unknown prompt_crashes_targets")
	assert.Equal(t, w.targets.stages(), "pd")
}

// Guards against a resumed response that is not reported as broken at its beginning because its
// request has received events from another engine.
func TestEventsOfABrokenResponseAreThoseOfItsEngine(t *testing.T) {
	w, f := newGuardedGateway()
	responses := []*fakeResponse{
		{status: 200, pieces: []string{"id: 1\n\n", "id: 2\n\n"}, err: ErrInvalidResponse},
		{status: 200, err: ErrInvalidResponse},
	}
	w.targets.send = func(context.Context, *Call) (Response, error) {
		r := responses[0]
		responses = responses[1:]
		return r, nil
	}
	w.serve(context.Background(), "/resume/x")
	assert.DeepEqual(t, f.events, []int{2, 0})
}

// Guards against broken responses that are not reported to the guard or are reported with a wrong
// number of events, against other failures that are reported as broken, and against an end that is
// not marked and counts as an answer.
func TestBrokenResponsesAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		resp     *fakeResponse
		broken   []int
		unmarked []int
		answered int
	}{
		"no head":                 {err: ErrInvalidResponse, broken: []int{0}},
		"no event":                {resp: &fakeResponse{status: 200, err: ErrInvalidResponse}, broken: []int{0}},
		"part of an event":        {resp: &fakeResponse{status: 200, pieces: []string{"id: 1\nda"}, err: ErrInvalidResponse}, broken: []int{0}},
		"after an event":          {resp: &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n"}, err: ErrInvalidResponse}, broken: []int{1}},
		"events in one read":      {resp: &fakeResponse{status: 200, pieces: []string{"id: 1\n\nid: 2\r\n\r\nid: 3\n\nid"}, err: ErrInvalidResponse}, broken: []int{3}},
		"unmarked end":            {resp: &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}, unmarked: true}, unmarked: []int{1}},
		"stalled":                 {err: ErrStalled},
		"refused":                 {err: ErrRefused},
		"not sent":                {err: ErrNotSent},
		"complete":                {resp: &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n"}}, answered: 1},
		"a broken error response": {resp: &fakeResponse{status: 500, pieces: []string{"no"}, err: ErrInvalidResponse}, broken: []int{0}},
		"an error response":       {resp: &fakeResponse{status: 500, pieces: []string{"no"}}},
	} {
		w, f := newGuardedGateway()
		w.targets.send = func(context.Context, *Call) (Response, error) {
			if c.err != nil {
				return nil, c.err
			}
			return c.resp, nil
		}
		w.serve(context.Background(), "/chat/x")
		assert.DeepEqual(t, f.events, c.broken)
		assert.DeepEqual(t, f.unmarked, c.unmarked)
		assert.Equal(t, f.answered, c.answered, name)
	}
}
