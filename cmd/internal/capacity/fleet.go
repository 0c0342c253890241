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
	"golang.org/x/sync/errgroup"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
)

const (
	platformAddress  = "127.130.0.1:6060"
	targetHost       = "127.130.0.2"
	firstTargetPort  = 10_000
	parallelChanges  = 32
	clockTicksPerSec = 100 // USER_HZ of Linux
)

// fleet is one data centre of daemons with its stand-ins.
type fleet struct {
	size    Size
	dir     string
	bin     string
	control []*exec.Cmd
	entry   []*exec.Cmd
	standin []*exec.Cmd
}

func (f *fleet) vm(i int) string   { return fmt.Sprintf("vm-%02d", i+1) }
func (f *fleet) host(i int) string { return fmt.Sprintf("127.130.1.%d", i+1) }

func (f *fleet) start() error {
	if err := os.MkdirAll(f.dir, 0o755); err != nil {
		return err
	}
	p, err := f.run("platform", "lentilpick-standin", f.platformSettings())
	if err != nil {
		return err
	}
	t, err := f.run("targets", "lentilpick-standin", f.targetSettings())
	if err != nil {
		return err
	}
	f.standin = append(f.standin, p, t)
	wait(time.Second)
	for i := range f.size.Daemons {
		c, err := f.run("control-"+f.vm(i), "lentilpick-control", f.controlSettings(i))
		if err != nil {
			return err
		}
		e, err := f.run("entry-"+f.vm(i), "lentilpick-entry", f.entrySettings(i))
		if err != nil {
			return err
		}
		f.control, f.entry = append(f.control, c), append(f.entry, e)
	}
	wait(5 * time.Second)
	return nil
}

// run writes the settings and starts a program with its output in a log file.
func (f *fleet) run(name, program, settings string) (*exec.Cmd, error) {
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
		fmt.Fprintf(&b, "[[platform.vm]]\nname = %q\naddress = %q\ndata_centre = \"dc-1\"\n", f.vm(i), f.host(i))
	}
	return b.String()
}

func (f *fleet) target(i int) string {
	return fmt.Sprintf("%s:%d", targetHost, firstTargetPort+i)
}

func (f *fleet) targetSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "control = \"%s:6061\"\n", targetHost)
	for i := range f.size.Targets {
		fmt.Fprintf(&b, "[[engine]]\nid = \"engine-%03d\"\nlisten = %q\nrole = \"mixed\"\nmodel = \"model-%d\"\nversion = \"1\"\nreport_lag = \"1s\"\nchecks_fencing = true\n",
			i, f.target(i), i%models)
	}
	return b.String()
}

const models = 10

func (f *fleet) controlSettings(i int) string {
	var b strings.Builder
	h := f.host(i)
	fmt.Fprintf(&b, "vm = %q\ndata_centre = \"dc-1\"\nlisten = \"%s:7070\"\nadmin = \"%s:7071\"\nplatform = %q\n", f.vm(i), h, h, platformAddress)
	for j := range f.size.Daemons {
		if j != i {
			fmt.Fprintf(&b, "[[peer]]\nvm = %q\ndata_centre = \"dc-1\"\naddress = \"%s:7070\"\n", f.vm(j), f.host(j))
		}
	}
	return b.String()
}

func (f *fleet) entrySettings(i int) string {
	h := f.host(i)
	return fmt.Sprintf("vm = %q\ndata_centre = \"dc-1\"\nlisten = \"%s:8080\"\nmetrics = \"%s:9090\"\ncontrol = [\"%s:7070\"]\n", f.vm(i), h, h, h)
}

func (f *fleet) admin(i int) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+f.host(i)+":7071")
}

// configure creates one service, all targets and all workspaces.
func (f *fleet) configure(ctx context.Context) error {
	service := &adminv1.ApplyRequest{ChangeId: "service", Object: &adminv1.ApplyRequest_Service{
		Service: &adminv1.Service{Id: "service", Kind: adminv1.Kind_KIND_ENGINE, RoleChangeWeight: 1},
	}}
	if err := f.apply(ctx, 0, service); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelChanges)
	for i := range f.size.Targets {
		g.Go(func() error { return f.apply(ctx, i, f.targetChange(i)) })
	}
	for i := range f.size.Workspaces {
		g.Go(func() error { return f.apply(ctx, i, workspaceChange(i)) })
	}
	return g.Wait()
}

