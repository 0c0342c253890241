package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/crashguard"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/platform/standin"
)

const (
	soundParts = "5c1e07a2:800,11:400,e4402b7d:250"
	badParts   = "5c1e07a2:800,bad:400,e4402b7d:250"
)

// waitFor waits until a condition holds.
func (w *testEnv) waitFor(what string, condition func() bool) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond))
}

// crashDecodeEngine sends a request with the bad part, and restarts the engine that crashes.
func (w *testEnv) crashDecodeEngine(id string, b standin.Behaviour) {
	w.t.Helper()
	w.parts = badParts
	r := w.send(id, "/chat/x", "prompt")
	switch {
	case b.CrashAfter == 0:
		assert.Equal(w.t, r.status, http.StatusBadGateway)
	case !b.CrashUnmarked: // an unmarked response looks complete to its caller
		assert.Assert(w.t, r.err != nil)
	}
	engine := w.node.directory.Load().Target("i-d")
	w.waitFor("the crash is not known", func() bool { return w.node.crashes.guard.KnownCrash(engine.Lifetime()) })
	assert.NilError(w.t, w.decode.Restart())
	w.waitFor("the engine that has restarted is not known", func() bool {
		return w.node.directory.Load().Target("i-d").Lifetime() != engine.Lifetime()
	})
}

// Guards against requests with one prompt part that crash one engine after another (users' day
// tainted, 13 engines in 18 s), and against sound requests that are refused with them.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	testCrashingPartIsRefused(t, standin.Behaviour{})
}

// Guards against a part that is never blocked because its engines crash after their first events
// (review/2).
func TestPartThatCrashesEnginesAfterEventsIsRefused(t *testing.T) {
	for _, events := range []int{1, standin.Events - 1} {
		t.Run(fmt.Sprint(events), func(t *testing.T) { testCrashingPartIsRefused(t, standin.Behaviour{CrashAfter: events}) })
	}
}

// Guards against a response without a length or chunks that counts as an answer, and as proof that
// its parts are sound, although its engine has crashed between two events.
func TestPartThatEndsUnmarkedResponsesIsRefused(t *testing.T) {
	testCrashingPartIsRefused(t, standin.Behaviour{CrashAfter: 1, CrashUnmarked: true})
}

// testCrashingPartIsRefused crashes engines in the way of the behaviour.
func testCrashingPartIsRefused(t *testing.T, b standin.Behaviour) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	b.CrashOnPart = "bad"
	w.decode.SetBehaviour(b)
	for i := range 3 {
		w.parts = soundParts
		assert.Equal(t, w.send(fmt.Sprintf("s%d", i), "/chat/x", "prompt").status, http.StatusOK)
		w.crashDecodeEngine(fmt.Sprintf("b%d", i), b)
	}
	w.waitFor("the part is not blocked", func() bool {
		return w.node.crashes.Blocked([]directory.Part{{ID: 0xbad}}) > 0
	})
	requests := w.decode.Requests() + w.prefill.Requests()
	r := w.send("again", "/chat/x", "prompt")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get("X-Refusal-Reason"), "prompt_crashes_targets")
	assert.Assert(t, r.header.Get("Retry-After") != "")
	assert.Equal(t, w.decode.Requests()+w.prefill.Requests(), requests)
	w.parts = soundParts
	assert.Equal(t, w.send("sound", "/chat/x", "prompt").status, http.StatusOK)
}

// newTestDetector returns a detector for targets that are all reachable or not.
func newTestDetector(t *testing.T, reachable func() bool) *crashDetector {
	m, err := daemon.NewMetrics("test")
	assert.NilError(t, err)
	c, err := newCounters(m)
	assert.NilError(t, err)
	d, err := newCrashDetector(daemon.NewLogger(io.Discard, "error", "node"), c, func() {})
	assert.NilError(t, err)
	d.reachable = func(*directory.Target) bool { return reachable() }
	d.linkExplains = func(*directory.Target) bool { return false }
	return d
}

// evaluateChecks waits for all checks and returns the parts that the guard blocks then.
func evaluateChecks(t *testing.T, d *crashDetector) []crashguard.Blocking {
	assert.NilError(t, d.checks.pool.ReleaseTimeout(10*time.Second))
	return d.guard.Evaluate(clock.Now().Add(time.Second)).Blocked
}

// Guards against a broken connection that counts as a crash although the engine goes on.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		d := newTestDetector(t, func() bool { return reachable })
		engine := &directory.Target{Hash: 7}
		d.RecordBroken(engine, []directory.Part{{ID: 0xbad}}, 0)
		assert.NilError(t, d.checks.pool.ReleaseTimeout(10*time.Second))
		assert.Equal(t, d.guard.KnownCrash(engine.Lifetime()), !reachable)
	}
}

// Guards against a bad part that is not among the suspects of a crash, because more requests of the
// engine broke with its own than targets are checked at the same time.
func TestAllSuspectsOfACrashAreRecorded(t *testing.T) {
	broken := make(chan struct{})
	d := newTestDetector(t, func() bool {
		<-broken
		return false
	})
	const engines, soundRequests = 3, 2 * maxReachabilityChecks
	for e := range uint64(engines) {
		engine := &directory.Target{Hash: 1 + e}
		for i := range uint64(soundRequests) {
			d.RecordBroken(engine, []directory.Part{{ID: 1 + e*soundRequests + i}}, 2)
		}
		d.RecordBroken(engine, []directory.Part{{ID: 0xbad}}, 1)
	}
	close(broken)
	blocked := evaluateChecks(t, d)
	assert.Equal(t, len(blocked), 1)
	assert.Equal(t, blocked[0].Part, uint64(0xbad))
}

// Guards against short responses without a mark of their end that prove nothing although their
// engine goes on, so that sound parts are blocked, and against those of a crashed engine that
// count as answers.
func TestUnmarkedEndIsAnAnswerOfAReachableTarget(t *testing.T) {
	parts := []directory.Part{{ID: 0xbad}}
	for _, reachable := range []bool{true, false} {
		d := newTestDetector(t, func() bool { return reachable })
		for i := range uint64(3) {
			d.guard.RecordCrash(directory.Lifetime{Target: i}, parts, clock.Now())
		}
		d.RecordUnmarkedEnd(&directory.Target{Hash: 7}, parts, 1)
		assert.Equal(t, len(evaluateChecks(t, d)) == 0, reachable)
	}
}

// Guards against blocked parts that crash engines again after all nodes have restarted at the
// same time, and against records that remain when a block was lifted.
func TestBlockOutlivesRestartOfAllNodes(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	part := []directory.Part{{ID: 0xbad}}
	for i := range 3 {
		w.node.crashes.guard.RecordCrash(directory.Lifetime{Target: uint64(i)}, part, clock.Now())
	}
	records := platform.Keyed(platform.NewStore(w.store.Address()), blocksTopic, decodeBlock)
	recorded := func() bool {
		l, err := records.List(context.Background())
		assert.NilError(t, err)
		return len(l.Items) == 1 && l.Items[0].Value != nil && l.Items[0].Value.part == 0xbad
	}
	w.waitFor("the block is not recorded", recorded)
	w.stop()
	w.startNode(0)
	w.awaitReady()
	w.waitFor("the block is not restored", func() bool { return w.node.crashes.Blocked(part) > 0 })
	w.node.crashes.RecordAnswer(part)
	w.waitFor("the record is not removed", func() bool { return !recorded() })
}
