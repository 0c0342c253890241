package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/types"
)

// orderer brings the engines of the data centre to their configuration while
// this daemon holds the lease. Its goroutine owns the order state machine; the
// pool reads states and writes orders.
type orderer struct {
	dc     types.DataCentreID
	log    *logrus.Entry
	config func() *configuration.Config
	// roleOf returns the role that a target shall have, given the one it has.
	roleOf func(t configuration.Target, current types.Role) types.Role
	// leaving reports whether the platform lists the VM at an address as leaving.
	leaving func(address string) bool
	gone    func(types.VMID) bool
	// reported returns the newest load report of a target.
	reported func(types.TargetID) (types.LoadReport, bool)
	gate     *authority.Gate
	client   *engine.Client
	pool     *ants.Pool
	every    time.Duration

	orders   *authority.Orders
	lastRead map[types.TargetID]time.Time
	statuses atomic.Pointer[map[types.TargetID]string]
	events   chan orderEvent
	finish   chan chan bool
	ended    chan struct{} // closed when run returns
}

// orderEvent is the result of a read of state or of an order.
type orderEvent struct {
	target  types.TargetID
	isRead  bool
	state   *authority.ObservedState // nil after a failed read
	outcome authority.Outcome
}

// start prepares the channels; it must be called before run and Finish.
func (o *orderer) start(maxLoads int) {
	o.orders = authority.NewOrders(maxLoads)
	o.lastRead = map[types.TargetID]time.Time{}
	o.events = make(chan orderEvent)
	o.finish = make(chan chan bool)
	o.ended = make(chan struct{})
	o.statuses.Store(&map[types.TargetID]string{})
}

func (o *orderer) run(ctx context.Context) {
	defer close(o.ended)
	tick := time.NewTicker(o.every)
	defer tick.Stop()
	var finished chan bool
	for {
		select {
		case <-ctx.Done():
			return
		case finished = <-o.finish:
		case e := <-o.events:
			o.observe(e, finished != nil)
		case <-tick.C:
			if finished == nil {
				o.readAll()
			}
		}
		if finished != nil && !o.orders.HasInFlight() {
			finished <- o.orders.ResultsKnown()
			return
		}
	}
}

// Finish sends no further order, waits for the results of those under way and
// reports whether all of them are known. Orders end at the end of the lease, so
// that the wait is bounded by it.
func (o *orderer) Finish() bool {
	settled := make(chan bool, 1)
	select {
	case o.finish <- settled:
	case <-o.ended:
		return false
	}
	select {
	case v := <-settled:
		return v
	case <-o.ended:
		return false
	}
}

const (
	// freshReport is the age up to which a load report stands for the state.
	freshReport = 5 * time.Second
	// auditEvery is how often the state of a target is read although its reports
	// show what is wanted.
	auditEvery = 2 * time.Minute
)

// settled reports whether a target needs no read: the last read called for no
// order and its reports show what is wanted. Without this the holder would read
// the state of all targets of the data centre at each step.
func (o *orderer) settled(t configuration.Target, fence types.FencingNumber, now time.Time) bool {
	if !o.orders.Satisfied(t.ID, fence) || now.Sub(o.lastRead[t.ID]) > auditEvery {
		return false
	}
	r, ok := o.reported(t.ID)
	w := o.wanted(t, r.Role)
	if w.Withdrawn {
		return true
	}
	return ok && now.Sub(r.At) < freshReport && !r.Changing && r.Leaving == w.Drain &&
		r.Role == w.Role && r.Model == w.Model && r.Version == w.Version && slices.Equal(r.Adapters, w.Adapters)
}

// readAll starts a read of the state of each target that has nothing under way
// and is not settled.
func (o *orderer) readAll() {
	now := time.Now()
	if _, err := o.gate.Check(now, true, false); err != nil {
		return
	}
	c := o.config()
	o.orders.Prune(func(id types.TargetID) bool { return o.isOurs(c, id) })
	maps.DeleteFunc(o.lastRead, func(id types.TargetID, _ time.Time) bool { return !o.isOurs(c, id) })
	for id, t := range c.Targets {
		if !o.isOurs(c, id) {
			continue
		}
		// In a quarantine the grant is the zero value and no read begins.
		g, _ := o.check(t.Value)
		if o.settled(t.Value, g.Fence, now) || !o.orders.BeginRead(id, g.Fence) {
			continue
		}
		o.lastRead[id] = now
		if o.pool.Submit(func() { o.post(orderEvent{target: id, isRead: true, state: o.read(t.Value)}) }) != nil {
			o.orders.FinishRead(id, authority.DesiredState{}, nil, g.Fence)
		}
	}
}

