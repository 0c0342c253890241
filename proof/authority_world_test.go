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
	// quarantine equals the longest pause of a process that the design assumes, so the
	// model delays an order between the lease check and the write by at most this time.
	quarantine = 30 * time.Second
)

var leaseStream = logclient.LeaseStream(dataCentre)

// stage is the next step of an operation.
type stage int

const (
	stageRead stage = iota
	stageDecide
	stageCheck
	stageWrite
	stageNone // no stall
)

// operation is one read of a target's state and the order that results from it.
type operation struct {
	stage          stage
	observed       *authority.ObservedState
	targetRestarts int                 // restarts of the target at the time of the read
	fenceAtRead    types.FencingNumber // of the lease holder at the time of the read
	order          *authority.Order
	checkedAt      time.Time
}

// process is one process of a control daemon: the production state machines without I/O.
type process struct {
	w          *authorityWorld
	holder     authority.Holder
	clockRate  float64 // of the local clock, relative to true time
	lease      *authority.Lease
	gate       authority.Gate
	orders     *authority.Orders
	operations map[types.TargetID]*operation
	desired    map[types.TargetID]authority.DesiredState
	paused     bool
	// stopped is true once the process has shut down; it waits to be replaced.
	stopped bool
	// Partitions: reads from the log, appends to the log, requests to targets, and
	// responses from targets.
	blockReads, blockAppends, blockRequests, blockResponses bool
}

type target struct {
	*modelengine.Engine
	checksFencing bool
	restarts      int
	// Fencing number and ID of the last order that the target applied.
	appliedFence types.FencingNumber
	appliedOrder string
	// minFence is the highest fencing number under which a daemon read the target's
	// state and sent no order; orders with a lower one must no longer be applied.
	minFence types.FencingNumber
}

// pendingAppend is a lease record that was sent and has not reached the log.
type pendingAppend struct {
	data []byte
	vm   types.VMID
}

type appendAttempt struct {
	holder authority.Holder
	number uint64
}

// authorityWorld models one data centre: the log, the control daemons, the targets and
// the oracle.
type authorityWorld struct {
	t                  *rapid.T
	start              time.Time
	now                time.Time
	log                *logservice.Service
	processes          []*process
	incarnations       int
	removedVMs         map[types.VMID]bool
	targets            map[types.TargetID]*target
	desired            map[types.TargetID]authority.DesiredState
	delayAppends       bool
	loseOrderResponses bool // responses to orders are lost
	pendingAppends     []pendingAppend
	requestCount       int

	// The oracle: the process that may send orders and until when, by true time and
	// the order of the records in the log.
	sentAt        map[appendAttempt]time.Time
	oracleOffset  types.Offset
	allowedHolder authority.Holder
	allowedFence  types.FencingNumber
	allowedUntil  time.Time
	released      bool
}

func newAuthorityWorld(t *rapid.T) *authorityWorld {
	start := time.Unix(1_000_000_000, 0)
	// Short, so that claims expire while renewals continue, or all records of an
	// earlier holder expire within the longest pause.
	retention := rapid.SampledFrom([]time.Duration{10 * time.Second, 40 * time.Second}).Draw(t, "retention")
	w := &authorityWorld{
		t: t, start: start, now: start, removedVMs: map[types.VMID]bool{}, released: true,
		targets: map[types.TargetID]*target{}, desired: map[types.TargetID]authority.DesiredState{}, sentAt: map[appendAttempt]time.Time{},
	}
	w.log = logservice.New(logservice.Settings{Retention: retention}, func() time.Time { return w.now })
	for i, checks := range []bool{true, false} {
		id := types.TargetID(fmt.Sprintf("t%d", i))
		w.desired[id] = authority.DesiredState{EngineSpec: authority.EngineSpec{Model: "m", Version: "0"}, ChecksFencing: checks}
		w.targets[id] = &target{checksFencing: checks}
		w.restartTarget(w.targets[id])
	}
	for i := range 3 {
		w.processes = append(w.processes, w.newProcess(types.VMID(fmt.Sprintf("vm%d", i))))
	}
	return w
}

func (w *authorityWorld) restartTarget(tg *target) {
	p := modelengine.DefaultParams()
	p.ChecksFencing = tg.checksFencing
	d := modelengine.Description{Model: "m", Version: "0"}
	if tg.Engine != nil {
		d = tg.Description()
	}
	tg.Engine = modelengine.NewEngine(p, d)
	tg.restarts++
	if tg.checksFencing {
		tg.appliedFence, tg.minFence = 0, 0 // a restart loses the highest fencing number
	}
	tg.appliedOrder = ""
}

func (w *authorityWorld) newProcess(vm types.VMID) *process {
	w.incarnations++
	p := &process{
		w: w, holder: authority.Holder{VM: vm, Incarnation: fmt.Sprint(w.incarnations)},
		clockRate: 1 + float64(w.incarnations%3-1)*authority.ClockRateError/2, orders: authority.NewOrders(1),
		operations: map[types.TargetID]*operation{}, desired: map[types.TargetID]authority.DesiredState{},
	}
	p.lease = authority.NewLease(authority.Settings{
		DataCentre: dataCentre, Self: p.holder, Duration: leaseDuration, RenewInterval: 2 * time.Second,
		Margin: authority.MarginFor(leaseDuration), Quarantine: quarantine,
	}, p.localTime())
	return p
}

// localTime returns the time by the clock of the process.
func (p *process) localTime() time.Time {
	return p.w.start.Add(time.Duration(float64(p.w.now.Sub(p.w.start)) * p.clockRate))
}

