package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

const (
	workspaceCount   = 6
	keysPerWorkspace = 3
	// keysMargin is the time beyond ConfigMs that is allowed for delays of the soak and the machine.
	keysMargin      = 500 * time.Millisecond
	minChangeGap    = 200 * time.Millisecond
	maxChangeGap    = 800 * time.Millisecond
	keysFaultGap    = 7 * time.Second
	keysDownTime    = 1500 * time.Millisecond
	keysTargetFault = 100 * time.Millisecond
	keysCallers     = 4 // of each node
	keysCallGap     = 15 * time.Millisecond
	keysRouteTime   = standin.DefaultTimeout
	keysFaultsAfter = 3 * time.Second
	// keyMark is a part of all keys, by which the oracle finds them in headers and logs.
	keyMark = "sk-7d1e"
)

// keysRoutes are the default routes and a public one.
var keysRoutes = append(slices.Clone(standin.Routes), standin.Route{Name: "open", Kind: "safe", Service: "desk", Attempts: 2, Public: true})

// issuedKey is a key and the time in which configurations held it. added is the time at which the
// store had accepted the first of them. dropping and dropped are the times before and after the
// store accepted the first without it, zero if there is none.
type issuedKey struct {
	key, workspace           string
	added, dropping, dropped time.Time
}

// keysRun is a run of the scenario with one seed.
type keysRun struct {
	seed       uint64
	deployment *deployment
	nodes      []*changesNode
	delay      delayMeter

	mu      sync.Mutex // guards the following
	keys    []*issuedKey
	changes int
	calls   []keyedCall
	errs    []error
	kills   int
	outages int
}

func runKeys(binDir, outDir string, seed uint64, duration time.Duration) (string, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", err
	}
	s := &keysRun{seed: seed}
	for i := range workspaceCount * keysPerWorkspace {
		s.keys = append(s.keys, &issuedKey{key: s.newKey(i), workspace: workspaceName(i % workspaceCount), added: time.Now()})
	}
	l := faultsLayout()
	l.routes, l.workspaces, l.logLevel, l.routeTimeout = keysRoutes, s.workspaces(), "debug", keysRouteTime
	dep, err := newDeployment(binDir, outDir, l)
	if err != nil {
		return "", err
	}
	defer dep.close()
	s.deployment = dep
	for _, n := range dep.nodes {
		s.nodes = append(s.nodes, &changesNode{node: n})
		if err := awaitReady(n); err != nil {
			return "", err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var calls, faults sync.WaitGroup
	go s.delay.measure(ctx)
	for i, n := range s.nodes {
		for k := range keysCallers {
			calls.Go(func() { s.sendCalls(ctx, n, fmt.Sprintf("k%d-%d", i, k), s.newRNG(1, 100*i+k)) })
		}
	}
	end := time.Now().Add(duration)
	faults.Go(func() { s.changeKeys(end, s.newRNG(2, 0)) })
	faults.Go(func() { s.disturb(end, s.newRNG(3, 0)) })
	faults.Go(func() { s.disturbTargets(end, s.newRNG(5, 0)) })
	faults.Wait()
	// The last changes have to be in force, too.
	sleep(ctx, configBound+keysMargin+time.Second)
	stop()
	calls.Wait()
	f := s.judge()
	s.report(s.searchLogs(f))
	return s.summary(f), errors.Join(append(s.errs, f.check())...)
}

func workspaceName(i int) string { return fmt.Sprintf("kauri-%d", i) }

func (s *keysRun) newKey(i int) string {
	return fmt.Sprintf("%s-%d-%016x", keyMark, i, s.newRNG(4, i).Uint64())
}

func (s *keysRun) newRNG(series, i int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(1_000_000*series+i)))
}

