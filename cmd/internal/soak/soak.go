package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// Cmd runs the soak for one or more seeds.
type Cmd struct {
	Bin      string           `default:"bin" help:"Directory of the program binaries."`
	Out      string           `default:"out/soak" help:"Directory for settings and logs, with a subdirectory for each seed."`
	Seed     uint64           `default:"1" help:"First seed."`
	Runs     int              `default:"1" help:"Number of consecutive seeds to run, one after the other."`
	Duration time.Duration    `default:"8s" help:"Duration of fault injection in each run."`
	Scenario string           `default:"faults" enum:"faults,stops,changes,keys,versions,cuts" help:"faults: random faults of all kinds; stops: series of planned stops; changes: series of changes of a large configuration; keys: workspaces whose keys change; versions: targets of several software versions that crash under streams; cuts: nodes lose their links to targets."`
	Stops    StopsSettings    `embed:"" prefix:"stops-"`
	Changes  ChangesSettings  `embed:"" prefix:"changes-"`
	Versions VersionsSettings `embed:"" prefix:"versions-"`
	Cuts     CutsSettings     `embed:"" prefix:"cuts-"`
}

// Run implements the command.
func (c *Cmd) Run() error {
	var failed error
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		summary, err := c.runSeed(seed)
		fmt.Printf("soak: seed=%d %s\n", seed, summary)
		if err != nil {
			fmt.Printf("soak: seed=%d FAILED: %v\n", seed, err)
			failed = merry.Appendf(ErrSoak, "seed %d", seed)
		}
	}
	return failed
}

func (c *Cmd) runSeed(seed uint64) (string, error) {
	out := fmt.Sprintf("%s/%d", c.Out, seed)
	switch c.Scenario {
	case "stops":
		return runStops(c.Bin, out, seed, c.Duration, c.Stops)
	case "changes":
		return runChanges(c.Bin, out, seed, c.Duration, c.Changes)
	case "keys":
		return runKeys(c.Bin, out, seed, c.Duration)
	case "versions":
		return runVersions(c.Bin, out, seed, c.Duration, c.Versions)
	case "cuts":
		return runCuts(c.Bin, out, seed, c.Duration, c.Cuts)
	}
	return runFaults(c.Bin, out, seed, c.Duration)
}

const (
	startTimeout    = 10 * time.Second
	recoveryTimeout = 12 * time.Second
	// maxFaultInterval is the longest time between the starts of two faults. It is shorter
	// than maxFaultDuration, so that faults overlap.
	maxFaultInterval = 900 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// soak is the state of a run with one seed.
type soak struct {
	deployment     *deployment
	callers        callers
	rng            *rand.Rand
	recoveries     sync.WaitGroup
	mu             sync.Mutex // guards errs, and the disturbances and restarts of nodes and targets
	errs           []error
	faultsInjected int
}

func runFaults(binDir, outDir string, seed uint64, faultDuration time.Duration) (string, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", err
	}
	dep, err := newDeployment(binDir, outDir, faultsLayout())
	if err != nil {
		return "", err
	}
	defer dep.close()
	s := &soak{deployment: dep, rng: rand.New(rand.NewPCG(seed, 0))}
	s.callers.deployment = dep
	if !s.waitRecovered(startTimeout) {
		return "", fmt.Errorf("nodes did not serve all routes within %v of their start", startTimeout)
	}
	ctx, stop := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	s.callers.start(ctx, seed, &calls)
	s.injectFaults(time.Now().Add(faultDuration))
	s.recoveries.Wait()
	if !s.waitRecovered(recoveryTimeout) {
		s.addError(fmt.Errorf("nodes did not serve all routes within %v after the last fault", recoveryTimeout))
	}
	stop()
	calls.Wait()
	s.addError(s.callers.check(dep.targets))
	s.addError(s.checkOrders())
	return s.summary(), errors.Join(s.errs...)
}

func (s *soak) addError(err error) {
	if err != nil {
		s.mu.Lock()
		s.errs = append(s.errs, err)
		s.mu.Unlock()
	}
}

func (s *soak) summary() string {
	counts := map[string]int{}
	for _, o := range s.callers.outcomes {
		switch {
		case o.cancelled:
			counts["cancelled"]++
		case o.complete && o.status == http.StatusOK:
			counts["answered"]++
		case o.refused():
			counts["refused"]++
		default:
			counts["failed"]++
		}
	}
	return fmt.Sprintf("requests=%d answered=%d refused=%d failed=%d left=%d faults=%d",
		len(s.callers.outcomes), counts["answered"], counts["refused"], counts["failed"], counts["cancelled"], s.faultsInjected)
}

