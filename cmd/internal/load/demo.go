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

// ErrDemo reports that the demo did not complete or that a check failed.
var ErrDemo = merry.New("demo failed")

// DemoCmd runs the demo.
type DemoCmd struct {
	Bin      string        `default:"bin" type:"existingdir" help:"Directory of the lentilpick binaries."`
	Examples string        `default:"examples" type:"existingdir" help:"Directory of the example deployments."`
	Out      string        `default:"out/demo" help:"Directory for the settings files and logs of the processes."`
	Phase    time.Duration `default:"18s" help:"Length of each phase of the load."`
	Seed     uint64        `default:"1" help:"Seed of the load."`
	Calls    float64       `default:"4" help:"Calls with an idempotency key per second in each deployment."`
}

// minRequests is the minimum number of requests for the demo to pass.
const minRequests = 2000

// demoTimeout bounds the demo from start to report.
const demoTimeout = 2 * time.Minute

// idleWindow is the period over which log appends are counted before the load
// starts.
const idleWindow = 6 * time.Second

// demoResult holds the measurements of one deployment.
type demoResult struct {
	phases []*Totals
	stats  standins.Stats
	// idleAppendRate and busyAppendRate are log appends per second and data centre,
	// before and under load.
	idleAppendRate, busyAppendRate float64
	changeInForceAfter             time.Duration
	drainedEngine                  string
	stoppedVM                      string
}

