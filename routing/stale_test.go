package routing

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/types"
)

const (
	simTick             = 250 * time.Millisecond // view updates
	simExchangeInterval = time.Second            // exchange of load digests between daemons
	simMeanPromptTokens = 1000
	// simPrefillRate is the prefill rate in tokens/s of a mixed engine without
	// streams, according to the chunk model of LoadScorer.
	simPrefillRate = 256 / 0.024
)

// simulation is a queueing model in which each target processes its prompts in
// order. The daemons receive delayed load reports and choose targets with the
// production router.
type simulation struct {
	daemons, targets int
	// load is the fraction of the targets' time that prefill takes.
	load        float64
	reportDelay time.Duration
	// exchangeLoad enables the exchange of load digests between daemons.
	exchangeLoad bool
	router       func(daemon int) *Router
	// burst is the request rate of the first workspace relative to each of the
	// others, all of which have equal shares; 0 disables admission and deadlines.
	burst int
}

// simDeadline is the objective for the time to first token in the design page,
// section 1.5.
const simDeadline = 310 * time.Millisecond

const simWorkspaces = 10

type simJob struct {
	done           time.Time
	daemon         int
	workspace      int
	tokens         int64
	ticket         admission.Ticket
	missedDeadline bool
}

type simState struct {
	simulation
	rnd             Rand
	busyUntil       []time.Time
	jobs            [][]simJob
	reports         [][]int // by tick, target: tokens in the queue
	counters        [][]*Counters
	localTokens     [][][]int64 // by tick, daemon, target: queued tokens of the daemon
	fleets          []*Fleet
	routers         []*Router
	controllers     []*admission.Controller
	workspaces      [][]admission.Workspace // by daemon, workspace
	firstTokenTimes []time.Duration
	// offered counts the requests of all workspaces except the first, inTime those
	// with a first token before the deadline.
	offered, inTime int
}

func (s *simState) p95FirstToken() time.Duration {
	slices.Sort(s.firstTokenTimes)
	return s.firstTokenTimes[len(s.firstTokenTimes)*95/100]
}

func (s *simState) exponential() float64 {
	return -math.Log(1 - float64(s.rnd.Uint64()>>11)/(1<<53))
}

// completeJobs applies the completions up to now.
func (s *simState) completeJobs(now time.Time) {
	for t := range s.jobs {
		for len(s.jobs[t]) > 0 && !s.jobs[t][0].done.After(now) {
			j := s.jobs[t][0]
			s.counters[j.daemon][t].QueuedPrefill.Add(-j.tokens)
			s.jobs[t] = s.jobs[t][1:]
			if s.burst > 0 {
				s.controllers[j.daemon].ObserveFirstToken(j.ticket, j.missedDeadline)
				s.controllers[j.daemon].Release(&s.workspaces[j.daemon][j.workspace])
			}
		}
	}
}

// updateSnapshots builds the daemons' snapshots at a tick.
func (s *simState) updateSnapshots(tick int, now time.Time) {
	queue := make([]int, s.targets)
	for t := range s.busyUntil {
		queue[t] = int(max(s.busyUntil[t].Sub(now).Seconds(), 0) * simPrefillRate)
	}
	s.reports = append(s.reports, queue)
	local := make([][]int64, s.daemons)
	for d := range local {
		local[d] = make([]int64, s.targets)
		for t, c := range s.counters[d] {
			local[d][t] = c.QueuedPrefill.Load()
		}
	}
	s.localTokens = append(s.localTokens, local)
	reportTick := max(tick-int(s.reportDelay/simTick), 0)
	exchangeTick := max(reportTick, tick-tick%int(simExchangeInterval/simTick))
	for d := range s.fleets {
		targets := testTargets(s.targets)
		for t, v := range targets {
			v.Counters = s.counters[d][t]
			v.Report.At = now.Add(-time.Duration(tick-reportTick) * simTick)
			v.Report.QueuedPrefillTokens = s.reports[reportTick][t]
			if s.exchangeLoad {
				v.PeerDeltaAt = now.Add(-time.Duration(tick-exchangeTick) * simTick)
			}
			v.LocalAtReport.QueuedPrefill = s.localTokens[reportTick][d][t]
			for e := range s.localTokens[reportTick] {
				if s.exchangeLoad && e != d {
					v.PeerDelta.QueuedPrefill += s.localTokens[exchangeTick][e][t] - s.localTokens[reportTick][e][t]
				}
			}
		}
		s.fleets[d] = NewFleet(1, "a", targets)
	}
}

// run simulates n requests.
func (sim simulation) run(seed uint64, n int) *simState {
	s := &simState{simulation: sim, rnd: NewRand(seed)}
	s.busyUntil, s.jobs = make([]time.Time, s.targets), make([][]simJob, s.targets)
	s.fleets, s.counters = make([]*Fleet, s.daemons), make([][]*Counters, s.daemons)
	for d := range s.daemons {
		s.routers = append(s.routers, s.router(d))
		s.controllers = append(s.controllers, admission.NewController(admission.Limits{MaxInFlight: 2048, WorkspaceInFlight: 512}))
		s.workspaces = append(s.workspaces, make([]admission.Workspace, simWorkspaces))
		for range s.targets {
			s.counters[d] = append(s.counters[d], &Counters{})
		}
	}
	rate := s.load * float64(s.targets) * simPrefillRate / simMeanPromptTokens
	now, tick := start, 0
	for range n {
		now = now.Add(seconds(s.exponential() / rate))
		for ; !now.Before(start.Add(time.Duration(tick) * simTick)); tick++ {
			s.completeJobs(start.Add(time.Duration(tick) * simTick))
			s.updateSnapshots(tick, start.Add(time.Duration(tick)*simTick))
		}
		s.completeJobs(now)
		s.arrive(now)
	}
	return s
}

