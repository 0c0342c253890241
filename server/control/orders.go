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

// orderReconciler sends orders to the engines of the data centre until they match
// their configuration, while this daemon holds the lease. Its goroutine owns the
// order state machine; the pool reads states and sends orders.
type orderReconciler struct {
	dc     types.DataCentreID
	log    *logrus.Entry
	config func() *configuration.Config
	// roleOf returns the role that a target should have, given its current role.
	roleOf func(t configuration.Target, current types.Role) types.Role
	// addressLeaving reports whether the platform lists the VM at an address as leaving.
	addressLeaving func(address string) bool
	vmRemoved      func(types.VMID) bool
	// loadReport returns the latest load report of a target.
	loadReport func(types.TargetID) (types.LoadReport, bool)
	gate       *authority.Gate
	client     *engine.Client
	pool       *ants.Pool
	interval   time.Duration

	orders         *authority.Orders
	lastRead       map[types.TargetID]time.Time
	statuses       atomic.Pointer[map[types.TargetID]string]
	events         chan orderEvent
	finishRequests chan chan bool
	stopped        chan struct{} // closed when run returns
}

// orderEvent is the result of a state read or of an order.
type orderEvent struct {
	target  types.TargetID
	isRead  bool
	state   *authority.ObservedState // nil if the read failed
	outcome authority.Outcome
}

// prepare initializes the reconciler. It must be called before run and Finish.
func (o *orderReconciler) prepare(maxLoads int) {
	o.orders = authority.NewOrders(maxLoads)
	o.lastRead = map[types.TargetID]time.Time{}
	o.events = make(chan orderEvent)
	o.finishRequests = make(chan chan bool)
	o.stopped = make(chan struct{})
	o.statuses.Store(&map[types.TargetID]string{})
}

func (o *orderReconciler) run(ctx context.Context) {
	defer close(o.stopped)
	tick := time.NewTicker(o.interval)
	defer tick.Stop()
	var finished chan bool
	for {
		select {
		case <-ctx.Done():
			return
		case finished = <-o.finishRequests:
		case e := <-o.events:
			o.handleEvent(e, finished != nil)
		case <-tick.C:
			if finished == nil {
				o.readStates()
			}
		}
		if finished != nil && !o.orders.HasInFlight() {
			finished <- o.orders.ResultsKnown()
			return
		}
	}
}

// Finish stops sending orders, waits for the results of orders in progress and
// reports whether all results are known. Each order times out when the lease
// expires, which bounds the wait but may be later than the end of a stop.
func (o *orderReconciler) Finish() bool {
	resultsKnown := make(chan bool, 1)
	select {
	case o.finishRequests <- resultsKnown:
	case <-o.stopped:
		return false
	}
	select {
	case v := <-resultsKnown:
		return v
	case <-o.stopped:
		return false
	}
}

const (
	// maxReportAge is the age up to which a load report is taken as the current
	// state of a target.
	maxReportAge = 5 * time.Second
	// auditInterval is the time after which the state of a target is read even
	// though its reports match the configuration.
	auditInterval = 2 * time.Minute
)

// isSettled reports whether the state of a target need not be read: the last read
// required no order and the reports match the configuration. Otherwise the lease
// holder would read the state of all targets of the data centre in every interval.
func (o *orderReconciler) isSettled(t configuration.Target, fence types.FencingNumber, now time.Time) bool {
	if !o.orders.Satisfied(t.ID, fence) || now.Sub(o.lastRead[t.ID]) > auditInterval {
		return false
	}
	r, ok := o.loadReport(t.ID)
	desired := o.desiredState(t, r.Role)
	if desired.Withdrawn {
		return true
	}
	return ok && now.Sub(r.At) < maxReportAge && !r.Changing && r.Leaving == desired.Drain &&
		r.Role == desired.Role && r.Model == desired.Model && r.Version == desired.Version && slices.Equal(r.Adapters, desired.Adapters)
}

// readStates starts a state read for each target that has no read or order in
// progress and is not settled.
func (o *orderReconciler) readStates() {
	now := time.Now()
	if _, err := o.gate.Check(now, true, false); err != nil {
		return
	}
	c := o.config()
	o.orders.Prune(func(id types.TargetID) bool { return o.isLocalEngine(c, id) })
	maps.DeleteFunc(o.lastRead, func(id types.TargetID, _ time.Time) bool { return !o.isLocalEngine(c, id) })
	for id, t := range c.Targets {
		if !o.isLocalEngine(c, id) {
			continue
		}
		// During a quarantine the grant is the zero value and no read starts.
		g, _ := o.check(t.Value)
		if o.isSettled(t.Value, g.Fence, now) || !o.orders.BeginRead(id, g.Fence) {
			continue
		}
		o.lastRead[id] = now
		if o.pool.Submit(func() { o.post(orderEvent{target: id, isRead: true, state: o.readState(t.Value)}) }) != nil {
			o.orders.FinishRead(id, authority.DesiredState{}, nil, g.Fence)
		}
	}
}

