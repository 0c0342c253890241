package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// fakePolicy returns the versions of the given request IDs, and records the ages.
type fakePolicy struct {
	assigned, resolved map[types.RequestID]types.SoftwareVersion
	ages               []time.Duration
}

func (p *fakePolicy) Assign(_ types.ServiceID, id types.RequestID) (types.SoftwareVersion, bool) {
	v, ok := p.assigned[id]
	return v, ok
}

func (p *fakePolicy) Resolve(_ types.ServiceID, first types.RequestID, maxAge time.Duration) (types.SoftwareVersion, bool) {
	p.ages = append(p.ages, maxAge)
	v, ok := p.resolved[first]
	return v, ok
}

// newVersionedGateway returns a gateway with a prefill and a decode engine of each of two versions.
func newVersionedGateway(p VersionPolicy) *testGateway {
	w := newTestGateway()
	w.g.settings.Versions = p
	w.setVersions(map[types.TargetID]types.SoftwareVersion{"p1": "v1", "p2": "v2", "d1": "v1", "d2": "v2"})
	return w
}

func (w *testGateway) setVersions(all map[types.TargetID]types.SoftwareVersion) {
	for id, v := range all {
		e := w.d.Load().Target(id).Entry
		e.Version = v
		w.d.Put(e)
	}
}

// serveRequest serves a request with a prompt that has a shared part.
func (w *testGateway) serveRequest(r Request) (Result, *fakeCaller) {
	r.Host, r.Arrived = "h", time.Now()
	r.Prompt = &placement.Prompt{Tokens: 2000, MaxOutputTokens: 20, Parts: []directory.Part{{Key: 7, Tokens: 1800}}}
	c := &fakeCaller{}
	return w.g.Serve(context.Background(), &r, c), c
}

// breakOff returns a stream that breaks off after an event.
func breakOff() *fakeResponse {
	return &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n"}, err: ErrInvalidResponse}
}

func (w *testGateway) generators() (out []types.SoftwareVersion) {
	for _, c := range w.targets.calls {
		if c.Stage != StagePrefill {
			out = append(out, c.Target.Version)
		}
	}
	return out
}

// Guards against a stream whose rest comes from another software version in the same answer.
func TestRestOfStreamKeepsVersion(t *testing.T) {
	for hash := range uint64(20) {
		w := newVersionedGateway(nil)
		w.targets.send = func(context.Context, *Call) (Response, error) {
			if len(w.generators()) > 1 {
				return &fakeResponse{status: 200, pieces: []string{"id: 2\ndata: b\n\n"}}, nil
			}
			return breakOff(), nil
		}
		res, caller := w.serveRequest(Request{ID: "r", Path: "/resume/x", Hash: hash})
		assert.DeepEqual(t, w.generators(), w.generators()[:1])
		assert.Equal(t, outcomeText(res.Outcome), "unknown answer_truncated")
		assert.Assert(t, res.Started && !caller.ended)

		w.d.Put(directory.Entry{ID: "d3", Service: "llm", Role: types.RoleDecode, Slots: 8, Version: w.generators()[0]})
		w.targets.calls = nil
		res, _ = w.serveRequest(Request{ID: "r", Path: "/resume/x", Hash: hash})
		got := w.generators()
		assert.Equal(t, got[len(got)-1], got[0])
		assert.Equal(t, len(got) == 2, got[0] == w.d.Load().Target("d3").Version)
		assert.Equal(t, outcomeText(res.Outcome) == "answered", len(got) == 2)
	}
}

// Guards against a resumption at a target that has returned under its ID with another version.
func TestRestOfStreamAfterTargetChangesVersion(t *testing.T) {
	w := newTestGateway()
	w.targets.send = func(_ context.Context, c *Call) (Response, error) {
		if len(w.generators()) == 1 {
			w.setVersions(map[types.TargetID]types.SoftwareVersion{"d1": "v2", "d2": "v2"})
		}
		return breakOff(), nil
	}
	res, _ := w.serveRequest(Request{ID: "r", Path: "/resume/x"})
	assert.DeepEqual(t, w.generators(), []types.SoftwareVersion{""})
	assert.Equal(t, outcomeText(res.Outcome), "unknown answer_truncated")
}

// Guards against a stream that begins at another version than its ID determines, and against one
// that a caller resumes at another version than that of its first request.
func TestVersionOverTries(t *testing.T) {
	for _, v := range []types.SoftwareVersion{"v1", "v2"} {
		for hash := range uint64(10) {
			p := &fakePolicy{
				assigned: map[types.RequestID]types.SoftwareVersion{"first": v, "next": "other"},
				resolved: map[types.RequestID]types.SoftwareVersion{"first": v},
			}
			w := newVersionedGateway(p)
			w.targets.send = func(context.Context, *Call) (Response, error) { return breakOff(), nil }
			_, _ = w.serveRequest(Request{ID: "first", Path: "/resume/x", Hash: hash})
			assert.DeepEqual(t, w.generators(), []types.SoftwareVersion{v})

			w.targets.calls = nil
			w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}})
			w.d.Load().Target("d1").Load.RetryAfter.Store(0)
			w.d.Load().Target("d2").Load.RetryAfter.Store(0)
			res, _ := w.serveRequest(Request{ID: "next", Path: "/resume/x", Hash: hash + 1, ResumeAfter: "1", ResumeOf: "first"})
			assert.Equal(t, outcomeText(res.Outcome), "answered")
			assert.DeepEqual(t, w.generators(), []types.SoftwareVersion{v})
		}
	}
}

