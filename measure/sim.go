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

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventQueue is a heap ordered by time and, at the same time, by insertion.
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

// call is one request in the system.
type call struct {
	id      int
	req     *Request
	job     *modelengine.Job
	prefill *engineState // nil once prefill is done
	decode  *engineState // where a place for the stream is held
	// prefilling says that the job on the engine ends after prefill.
	prefilling bool
	uncached   int
	first      time.Duration
	last       time.Duration
	produced   int
	late       int
}

// sim is one run of a trace under a policy.
type sim struct {
	now        time.Duration
	seq        uint64
	queue      eventQueue
	rnd        *rand.Rand
	trace      *Trace
	policy     Policy
	place      placement
	engines    []*engineState
	fleet      *routing.Fleet
	admission  *admission.Controller
	workspaces [workspaceCount]admission.Workspace
	result     *Result
	nextID     int

	// Tokens asked for since the last plan.
	askedPrefill, askedDecode float64
}

// run simulates a trace under a policy.
func run(tr *Trace, p Policy, seed uint64) *Result {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 0x6d656173757265)), trace: tr, policy: p, place: p.Placement(),
		result: newResult(tr.Name, p.Name()),
		admission: admission.NewController(admission.Limits{
			MaxInFlight: workspaceInFlight * workspaceCount, WorkspaceInFlight: workspaceInFlight,
		}),
	}
	s.build(p.Initial())
	s.scheduleAll()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.result.close()
	return s.result
}

func (s *sim) build(n planning.RoleCounts) {
	for role, k := range n {
		for range k {
			s.engines = append(s.engines, newEngineState(len(s.engines), types.Role(role)))
		}
	}
	s.publish()
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

func (s *sim) scheduleAll() {
	s.arrivals(0)
	s.every(reportInterval, s.sampleReports)
	s.every(planInterval, s.plan)
	if l := s.trace.Loss; l != nil {
		e := s.engines[l.Engine]
		s.at(l.At, func() { s.crash(e) })
		s.at(l.Back, func() { s.comeBack(e) })
	}
}

// every runs f periodically until the end of the trace.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		if s.now < traceLength {
			s.every(d, f)
		}
	})
}

// arrivals schedules the request with the given index, and it the next one.
func (s *sim) arrivals(i int) {
	if i == len(s.trace.Requests) {
		return
	}
	r := &s.trace.Requests[i]
	s.at(r.Arrival, func() {
		s.arrive(r)
		s.arrivals(i + 1)
	})
}

func (s *sim) sampleReports() {
	for _, e := range s.engines {
		if !e.failed {
			e.sample(s.time())
		}
	}
	s.publish()
}

// publish gives the daemon a new fleet snapshot.
func (s *sim) publish() {
	targets := make([]*routing.Target, len(s.engines))
	for i, e := range s.engines {
		e.history.Record(s.time(), e.counters.Load())
		r := e.report()
		targets[i] = &routing.Target{
			ID: e.id, Kind: types.KindEngine, DataCentre: group.DataCentre, Model: model,
			Role: e.role, Changing: !e.available(), Rates: params().Rates,
			Report: r, HasReport: !r.At.IsZero(), LocalAtReport: e.history.At(r.At), Counters: e.counters,
		}
	}
	s.fleet = routing.NewFleet(1, group.DataCentre, targets)
}

// plan lets the policy order changes.
func (s *sim) plan() {
	v := View{Now: s.now, Prefill: s.askedPrefill, Decode: s.askedDecode}
	s.askedPrefill, s.askedDecode = 0, 0
	for _, e := range s.engines {
		to := e.changingTo
		if e.drainingTo != nil {
			to = *e.drainingTo
		}
		v.Reports = append(v.Reports, e.report())
		v.Engines = append(v.Engines, planning.Engine{
			ID: e.id, Group: group, Role: e.role, State: e.state(),
			ChangingTo: to, Running: e.report().Running,
		})
	}
	for _, o := range s.policy.Plan(v) {
		s.order(o.Engine, o.To)
	}
}

// arrive admits, places and dispatches one request.
func (s *sim) arrive(r *Request) {
	s.nextID++
	c := &call{id: s.nextID, req: r}
	s.result.arrived(r)
	if _, _, ok := s.admission.Admit(&s.workspaces[r.Workspace], 1, 0, s.time()); !ok {
		s.result.RefusedAdmission++
		return
	}
	s.askedDecode += float64(r.Output)
	if !s.place.dispatch(s, c) {
		s.askedPrefill += float64(r.Prompt - s.anyCached(r))
		s.result.RefusedPlacement++
		s.admission.Release(&s.workspaces[r.Workspace])
		return
	}
	s.askedPrefill += float64(c.uncached)
}

