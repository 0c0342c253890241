package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/cmd/internal/standins"
)

// ErrDemo reports that the demo did not run as it should.
var ErrDemo = merry.New("demo failed")

// DemoCmd runs the demo.
type DemoCmd struct {
	Bin      string        `default:"bin" type:"existingdir" help:"Directory of the programs."`
	Examples string        `default:"examples" type:"existingdir" help:"Directory of the example deployments."`
	Logs     string        `default:"out/demo" help:"Directory for the logs of the processes."`
	Phase    time.Duration `default:"18s" help:"Length of each phase of the load."`
	Seed     uint64        `default:"1" help:"Seed of the load."`
}

type deployment struct {
	name      string
	dir       string
	procs     *processes
	entries   []string // caller addresses
	admins    []string
	entryVMs  []string
	controls  []string // stand-in control addresses
	spec      Spec
	drainable string
}

// Run implements the command.
func (c DemoCmd) Run() error {
	names := []string{"maracas", "kereru"}
	results := make([]Totals, len(names))
	stats := make([]standins.Stats, len(names))
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, n := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], stats[i], errs[i] = c.runDeployment(n)
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return merry.Prepend(err, names[i])
		}
	}
	return report(names, results, stats)
}

func (c DemoCmd) runDeployment(name string) (t Totals, s standins.Stats, err error) {
	d, err := c.load(name)
	if err != nil {
		return t, s, err
	}
	defer d.procs.stopAll()
	if err := d.start(); err != nil {
		return t, s, err
	}
	if err := d.configure(); err != nil {
		return t, s, err
	}
	g := NewGenerator(d.spec)
	done := make(chan error, 1)
	go func() { done <- d.disturb(c.Phase) }()
	t = g.Run(context.Background())
	if err := <-done; err != nil {
		return t, s, err
	}
	s, err = d.stats()
	return t, s, err
}

type entryFile struct {
	VM     string `toml:"vm"`
	Listen string `toml:"listen"`
}

type controlFile struct {
	Admin string `toml:"admin"`
}

type objectsFile struct {
	Service []struct {
		ID   string `toml:"id"`
		Kind string `toml:"kind"`
	} `toml:"service"`
	Target []struct {
		ID    string `toml:"id"`
		Model string `toml:"model"`
	} `toml:"target"`
	Workspace []struct {
		ID string `toml:"id"`
	} `toml:"workspace"`
}

func (c DemoCmd) load(name string) (*deployment, error) {
	dir := filepath.Join(c.Examples, name)
	d := &deployment{name: name, dir: dir, procs: newProcesses(c.Bin, filepath.Join(c.Logs, name))}
	files, err := filepath.Glob(filepath.Join(dir, "entry-*.toml"))
	if err != nil || len(files) == 0 {
		return nil, merry.Appendf(ErrDemo, "no entry daemons in %s", dir)
	}
	sort.Strings(files)
	for _, f := range files {
		var e entryFile
		var k controlFile
		if _, err := toml.DecodeFile(f, &e); err != nil {
			return nil, err
		}
		if _, err := toml.DecodeFile(strings.Replace(f, "entry-", "control-", 1), &k); err != nil {
			return nil, err
		}
		d.entries = append(d.entries, e.Listen)
		d.entryVMs = append(d.entryVMs, e.VM)
		d.admins = append(d.admins, k.Admin)
	}
	for _, f := range []string{"platform.toml", "targets.toml"} {
		s := standins.DefaultSettings()
		if _, err := toml.DecodeFile(filepath.Join(dir, f), s); err != nil {
			return nil, err
		}
		d.controls = append(d.controls, s.Control)
	}
	return d, c.loadSpec(d)
}

func (c DemoCmd) loadSpec(d *deployment) error {
	var o objectsFile
	if _, err := toml.DecodeFile(filepath.Join(d.dir, "services.toml"), &o); err != nil {
		return err
	}
	d.spec = Spec{Name: d.name, Entries: d.entries, Deadline: 2 * time.Second, Interval: 60 * time.Millisecond, Seed: c.Seed}
	for _, s := range o.Service {
		if s.Kind == "plain" {
			d.spec.Plain = s.ID
		}
	}
	for _, t := range o.Target {
		if t.Model != "" {
			d.spec.Model, d.drainable = t.Model, t.ID
		}
	}
	for _, w := range o.Workspace {
		d.spec.Workspaces = append(d.spec.Workspaces, w.ID)
	}
	d.spec.Phases = []Phase{
		{Name: "long prompts", Length: c.Phase, PerSecond: 24, PromptTokens: 2500, OutputTokens: 20, CallsPerSecond: 4},
		{Name: "long outputs", Length: c.Phase, PerSecond: 24, PromptTokens: 300, OutputTokens: 150, CallsPerSecond: 4},
		{Name: "long prompts again", Length: c.Phase, PerSecond: 24, PromptTokens: 2500, OutputTokens: 20, CallsPerSecond: 4},
	}
	return nil
}

func (d *deployment) file(name string) string { return filepath.Join(d.dir, name) }

