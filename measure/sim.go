package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventQueue is a heap of events ordered by time; events at the same time are in order of insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// call is the state of one request.
type call struct {
	id      int
	req     *Request
	job     *modelengine.Job
	prefill *engineState // nil after prefill has completed
	decode  *engineState // engine on which capacity for the stream is reserved
	// prefilling indicates that the current job ends after prefill and decode runs as another job.
	prefilling        bool
	uncachedTokens    int
	firstTokenLatency time.Duration // from the arrival
	lastTokenAt       time.Duration
	producedTokens    int
	lateIntervals     int // intervals longer than tokenInterval
}

// sim is the state of one simulation of a trace under a policy.
type sim struct {
	now        time.Duration
	seq        uint64
	queue      eventQueue
	rnd        *rand.Rand
	trace      *Trace
	policy     Policy
	placement  placement
	engines    []*engineState
	fleet      *routing.Fleet
	admission  *admission.Controller
	workspaces [workspaceCount]admission.Workspace
	result     *Result
	nextID     int

	// Tokens requested since the previous plan.
	requestedPrefill, requestedDecode float64
}

// simulate runs a trace under a policy. The seed determines all random choices of the routers.
func simulate(tr *Trace, p Policy, seed uint64) *Result {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 0x6d656173757265)), trace: tr, policy: p, placement: p.Placement(),
		result: newResult(tr.Name, p.Name()),
		admission: admission.NewController(admission.Limits{
			MaxInFlight: maxWorkspaceInFlight * workspaceCount, WorkspaceInFlight: maxWorkspaceInFlight,
		}),
	}
	s.buildFleet(p.InitialRoles())
	s.scheduleTrace()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.result.summarise()
	return s.result
}