func (s *simState) arrive(now time.Time) {
	d, w := s.rnd.IntN(s.daemons), max(s.rnd.IntN(s.burst+simWorkspaces-1)+1-s.burst, 0)
	tokens := min(1+int(s.exponential()*simMeanPromptTokens), 4*types.BlockTokens)
	r := Request{Model: "m", PromptTokens: tokens, MaxTokens: 1}
	var ticket admission.Ticket
	if s.burst > 0 {
		s.offered += min(w, 1)
		var ok bool
		ticket, _, ok = s.controllers[d].Admit(&s.workspaces[d][w], 1, 0, now)
		if !ok {
			return
		}
		r.Deadline, r.BudgetShare = now.Add(simDeadline), ticket.BudgetShare
	}
	c := s.routers[d].Route(s.fleets[d], &r, now, NewRand(s.rnd.Uint64())).Target
	if c == nil {
		s.controllers[d].Release(&s.workspaces[d][w])
		return
	}
	t := slices.Index(s.counters[d], c.Counters)
	if now.After(s.busyUntil[t]) {
		s.busyUntil[t] = now
	}
	s.busyUntil[t] = s.busyUntil[t].Add(seconds(float64(tokens) / simPrefillRate))
	s.counters[d][t].QueuedPrefill.Add(int64(tokens))
	s.jobs[t] = append(s.jobs[t], simJob{s.busyUntil[t], d, w, int64(tokens), ticket, s.busyUntil[t].Sub(now) > simDeadline})
	s.firstTokenTimes = append(s.firstTokenTimes, s.busyUntil[t].Sub(now))
	if s.busyUntil[t].Sub(now) <= simDeadline {
		s.inTime += min(w, 1)
	}
}

// simRouter returns the constructor of the daemons' routers. If spread is set, each of
// 12 daemons has its own part of the ring.
func simRouter(spread bool, samples int) func(int) *Router {
	return func(d int) *Router {
		ro := NewRouter()
		ro.Samples = samples
		if spread {
			ro.SetRingOffset(d, 12)
		}
		return ro
	}
}

// staleReportRatio returns the 95th percentile of the time to first token with 12
// daemons whose load reports are delayed by 2 s, relative to that of a single daemon
// that sees the actual load.
func staleReportRatio(s simulation, n int) float64 {
	baseline := simulation{daemons: 1, targets: s.targets, load: s.load, router: simRouter(false, maxCandidates)}
	s.daemons, s.reportDelay = 12, 2*time.Second
	return float64(s.run(1, n).p95FirstToken()) / float64(baseline.run(1, n).p95FirstToken())
}

// Guards against a thundering herd: daemons that receive the same stale report all
// choose the same targets. The bound is from the design page, section 6.5. The loads
// are the share of prefill in section 1.5 (22%) and its highest value when it varies
// by half (33%).
func TestNoHerdOnStaleReports(t *testing.T) {
	const bound = 1.2
	for _, load := range []float64{0.22, 0.33} {
		for _, exchange := range []bool{false, true} {
			s := simulation{targets: 12, load: load, exchangeLoad: exchange, router: simRouter(true, defaultSamples)}
			ratio := staleReportRatio(s, 20_000)
			t.Logf("load %v, load exchange %v: p95 time to first token is %.2f times that with the actual load", load, exchange, ratio)
			assert.Assert(t, ratio <= bound, "p95 time to first token is %.2f times that with the actual load, want at most %v", ratio, bound)
		}
	}
}

// burstGoodputLoss returns the fraction of the other workspaces' goodput that is lost
// when one of ten workspaces sends ten times its share.
func burstGoodputLoss(load float64, seed uint64) float64 {
	othersGoodput := func(burst int) float64 {
		sum := burst + simWorkspaces - 1
		s := simulation{
			daemons: 12, targets: 12, load: load * float64(sum) / simWorkspaces, reportDelay: 2 * time.Second,
			burst: burst, router: simRouter(true, defaultSamples),
		}
		r := s.run(seed, 4000*sum)
		return float64(r.inTime) / float64(r.offered)
	}
	return 1 - othersGoodput(10)/othersGoodput(1)
}

// Guards against a workspace that starves the others. The bound is from the design
// page, section 6.5.
func TestBurstCostsOthersLittle(t *testing.T) {
	const bound = 0.05
	for _, load := range []float64{0.33, 0.6, 0.9} {
		loss := burstGoodputLoss(load, 1)
		t.Logf("load %v: the other workspaces lose %.1f%% of their goodput", load, 100*loss)
		assert.Check(t, loss <= bound, "load %v: the other workspaces lose %.1f%% of their goodput, want at most %.1f%%", load, 100*loss, 100*bound)
	}
}
