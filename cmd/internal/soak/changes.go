package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// ChangesSettings are the settings of the scenario of changes of a large configuration.
type ChangesSettings struct {
	Nodes   int             `default:"6" help:"Number of nodes, in two data centres."`
	Routes  int             `default:"1200" help:"Number of routes by which the configuration grows."`
	Links   []float64       `default:"10,20" help:"Rates in Mbit/s at which the store sends to the nodes, in rotation."`
	Gaps    []time.Duration `default:"120ms,250ms" help:"Times between two changes, one of which is drawn for each series."`
	Margin  time.Duration   `default:"500ms" help:"Time beyond ConfigMs of the platform that is allowed for delays of the soak and the machine."`
	Callers int             `default:"2" help:"Number of callers of each node that use the routes of changes."`
	Beside  []string        `default:"rejects,kills" enum:"none,rejects,kills" help:"Faults beside the changes: the store rejects 40% of the nodes, a third of the nodes are killed at once and started again."`
}

const (
	// configBound is ConfigMs of the platform's settings, and stableWindow is its
	// StableWindowMs: the time after a fault for which the bound does not apply to a node.
	configBound  = 2 * time.Second
	stableWindow = 5 * time.Second
	// maxRejection is the longest time for which the store rejects a node.
	maxRejection    = 5 * time.Second
	rejectedPercent = 40
	maxDown         = 2 * time.Second
	// deniedAge is the age from which on a route that the node had in force before its faults
	// must be served, also during a fault.
	deniedAge = maxRejection + stableWindow
	// growthTime is the time for which all nodes apply the configuration that has grown,
	// before the first series.
	growthTime        = 3 * time.Second
	minSeries         = 1500 * time.Millisecond
	maxSeries         = 5 * time.Second
	maxSeriesInterval = 2 * time.Second
	maxFaultGap       = 6 * time.Second
	probeInterval     = 40 * time.Millisecond
	// newestPercent is the percentage of requests to the newest route that the bound applies to.
	newestPercent = 70
)

// addedRoute is a route of a change. accepted is the time after the store has accepted it.
type addedRoute struct {
	standin.Route
	accepted time.Time
}

// changesNode is a node with the history of its faults.
type changesNode struct {
	*node
	mu sync.Mutex
	// faultUntil is the end of the latest fault, far in the future while it lasts. disturbedSince
	// is the begin of the first of the faults that follow each other within stableWindow.
	faultUntil, disturbedSince time.Time
	inFault                    bool
}

// changesRun is a run of the scenario with one seed.
type changesRun struct {
	ChangesSettings
	seed       uint64
	deployment *deployment
	nodes      []*changesNode
	delay      delayMeter

	mu       sync.Mutex // guards the following
	routes   []standin.Route
	added    []addedRoute
	statuses map[int]int
	late     map[string]int // refusals that broke a rule, by rule and node
	errs     []error
	oldest   time.Duration // greatest age of a route that was refused against a rule
	kills    int
	rejects  int
}

func runChanges(binDir, outDir string, seed uint64, duration time.Duration, settings ChangesSettings) (string, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", err
	}
	l := faultsLayout()
	l.nodes = settings.Nodes
	dep, err := newDeployment(binDir, outDir, l)
	if err != nil {
		return "", err
	}
	defer dep.close()
	s := &changesRun{ChangesSettings: settings, seed: seed, deployment: dep, statuses: map[int]int{}, late: map[string]int{}}
	s.routes = slices.Clone(standin.Routes)
	for i, n := range dep.nodes {
		dep.store.LimitRate(n.ip, int(s.Links[i%len(s.Links)]*1e6/8))
		k := &changesNode{node: n}
		s.nodes = append(s.nodes, k)
		if err := awaitReady(k.node); err != nil {
			return "", err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var calls, faults sync.WaitGroup
	go s.delay.measure(ctx)
	others := callers{deployment: dep}
	others.start(ctx, seed, &calls)
	for i, n := range s.nodes {
		for k := range s.Callers {
			calls.Go(func() { s.probe(ctx, n, fmt.Sprintf("p%d-%d", i, k), s.newRNG(1, 100*i+k)) })
		}
	}
	end := time.Now().Add(duration)
	for series, f := range map[string]func(*rand.Rand){"rejects": s.rejectSome, "kills": s.killSome} {
		if slices.Contains(s.Beside, series) {
			rng := s.newRNG(2, len(series))
			faults.Go(func() { s.repeat(end, rng, f) })
		}
	}
	s.change(end)
	faults.Wait()
	// The last changes have to be in force, too.
	sleep(ctx, configBound+settings.Margin+time.Second)
	stop()
	calls.Wait()
	s.report(others.check(dep.targets))
	return s.summary(), errors.Join(s.errs...)
}

func (s *changesRun) newRNG(series, i int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(1_000_000*series+i)))
}

