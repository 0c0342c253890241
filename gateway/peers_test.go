package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

// fakePeers are daemons that answer in the order of their names.
type fakePeers struct {
	lost  bool
	names []types.VMID
	calls []PeerCall
	to    []types.VMID
	send  func(to types.VMID) (Response, error)
}

func (p *fakePeers) TargetsLost() bool { return p.lost }

func (p *fakePeers) Choose(_ *Request, tried []types.VMID) (types.VMID, bool) {
	for _, n := range p.names {
		if !slices.Contains(tried, n) {
			return n, true
		}
	}
	return "", false
}

func (p *fakePeers) Send(_ context.Context, to types.VMID, c *PeerCall) (Response, error) {
	p.calls, p.to = append(p.calls, *c), append(p.to, to)
	return p.send(to)
}

func newForwardingGateway(lost bool) (*testGateway, *fakePeers) {
	w, p := newTestGateway(), &fakePeers{lost: lost, names: []types.VMID{"n1", "n2", "n3", "n4"}}
	w.g.settings.Peers = p
	p.send = func(types.VMID) (Response, error) {
		return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n", "id: 2\n\n"}}, nil
	}
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}})
	return w, p
}

// Guards against requests that are refused, or tried on targets, while this daemon has lost its links
// to the targets and others reach them.
func TestRequestsGoThroughPeers(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/chat/x", "/resume/x"} {
		w, p := newForwardingGateway(true)
		r, caller := w.serve(context.Background(), path)
		assert.Equal(t, outcomeText(r.Outcome), "answered", path)
		assert.Equal(t, caller.body.String(), "id: 1\n\nid: 2\n\n")
		assert.Assert(t, caller.ended)
		assert.Equal(t, len(w.targets.calls), 0)
		assert.Equal(t, len(p.calls), 1)
	}
}

// Guards against a request that stays at a daemon without targets because no other one was known when it
// arrived, as after a restart, and against targets that are avoided because of the lost links.
func TestPeerFoundLater(t *testing.T) {
	w, p := newForwardingGateway(true)
	names := p.names
	p.names = nil
	w.targets.send = func(context.Context, *Call) (Response, error) {
		p.names = names
		return nil, ErrNotSent
	}
	r, _ := w.serve(context.Background(), "/once/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, len(w.targets.calls), 1)
	assert.Assert(t, !w.targets.calls[0].Target.Load.Failing())
}

// Guards against a refusal without an attempt when no other daemon accepts requests, and against a
// daemon that uses others while it reaches the targets.
func TestTargetsAreTriedWithoutPeers(t *testing.T) {
	for _, lost := range []bool{true, false} {
		w, p := newForwardingGateway(lost)
		if lost {
			p.names = nil
		}
		r, _ := w.serve(context.Background(), "/once/x")
		assert.Equal(t, outcomeText(r.Outcome), "answered")
		assert.Equal(t, len(p.calls), 0)
		assert.Equal(t, len(w.targets.calls), 1)
	}
}

// Guards against a request that runs again after the link to another daemon broke, and against the
// outcome not run for it. What the daemon has proved is passed on.
func TestOutcomesOfPeers(t *testing.T) {
	refusal := func(r types.RefusalReason, notRun bool) error {
		return fmt.Errorf("peer: %w", &PeerRefusal{Reason: r, NotRun: notRun, RetryAfter: 300 * time.Millisecond})
	}
	for name, c := range map[string]struct {
		errs       []error
		want       string
		peers      int
		retryAfter time.Duration
	}{
		"not sent":              {[]error{ErrNotSent}, "answered", 2, 0},
		"full, stopping, lost":  {[]error{refusal(types.RefusedPoolFull, true), refusal(types.RefusedStopping, true)}, "answered", 3, 0},
		"broken":                {[]error{ErrInvalidResponse}, "unknown answer_truncated", 1, 0},
		"silent":                {[]error{ErrStalled}, "unknown target_silent", 1, 0},
		"overload":              {[]error{refusal(types.RefusedOverload, true)}, "not_run overload", 1, 300 * time.Millisecond},
		"failed":                {[]error{refusal(types.RefusedTargetSilent, false)}, "unknown target_silent", 1, 300 * time.Millisecond},
		"refused by a full one": {[]error{refusal(types.RefusedPoolFull, false)}, "unknown pool_full", 1, 300 * time.Millisecond},
	} {
		for _, path := range []string{"/once/x", "/read/x", "/resume/x"} {
			w, p := newForwardingGateway(true)
			errs := c.errs
			p.send = func(types.VMID) (Response, error) {
				if len(errs) == 0 {
					return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, nil
				}
				err := errs[0]
				errs = errs[1:]
				return nil, err
			}
			r, _ := w.serve(context.Background(), path)
			assert.Equal(t, outcomeText(r.Outcome), c.want, "%s %s", name, path)
			assert.Equal(t, len(p.calls), c.peers, "%s %s", name, path)
			assert.Equal(t, len(w.targets.calls), 0, "%s %s", name, path)
			assert.Equal(t, r.RetryAfter, c.retryAfter, "%s %s", name, path)
		}
	}
}

// Guards against a stream that another daemon continues from its first event, at another software
// version, or with more runs than the route allows, when the links are lost in the middle of it.
func TestPeerContinuesStream(t *testing.T) {
	w, p := newForwardingGateway(false)
	w.setVersions(map[types.TargetID]types.SoftwareVersion{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1"})
	w.targets.send = func(context.Context, *Call) (Response, error) {
		p.lost = true
		return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}, err: ErrStalled}, nil
	}
	p.send = func(types.VMID) (Response, error) {
		return &fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}}, nil
	}
	r, caller := w.serve(context.Background(), "/resume/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, caller.body.String(), "id: 1\n\nid: 2\n\n")
	assert.Equal(t, p.calls[0].ResumeAfter, "1")
	f := p.calls[0].Forwarded
	assert.Assert(t, f.Bound && f.Version == "v1")
	assert.Equal(t, f.Runs, 1)
	assert.Assert(t, f.Offered)
}

