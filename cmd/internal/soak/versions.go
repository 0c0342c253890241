package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// VersionsSettings are the settings of the scenario of several software versions.
type VersionsSettings struct {
	Warmup  time.Duration `default:"14s" help:"Time between the start of the nodes and that of the callers and faults."`
	Callers int           `default:"40" help:"Number of callers."`
	Beside  []string      `default:"kills,swaps,release,resets" enum:"none,kills,swaps,release,resets" help:"Beside crashes of targets: nodes are killed, one and then all at once, in turn; connections of callers break; targets come back as another version; a release replaces the first version."`
}

const (
	versionsEvents        = 60
	versionsEventInterval = 40 * time.Millisecond
	versionsTimeout       = 6 * time.Second
	prefillEngines        = 4
	decodeEngines         = 10
	// A target crashes at intervals between these and is back after crashedTime.
	minCrashInterval = 700 * time.Millisecond
	maxCrashInterval = 1500 * time.Millisecond
	crashedTime      = 1500 * time.Millisecond
	swapPercent      = 30
	// resetPercent is the percentage of requests whose connection breaks during the stream.
	resetPercent = 20
	// maxRegisterDelay is the longest time for which the store has the registration of the life
	// before of a target that is back.
	maxRegisterDelay = 1500 * time.Millisecond
	firstKill        = 3 * time.Second
	killInterval     = 8 * time.Second
	killedTime       = 400 * time.Millisecond
	// releaseStep is the time between the replacements of two targets in a release.
	releaseStep = 600 * time.Millisecond
)

// softwareVersions are the versions of the targets. A release replaces the first by the last.
var softwareVersions = []string{"v1", "v2", "v3"}

// engineLife is a time during which a target served as a version. ended is zero while it does.
type engineLife struct {
	version      string
	began, ended time.Time
}

// versionsRun is a run of the scenario with one seed.
type versionsRun struct {
	VersionsSettings
	seed       uint64
	deployment *deployment
	nodes      []*changesNode
	delay      delayMeter

	mu       sync.Mutex // guards the following
	lives    map[string][]engineLife
	busy     map[string]bool // targets that a fault or the release has taken
	released bool            // the release has begun
	streams  []versionedStream
	errs     []error
	crashes  int
	swaps    int
	kills    int
}

func versionsLayout() layout {
	l := layout{
		dataCentres: 2, behaviour: standin.Behaviour{Work: versionsEventInterval, TokensPerMs: 50, Events: versionsEvents, SignEvents: true},
		routeTimeout: versionsTimeout, prefillShare: 1000 * prefillEngines / (prefillEngines + decodeEngines),
		versions: softwareVersions[:2], direct: true,
	}
	for i := range prefillEngines {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-p%d", i), "llm", "prefill"})
	}
	for i := range decodeEngines {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-d%d", i), "llm", "decode"})
	}
	return l
}

func runVersions(binDir, outDir string, seed uint64, duration time.Duration, settings VersionsSettings) (string, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", err
	}
	dep, err := newDeployment(binDir, outDir, versionsLayout())
	if err != nil {
		return "", err
	}
	defer dep.close()
	s := &versionsRun{VersionsSettings: settings, seed: seed, deployment: dep, lives: map[string][]engineLife{}, busy: map[string]bool{}}
	for _, n := range dep.nodes {
		k := &changesNode{node: n}
		s.nodes = append(s.nodes, k)
		if err := awaitReady(n); err != nil {
			return "", err
		}
	}
	for _, t := range dep.targets {
		s.lives[t.ID] = []engineLife{{version: t.Version(), began: time.Now()}}
	}
	sleep(context.Background(), settings.Warmup)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var calls, faults sync.WaitGroup
	go s.delay.measure(ctx)
	for i := range s.Callers {
		calls.Go(func() { s.sendStreams(ctx, i, s.newRNG(1, i)) })
	}
	end := time.Now().Add(duration)
	faults.Go(func() { s.crashEngines(end, &faults, s.newRNG(2, 0)) })
	if slices.Contains(s.Beside, "kills") {
		faults.Go(func() { s.killNodes(end, s.newRNG(3, 0)) })
	}
	if slices.Contains(s.Beside, "release") {
		faults.Go(func() { s.release(duration / 2) })
	}
	faults.Wait()
	stop()
	calls.Wait()
	figures := s.judge()
	return s.summary(figures), errors.Join(append(s.errs, figures.check())...)
}

