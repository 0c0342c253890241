package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/cmd/internal/standins"
)

// vm describes a VM that runs an entry daemon and a control daemon, with their
// addresses.
type vm struct {
	Name       string
	DataCentre string
	// CallerAddress and EntryMetricsAddress belong to the entry daemon, PeerAddress
	// and AdminAddress to the control daemon, which serves its metrics on PeerAddress.
	CallerAddress, EntryMetricsAddress, PeerAddress, AdminAddress string
}

// deployment runs the stand-ins and all daemons of an example deployment as
// separate processes.
type deployment struct {
	name string
	// exampleDir holds the settings files of the example, runDir the copies that
	// the processes use.
	exampleDir, runDir string
	procs              *processes
	vms                []vm
	// platformControl and targetsControl are the control addresses of the stand-ins.
	platformControl, targetsControl string
	engines                         []standins.Engine
	spec                            Spec
}

// deploymentOptions holds the directories and the network of a deployment.
type deploymentOptions struct {
	binDir, examplesDir, outDir string
	// network, if set, replaces the first two bytes of the example's addresses.
	network string
}

type entryFile struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	Listen     string `toml:"listen"`
	Metrics    string `toml:"metrics"`
}

type controlFile struct {
	Listen string `toml:"listen"`
	Admin  string `toml:"admin"`
}

type objectsFile struct {
	Service []struct {
		ID   string `toml:"id"`
		Kind string `toml:"kind"`
	} `toml:"service"`
	Target []struct {
		Model string `toml:"model"`
	} `toml:"target"`
	Workspace []struct {
		ID string `toml:"id"`
	} `toml:"workspace"`
}

