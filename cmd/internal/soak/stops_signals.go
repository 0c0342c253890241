package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/platform/standin"
)

const (
	// firstStopDelay is the time under load before the first SIGTERM.
	firstStopDelay = 4 * time.Second
	// maxStopInterval is the longest time between the readiness of a node and its next SIGTERM.
	// It is shorter than a stop, so that the stops of different nodes overlap.
	maxStopInterval = 4 * time.Second
	// maxHUPInterval is the longest time between two SIGHUPs to one node.
	maxHUPInterval = 2 * time.Second
	// secondTERMPercent is the percentage of stops with a second SIGTERM.
	secondTERMPercent = 50
	// maxConfigInterval and maxShareInterval are the longest times between two changes of the
	// configuration and of the planned share of prefill engines.
	maxConfigInterval = 3 * time.Second
	maxShareInterval  = 5 * time.Second
	// silenceLead is how long before a SIGTERM an engine may become silent.
	silenceLead = time.Second
	minSilence  = 3 * time.Second
	maxSilence  = 9 * time.Second
	// maxRefusal is the longest time for which an engine refuses requests.
	maxRefusal = 2 * time.Second
	// notReadySlack is the time after SIGTERM within which a node may still be ready. A node
	// accepts connections for 2.5 s, and the platform needs two checks, 1 s apart, to take it
	// out of the rotation.
	notReadySlack = 500 * time.Millisecond
	// readyPollInterval is the interval of the checks of readiness by the soak itself.
	readyPollInterval = 50 * time.Millisecond
	// rotationInterval and rotationMisses describe when the platform sends a node no new
	// connections: after this number of readiness checks without a 200 in a row.
	rotationInterval = time.Second
	rotationMisses   = 2
)

// plannedShares are the shares of prefill engines, in thousandths, of nodes that start. 0
// follows the demand.
var plannedShares = []int64{0, 222, 333, 444}

// stoppingNode is a node that is stopped and started again, with the history of its stops.
type stoppingNode struct {
	*node
	inRotation atomic.Bool

	mu    sync.Mutex
	lives []nodeLife
}

// nodeLife is the time of one process of a node. Times are zero while they lie ahead.
type nodeLife struct{ ready, stopBegan, ended time.Time }

// stopAt returns the planned stop that has begun by t and has not ended slack before it, or nil.
func (n *stoppingNode) stopAt(t time.Time, slack time.Duration) *plannedStop {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lives {
		if !l.stopBegan.IsZero() && !t.Before(l.stopBegan) && (l.ended.IsZero() || !t.After(l.ended.Add(slack))) {
			return &plannedStop{l.stopBegan, l.ended}
		}
	}
	return nil
}

// Phases of a node.
const (
	phaseServing  = "serving"
	phaseStopping = "stopping"
	phaseStarting = "starting"
)

// phaseAt returns the phase of the node during a request that it has refused. A request counts
// as one of a node that serves only if the node did so from its beginning to its end.
func (n *stoppingNode) phaseAt(from, to time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lives {
		switch {
		case !l.ended.IsZero() && l.ended.Before(from):
		case !l.stopBegan.IsZero() && l.stopBegan.Before(to):
			return phaseStopping
		case l.ready.IsZero() || from.Before(l.ready):
			return phaseStarting
		default:
			return phaseServing
		}
	}
	return phaseStarting
}

func (n *stoppingNode) changeLife(f func(l *nodeLife)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.lives[len(n.lives)-1])
}

// startSignals starts the series of signals and the changes beside them. They end at end; a
// stop that has begun is awaited.
func (s *stopsRun) startSignals(end time.Time, wg *sync.WaitGroup) {
	s.stopped = make(chan struct{})
	ctx, cancel := context.WithDeadline(context.Background(), end)
	var stops, beside sync.WaitGroup
	for i, n := range s.nodes {
		stops.Go(func() { s.stopRepeatedly(ctx, n, s.newRNG(1, i)) })
		if s.beside("hup") {
			beside.Go(func() { s.hangUp(n, s.newRNG(2, i)) })
		}
	}
	if s.beside("config") {
		beside.Go(func() { s.repeat(maxConfigInterval, s.newRNG(3, 0), func(*rand.Rand) { s.deployment.configure() }) })
	}
	if s.beside("roles") {
		beside.Go(func() { s.repeat(maxShareInterval, s.newRNG(4, 0), s.changeShare) })
	}
	if s.beside("refusals") {
		beside.Go(func() { s.repeat(maxRefusal, s.newRNG(5, 0), s.refuseForAWhile) })
	}
	wg.Go(func() {
		defer cancel()
		stops.Wait()
		close(s.stopped)
		beside.Wait()
		s.orders.Wait()
	})
}

func (s *stopsRun) newRNG(series, i int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(1000*series+i)))
}

// repeat calls f at random intervals until the last stop has ended.
func (s *stopsRun) repeat(maxInterval time.Duration, rng *rand.Rand, f func(*rand.Rand)) {
	for s.awaitStopped(time.Duration(rng.Int64N(int64(maxInterval)))) {
		f(rng)
	}
}

// awaitStopped waits for d. It returns false if the last stop ended before.
func (s *stopsRun) awaitStopped(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.stopped:
		return false
	case <-t.C:
		return true
	}
}

