package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// CutsSettings are the settings of the scenario of nodes that lose their links to targets.
type CutsSettings struct {
	Nodes   int           `default:"6" help:"Number of nodes, in two data centres."`
	Callers int           `default:"4" help:"Number of callers of each node. Odd ones open a connection for each request."`
	Think   time.Duration `default:"200ms" help:"Longest time between two requests of a caller."`
	Length  time.Duration `default:"9s" help:"Duration of each cut."`
	Pause   time.Duration `default:"5s" help:"Time between the end of a cut and the begin of the next one."`
	How     []string      `default:"hang,reset,dials,requests,responses,close" enum:"hang,reset,dials,requests,responses,close" help:"Kinds of cuts, one of which is drawn for each: open connections hang, are reset, live on, or hang in one direction, and new ones get no response; close: all are reset."`
	Who     []string      `default:"one,most,all" enum:"one,most,all" help:"Nodes of a data centre that are cut, one of which is drawn for each cut."`
	Partial int           `default:"20" help:"Percentage of cuts, after the first, that leave some targets reachable."`
	Beside  []string      `default:"kills,stops,config,store,silence" enum:"none,kills,stops,config,store,silence" help:"Faults beside the cuts: nodes are killed or stopped as planned, the configuration changes, the store is away, sound targets are silent for 1.0 to 1.2 s."`
	Strict  bool          `help:"Fails also if nodes with a cut serve less than 0.97 of the share of the others from 1 s after its begin."`
}

func (s *CutsSettings) beside(fault string) bool { return slices.Contains(s.Beside, fault) }

const (
	cutsPrefills   = 4
	cutsDecodes    = 5
	cutsPlain      = 5
	cutsWorkspaces = 3
	// cutsEventInterval keeps a stream of versionsEvents events below half a second.
	cutsEventInterval = 6 * time.Millisecond
	cutsTimeout       = 3 * time.Second
	// cutsWarmup is the time with traffic and without faults before the first cut. The shares of
	// first tries that are served in it are those to which shares beside cuts are compared.
	cutsWarmup = 4 * time.Second
	// minSoundSilence and maxSoundSilence bound the silence of sound targets, which is no impairment by the
	// rules of the platform.
	minSoundSilence    = 1000 * time.Millisecond
	maxSoundSilence    = 1200 * time.Millisecond
	soundSilentPercent = 60 // of the targets of a service
	maxSilenceGap      = 6 * time.Second
	maxCutsConfigGap   = 2 * time.Second
	maxCutsKillGap     = 8 * time.Second
	maxCutsStopGap     = 10 * time.Second
	maxCutsStoreGap    = 8 * time.Second
	cutsStoreAway      = 1500 * time.Millisecond
	cutsKilledTime     = 400 * time.Millisecond
	cutsStableWindow   = 3 * time.Second // StableWindowMs of the platform
	cutsStrictDelay    = time.Second
	cutsHealTime       = 2 * time.Second // after a cut the node serves by itself again
	// beforeCut is the time before a cut for which first tries do not count as ones without a fault,
	// as the cut reaches some of them.
	beforeCut         = time.Second
	cutsCancelPercent = 2
	cutsBreakPercent  = 5               // of the resumable streams, which their target breaks off
	cutsDeadline      = 2 * time.Second // that of standin.Headers
	maxCutsRetries    = 2
	maxCutsInFlight   = 16 // requests of a caller
	maxCutsRetryDelay = 200 * time.Millisecond
	cutsCancelDelay   = 15 * time.Millisecond
	// partialTargetsShare is the probability with which a partial cut takes a target.
	partialTargetsShare = 0.5
)

// span is a time from a begin to an end.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool { return from.Before(s.to) && to.After(s.from) }

// cutSpan is one cut of some nodes from targets.
type cutSpan struct {
	span
	how cutHow
	who string
	// partial reports that some targets stayed in reach. lost are the others.
	partial bool
	lost    []string
	nodes   []*cutNode
}

func (c *cutSpan) has(n *cutNode) bool { return slices.Contains(c.nodes, n) }

func (c *cutSpan) String() string {
	kind := ""
	if c.partial {
		kind = " partial"
	}
	return fmt.Sprintf("%s %s%s of %d nodes at %s", c.who, c.how, kind, len(c.nodes), c.from.Format("15:04:05.000"))
}

// cutNode is a node with the times at which it was out of touch because its process was not running,
// or not ready for longer than the stable window.
type cutNode struct {
	*node
	index int
	mu    sync.Mutex
	away  []span
}

