package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
)

const (
	platformAddress    = "127.130.0.1:6060"
	targetHost         = "127.130.0.2"
	firstTargetPort    = 10_000
	maxParallelChanges = 32
	clockTicksPerSec   = 100 // USER_HZ of Linux
)

// fleet runs the daemons and stand-ins of one data centre.
type fleet struct {
	size    Size
	dir     string
	bin     string
	control []*exec.Cmd
	entry   []*exec.Cmd
	standin []*exec.Cmd
}

func (f *fleet) vmName(i int) string { return fmt.Sprintf("vm-%02d", i+1) }
func (f *fleet) host(i int) string   { return fmt.Sprintf("127.130.1.%d", i+1) }

func (f *fleet) start() error {
	if err := os.MkdirAll(f.dir, 0o755); err != nil {
		return err
	}
	p, err := f.startProgram("platform", "lentilpick-standin", f.platformSettings())
	if err != nil {
		return err
	}
	t, err := f.startProgram("targets", "lentilpick-standin", f.targetSettings())
	if err != nil {
		return err
	}
	f.standin = append(f.standin, p, t)
	sleep(time.Second)
	for i := range f.size.Daemons {
		c, err := f.startProgram("control-"+f.vmName(i), "lentilpick-control", f.controlSettings(i))
		if err != nil {
			return err
		}
		e, err := f.startProgram("entry-"+f.vmName(i), "lentilpick-entry", f.entrySettings(i))
		if err != nil {
			return err
		}
		f.control, f.entry = append(f.control, c), append(f.entry, e)
	}
	sleep(5 * time.Second)
	return nil
}

// startProgram writes the settings file and starts a program with its output in a
// log file.
func (f *fleet) startProgram(name, program, settings string) (*exec.Cmd, error) {
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(f.bin, program), "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, cmd.Start()
}

func (f *fleet) stop() {
	all := append(append(f.control, f.entry...), f.standin...)
	for _, c := range all {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range all {
		kill := time.AfterFunc(10*time.Second, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		kill.Stop()
	}
}

func (f *fleet) platformSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "control = \"127.130.0.1:6061\"\n[platform]\nlisten = %q\nretention = \"24h\"\nvm_list_lag = \"2s\"\n", platformAddress)
	for i := range f.size.Daemons {
		fmt.Fprintf(&b, "[[platform.vm]]\nname = %q\naddress = %q\ndata_centre = \"dc-1\"\n", f.vmName(i), f.host(i))
	}
	return b.String()
}

func (f *fleet) targetAddress(i int) string {
	return fmt.Sprintf("%s:%d", targetHost, firstTargetPort+i)
}

func (f *fleet) targetSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "control = \"%s:6061\"\n", targetHost)
	for i := range f.size.Targets {
		fmt.Fprintf(&b, "[[engine]]\nid = \"engine-%03d\"\nlisten = %q\nrole = \"mixed\"\nmodel = \"model-%d\"\nversion = \"1\"\nreport_lag = \"1s\"\nchecks_fencing = true\n",
			i, f.targetAddress(i), i%modelCount)
	}
	return b.String()
}

const modelCount = 10

func (f *fleet) controlSettings(i int) string {
	var b strings.Builder
	h := f.host(i)
	fmt.Fprintf(&b, "vm = %q\ndata_centre = \"dc-1\"\nlisten = \"%s:7070\"\nadmin = \"%s:7071\"\nplatform = %q\n", f.vmName(i), h, h, platformAddress)
	for j := range f.size.Daemons {
		if j != i {
			fmt.Fprintf(&b, "[[peer]]\nvm = %q\ndata_centre = \"dc-1\"\naddress = \"%s:7070\"\n", f.vmName(j), f.host(j))
		}
	}
	return b.String()
}

func (f *fleet) entrySettings(i int) string {
	h := f.host(i)
	return fmt.Sprintf("vm = %q\ndata_centre = \"dc-1\"\nlisten = \"%s:8080\"\nmetrics = \"%s:9090\"\ncontrol = [\"%s:7070\"]\n", f.vmName(i), h, h, h)
}

func (f *fleet) adminClient(i int) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+f.host(i)+":7071")
}

// configure applies one service, all targets and all workspaces.
func (f *fleet) configure(ctx context.Context) error {
	service := &adminv1.ApplyRequest{ChangeId: "service", Object: &adminv1.ApplyRequest_Service{
		Service: &adminv1.Service{Id: "service", Kind: adminv1.Kind_KIND_ENGINE, RoleChangeWeight: 1},
	}}
	if err := f.apply(ctx, 0, service); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelChanges)
	for i := range f.size.Targets {
		g.Go(func() error { return f.apply(ctx, i, f.targetRequest(i)) })
	}
	for i := range f.size.Workspaces {
		g.Go(func() error { return f.apply(ctx, i, workspaceRequest(i)) })
	}
	return g.Wait()
}

