package proof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

const (
	dataCentre    = types.DataCentreID("dc")
	leaseDuration = 6 * time.Second
	// quarantine is also the longest time for which the model delays an order
	// between the check of the lease and the write: the assumed longest pause.
	quarantine = 30 * time.Second
)

var leaseStream = platform.LeaseStream(dataCentre)

// stage is how far a daemon has come with one target.
type stage int

const (
	stageRead stage = iota
	stageDecide
	stageCheck
	stageWrite
	stageNone // no stall
)

// operation is one read of a target's state and the order that follows.
type operation struct {
	stage     stage
	state     *authority.State
	restarts  int                 // of the target at the read
	fence     types.FencingNumber // in force at the read
	order     *authority.Order
	checkedAt time.Time
}

// process is one run of a control daemon: the real state machines without I/O.
type process struct {
	w      *authorityWorld
	holder authority.Holder
	rate   float64 // of its clock, relative to true time
	lease  *authority.Lease
	gate   authority.Gate
	orders *authority.Orders
	ops    map[types.TargetID]*operation
	wanted map[types.TargetID]authority.Wanted
	paused bool
	// stopped says that the process has given up the lease and is about to end.
	stopped bool
	// Partitions: from the log, to the log, to targets, from targets.
	cutRead, cutAppend, cutRequest, cutAnswer bool
}

type target struct {
	*modelengine.Engine
	checks   bool
	restarts int
	// Of the last order that the target carried out.
	fence types.FencingNumber
	id    string
	// seen is the fencing number of the last holder that left the target as it is.
	seen types.FencingNumber
}

// pendingAppend is a lease record on its way to the log.
type pendingAppend struct {
	data []byte
	vm   types.VMID
}

type attempt struct {
	holder authority.Holder
	number uint64
}

// authorityWorld is one data centre: log, daemons and targets, and the oracle.
type authorityWorld struct {
	t       *rapid.T
	start   time.Time
	now     time.Time
	log     *logservice.Service
	procs   []*process
	runs    int
	gone    map[types.VMID]bool
	targets map[types.TargetID]*target
	wanted  map[types.TargetID]authority.Wanted
	slow    bool
	lossy   bool // answers to orders are lost
	pending []pendingAppend
	jobs    int

	// The oracle: who may order until when, by true time and the log's order.
	sentAt   map[attempt]time.Time
	read     types.Offset
	allowed  authority.Holder
	fence    types.FencingNumber
	until    time.Time
	released bool
}

func newAuthorityWorld(t *rapid.T) *authorityWorld {
	start := time.Unix(1_000_000_000, 0)
	// Short, so that claims expire while renewals go on, or all that an earlier
	// holder wrote expires within the longest pause.
	retention := rapid.SampledFrom([]time.Duration{10 * time.Second, 40 * time.Second}).Draw(t, "retention")
	w := &authorityWorld{
		t: t, start: start, now: start, gone: map[types.VMID]bool{}, released: true,
		targets: map[types.TargetID]*target{}, wanted: map[types.TargetID]authority.Wanted{}, sentAt: map[attempt]time.Time{},
	}
	w.log = logservice.New(logservice.Settings{Retention: retention}, func() time.Time { return w.now })
	for i, checks := range []bool{true, false} {
		id := types.TargetID(fmt.Sprintf("t%d", i))
		w.wanted[id] = authority.Wanted{Load: authority.Load{Model: "m", Version: "0"}, ChecksFencing: checks}
		w.targets[id] = &target{checks: checks}
		w.restart(w.targets[id])
	}
	for i := range 3 {
		w.procs = append(w.procs, w.newProcess(types.VMID(fmt.Sprintf("vm%d", i))))
	}
	return w
}

func (w *authorityWorld) restart(tg *target) {
	p := modelengine.DefaultParams()
	p.ChecksFencing = tg.checks
	d := modelengine.Description{Model: "m", Version: "0"}
	if tg.Engine != nil {
		d = tg.Description()
	}
	tg.Engine = modelengine.NewEngine(p, d)
	tg.restarts++
	if tg.checks {
		tg.fence, tg.seen = 0, 0 // a restarted target has lost its highest fencing number
	}
	tg.id = ""
}