// claim records that the process ends. It returns false if another fault has ended it.
func (n *cutNode) claim(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.restarting {
		return false
	}
	n.restarting = true
	n.away = append(n.away, span{now, now.Add(time.Hour)})
	return true
}

// release records that the process is ready again.
func (n *cutNode) release(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restarting = false
	n.away[len(n.away)-1].to = now.Add(cutsStableWindow)
}

// inTouch reports whether the node was in touch from one time to another.
func (n *cutNode) inTouch(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.away, func(a span) bool { return a.overlaps(from, to) })
}

// silence is a time during which sound targets sent nothing.
type silence struct {
	span
	targets []string
}

// cutsRun is a run of the scenario with one seed.
type cutsRun struct {
	CutsSettings
	seed       uint64
	deployment *deployment
	nodes      []*cutNode
	delay      delayMeter

	mu                             sync.Mutex // guards the following
	cuts                           []*cutSpan
	silences                       []silence
	calls                          []cutCall
	streams                        []versionedStream
	errs                           []error
	kills, stops, changes, outages int
}

func cutsLayout(s *CutsSettings, workspaces []standin.Workspace) layout {
	l := layout{
		nodes: s.Nodes, dataCentres: 2, linkPerNode: true, workspaces: workspaces, routes: keysRoutes, routeTimeout: cutsTimeout,
		behaviour:    standin.Behaviour{Work: cutsEventInterval, TokensPerMs: 50, Events: versionsEvents, SignEvents: true},
		prefillShare: 1000 * cutsPrefills / (cutsPrefills + cutsDecodes), logLevel: "debug",
		// Each data centre has targets of both versions.
		versions: []string{softwareVersions[0], softwareVersions[0], softwareVersions[1], softwareVersions[1]},
	}
	for i := range cutsPrefills {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-p%d", i), "llm", "prefill"})
	}
	for i := range cutsDecodes {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-d%d", i), "llm", "decode"})
	}
	for i := range cutsPlain {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-s%d", i), "desk", ""})
	}
	return l
}

func cutsWorkspace(i int) standin.Workspace {
	return standin.Workspace{Name: workspaceName(i), Keys: []string{fmt.Sprintf("%s-cut-%d", keyMark, i)}}
}

func runCuts(binDir, outDir string, seed uint64, duration time.Duration, settings CutsSettings) (string, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", err
	}
	var workspaces []standin.Workspace
	for i := range cutsWorkspaces {
		workspaces = append(workspaces, cutsWorkspace(i))
	}
	dep, err := newDeployment(binDir, outDir, cutsLayout(&settings, workspaces))
	if err != nil {
		return "", err
	}
	defer dep.close()
	s := &cutsRun{CutsSettings: settings, seed: seed, deployment: dep}
	for i, n := range dep.nodes {
		s.nodes = append(s.nodes, &cutNode{node: n, index: i})
		if err := awaitReady(n); err != nil {
			return "", err
		}
	}
	sleep(context.Background(), cutsStableWindow)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var calls, faults sync.WaitGroup
	go s.delay.measure(ctx)
	for i, n := range s.nodes {
		for k := range s.Callers {
			calls.Go(func() { s.sendCalls(ctx, n, 100*i+k, s.newRNG(1, 100*i+k)) })
		}
	}
	sleep(ctx, cutsWarmup)
	s.startFaults(time.Now().Add(duration), &faults)
	faults.Wait()
	sleep(ctx, cutsHealTime+2*cutsStableWindow)
	stop()
	calls.Wait()
	f := s.judge()
	s.report(s.searchLogs(f))
	return s.summary(f), errors.Join(append(s.errs, f.check(s.Strict))...)
}

func (s *cutsRun) newRNG(series, i int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(1_000_000*series+i)))
}

func (s *cutsRun) report(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

func (s *cutsRun) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// startFaults starts the series of cuts, and the faults beside them, until end.
func (s *cutsRun) startFaults(end time.Time, wg *sync.WaitGroup) {
	rng := s.newRNG(2, 0)
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			s.cutOnce(i, rng)
		}
	})
	repeat := func(name string, series int, gap time.Duration, f func(*rand.Rand)) {
		if !s.beside(name) {
			return
		}
		rng := s.newRNG(series, 0)
		wg.Go(func() {
			for {
				sleep(context.Background(), gap/2+time.Duration(rng.Int64N(int64(gap/2))))
				if !time.Now().Before(end) {
					return
				}
				f(rng)
			}
		})
	}
	repeat("kills", 3, maxCutsKillGap, func(rng *rand.Rand) { s.endProcess(rng, syscall.SIGKILL, &s.kills) })
	repeat("stops", 4, maxCutsStopGap, func(rng *rand.Rand) { s.endProcess(rng, syscall.SIGTERM, &s.stops) })
	repeat("config", 5, maxCutsConfigGap, func(*rand.Rand) { s.deployment.configure(); s.count(&s.changes) })
	repeat("store", 6, maxCutsStoreGap, func(*rand.Rand) {
		s.deployment.store.Down.Store(true)
		sleep(context.Background(), cutsStoreAway)
		s.deployment.store.Down.Store(false)
		s.count(&s.outages)
	})
	repeat("silence", 7, maxSilenceGap, s.silenceSome)
}