// injectFaults starts random faults until end. Each lasts for a random time, concurrently
// with the others.
func (s *soak) injectFaults(end time.Time) {
	faults := []func(d time.Duration){
		s.killNode, s.pauseNode, s.stopNode, s.degradeStoreLink, s.failStore, s.clearStore,
		s.degradeTargetLink, s.resetTargetLink, s.degradeTarget, s.drainTarget, s.leaveTarget, s.crashEngine, s.changeConfiguration, s.dropStoreResponses,
	}
	for time.Now().Before(end) {
		f := faults[s.rng.IntN(len(faults))]
		d := time.Duration(s.rng.Int64N(int64(maxFaultDuration)))
		s.faultsInjected++
		f(d)
		sleep(context.Background(), time.Duration(s.rng.Int64N(int64(maxFaultInterval))))
	}
}

// afterFault runs f once the duration d of a fault is over.
func (s *soak) afterFault(d time.Duration, f func()) {
	s.recoveries.Go(func() {
		sleep(context.Background(), d)
		f()
	})
}

func (s *soak) randomNode() *node             { return s.deployment.nodes[s.rng.IntN(len(s.deployment.nodes))] }
func (s *soak) randomTarget() int             { return s.rng.IntN(len(s.deployment.targets)) }
func (s *soak) withLock(f func())             { s.mu.Lock(); defer s.mu.Unlock(); f() }
func (s *soak) endDisturbance(n *node) func() { return func() { n.disturbedUntil = time.Now() } }

// claimRestart reserves the restart of a node's process for the calling fault. It returns false
// if another fault has already reserved it.
func (s *soak) claimRestart(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.restarting {
		return false
	}
	n.restarting = true
	return true
}

func (s *soak) restart(n *node) {
	s.addError(s.deployment.startNode(n))
	s.withLock(func() { n.restarting = false })
}

// killNode kills a node with SIGKILL, even during a planned stop.
func (s *soak) killNode(d time.Duration) {
	n := s.randomNode()
	s.withLock(func() { n.disturbedUntil = time.Now().Add(time.Hour) })
	claimed := s.claimRestart(n)
	n.signal(syscall.SIGKILL)
	s.afterFault(d, func() {
		if claimed {
			n.waitExit(time.Second)
			s.restart(n)
		}
		s.withLock(s.endDisturbance(n))
	})
}

func (s *soak) pauseNode(d time.Duration) {
	n := s.randomNode()
	s.withLock(func() { n.disturbedUntil = time.Now().Add(time.Hour); n.signal(syscall.SIGSTOP) })
	s.afterFault(d, func() { s.withLock(func() { n.signal(syscall.SIGCONT); n.disturbedUntil = time.Now() }) })
}

// stopNode stops a node with SIGTERM and starts it again. The stop must not interrupt a request,
// unless another fault has disturbed the node or a target.
func (s *soak) stopNode(time.Duration) {
	n := s.randomNode()
	from := time.Now()
	n.signal(syscall.SIGTERM)
	if !s.claimRestart(n) {
		return
	}
	s.recoveries.Go(func() {
		if !n.waitExit(stopTimeout + time.Second) {
			var disturbed bool
			s.withLock(func() { disturbed = n.disturbedUntil.After(from) })
			if !disturbed {
				s.addError(fmt.Errorf("%s did not exit within %v of SIGTERM", n.name, stopTimeout+time.Second))
			}
			n.signal(syscall.SIGKILL)
			n.waitExit(time.Second)
		}
		to := time.Now()
		s.withLock(func() {
			if n.disturbedUntil.Before(from.Add(-time.Second)) && s.targetsUndisturbedSince(from) {
				if interrupted := s.callers.interruptedByStop(n, from, to); len(interrupted) > 0 {
					s.errs = append(s.errs, fmt.Errorf("%s: planned stop interrupted requests %v", n.name, interrupted))
				}
			}
		})
		s.restart(n)
	})
}

// targetsUndisturbedSince reports whether the last disturbance of a target ended more than 3 s
// before from. The caller must hold s.mu.
func (s *soak) targetsUndisturbedSince(from time.Time) bool {
	return s.deployment.targetsDisturbedUntil.Before(from.Add(-3 * time.Second))
}

// degradeStoreLink delays or blocks the traffic between a node and the store for the duration d.
func (s *soak) degradeStoreLink(d time.Duration) {
	n := s.randomNode()
	n.storeLink.setFault(1 + fault(s.rng.IntN(int(faultCount)-1)))
	s.afterFault(d, func() { n.storeLink.setFault(faultNone); n.storeLink.reset() })
}

func (s *soak) failStore(d time.Duration) {
	s.deployment.store.Down.Store(true)
	s.afterFault(d, func() { s.deployment.store.Down.Store(false) })
}

func (s *soak) dropStoreResponses(d time.Duration) {
	s.deployment.store.LoseResponses.Store(true)
	s.afterFault(d, func() { s.deployment.store.LoseResponses.Store(false) })
}

func (s *soak) clearStore(time.Duration) { s.deployment.store.DropAllRecords() }

func (s *soak) changeConfiguration(time.Duration) { s.deployment.configure() }

// markTargetsDisturbed records that a fault disturbs targets for the duration d.
func (s *soak) markTargetsDisturbed(d time.Duration) {
	s.withLock(func() { s.deployment.targetsDisturbedUntil = time.Now().Add(d) })
}