// Guards against a stream that ends as complete, or goes on elsewhere, when the daemon that carries it
// breaks off.
func TestBrokenStreamOfPeer(t *testing.T) {
	w, p := newForwardingGateway(true)
	p.send = func(types.VMID) (Response, error) {
		return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}, err: ErrInvalidResponse}, nil
	}
	r, caller := w.serve(context.Background(), "/resume/x")
	assert.Equal(t, outcomeText(r.Outcome), "unknown answer_truncated")
	assert.Assert(t, r.Started && !caller.ended)
	assert.Equal(t, len(p.calls), 1)
}

// Guards against callers that wait for the dials of one target after the other before their request
// goes to a daemon that reaches them.
func TestUnreachableTargetsLeadToPeer(t *testing.T) {
	w, p := newForwardingGateway(false)
	w.targets.send = func(context.Context, *Call) (Response, error) { return nil, ErrNotSent }
	r, _ := w.serve(context.Background(), "/once/x")
	assert.Equal(t, outcomeText(r.Outcome), "answered")
	assert.Equal(t, len(w.targets.calls), maxUnreachable)
	assert.Equal(t, len(p.calls), 1)
}

// Guards against prefills that are made again by one daemon after the other while engines crash under
// their decodes (tainted, seed 1029697948215: 379 arrivals beyond the first, 206 were allowed).
func TestPrefillsAreNotRepeatedByPeers(t *testing.T) {
	for name, serve := range map[string]func(*testGateway) Result{
		"of a caller": func(w *testGateway) Result {
			r, _ := w.serve(context.Background(), "/chat/x")
			return r
		},
		"forwarded": func(w *testGateway) Result { return w.serveForwarded("/chat/x", Forwarded{}) },
	} {
		w, p := newForwardingGateway(false)
		w.targets.send = func(context.Context, *Call) (Response, error) { return nil, ErrNotSent }
		assert.Equal(t, outcomeText(serve(w).Outcome), "not_run no_target", name)
		assert.Equal(t, w.targets.stages(), "pdd", name)
		assert.Equal(t, len(p.calls), 0, name)
		w, p = newForwardingGateway(false)
		w.g.SetRetryLimits(admission.RetryLimits{})
		w.targets.send = func(context.Context, *Call) (Response, error) {
			p.lost = true
			return nil, ErrNotSent
		}
		serve(w)
		assert.Equal(t, len(p.calls), 0, "%s: the budget has no second prefill", name)
	}
}

// serveForwarded serves a request of another daemon.
func (w *testGateway) serveForwarded(path string, f Forwarded) Result {
	if f.Service == "" {
		f.Service = w.g.Table().Lookup("h", path).PickService(0)
	}
	res, _ := w.serveRequest(Request{ID: "r", Path: path, Forwarded: &f})
	return res
}

