package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
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
// this daemon holds the lease. At most one order or read of state is under way
// for a target.
type orderer struct {
	dc     types.DataCentreID
	log    *logrus.Entry
	config func() *configuration.Config
	gate   *authority.Gate
	gone   func(types.VMID) bool
	client *engine.Client
	pool   *ants.Pool
	every  time.Duration

	mu    sync.Mutex
	busy  map[types.TargetID]bool
	state map[types.TargetID]string
}

func (o *orderer) run(ctx context.Context) {
	tick := time.NewTicker(o.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		o.stepAll(time.Now())
	}
}

func (o *orderer) stepAll(now time.Time) {
	g, err := o.gate.Check(now, true, false)
	if err != nil {
		return
	}
	c := o.config()
	gone := o.gone(g.Prior.VM)
	for id, t := range c.Targets {
		if t.Value.DataCentre != o.dc || c.Services[t.Value.Service].Value.Kind != types.KindEngine || !o.begin(id) {
			continue
		}
		err := o.pool.Submit(func() {
			defer o.end(id)
			o.step(c.Revision, t.Value, gone)
		})
		if err != nil {
			o.end(id)
		}
	}
}

func (o *orderer) begin(id types.TargetID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[id] {
		return false
	}
	o.busy[id] = true
	return true
}

func (o *orderer) end(id types.TargetID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, id)
}

// status returns the state of the last order of a target.
func (o *orderer) status(id types.TargetID) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state[id]
}

func (o *orderer) note(id types.TargetID, s string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state[id] = s
}

// step reads the state of a target and sends the next order, if one is needed.
func (o *orderer) step(rev types.Revision, t configuration.Target, priorGone bool) {
	st, err := o.client.State(t.Address)
	if err != nil {
		return
	}
	order := nextOrder(t, st)
	if order == nil {
		return
	}
	g, err := o.gate.Check(time.Now(), t.ChecksFencing, priorGone)
	if err != nil {
		return
	}
	order.Fence, order.Revision = g.Fence, rev
	order.ID = fmt.Sprintf("%d-%d-%s-%t", g.Fence, rev, t.ID, order.Drain)
	l := o.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, daemon.FieldFence: g.Fence, daemon.FieldOrder: order.ID})
	o.note(t.ID, "in_flight")
	if err := o.client.Order(t.Address, order, g.Until); err != nil {
		o.note(t.ID, "failed")
		l.WithError(err).Warn("order was not carried out")
		return
	}
	o.note(t.ID, "done")
	l.WithField("role", order.Role.String()).WithField("drain", order.Drain).Info("order was accepted")
}

// nextOrder returns the order that brings a target closer to its
// configuration, or nil. A target is emptied before its role, model or version
// changes, so that no request is cut.
func nextOrder(t configuration.Target, st engine.State) *engine.Order {
	if st.OrderInProgress != "" || t.State == configuration.TargetWithdrawn {
		return nil
	}
	same := st.Role == t.Role && st.Model == t.Model && st.Version == t.Version
	drain := t.State == configuration.TargetDraining
	if !same && st.Running > 0 {
		if st.Leaving {
			return nil // wait until the target is empty
		}
		return &engine.Order{Role: st.Role, Model: st.Model, Version: st.Version, Adapters: st.Adapters, Drain: true}
	}
	if same && st.Leaving == drain && slices.Equal(st.Adapters, t.Adapters) {
		return nil
	}
	return &engine.Order{Role: t.Role, Model: t.Model, Version: t.Version, Adapters: t.Adapters, Drain: drain}
}