func (w *authorityWorld) newProcess(vm types.VMID) *process {
	w.runs++
	p := &process{
		w: w, holder: authority.Holder{VM: vm, Incarnation: fmt.Sprint(w.runs)},
		rate: 1 + float64(w.runs%3-1)*authority.ClockRateError/2, orders: authority.NewOrders(1),
		ops: map[types.TargetID]*operation{}, wanted: map[types.TargetID]authority.Wanted{},
	}
	p.lease = authority.NewLease(authority.Settings{
		DataCentre: dataCentre, Self: p.holder, Duration: leaseDuration, RenewEvery: 2 * time.Second,
		Margin: authority.MarginFor(leaseDuration), Quarantine: quarantine,
	}, p.local())
	return p
}

// local returns the process's reading of its own clock.
func (p *process) local() time.Time {
	return p.w.start.Add(time.Duration(float64(p.w.now.Sub(p.w.start)) * p.rate))
}

// cycle is what a daemon does in about a second. It stops before the stage.
func (p *process) cycle(stall stage) {
	if !p.cutRead {
		p.wanted = maps.Clone(p.w.wanted)
	}
	if p.follow() && !p.stopped {
		if r, _ := p.lease.Step(p.local()); r != nil {
			p.append(r)
		}
		p.follow()
	}
	p.gate.Publish(p.lease.Grant())
	for _, id := range slices.Sorted(maps.Keys(p.wanted)) {
		if g, _ := p.check(id); !p.orders.BeginRead(id, g.Fence) {
			continue
		}
		if p.ops[id] != nil {
			p.w.t.Fatalf("%v: state read of %s while an order is under way", p.holder, id)
		}
		p.ops[id] = &operation{}
		p.proceed(id, stall)
	}
}

// check returns the grant under which the target may be ordered now.
func (p *process) check(id types.TargetID) (authority.Grant, error) {
	return p.gate.CheckTarget(p.local(), p.wanted[id].ChecksFencing, p.isGone)
}

// follow reads the lease stream and reports whether it came to the end.
func (p *process) follow() bool {
	for !p.cutRead {
		page, err := p.w.log.Read(context.Background(), leaseStream, int64(p.lease.NextOffset()), 64, 0)
		if errors.Is(err, logservice.ErrExpired) {
			p.lease.Restart(types.Offset(page.Oldest), p.local())
			continue
		}
		if err != nil {
			return false
		}
		for _, r := range page.Records {
			rec, _ := records.DecodeLease(r.Data)
			if err := p.lease.Observe(types.Offset(r.Offset), rec, p.local()); err != nil {
				p.w.t.Fatalf("observe: %v", err)
			}
		}
		if int64(p.lease.NextOffset()) == page.Next {
			return true
		}
	}
	return false
}

func (p *process) append(r *authority.Record) {
	data, err := records.EncodeLease(r)
	if err != nil {
		p.w.t.Fatalf("encode: %v", err)
	}
	p.w.sentAt[attempt{r.Holder, r.Attempt}] = p.w.now
	if p.cutAppend {
		return
	}
	p.w.pending = append(p.w.pending, pendingAppend{data, p.holder.VM})
	if !p.w.slow {
		p.w.land(len(p.w.pending) - 1)
	}
}

// proceed brings an operation up to the stage before which it stalls.
func (p *process) proceed(id types.TargetID, stall stage) {
	for p.ops[id] != nil && p.ops[id].stage != stall {
		p.next(id, p.ops[id])
	}
}

func (p *process) next(id types.TargetID, op *operation) {
	g, err := p.check(id)
	switch op.stage {
	case stageRead:
		op.state, op.restarts, op.fence = p.state(id), p.w.targets[id].restarts, p.w.fence
	case stageDecide:
		op.order = p.orders.Read(id, p.wanted[id], op.state, g.Fence)
		if op.order == nil {
			p.w.noteLeft(p, id, op, g.Fence)
			delete(p.ops, id)
		}
	case stageCheck:
		if err != nil || g.Fence != op.order.Fence {
			p.end(id, authority.OutcomeNotSent)
			return
		}
		p.w.checkAllowed(p, op.order)
		op.checkedAt = p.w.now
	case stageWrite:
		p.end(id, p.write(id, op))
	}
	op.stage++
}

func (p *process) isGone(vm types.VMID) bool { return p.w.gone[vm] }