// check returns the grant under which the target may be ordered now.
func (o *orderer) check(t configuration.Target) (authority.Grant, error) {
	return o.gate.CheckTarget(time.Now(), t.ChecksFencing, o.gone)
}

// isOurs reports whether the target is an engine of this data centre.
func (o *orderer) isOurs(c *configuration.Config, id types.TargetID) bool {
	t, ok := c.Targets[id]
	return ok && t.Value.DataCentre == o.dc && c.Services[t.Value.Service].Value.Kind == types.KindEngine
}

func (o *orderer) post(e orderEvent) {
	select {
	case o.events <- e:
	case <-o.ended:
	}
}

func (o *orderer) read(t configuration.Target) *authority.ObservedState {
	st, err := o.client.State(t.Address)
	if err != nil {
		o.log.WithError(err).WithField(daemon.FieldTarget, t.ID).Debug("state was not read")
		return nil
	}
	return &authority.ObservedState{
		EngineSpec:   authority.EngineSpec{Role: st.Role, Model: st.Model, Version: st.Version, Adapters: st.Adapters},
		HighestFence: st.HighestFence, OrderInProgress: st.OrderInProgress, Running: st.Running, Leaving: st.Leaving,
	}
}

func (o *orderer) observe(e orderEvent, finishing bool) {
	if e.isRead {
		o.decide(e, finishing)
	} else {
		o.orders.RecordResult(e.target, e.outcome)
	}
	s := o.orders.Statuses()
	o.statuses.Store(&s)
}

// decide sends the order that a read of state calls for. While finishing, or
// if the target is not configured any more, the read only settles the order
// before it.
func (o *orderer) decide(e orderEvent, finishing bool) {
	c := o.config()
	t := c.Targets[e.target].Value
	current := t.Role
	if e.state != nil {
		current = e.state.Role
	}
	w := o.wanted(t, current)
	w.Withdrawn = w.Withdrawn || finishing || !o.isOurs(c, e.target)
	// Without authority the grant is the zero value and the read is not used.
	g, _ := o.gate.Check(time.Now(), true, false)
	order := o.orders.FinishRead(e.target, w, e.state, g.Fence)
	if order == nil {
		return
	}
	if o.pool.Submit(func() { o.post(orderEvent{target: e.target, outcome: o.send(t, order, c.Revision)}) }) != nil {
		o.orders.RecordResult(e.target, authority.OutcomeNotSent)
	}
}

// wanted returns what a target shall be. A target that the platform lists as
// leaving stays drained, so that no order opens it again for new work.
func (o *orderer) wanted(t configuration.Target, current types.Role) authority.DesiredState {
	return authority.DesiredState{
		EngineSpec:    authority.EngineSpec{Role: o.roleOf(t, current), Model: t.Model, Version: t.Version, Adapters: t.Adapters},
		Drain:         t.State == configuration.TargetDraining || o.leaving(t.Address),
		Withdrawn:     t.State == configuration.TargetWithdrawn,
		ChecksFencing: t.ChecksFencing,
	}
}

// send writes an order. The check of the lease is its last step before.
func (o *orderer) send(t configuration.Target, order *authority.Order, rev types.Revision) authority.Outcome {
	l := o.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, daemon.FieldFencingNumber: order.Fence, daemon.FieldOrder: order.ID})
	out := &engine.Order{
		ID: order.ID, Fence: order.Fence, Revision: rev, Role: order.Role, Model: order.Model,
		Version: order.Version, Adapters: order.Adapters, Drain: order.Drain,
	}
	g, err := o.check(t)
	if err != nil || g.Fence != order.Fence {
		l.WithError(err).Debug("order was not sent")
		return authority.OutcomeNotSent
	}
	err = o.client.Order(t.Address, out, g.Until)
	if err != nil {
		l.WithError(err).Warn("order was not carried out")
		return orderOutcome(err)
	}
	l.WithField("role", order.Role.String()).WithField("drain", order.Drain).Info("order was accepted")
	return authority.OutcomeAccepted
}

func orderOutcome(err error) authority.Outcome {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return authority.OutcomeNotSent
	case errors.Is(err, engine.ErrRefused):
		return authority.OutcomeRefused
	}
	return authority.OutcomeUnknown
}

// status returns the state of the last order of a target.
func (o *orderer) status(id types.TargetID) string { return (*o.statuses.Load())[id] }
