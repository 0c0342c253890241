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

// vm is one entry VM of a deployment: its daemons and their addresses.
type vm struct {
	Name       string
	DataCentre string
	// Callers and EntryMetrics belong to the entry daemon, Peers and Admin to
	// the control daemon, which serves its metrics on Peers.
	Callers, EntryMetrics, Peers, Admin string
}

// deployment runs the stand-ins and all daemons of an example deployment.
type deployment struct {
	name string
	// dir holds the example's files, run the files that are used.
	dir, run string
	procs    *processes
	vms      []vm
	// platform and targets are the control addresses of the stand-ins.
	platform, targets string
	engines           []standins.Engine
	spec              Spec
}

// places says where programs, examples and output are.
type places struct {
	bin, examples, out string
	// network, if set, replaces the first two bytes of the example's addresses.
	network string
}

type entryFile struct {
	VM      string `toml:"vm"`
	DC      string `toml:"data_centre"`
	Listen  string `toml:"listen"`
	Metrics string `toml:"metrics"`
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

// loadDeployment reads an example. The files of the run are copies, so that a
// scenario can change them.
func loadDeployment(p places, name string) (*deployment, error) {
	d := &deployment{name: name, dir: filepath.Join(p.examples, name), run: filepath.Join(p.out, name)}
	d.procs = newProcesses(p.bin, d.run)
	if err := os.RemoveAll(d.run); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(d.run, 0o755); err != nil {
		return nil, err
	}
	if err := d.copyFiles(p.network); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(d.file("entry-*.toml"))
	if err != nil || len(files) == 0 {
		return nil, merry.Appendf(ErrProcess, "no entry daemons in %s", d.dir)
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
		Name: e.VM, DataCentre: e.DC, Callers: e.Listen, EntryMetrics: e.Metrics, Peers: c.Listen, Admin: c.Admin,
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
	d.platform, d.targets, d.engines = platform.Control, targets.Control, targets.Engine
	return nil
}

// addressStart matches the first two bytes of an address in a settings file.
var addressStart = regexp.MustCompile(`"127\.\d+\.`)

func (d *deployment) copyFiles(network string) error {
	files, err := filepath.Glob(filepath.Join(d.dir, "*.toml"))
	if err != nil {
		return err
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		if network != "" {
			b = addressStart.ReplaceAll(b, []byte(`"`+network+`.`))
		}
		if err := os.WriteFile(d.file(filepath.Base(f)), b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// replace changes an address in a file of the run.
func (d *deployment) replace(name, from, to string) error {
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
	d.spec = Spec{Name: d.name, Deadline: 2 * time.Second, Interval: 60 * time.Millisecond}
	for _, v := range d.vms {
		d.spec.Entries = append(d.spec.Entries, v.Callers)
	}
	for _, s := range o.Service {
		if s.Kind == "plain" {
			d.spec.Plain = s.ID
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

func (d *deployment) file(name string) string { return filepath.Join(d.run, name) }

func (d *deployment) startControl(v vm) error {
	name := "control-" + v.Name
	return d.procs.start(name, "lentilpick-control", "--settings", d.file(name+".toml"))
}

func (d *deployment) startEntry(v vm) error {
	name := "entry-" + v.Name
	return d.procs.start(name, "lentilpick-entry", "--settings", d.file(name+".toml"))
}

const readyTimeout = 20 * time.Second

// start runs the stand-ins and all daemons, creates the objects of the example
// as an operator would, and waits until every entry daemon serves.
func (d *deployment) start(ctx context.Context) error {
	for _, f := range standinNames {
		if err := d.procs.start(f, "lentilpick-standin", "--settings", d.file(f+".toml")); err != nil {
			return err
		}
	}
	for _, c := range []string{d.platform, d.targets} {
		if err := waitHTTP(ctx, "http://"+c+"/stats", readyTimeout); err != nil {
			return d.failure(err)
		}
	}
	if err := d.ownProcesses(); err != nil {
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
		if err := waitListening(ctx, v.Admin, readyTimeout); err != nil {
			return d.failure(err)
		}
	}
	if err := d.ownProcesses(); err != nil {
		return err
	}
	return d.configure(ctx)
}

// ownProcesses returns an error if a process ended by itself. Another run on
// the same addresses would otherwise answer in its place.
func (d *deployment) ownProcesses() error {
	if len(d.procs.exited()) == 0 {
		return nil
	}
	return d.failure(merry.Appendf(ErrProcess, "the addresses of %s may be in use by another run", d.name))
}

func (d *deployment) configure(ctx context.Context) error {
	if err := d.ctl(ctx, d.vms[0], "apply", "-f", d.file("services.toml")); err != nil {
		return d.failure(err)
	}
	for _, v := range d.vms {
		if err := waitHTTP(ctx, "http://"+v.Callers+"/healthz", readyTimeout); err != nil {
			return d.failure(err)
		}
	}
	return nil
}

// failure adds the processes that ended by themselves, such as for an address
// in use.
func (d *deployment) failure(err error) error {
	gone := d.procs.exited()
	if len(gone) == 0 {
		return err
	}
	slices.Sort(gone)
	return merry.Prependf(err, "%v ended by themselves (see %s)", gone, d.run)
}

func (d *deployment) ctl(ctx context.Context, v vm, args ...string) error {
	return d.procs.run(ctx, "lentilpickctl", append([]string{"--address", v.Admin, "--timeout", "30s"}, args...)...)
}

var local = &http.Client{Timeout: 2 * time.Second}

func getJSON(url string, out any) error {
	resp, err := local.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return merry.Appendf(ErrProcess, "%s answered %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// fault sets a fault at a stand-in's control address.
func fault(control, path string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	resp, err := local.Post("http://"+control+"/faults/"+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return merry.Appendf(ErrProcess, "fault %s: status %d: %s", path, resp.StatusCode, text)
	}
	return nil
}

// stats returns the counts of both stand-ins.
func (d *deployment) stats() (standins.Stats, error) {
	var platform, targets standins.Stats
	if err := getJSON("http://"+d.platform+"/stats", &platform); err != nil {
		return targets, err
	}
	if err := getJSON("http://"+d.targets+"/stats", &targets); err != nil {
		return targets, err
	}
	targets.Appends = platform.Appends
	return targets, nil
}

func (d *deployment) appends() (int64, error) {
	var s standins.Stats
	err := getJSON("http://"+d.platform+"/stats", &s)
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

func (d *deployment) vm(name string) (vm, error) {
	for _, v := range d.vms {
		if v.Name == name {
			return v, nil
		}
	}
	return vm{}, merry.Appendf(ErrProcess, "no VM %q in %s", name, d.name)
}

func (d *deployment) without(names ...string) []vm {
	var out []vm
	for _, v := range d.vms {
		if !slices.Contains(names, v.Name) {
			out = append(out, v)
		}
	}
	return out
}

// duplicated returns how often a key ran again, over all plain services.
func duplicated(s *standins.Stats) int64 {
	var n int64
	for _, p := range s.Plain {
		n += int64(p.Duplicated)
	}
	return n
}

func describe(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

func readTOML(path string, out any) error {
	_, err := toml.DecodeFile(path, out)
	return err
}
