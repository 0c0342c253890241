// Package soak runs real nodes as separate processes against stand-ins of the
// platform, injects faults from outside, and checks what callers and targets
// see.
package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// ErrSoak reports a soak that could not run, or that found a broken promise.
var ErrSoak = merry.New("soak failed")

const (
	nodes = 3
	// stopTime is how long a node may take to stop, as it is told.
	stopTime = 8 * time.Second
)

// node is one process of lentilpick-node and how it reaches the store.
type node struct {
	name     string
	callers  string
	ready    string
	settings string
	log      *os.File
	store    *link
	cmd      *exec.Cmd
	done     chan struct{}
	// disturbed is when the last fault that excuses lost answers ended; the zero
	// time means never, and a time far ahead that it goes on.
	disturbed time.Time
	// ending says that a fault has ended the process and will start it again.
	ending bool
}

// world is a deployment on loopback.
type world struct {
	bin, dir string
	store    *standin.Store
	targets  []*standin.Target
	links    []*link // in front of the targets
	nodes    []*node
	version  int
	// harmed is until when targets are disturbed.
	harmed time.Time
}

func newWorld(bin, dir string) (*world, error) {
	w := &world{bin: bin, dir: dir}
	var err error
	if w.store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	roles := []struct{ id, service, phase string }{
		{"i-p1", "llm", "prefill"}, {"i-p2", "llm", "prefill"}, {"i-d1", "llm", "decode"}, {"i-d2", "llm", "decode"},
		{"i-a", "desk", ""}, {"i-b", "desk", ""}, {"i-c", "desk", ""},
	}
	for i, r := range roles {
		t, err := standin.NewTarget(w.store, r.id, r.service, zone(i), r.phase, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		t.SetBehaviour(normal)
		l, err := newLink(t.Address())
		if err != nil {
			return nil, err
		}
		t.SetProxyAddress(l.address())
		w.targets, w.links = append(w.targets, t), append(w.links, l)
	}
	w.configure()
	for i := range nodes {
		if err := w.addNode(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// normal is the behaviour of a sound target.
var normal = standin.Behaviour{Work: 5 * time.Millisecond, TokensPerMs: 50}

func zone(i int) string { return fmt.Sprintf("dc%d", i%2+1) }

func freePort() (int, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// seeds is the number of nodes that all settings name: what the platform names at
// most.
const seeds = 3

func nodeIP(i int) string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1) }

// control returns the address of a node for other nodes.
func control(i int) string { return net.JoinHostPort(nodeIP(i), "7396") }

// addNode writes the settings of a node and starts it. Each node has a loopback
// address of its own, because their internal ports are the same.
func (w *world) addNode(i int) error {
	l, err := newLink(w.store.Address())
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("node-%d", i+1), store: l}
	ip := nodeIP(i)
	var ports [3]int
	for k := range ports {
		if ports[k], err = freePort(); err != nil {
			return err
		}
	}
	n.callers, n.ready = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1]))
	n.settings = filepath.Join(w.dir, n.name+".toml")
	m := standin.NodeSettings{Name: n.name, IP: ip, Zone: zone(i), CallerAddress: n.callers, ReadyAddress: n.ready, StoreAddress: l.address(), ControlAddress: control(i)}
	for seed := range seeds {
		m.SeedAddresses = append(m.SeedAddresses, control(seed))
	}
	if err := m.WriteFile(n.settings); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	return w.start(n)
}

func (w *world) start(n *node) error {
	own := filepath.Join(w.dir, "node.toml")
	if err := os.WriteFile(own, []byte("prefill_share = 500\nsample_one = 1\nlog_rate = 10000\n"), 0o600); err != nil {
		return err
	}
	n.cmd = exec.Command(filepath.Join(w.bin, "lentilpick-node"), "--settings", own)
	n.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// signal sends a signal to a node's process.
func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// ended waits for the end of a node's process and reports whether it came.
func (n *node) ended(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.done:
		return true
	case <-t.C:
		return false
	}
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
		n.signal(syscall.SIGCONT)
		n.ended(time.Second)
		_ = n.log.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
	w.store.Close()
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	w.store.Configure(w.version)
}
