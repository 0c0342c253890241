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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/platform/standin"
	"github.com/lentilpick/lentilpick/types"
)

// testEnv is a node, or several, and the stand-ins of the store and of the targets.
type testEnv struct {
	t       *testing.T
	store   *standin.Store
	node    *Node
	url     string
	ready   string
	prefill *standin.Target
	decode  *standin.Target
	plain   [2]*standin.Target
	version int
	seeds   []string   // of the next node
	parts   string     // of the prompts of the next requests, instead of the default
	vm      types.VMID // of the next node
	// gracePeriod is the time from SIGTERM to SIGKILL of the next node.
	gracePeriod time.Duration
	stop        func()
	// beginStop requests the stop of the node without waiting for its end.
	beginStop func()
	// runError is the first error that Run of a node returned.
	runError atomic.Pointer[error]
}

const (
	// firstPort to firstPort+portCount-1 are the ports that freePort returns.
	firstPort = 20_000
	portCount = 12_000
	// portsPerProcess is the distance between the first ports of two processes with consecutive
	// ids. It exceeds the number of ports that one run of the tests uses.
	portsPerProcess = 211
)

// portsTried is the number of ports that freePort has tried in this process.
var portsTried atomic.Int64

// freePort returns a loopback port that is free for TCP and UDP. It lies below the ephemeral range
// (32768 to 60999 on Linux by default), so that no outgoing connection or listener on port 0 takes
// it before the node listens on it. The first port depends on the process id, so that test processes
// that run side by side use different ports.
func freePort(t *testing.T) int {
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+int(portsTried.Add(1)))%portCount
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		assert.NilError(t, l.Close())
		if err == nil {
			assert.NilError(t, u.Close())
			return port
		}
	}
	t.Fatalf("no port from %d to %d is free for TCP and UDP", firstPort, firstPort+portCount-1)
	return 0
}

// newEnvWithNode starts the stand-ins and a node. With a prefillShare of 0 the node plans no roles.
func newEnvWithNode(t *testing.T, prefillShare int) *testEnv {
	w := newEnv(t)
	w.startNode(prefillShare)
	return w
}

// newEnv starts the stand-ins only.
func newEnv(t *testing.T) *testEnv {
	w := &testEnv{t: t, vm: "vm1", gracePeriod: 8 * time.Second}
	var err error
	w.store, err = standin.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(w.store.Close)
	target := func(id, service, phase string) *standin.Target {
		k, err := standin.NewTarget(w.store, id, service, "dc1", phase, "127.0.0.1:0")
		assert.NilError(t, err)
		k.ShareKVCache()
		t.Cleanup(k.Close)
		return k
	}
	w.prefill, w.decode = target("i-p", "llm", "prefill"), target("i-d", "llm", "decode")
	w.plain[0], w.plain[1] = target("i-a", "desk", ""), target("i-b", "desk", "")
	return w
}

// startNode starts a node and makes it a seed of the nodes that are started later.
func (w *testEnv) startNode(prefillShare int) {
	port := func() string { return "127.0.0.1:" + strconv.Itoa(freePort(w.t)) }
	s := DefaultSettings()
	s.PlanRoles, s.PrefillShare = prefillShare > 0, prefillShare
	s.RegistrationInterval, s.ConfigurationWait = 50*time.Millisecond, 200*time.Millisecond
	m := &platform.Settings{
		VM: w.vm, DataCentre: "dc1", IP: netip.MustParseAddr("127.0.0.1"), CallerAddress: port(), ReadyAddress: port(),
		InternalPort: freePort(w.t), MetricsPort: freePort(w.t), StoreAddress: w.store.Address(), MemoryBytes: 1 << 30,
		StopGracePeriod: w.gracePeriod, MaxDrainDelay: 2 * time.Second, MaxConfigDelay: 2 * time.Second, MinHolderGap: 3 * time.Second,
		RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second,
		ControlAddress: port(), SeedAddresses: w.seeds,
	}
	w.seeds = append(w.seeds, m.ControlAddress)
	n, err := New(s, m, daemon.NewLogger(io.Discard, "error", "node"))
	assert.NilError(w.t, err)
	w.node, w.url, w.ready = n, "http://"+m.CallerAddress, "http://"+m.ReadyAddress+"/readyz"
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := n.Run(ctx, make(chan os.Signal))
		if err != nil {
			w.runError.CompareAndSwap(nil, &err)
		}
		ended <- err
	}()
	w.beginStop = cancel
	w.stop = func() {
		cancel()
		assert.NilError(w.t, <-ended)
	}
	w.t.Cleanup(func() {
		if err := w.runError.Load(); err != nil {
			w.t.Errorf("a node ended before the test: %s", *err)
		}
		cancel()
	})
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if err := w.runError.Load(); err != nil {
			return poll.Error(*err)
		}
		// Run opens the listener for other nodes last.
		for _, address := range []string{m.CallerAddress, m.ControlAddress} {
			c, err := net.Dial("tcp4", address)
			if err != nil {
				return poll.Continue("the node does not accept connections: %s", err)
			}
			_ = c.Close()
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// configure writes the next version of the configuration to the store.
func (w *testEnv) configure() {
	w.version++
	w.store.Configure(w.version)
}

// membersListed reports whether the node has loaded the member list, on which its retry limits
// depend.
func (w *testEnv) membersListed() bool {
	m := w.node.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byKey != nil
}

// awaitReady waits until the node is ready with the newest configuration and all four targets. It
// fails the test as soon as Run of a node returns an error.
func (w *testEnv) awaitReady() {
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if err := w.runError.Load(); err != nil {
			return poll.Error(*err)
		}
		t := w.node.gateway.Table()
		if w.node.ready() && w.membersListed() && t != nil && t.Version == uint64(w.version) && w.node.directory.Load().Len() == 4 {
			return poll.Success()
		}
		return poll.Continue("the node is not ready")
	}, poll.WithDelay(5*time.Millisecond))
}