func (s *soak) degradeTargetLink(d time.Duration) {
	l := s.deployment.targetLinks[s.randomTarget()]
	s.markTargetsDisturbed(d)
	l.setFault(1 + fault(s.rng.IntN(int(faultCount)-1)))
	s.afterFault(d, func() { l.setFault(faultNone) })
}

func (s *soak) resetTargetLink(time.Duration) {
	s.markTargetsDisturbed(0)
	s.deployment.targetLinks[s.randomTarget()].reset()
}

// degradeTarget makes a target refuse, request pauses, declare a limit, fail, hang, truncate streams, break off or
// duplicate responses, send parts of events without end, lose KV caches or run 20 times slower for the
// duration d.
func (s *soak) degradeTarget(d time.Duration) {
	t := s.deployment.targets[s.randomTarget()]
	s.markTargetsDisturbed(d)
	b := healthyBehaviour
	switch s.rng.IntN(11) {
	case 0:
		b.Refuse = true
	case 1:
		b.Fail = true
	case 2:
		b.Unresponsive = true
	case 3:
		b.TruncateAfter = 2
	case 4:
		b.LoseHandles = true
	case 5:
		b.Refuse, b.RetryAfter = true, "0.5"
	case 6:
		b.BreakAt = standin.BreakHead + standin.BreakPosition(s.rng.IntN(int(standin.BreakEvent)))
	case 7:
		b.DuplicateAfter = time.Millisecond
	case 8:
		b.Limit = "4"
	case 9:
		b.TrickleEvents = 20 * time.Millisecond
	default:
		b.Work = 20 * healthyBehaviour.Work
	}
	t.SetBehaviour(b)
	s.afterFault(d, func() { t.SetBehaviour(healthyBehaviour) })
}

// leaveTarget makes a target declare in its responses that it is leaving for the duration d, and starts
// it again under its ID then.
func (s *soak) leaveTarget(d time.Duration) {
	t := s.deployment.targets[s.randomTarget()]
	b := healthyBehaviour
	b.Leaving = true
	t.SetBehaviour(b)
	s.afterFault(d, func() {
		t.SetBehaviour(healthyBehaviour)
		// It has not crashed, so that it does not listen again, which could fail.
		_ = t.Restart()
	})
}

// crashEngine makes a target crash under the next stream, before its first event or after one or
// several, and starts it again under its ID after the duration d. All prompts have the part under
// which it crashes, and are still served afterwards.
func (s *soak) crashEngine(d time.Duration) {
	t := s.deployment.targets[s.randomTarget()]
	s.markTargetsDisturbed(d)
	b := healthyBehaviour
	b.CrashOnPart = standin.SharedPart
	b.CrashAfter = s.faultsInjected % standin.Events
	t.SetBehaviour(b)
	s.afterFault(d, func() {
		t.SetBehaviour(healthyBehaviour)
		s.addError(t.Restart())
	})
}

// drainTarget puts a target into the draining state for the duration d.
func (s *soak) drainTarget(d time.Duration) {
	t := s.deployment.targets[s.randomTarget()]
	t.SetDraining(true)
	s.afterFault(d, func() { t.SetDraining(false) })
}

// waitRecovered waits until every node is ready and answers a request of each route. It returns
// false if limit is exceeded.
func (s *soak) waitRecovered(limit time.Duration) bool {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range s.deployment.nodes {
		for i, r := range standin.Routes {
			for k := 0; !s.servesRoute(client, n, fmt.Sprintf("c%d-%d-%d-%s", rand.Uint64(), i, k, n.name), r); k++ {
				if time.Now().After(end) {
					return false
				}
				sleep(context.Background(), 50*time.Millisecond)
			}
		}
	}
	return true
}

func (s *soak) servesRoute(client *http.Client, n *node, id string, r standin.Route) bool {
	resp, err := client.Get("http://" + n.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	o := send(client, n, id, r, false)
	return resp.StatusCode == http.StatusOK && o.complete && o.status == http.StatusOK
}

// checkOrders checks that no target accepted orders of two holders with one fencing number,
// or an order with a lower fencing number after one with a higher.
func (s *soak) checkOrders() error {
	var errs []error
	for _, t := range s.deployment.targets {
		holders := map[int64]string{}
		last := int64(0)
		for _, o := range t.Orders() {
			if o.Status != http.StatusAccepted {
				continue
			}
			if h := holders[o.Fence]; h != "" && h != o.Holder {
				errs = append(errs, fmt.Errorf("%s accepted orders of %s and %s with fencing number %d", t.ID, h, o.Holder, o.Fence))
			}
			if o.Fence < last {
				errs = append(errs, fmt.Errorf("%s accepted an order of %s with fencing number %d after one with %d", t.ID, o.Holder, o.Fence, last))
			}
			holders[o.Fence], last = o.Holder, o.Fence
		}
	}
	return errors.Join(errs...)
}