// anyCached returns how many tokens of the prompt some engine has cached.
func (s *sim) anyCached(r *Request) int {
	best := 0
	for _, e := range s.engines {
		best = max(best, e.cachedTokens(r))
	}
	return best
}

// cachedTokens returns how much of the prompt the engine is known to have.
func (e *engineState) cachedTokens(r *Request) int {
	n := 0
	for _, b := range r.Blocks {
		if !e.cached[b] {
			break
		}
		n += types.BlockTokens
	}
	return n
}

// runWhole starts the request on one engine.
func (s *sim) runWhole(c *call, e *engineState) {
	c.prefill, c.decode = e, e
	s.holdPrefill(c, e)
	s.holdDecode(c, e)
	s.submit(c, e, &modelengine.Job{PromptTokens: c.req.Prompt, Blocks: c.req.Blocks, MaxTokens: c.req.Output})
}

// runSplit starts the request on a prefill engine and holds a place on a
// decode engine.
func (s *sim) runSplit(c *call, prefill, decode *engineState) {
	c.prefill, c.prefilling = prefill, true
	s.holdPrefill(c, prefill)
	s.holdDecode(c, decode)
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
	s.step(e)
}

func (s *sim) holdPrefill(c *call, e *engineState) {
	c.uncached = c.req.Prompt - e.cachedTokens(c.req)
	e.counters.QueuedPrefill.Add(int64(c.uncached))
	if c.prefilling {
		e.counters.InFlight.Add(1)
	}
}

func (s *sim) holdDecode(c *call, e *engineState) {
	c.decode = e
	e.counters.Decoding.Add(1)
	e.counters.InFlight.Add(1)
}

func (s *sim) leavePrefill(c *call) {
	if c.prefill == nil {
		return
	}
	c.prefill.counters.QueuedPrefill.Add(-int64(c.uncached))
	if c.prefilling {
		c.prefill.counters.InFlight.Add(-1)
	}
	c.prefill = nil
}

func (s *sim) leaveDecode(c *call) {
	if c.decode == nil {
		return
	}
	c.decode.counters.Decoding.Add(-1)
	c.decode.counters.InFlight.Add(-1)
	c.decode = nil
}

// output handles what one call got from one iteration.
func (s *sim) output(e *engineState, o modelengine.Output) {
	c := e.calls[o.Job]
	if c == nil {
		return
	}
	if c.prefill == e {
		s.leavePrefill(c)
		for _, b := range c.req.Blocks {
			e.cached[b] = true
		}
	}
	if c.prefilling {
		delete(e.calls, o.Job)
		c.prefilling = false
		s.handOver(c)
		return
	}
	s.token(c)
	if o.Done {
		delete(e.calls, o.Job)
		s.finish(c, true)
	}
}

// handOver sends the KV cache to the decode engine, or to another one if that
// has become unavailable since.
func (s *sim) handOver(c *call) {
	to := c.decode
	s.leaveDecode(c)
	if !to.available() {
		to = s.place.decode(s, c)
	}
	if to == nil {
		s.finish(c, false)
		return
	}
	s.transfer(c, to)
}

// transfer moves the KV cache of a call to an engine, where it goes on.
func (s *sim) transfer(c *call, to *engineState) {
	s.holdDecode(c, to)
	to.incoming++
	tokens := c.req.Prompt + c.produced
	life := to.life
	s.after(transferTime(tokens), func() {
		to.incoming--
		if to.life != life || to.failed {
			s.finish(c, false)
			return
		}
		s.submit(c, to, &modelengine.Job{
			PromptTokens: c.req.Prompt, MaxTokens: c.req.Output, Produced: c.produced, HasKV: true,
		})
	})
}

func transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / params().Rates.KVTransferTokensPerSecond * float64(time.Second))
}

// token records one output token of a call.
func (s *sim) token(c *call) {
	if c.produced == 0 {
		c.first = s.now - c.req.Arrival
		s.result.firstToken(c.first)
	} else {
		gap := s.now - c.last
		s.result.interval(gap)
		if gap > tokenInterval {
			c.late++
		}
	}
	c.last = s.now
	c.produced++
}

// finish ends a call. A complete response counts as good if it met both deadlines.
func (s *sim) finish(c *call, complete bool) {
	s.leavePrefill(c)
	s.leaveDecode(c)
	s.admission.Release(&s.workspaces[c.req.Workspace])
	if !complete {
		s.result.Cut++
		return
	}
	inTime := c.first <= firstTokenDeadline(c.req.Prompt)
	steady := float64(c.late) <= lateShare*float64(c.produced-1)
	s.result.answered(c.req, inTime, steady)
}
