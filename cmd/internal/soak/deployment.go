// Package soak runs lentilpick-node processes against stand-ins of the platform,
// injects faults from outside the processes, and checks the guarantees to
// callers and targets: which requests ran, what the callers received, and which
// orders the targets accepted.
package soak

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// ErrSoak reports a soak that could not run or that found a violated guarantee.
var ErrSoak = merry.New("soak failed")

const (
	// nodeCount is the number of nodes of a layout that names none.
	nodeCount = 3
	// stopTimeout is the time that a node has for a planned stop.
	stopTimeout = 8 * time.Second
)

// node is one lentilpick-node process and the link through which it reaches the store.
type node struct {
	name, ip      string
	callerAddress string
	readyAddress  string
	settingsPath  string
	log           *os.File
	storeLink     *link
	cmd           *exec.Cmd
	exited        chan struct{}
	// disturbedUntil is the end of the latest fault that may cause the node to lose
	// responses: zero if there was none, far in the future while the fault lasts.
	disturbedUntil time.Time
	// restarting is set while a fault has stopped the process and will start it again.
	restarting bool
}

// targetSpec describes a target. phase is empty for plain services.
type targetSpec struct{ id, service, phase string }

// layout describes the deployment of a scenario.
type layout struct {
	nodes        int
	dataCentres  int
	targets      []targetSpec
	behaviour    standin.Behaviour
	routeTimeout time.Duration
	prefillShare int64               // in thousandths, 0 for a share that follows the demand
	routes       []standin.Route     // the default routes if nil
	workspaces   []standin.Workspace // none if nil, so that requests need no key
	versions     []string            // software versions of the targets, in rotation
	logLevel     string              // that of the nodes, their default if empty
	// direct registers the targets without links, so that a target that is down refuses
	// connections.
	direct bool
	// linkPerNode puts links in front of the targets that tell nodes apart.
	linkPerNode bool
}

// deployment is a set of nodes, targets and a store on loopback addresses.
type deployment struct {
	layout
	binDir, outDir string
	store          *standin.Store
	targets        []*standin.Target
	targetLinks    []*link     // in front of the targets
	nodeLinks      []*nodeLink // the same with linkPerNode
	nodes          []*node
	configVersion  int
	// plannedShare is the share of prefill engines in the settings of nodes that start.
	plannedShare atomic.Int64
	// targetsDisturbedUntil is the end of the latest fault of a target or its link.
	targetsDisturbedUntil time.Time
}

