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

// ErrFaults reports that a check of a fault scenario failed, or that no such
// scenario exists.
var ErrFaults = merry.New("fault scenarios failed")

// FaultsCmd runs the fault scenarios.
type FaultsCmd struct {
	Bin      string   `default:"bin" type:"existingdir" help:"Directory of the lentilpick binaries."`
	Examples string   `default:"examples" type:"existingdir" help:"Directory of the example deployments."`
	Out      string   `default:"out" help:"Directory for the results, settings files and logs."`
	Seed     uint64   `default:"1" help:"Seed of the load."`
	List     bool     `help:"Print the names of the scenarios and exit."`
	Only     []string `arg:"" optional:"" help:"Scenarios to run; all by default."`
}

// scenario injects one fault into a deployment of real processes under load.
type scenario struct {
	name         string
	loadDuration time.Duration
	// prepare changes the settings files before the processes start. It may be nil.
	prepare func(*scenarioRun) error
	run     func(context.Context, *scenarioRun) error
}

var scenarios = []scenario{
	{"entry-killed", 14 * time.Second, nil, entryKilled},
	{"holder-killed", 18 * time.Second, nil, holderKilled},
	{"holder-paused", 22 * time.Second, nil, holderPaused},
	{"log-outage", 20 * time.Second, nil, logOutage},
	{"log-slow", 18 * time.Second, nil, logSlow},
	{"daemon-cut-off", 24 * time.Second, prepareCutOff, daemonCutOff},
	{"engine-crash", 22 * time.Second, nil, engineCrash},
	{"planned-stops", 26 * time.Second, nil, plannedStops},
}

// faultsNetwork replaces the network of the example's addresses, so that the
// scenarios can run at the same time as the demo.
const faultsNetwork = "127.110"

// scenarioTimeout bounds one scenario, including start and stop of the processes.
const scenarioTimeout = 60 * time.Second

// check is the result of one assertion of a scenario.
type check struct {
	Description string `json:"what"`
	Pass        bool   `json:"pass"`
	Detail      string `json:"detail,omitempty"`
}

// counts holds the request counts of a scenario as seen by the callers, and the
// duplicate executions counted by the stand-ins.
type counts struct {
	Requests   int64            `json:"requests"`
	Answered   int64            `json:"answered"`
	Refused    int64            `json:"refused"`
	Incomplete int64            `json:"cut"`
	Duplicated int64            `json:"duplicated"`
	MixedUp    int64            `json:"mixed_up"`
	StaleReads int64            `json:"stale_reads"`
	Goodput    float64          `json:"goodput"`
	Reasons    map[string]int64 `json:"reasons"`
}

// outcome is the result of one scenario, as written to faults.json.
type outcome struct {
	Scenario string             `json:"scenario"`
	Pass     bool               `json:"pass"`
	Seconds  float64            `json:"seconds"`
	Error    string             `json:"error,omitempty"`
	Checks   []check            `json:"checks"`
	Measured map[string]float64 `json:"measured_seconds"`
	Counts   counts             `json:"counts"`
}

// scenarioRun is the state of a scenario that is being run.
type scenarioRun struct {
	d       *deployment
	outcome *outcome
	relays  relays
	// incompleteAllowed lists the caller addresses of VMs whose responses the
	// scenario may truncate.
	incompleteAllowed []string
}

// addCheck records the result of a check.
func (sc *scenarioRun) addCheck(pass bool, description, format string, args ...any) {
	sc.outcome.Checks = append(sc.outcome.Checks, check{description, pass, fmt.Sprintf(format, args...)})
}

// addMeasurement records a measured duration.
func (sc *scenarioRun) addMeasurement(name string, d time.Duration) {
	sc.outcome.Measured[name] = d.Seconds()
}

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
	chosen, err := selectScenarios(c.Only)
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
	if err := c.writeResults(results); err != nil {
		return err
	}
	if failed > 0 {
		return merry.Appendf(ErrFaults, "%d of %d scenarios failed", failed, len(results))
	}
	return nil
}