func (s *versionsRun) newRNG(series, i int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(1_000_000*series+i)))
}

func (s *versionsRun) report(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// claim reserves a target. It returns false if a fault or the release has it.
func (s *versionsRun) claim(t *standin.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[t.ID] {
		return false
	}
	s.busy[t.ID] = true
	return true
}

func (s *versionsRun) crash(t *standin.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Crash()
	lives := s.lives[t.ID]
	lives[len(lives)-1].ended = time.Now()
	s.crashes++
}

// restart brings a target back as a version and releases it.
func (s *versionsRun) restart(t *standin.Target, version string, registerAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != t.Version() {
		s.swaps++
	}
	if err := t.RestartAs(version, registerAfter); err != nil {
		s.errs = append(s.errs, err)
		return
	}
	s.lives[t.ID] = append(s.lives[t.ID], engineLife{version: version, began: time.Now().Add(registerAfter)})
	s.busy[t.ID] = false
}

// nextVersion returns the version as which a target comes back.
func (s *versionsRun) nextVersion(now string, swap bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	choices := softwareVersions[:2]
	if s.released {
		choices = softwareVersions[1:]
	}
	i := slices.Index(choices, now)
	switch {
	case i < 0:
		return choices[1]
	case swap:
		return choices[1-i]
	}
	return now
}

// crashEngines crashes decode engines until end.
func (s *versionsRun) crashEngines(end time.Time, faults *sync.WaitGroup, rng *rand.Rand) {
	for {
		sleep(context.Background(), minCrashInterval+time.Duration(rng.Int64N(int64(maxCrashInterval-minCrashInterval))))
		if !time.Now().Before(end) {
			return
		}
		t := s.deployment.targets[prefillEngines+rng.IntN(decodeEngines)]
		swap := rng.IntN(100) < swapPercent && slices.Contains(s.Beside, "swaps")
		registerAfter := time.Duration(rng.Int64N(int64(maxRegisterDelay)))
		if rng.IntN(2) == 0 {
			registerAfter = 0
		}
		if !s.claim(t) {
			continue
		}
		s.crash(t)
		faults.Go(func() {
			sleep(context.Background(), crashedTime)
			s.restart(t, s.nextVersion(t.Version(), swap), registerAfter)
		})
	}
}

// release replaces the targets of the first version by those of the last, one after the other,
// from a time on.
func (s *versionsRun) release(after time.Duration) {
	sleep(context.Background(), after)
	s.mu.Lock()
	s.released = true
	s.mu.Unlock()
	for _, t := range s.deployment.targets {
		if t.Version() != softwareVersions[0] || !s.claim(t) {
			continue
		}
		t.SetDraining(true)
		sleep(context.Background(), releaseStep)
		s.crash(t)
		s.restart(t, softwareVersions[2], 0)
	}
}

// killNodes kills one node and then all of them at once, in turn, and starts them again. It begins
// with all of them for odd seeds.
func (s *versionsRun) killNodes(end time.Time, rng *rand.Rand) {
	sleep(context.Background(), firstKill)
	for turn := int(s.seed % 2); time.Now().Before(end); turn++ {
		killed := s.nodes
		if turn%2 == 0 {
			killed = []*changesNode{s.nodes[rng.IntN(len(s.nodes))]}
		}
		for _, n := range killed {
			n.faultBegins(time.Now())
			n.signal(syscall.SIGKILL)
		}
		sleep(context.Background(), killedTime)
		for _, n := range killed {
			n.waitExit(time.Second)
			s.report(s.deployment.startNode(n.node))
		}
		for _, n := range killed {
			s.report(awaitReady(n.node))
			n.faultEnds(time.Now())
		}
		s.mu.Lock()
		s.kills += len(killed)
		s.mu.Unlock()
		sleep(context.Background(), killInterval)
	}
}

func awaitReady(n *node) error {
	for limit := time.Now().Add(startTimeout); !n.isReady(); sleep(context.Background(), readyPollInterval) {
		if time.Now().After(limit) {
			return merry.Appendf(ErrSoak, "%s is not ready within %v of its start", n.name, startTimeout)
		}
	}
	return nil
}