type response struct {
	status int
	body   string
	header http.Header
	err    error
}

func (w *testEnv) request(ctx context.Context, id, path, body string) response {
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
	if prompted && w.parts != "" {
		req.Header.Set("X-Prompt-Prefix", w.parts)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(b), resp.Header, err}
}

func (w *testEnv) send(id, path, body string) response {
	return w.request(context.Background(), id, path, body)
}

func eventStream(id string, from int) string {
	var b strings.Builder
	for i := from; i <= standin.Events; i++ {
		b.WriteString(standin.Event(id, i))
	}
	return b.String()
}

// runsOf returns the number of times that a request ran on any target.
func (w *testEnv) runsOf(id string) int {
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

// Guards against a node that routes requests or reports ready before it has a configuration, or that
// does not become ready once it has one.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	w := newEnvWithNode(t, 0)
	r := w.send("r1", "/read/x", "")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	resp, err := http.Get(w.ready)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	w.configure()
	w.awaitReady()
	r = w.send("r2", "/read/x", "")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, standin.PlainResponse("r2"))
	assert.Equal(t, w.send("r3", "/nowhere/x", "").status, http.StatusNotFound)
}

// Guards against a node that was started during an outage of the store and does not serve requests
// after it, and against one that stops serving when an outage begins.
func TestServesDuringStoreOutage(t *testing.T) {
	w := newEnv(t)
	w.store.Down.Store(true)
	w.configure()
	w.startNode(0)
	assert.Equal(t, w.send("r1", "/read/x", "").status, http.StatusServiceUnavailable)
	w.store.Down.Store(false)
	w.awaitReady()
	w.store.Down.Store(true)
	assert.Equal(t, w.send("r2", "/read/x", "").status, http.StatusOK)
}

// Guards against a node that starts during an outage of the store and refuses all requests although
// other nodes have the configuration and the targets (kereru-tpl inc-0d4f, seconds 24 to 28: 46
// requests refused).
func TestStartsFromAnotherNode(t *testing.T) {
	w := newEnv(t)
	w.startNode(0)
	w.configure()
	w.awaitReady()
	w.store.Down.Store(true)
	w.seeds = append([]string{"127.0.0.1:1"}, w.seeds...) // a seed that does not respond
	w.startNode(0)
	w.awaitReady()
	r := w.send("r1", "/read/x", "")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, standin.PlainResponse("r1"))
	w.store.Down.Store(false)
	w.configure()
	w.awaitReady()
}

// Guards against a stream that is modified in transit, a prompt that reaches the wrong engine, and
// headers that a caller forges although only the node may set them.
func TestStreamIsSplit(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	r := w.send("s1", "/chat/x?q=1", strings.Repeat("p", 17_000))
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, eventStream("s1", 1))
	assert.Equal(t, r.header.Get("X-Server-Stamp"), "stamp-i-d")
	runs := w.decode.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Path, "/chat/x?q=1")
	assert.Equal(t, len(runs[0].Body), 17_000)
}

// Guards against a resumable stream that ends when an engine disconnects, repeats events or skips
// some.
func TestStreamResumes(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	second, err := standin.NewTarget(w.store, "i-d2", "llm", "dc1", "decode", "127.0.0.1:0")
	assert.NilError(t, err)
	second.ShareKVCache()
	t.Cleanup(second.Close)
	w.decode.SetBehaviour(standin.Behaviour{TruncateAfter: 2})
	second.SetBehaviour(standin.Behaviour{TruncateAfter: 2})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.node.directory.Load().Len() == 5 {
			return poll.Success()
		}
		return poll.Continue("the second decode engine is not registered")
	}, poll.WithDelay(5*time.Millisecond))
	r := w.send("s1", "/resume/x", "prompt")
	assert.Assert(t, r.err != nil, "both engines disconnected: the response must not look complete")
	assert.Equal(t, r.body, eventStream("s1", 1)[:len(r.body)])
	second.SetBehaviour(standin.Behaviour{})
	w.decode.SetBehaviour(standin.Behaviour{})
	r = w.send("s2", "/resume/x", "prompt")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, eventStream("s2", 1))
}

