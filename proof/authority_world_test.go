package proof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/logclient"
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

var leaseStream = logclient.LeaseStream(dataCentre)

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
	state     *authority.ObservedState
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
	wanted map[types.TargetID]authority.DesiredState
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
	wanted  map[types.TargetID]authority.DesiredState
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
		targets: map[types.TargetID]*target{}, wanted: map[types.TargetID]authority.DesiredState{}, sentAt: map[attempt]time.Time{},
	}
	w.log = logservice.New(logservice.Settings{Retention: retention}, func() time.Time { return w.now })
	for i, checks := range []bool{true, false} {
		id := types.TargetID(fmt.Sprintf("t%d", i))
		w.wanted[id] = authority.DesiredState{EngineSpec: authority.EngineSpec{Model: "m", Version: "0"}, ChecksFencing: checks}
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
		ops: map[types.TargetID]*operation{}, wanted: map[types.TargetID]authority.DesiredState{},
	}
	p.lease = authority.NewLease(authority.Settings{
		DataCentre: dataCentre, Self: p.holder, Duration: leaseDuration, RenewInterval: 2 * time.Second,
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
			p.lease.SkipExpired(types.Offset(page.Oldest), p.local())
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
		op.order = p.orders.FinishRead(id, p.wanted[id], op.state, g.Fence)
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
	p.orders.RecordResult(id, out)
}

func (p *process) state(id types.TargetID) *authority.ObservedState {
	if p.cutRequest || p.cutAnswer {
		return nil
	}
	tg := p.w.targets[id]
	inProgress := tg.OrderInProgress(p.w.now) // before Description: it ends a change that is due
	d := tg.Description()
	return &authority.ObservedState{
		EngineSpec:   authority.EngineSpec{Role: d.Role, Model: d.Model, Version: d.Version, Adapters: d.Adapters},
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