// stopRepeatedly stops and starts a node until ctx ends.
func (s *stopsRun) stopRepeatedly(ctx context.Context, n *stoppingNode, rng *rand.Rand) {
	sleep(ctx, firstStopDelay)
	for {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxStopInterval))))
		if ctx.Err() != nil {
			return
		}
		s.stopOnce(n, rng)
		if err := s.start(n); err != nil {
			s.report("%s: %v", n.name, err)
			return
		}
	}
}

// stopOnce sends a SIGTERM, and in some stops a second one, and waits for the end of the process.
func (s *stopsRun) stopOnce(n *stoppingNode, rng *rand.Rand) {
	if s.beside("silence") {
		s.silenceEngine(rng)
		sleep(context.Background(), time.Duration(rng.Int64N(int64(silenceLead))))
	}
	if s.beside("orders") {
		s.switchRoles(rng)
	}
	select {
	case <-n.exited:
		s.report("%s ended without a signal", n.name)
	default:
	}
	s.terms.Add(1)
	began := time.Now()
	n.changeLife(func(l *nodeLife) { l.stopBegan = began })
	n.signal(syscall.SIGTERM)
	second := time.Duration(rng.Int64N(int64(stopTimeout)))
	if sendSecond := rng.IntN(100) < secondTERMPercent; sendSecond && s.beside("term") {
		if !n.waitExit(second) {
			n.signal(syscall.SIGTERM)
		}
	}
	s.checkNotReady(n, began)
	if !n.waitExit(time.Until(began.Add(stopTimeout))) {
		s.report("%s did not exit within %v of SIGTERM", n.name, stopTimeout)
		n.signal(syscall.SIGKILL)
		n.waitExit(time.Second)
	}
	n.changeLife(func(l *nodeLife) { l.ended = time.Now() })
}

// checkNotReady reports a node that says that it is ready while it stops.
func (s *stopsRun) checkNotReady(n *stoppingNode, began time.Time) {
	for !n.waitExit(readyPollInterval) && time.Since(began) < stopTimeout {
		asked := time.Now()
		if asked.Sub(began) > notReadySlack && n.isReady() {
			s.report("%s says that it is ready %v after SIGTERM", n.name, asked.Sub(began).Round(time.Millisecond))
			return
		}
	}
}

// start starts the process of a node and waits until it is ready.
func (s *stopsRun) start(n *stoppingNode) error {
	n.mu.Lock()
	n.lives = append(n.lives, nodeLife{})
	n.mu.Unlock()
	if err := s.deployment.startNode(n.node); err != nil {
		return err
	}
	return s.awaitReady(n)
}

func (s *stopsRun) awaitReady(n *stoppingNode) error {
	for limit := time.Now().Add(startTimeout); !n.isReady(); sleep(context.Background(), readyPollInterval) {
		if time.Now().After(limit) {
			return merry.Appendf(ErrSoak, "not ready within %v of its start", startTimeout)
		}
	}
	n.changeLife(func(l *nodeLife) { l.ready = time.Now() })
	return nil
}

var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (n *node) isReady() bool {
	resp, err := readinessClient.Get("http://" + n.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// followReadiness takes the node into the rotation and out of it as the platform does.
func (n *stoppingNode) followReadiness(ctx context.Context) {
	for misses := 0; ctx.Err() == nil; sleep(ctx, rotationInterval) {
		if n.isReady() {
			misses = 0
		} else {
			misses++
		}
		n.inRotation.Store(misses < rotationMisses)
	}
}

// hangUp sends SIGHUPs to a node while it serves or stops. A process that is starting gets none:
// SIGHUP ends it until its handler is installed.
func (s *stopsRun) hangUp(n *stoppingNode, rng *rand.Rand) {
	s.repeat(maxHUPInterval, rng, func(*rand.Rand) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if l := n.lives[len(n.lives)-1]; !l.ready.IsZero() && l.ended.IsZero() {
			n.signal(syscall.SIGHUP)
			s.hups.Add(1)
		}
	})
}

func (s *stopsRun) changeShare(rng *rand.Rand) {
	s.deployment.plannedShare.Store(plannedShares[rng.IntN(len(plannedShares))])
}

func (s *stopsRun) randomEngine(rng *rand.Rand) *standin.Target {
	return s.deployment.targets[rng.IntN(len(s.deployment.targets))]
}

// silenceEngine makes an engine send nothing for some seconds, with its connections open.
func (s *stopsRun) silenceEngine(rng *rand.Rand) {
	d := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	s.randomEngine(rng).SetSilentUntil(time.Now().Add(d))
}

// orderPeriod is the time from the beginning of a stop within which its orders are sent.
const orderPeriod = 6 * time.Second

// ordersPerStop is the number of orders beside a stop. With a third of the engines changing
// their roles, the others have free slots.
const ordersPerStop = 3

// switchRoles orders engines to change their roles in the course of a stop that begins now. The
// nodes, which plan other roles, order them back.
func (s *stopsRun) switchRoles(rng *rand.Rand) {
	for range ordersPerStop {
		t, d := s.randomEngine(rng), time.Duration(rng.Int64N(int64(orderPeriod)))
		s.orders.Go(func() {
			sleep(context.Background(), d)
			t.SwitchRole()
		})
	}
}

// refuseForAWhile makes an engine refuse requests without running them.
func (s *stopsRun) refuseForAWhile(rng *rand.Rand) {
	t, b := s.randomEngine(rng), s.behaviour()
	b.Refuse = true
	t.SetBehaviour(b)
	sleep(context.Background(), time.Duration(rng.Int64N(int64(maxRefusal))))
	t.SetBehaviour(s.behaviour())
}
