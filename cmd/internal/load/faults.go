package load

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/daemon"
)

// ErrFaults reports that a scenario did not hold what the design promises.
var ErrFaults = merry.New("fault scenarios failed")

// FaultsCmd runs the fault scenarios.
type FaultsCmd struct {
	Bin      string   `default:"bin" type:"existingdir" help:"Directory of the programs."`
	Examples string   `default:"examples" type:"existingdir" help:"Directory of the example deployments."`
	Out      string   `default:"out" help:"Directory for the results, settings and logs."`
	Seed     uint64   `default:"1" help:"Seed of the load."`
	List     bool     `help:"Print the names of the scenarios and exit."`
	Only     []string `arg:"" optional:"" help:"Scenarios to run; all by default."`
}

// scenario is one fault over real processes under load.
type scenario struct {
	name string
	// load is how long the load runs.
	load time.Duration
	// prepare changes the settings before the start; it may be nil.
	prepare func(*bench) error
	run     func(context.Context, *bench) error
}

var scenarios = []scenario{
	{"entry-killed", 14 * time.Second, nil, entryKilled},
	{"holder-killed", 18 * time.Second, nil, holderKilled},
	{"holder-paused", 22 * time.Second, nil, holderPaused},
	{"log-outage", 20 * time.Second, nil, logOutage},
	{"log-slow", 18 * time.Second, nil, logSlow},
	{"daemon-cut-off", 24 * time.Second, prepareCutOff, daemonCutOff},
	{"engine-crash", 22 * time.Second, nil, engineCrash},
}

// faultsNetwork holds the addresses of the scenarios, so that they can run next
// to the demo.
const faultsNetwork = "127.110"

// scenarioLimit bounds one scenario including start and stop.
const scenarioLimit = 60 * time.Second

// check is one statement that a scenario tested.
type check struct {
	What   string `json:"what"`
	Pass   bool   `json:"pass"`
	Detail string `json:"detail,omitempty"`
}

// counts are the client-side counts of a scenario.
type counts struct {
	Requests   int64            `json:"requests"`
	Answered   int64            `json:"answered"`
	Refused    int64            `json:"refused"`
	Cut        int64            `json:"cut"`
	Duplicated int64            `json:"duplicated"`
	MixedUp    int64            `json:"mixed_up"`
	StaleReads int64            `json:"stale_reads"`
	Goodput    float64          `json:"goodput"`
	Reasons    map[string]int64 `json:"reasons"`
}

// outcome is the result of one scenario.
type outcome struct {
	Scenario string             `json:"scenario"`
	Pass     bool               `json:"pass"`
	Seconds  float64            `json:"seconds"`
	Error    string             `json:"error,omitempty"`
	Checks   []check            `json:"checks"`
	Measured map[string]float64 `json:"measured_seconds"`
	Counts   counts             `json:"counts"`
}

// bench is a running deployment in a scenario.
type bench struct {
	d      *deployment
	out    *outcome
	relays relays
	// cutAllowed are the VMs whose answers may be cut by the scenario.
	cutAllowed []string
}

// expect notes a check.
func (b *bench) expect(pass bool, what, format string, args ...any) {
	b.out.Checks = append(b.out.Checks, check{what, pass, fmt.Sprintf(format, args...)})
}

// measured notes a duration.
func (b *bench) measured(what string, d time.Duration) { b.out.Measured[what] = d.Seconds() }

// Run implements the command.
func (c FaultsCmd) Run() error {
	if c.List {
		for _, s := range scenarios {
			fmt.Println(s.name)
		}
		return nil
	}
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	chosen, err := choose(c.Only)
	if err != nil {
		return err
	}
	var results []*outcome
	failed := 0
	for _, s := range chosen {
		o := c.runScenario(ctx, s)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		results = append(results, o)
		printOutcome(o)
		if !o.Pass {
			failed++
		}
	}
	if err := c.write(results); err != nil {
		return err
	}
	if failed > 0 {
		return merry.Appendf(ErrFaults, "%d of %d", failed, len(results))
	}
	return nil
}

func choose(names []string) ([]scenario, error) {
	if len(names) == 0 {
		return scenarios, nil
	}
	var out []scenario
	for _, n := range names {
		found := false
		for _, s := range scenarios {
			if s.name == n {
				out, found = append(out, s), true
			}
		}
		if !found {
			return nil, merry.Appendf(ErrFaults, "no scenario %q", n)
		}
	}
	return out, nil
}