func (s *sim) buildFleet(n planning.RoleCounts) {
	for role, k := range n {
		for range k {
			s.engines = append(s.engines, newEngineState(len(s.engines), types.Role(role)))
		}
	}
	s.publishFleet()
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) schedule(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

func (s *sim) scheduleAfter(d time.Duration, run func()) { s.schedule(s.now+d, run) }

func (s *sim) scheduleTrace() {
	s.scheduleArrival(0)
	s.scheduleEvery(reportInterval, s.sampleReports)
	s.scheduleEvery(planInterval, s.planRoles)
	if l := s.trace.Crash; l != nil {
		e := s.engines[l.Engine]
		s.schedule(l.At, func() { s.crash(e) })
		s.schedule(l.RestartAt, func() { s.restart(e) })
	}
}

// scheduleEvery runs f at intervals of d until the end of the trace.
func (s *sim) scheduleEvery(d time.Duration, f func()) {
	s.scheduleAfter(d, func() {
		f()
		if s.now < traceLength {
			s.scheduleEvery(d, f)
		}
	})
}

// scheduleArrival schedules the arrival of request i, which in turn schedules the next arrival.
func (s *sim) scheduleArrival(i int) {
	if i == len(s.trace.Requests) {
		return
	}
	r := &s.trace.Requests[i]
	s.schedule(r.Arrival, func() {
		s.handleArrival(r)
		s.scheduleArrival(i + 1)
	})
}

func (s *sim) sampleReports() {
	for _, e := range s.engines {
		if !e.failed {
			e.sample(s.time())
		}
	}
	s.publishFleet()
}

// publishFleet replaces the fleet snapshot that the routers use.
func (s *sim) publishFleet() {
	targets := make([]*routing.Target, len(s.engines))
	for i, e := range s.engines {
		e.history.Record(s.time(), e.counters.Load())
		r := e.report()
		targets[i] = &routing.Target{
			ID: e.id, Kind: types.KindEngine, DataCentre: group.DataCentre, Model: model,
			Role: e.role, Changing: !e.available(), Rates: engineParams().Rates,
			Report: r, HasReport: !r.At.IsZero(), LocalAtReport: e.history.At(r.At), Counters: e.counters,
		}
	}
	s.fleet = routing.NewFleet(1, group.DataCentre, targets)
}

// planRoles runs the policy and starts the role changes that it orders.
func (s *sim) planRoles() {
	v := View{Now: s.now, Prefill: s.requestedPrefill, Decode: s.requestedDecode}
	s.requestedPrefill, s.requestedDecode = 0, 0
	for _, e := range s.engines {
		to := e.changingTo
		if e.drainingTo != nil {
			to = *e.drainingTo
		}
		v.Reports = append(v.Reports, e.report())
		v.Engines = append(v.Engines, planning.Engine{
			ID: e.id, Group: group, Role: e.role, State: e.planningState(),
			ChangingTo: to, Running: e.report().Running,
		})
	}
	for _, o := range s.policy.Plan(v) {
		s.startRoleChange(o.Engine, o.To)
	}
}

// handleArrival admits, places and dispatches one request. The requested tokens count as demand if the
// request is admitted, even if placement refuses it.
func (s *sim) handleArrival(r *Request) {
	s.nextID++
	c := &call{id: s.nextID, req: r}
	s.result.recordArrival(r)
	if _, _, ok := s.admission.Admit(&s.workspaces[r.Workspace], 1, 0, s.time()); !ok {
		s.result.RefusedAdmission++
		return
	}
	s.requestedDecode += float64(r.Output)
	if !s.placement.dispatch(s, c) {
		s.requestedPrefill += float64(r.Prompt - s.maxCachedTokens(r))
		s.result.RefusedPlacement++
		s.admission.Release(&s.workspaces[r.Workspace])
		return
	}
	s.requestedPrefill += float64(c.uncachedTokens)
}

// maxCachedTokens returns the length of the longest cached prefix of the prompt on any engine.
func (s *sim) maxCachedTokens(r *Request) int {
	best := 0
	for _, e := range s.engines {
		best = max(best, e.cachedTokens(r))
	}
	return best
}

// cachedTokens returns the number of prompt tokens in the leading blocks that the engine has computed.
func (e *engineState) cachedTokens(r *Request) int {
	n := 0
	for _, b := range r.Blocks {
		if !e.cachedBlocks[b] {
			break
		}
		n += types.BlockTokens
	}
	return n
}

// runCombined starts the request on one engine, which runs both prefill and decode.
func (s *sim) runCombined(c *call, e *engineState) {
	c.prefill, c.decode = e, e
	s.reservePrefill(c, e)
	s.reserveDecode(c, e)
	s.submit(c, e, &modelengine.Job{PromptTokens: c.req.Prompt, Blocks: c.req.Blocks, MaxTokens: c.req.Output})
}

// runSplit starts prefill on one engine and reserves capacity for the stream on another one.
func (s *sim) runSplit(c *call, prefill, decode *engineState) {
	c.prefill, c.prefilling = prefill, true
	s.reservePrefill(c, prefill)
	s.reserveDecode(c, decode)
	s.submit(c, prefill, &modelengine.Job{
		PromptTokens: c.req.Prompt, Blocks: c.req.Blocks, MaxTokens: c.req.Output, PrefillOnly: true,
	})
}

func (s *sim) submit(c *call, e *engineState, j *modelengine.Job) {
	c.job = j
	if err := e.model.Submit(j, model, "", s.time()); err != nil {
		s.finish(c, false)
		return
	}
	e.calls[j] = c
	s.startIteration(e)
}

func (s *sim) reservePrefill(c *call, e *engineState) {
	c.uncachedTokens = c.req.Prompt - e.cachedTokens(c.req)
	e.counters.QueuedPrefill.Add(int64(c.uncachedTokens))
	if c.prefilling {
		e.counters.InFlight.Add(1)
	}
}

func (s *sim) reserveDecode(c *call, e *engineState) {
	c.decode = e
	e.counters.Decoding.Add(1)
	e.counters.InFlight.Add(1)
}

func (s *sim) releasePrefill(c *call) {
	if c.prefill == nil {
		return
	}
	c.prefill.counters.QueuedPrefill.Add(-int64(c.uncachedTokens))
	if c.prefilling {
		c.prefill.counters.InFlight.Add(-1)
	}
	c.prefill = nil
}

func (s *sim) releaseDecode(c *call) {
	if c.decode == nil {
		return
	}
	c.decode.counters.Decoding.Add(-1)
	c.decode.counters.InFlight.Add(-1)
	c.decode = nil
}

// handleOutput processes the output of one iteration for one call.
func (s *sim) handleOutput(e *engineState, o modelengine.Output) {
	c := e.calls[o.Job]
	if c == nil {
		return
	}
	if c.prefill == e {
		s.releasePrefill(c)
		for _, b := range c.req.Blocks {
			e.cachedBlocks[b] = true
		}
	}
	if c.prefilling {
		delete(e.calls, o.Job)
		c.prefilling = false
		s.startTransfer(c)
		return
	}
	s.recordToken(c)
	if o.Done {
		delete(e.calls, o.Job)
		s.finish(c, true)
	}
}

// startTransfer transfers the KV cache to the reserved decode engine, or to another one if that engine
// has become unavailable. The call fails if there is none.
func (s *sim) startTransfer(c *call) {
	to := c.decode
	s.releaseDecode(c)
	if !to.available() {
		to = s.placement.decodeEngine(s, c)
	}
	if to == nil {
		s.finish(c, false)
		return
	}
	s.transfer(c, to)
}

// transfer moves the KV cache of a call to an engine and resumes the stream there. The call fails if
// the engine crashes during the transfer.
func (s *sim) transfer(c *call, to *engineState) {
	s.reserveDecode(c, to)
	to.incomingTransfers++
	tokens := c.req.Prompt + c.producedTokens
	incarnation := to.incarnation
	s.scheduleAfter(transferTime(tokens), func() {
		to.incomingTransfers--
		if to.incarnation != incarnation || to.failed {
			s.finish(c, false)
			return
		}
		s.submit(c, to, &modelengine.Job{
			PromptTokens: c.req.Prompt, MaxTokens: c.req.Output, Produced: c.producedTokens, HasKV: true,
		})
	})
}

func transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / engineParams().Rates.KVTransferTokensPerSecond * float64(time.Second))
}

// recordToken records one output token of a call.
func (s *sim) recordToken(c *call) {
	if c.producedTokens == 0 {
		c.firstTokenLatency = s.now - c.req.Arrival
		s.result.recordFirstToken(c.firstTokenLatency)
	} else {
		interval := s.now - c.lastTokenAt
		s.result.recordInterval(interval)
		if interval > tokenInterval {
			c.lateIntervals++
		}
	}
	c.lastTokenAt = s.now
	c.producedTokens++
}

// finish ends a call, releases its reservations and records the outcome. An incomplete call counts as
// failed.
func (s *sim) finish(c *call, complete bool) {
	s.releasePrefill(c)
	s.releaseDecode(c)
	s.admission.Release(&s.workspaces[c.req.Workspace])
	if !complete {
		s.result.Failed++
		return
	}
	firstInTime := c.firstTokenLatency <= firstTokenDeadline(c.req.Prompt)
	intervalsInTime := float64(c.lateIntervals) <= maxLateIntervalShare*float64(c.producedTokens-1)
	s.result.recordResponse(c.req, firstInTime, intervalsInTime)
}