// apply sends a change. It repeats the change with the same change ID while the
// outcome is unknown.
func (f *fleet) apply(ctx context.Context, via int, r *adminv1.ApplyRequest) error {
	for {
		_, err := f.adminClient(via%f.size.Daemons).Apply(ctx, connect.NewRequest(r))
		code := connect.CodeOf(err)
		if err == nil || ctx.Err() != nil || (code != connect.CodeUnknown && code != connect.CodeUnavailable) {
			return err
		}
		sleep(100 * time.Millisecond)
	}
}

func (f *fleet) targetRequest(i int) *adminv1.ApplyRequest {
	id := fmt.Sprintf("engine-%03d", i)
	return &adminv1.ApplyRequest{ChangeId: id, Object: &adminv1.ApplyRequest_Target{Target: &adminv1.Target{
		Id: id, Service: "service", Address: f.targetAddress(i), DataCentre: "dc-1", State: adminv1.TargetState_TARGET_STATE_ACTIVE,
		ChecksFencing: true, Role: adminv1.Role_ROLE_MIXED, Model: fmt.Sprintf("model-%d", i%modelCount), Version: "1",
		Rates: &adminv1.Rates{PrefillTokensPerSecond: 16_000, KvTransferTokensPerSecond: 200_000, IterationBaseUs: 8000, DecodeCostUs: 150, MaxStreams: 128},
	}}}
}

// workspaceRequest returns the change that creates workspace i, with about 1 KB of
// state.
func workspaceRequest(i int) *adminv1.ApplyRequest {
	id := fmt.Sprintf("workspace-%04d-%s", i, strings.Repeat("x", 64))
	return &adminv1.ApplyRequest{ChangeId: id, Object: &adminv1.ApplyRequest_Workspace{Workspace: &adminv1.Workspace{
		Id: id, Share: 1, Services: []string{"service"},
	}}}
}

// waitInForce waits until every control daemon is at the revision of the last
// change.
func (f *fleet) waitInForce(ctx context.Context) error {
	want := uint64(1 + f.size.Targets + f.size.Workspaces)
	for i := range f.size.Daemons {
		for {
			r, err := f.adminClient(i).GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
			if err == nil && r.Msg.GetRevision() == want {
				break
			}
			if ctx.Err() != nil {
				return merry.Appendf(ErrRun, "control daemon of %s not at revision %d: %v", f.vmName(i), want, ctx.Err())
			}
			sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// usage holds resource usage, summed over all daemons of a kind.
type usage struct {
	controlCPUSeconds, entryCPUSeconds float64
	controlBytes, entryBytes           float64
	trafficBytes                       map[string]float64
}

func (f *fleet) readUsage() (usage, error) {
	u := usage{trafficBytes: map[string]float64{}}
	for i := range f.size.Daemons {
		cpu, mem, err := processUsage(f.control[i].Process.Pid)
		if err != nil {
			return u, err
		}
		u.controlCPUSeconds += cpu
		u.controlBytes += mem
		if cpu, mem, err = processUsage(f.entry[i].Process.Pid); err != nil {
			return u, err
		}
		u.entryCPUSeconds += cpu
		u.entryBytes += mem
		if err := addTraffic(u.trafficBytes, "http://"+f.host(i)+":7070/metrics"); err != nil {
			return u, err
		}
	}
	return u, nil
}

// processUsage returns the CPU time in seconds and the resident set size in bytes
// of a process.
func processUsage(pid int) (cpu, resident float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// Fields are counted after the command name: index 0 is the state, which is
	// field 3 of /proc/PID/stat.
	rest := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(rest) < 22 {
		return 0, 0, merry.Appendf(ErrRun, "/proc/%d/stat: got %d fields after the command name, want at least 22", pid, len(rest))
	}
	user, _ := strconv.ParseFloat(rest[11], 64)
	system, _ := strconv.ParseFloat(rest[12], 64)
	pages, _ := strconv.ParseFloat(rest[21], 64)
	return (user + system) / clockTicksPerSec, pages * float64(os.Getpagesize()), nil
}

// addTraffic adds a control daemon's byte counters to sum, by group.
func addTraffic(sum map[string]float64, url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		line := sc.Text()
		if !strings.HasPrefix(line, "lentilpick_control_bytes") {
			continue
		}
		_, rest, _ := strings.Cut(line, `group="`)
		group, _, _ := strings.Cut(rest, `"`)
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			return err
		}
		sum[group] += value
	}
	return sc.Err()
}
