package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// StopsSettings are the settings of the scenario of planned stops.
type StopsSettings struct {
	Callers int             `default:"24" help:"Number of callers, each with one connection."`
	Think   time.Duration   `default:"300ms" help:"Longest time between a response and the next request on its connection."`
	Lengths []time.Duration `default:"300ms,3s,6s,12s" help:"Durations of streams, one of which is drawn for each request."`
	Slots   int             `help:"Number of streams that an engine generates at a time; 0 means any number."`
	Gap     time.Duration   `help:"Callers give up a stream after this time without an event; 0 means never."`
	Beside  []string        `default:"hup,term,config,roles" enum:"none,hup,term,config,roles,orders,silence,pauses,refusals,breaks" help:"Events beside the stops: SIGHUP, a second SIGTERM, changes of the configuration and of the planned roles, orders of another holder to change roles, engines that are silent around a stop, streams that pause, engines that refuse requests or break off streams."`
}

func (s *StopsSettings) beside(event string) bool { return slices.Contains(s.Beside, event) }

// stopsRouteTimeout is longer than the deadlines of callers, so that no route ends a stream.
const stopsRouteTimeout = 30 * time.Second

// roleChangeTime is the SwitchS of the stand-in's configuration.
const roleChangeTime = time.Second

func (s *StopsSettings) behaviour() standin.Behaviour {
	return standin.Behaviour{Work: eventInterval, TokensPerMs: 50, RoleChangeTime: roleChangeTime, Slots: s.Slots}
}

// stopsLayout has three nodes, one a data centre, and three prefill and six decode engines.
func stopsLayout(b standin.Behaviour) layout {
	l := layout{dataCentres: nodeCount, behaviour: b, routeTimeout: stopsRouteTimeout, prefillShare: 333}
	for i := range nodeCount {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-p%d", i+1), "llm", "prefill"})
	}
	for i := range 2 * nodeCount {
		l.targets = append(l.targets, targetSpec{fmt.Sprintf("i-d%d", i+1), "llm", "decode"})
	}
	return l
}

// stopsRun is a run of the scenario with one seed.
type stopsRun struct {
	StopsSettings
	seed        uint64
	deployment  *deployment
	nodes       []*stoppingNode
	callers     keptCallers
	stopped     chan struct{} // closed when the last stop has ended
	terms, hups atomic.Int64
	delay       delayMeter
	orders      sync.WaitGroup // beside the stops
	mu          sync.Mutex
	errs        []error
}

// runStops stops nodes under load for the given duration. The callers go on until the last stop
// has ended.
func runStops(binDir, outDir string, seed uint64, duration time.Duration, settings StopsSettings) (string, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return "", err
	}
	dep, err := newDeployment(binDir, outDir, stopsLayout(settings.behaviour()))
	if err != nil {
		return "", err
	}
	defer dep.close()
	s := &stopsRun{StopsSettings: settings, seed: seed, deployment: dep}
	s.callers.run = s
	for _, n := range dep.nodes {
		k := &stoppingNode{node: n, lives: make([]nodeLife, 1)}
		s.nodes = append(s.nodes, k)
		if err := s.awaitReady(k); err != nil {
			return "", err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var signals, calls sync.WaitGroup
	for _, n := range s.nodes {
		n.inRotation.Store(true)
		go n.followReadiness(ctx)
	}
	go s.delay.measure(ctx)
	s.callers.start(ctx, &calls)
	s.startSignals(time.Now().Add(duration), &signals)
	signals.Wait()
	stop()
	calls.Wait()
	summary := s.judge()
	return summary, errors.Join(s.errs...)
}

// delayInterval is the interval of the timer with which the soak measures its delay.
const delayInterval = 10 * time.Millisecond

// delayMeter measures by how much the soak's own timers are late. On a machine that is overloaded,
// the times of the nodes, such as the end of a stop, are late by as much.
type delayMeter struct{ longest atomic.Int64 }

func (d *delayMeter) measure(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		sleep(ctx, delayInterval)
		d.longest.Store(max(d.longest.Load(), int64(time.Since(began)-delayInterval)))
	}
}

func (d *delayMeter) max() time.Duration { return time.Duration(d.longest.Load()) }

// report records a violated guarantee.
func (s *stopsRun) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, fmt.Errorf(format, args...))
}

func (s *stopsRun) node(name string) *stoppingNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *stoppingNode) bool { return n.name == name })]
}

// stopSlack is the time after the end of a stop within which a request counts as ended by it.
const stopSlack = time.Second

