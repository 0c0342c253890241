package load

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/cmd/internal/standins"
	"github.com/lentilpick/lentilpick/daemon"
)

// ErrDemo reports that the demo did not run as it should.
var ErrDemo = merry.New("demo failed")

// DemoCmd runs the demo.
type DemoCmd struct {
	Bin      string        `default:"bin" type:"existingdir" help:"Directory of the programs."`
	Examples string        `default:"examples" type:"existingdir" help:"Directory of the example deployments."`
	Out      string        `default:"out/demo" help:"Directory for the settings and logs of the processes."`
	Phase    time.Duration `default:"18s" help:"Length of each phase of the load."`
	Seed     uint64        `default:"1" help:"Seed of the load."`
	Calls    float64       `default:"4" help:"Keyed calls a second in each deployment."`
}

// minRequests is the least number of requests of a valid demo.
const minRequests = 2000

// demoLimit is the time that the whole demo may take.
const demoLimit = 2 * time.Minute

// idleWindow is how long the log appends of an idle deployment are counted.
const idleWindow = 6 * time.Second

// demoResult is what one deployment of the demo measured.
type demoResult struct {
	phases []*Totals
	stats  standins.Stats
	// idle and busy are log appends per second of one data centre.
	idle, busy float64
	inForce    time.Duration
	drained    string
	stopped    string
}