func selectScenarios(names []string) ([]scenario, error) {
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

func (c FaultsCmd) writeResults(results []*outcome) error {
	path, err := outputPath(c.Out, "faults.json")
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
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	if err := c.runUnderLoad(ctx, s, o); err != nil {
		o.Error = err.Error()
	}
	o.Seconds = time.Since(start).Seconds()
	o.Pass = o.Error == ""
	for _, k := range o.Checks {
		o.Pass = o.Pass && k.Pass
	}
	return o
}

// runUnderLoad starts a deployment, runs a scenario under load and then checks
// the counts.
func (c FaultsCmd) runUnderLoad(ctx context.Context, s scenario, o *outcome) error {
	out := filepath.Join(c.Out, "faults", s.name)
	d, err := loadDeployment(deploymentOptions{c.Bin, c.Examples, out, faultsNetwork}, "maracas")
	if err != nil {
		return err
	}
	sc := &scenarioRun{d: d, outcome: o}
	defer func() { sc.relays.close() }()
	defer d.procs.stopAll()
	if s.prepare != nil {
		if err := s.prepare(sc); err != nil {
			return err
		}
	}
	if err := d.start(ctx); err != nil {
		return err
	}
	d.spec.Seed = c.Seed
	d.spec.Phases = []Phase{{
		Name: "steady", Duration: s.loadDuration, CompletionsPerSecond: 30, PromptTokens: 800, OutputTokens: 60, CallsPerSecond: 8,
	}}
	done := make(chan []*Totals, 1)
	go func() { done <- NewGenerator(d.spec).Run(ctx) }()
	err = s.run(ctx, sc)
	totals := sum(<-done)
	if err != nil {
		return err
	}
	return sc.checkCounts(totals)
}

func (sc *scenarioRun) checkCounts(t *Totals) error {
	s, err := sc.d.stats()
	if err != nil {
		return err
	}
	var conflicting, stale int64
	for _, e := range s.Engines {
		conflicting += e.OrdersConflicting
		stale += e.StaleApplied
	}
	sc.outcome.Counts = counts{
		Requests: t.Requests, Answered: t.Answered, Refused: t.Refused, Incomplete: t.Incomplete, Duplicated: duplicateExecutions(&s),
		MixedUp: t.MixedUp, StaleReads: t.StaleStatusReads, Goodput: ratio(t.MetDeadlines, t.Requests), Reasons: t.Reasons,
	}
	unexpected := t.Incomplete
	for _, vm := range sc.incompleteAllowed {
		unexpected -= t.IncompleteByVM[vm]
	}
	sc.addCheck(unexpected == 0, "no response is truncated except by the fault itself", "%d cut, %d of them unexpected", t.Incomplete, unexpected)
	sc.addCheck(sc.outcome.Counts.Duplicated == 0, "no keyed request runs twice", "%d duplicated", sc.outcome.Counts.Duplicated)
	sc.addCheck(t.MixedUp == 0, "no response is mixed up", "%d mixed up", t.MixedUp)
	sc.addCheck(t.StaleStatusReads == 0, "no status read is stale", "%d of %d", t.StaleStatusReads, t.StatusReads)
	sc.addCheck(conflicting == 0, "no target receives conflicting orders", "%d", conflicting)
	sc.addCheck(stale == 0, "no stale order takes effect", "%d", stale)
	sc.addCheck(t.Answered > 0, "requests are answered", "%d of %d", t.Answered, t.Requests)
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
		parts = append(parts, fmt.Sprintf("%s%s (%s)", mark, k.Description, k.Detail))
	}
	if o.Error != "" {
		parts = append(parts, "FAILED: "+o.Error)
	}
	n := o.Counts
	fmt.Printf("%s %s: %.0f s, requests=%d answered=%d refused=%d cut=%d duplicated=%d mixed_up=%d goodput=%.3f, not answered %v; %s\n",
		verdict, o.Scenario, o.Seconds, n.Requests, n.Answered, n.Refused, n.Incomplete, n.Duplicated, n.MixedUp, n.Goodput,
		n.Reasons, strings.Join(parts, "; "))
}
