package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/platform/standin"
)

// world is a node with the stand-ins around it.
type world struct {
	t       *testing.T
	store   *standin.Store
	node    *Node
	url     string
	ready   string
	prefill *standin.Target
	decode  *standin.Target
	plain   [2]*standin.Target
	version int
	seeds   []string
	stop    func()
}

// freePort returns a port that is free for TCP and for datagrams.
func freePort(t *testing.T) int {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		assert.NilError(t, l.Close())
		if err == nil {
			assert.NilError(t, u.Close())
			return port
		}
	}
}

// newWorld starts the stand-ins and a node. The node's planner is off unless a
// share is given.
func newWorld(t *testing.T, share int) *world {
	w := newPlatform(t)
	w.startNode(share)
	return w
}

// newPlatform starts the stand-ins alone.
func newPlatform(t *testing.T) *world {
	w := &world{t: t}
	var err error
	w.store, err = standin.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(w.store.Close)
	target := func(id, service, phase string) *standin.Target {
		k, err := standin.NewTarget(w.store, id, service, "dc1", phase, "127.0.0.1:0")
		assert.NilError(t, err)
		k.Join()
		t.Cleanup(k.Close)
		return k
	}
	w.prefill, w.decode = target("i-p", "llm", "prefill"), target("i-d", "llm", "decode")
	w.plain[0], w.plain[1] = target("i-a", "desk", ""), target("i-b", "desk", "")
	return w
}

// startNode starts a node. Those that were started before are its seeds.
func (w *world) startNode(share int) {
	port := func() string { return "127.0.0.1:" + strconv.Itoa(freePort(w.t)) }
	s := DefaultSettings()
	s.PrefillShare, s.RegistrationInterval, s.ConfigurationWait = share, 50*time.Millisecond, 200*time.Millisecond
	m := &platform.Settings{
		VM: "vm1", DataCentre: "dc1", IP: netip.MustParseAddr("127.0.0.1"), Callers: port(), Ready: port(),
		InternalPort: freePort(w.t), MetricsPort: freePort(w.t), Store: w.store.Address(), MemoryBytes: 1 << 30,
		StopTime: 8 * time.Second, DrainTime: 2 * time.Second, ConfigTime: 2 * time.Second, LeaseTime: 3 * time.Second,
		RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second,
		Control: port(), Seeds: w.seeds,
	}
	w.seeds = append(w.seeds, m.Control)
	n, err := New(s, m, daemon.NewLogger(io.Discard, "error", "node"))
	assert.NilError(w.t, err)
	w.node, w.url, w.ready = n, "http://"+m.Callers, "http://"+m.Ready+"/readyz"
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, make(chan os.Signal)) }()
	w.stop = func() {
		cancel()
		assert.NilError(w.t, <-ended)
	}
	w.t.Cleanup(cancel)
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp4", m.Callers)
		if err != nil {
			return poll.Continue("the node does not listen: %s", err)
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	w.store.Configure(w.version)
}

// membersListed reports whether the node knows how many nodes share the budget of
// retries.
func (w *world) membersListed() bool {
	m := w.node.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all != nil
}

// await waits until the node is ready with the newest configuration.
func (w *world) await() {
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		t := w.node.gateway.Table()
		if w.node.ready() && w.membersListed() && t != nil && t.Version == uint64(w.version) && w.node.directory.Load().Len() == 4 {
			return poll.Success()
		}
		return poll.Continue("the node is not ready")
	}, poll.WithDelay(5*time.Millisecond))
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

func (w *world) request(ctx context.Context, id, path, body string) reply {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, w.url+path, strings.NewReader(body))
	assert.NilError(w.t, err)
	req.Host = standin.Host
	req.Header.Set("X-Kv-Source", "1.2.3.4:5/forged")
	prompted := strings.HasPrefix(path, "/chat") || strings.HasPrefix(path, "/resume")
	for k, v := range standin.Headers(id, prompted) {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(b), resp.Header, err}
}

func (w *world) get(id, path, body string) reply {
	return w.request(context.Background(), id, path, body)
}