// report records a violated guarantee.
func (s *changesRun) report(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// repeat calls f at random intervals until end.
func (s *changesRun) repeat(end time.Time, rng *rand.Rand, f func(*rand.Rand)) {
	sleep(context.Background(), growthTime)
	for {
		sleep(context.Background(), time.Duration(rng.Int64N(int64(maxFaultGap))))
		if !time.Now().Before(end) {
			return
		}
		f(rng)
	}
}

// change grows the configuration and then changes it in series until end.
func (s *changesRun) change(end time.Time) {
	rng := s.newRNG(3, 0)
	routes := make([]standin.Route, s.Routes)
	for i := range routes {
		routes[i] = changedRoute("kaka", i)
	}
	s.add(routes)
	sleep(context.Background(), growthTime)
	for version := 0; time.Now().Before(end); {
		gap := s.Gaps[rng.IntN(len(s.Gaps))]
		length := minSeries + time.Duration(rng.Int64N(int64(maxSeries-minSeries)))
		for series := time.Now().Add(length); time.Now().Before(series); version++ {
			s.add([]standin.Route{changedRoute("whio", version)})
			sleep(context.Background(), gap)
		}
		sleep(context.Background(), time.Duration(rng.Int64N(int64(maxSeriesInterval))))
	}
}

func changedRoute(word string, i int) standin.Route {
	return standin.Route{Name: fmt.Sprintf("%s%d", word, i), Kind: "safe", Service: "desk", Attempts: 2}
}

// add publishes a configuration with further routes.
func (s *changesRun) add(routes []standin.Route) {
	s.mu.Lock()
	s.routes = append(s.routes, routes...)
	all := slices.Clone(s.routes)
	s.mu.Unlock()
	s.deployment.configVersion++
	s.deployment.store.ConfigureRoutes(s.deployment.configVersion, s.deployment.routeTimeout, all)
	accepted := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range routes {
		s.added = append(s.added, addedRoute{r, accepted})
	}
}

// probe sends requests to routes of changes to which the bound applies.
func (s *changesRun) probe(ctx context.Context, n *changesNode, name string, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, probeInterval)
		r, ok := s.pickRoute(rng)
		if !ok {
			continue
		}
		o := send(client, n.node, fmt.Sprintf("%s-%d", name, i), r.Route, false)
		if o.complete {
			s.judge(n, r.accepted, &o)
		}
	}
}

// pickRoute returns the newest route to which the bound applies, or a random older one.
func (s *changesRun) pickRoute(rng *rand.Rand) (addedRoute, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-configBound - s.Margin)
	due, _ := slices.BinarySearchFunc(s.added, limit, func(r addedRoute, t time.Time) int { return r.accepted.Compare(t) })
	if due == 0 {
		return addedRoute{}, false
	}
	if rng.IntN(100) < newestPercent {
		return s.added[due-1], true
	}
	return s.added[rng.IntN(due)], true
}

// changeVerdict is the result of a request to a route that was added.
type changeVerdict uint8

const (
	changeServed  changeVerdict = iota
	changeExcused               // refused by a node to which the bound does not apply
	changeLate                  // refused later than the bound: rule CONFIG
	changeDenied                // refused although all configurations of the last seconds have the route: rule DENIED
)

func (v changeVerdict) String() string {
	return [...]string{"served", "excused", "CONFIG", "DENIED"}[v]
}