// loadDeployment reads an example deployment. It copies the settings files to
// the run directory, so that a scenario can change them.
func loadDeployment(o deploymentOptions, name string) (*deployment, error) {
	d := &deployment{name: name, exampleDir: filepath.Join(o.examplesDir, name), runDir: filepath.Join(o.outDir, name)}
	d.procs = newProcesses(o.binDir, d.runDir)
	if err := os.RemoveAll(d.runDir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(d.runDir, 0o755); err != nil {
		return nil, err
	}
	if err := d.copyFiles(o.network); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(d.file("entry-*.toml"))
	if err != nil || len(files) == 0 {
		return nil, merry.Appendf(ErrProcess, "no settings files entry-*.toml in %s", d.exampleDir)
	}
	sort.Strings(files)
	for _, f := range files {
		if err := d.readVM(f); err != nil {
			return nil, err
		}
	}
	if err := d.readStandins(); err != nil {
		return nil, err
	}
	return d, d.readObjects()
}

func (d *deployment) readVM(file string) error {
	var e entryFile
	var c controlFile
	if _, err := toml.DecodeFile(file, &e); err != nil {
		return err
	}
	control := strings.Replace(filepath.Base(file), "entry-", "control-", 1)
	if _, err := toml.DecodeFile(d.file(control), &c); err != nil {
		return err
	}
	d.vms = append(d.vms, vm{
		Name: e.VM, DataCentre: e.DataCentre, CallerAddress: e.Listen, EntryMetricsAddress: e.Metrics, PeerAddress: c.Listen, AdminAddress: c.Admin,
	})
	return nil
}

func (d *deployment) readStandins() error {
	platform, targets := standins.DefaultSettings(), standins.DefaultSettings()
	if _, err := toml.DecodeFile(d.file("platform.toml"), platform); err != nil {
		return err
	}
	if _, err := toml.DecodeFile(d.file("targets.toml"), targets); err != nil {
		return err
	}
	d.platformControl, d.targetsControl, d.engines = platform.Control, targets.Control, targets.Engine
	return nil
}

// addressPrefix matches the first two bytes of a loopback address in a settings
// file.
var addressPrefix = regexp.MustCompile(`"127\.\d+\.`)

func (d *deployment) copyFiles(network string) error {
	files, err := filepath.Glob(filepath.Join(d.exampleDir, "*.toml"))
	if err != nil {
		return err
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		if network != "" {
			b = addressPrefix.ReplaceAll(b, []byte(`"`+network+`.`))
		}
		if err := os.WriteFile(d.file(filepath.Base(f)), b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// replaceAddress replaces an address in a settings file of the run directory.
func (d *deployment) replaceAddress(name, from, to string) error {
	b, err := os.ReadFile(d.file(name))
	if err != nil {
		return err
	}
	return os.WriteFile(d.file(name), bytes.ReplaceAll(b, []byte(`"`+from+`"`), []byte(`"`+to+`"`)), 0o644)
}

func (d *deployment) readObjects() error {
	var o objectsFile
	if _, err := toml.DecodeFile(d.file("services.toml"), &o); err != nil {
		return err
	}
	d.spec = Spec{Name: d.name, Deadline: 2 * time.Second, TokenInterval: 60 * time.Millisecond}
	for _, v := range d.vms {
		d.spec.EntryAddresses = append(d.spec.EntryAddresses, v.CallerAddress)
	}
	for _, s := range o.Service {
		if s.Kind == "plain" {
			d.spec.PlainService = s.ID
		}
	}
	for _, t := range o.Target {
		if t.Model != "" {
			d.spec.Model = t.Model
		}
	}
	for _, w := range o.Workspace {
		d.spec.Workspaces = append(d.spec.Workspaces, w.ID)
	}
	return nil
}

func (d *deployment) file(name string) string { return filepath.Join(d.runDir, name) }

func (d *deployment) startControl(v vm) error {
	name := "control-" + v.Name
	return d.procs.start(name, "lentilpick-control", "--settings", d.file(name+".toml"))
}

func (d *deployment) startEntry(v vm) error {
	name := "entry-" + v.Name
	return d.procs.start(name, "lentilpick-entry", "--settings", d.file(name+".toml"))
}

const readyTimeout = 20 * time.Second

// start starts the stand-ins and all daemons, applies the example's objects
// through lentilpickctl, and waits until every entry daemon is healthy.
func (d *deployment) start(ctx context.Context) error {
	for _, f := range standinNames {
		if err := d.procs.start(f, "lentilpick-standin", "--settings", d.file(f+".toml")); err != nil {
			return err
		}
	}
	for _, c := range []string{d.platformControl, d.targetsControl} {
		if err := waitHTTP(ctx, "http://"+c+"/stats", readyTimeout); err != nil {
			return d.withExited(err)
		}
	}
	if err := d.checkProcesses(); err != nil {
		return err
	}
	for _, v := range d.vms {
		if err := d.startControl(v); err != nil {
			return err
		}
		if err := d.startEntry(v); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := waitListening(ctx, v.AdminAddress, readyTimeout); err != nil {
			return d.withExited(err)
		}
	}
	if err := d.checkProcesses(); err != nil {
		return err
	}
	return d.applyObjects(ctx)
}

// checkProcesses returns an error if a process has exited. Otherwise a process
// of another run on the same addresses could respond in its place.
func (d *deployment) checkProcesses() error {
	if len(d.procs.exited()) == 0 {
		return nil
	}
	return d.withExited(merry.Appendf(ErrProcess, "the addresses of deployment %s may be in use by another run", d.name))
}

func (d *deployment) applyObjects(ctx context.Context) error {
	if err := d.runCtl(ctx, d.vms[0], "apply", "-f", d.file("services.toml")); err != nil {
		return d.withExited(err)
	}
	for _, v := range d.vms {
		if err := waitHTTP(ctx, "http://"+v.CallerAddress+"/healthz", readyTimeout); err != nil {
			return d.withExited(err)
		}
	}
	return nil
}

// withExited adds the names of the processes that have exited to err. A daemon
// exits at its start if its address is in use, for instance.
func (d *deployment) withExited(err error) error {
	exited := d.procs.exited()
	if len(exited) == 0 {
		return err
	}
	slices.Sort(exited)
	return merry.Prependf(err, "processes %v exited unexpectedly (logs in %s)", exited, d.runDir)
}

func (d *deployment) runCtl(ctx context.Context, v vm, args ...string) error {
	return d.procs.run(ctx, "lentilpickctl", append([]string{"--address", v.AdminAddress, "--timeout", "30s"}, args...)...)
}

var httpClient = &http.Client{Timeout: 2 * time.Second}

func getJSON(url string, out any) error {
	resp, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return merry.Appendf(ErrProcess, "GET %s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// setFault injects a fault through a stand-in's control address.
func setFault(control, path string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	resp, err := httpClient.Post("http://"+control+"/faults/"+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return merry.Appendf(ErrProcess, "set fault %s: status %d: %s", path, resp.StatusCode, text)
	}
	return nil
}

// stats returns the merged counters of the platform and target stand-ins.
func (d *deployment) stats() (standins.Stats, error) {
	var platform, targets standins.Stats
	if err := getJSON("http://"+d.platformControl+"/stats", &platform); err != nil {
		return targets, err
	}
	if err := getJSON("http://"+d.targetsControl+"/stats", &targets); err != nil {
		return targets, err
	}
	targets.Appends = platform.Appends
	return targets, nil
}

func (d *deployment) appends() (int64, error) {
	var s standins.Stats
	err := getJSON("http://"+d.platformControl+"/stats", &s)
	return s.Appends, err
}

func (d *deployment) dataCentres() int {
	var dcs []string
	for _, v := range d.vms {
		if !slices.Contains(dcs, v.DataCentre) {
			dcs = append(dcs, v.DataCentre)
		}
	}
	return len(dcs)
}

func (d *deployment) findVM(name string) (vm, error) {
	for _, v := range d.vms {
		if v.Name == name {
			return v, nil
		}
	}
	return vm{}, merry.Appendf(ErrProcess, "no VM %q in %s", name, d.name)
}

func (d *deployment) vmsExcept(names ...string) []vm {
	var out []vm
	for _, v := range d.vms {
		if !slices.Contains(names, v.Name) {
			out = append(out, v)
		}
	}
	return out
}

// duplicateExecutions returns the number of repeated executions of idempotency
// keys over all plain services.
func duplicateExecutions(s *standins.Stats) int64 {
	var n int64
	for _, p := range s.Plain {
		n += int64(p.Duplicated)
	}
	return n
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

func readTOML(path string, out any) error {
	_, err := toml.DecodeFile(path, out)
	return err
}
