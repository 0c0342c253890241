package node

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/platform/standin"
)

func (w *testEnv) sendUntilReached(target *standin.Target, path, body string) {
	w.t.Helper()
	for i := range 50 {
		w.send(fmt.Sprintf("%s-%s-%d", target.ID, path[1:5], i), path, body)
		if target.Requests() > 0 {
			return
		}
	}
	w.t.Fatalf("no request reached %s", target.ID)
}

// Guards against requests to a target that has declared in a response that it is leaving, while its
// registration still says that it is ready, and against a target that stays out of use after it has
// restarted under its ID.
func TestTargetThatDeclaresLeavingGetsNoWork(t *testing.T) {
	for name, b := range map[string]standin.Behaviour{
		"success": {Leaving: true}, "refusal": {Leaving: true, Refuse: true}, "failure": {Leaving: true, Fail: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEnvWithNode(t, 0)
			w.configure()
			w.awaitReady()
			w.plain[0].SetBehaviour(b)
			w.sendUntilReached(w.plain[0], "/read/x", "")
			before := w.plain[0].Requests()
			for i := range 20 {
				assert.Equal(t, w.send(fmt.Sprintf("l%d", i), "/read/x", "").status, http.StatusOK)
			}
			assert.Equal(t, w.plain[0].Requests(), before)
			w.plain[0].SetBehaviour(standin.Behaviour{})
			assert.NilError(t, w.plain[0].Restart())
			w.plain[1].SetBehaviour(standin.Behaviour{Leaving: true})
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				w.send("again", "/read/x", "")
				if w.plain[0].Requests() > before {
					return poll.Success()
				}
				return poll.Continue("the restarted target is not used")
			}, poll.WithDelay(5*time.Millisecond))
		})
	}
}

// Guards against prefills, KV transfers and orders to an engine that has declared in the response to
// a prefill or at the head of a stream that it is leaving.
func TestEngineThatDeclaresLeavingGetsNoWork(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.prefill.SetBehaviour(standin.Behaviour{Leaving: true})
	assert.Equal(t, w.send("s1", "/chat/x", "prompt").status, http.StatusOK)
	before := w.prefill.Requests()
	assert.Equal(t, w.send("s2", "/chat/x", "prompt").status, http.StatusOK)
	assert.Equal(t, w.prefill.Requests(), before)
	w.decode.SetBehaviour(standin.Behaviour{Leaving: true})
	assert.Equal(t, w.send("s3", "/chat/x", "prompt").status, http.StatusOK)
	before = w.decode.Requests()
	assert.Equal(t, w.send("s4", "/chat/x", "prompt").status, http.StatusServiceUnavailable)
	assert.Equal(t, w.decode.Requests(), before)
}

// Guards against a declaration that is lost when a node restarts although other nodes know of it, and
// against one that only the node knows that has received it.
func TestDeclarationOutlivesRestartOfNode(t *testing.T) {
	w := newEnv(t)
	w.startNode(0)
	w.configure()
	w.awaitReady()
	first := w.node
	w.plain[0].SetBehaviour(standin.Behaviour{Leaving: true})
	w.sendUntilReached(w.plain[0], "/read/x", "")
	w.vm = "vm2"
	w.startNode(0)
	w.awaitReady()
	assert.Assert(t, w.node != first)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.node.directory.Load().Target("i-a").Leaving() {
			return poll.Success()
		}
		return poll.Continue("the second node does not know that the target is leaving")
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against requests to a target during the pause that it has requested, and against requests
// that wait for the end of a pause of all targets instead of being refused with the time until then.
func TestRequestedPause(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.plain[0].SetBehaviour(standin.Behaviour{Refuse: true, RetryAfter: "40.5"})
	w.sendUntilReached(w.plain[0], "/read/x", "")
	before := w.plain[0].Requests()
	for i := range 20 {
		assert.Equal(t, w.send(fmt.Sprintf("p%d", i), "/read/x", "").status, http.StatusOK)
	}
	assert.Equal(t, w.plain[0].Requests(), before)
	w.plain[1].SetBehaviour(standin.Behaviour{Refuse: true, RetryAfter: "3000"})
	w.send("q1", "/read/x", "")
	requests := w.plain[0].Requests() + w.plain[1].Requests()
	r := w.send("q2", "/read/x", "")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get("X-Refusal-Reason"), "targets_paused")
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after <= 40.5, "%v s", after)
	assert.Equal(t, w.plain[0].Requests()+w.plain[1].Requests(), requests)
}