// Guards against a non-idempotent stream that is retried after a disconnect or looks complete.
func TestStreamIsNotRepeated(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.decode.SetBehaviour(standin.Behaviour{TruncateAfter: 2})
	r := w.send("s1", "/chat/x", "prompt")
	assert.Assert(t, r.err != nil)
	assert.Equal(t, w.runsOf("s1"), 1)
}

// Guards against a request whose KV handle was lost and that counts as run although no decode engine
// has run it.
func TestLostHandleIsRefusedAsNotRun(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.prefill.SetBehaviour(standin.Behaviour{LoseHandles: true})
	r := w.send("s1", "/chat/x", "prompt")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, w.runsOf("s1"), 0)
}

// Guards against a non-idempotent request that runs twice, and against a refusal that reports "not
// run" after it has run.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	for _, p := range w.plain {
		p.SetBehaviour(standin.Behaviour{Unresponsive: true})
	}
	r := w.send("b1", "/once/x", "deposit")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Equal(t, w.runsOf("b1"), 1)
	for _, p := range w.plain {
		p.SetBehaviour(standin.Behaviour{Refuse: true})
	}
	r = w.send("b2", "/once/x", "deposit")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, w.runsOf("b2"), 0)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// Guards against an idempotent request that is not retried on another target, or is retried more
// often than the route allows.
func TestIdempotentIsRepeated(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.plain[0].SetBehaviour(standin.Behaviour{Fail: true})
	for i := range 4 {
		id := fmt.Sprintf("a%d", i)
		r := w.send(id, "/read/x", "")
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.body, standin.PlainResponse(id))
	}
	w.plain[1].SetBehaviour(standin.Behaviour{Fail: true})
	r := w.send("a9", "/read/x", "")
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, w.runsOf("a9"), 2)
}

// Guards against requests to a target that has announced that it is leaving.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.plain[0].SetDraining(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.node.directory.Load().Target("i-a").Leaving() {
			return poll.Success()
		}
		return poll.Continue("the node does not list the target as leaving")
	}, poll.WithDelay(5*time.Millisecond))
	for i := range 6 {
		assert.Equal(t, w.send(fmt.Sprintf("l%d", i), "/read/x", "").status, http.StatusOK)
	}
	assert.Equal(t, len(w.plain[0].Runs()), 0)
}

// Guards against an engine that continues a request after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.decode.SetBehaviour(standin.Behaviour{Work: 30 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	r := w.request(ctx, "g1", "/chat/x", "prompt")
	assert.Assert(t, r.err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runs := w.decode.Runs()
		if len(runs) == 0 || len(runs) == 1 && runs[0].Disconnected {
			return poll.Success()
		}
		return poll.Continue("the engine still runs the request")
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against a graceful stop that aborts a request in progress, and against a node that reports
// ready while it stops.
func TestGracefulStop(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.decode.SetBehaviour(standin.Behaviour{Work: 100 * time.Millisecond})
	responses := make(chan response, 1)
	go func() { responses <- w.send("t1", "/chat/x", "prompt") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(w.decode.Runs()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not reached the engine")
	}, poll.WithDelay(time.Millisecond))
	w.stop()
	r := <-responses
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, eventStream("t1", 1))
	assert.Assert(t, !w.node.ready())
}

// Guards against a planned role share that is not reached, orders without a fencing number, and
// orders that are repeated after they were carried out.
func TestRolesAreOrdered(t *testing.T) {
	w := newEnvWithNode(t, 500)
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

// Guards against a node that orders changes of roles while it stops, from a plan that no other node
// has.
func TestNoOrdersDuringGracefulStop(t *testing.T) {
	w := newEnvWithNode(t, 500)
	third, err := standin.NewTarget(w.store, "i-d2", "llm", "dc1", "decode", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(third.Close)
	fourth, err := standin.NewTarget(w.store, "i-d3", "llm", "dc1", "decode", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(fourth.Close)
	w.configure()
	w.waitFor("the node to be ready", func() bool { return w.node.ready() && w.membersListed() && w.node.directory.Load().Len() == 6 })
	w.stop()
	for _, e := range []*standin.Target{w.prefill, w.decode, third, fourth} {
		assert.Equal(t, len(e.Orders()), 0, e.ID)
	}
	assert.Equal(t, len(w.store.Records(leaseTopic)), 0)
}