// Run implements the command.
func (c DemoCmd) Run() error {
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	ctx, end := context.WithTimeoutCause(ctx, demoLimit, merry.Appendf(ErrDemo, "not complete after %s", demoLimit))
	defer end()
	names := []string{"maracas", "kereru"}
	results := make([]demoResult, len(names))
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, n := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if errs[i] = c.runDeployment(ctx, n, &results[i]); errs[i] != nil {
				cancel() // ends the other deployment
			}
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil && !errors.Is(err, context.Canceled) {
			return merry.Prepend(err, names[i])
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return report(os.Stdout, names, results)
}

func (c DemoCmd) runDeployment(ctx context.Context, name string, r *demoResult) error {
	d, err := loadDeployment(places{bin: c.Bin, examples: c.Examples, out: c.Out}, name)
	if err != nil {
		return err
	}
	defer d.procs.stopAll()
	if err := d.start(ctx); err != nil {
		return err
	}
	if r.idle, err = d.appendRate(ctx, func() { daemon.Sleep(ctx, idleWindow) }); err != nil {
		return err
	}
	d.spec.Seed, d.spec.Phases = c.Seed, demoPhases(c.Phase, c.Calls)
	disturbed := make(chan error, 1)
	r.busy, err = d.appendRate(ctx, func() {
		go func() { disturbed <- d.disturb(ctx, c.Phase, r) }()
		r.phases = NewGenerator(d.spec).Run(ctx)
	})
	if e := <-disturbed; e != nil {
		return e
	}
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	r.stats, err = d.stats()
	return err
}

// demoPhases shifts the mix from long prompts to long outputs and back.
func demoPhases(length time.Duration, calls float64) []Phase {
	prompts := Phase{Name: "long prompts", Length: length, PerSecond: 24, PromptTokens: 2500, OutputTokens: 20, CallsPerSecond: calls}
	outputs := Phase{Name: "long outputs", Length: length, PerSecond: 24, PromptTokens: 300, OutputTokens: 150, CallsPerSecond: calls}
	again := prompts
	again.Name = "long prompts again"
	return []Phase{prompts, outputs, again}
}

// appendRate returns the log appends per second and data centre during f.
func (d *deployment) appendRate(ctx context.Context, f func()) (float64, error) {
	before, err := d.appends()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	f()
	if ctx.Err() != nil {
		return 0, context.Cause(ctx)
	}
	after, err := d.appends()
	return float64(after-before) / time.Since(start).Seconds() / float64(d.dataCentres()), err
}

const stopTimeout = 40 * time.Second

// disturb drains an engine, stops an entry daemon gracefully, changes the
// configuration and activates the engine again, while the load runs.
func (d *deployment) disturb(ctx context.Context, phase time.Duration, r *demoResult) error {
	r.drained = d.engines[len(d.engines)-1].ID
	last := d.vms[len(d.vms)-1]
	r.stopped = last.Name
	steps := []struct {
		after time.Duration
		do    func() error
	}{
		{phase / 2, func() error { return d.ctl(ctx, d.vms[1], "drain", r.drained) }},
		{phase / 2, func() error { return d.procs.terminate("entry-"+last.Name, stopTimeout) }},
		{phase / 4, func() error { return d.change(ctx, r) }},
		{phase / 4, func() error { return d.ctl(ctx, d.vms[3], "activate", r.drained) }},
	}
	for _, s := range steps {
		if !daemon.Sleep(ctx, s.after) {
			return context.Cause(ctx)
		}
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}

// change adds a workspace and measures the time until it is in force on all
// daemons that run.
func (d *deployment) change(ctx context.Context, r *demoResult) error {
	start := time.Now()
	revision, err := newOperator(d.vms[2]).addWorkspace(ctx, "newcomer")
	if err != nil {
		return err
	}
	stopped := "entry-" + r.stopped
	daemons := slices.DeleteFunc(daemonsOf(d.vms), func(a daemonAddress) bool { return a.name == stopped })
	r.inForce, err = untilInForce(ctx, daemons, revision, start)
	return err
}

// report prints the figures and returns an error if a promise was broken.
func report(w *os.File, names []string, results []demoResult) error {
	all := newTotals()
	var duplicates, roleChanges, conflicting int64
	for i, n := range names {
		r := &results[i]
		printDeployment(w, n, r)
		all.add(sum(r.phases))
		duplicates += duplicated(&r.stats)
		for _, e := range r.stats.Engines {
			roleChanges += e.RoleChanges
			conflicting += e.OrdersConflicting
		}
	}
	fmt.Fprintf(w, "\nconflicting orders: %d\n", conflicting)
	fmt.Fprintf(w, "demo: requests=%d answered=%d refused=%d cut=%d duplicated=%d mixed_up=%d role_changes=%d goodput=%.3f\n",
		all.Requests, all.Answered, all.Refused, all.Cut, duplicates, all.MixedUp, roleChanges, ratio(all.Good, all.Requests))
	switch {
	case all.Cut != 0 || duplicates != 0 || all.MixedUp != 0:
		return merry.Appendf(ErrDemo, "answers were cut, duplicated or mixed up")
	case all.Requests < minRequests:
		return merry.Appendf(ErrDemo, "%d requests, at least %d are needed", all.Requests, minRequests)
	}
	return nil
}

func printDeployment(w *os.File, name string, r *demoResult) {
	fmt.Fprintf(w, "\n%s: engine %s drained and activated again, entry daemon of %s stopped gracefully\n", name, r.drained, r.stopped)
	fmt.Fprintf(w, "  configuration change in force on all daemons after %s\n", describe(r.inForce))
	fmt.Fprintf(w, "  log appends per second and data centre: %.2f idle, %.2f busy\n", r.idle, r.busy)
	for i, p := range demoPhases(0, 0) {
		printTotals(w, p.Name, r.phases[i])
	}
	total := sum(r.phases)
	printTotals(w, "all", total)
	fmt.Fprintf(w, "  status reads: %d, stale or missing: %d\n", total.Reads, total.StaleReads)
	for _, reason := range slices.Sorted(maps.Keys(total.Reasons)) {
		fmt.Fprintf(w, "  not answered, %s: %d\n", reason, total.Reasons[reason])
	}
	for service, p := range r.stats.Plain {
		fmt.Fprintf(w, "  %s: %d keys, %d executions, %d duplicated\n", service, p.Keys, p.Executions, p.Duplicated)
	}
}

func printTotals(w *os.File, name string, t *Totals) {
	fmt.Fprintf(w, "  %s: %d requests, %d answered, %d refused, %d cut, %d mixed up, goodput %.3f\n",
		name, t.Requests, t.Answered, t.Refused, t.Cut, t.MixedUp, ratio(t.Good, t.Requests))
	fmt.Fprintf(w, "  %s  first token p50 %.0f ms, p95 %.0f ms; between tokens p50 %.1f ms, p95 %.1f ms\n",
		strings.Repeat(" ", len(name)), ms(t.FirstToken.ValueAtQuantile(50)), ms(t.FirstToken.ValueAtQuantile(95)),
		ms(t.Interval.ValueAtQuantile(50)), ms(t.Interval.ValueAtQuantile(95)))
}

// outFile returns a path in the output directory, which it creates.
func outFile(dir, name string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	return filepath.Join(dir, name), nil
}
