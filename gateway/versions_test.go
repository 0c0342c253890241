package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

type versionsByID map[types.RequestID]types.SoftwareVersion

// fakePolicy returns the versions of the given request IDs, and records the last age.
type fakePolicy struct {
	assigned, resolved, begun versionsByID
	maxAge                    time.Duration
}

func (p *fakePolicy) RecordBegin(_ types.ServiceID, id types.RequestID, v types.SoftwareVersion) {
	if p.begun == nil {
		p.begun = versionsByID{}
	}
	p.begun[id] = v
}

func (p *fakePolicy) Assign(_ types.ServiceID, id types.RequestID) (types.SoftwareVersion, bool) {
	v, ok := p.assigned[id]
	return v, ok
}

func (p *fakePolicy) Resolve(_ types.ServiceID, first types.RequestID, maxAge time.Duration) (types.SoftwareVersion, bool) {
	p.maxAge = maxAge
	v, ok := p.resolved[first]
	return v, ok
}

// newVersionedGateway returns a gateway with a prefill and a decode engine of each of two versions.
// Streams end after an event.
func newVersionedGateway(p VersionPolicy) *testGateway {
	w := newTestGateway()
	w.g.settings.Versions = p
	w.setVersions(map[types.TargetID]types.SoftwareVersion{"p1": "v1", "p2": "v2", "d1": "v1", "d2": "v2"})
	w.targets.send = func(context.Context, *Call) (Response, error) {
		return &fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}}, nil
	}
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
	w.targets.calls = nil
	return w.g.Serve(context.Background(), &r, c), c
}

// breakOff is a send function that returns a stream which breaks off after an event.
func breakOff(context.Context, *Call) (Response, error) {
	return &fakeResponse{status: 200, pieces: []string{"id: 1\ndata: a\n\n"}, err: ErrInvalidResponse}, nil
}

// generators returns the versions of the engines that were to generate tokens.
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
		end := w.targets.send
		w.targets.send = func(ctx context.Context, c *Call) (Response, error) {
			if len(w.generators()) > 1 {
				return end(ctx, c)
			}
			return breakOff(ctx, c)
		}
		res, caller := w.serveRequest(Request{Path: "/resume/x", Hash: hash})
		assert.DeepEqual(t, w.generators(), w.generators()[:1])
		assert.Equal(t, outcomeText(res.Outcome), "unknown answer_truncated")
		assert.Assert(t, res.Started && !caller.ended)

		third := w.generators()[0]
		w.d.Put(directory.Entry{ID: "d3", Service: "llm", Role: types.RoleDecode, Slots: 8, Version: third})
		res, _ = w.serveRequest(Request{Path: "/resume/x", Hash: hash})
		got := w.generators()
		assert.Equal(t, got[len(got)-1], got[0])
		assert.Equal(t, len(got) == 2, got[0] == third)
		assert.Equal(t, outcomeText(res.Outcome) == "answered", len(got) == 2)
	}
}

// Guards against a resumption at a target that has returned under its ID with another version.
func TestRestOfStreamAfterTargetChangesVersion(t *testing.T) {
	w := newTestGateway()
	w.targets.send = func(ctx context.Context, c *Call) (Response, error) {
		w.setVersions(map[types.TargetID]types.SoftwareVersion{"d1": "v2", "d2": "v2"})
		return breakOff(ctx, c)
	}
	res, _ := w.serveRequest(Request{Path: "/resume/x"})
	assert.DeepEqual(t, w.generators(), []types.SoftwareVersion{""})
	assert.Equal(t, outcomeText(res.Outcome), "unknown answer_truncated")
}

// Guards against a stream that begins at another version than its ID determines, and against one
// that a caller resumes at another version than that of its first request.
func TestVersionOverTries(t *testing.T) {
	for hash := range uint64(20) {
		v := types.SoftwareVersion([]string{"v1", "v2"}[hash%2])
		w := newVersionedGateway(&fakePolicy{assigned: versionsByID{"first": v, "next": "other"}, resolved: versionsByID{"first": v}})
		end := w.targets.send
		w.targets.send = breakOff
		_, _ = w.serveRequest(Request{ID: "first", Path: "/resume/x", Hash: hash / 2})
		assert.DeepEqual(t, w.generators(), []types.SoftwareVersion{v})
		w.targets.send = end
		res, _ := w.serveRequest(Request{ID: "next", Path: "/resume/x", Hash: hash, ResumeAfter: "1", ResumeOf: "first"})
		assert.Equal(t, outcomeText(res.Outcome), "answered")
		assert.DeepEqual(t, w.generators(), []types.SoftwareVersion{v})
	}
}