func (s *keysRun) report(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// workspaces returns the workspaces with the keys that are not dropped.
func (s *keysRun) workspaces() []standin.Workspace {
	all := make([]standin.Workspace, workspaceCount)
	for i := range all {
		all[i].Name = workspaceName(i)
		for _, k := range s.keys {
			if k.workspace == all[i].Name && k.dropping.IsZero() {
				all[i].Keys = append(all[i].Keys, k.key)
			}
		}
	}
	return all
}

// changeKeys drops one key and adds another at a time until end.
func (s *keysRun) changeKeys(end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		sleep(context.Background(), minChangeGap+time.Duration(rng.Int64N(int64(maxChangeGap-minChangeGap))))
		s.mu.Lock()
		var held []*issuedKey
		for _, k := range s.keys {
			if k.dropped.IsZero() {
				held = append(held, k)
			}
		}
		// A quarter of the keys stay for the whole run, so that there are keys which all
		// configurations hold.
		held = held[len(held)/4:]
		drop := held[rng.IntN(len(held))]
		add := &issuedKey{key: s.newKey(len(s.keys)), workspace: workspaceName(rng.IntN(workspaceCount))}
		drop.dropping = time.Now()
		s.keys = append(s.keys, add)
		s.deployment.workspaces = s.workspaces()
		s.deployment.configure()
		add.added, drop.dropped = time.Now(), time.Now()
		s.changes++
		s.mu.Unlock()
	}
}

// disturb kills a node and starts it again, or takes the store away for a while, in turn until end. It
// begins with the store for odd seeds.
func (s *keysRun) disturb(end time.Time, rng *rand.Rand) {
	sleep(context.Background(), keysFaultsAfter)
	for turn := int(s.seed % 2); time.Now().Before(end); turn++ {
		disturbed := s.nodes
		if turn%2 == 0 {
			disturbed = []*changesNode{s.nodes[rng.IntN(len(s.nodes))]}
		}
		for _, n := range disturbed {
			n.faultBegins(time.Now())
		}
		if turn%2 == 0 {
			s.kill(disturbed[0])
		} else {
			s.deployment.store.Down.Store(true)
			// A node that starts meanwhile has no configuration, or one of another node.
			s.kill(disturbed[rng.IntN(len(disturbed))])
			sleep(context.Background(), keysDownTime)
			s.deployment.store.Down.Store(false)
			s.mu.Lock()
			s.outages++
			s.mu.Unlock()
		}
		for _, n := range disturbed {
			n.faultEnds(time.Now())
		}
		sleep(context.Background(), keysFaultGap)
	}
}

// disturbTargets makes one target at a time refuse requests or truncate streams, so that nodes send
// requests again and resume streams.
func (s *keysRun) disturbTargets(end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		t := s.deployment.targets[rng.IntN(len(s.deployment.targets))]
		b := healthyBehaviour
		if b.Refuse = rng.IntN(2) == 0; !b.Refuse {
			b.TruncateAfter = 2
		}
		t.SetBehaviour(b)
		sleep(context.Background(), keysTargetFault)
		t.SetBehaviour(healthyBehaviour)
		sleep(context.Background(), keysTargetFault)
	}
}

func (s *keysRun) kill(n *changesNode) {
	n.signal(syscall.SIGKILL)
	n.waitExit(time.Second)
	s.report(s.deployment.startNode(n.node))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kills++
}

// searchLogs counts the lines of the nodes' logs that contain a key.
func (s *keysRun) searchLogs(f *keysFigures) error {
	for _, n := range s.nodes {
		b, err := os.ReadFile(n.log.Name())
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(b)) {
			f.logLines++
			if strings.Contains(line, keyMark) {
				f.add(keyInLog, fmt.Sprintf("%s logs a key: %.200s", n.name, line))
			}
		}
	}
	return nil
}

func (s *keysRun) summary(f *keysFigures) string {
	var b strings.Builder
	fmt.Fprintf(&b, "timer-delay=%s changes=%d kills=%d outages=%d requests=%d prefills=%d retries=%d resumptions=%d log-lines=%d",
		s.delay.max().Round(time.Millisecond), s.changes, s.kills, s.outages, len(s.calls), f.prefills, f.retries, f.resumptions, f.logLines)
	for _, name := range slices.Sorted(maps.Keys(f.outcomes)) {
		fmt.Fprintf(&b, " %s=%d", name, f.outcomes[name])
	}
	for v := keyRuleFirst; v < keyRuleCount; v++ {
		fmt.Fprintf(&b, " %s=%d", v, f.broken[v])
	}
	return b.String()
}