// Guards against a guess where the version of a stream cannot be determined, and against a refusal
// that is not true.
func TestUnknownVersionIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		policy VersionPolicy
		r      Request
		want   string
	}{
		"not assigned":                {&fakePolicy{}, Request{Path: "/resume/x"}, "not_run version_unknown"},
		"not resolved":                {&fakePolicy{}, Request{Path: "/resume/x", ResumeAfter: "1", ResumeOf: "a"}, "not_run stream_version_unknown"},
		"not resolved, without event": {&fakePolicy{}, Request{Path: "/resume/x", ResumeOf: "a"}, "not_run stream_version_unknown"},
		"not resolved, without ID":    {&fakePolicy{}, Request{Path: "/resume/x", ResumeAfter: "1"}, "not_run stream_version_unknown"},
		"no policy, two versions":     {nil, Request{Path: "/resume/x", ResumeAfter: "1", ResumeOf: "a"}, "not_run stream_version_unknown"},
		"not a resumable route":       {&fakePolicy{}, Request{Path: "/chat/x"}, "answered"},
		// The version is not that to which the ID would be assigned on a resumable route.
		"resumed though not resumable": {
			&fakePolicy{resolved: map[types.RequestID]types.SoftwareVersion{"a": "v1"}}, Request{Path: "/chat/x", ResumeAfter: "1", ResumeOf: "a"},
			"not_run stream_version_unknown",
		},
		"no target of the version": {
			&fakePolicy{resolved: map[types.RequestID]types.SoftwareVersion{"a": "v0"}}, Request{Path: "/resume/x", ResumeAfter: "1", ResumeOf: "a"},
			"not_run no_target",
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newVersionedGateway(c.policy)
			w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}})
			res, _ := w.serveRequest(c.r)
			assert.Equal(t, outcomeText(res.Outcome), c.want)
			if c.want != "answered" {
				assert.Equal(t, w.targets.stages(), "")
				assert.Assert(t, res.RetryAfter >= minRetryAfter)
			}
		})
	}
	w := newVersionedGateway(nil)
	w.setVersions(map[types.TargetID]types.SoftwareVersion{"p1": "v2", "d1": "v2"})
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}})
	res, _ := w.serveRequest(Request{Path: "/resume/x", ResumeAfter: "1"})
	assert.Equal(t, outcomeText(res.Outcome), "answered", "no policy, one version")
}

// Guards against a time within which a stream can have begun that is too short: that of the route,
// or the longer one of the caller.
func TestMaxAgeOfResumedStream(t *testing.T) {
	p := &fakePolicy{}
	w := newVersionedGateway(p)
	_, _ = w.serveRequest(Request{Path: "/resume/x", ResumeAfter: "1", Deadline: time.Now().Add(time.Second)})
	_, _ = w.serveRequest(Request{Path: "/resume/x", ResumeAfter: "1", Deadline: time.Now().Add(time.Hour)})
	assert.Equal(t, p.ages[0], 4*time.Second)
	assert.Assert(t, p.ages[1] > time.Minute)
}

// Guards against a stream that another service of a split route goes on with, because the request
// that resumes it has another ID.
func TestResumedStreamKeepsService(t *testing.T) {
	w := newTestGateway()
	split := route("resume", routes.KindStream, 2, "llm")
	split.Services = []routes.WeightedService{{Service: "llm", Weight: 1}, {Service: "desk", Weight: 1}}
	w.g.SetTable(routes.NewTable(2, routes.Limits{}, []routes.Route{split}, []routes.Service{{Name: "desk"}, {Name: "llm"}}))
	for hash := range uint64(20) {
		w.targets.calls = nil
		w.targets.send = func(context.Context, *Call) (Response, error) {
			return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, nil
		}
		_, _ = w.serveRequest(Request{ID: "first", Path: "/resume/x", Hash: hash})
		_, _ = w.serveRequest(Request{ID: "next", Path: "/resume/x", Hash: hash + 1, ResumeAfter: "1", ResumeOf: "first", ResumeHash: hash})
		assert.Equal(t, w.targets.calls[0].Target.Service, w.targets.calls[1].Target.Service)
	}
}

// Guards against a stream that goes on, or begins during a release, at a target that has returned
// with another version before its registration says so, and against a check of each request.
func TestCallsThatRequireLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		required := func(w *testGateway, r Request) (out string) {
			w.targets.calls = nil
			w.targets.send = func(context.Context, *Call) (Response, error) { return breakOff(), nil }
			_, _ = w.serveRequest(r)
			for _, c := range w.targets.calls {
				out += map[bool]string{true: "L", false: "-"}[c.RequireLifetime]
			}
			time.Sleep(time.Second) // ends the pauses of the engines
			return out
		}
		w := newTestGateway()
		assert.Equal(t, required(w, Request{ID: "r", Path: "/resume/x"}), "--L", "prefill, decode, rest")
		assert.Equal(t, required(w, Request{ID: "r", Path: "/resume/x", ResumeAfter: "1"}), "LLL")
		assert.Equal(t, required(w, Request{ID: "r", Path: "/chat/x"}), "--")
		assert.Equal(t, required(w, Request{ID: "r", Path: "/read/x"}), "--")
		w.setVersions(map[types.TargetID]types.SoftwareVersion{"d1": "v1", "d2": "v1", "p1": "v1"})
		assert.Equal(t, required(w, Request{ID: "r", Path: "/resume/x"}), "LLL")
		assert.Equal(t, required(w, Request{ID: "r", Path: "/chat/x"}), "LL")
		w.setVersions(map[types.TargetID]types.SoftwareVersion{"p2": "v1"})
		assert.Equal(t, required(w, Request{ID: "r", Path: "/resume/x"}), "LLL")
		time.Sleep(mixedMemory)
		assert.Equal(t, required(w, Request{ID: "r", Path: "/resume/x"}), "--L")
	})
}