// apply repeats a change with the same identifier until its result is known.
func (f *fleet) apply(ctx context.Context, via int, r *adminv1.ApplyRequest) error {
	for {
		_, err := f.admin(via%f.size.Daemons).Apply(ctx, connect.NewRequest(r))
		code := connect.CodeOf(err)
		if err == nil || ctx.Err() != nil || (code != connect.CodeUnknown && code != connect.CodeUnavailable) {
			return err
		}
		wait(100 * time.Millisecond)
	}
}

func (f *fleet) targetChange(i int) *adminv1.ApplyRequest {
	id := fmt.Sprintf("engine-%03d", i)
	return &adminv1.ApplyRequest{ChangeId: id, Object: &adminv1.ApplyRequest_Target{Target: &adminv1.Target{
		Id: id, Service: "service", Address: f.target(i), DataCentre: "dc-1", State: adminv1.TargetState_TARGET_STATE_ACTIVE,
		ChecksFencing: true, Role: adminv1.Role_ROLE_MIXED, Model: fmt.Sprintf("model-%d", i%models), Version: "1",
		Rates: &adminv1.Rates{PrefillTokensPerSecond: 16_000, KvTransferTokensPerSecond: 200_000, IterationBaseUs: 8000, DecodeCostUs: 150, MaxStreams: 128},
	}}}
}

// workspaceChange returns a workspace with about 1 KB of state.
func workspaceChange(i int) *adminv1.ApplyRequest {
	id := fmt.Sprintf("workspace-%04d-%s", i, strings.Repeat("x", 64))
	return &adminv1.ApplyRequest{ChangeId: id, Object: &adminv1.ApplyRequest_Workspace{Workspace: &adminv1.Workspace{
		Id: id, Share: 1, Services: []string{"service"},
	}}}
}

// waitInForce waits until every control daemon is at the last revision.
func (f *fleet) waitInForce(ctx context.Context) error {
	want := uint64(1 + f.size.Targets + f.size.Workspaces)
	for i := range f.size.Daemons {
		for {
			r, err := f.admin(i).GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
			if err == nil && r.Msg.GetRevision() == want {
				break
			}
			if ctx.Err() != nil {
				return ErrRun
			}
			wait(200 * time.Millisecond)
		}
	}
	return nil
}

// usage is the sum over all daemons of a kind.
type usage struct {
	controlCPU, entryCPU     float64 // seconds
	controlBytes, entryBytes float64
	traffic                  map[string]float64
}

func (f *fleet) read() (usage, error) {
	u := usage{traffic: map[string]float64{}}
	for i := range f.size.Daemons {
		cpu, mem, err := process(f.control[i].Process.Pid)
		if err != nil {
			return u, err
		}
		u.controlCPU += cpu
		u.controlBytes += mem
		if cpu, mem, err = process(f.entry[i].Process.Pid); err != nil {
			return u, err
		}
		u.entryCPU += cpu
		u.entryBytes += mem
		if err := addTraffic(u.traffic, "http://"+f.host(i)+":7070/metrics"); err != nil {
			return u, err
		}
	}
	return u, nil
}

// process returns the CPU time in seconds and the resident size in bytes.
func process(pid int) (cpu, resident float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The fields after the command name begin with the state, field 3.
	rest := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(rest) < 22 {
		return 0, 0, ErrRun
	}
	user, _ := strconv.ParseFloat(rest[11], 64)
	system, _ := strconv.ParseFloat(rest[12], 64)
	pages, _ := strconv.ParseFloat(rest[21], 64)
	return (user + system) / clockTicksPerSec, pages * float64(os.Getpagesize()), nil
}

// addTraffic adds the byte counters of a control daemon by group.
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