// Run implements the command.
func (c DemoCmd) Run() error {
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	ctx, end := context.WithTimeoutCause(ctx, demoTimeout, merry.Appendf(ErrDemo, "demo not complete after %s", demoTimeout))
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
				cancel() // stops the other deployment
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
	d, err := loadDeployment(deploymentOptions{binDir: c.Bin, examplesDir: c.Examples, outDir: c.Out}, name)
	if err != nil {
		return err
	}
	defer d.procs.stopAll()
	if err := d.start(ctx); err != nil {
		return err
	}
	if r.idleAppendRate, err = d.appendRate(ctx, func() { daemon.Sleep(ctx, idleWindow) }); err != nil {
		return err
	}
	d.spec.Seed, d.spec.Phases = c.Seed, demoPhases(c.Phase, c.Calls)
	disrupted := make(chan error, 1)
	r.busyAppendRate, err = d.appendRate(ctx, func() {
		go func() { disrupted <- d.runDisruptions(ctx, c.Phase, r) }()
		r.phases = NewGenerator(d.spec).Run(ctx)
	})
	if e := <-disrupted; e != nil {
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

// demoPhases returns phases that shift the load from long prompts to long
// outputs and back.
func demoPhases(length time.Duration, calls float64) []Phase {
	prompts := Phase{Name: "long prompts", Duration: length, CompletionsPerSecond: 24, PromptTokens: 2500, OutputTokens: 20, CallsPerSecond: calls}
	outputs := Phase{Name: "long outputs", Duration: length, CompletionsPerSecond: 24, PromptTokens: 300, OutputTokens: 150, CallsPerSecond: calls}
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

// runDisruptions drains an engine, stops an entry daemon gracefully, changes the
// configuration and reactivates the engine while the load runs.
func (d *deployment) runDisruptions(ctx context.Context, phase time.Duration, r *demoResult) error {
	r.drainedEngine = d.engines[len(d.engines)-1].ID
	last := d.vms[len(d.vms)-1]
	r.stoppedVM = last.Name
	steps := []struct {
		after time.Duration
		do    func() error
	}{
		{phase / 2, func() error { return d.runCtl(ctx, d.vms[1], "drain", r.drainedEngine) }},
		{phase / 2, func() error { return d.procs.terminate("entry-"+last.Name, stopTimeout) }},
		{phase / 4, func() error { return d.changeConfiguration(ctx, r) }},
		{phase / 4, func() error { return d.runCtl(ctx, d.vms[3], "activate", r.drainedEngine) }},
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

// changeConfiguration adds a workspace and measures the time until the change
// is in force on all running daemons.
func (d *deployment) changeConfiguration(ctx context.Context, r *demoResult) error {
	start := time.Now()
	revision, err := newOperator(d.vms[2]).addWorkspace(ctx, "newcomer")
	if err != nil {
		return err
	}
	stopped := "entry-" + r.stoppedVM
	daemons := slices.DeleteFunc(daemonAddresses(d.vms), func(a daemonAddress) bool { return a.name == stopped })
	r.changeInForceAfter, err = awaitInForce(ctx, daemons, revision, start)
	return err
}

// report prints the results. It returns ErrDemo if a response was truncated,
// duplicated or mixed up, or if too few requests were sent.
func report(w *os.File, names []string, results []demoResult) error {
	all := newTotals()
	var duplicates, roleChanges, conflicting int64
	for i, n := range names {
		r := &results[i]
		printDeployment(w, n, r)
		all.add(sum(r.phases))
		duplicates += duplicateExecutions(&r.stats)
		for _, e := range r.stats.Engines {
			roleChanges += e.RoleChanges
			conflicting += e.OrdersConflicting
		}
	}
	fmt.Fprintf(w, "\nconflicting orders: %d\n", conflicting)
	fmt.Fprintf(w, "demo: requests=%d answered=%d refused=%d cut=%d duplicated=%d mixed_up=%d role_changes=%d goodput=%.3f\n",
		all.Requests, all.Answered, all.Refused, all.Incomplete, duplicates, all.MixedUp, roleChanges, ratio(all.MetDeadlines, all.Requests))
	switch {
	case all.Incomplete != 0 || duplicates != 0 || all.MixedUp != 0:
		return merry.Appendf(ErrDemo, "%d responses cut, %d duplicated, %d mixed up; all must be 0", all.Incomplete, duplicates, all.MixedUp)
	case all.Requests < minRequests:
		return merry.Appendf(ErrDemo, "%d requests sent, want at least %d", all.Requests, minRequests)
	}
	return nil
}

func printDeployment(w *os.File, name string, r *demoResult) {
	fmt.Fprintf(w, "\n%s: engine %s drained and activated again, entry daemon of %s stopped gracefully\n", name, r.drainedEngine, r.stoppedVM)
	fmt.Fprintf(w, "  configuration change in force on all daemons after %s\n", formatSeconds(r.changeInForceAfter))
	fmt.Fprintf(w, "  log appends per second and data centre: %.2f idle, %.2f busy\n", r.idleAppendRate, r.busyAppendRate)
	for i, p := range demoPhases(0, 0) {
		printTotals(w, p.Name, r.phases[i])
	}
	total := sum(r.phases)
	printTotals(w, "all", total)
	fmt.Fprintf(w, "  status reads: %d, stale or missing: %d\n", total.StatusReads, total.StaleStatusReads)
	for _, reason := range slices.Sorted(maps.Keys(total.Reasons)) {
		fmt.Fprintf(w, "  not answered, %s: %d\n", reason, total.Reasons[reason])
	}
	for service, p := range r.stats.Plain {
		fmt.Fprintf(w, "  %s: %d keys, %d executions, %d duplicated\n", service, p.Keys, p.Executions, p.Duplicated)
	}
}

func printTotals(w *os.File, name string, t *Totals) {
	fmt.Fprintf(w, "  %s: %d requests, %d answered, %d refused, %d cut, %d mixed up, goodput %.3f\n",
		name, t.Requests, t.Answered, t.Refused, t.Incomplete, t.MixedUp, ratio(t.MetDeadlines, t.Requests))
	fmt.Fprintf(w, "  %s  first token p50 %.0f ms, p95 %.0f ms; between tokens p50 %.1f ms, p95 %.1f ms\n",
		strings.Repeat(" ", len(name)), ms(t.FirstToken.ValueAtQuantile(50)), ms(t.FirstToken.ValueAtQuantile(95)),
		ms(t.TokenInterval.ValueAtQuantile(50)), ms(t.TokenInterval.ValueAtQuantile(95)))
}

// outputPath creates the directory dir and returns the path of the file name
// in it.
func outputPath(dir, name string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	return filepath.Join(dir, name), nil
}