// drawCut draws the cut number i of the run. The first is always one from all targets.
func (s *cutsRun) drawCut(i int, rng *rand.Rand) (c *cutSpan, targets []int) {
	c = &cutSpan{who: s.Who[rng.IntN(len(s.Who))]}
	name := s.How[rng.IntN(len(s.How))]
	for h := cutNone; h < cutHowCount; h++ {
		if h.String() == name {
			c.how = h
		}
	}
	zone := rng.IntN(s.deployment.dataCentres)
	var of []*cutNode
	for _, n := range s.nodes {
		if n.index%s.deployment.dataCentres == zone {
			of = append(of, n)
		}
	}
	rng.Shuffle(len(of), func(a, b int) { of[a], of[b] = of[b], of[a] })
	switch c.who {
	case "one":
		of = of[:1]
	case "most":
		of = of[:max(len(of)*2/3, 1)]
	}
	c.nodes = of
	c.partial = rng.IntN(100) < s.Partial && i > 0
	for k, t := range s.deployment.targets {
		if !c.partial || rng.Float64() < partialTargetsShare {
			targets, c.lost = append(targets, k), append(c.lost, t.ID)
		}
	}
	return c, targets
}

// cutOnce cuts nodes from targets, ends the cut and waits for the next one.
func (s *cutsRun) cutOnce(i int, rng *rand.Rand) {
	c, targets := s.drawCut(i, rng)
	c.from = time.Now()
	c.to = c.from.Add(time.Hour)
	s.mu.Lock()
	s.cuts = append(s.cuts, c)
	s.mu.Unlock()
	s.setCut(c, targets, c.how)
	sleep(context.Background(), s.Length)
	ended := time.Now()
	s.setCut(c, targets, cutNone)
	s.mu.Lock()
	c.to = ended
	s.mu.Unlock()
	sleep(context.Background(), s.Pause)
}

func (s *cutsRun) setCut(c *cutSpan, targets []int, how cutHow) {
	for _, n := range c.nodes {
		for _, t := range targets {
			s.report(s.deployment.nodeLinks[t].cut(n.ip, how))
		}
	}
}

// endProcess ends the process of a node by a signal and starts it again.
func (s *cutsRun) endProcess(rng *rand.Rand, signal syscall.Signal, counter *int) {
	n := s.nodes[rng.IntN(len(s.nodes))]
	if !n.claim(time.Now()) {
		return
	}
	n.signal(signal)
	if !n.waitExit(stopTimeout + time.Second) {
		s.report(fmt.Errorf("%s did not exit within %v of %v", n.name, stopTimeout+time.Second, signal))
		n.signal(syscall.SIGKILL)
		n.waitExit(time.Second)
	}
	sleep(context.Background(), cutsKilledTime)
	s.report(s.deployment.startNode(n.node))
	s.report(awaitReady(n.node))
	n.release(time.Now())
	s.count(counter)
}

// silenceSome makes some or all targets of a service send nothing for a while.
func (s *cutsRun) silenceSome(rng *rand.Rand) {
	d := minSoundSilence + time.Duration(rng.Int64N(int64(maxSoundSilence-minSoundSilence)))
	service := drawOf(rng, "llm", "desk")
	all := rng.IntN(2) == 0
	now := time.Now()
	q := silence{span: span{now, now.Add(d)}}
	for _, t := range s.deployment.targets {
		if drawn := rng.IntN(100) < soundSilentPercent; t.Service == service && (all || drawn) {
			t.SetSilentUntil(q.to)
			q.targets = append(q.targets, t.ID)
		}
	}
	s.mu.Lock()
	s.silences = append(s.silences, q)
	s.mu.Unlock()
	sleep(context.Background(), d)
}

// searchLogs reads the logs of all nodes for keys and for sound targets that nodes blame.
func (s *cutsRun) searchLogs(f *cutsFigures) error {
	for _, n := range s.nodes {
		b, err := os.ReadFile(n.log.Name())
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(b)) {
			s.judgeLine(f, n, line)
		}
	}
	return nil
}