// check returns the grant that permits orders to the target now.
func (o *orderReconciler) check(t configuration.Target) (authority.Grant, error) {
	return o.gate.CheckTarget(time.Now(), t.ChecksFencing, o.vmRemoved)
}

// isLocalEngine reports whether the target is an engine in this data centre.
func (o *orderReconciler) isLocalEngine(c *configuration.Config, id types.TargetID) bool {
	t, ok := c.Targets[id]
	return ok && t.Value.DataCentre == o.dc && c.Services[t.Value.Service].Value.Kind == types.KindEngine
}

func (o *orderReconciler) post(e orderEvent) {
	select {
	case o.events <- e:
	case <-o.stopped:
	}
}

func (o *orderReconciler) readState(t configuration.Target) *authority.ObservedState {
	st, err := o.client.State(t.Address)
	if err != nil {
		o.log.WithError(err).WithField(daemon.FieldTarget, t.ID).Debug("reading the target's state failed")
		return nil
	}
	return &authority.ObservedState{
		EngineSpec:   authority.EngineSpec{Role: st.Role, Model: st.Model, Version: st.Version, Adapters: st.Adapters},
		HighestFence: st.HighestFence, OrderInProgress: st.OrderInProgress, Running: st.Running, Leaving: st.Leaving,
	}
}

func (o *orderReconciler) handleEvent(e orderEvent, finishing bool) {
	if e.isRead {
		o.handleState(e, finishing)
	} else {
		o.orders.RecordResult(e.target, e.outcome)
	}
	s := o.orders.Statuses()
	o.statuses.Store(&s)
}

// handleState sends the order that a state read requires. While finishing, or if
// the target is no longer configured, the read only determines the result of the
// previous order.
func (o *orderReconciler) handleState(e orderEvent, finishing bool) {
	c := o.config()
	t := c.Targets[e.target].Value
	current := t.Role
	if e.state != nil {
		current = e.state.Role
	}
	desired := o.desiredState(t, current)
	desired.Withdrawn = desired.Withdrawn || finishing || !o.isLocalEngine(c, e.target)
	// Without a valid lease the grant is the zero value and the read is ignored.
	g, _ := o.gate.Check(time.Now(), true, false)
	order := o.orders.FinishRead(e.target, desired, e.state, g.Fence)
	if order == nil {
		return
	}
	if o.pool.Submit(func() { o.post(orderEvent{target: e.target, outcome: o.sendOrder(t, order, c.Revision)}) }) != nil {
		o.orders.RecordResult(e.target, authority.OutcomeNotSent)
	}
}

// desiredState returns the desired state of a target. A target on a VM that the platform
// lists as leaving stays draining, so that no order reopens it for new work.
func (o *orderReconciler) desiredState(t configuration.Target, current types.Role) authority.DesiredState {
	return authority.DesiredState{
		EngineSpec:    authority.EngineSpec{Role: o.roleOf(t, current), Model: t.Model, Version: t.Version, Adapters: t.Adapters},
		Drain:         t.State == configuration.TargetDraining || o.addressLeaving(t.Address),
		Withdrawn:     t.State == configuration.TargetWithdrawn,
		ChecksFencing: t.ChecksFencing,
	}
}

// sendOrder sends an order. The lease is checked immediately before.
func (o *orderReconciler) sendOrder(t configuration.Target, order *authority.Order, rev types.Revision) authority.Outcome {
	l := o.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, daemon.FieldFencingNumber: order.Fence, daemon.FieldOrder: order.ID})
	out := &engine.Order{
		ID: order.ID, Fence: order.Fence, Revision: rev, Role: order.Role, Model: order.Model,
		Version: order.Version, Adapters: order.Adapters, Drain: order.Drain,
	}
	g, err := o.check(t)
	if err != nil || g.Fence != order.Fence {
		l.WithError(err).Debug("order was not sent: not permitted by the current lease")
		return authority.OutcomeNotSent
	}
	err = o.client.Order(t.Address, out, g.Until)
	if err != nil {
		l.WithError(err).Warn("order to the target failed")
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
func (o *orderReconciler) status(id types.TargetID) string { return (*o.statuses.Load())[id] }