// Guards against a version recorded for a stream whose first event came with another request, or never.
func TestBeginOfStreamIsRecorded(t *testing.T) {
	p := &fakePolicy{assigned: versionsByID{"first": "v2", "silent": "v1", "plain": "v1"}, resolved: versionsByID{"first": "v2"}}
	w := newVersionedGateway(p)
	end := w.targets.send
	w.targets.send = func(context.Context, *Call) (Response, error) { return &fakeResponse{status: 200}, nil }
	_, _ = w.serveRequest(Request{ID: "silent", Path: "/resume/x"})
	w.targets.send = end
	_, _ = w.serveRequest(Request{ID: "plain", Path: "/chat/x"})
	_, _ = w.serveRequest(Request{ID: "first", Path: "/resume/x"})
	_, _ = w.serveRequest(Request{ID: "next", Path: "/resume/x", ResumeAfter: "1", ResumeOf: "first"})
	assert.DeepEqual(t, p.begun, versionsByID{"first": "v2"})
}

// Guards against a guess where the version of a stream cannot be determined, against a refusal that
// is not true, and against a time within which a stream can have begun that is too short.
func TestUnknownVersionIsRefused(t *testing.T) {
	none, some := &fakePolicy{}, &fakePolicy{resolved: versionsByID{"a": "v1", "gone": "v0"}}
	later := time.Now().Add(time.Hour)
	for name, c := range map[string]struct {
		policy VersionPolicy
		r      Request
		want   string
	}{
		"not assigned":                 {none, Request{Path: "/resume/x"}, "not_run version_unknown"},
		"not resolved":                 {none, Request{Path: "/resume/x", ResumeAfter: "1", ResumeOf: "b"}, "not_run stream_version_unknown"},
		"not resolved, without event":  {none, Request{Path: "/resume/x", ResumeOf: "b"}, "not_run stream_version_unknown"},
		"not resolved, without ID":     {none, Request{Path: "/resume/x", ResumeAfter: "1", Deadline: later}, "not_run stream_version_unknown"},
		"no policy, two versions":      {nil, Request{Path: "/resume/x", ResumeAfter: "1", ResumeOf: "a"}, "not_run stream_version_unknown"},
		"no target of the version":     {some, Request{Path: "/resume/x", ResumeAfter: "1", ResumeOf: "gone"}, "not_run no_target"},
		"resumed though not resumable": {some, Request{Path: "/chat/x", ResumeAfter: "1", ResumeOf: "a"}, "not_run stream_version_unknown"},
		"not a resumable route":        {none, Request{Path: "/chat/x"}, "answered"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newVersionedGateway(c.policy)
			res, _ := w.serveRequest(c.r)
			assert.Equal(t, outcomeText(res.Outcome), c.want)
			assert.Equal(t, w.targets.stages() == "" && res.RetryAfter >= minRetryAfter, c.want != "answered")
			if !c.r.Deadline.IsZero() {
				assert.Assert(t, none.maxAge > time.Minute)
			} else if c.policy == some {
				assert.Equal(t, some.maxAge, 4*time.Second)
			}
		})
	}
	w := newTestGateway() // all targets have one version
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}})
	res, _ := w.serveRequest(Request{Path: "/resume/x", ResumeAfter: "1"})
	assert.Equal(t, outcomeText(res.Outcome), "answered")
}

// Guards against a stream that another service of a split route goes on with, because the request
// that resumes it has another ID.
func TestResumedStreamKeepsService(t *testing.T) {
	w := newVersionedGateway(nil)
	w.setVersions(map[types.TargetID]types.SoftwareVersion{"p2": "v1", "d2": "v1"})
	split := route("resume", routes.KindStream, 2, "llm")
	split.Services = []routes.WeightedService{{Service: "llm", Weight: 1}, {Service: "desk", Weight: 1}}
	w.g.SetTable(routes.NewTable(2, routes.Limits{}, []routes.Route{split}, []routes.Service{{Name: "desk"}, {Name: "llm"}}))
	for hash := range uint64(4) {
		_, _ = w.serveRequest(Request{Path: "/resume/x", Hash: hash})
		first := w.targets.calls[0].Target.Service
		_, _ = w.serveRequest(Request{Path: "/resume/x", Hash: hash + 1, ResumeOf: "first", ResumeHash: hash})
		assert.Equal(t, w.targets.calls[0].Target.Service, first)
	}
}

// Guards against a stream that may be resumed and begins or goes on at a target that has returned with
// another version before its registration says so, and against checks of other requests.
func TestCallsThatRequireLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = breakOff
		w.g.SetRetryLimits(admission.RetryLimits{Ratio: 1, MaxSaved: 100})
		check := func(r Request, want string) {
			t.Helper()
			got := ""
			_, _ = w.serveRequest(r)
			for _, c := range w.targets.calls {
				got += map[bool]string{true: "L", false: "-"}[c.RequireLifetime]
			}
			assert.Equal(t, got, want)
			time.Sleep(time.Second) // ends the pauses of the engines
			w.d.Load().All(func(t *directory.Target) { t.Load.RecordSuccess() })
		}
		check(Request{Path: "/resume/x"}, "LLL") // prefill, decode, rest
		check(Request{Path: "/resume/x", ResumeAfter: "1"}, "LLL")
		check(Request{Path: "/chat/x"}, "--")
		check(Request{Path: "/read/x"}, "--")
		w.d.Load().All(func(t *directory.Target) { t.Load.RecordFailure(time.Now()) })
		check(Request{Path: "/chat/x"}, "LL")
		check(Request{Path: "/read/x"}, "--")
	})
}