func (c FaultsCmd) write(results []*outcome) error {
	path, err := outFile(c.Out, "faults.json")
	if err != nil {
		return err
	}
	b, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

func (c FaultsCmd) runScenario(ctx context.Context, s scenario) *outcome {
	o := &outcome{Scenario: s.name, Measured: map[string]float64{}}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, scenarioLimit)
	defer cancel()
	if err := c.under(ctx, s, o); err != nil {
		o.Error = err.Error()
	}
	o.Seconds = time.Since(start).Seconds()
	o.Pass = o.Error == ""
	for _, k := range o.Checks {
		o.Pass = o.Pass && k.Pass
	}
	return o
}

// under runs a scenario while the load runs, then checks the counts.
func (c FaultsCmd) under(ctx context.Context, s scenario, o *outcome) error {
	out := filepath.Join(c.Out, "faults", s.name)
	d, err := loadDeployment(places{c.Bin, c.Examples, out, faultsNetwork}, "maracas")
	if err != nil {
		return err
	}
	b := &bench{d: d, out: o}
	defer func() { b.relays.close() }()
	defer d.procs.stopAll()
	if s.prepare != nil {
		if err := s.prepare(b); err != nil {
			return err
		}
	}
	if err := d.start(ctx); err != nil {
		return err
	}
	d.spec.Seed = c.Seed
	d.spec.Phases = []Phase{{
		Name: "steady", Length: s.load, PerSecond: 30, PromptTokens: 800, OutputTokens: 60, CallsPerSecond: 8,
	}}
	done := make(chan []*Totals, 1)
	go func() { done <- NewGenerator(d.spec).Run(ctx) }()
	err = s.run(ctx, b)
	totals := sum(<-done)
	if err != nil {
		return err
	}
	return b.count(totals)
}

func (b *bench) count(t *Totals) error {
	s, err := b.d.stats()
	if err != nil {
		return err
	}
	var conflicting, stale int64
	for _, e := range s.Engines {
		conflicting += e.OrdersConflicting
		stale += e.StaleApplied
	}
	b.out.Counts = counts{
		Requests: t.Requests, Answered: t.Answered, Refused: t.Refused, Cut: t.Cut, Duplicated: duplicated(&s),
		MixedUp: t.MixedUp, StaleReads: t.StaleReads, Goodput: ratio(t.Good, t.Requests), Reasons: t.Reasons,
	}
	unexpected := t.Cut
	for _, vm := range b.cutAllowed {
		unexpected -= t.CutAt[vm]
	}
	b.expect(unexpected == 0, "no answer is cut but by the fault itself", "%d cut, %d of them unexpected", t.Cut, unexpected)
	b.expect(b.out.Counts.Duplicated == 0, "no keyed request runs twice", "%d duplicated", b.out.Counts.Duplicated)
	b.expect(t.MixedUp == 0, "no answer is mixed up", "%d mixed up", t.MixedUp)
	b.expect(t.StaleReads == 0, "no status read is stale", "%d of %d", t.StaleReads, t.Reads)
	b.expect(conflicting == 0, "no target gets conflicting orders", "%d", conflicting)
	b.expect(stale == 0, "no stale order takes effect", "%d", stale)
	b.expect(t.Answered > 0, "requests are answered", "%d of %d", t.Answered, t.Requests)
	return nil
}

func printOutcome(o *outcome) {
	verdict := "pass"
	if !o.Pass {
		verdict = "FAIL"
	}
	var parts []string
	for _, k := range o.Checks {
		mark := ""
		if !k.Pass {
			mark = "FAILED: "
		}
		parts = append(parts, fmt.Sprintf("%s%s (%s)", mark, k.What, k.Detail))
	}
	if o.Error != "" {
		parts = append(parts, "FAILED: "+o.Error)
	}
	n := o.Counts
	fmt.Printf("%s %s: %.0f s, requests=%d answered=%d refused=%d cut=%d duplicated=%d mixed_up=%d goodput=%.3f, not answered %v; %s\n",
		verdict, o.Scenario, o.Seconds, n.Requests, n.Answered, n.Refused, n.Cut, n.Duplicated, n.MixedUp, n.Goodput,
		n.Reasons, strings.Join(parts, "; "))
}