// start runs the stand-ins, then all daemons, and waits until they serve.
func (d *deployment) start() error {
	for _, f := range []string{"platform", "targets"} {
		if err := d.procs.start(f, "lentilpick-standin", "--settings", d.file(f+".toml")); err != nil {
			return err
		}
	}
	for _, c := range d.controls {
		if err := waitHTTP("http://"+c+"/stats", readyTimeout); err != nil {
			return err
		}
	}
	for _, vm := range d.entryVMs {
		for _, kind := range []string{"control", "entry"} {
			name := kind + "-" + vm
			if err := d.procs.start(name, "lentilpick-"+kind, "--settings", d.file(name+".toml")); err != nil {
				return err
			}
		}
	}
	for _, a := range d.admins {
		if err := waitListening(a, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

const readyTimeout = 20 * time.Second

// configure creates the services, targets and workspaces as an operator would.
func (d *deployment) configure() error {
	if err := d.ctl(d.admins[0], "apply", "-f", d.file("services.toml")); err != nil {
		return err
	}
	for _, e := range d.entries {
		if err := waitHTTP("http://"+e+"/healthz", readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) ctl(admin string, args ...string) error {
	return d.procs.run("lentilpickctl", append([]string{"--address", admin, "--timeout", "30s"}, args...)...)
}

// disturb drains an engine, stops an entry daemon gracefully, changes the
// configuration and activates the engine again, while the load runs.
func (d *deployment) disturb(phase time.Duration) error {
	after(phase / 2)
	if err := d.ctl(d.admins[1], "drain", d.drainable); err != nil {
		return err
	}
	after(phase / 2)
	if err := d.procs.terminate("entry-"+d.entryVMs[len(d.entryVMs)-1], 40*time.Second); err != nil {
		return err
	}
	after(phase / 4)
	change, err := d.changeFile()
	if err != nil {
		return err
	}
	if err := d.ctl(d.admins[2], "apply", "-f", change); err != nil {
		return err
	}
	after(phase / 4)
	return d.ctl(d.admins[3], "activate", d.drainable)
}

// changeFile writes the configuration change of the demo: one more workspace.
func (d *deployment) changeFile() (string, error) {
	path := filepath.Join(d.procs.logs, "change.toml")
	return path, os.WriteFile(path, []byte("[[workspace]]\nid = \"newcomer\"\nshare = 2\n"), 0o600)
}

func after(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

func (d *deployment) stats() (standins.Stats, error) {
	var sum standins.Stats
	for _, c := range d.controls {
		resp, err := http.Get("http://" + c + "/stats")
		if err != nil {
			return sum, err
		}
		var s standins.Stats
		err = json.NewDecoder(resp.Body).Decode(&s)
		_ = resp.Body.Close()
		if err != nil {
			return sum, err
		}
		sum.Appends += s.Appends
		if len(s.Engines) > 0 {
			sum.Engines, sum.Plain = s.Engines, s.Plain
		}
	}
	return sum, nil
}

func report(names []string, totals []Totals, stats []standins.Stats) error {
	var all Totals
	var duplicated, roleChanges, conflicting int64
	for i, n := range names {
		t := totals[i]
		fmt.Printf("\n%s: %d requests, %d answered, %d refused, %d cut, %d mixed up, goodput %.3f\n",
			n, t.Requests, t.Answered, t.Refused, t.Cut, t.MixedUp, ratio(t.Good, t.Requests))
		fmt.Printf("  first token: p50 %.0f ms, p95 %.0f ms; between tokens: p50 %.1f ms, p95 %.1f ms\n",
			ms(t.FirstToken.ValueAtQuantile(50)), ms(t.FirstToken.ValueAtQuantile(95)),
			ms(t.Interval.ValueAtQuantile(50)), ms(t.Interval.ValueAtQuantile(95)))
		fmt.Printf("  status reads: %d, stale or missing: %d\n", t.Reads, t.StaleReads)
		for reason, count := range t.Reasons {
			fmt.Printf("  reason %s: %d\n", reason, count)
		}
		fmt.Printf("  log appends: %d\n", stats[i].Appends)
		for _, e := range stats[i].Engines {
			roleChanges += e.RoleChanges
			conflicting += e.OrdersConflicting
		}
		for service, p := range stats[i].Plain {
			fmt.Printf("  %s: %d keys, %d executions, %d duplicated\n", service, p.Keys, p.Executions, p.Duplicated)
			duplicated += int64(p.Duplicated)
		}
		all.Requests += t.Requests
		all.Answered += t.Answered
		all.Refused += t.Refused
		all.Cut += t.Cut
		all.MixedUp += t.MixedUp
		all.Good += t.Good
	}
	fmt.Printf("\nconflicting orders: %d\n", conflicting)
	fmt.Printf("demo: requests=%d answered=%d refused=%d cut=%d duplicated=%d mixed_up=%d role_changes=%d goodput=%.3f\n",
		all.Requests, all.Answered, all.Refused, all.Cut, duplicated, all.MixedUp, roleChanges, ratio(all.Good, all.Requests))
	return nil
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func ms(us int64) float64 { return float64(us) / 1000 }
