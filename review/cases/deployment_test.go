package cases

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// Ports of every node, on an address of its own. They are below those of outgoing connections.
const (
	frontPort    = 21149
	readyPort    = 21141
	controlPort  = 21144
	internalPort = 21380
)

var zones = []string{"chaguanas", "arima", "san-juan"}

// deployment is a small installation on loopback addresses.
type deployment struct {
	record  *recorder
	dir     string
	prefix  string // of the loopback addresses
	store   *store
	servers []*server
	nodes   []*node
	fenced  bool
	gone    []*server // of an earlier version
	version int
	client  *http.Client

	mu   sync.Mutex
	sent map[string]*attempt
}

// attempt is a request as its requester sees it.
type attempt struct {
	id, path, node string
	at, ended      time.Time
	status         int
	complete       bool
}

// begin records that a requester sends a request to a node.
func (d *deployment) begin(n *node, id, path string) *attempt {
	a := &attempt{id: id, path: path, node: n.name, at: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent[id] = a
	return a
}

// end records the answer to a request. status is 0 without one.
func (d *deployment) end(a *attempt, status int, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.ended, a.status, a.complete = time.Now(), status, complete
}

// recordRequests writes what was sent, answered and run.
func (d *deployment) recordRequests() {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranBy := map[string][]string{}
	for _, v := range append(slices.Clone(d.gone), d.servers...) {
		v.mu.Lock()
		for _, r := range v.runs {
			ranBy[r.request] = append(ranBy[r.request], fmt.Sprintf("%s at %.3f s", v.id, r.at.Sub(d.record.began).Seconds()))
		}
		v.mu.Unlock()
	}
	all := slices.SortedFunc(maps.Values(d.sent), func(a, b *attempt) int { return a.at.Compare(b.at) })
	for _, a := range all {
		answer := "no answer"
		if !a.ended.IsZero() {
			answer = fmt.Sprintf("answered %d at %.3f s, in full: %v", a.status, a.ended.Sub(d.record.began).Seconds(), a.complete)
		}
		ran := "not run"
		if by := ranBy[a.id]; len(by) > 0 {
			ran = "run by " + strings.Join(by, " and ")
		}
		d.record.printf("request %s %s sent to %s at %.3f s, %s, %s", a.id, a.path, a.node, a.at.Sub(d.record.began).Seconds(), answer, ran)
	}
}

type node struct {
	name, zone, ip string
	settings       string
	storeAddress   string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func newDeployment(record *recorder, dir string) (*deployment, error) {
	d := &deployment{record: record, dir: dir, fenced: true, sent: map[string]*attempt{}}
	for i := range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d", 40+(os.Getpid()+i*7)%200, os.Getpid()/200%250)
		l, err := net.Listen("tcp4", d.prefix+fmt.Sprintf(".1:%d", frontPort))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var err error
	d.store, err = newStore(d.prefix + ".250:0")
	return d, err
}

func (d *deployment) addServer(id, service, zone, phase string) (*server, error) {
	v, err := newServer(d.record, d.store, id, service, zone, phase, d.prefix+".200:0", d.fenced)
	if err == nil {
		d.servers = append(d.servers, v)
	}
	return v, err
}

const host = "ficu95.example"

// route is a route of the configuration.
type route struct {
	name, kind, service string
	timeout, slo, gap   int
	priority, attempts  int
	prompted, resumable bool
}

var defaultRoutes = []route{
	{"rate", "streaming", "assistant", 8000, 400, 200, 0, 1, true, false},
	{"roster", "streaming", "assistant", 4000, 500, 200, 1, 2, true, true},
	{"booking", "unsafe", "hire-desk", 1000, 100, 0, 2, 1, false, false},
	{"availability", "safe", "hire-desk", 1000, 100, 0, 2, 2, false, false},
}

// configuration returns a version of the operator's configuration.
func configuration(version int, all []route) []byte {
	var routes []map[string]any
	for _, r := range all {
		routes = append(routes, map[string]any{
			"Name": r.name, "Host": host, "PathPrefix": "/" + r.name + "/", "Kind": r.kind, "Service": r.service, "TimeoutMs": r.timeout,
			"SloMs": r.slo, "GapSloMs": r.gap, "MaxAttempts": r.attempts, "Priority": r.priority, "Sticky": r.prompted, "Resumable": r.resumable,
		})
	}
	b, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "hire-desk", "HealthPath": "/healthz", "MaxConns": 192},
			{"Name": "assistant", "HealthPath": "/healthz", "MaxConns": 720, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 533_193, "KvTokenBytes": 163_840, "LinkMbps": 1.6e6, "HandleTtlS": 5.0, "SwitchS": 3.0,
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // cannot fail for the map above
	}
	return b
}

// configure writes the next version of the configuration.
func (d *deployment) configure(all []route) {
	d.version++
	b := configuration(d.version, all)
	for !d.store.put("keyed.op", "config", b) {
		time.Sleep(50 * time.Millisecond)
	}
	d.record.printf("operator: configuration %d acknowledged", d.version)
}

// addNode starts a node in a zone.
func (d *deployment) addNode(zone int, storeAddress string) (*node, error) {
	i := len(d.nodes) + 1
	n := &node{name: fmt.Sprintf("front-%02d-%s", i, zones[zone]), zone: zones[zone], ip: fmt.Sprintf("%s.%d", d.prefix, i), storeAddress: storeAddress}
	n.settings = filepath.Join(d.dir, n.name+".toml")
	var seeds []string
	for s := 1; s <= 3; s++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", d.prefix, s, controlPort)))
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "node"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "tt-north"
InternalPorts = [%d,%d]
SeedNodes = [%s]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
EntryMode = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[Zones]
chaguanas = "tt-north"
arima = "tt-north"
san-juan = "tt-north"
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
CpuShare = 0.272
CpuCores = 1
MemoryMb = 206
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
RequireFence = %v
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
`, n.name, n.ip, n.zone, internalPort, internalPort+15, strings.Join(seeds, ","), n.ip, frontPort, n.ip, readyPort, n.ip, controlPort, d.fenced, storeAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, d.start(n)
}

// start starts the process of a node with the command of the deploy file.
func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/lentilpick-node", "--settings", "deploy/node.toml")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILPICK_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	d.record.printf("%s starts", n.name)
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.cmd, n.exited)
	return nil
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// awaitReady waits until all nodes say that they are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range d.nodes {
		for {
			resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", n.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.printf("all nodes are ready")
	return nil
}

// close ends all processes that the deployment has started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		<-n.exited
	}
	for _, v := range d.servers {
		v.mu.Lock()
		v.stopped = true
		v.mu.Unlock()
		_ = v.http.Close()
	}
	_ = d.store.server.Close()
}

// send sends a request to a node and reads the answer to its end.
func (d *deployment) send(n *node, id, path, deadline, usage, prefix string) *attempt {
	a := d.begin(n, id, path)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.front()+path, nil)
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", deadline)
	if usage != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", usage)
		req.Header.Set("X-Prompt-Prefix", prefix)
	}
	resp, err := d.client.Do(req)
	status, complete := 0, false
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		complete = err == nil
	}
	d.end(a, status, complete)
	return a
}

// callers sends requests from a number of requesters, each of which pauses between two, until stop is
// closed. next returns the path, time limit, usage and prefix of request k of requester i.
func (d *deployment) callers(stop chan struct{}, calls *sync.WaitGroup, count int, pause time.Duration, next func(i, k int) (path, deadline, usage, prefix string)) {
	for i := range count {
		calls.Add(1)
		go func() {
			defer calls.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				path, deadline, usage, prefix := next(i, k)
				d.send(d.nodes[(i+k)%len(d.nodes)], fmt.Sprintf("q%d-%d", i, k), path, deadline, usage, prefix)
			}
		}()
	}
	calls.Add(1)
	go func() {
		defer calls.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
				d.mu.Lock()
				served := 0
				for _, a := range d.sent {
					if a.complete && a.status == http.StatusOK {
						served++
					}
				}
				d.record.printf("requesters: %d sent, %d answered in full", len(d.sent), served)
				d.mu.Unlock()
			}
		}
	}()
}