func newDeployment(binDir, outDir string, l layout) (*deployment, error) {
	d := &deployment{layout: l, binDir: binDir, outDir: outDir}
	d.plannedShare.Store(l.prefillShare)
	var err error
	if d.store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i, r := range l.targets {
		version := standin.DefaultVersion
		if len(l.versions) > 0 {
			version = l.versions[i%len(l.versions)]
		}
		address := "127.0.0.1:0"
		if l.direct {
			address = directAddress
		}
		t, err := standin.NewTargetOfVersion(d.store, r.id, r.service, d.dataCentre(i), r.phase, version, address)
		if err != nil {
			return nil, err
		}
		t.SetBehaviour(l.behaviour)
		if l.direct {
			t.ShareKVCache()
			d.targets = append(d.targets, t)
			continue
		}
		if l.linkPerNode {
			link, err := newNodeLink(t.Address())
			if err != nil {
				return nil, err
			}
			t.SetProxyAddress(link.address())
			d.targets, d.nodeLinks = append(d.targets, t), append(d.nodeLinks, link)
			continue
		}
		link, err := newLink(t.Address())
		if err != nil {
			return nil, err
		}
		t.SetProxyAddress(link.address())
		d.targets, d.targetLinks = append(d.targets, t), append(d.targetLinks, link)
	}
	d.configure()
	for i := range cmp.Or(l.nodes, nodeCount) {
		if err := d.addNode(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// directAddress is the address of targets without links. No connection starts from it, so that a
// target that was down gets its port back.
const directAddress = "127.0.0.9:0"

// faultsLayout is the deployment under random faults.
func faultsLayout() layout {
	return layout{
		dataCentres: 2,
		targets: []targetSpec{
			{"i-p1", "llm", "prefill"}, {"i-p2", "llm", "prefill"}, {"i-d1", "llm", "decode"}, {"i-d2", "llm", "decode"},
			{"i-a", "desk", ""}, {"i-b", "desk", ""}, {"i-c", "desk", ""},
		},
		behaviour: healthyBehaviour, routeTimeout: standin.DefaultTimeout, prefillShare: 500,
	}
}

// healthyBehaviour is the behaviour of a target without faults.
var healthyBehaviour = standin.Behaviour{Work: 5 * time.Millisecond, TokensPerMs: 50}

func (d *deployment) dataCentre(i int) string { return fmt.Sprintf("dc%d", i%d.dataCentres+1) }

// callerPort and readyPort are the ports of each node for callers and for readiness checks, on its own
// address. They are lower than those from which the kernel opens connections: one that was free when it
// was drawn can be in use when the node starts.
const (
	callerPort = 7400
	readyPort  = 7401
)

// seedCount is the number of nodes that the settings of each node list as its seeds, the
// most that the platform lists.
const seedCount = 3

func nodeIP(i int) string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1) }

// controlAddress returns the address at which a node serves other nodes.
func controlAddress(i int) string { return net.JoinHostPort(nodeIP(i), "7396") }

// addNode writes the settings of a node and starts it. Each node has a separate loopback
// address, because all nodes use the same internal ports.
func (d *deployment) addNode(i int) error {
	ip := nodeIP(i)
	// The store knows the node by the address of the link's connections.
	l, err := newLinkFrom(d.store.Address(), net.ParseIP(ip))
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("node-%d", i+1), ip: ip, storeLink: l}
	n.callerAddress, n.readyAddress = net.JoinHostPort(ip, strconv.Itoa(callerPort)), net.JoinHostPort(ip, strconv.Itoa(readyPort))
	n.settingsPath = filepath.Join(d.outDir, n.name+".toml")
	m := standin.NodeSettings{Name: n.name, IP: ip, Zone: d.dataCentre(i), CallerAddress: n.callerAddress, ReadyAddress: n.readyAddress, StoreAddress: l.address(), ControlAddress: controlAddress(i)}
	for seed := range seedCount {
		m.SeedAddresses = append(m.SeedAddresses, controlAddress(seed))
	}
	if err := m.WriteFile(n.settingsPath); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(d.outDir, n.name+".log")); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return d.startNode(n)
}

func (d *deployment) startNode(n *node) error {
	settings := filepath.Join(d.outDir, n.name+"-settings.toml")
	text := fmt.Sprintf("prefill_share = %d\nsample_one = 1\nlog_rate = 10000\n", d.plannedShare.Load())
	if d.linkPerNode {
		text += "bind_targets = true\n"
	}
	if d.logLevel != "" {
		text += fmt.Sprintf("log_level = %q\n", d.logLevel)
	}
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	n.cmd = exec.Command(filepath.Join(d.binDir, "lentilpick-node"), "--settings", settings)
	n.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+n.settingsPath)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.exited)
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// waitExit waits up to d for the node's process to exit and reports whether it did.
func (n *node) waitExit(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.exited:
		return true
	case <-t.C:
		return false
	}
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.signal(syscall.SIGKILL)
		n.signal(syscall.SIGCONT)
		n.waitExit(time.Second)
		_ = n.log.Close()
	}
	for _, l := range d.nodeLinks {
		l.close()
	}
	for _, t := range d.targets {
		t.Close()
	}
	d.store.Close()
}

// configure publishes the next version of the configuration.
func (d *deployment) configure() {
	d.configVersion++
	routes := d.routes
	if routes == nil {
		routes = standin.Routes
	}
	d.store.ConfigureWorkspaces(d.configVersion, d.routeTimeout, routes, d.workspaces)
}
