package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The run line of the role in deploy/system.toml.
var nodeCommand = []string{"target/lentilpick-node", "--settings", "deploy/node.toml"}

var zones = []string{"chaguanas", "arima", "san-juan"}

// node is one process of the system and its machine.
type node struct {
	name, ip, zone   string
	front, ready     string
	settings         string
	wrapper          []string // put before the command
	log              *os.File
	cmd              *exec.Cmd
	exited           chan struct{}
	machineMemoryMiB int
}

// deployment is a small installation: one node in each zone.
type deployment struct {
	dir    string
	record *record
	store  *store
	all    []*server
	nodes  []*node
}

// network returns the first three bytes of loopback addresses on which the internal ports are free.
func network(nodes, port int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250)+1)
		free := true
		for i := range nodes {
			for p := port; p < port+2; p++ {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, i+1, p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback network")
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

const internalPort = 7380

func newDeployment(rec *record, nodes int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lentilpick-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec}
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	prefix, err := network(nodes, internalPort)
	if err != nil {
		return nil, err
	}
	var control []string
	for i := range nodes {
		ip := fmt.Sprintf("%s.%d", prefix, i+1)
		ports := make([]int, 3)
		for k := range ports {
			if ports[k], err = freePort(ip); err != nil {
				return nil, err
			}
		}
		n := &node{
			name: fmt.Sprintf("front-%s-1", zones[i]), ip: ip, zone: zones[i], machineMemoryMiB: 206,
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.toml", i+1)),
		}
		control = append(control, fmt.Sprintf("%s:%d", ip, ports[2]))
		d.nodes = append(d.nodes, n)
	}
	for i, n := range d.nodes {
		if err := n.writeSettings(d.store.address, control, i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func quoted(list []string) string { return `"` + strings.Join(list, `", "`) + `"` }

// writeSettings writes the settings of a machine of the site mtc-lentil.
func (n *node) writeSettings(storeAddress string, control []string, index int) error {
	text := fmt.Sprintf(`NodeName = %q
Role = "node"
MachineClass = "front"
Serves = ["front", "control"]
Ip = %q
Zone = %q
Region = "tt-north"
InternalPorts = [%d, %d]
SeedNodes = [%s]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
EntryMode = "vip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
[Zones]
chaguanas = "tt-north"
arima = "tt-north"
san-juan = "tt-north"
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.272
CpuCores = 1
MemoryMb = %d
MaxFds = 2870
LinkMbps = 700.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
DowngradeSlackMs = 250
OuterMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 104
RecoverS = 12
TransitMs = 120
RetryAfterS = 10
RequireFence = true
LeaseMs = 3000
ThawMs = 300
[Platform]
Address = %q
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
`, n.name, n.ip, n.zone, internalPort, internalPort+15, quoted(control), n.front, n.ready, control[index], n.machineMemoryMiB, storeAddress)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

func (d *deployment) startNode(n *node) error {
	var err error
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(d.dir, n.name+".log")); err != nil {
			return err
		}
	}
	command := append(slices.Clone(n.wrapper), nodeCommand...)
	n.cmd = exec.Command(command[0], command[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=" + os.Getenv("LANG"), "LENTILPICK_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	d.record.note("node %s starts, process %d", n.name, n.cmd.Process.Pid)
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		d.record.note("node %s has ended: %s", n.name, c.ProcessState)
		close(done)
	}(n.cmd, n.exited)
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts all nodes and waits until they are ready.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		for began := time.Now(); !n.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				return fmt.Errorf("node %s is not ready after 10 s", n.name)
			}
		}
	}
	// The nodes learn of each other.
	time.Sleep(4 * time.Second)
	return nil
}

func (d *deployment) addServer(c serverSettings) error {
	s, err := newServer(d.record, d.store, c)
	if err != nil {
		return err
	}
	d.all = append(d.all, s)
	return nil
}

// close ends all processes that the test has started, and removes its files.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	for _, s := range d.all {
		s.stop()
	}
	_ = d.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
