package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/workspaces"
)

// setWorkspaces activates a version with workspaces and a public copy of each route under /open/.
func (w *testGateway) setWorkspaces(version uint64, all ...*workspaces.Workspace) bool {
	var next []*routes.Route
	w.g.Table().Routes(func(r *routes.Route) {
		if r.Public {
			return
		}
		public := *r
		public.Prefix, public.Public = "/open"+r.Prefix, true
		next = append(next, r, &public)
	})
	t := routes.NextTable(nil, version, routes.Limits{}, next, []*routes.Service{{Name: "desk"}, w.g.Table().Service("llm")})
	t.Workspaces = workspaces.Next(w.g.Table().Workspaces, all)
	return w.g.SetTable(t)
}

func (w *testGateway) serveCredential(path string, c workspaces.Credential) Result {
	r := &Request{ID: "r", Host: "h", Path: path, Credential: c, Hash: 3, Arrived: time.Now()}
	if w.g.Table().Lookup("h", path) != nil && w.g.Table().Lookup("h", path).Kind == routes.KindStream {
		r.Prompt = &placement.Prompt{Tokens: 1000, MaxOutputTokens: 20}
	}
	return w.g.Serve(context.Background(), r, &fakeCaller{})
}

// Guards against requests that run without a valid credential, and against a known key, a public
// route, or a process without a configuration that is answered as if the key were unknown.
func TestCredentialsAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway()
		w.targets.send = respondAfter(&fakeResponse{status: 200})
		key := workspaces.ForKey("k1")
		assert.Equal(t, outcomeText(w.serveCredential("/once/", key).Outcome), "answered")
		assert.DeepEqual(t, w.targets.calls[0].Caller, Caller{ForwardCredential: true})
		w.setWorkspaces(2, workspaces.NewWorkspace("a", nil, []string{"k1"}))
		for _, c := range []struct {
			path       string
			credential workspaces.Credential
			outcome    string
			caller     Caller
		}{
			{"/once/", key, "answered", Caller{Workspace: "a"}},
			{"/once/", workspaces.Credential{}, "not_run credential_missing", Caller{}},
			{"/once/", workspaces.Malformed(), "not_run credential_malformed", Caller{}},
			{"/once/", workspaces.Repeated(), "not_run credential_repeated", Caller{}},
			{"/once/", workspaces.ForKey("k2"), "not_run credential_unknown", Caller{}},
			{"/none/", workspaces.Credential{}, "not_run unknown_route", Caller{}},
			{"/open/once/", workspaces.ForKey("k2"), "answered", Caller{}},
			{"/open/once/", key, "answered", Caller{Workspace: "a"}},
		} {
			w.targets.calls = nil
			r := w.serveCredential(c.path, c.credential)
			assert.Equal(t, outcomeText(r.Outcome), c.outcome, "%s", c.path)
			assert.Equal(t, r.RetryAfter, time.Duration(0))
			if c.outcome != "answered" {
				assert.Equal(t, len(w.targets.calls), 0)
				continue
			}
			assert.DeepEqual(t, w.targets.calls[0].Caller, c.caller)
		}
		assert.Assert(t, !w.setWorkspaces(1))
		assert.Equal(t, outcomeText(w.serveCredential("/once/", key).Outcome), "answered")
		assert.Assert(t, w.setWorkspaces(3))
		assert.Equal(t, outcomeText(w.serveCredential("/once/", key).Outcome), "not_run credential_unknown")
		empty := New(w.g.settings, w.d, w.targets, nopObserver{}, nopObserver{})
		assert.Equal(t, outcomeText(empty.Serve(context.Background(), &Request{Host: "h", Path: "/once/"}, &fakeCaller{}).Outcome), "not_run no_configuration")
	})
}

// Guards against a call without the workspace or its priority in any stage of a split stream, in a
// retry or in a resumed stream, also when the key is removed while the request runs.
func TestEveryCallNamesTheWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		three := 3
		for path, stages := range map[string]string{"/resume/": "pdw", "/chat/": "pd", "/read/": "ww"} {
			w := newTestGateway()
			w.setWorkspaces(2, workspaces.NewWorkspace("a", &three, []string{"k1"}))
			first := true
			w.targets.send = func(context.Context, *Call) (Response, error) {
				if first && path != "/chat/" {
					first = false
					w.setWorkspaces(3)
					if path == "/read/" {
						return nil, ErrRefused
					}
					return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}, err: ErrInvalidResponse}, nil
				}
				return &fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}}, nil
			}
			r := w.serveCredential(path, workspaces.ForKey("k1"))
			assert.Equal(t, outcomeText(r.Outcome), "answered", path)
			assert.Equal(t, w.targets.stages(), stages, path)
			for _, c := range w.targets.calls {
				assert.DeepEqual(t, c.Caller, Caller{Workspace: "a"})
				assert.Assert(t, c.Priority == three || path == "/read/", "%d", c.Priority)
			}
		}
	})
}

// Guards against a credential that a target gets with a retry, a decode or a resumption after the first
// configuration with workspaces is in force.
func TestCredentialsAreSecretOnceThereAreWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for path, stages := range map[string]string{"/resume/": "pdw", "/chat/": "pd", "/read/": "ww"} {
			w := newTestGateway()
			prefill, introduced := w.targets.prefill, false
			introduce := func() (first bool) {
				first, introduced = !introduced, true
				if first {
					w.setWorkspaces(2, workspaces.NewWorkspace("a", nil, []string{"k1"}))
				}
				return first
			}
			w.targets.prefill = func(c *Call) (Handle, error) {
				introduce()
				return prefill(c)
			}
			w.targets.send = func(_ context.Context, c *Call) (Response, error) {
				switch {
				case introduce():
					return nil, ErrRefused
				case path == "/resume/" && c.Stage == StageDecode:
					return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}, err: ErrInvalidResponse}, nil
				}
				return &fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}}, nil
			}
			assert.Equal(t, outcomeText(w.serveCredential(path, workspaces.ForKey("k1")).Outcome), "answered", path)
			assert.Equal(t, w.targets.stages(), stages, path)
			for i, c := range w.targets.calls {
				assert.DeepEqual(t, c.Caller, Caller{ForwardCredential: i == 0})
			}
		}
	})
}