// judge checks all exchanges and returns a summary with a line for each request that was cut.
func (s *stopsRun) judge() string {
	works := map[string][]standin.Work{}
	for _, t := range s.deployment.targets {
		for _, w := range t.Works() {
			works[w.Request] = append(works[w.Request], w)
		}
	}
	var counts [verdictCount]int
	refusals := map[string]int{}
	var cuts []string
	exchanges := s.callers.exchanges
	slices.SortFunc(exchanges, func(a, b exchange) int { return a.ended.Compare(b.ended) })
	for i := range exchanges {
		e := &exchanges[i]
		n, w := s.node(e.node), works[e.id]
		stop := n.stopAt(e.ended, stopSlack)
		v := classify(e, w, stop, stopTimeout)
		counts[v]++
		if v == verdictRefused {
			refusals[fmt.Sprintf("%d %s, node %s", e.status, e.reason, n.phaseAt(e.began, e.ended))]++
		}
		if v.cut() || v == verdictFailed {
			cuts = append(cuts, fmt.Sprintf("  %-16s %s", v, describe(e, w, stop)))
		}
		if v == verdictLost {
			s.report("LOST: request %s", describe(e, w, stop))
		}
		s.checkExchange(e, w, v, n)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "timer-delay=%s sigterms=%d sighups=%d orders=%d requests=%d", s.delay.max().Round(time.Millisecond), s.terms.Load(), s.hups.Load(), s.acceptedOrders(), len(exchanges))
	for v, n := range counts {
		fmt.Fprintf(&b, " %s=%d", verdict(v), n)
	}
	for _, r := range slices.Sorted(maps.Keys(refusals)) {
		fmt.Fprintf(&b, "\n  refused %d times: %s", refusals[r], r)
	}
	for _, c := range cuts {
		b.WriteString("\n" + c)
	}
	return b.String()
}

// describe returns a line about a request, with times relative to the SIGTERM.
func describe(e *exchange, works []standin.Work, stop *plannedStop) string {
	times := fmt.Sprintf("sent=%s cut=%s no-stop", e.began.Format("15:04:05.000"), e.ended.Format("15:04:05.000"))
	if stop != nil {
		times = fmt.Sprintf("sent=%+.3fs cut=%+.3fs", e.began.Sub(stop.began).Seconds(), e.ended.Sub(stop.began).Seconds())
	}
	connection := "new"
	if !e.idleSince.IsZero() {
		connection = "idle for " + e.began.Sub(e.idleSince).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%s %s at %s: %s connection=%q state=%q status=%d events=%d/%d after=%d deadline=%s works=%d error=%v",
		e.route, e.id, e.node, times, connection, e.state(works), e.status, e.events, e.plan.Events-e.resumeAfter, e.resumeAfter, e.timeLimit, len(works), e.err)
}

// checkExchange checks the guarantees besides rule LOST.
func (s *stopsRun) checkExchange(e *exchange, works []standin.Work, v verdict, n *stoppingNode) {
	runs := 0
	for _, w := range works {
		if w.Stage == standin.WorkRun {
			runs++
		}
	}
	want := e.expectedBody()
	switch {
	case v == verdictRefused && runs > 0:
		s.report("%s request %s ran although it was refused with status %d", e.route, e.id, e.status)
	case v == verdictRefused && !s.mayRefuse() && n.phaseAt(e.began, e.ended) == phaseServing:
		s.report("%s request %s was refused by %s with status %d while it served", e.route, e.id, e.node, e.status)
	case v == verdictAnswered && (e.body != want || !e.serverStamp):
		s.report("%s request %s: response is wrong or lacks the server stamp: %d bytes instead of %d", e.route, e.id, len(e.body), len(want))
	case e.status == 200 && !strings.HasPrefix(want, e.body):
		s.report("%s request %s: partial response is wrong", e.route, e.id)
	case e.route == "chat" && runs > 1:
		s.report("chat request %s ran %d times", e.id, runs)
	}
}

// mayRefuse reports whether the events beside the stops are a reason for a node that serves to
// refuse requests.
func (s *stopsRun) mayRefuse() bool {
	return s.beside("silence") || s.beside("refusals") || s.beside("orders")
}

func (e *exchange) expectedBody() string {
	var b strings.Builder
	for i := e.resumeAfter + 1; i <= e.plan.Events; i++ {
		b.WriteString(standin.Event(e.id, i))
	}
	return b.String()
}

func (s *stopsRun) acceptedOrders() int {
	orders := 0
	for _, t := range s.deployment.targets {
		for _, o := range t.Orders() {
			if o.Status < 300 {
				orders++
			}
		}
	}
	return orders
}