// Guards against a stream that another daemon has begun and that ends as overload because of its age,
// and against one that ends as complete where its target has crashed before the next event.
func TestCarrierContinuesStream(t *testing.T) {
	for name, c := range map[string]struct {
		response fakeResponse
		want     string
	}{
		"event":          {fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}}, "answered"},
		"marked end":     {fakeResponse{status: 200}, "answered"},
		"not marked end": {fakeResponse{status: 200, unmarked: true}, "unknown answer_truncated"},
	} {
		w, _ := newForwardingGateway(false)
		w.targets.send = func(context.Context, *Call) (Response, error) {
			r := c.response
			return &r, nil
		}
		r := &Request{
			ID: "r", Host: "h", Path: "/resume/x", Arrived: time.Now().Add(-3 * time.Second), ResumeAfter: "1",
			Prompt:    &placement.Prompt{Tokens: 1000, MaxOutputTokens: 20},
			Forwarded: &Forwarded{Service: "llm", Begun: true, Runs: 1, Attempts: 1},
		}
		assert.Equal(t, outcomeText(w.g.Serve(context.Background(), r, &fakeCaller{}).Outcome), c.want, name)
		assert.Equal(t, w.targets.stages(), "w", name)
	}
}

// Guards against a request that passes from daemon to daemon, against one that is served by an older
// configuration than that of its arrival or by another service, and against one that ends at a daemon
// whose dials fail as well.
func TestForwardedOnce(t *testing.T) {
	w, p := newForwardingGateway(true)
	assert.Equal(t, outcomeText(w.serveForwarded("/once/x", Forwarded{}).Outcome), "not_run peer_targets_lost")
	p.lost = false
	assert.Equal(t, outcomeText(w.serveForwarded("/once/x", Forwarded{ConfigVersion: 2}).Outcome), "not_run peer_configuration")
	assert.Equal(t, outcomeText(w.serveForwarded("/once/x", Forwarded{Service: "llm"}).Outcome), "not_run peer_configuration")
	w.targets.send = func(context.Context, *Call) (Response, error) { return nil, ErrNotSent }
	assert.Equal(t, outcomeText(w.serveForwarded("/once/x", Forwarded{}).Outcome), "not_run peer_targets_lost")
	assert.Equal(t, len(w.targets.calls), maxUnreachable)
	assert.Equal(t, len(p.calls), 0)
}

// Guards against a forwarded request that waits for the dials of a daemon that loses its links as well,
// instead of going to the next one, and against a proof that it has not run when it may have.
func TestForwardedRequestEndsWithTheLinks(t *testing.T) {
	for err, want := range map[error]string{ErrNotSent: "not_run peer_targets_lost", ErrStalled: "answered"} {
		for _, path := range []string{"/read/x", "/resume/x"} {
			w, p := newForwardingGateway(false)
			ok := w.targets.send
			w.targets.send = func(ctx context.Context, c *Call) (Response, error) {
				if p.lost {
					return ok(ctx, c)
				}
				p.lost = true
				return nil, err
			}
			assert.Equal(t, outcomeText(w.serveForwarded(path, Forwarded{Begun: path == "/resume/x"}).Outcome), want, path)
		}
	}
}

// Guards against a forwarded request that runs without the workspace and the priority of its caller,
// at another software version than its stream, or more often than its route allows; and against one
// that counts twice in the retry budget or in the demand.
func TestStateOfForwardedRequest(t *testing.T) {
	w, _ := newForwardingGateway(false)
	w.setVersions(map[types.TargetID]types.SoftwareVersion{"p1": "v1", "p2": "v2", "d1": "v1", "d2": "v2"})
	w.g.SetRetryLimits(admission.RetryLimits{Ratio: 1, MaxSaved: 100})
	w.targets.send = func(context.Context, *Call) (Response, error) { return nil, ErrStalled }
	f := Forwarded{Caller: Caller{Workspace: "a"}, Priority: 2, Bound: true, Version: "v2", Attempts: 1, Runs: 1, Offered: true}
	balance := w.g.budgets.get("llm")
	for balance.Spend() {
	}
	assert.Equal(t, outcomeText(w.serveForwarded("/resume/x", f).Outcome), "unknown target_silent")
	assert.Assert(t, !balance.Spend(), "the request was earned at the daemon that received it")
	assert.Equal(t, w.targets.stages(), "pd")
	for _, c := range w.targets.calls {
		assert.Equal(t, c.Caller.Workspace, "a")
		assert.Equal(t, c.Priority, 2)
		assert.Equal(t, c.Target.Version, types.SoftwareVersion("v2"))
	}
	assert.Equal(t, w.g.settings.Demand.Totals()["llm"], demand.Work{})
	w, _ = newForwardingGateway(false)
	w.targets.send = func(context.Context, *Call) (Response, error) { return nil, ErrStalled }
	assert.Equal(t, outcomeText(w.serveForwarded("/read/x", Forwarded{Attempts: 1, Runs: 1}).Outcome), "unknown target_silent")
	assert.Equal(t, len(w.targets.calls), 1, "the route allows two runs, and one was made before")
}
