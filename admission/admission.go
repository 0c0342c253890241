// Package admission decides whether a request may start, before a target is
// chosen, and how much work one target gets. It performs no I/O and never
// waits; all state is atomic and held by workspace or by target.
package admission

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Limits bounds the work that one daemon accepts.
type Limits struct {
	// MaxInFlight is the largest number of requests in progress on the daemon.
	MaxInFlight int64
	// WorkspaceInFlight is the largest number for one workspace of weight 1.
	WorkspaceInFlight int64
}

// Workspace is the admission state of one workspace. It outlives
// configuration snapshots. The zero value is ready for use.
type Workspace struct {
	inFlight atomic.Int64
	// seen is the last period in which the workspace sent a request.
	seen atomic.Int64
	// finish is the virtual time at which the work within its share ends.
	finish atomic.Int64
}

// InFlight returns the number of accepted requests that are not released.
func (w *Workspace) InFlight() int64 { return w.inFlight.Load() }

// Controller admits requests. Each active workspace has a share of the daemon
// in proportion to its weight. Share that others leave unused can be borrowed:
// borrowed work gets no place while the daemon is nearly full, and only a part
// of its deadline, so that it is refused before it delays those within their
// share. The share is kept by start-time fair queueing (Goyal, Vin and Cheng
// 1996) without a queue: virtual time advances with each accepted request by
// its part of the sum of the active weights. Refused requests do not count, so
// that a burst does not raise the share of the workspace that sends it.
type Controller struct {
	limits   Limits
	inFlight atomic.Int64
	virtual  atomic.Int64
	// lending is the part of the borrowed requests that are accepted, in
	// 1/lendingUnit; lent carries the remainder from one request to the next.
	lending, lent atomic.Int64
	// period is the current one; active and arriving are the sums of the weights
	// of the workspaces seen in the last period and in this one.
	period, active, arriving atomic.Int64
}

// NewController returns a controller with the given limits.
func NewController(l Limits) *Controller {
	c := &Controller{limits: l}
	c.lending.Store(lendingUnit)
	return c
}

const (
	// activePeriod is how long a workspace without requests keeps its share. It
	// covers a few requests of a workspace that sends one or two a second.
	activePeriod = 2 * time.Second
	// virtualUnit is the virtual time of one request at weight 1. Virtual time
	// overflows after 2^37 requests, four years at 1,000 a second.
	virtualUnit = 1 << 26
	// maxWeight keeps the step of virtual time positive for the sum of the weights
	// of 3,700 workspaces.
	maxWeight = 1000
	// shareBurst is how many requests a workspace may be ahead of its share, so
	// that random arrivals at its own rate are not taken for a burst.
	shareBurst  = 4
	lendingUnit = 1 << 20
	// lendingFall is how many first tokens in time make up for a late one. Lending
	// settles where one in 20 is late: the deadlines are stated for 95 in 100.
	lendingFall = 19
	// lendingRise is how many first tokens in time restore full lending.
	lendingRise = 400
	// reserveDivisor keeps an eighth of the places from borrowers, so that a
	// workspace that returns to its share finds places at once.
	reserveDivisor = 8
	// borrowedBudget is the part of the time until the deadline that borrowed
	// work may be predicted to take. At half, the queues that borrowers fill
	// leave the other half to the requests that are within their share.
	borrowedBudget = 0.5
	// priorityBudget is added for each step of priority. The highest priority (9)
	// stays below the whole budget, so that priority does not lift the share.
	priorityBudget = 0.04
)

// Ticket says on what terms a request was accepted.
type Ticket struct {
	// Borrowed says that the workspace is beyond its share.
	Borrowed bool
	// BudgetShare is the part of the time until the deadline that the predicted
	// time to first token may take.
	BudgetShare float64
}

// Admit accepts a request of the workspace with the given share weight and
// priority, of which higher is more important, or returns the reason for
// refusal. Every accepted request needs one Release.
func (c *Controller) Admit(w *Workspace, weight int64, priority int, now time.Time) (Ticket, types.RefusalReason, bool) {
	weight = min(max(weight, 1), maxWeight)
	ticket := Ticket{BudgetShare: 1}
	active := c.activeWeight(w, weight, now)
	if !c.withinShare(w, weight) {
		ticket = Ticket{Borrowed: true, BudgetShare: borrowedBudget + priorityBudget*float64(priority)}
	}
	total, own := c.inFlight.Add(1), w.inFlight.Add(1)
	var reason types.RefusalReason
	switch {
	case total > c.limits.MaxInFlight:
		reason = types.RefusedOverload
	case own > c.limits.WorkspaceInFlight*weight, ticket.Borrowed && !c.lends(total):
		reason = types.RefusedWorkspaceLimit
	default:
		c.virtual.Add(max(virtualUnit/active, 1))
		return ticket, 0, true
	}
	c.Release(w)
	return Ticket{}, reason, false
}

// activeWeight returns the sum of the weights of the active workspaces.
func (c *Controller) activeWeight(w *Workspace, weight int64, now time.Time) int64 {
	period := clock.Nanos(now) / int64(activePeriod)
	if old := c.period.Load(); period > old && c.period.CompareAndSwap(old, period) {
		last := c.arriving.Swap(0)
		if period > old+1 {
			last = 0
		}
		c.active.Store(last)
	}
	if old := w.seen.Load(); period > old && w.seen.CompareAndSwap(old, period) {
		c.arriving.Add(weight)
	}
	return max(c.active.Load(), c.arriving.Load(), weight)
}

// withinShare charges a request to the workspace's share if that is not used up.
func (c *Controller) withinShare(w *Workspace, weight int64) bool {
	v := c.virtual.Load()
	for {
		old := w.finish.Load()
		begin := max(old, v)
		if begin-v > shareBurst*virtualUnit/weight {
			return false
		}
		if w.finish.CompareAndSwap(old, begin+virtualUnit/weight) {
			return true
		}
	}
}

// lends reports whether a borrowed request is accepted: while places are left,
// the part of them that lending says, evenly spread.
func (c *Controller) lends(total int64) bool {
	if total > c.limits.MaxInFlight-c.limits.MaxInFlight/reserveDivisor {
		return false
	}
	level := c.lending.Load()
	after := c.lent.Add(level)
	return after/lendingUnit > (after-level)/lendingUnit
}

// FirstToken adapts how much is lent to whether the first tokens of the
// requests within their share come in time, so that borrowed work gives way
// when the targets are busier than late reports show.
func (c *Controller) ObserveFirstToken(t Ticket, late bool) {
	if t.Borrowed {
		return
	}
	old := c.lending.Load()
	next := old + lendingUnit/lendingRise
	if late {
		next = old - lendingUnit/lendingRise*lendingFall
	}
	// A concurrent call may win; one lost step does not matter.
	c.lending.CompareAndSwap(old, min(max(next, 0), lendingUnit))
}

// Release ends an accepted request.
func (c *Controller) Release(w *Workspace) {
	w.inFlight.Add(-1)
	c.inFlight.Add(-1)
}

// InFlight returns the number of accepted requests that are not released.
func (c *Controller) InFlight() int64 { return c.inFlight.Load() }