// classifyChange judges a request that was sent age after the store had accepted its route.
// disturbed is the time since the begin of the node's faults, 0 if it has none and had none within
// stableWindow.
func classifyChange(status int, age, disturbed, margin time.Duration) changeVerdict {
	bound := configBound + margin
	switch {
	case status != http.StatusNotFound:
		return changeServed
	case age > deniedAge+margin && age-disturbed > bound:
		return changeDenied
	case age > bound && disturbed == 0:
		return changeLate
	default:
		return changeExcused
	}
}

func (s *changesRun) judge(n *changesNode, accepted time.Time, o *outcome) {
	age := o.sentAt.Sub(accepted)
	v := classifyChange(o.status, age, n.disturbedFor(o.sentAt), s.Margin)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[o.status]++
	if v < changeLate {
		return
	}
	key := v.String() + ":" + n.name
	s.late[key]++
	s.oldest = max(s.oldest, age)
	if s.late[key] == 1 {
		s.errs = append(s.errs, fmt.Errorf("%s: %s refused route %s at %s, %s after the store had accepted it",
			v, n.name, o.route, o.sentAt.Format("15:04:05.000"), age.Round(time.Millisecond)))
	}
}

// disturbedFor returns the time from the begin of the node's faults to t, 0 if it has none at t and
// had none within stableWindow.
func (n *changesNode) disturbedFor(t time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.Sub(n.faultUntil) > stableWindow {
		return 0
	}
	return t.Sub(n.disturbedSince)
}

// faultBegins records a fault that lasts until faultEnds is called. It returns false if the node
// has another one.
func (n *changesNode) faultBegins(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inFault {
		return false
	}
	if now.Sub(n.faultUntil) > stableWindow {
		n.disturbedSince = now
	}
	n.inFault, n.faultUntil = true, now.Add(time.Hour)
	return true
}

func (n *changesNode) faultEnds(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFault, n.faultUntil = false, now
}

// draw returns about the given percentage of the nodes, at least one, that have no fault.
func (s *changesRun) draw(rng *rand.Rand, percent int) (drawn []*changesNode) {
	count := max(len(s.nodes)*percent/100, 1)
	for _, i := range rng.Perm(len(s.nodes))[:count] {
		if s.nodes[i].faultBegins(time.Now()) {
			drawn = append(drawn, s.nodes[i])
		}
	}
	return drawn
}

// rejectSome makes the store reject some nodes for up to maxRejection.
func (s *changesRun) rejectSome(rng *rand.Rand) {
	drawn := s.draw(rng, rejectedPercent)
	for _, n := range drawn {
		s.deployment.store.Reject(n.ip, true)
	}
	sleep(context.Background(), maxRejection/2+time.Duration(rng.Int64N(int64(maxRejection/2))))
	for _, n := range drawn {
		s.deployment.store.Reject(n.ip, false)
		n.faultEnds(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects += len(drawn)
}

// killSome kills a third of the nodes at once and starts them again together.
func (s *changesRun) killSome(rng *rand.Rand) {
	const killedPercent = 34
	drawn := s.draw(rng, killedPercent)
	for _, n := range drawn {
		n.signal(syscall.SIGKILL)
		n.waitExit(time.Second)
	}
	sleep(context.Background(), time.Duration(rng.Int64N(int64(maxDown))))
	for _, n := range drawn {
		s.report(s.deployment.startNode(n.node))
	}
	for _, n := range drawn {
		s.report(awaitReady(n.node))
		n.faultEnds(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kills += len(drawn)
}

func (s *changesRun) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "timer-delay=%s changes=%d rejections=%d kills=%d store-calls=%d store-bytes=%d",
		s.delay.max().Round(time.Millisecond), s.deployment.configVersion, s.rejects, s.kills, s.deployment.store.Calls(), s.deployment.store.BytesSent())
	for _, status := range slices.Sorted(maps.Keys(s.statuses)) {
		fmt.Fprintf(&b, " %d=%d", status, s.statuses[status])
	}
	for _, name := range slices.Sorted(maps.Keys(s.late)) {
		fmt.Fprintf(&b, " %s=%d", name, s.late[name])
	}
	if len(s.late) > 0 {
		fmt.Fprintf(&b, " oldest=%s", s.oldest.Round(time.Millisecond))
	}
	return b.String()
}