func (p *process) end(id types.TargetID, out authority.Outcome) {
	delete(p.ops, id)
	p.orders.Result(id, out)
}

func (p *process) state(id types.TargetID) *authority.State {
	if p.cutRequest || p.cutAnswer {
		return nil
	}
	tg := p.w.targets[id]
	inProgress := tg.OrderInProgress(p.w.now) // before Description: it ends a change that is due
	d := tg.Description()
	return &authority.State{
		Load:         authority.Load{Role: d.Role, Model: d.Model, Version: d.Version, Adapters: d.Adapters},
		HighestFence: tg.HighestFence(), OrderInProgress: inProgress, Running: tg.Running(), Leaving: tg.Leaving(),
	}
}

// write delivers an order without another check: the worst case of a process
// that was paused after the check, with a clock that did not run meanwhile.
func (p *process) write(id types.TargetID, op *operation) authority.Outcome {
	if p.cutRequest {
		return authority.OutcomeUnknown
	}
	o, tg := op.order, p.w.targets[id]
	cut, err := tg.Apply(modelengine.Order{
		ID: o.ID, Fence: o.Fence, Role: o.Role, Model: o.Model, Version: o.Version, Adapters: o.Adapters, Drain: o.Drain,
	}, p.w.now)
	p.w.checkCarriedOut(p, id, op, len(cut), err)
	switch {
	case p.cutAnswer || p.w.lossy:
		return authority.OutcomeUnknown
	case err != nil:
		return authority.OutcomeRefused
	}
	return authority.OutcomeAccepted
}

// land stores a record that is on its way.
func (w *authorityWorld) land(i int) {
	a := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if _, _, err := w.log.Append(leaseStream, [][]byte{a.data}); err != nil {
		return
	}
	page, err := w.log.Read(context.Background(), leaseStream, int64(w.read), 64, 0)
	if errors.Is(err, logservice.ErrExpired) {
		page, err = w.log.Read(context.Background(), leaseStream, page.Oldest, 64, 0)
	}
	if err != nil {
		w.t.Fatalf("oracle cannot read: %v", err)
	}
	for _, r := range page.Records {
		rec, err := records.DecodeLease(r.Data)
		if err != nil {
			w.t.Fatalf("decode: %v", err)
		}
		w.stored(types.Offset(r.Offset), rec)
	}
	w.read = types.Offset(page.Next)
}

// stored is the oracle's own reading of the lease stream.
func (w *authorityWorld) stored(o types.Offset, r *authority.Record) {
	end := w.sentAt[attempt{r.Holder, r.Attempt}].Add(leaseDuration + leaseDuration/1000)
	current := r.Holder == w.allowed && r.Term == w.fence && !w.released
	switch {
	case r.Kind == authority.KindClaim && r.Previous == o-1:
		if r.Holder != w.allowed && !w.released && w.now.Before(w.until.Add(-leaseDuration/500)) {
			w.t.Fatalf("%v claims at offset %d while %v may order for another %v", r.Holder, o, w.allowed, w.until.Sub(w.now))
		}
		w.allowed, w.fence, w.until, w.released = r.Holder, types.FencingNumber(o)+1, end, false
	case r.Kind == authority.KindRenew && current && end.After(w.until):
		w.until = end
	case r.Kind == authority.KindRelease && current:
		w.released = true
	}
}

// checkAllowed is called when the gate lets an order through.
func (w *authorityWorld) checkAllowed(p *process, o *authority.Order) {
	if p.holder != w.allowed || o.Fence != w.fence || w.released || w.now.After(w.until) {
		w.t.Fatalf("gate of %v passes order %s; allowed is %v with fence %d until %v, released %t",
			p.holder, o.ID, w.allowed, w.fence, w.until.Sub(w.now), w.released)
	}
}

// noteLeft is called when a daemon leaves a target as it is.
func (w *authorityWorld) noteLeft(p *process, id types.TargetID, op *operation, fence types.FencingNumber) {
	tg := w.targets[id]
	if op.state != nil && op.state.OrderInProgress == "" && op.restarts == tg.restarts && op.fence == fence {
		tg.seen = max(tg.seen, fence)
	}
}