// Guards against a pause of invalid length that takes a target out of use.
func TestInvalidPauseIsIgnored(t *testing.T) {
	for _, v := range []string{"-1", "NaN", "Inf", "1e300", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		w := newEnvWithNode(t, 0)
		w.configure()
		w.awaitReady()
		w.plain[0].SetBehaviour(standin.Behaviour{Refuse: true, RetryAfter: v})
		w.sendUntilReached(w.plain[0], "/read/x", "")
		assert.Equal(t, w.node.directory.Load().Target("i-a").Load.RequestedPause(time.Now()), time.Duration(0), v)
	}
}

// Guards against a pause that a success, the end of a suspension or a shorter pause ends early, and
// against a declaration that is lost when a registration lapses and returns.
func TestPauseAndDeclarationLast(t *testing.T) {
	now := time.Now()
	d := directory.New()
	e := directory.Entry{ID: "a", Service: "s", Address: "10.0.0.1:80", StartedAt: 7}
	d.Put(e)
	target := d.Load().Target("a")
	target.Load.RequestPause(now.Add(time.Minute))
	target.Load.RequestPause(now.Add(time.Second))
	target.Load.RecordActivity(now)
	target.Load.RecordFailure(now)
	target.Load.EndSuspension()
	assert.Assert(t, !target.Usable(now.Add(59*time.Second)))
	assert.Assert(t, target.Usable(now.Add(time.Minute)))
	assert.Assert(t, d.DeclareLeaving(target.Lifetime()))
	assert.Assert(t, !d.DeclareLeaving(target.Lifetime()))
	d.Remove("a", now, 0)
	d.Put(e)
	assert.Assert(t, d.Load().Target("a").Leaving())
	e.StartedAt++
	d.Put(e)
	assert.Assert(t, !d.Load().Target("a").Leaving())
}

// Guards against nodes that send more requests to a target than it takes from all of them by the
// limit in its responses (users' day capped, twice the limit), and against a limit that outlives its
// declaration.
func TestNodesShareTheLimitOfATarget(t *testing.T) {
	w := newEnv(t)
	w.startNode(0)
	w.configure()
	w.awaitReady()
	first := w.url
	w.vm = "vm2"
	w.startNode(0)
	w.awaitReady()
	const perSecond = 0.5
	for _, p := range w.plain {
		p.SetBehaviour(standin.Behaviour{Limit: fmt.Sprint(perSecond)})
	}
	began, urls := time.Now(), []string{first, w.url}
	for i := range 60 {
		w.url = urls[i%2]
		w.send(fmt.Sprintf("l%d", i), "/read/x", "")
	}
	for _, p := range w.plain {
		// Each node learns of the limit by a response, and a request may be on its way then.
		allowed := 4 + 1 + perSecond*time.Since(began).Seconds()
		assert.Assert(t, float64(p.Requests()) <= allowed, "%d requests, %v allowed", p.Requests(), allowed)
		p.SetBehaviour(standin.Behaviour{})
	}
	assert.Equal(t, w.send("over", "/read/x", "").header.Get("X-Refusal-Reason"), "targets_rate_limited")
	// The next request that the limit allows shows that it has ended.
	w.waitFor("the limit has not ended", func() bool { return w.send("after", "/read/x", "").status == http.StatusOK })
	for i := range 20 {
		assert.Equal(t, w.send(fmt.Sprintf("e%d", i), "/read/x", "").status, http.StatusOK)
	}
}