// runCycle performs the work that a daemon does about once a second. New operations
// stop before the stage stall.
func (p *process) runCycle(stall stage) {
	if !p.blockReads {
		p.desired = maps.Clone(p.w.desired)
	}
	if p.readLeaseStream() && !p.stopped {
		if r, _ := p.lease.Step(p.localTime()); r != nil {
			p.appendRecord(r)
		}
		p.readLeaseStream()
	}
	p.gate.Publish(p.lease.Grant())
	for _, id := range slices.Sorted(maps.Keys(p.desired)) {
		if g, _ := p.checkGrant(id); !p.orders.BeginRead(id, g.Fence) {
			continue
		}
		if p.operations[id] != nil {
			p.w.t.Fatalf("%v reads the state of %s while an operation is in progress", p.holder, id)
		}
		p.operations[id] = &operation{}
		p.runUntil(id, stall)
	}
}

// checkGrant returns the grant under which orders may be sent to the target now.
func (p *process) checkGrant(id types.TargetID) (authority.Grant, error) {
	return p.gate.CheckTarget(p.localTime(), p.desired[id].ChecksFencing, p.isRemoved)
}

// readLeaseStream reads the lease stream and reports whether it reached the end.
func (p *process) readLeaseStream() bool {
	for !p.blockReads {
		page, err := p.w.log.Read(context.Background(), leaseStream, int64(p.lease.NextOffset()), 64, 0)
		if errors.Is(err, logservice.ErrExpired) {
			p.lease.SkipExpired(types.Offset(page.Oldest), p.localTime())
			continue
		}
		if err != nil {
			return false
		}
		for _, r := range page.Records {
			rec, _ := records.DecodeLease(r.Data)
			if err := p.lease.Observe(types.Offset(r.Offset), rec, p.localTime()); err != nil {
				p.w.t.Fatalf("failed to apply the lease record at offset %d: %v", r.Offset, err)
			}
		}
		if int64(p.lease.NextOffset()) == page.Next {
			return true
		}
	}
	return false
}

func (p *process) appendRecord(r *authority.Record) {
	data, err := records.EncodeLease(r)
	if err != nil {
		p.w.t.Fatalf("failed to encode a lease record: %v", err)
	}
	p.w.sentAt[appendAttempt{r.Holder, r.Attempt}] = p.w.now
	if p.blockAppends {
		return
	}
	p.w.pendingAppends = append(p.w.pendingAppends, pendingAppend{data, p.holder.VM})
	if !p.w.delayAppends {
		p.w.deliverAppend(len(p.w.pendingAppends) - 1)
	}
}

// runUntil runs an operation until it ends or reaches the stage stall.
func (p *process) runUntil(id types.TargetID, stall stage) {
	for p.operations[id] != nil && p.operations[id].stage != stall {
		p.runStage(id, p.operations[id])
	}
}

func (p *process) runStage(id types.TargetID, op *operation) {
	g, err := p.checkGrant(id)
	switch op.stage {
	case stageRead:
		op.observed, op.targetRestarts, op.fenceAtRead = p.observeTarget(id), p.w.targets[id].restarts, p.w.allowedFence
	case stageDecide:
		op.order = p.orders.FinishRead(id, p.desired[id], op.observed, g.Fence)
		if op.order == nil {
			p.w.recordNoOrder(p, id, op, g.Fence)
			delete(p.operations, id)
		}
	case stageCheck:
		if err != nil || g.Fence != op.order.Fence {
			p.finish(id, authority.OutcomeNotSent)
			return
		}
		p.w.checkOrderAllowed(p, op.order)
		op.checkedAt = p.w.now
	case stageWrite:
		p.finish(id, p.writeOrder(id, op))
	}
	op.stage++
}

func (p *process) isRemoved(vm types.VMID) bool { return p.w.removedVMs[vm] }

func (p *process) finish(id types.TargetID, out authority.Outcome) {
	delete(p.operations, id)
	p.orders.RecordResult(id, out)
}

func (p *process) observeTarget(id types.TargetID) *authority.ObservedState {
	if p.blockRequests || p.blockResponses {
		return nil
	}
	tg := p.w.targets[id]
	inProgress := tg.OrderInProgress(p.w.now) // before Description, since it completes a change that is due
	d := tg.Description()
	return &authority.ObservedState{
		EngineSpec:   authority.EngineSpec{Role: d.Role, Model: d.Model, Version: d.Version, Adapters: d.Adapters},
		HighestFence: tg.HighestFence(), OrderInProgress: inProgress, Running: tg.Running(), Leaving: tg.Leaving(),
	}
}

// writeOrder delivers an order without checking the lease again. This is the worst case
// of a process that was paused after the check and whose clock stood still meanwhile.
func (p *process) writeOrder(id types.TargetID, op *operation) authority.Outcome {
	if p.blockRequests {
		return authority.OutcomeUnknown
	}
	o, tg := op.order, p.w.targets[id]
	interrupted, err := tg.Apply(modelengine.Order{
		ID: o.ID, Fence: o.Fence, Role: o.Role, Model: o.Model, Version: o.Version, Adapters: o.Adapters, Drain: o.Drain,
	}, p.w.now)
	p.w.checkOrderApplied(p, id, op, len(interrupted), err)
	switch {
	case p.blockResponses || p.w.loseOrderResponses:
		return authority.OutcomeUnknown
	case err != nil:
		return authority.OutcomeRefused
	}
	return authority.OutcomeAccepted
}