// checkCarriedOut is called when a target has answered an order.
func (w *authorityWorld) checkCarriedOut(p *process, id types.TargetID, op *operation, cut int, err error) {
	tg, o := w.targets[id], op.order
	switch {
	case errors.Is(err, modelengine.ErrBusy) && tg.fence == o.Fence:
		w.t.Fatalf("%v sends %s to %s, which carries out its order %s", p.holder, o.ID, id, tg.id)
	case err != nil:
		return
	case o.Fence < tg.fence:
		w.t.Fatalf("%s carries out %s of %v after %s of a later holder", id, o.ID, p.holder, tg.id)
	case tg.checks && o.Fence < tg.seen:
		w.t.Fatalf("%s carries out %s of %v after holder %d took it over", id, o.ID, p.holder, tg.seen)
	case op.fence < tg.fence && tg.fence < o.Fence:
		w.t.Fatalf("%v decides %s for %s from a state before %s", p.holder, o.ID, id, tg.id)
	case cut > 0 && op.restarts == tg.restarts:
		w.t.Fatalf("%s of %v cuts %d requests on %s", o.ID, p.holder, cut, id)
	}
	tg.fence, tg.id = o.Fence, o.ID
}

// check holds after every action.
func (w *authorityWorld) check(t *rapid.T) {
	held := 0
	for _, p := range w.procs {
		if !p.lease.Held(p.local()) {
			continue
		}
		held++
		if p.stopped {
			t.Fatalf("%v holds the lease after it gave it up", p.holder)
		}
	}
	if held > 1 {
		t.Fatalf("%d daemons hold the lease", held)
	}
}

// pass lets time pass. An order that a process has checked is written after
// the longest pause at the latest.
func (w *authorityWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.procs {
		for _, id := range slices.Sorted(maps.Keys(p.ops)) {
			if op := p.ops[id]; op.stage == stageWrite && w.now.Sub(op.checkedAt) > quarantine-2*time.Second {
				p.proceed(id, stageNone)
			}
		}
	}
}

// run lets time pass while the daemons that are not paused work.
func (w *authorityWorld) run(seconds int) {
	for range seconds {
		w.pass(time.Second)
		for _, p := range w.procs {
			if !p.paused {
				p.cycle(stageNone)
			}
		}
	}
}

// pick draws a daemon, every other time the one that may order.
func (w *authorityWorld) pick(t *rapid.T) *process {
	if rapid.Bool().Draw(t, "holder") {
		for _, p := range w.procs {
			if p.holder == w.allowed {
				return p
			}
		}
	}
	return w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "daemon")]
}

func (w *authorityWorld) pickTarget(t *rapid.T) types.TargetID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(w.targets))).Draw(t, "target")
}

func (p *process) wake() {
	p.paused = false
	for _, id := range slices.Sorted(maps.Keys(p.ops)) {
		p.proceed(id, stageNone)
	}
}

func (w *authorityWorld) replace(old *process, vm types.VMID) {
	w.procs[slices.Index(w.procs, old)] = w.newProcess(vm)
}

func (w *authorityWorld) want(t *rapid.T) {
	id := w.pickTarget(t)
	n := w.wanted[id]
	n.Role = rapid.SampledFrom([]types.Role{types.RoleMixed, types.RolePrefill, types.RoleDecode}).Draw(t, "role")
	n.Version = rapid.SampledFrom([]string{"0", "1"}).Draw(t, "version")
	n.Drain = rapid.Bool().Draw(t, "drain")
	w.wanted[id] = n
}

// normal actions are part of every sequence.
func (w *authorityWorld) normal() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run":  func(t *rapid.T) { w.run(rapid.IntRange(1, 12).Draw(t, "seconds")) },
		"want": w.want,
		"request": func(t *rapid.T) {
			w.jobs++
			j := &modelengine.Job{ID: types.RequestID(fmt.Sprint(w.jobs)), PromptTokens: 1, MaxTokens: 1}
			_ = w.targets[w.pickTarget(t)].Submit(j, "m", "", w.now) // a refusal is an outcome, too
		},
		"complete": func(t *rapid.T) { w.targets[w.pickTarget(t)].Step(w.now) },
	}
}