func events(id string, from int) string {
	var b strings.Builder
	for i := from; i <= standin.Events; i++ {
		b.WriteString(standin.Event(id, i))
	}
	return b.String()
}

// runsOf counts the runs of a request on all targets.
func (w *world) runsOf(id string) int {
	n := 0
	for _, t := range []*standin.Target{w.prefill, w.decode, w.plain[0], w.plain[1]} {
		for _, r := range t.Runs() {
			if r.Request == id {
				n++
			}
		}
	}
	return n
}

// Guards against a node that answers for routes that it does not know yet, says
// that it is ready before it knows a configuration, or stays so without one.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	w := newWorld(t, 0)
	r := w.get("r1", "/read/x", "")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	resp, err := http.Get(w.ready)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	w.configure()
	w.await()
	r = w.get("r2", "/read/x", "")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, standin.PlainAnswer("r2"))
	assert.Equal(t, w.get("r3", "/nowhere/x", "").status, http.StatusNotFound)
}

// Guards against a node that does not serve after it has started while the
// store was down, and against one that stops serving when the store goes away.
func TestStoreDown(t *testing.T) {
	w := newPlatform(t)
	w.store.Down.Store(true)
	w.configure()
	w.startNode(0)
	assert.Equal(t, w.get("r1", "/read/x", "").status, http.StatusServiceUnavailable)
	w.store.Down.Store(false)
	w.await()
	w.store.Down.Store(true)
	assert.Equal(t, w.get("r2", "/read/x", "").status, http.StatusOK)
}

// Guards against a node that starts while the store is away and refuses all
// requests, although other nodes know the configuration and the targets
// (kereru-tpl inc-0d4f, seconds 24 to 28: 46 requests refused).
func TestStartsFromAnotherNode(t *testing.T) {
	w := newPlatform(t)
	w.startNode(0)
	w.configure()
	w.await()
	w.store.Down.Store(true)
	w.seeds = append([]string{"127.0.0.1:1"}, w.seeds...) // a seed that is gone
	w.startNode(0)
	w.await()
	r := w.get("r1", "/read/x", "")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, standin.PlainAnswer("r1"))
	w.store.Down.Store(false)
	w.configure()
	w.await()
}

// Guards against a stream that is changed on its way, a prompt that is read by
// the wrong engine, and headers of a caller that only the node may set.
func TestStreamIsSplit(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	r := w.get("s1", "/chat/x?q=1", strings.Repeat("p", 17_000))
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, events("s1", 1))
	assert.Equal(t, r.header.Get("X-Server-Stamp"), "stamp-i-d")
	runs := w.decode.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Path, "/chat/x?q=1")
	assert.Equal(t, len(runs[0].Body), 17_000)
}

// Guards against a resumable stream that ends at a crash, repeats events, or
// misses some.
func TestStreamResumes(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	second, err := standin.NewTarget(w.store, "i-d2", "llm", "dc1", "decode", "127.0.0.1:0")
	assert.NilError(t, err)
	second.Join()
	t.Cleanup(second.Close)
	w.decode.Behave(standin.Behaviour{CutAfter: 2})
	second.Behave(standin.Behaviour{CutAfter: 2})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.node.directory.Load().Len() == 5 {
			return poll.Success()
		}
		return poll.Continue("the second engine is not known")
	}, poll.WithDelay(5*time.Millisecond))
	r := w.get("s1", "/resume/x", "prompt")
	assert.Assert(t, r.err != nil, "both engines cut: the answer must not look complete")
	assert.Equal(t, r.body, events("s1", 1)[:len(r.body)])
	second.Behave(standin.Behaviour{})
	w.decode.Behave(standin.Behaviour{})
	r = w.get("s2", "/resume/x", "prompt")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, events("s2", 1))
}

// Guards against a stream that may run once and is sent again after a cut, and
// against one that looks complete.
func TestStreamIsNotRepeated(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	w.decode.Behave(standin.Behaviour{CutAfter: 2})
	r := w.get("s1", "/chat/x", "prompt")
	assert.Assert(t, r.err != nil)
	assert.Equal(t, w.runsOf("s1"), 1)
}