// faults returns the actions of each kind of fault.
func (w *authorityWorld) faults() map[string]map[string]func(*rapid.T) {
	type actions = map[string]func(*rapid.T)
	toggle := func(b *bool) func(*rapid.T) { return func(*rapid.T) { *b = !*b } }
	return map[string]actions{
		"pause": {
			"stall": func(t *rapid.T) {
				p := w.pick(t)
				if p.paused {
					t.Skip()
				}
				before := maps.Clone(w.wanted)
				w.want(t) // so that there is something to order
				p.paused = rapid.Bool().Draw(t, "paused")
				p.cycle(stage(rapid.IntRange(int(stageRead), int(stageNone)).Draw(t, "stage")))
				if rapid.Bool().Draw(t, "revert") {
					w.wanted = before
				}
				w.run(rapid.IntRange(0, 15).Draw(t, "seconds"))
			},
			"wake": func(t *rapid.T) { w.pick(t).wake() },
		},
		"kill": {
			"kill": func(t *rapid.T) { p := w.pick(t); w.replace(p, p.holder.VM) },
			"stop": func(t *rapid.T) { w.stop(w.pick(t)); w.run(2) },
			"replace VM": func(t *rapid.T) {
				p := w.pick(t)
				w.gone[p.holder.VM] = true
				w.replace(p, types.VMID(fmt.Sprintf("vm%d", w.runs)))
			},
		},
		"partition": {
			"partition": func(t *rapid.T) {
				p := w.pick(t)
				for _, cut := range []*bool{&p.cutRead, &p.cutAppend, &p.cutRequest, &p.cutAnswer} {
					*cut = rapid.Bool().Draw(t, "cut")
				}
			},
		},
		"outage": {"outage": func(*rapid.T) {
			f := w.log.Faults()
			f.Outage = !f.Outage
			w.log.SetFaults(f)
		}},
		"duplicates": {"duplicates": func(*rapid.T) {
			f := w.log.Faults()
			f.DuplicateAppends = 1 - f.DuplicateAppends
			w.log.SetFaults(f)
		}},
		"lost answers": {"lost answers": toggle(&w.lossy)},
		"slow log": {
			"slow": toggle(&w.slow),
			"land": func(t *rapid.T) {
				if len(w.pending) == 0 {
					t.Skip()
				}
				w.land(rapid.IntRange(0, len(w.pending)-1).Draw(t, "append"))
			},
		},
		"crash": {"crash": func(t *rapid.T) {
			tg := w.targets[w.pickTarget(t)]
			tg.CutAll()
			tg.AbortChange()
			if rapid.Bool().Draw(t, "restart") {
				w.restart(tg)
			}
		}},
		"expiry": {"nobody runs": func(t *rapid.T) {
			w.pass(time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second)
		}},
	}
}

// stop is a graceful shutdown: the orders under way end, then the lease is
// released if the result of each is known.
func (w *authorityWorld) stop(p *process) {
	p.wake()
	if r := p.lease.Release(p.local()); r != nil && p.orders.Settled() {
		p.append(r)
	}
	p.stopped = true
}

// heal ends all faults; the daemons must then bring every target to what is
// wanted of it within the lease, the quarantine and a few changes.
func (w *authorityWorld) heal() {
	w.slow, w.lossy = false, false
	w.log.SetFaults(logservice.Faults{})
	for len(w.pending) > 0 {
		w.land(0)
	}
	for _, p := range w.procs {
		p.cutRead, p.cutAppend, p.cutRequest, p.cutAnswer = false, false, false, false
		p.wake()
		if p.stopped {
			w.replace(p, p.holder.VM)
		}
	}
	for range 100 {
		for _, tg := range w.targets {
			tg.Step(w.now)
		}
		w.run(1)
		if w.settled() {
			return
		}
	}
	w.t.Fatalf("targets are not as wanted 100 s after the last fault")
}

func (w *authorityWorld) settled() bool {
	for id, tg := range w.targets {
		changing := tg.Changing(w.now) // before Description: it ends a change that is due
		d, want := tg.Description(), w.wanted[id]
		if changing || d.Role != want.Role || d.Version != want.Version || tg.Leaving() != want.Drain {
			return false
		}
	}
	return true
}

// Guards against two daemons with authority, orders without authority, orders
// that a target carries out out of turn, requests cut by a planned change, and
// daemons that stay stuck after the faults have ended.
func TestStatefulAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newAuthorityWorld(t)
		actions := withFaults(t, w.normal(), w.faults())
		actions[""] = w.check
		t.Repeat(actions)
		w.heal()
	})
}