// Guards against a lost KV cache that ends a request although nothing has run.
func TestLostHandleIsReadAgain(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	w.prefill.Behave(standin.Behaviour{LoseHandles: true})
	r := w.get("s1", "/chat/x", "prompt")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, w.runsOf("s1"), 0)
}

// Guards against a request that may run once and runs twice, and against a
// refusal that says "not run" after a run.
func TestOnceIsNotRepeated(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	for _, p := range w.plain {
		p.Behave(standin.Behaviour{Unresponsive: true})
	}
	r := w.get("b1", "/once/x", "deposit")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Equal(t, w.runsOf("b1"), 1)
	for _, p := range w.plain {
		p.Behave(standin.Behaviour{Refuse: true})
	}
	r = w.get("b2", "/once/x", "deposit")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, w.runsOf("b2"), 0)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// Guards against an idempotent request that is not tried elsewhere, and against
// one that is tried more often than the route allows.
func TestIdempotentIsRepeated(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	w.plain[0].Behave(standin.Behaviour{Fail: true})
	for i := range 4 {
		id := fmt.Sprintf("a%d", i)
		r := w.get(id, "/read/x", "")
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.body, standin.PlainAnswer(id))
	}
	w.plain[1].Behave(standin.Behaviour{Fail: true})
	r := w.get("a9", "/read/x", "")
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, w.runsOf("a9"), 2)
}

// Guards against work for a target that has said that it is leaving or whose
// registration is gone.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	w.plain[0].SetDraining(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.node.directory.Load().Target("i-a").Leaving() {
			return poll.Success()
		}
		return poll.Continue("the notice has not arrived")
	}, poll.WithDelay(5*time.Millisecond))
	for i := range 6 {
		assert.Equal(t, w.get(fmt.Sprintf("l%d", i), "/read/x", "").status, http.StatusOK)
	}
	assert.Equal(t, len(w.plain[0].Runs()), 0)
}

// Guards against an engine that works on for a caller that has left.
func TestCallerGone(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	w.decode.Behave(standin.Behaviour{Work: 30 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	r := w.request(ctx, "g1", "/chat/x", "prompt")
	assert.Assert(t, r.err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runs := w.decode.Runs()
		if len(runs) == 0 || len(runs) == 1 && runs[0].Stopped {
			return poll.Success()
		}
		return poll.Continue("the engine works on")
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against a planned stop that cuts a request in progress, and against a
// node that counts as ready while it stops.
func TestGracefulStop(t *testing.T) {
	w := newWorld(t, 0)
	w.configure()
	w.await()
	w.decode.Behave(standin.Behaviour{Work: 100 * time.Millisecond})
	answer := make(chan reply, 1)
	go func() { answer <- w.get("t1", "/chat/x", "prompt") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(w.decode.Runs()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not arrived")
	}, poll.WithDelay(time.Millisecond))
	w.stop()
	r := <-answer
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, events("t1", 1))
	assert.Assert(t, !w.node.ready())
}

// Guards against roles that are not ordered, orders without a fencing number,
// and orders that are repeated although they hold.
func TestRolesAreOrdered(t *testing.T) {
	w := newWorld(t, 500)
	third, err := standin.NewTarget(w.store, "i-d2", "llm", "dc1", "decode", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(third.Close)
	fourth, err := standin.NewTarget(w.store, "i-d3", "llm", "dc1", "decode", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(fourth.Close)
	w.configure()
	engines := []*standin.Target{w.prefill, w.decode, third, fourth}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n := 0
		for _, e := range engines {
			if e.Phase() == "prefill" {
				n++
			}
		}
		if n == 2 {
			return poll.Success()
		}
		return poll.Continue("%d prefill engines", n)
	}, poll.WithDelay(20*time.Millisecond))
	orders := 0
	for _, e := range engines {
		for _, o := range e.Orders() {
			orders++
			assert.Equal(t, o.Holder, "vm1")
			assert.Assert(t, o.Fence > 0)
		}
	}
	assert.Equal(t, orders, 1)
}
