// Package admission decides whether a request is accepted, before a target is chosen,
// and limits the concurrency of each target. It performs no I/O and never blocks. All
// state is atomic and belongs to a controller, a workspace, a retry budget or a
// target.
package admission

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Limits contains the concurrency limits of one daemon.
type Limits struct {
	// MaxInFlight is the maximum number of requests in progress on the daemon.
	MaxInFlight int64
	// WorkspaceInFlight is the maximum number of requests in progress of a workspace
	// with weight 1. It grows in proportion to the weight.
	WorkspaceInFlight int64
}

// Workspace is the admission state of one workspace. It is retained across
// configuration snapshots. The zero value is ready for use.
type Workspace struct {
	inFlight atomic.Int64
	// lastPeriod is the last period in which the workspace sent a request.
	lastPeriod atomic.Int64
	// virtualFinish is the virtual time at which the requests charged to the share
	// of the workspace end.
	virtualFinish atomic.Int64
}

// InFlight returns the number of requests of the workspace that were accepted and not
// released yet.
func (w *Workspace) InFlight() int64 { return w.inFlight.Load() }

// Controller admits requests. Each active workspace has a share of the daemon's
// capacity in proportion to its weight. Workspaces can borrow capacity that others do
// not use. Borrowed requests are refused while the daemon is nearly full and may use
// only a fraction of the time until their deadlines, so that they are refused before
// they delay requests within a share.
//
// Shares are enforced by start-time fair queueing (Goyal, Vin and Cheng 1996) without
// a queue: with each accepted request, virtual time advances by the virtual time of
// one request divided by the sum of the active weights. Refused requests do not count,
// so a burst does not raise the share of the workspace that sends it.
type Controller struct {
	limits      Limits
	inFlight    atomic.Int64
	virtualTime atomic.Int64
	// lendingRate is the fraction of the borrowed requests that are accepted, in
	// units of 1/fullLending. lendingSum is the sum of the rates at which borrowed
	// requests were considered; one is accepted each time it passes a multiple of
	// fullLending.
	lendingRate, lendingSum atomic.Int64
	// period is the number of the current period of length activePeriod. lastWeights
	// and currentWeights are the sums of the weights of the workspaces that sent
	// requests in the previous and in the current period.
	period, lastWeights, currentWeights atomic.Int64
}

// NewController returns a controller with the given limits.
func NewController(l Limits) *Controller {
	c := &Controller{limits: l}
	c.lendingRate.Store(fullLending)
	return c
}

const (
	// activePeriod is the length of the periods in which active workspaces are
	// counted, and so about how long a workspace without requests keeps its share. It
	// covers a few requests of a workspace that sends one or two per second.
	activePeriod = 2 * time.Second
	// virtualTimePerRequest is the virtual time of one request at weight 1. Virtual
	// time overflows after 2^37 requests, that is, four years at 1,000 per second.
	virtualTimePerRequest = 1 << 26
	// maxWeight is the maximum weight of a workspace. It keeps the step of virtual
	// time positive for the sum of the weights of 3,700 workspaces.
	maxWeight = 1000
	// maxShareBurst is the number of requests by which a workspace may be ahead of
	// its share, so that random arrivals at the permitted rate do not count as
	// borrowed.
	maxShareBurst = 4
	// fullLending is the lending rate at which all borrowed requests are accepted.
	fullLending = 1 << 20
	// onTimePerLate is the number of first tokens in time that offset a late one. The
	// lending rate stabilises where one in 20 is late, because the deadlines apply to
	// 95% of the requests.
	onTimePerLate = 19
	// lendingRecovery is the number of first tokens in time that raise the lending
	// rate from 0 to full lending.
	lendingRecovery = 400
	// reserveDivisor reserves an eighth of MaxInFlight for requests within a share,
	// so that a workspace that becomes active again is admitted immediately.
	reserveDivisor = 8
	// borrowedBudgetShare is the BudgetShare of borrowed requests. With one half, the
	// queues filled by borrowed requests leave the other half of the time until the
	// deadline to the requests within a share.
	borrowedBudgetShare = 0.5
	// priorityBudgetShare is added to borrowedBudgetShare for each step of priority.
	// The sum stays below 1 at the highest priority (9), so that priority does not
	// raise the share of a workspace.
	priorityBudgetShare = 0.04
)

// Ticket contains the conditions under which a request was accepted.
type Ticket struct {
	// Borrowed is set if the request exceeds the share of its workspace.
	Borrowed bool
	// BudgetShare is the fraction of the time until the deadline that the predicted
	// time to first token may take.
	BudgetShare float64
}

// Admit accepts a request of the workspace or returns the reason for refusal and
// false. weight determines the share of the workspace; requests with a higher priority
// are more important. Release must be called once for each accepted request.
func (c *Controller) Admit(w *Workspace, weight int64, priority int, now time.Time) (Ticket, types.RefusalReason, bool) {
	weight = min(max(weight, 1), maxWeight)
	ticket := Ticket{BudgetShare: 1}
	active := c.activeWeight(w, weight, now)
	if !c.chargeShare(w, weight) {
		ticket = Ticket{Borrowed: true, BudgetShare: borrowedBudgetShare + priorityBudgetShare*float64(priority)}
	}
	total, inWorkspace := c.inFlight.Add(1), w.inFlight.Add(1)
	var reason types.RefusalReason
	switch {
	case total > c.limits.MaxInFlight:
		reason = types.RefusedOverload
	case inWorkspace > c.limits.WorkspaceInFlight*weight, ticket.Borrowed && !c.acceptsBorrowed(total):
		reason = types.RefusedWorkspaceLimit
	default:
		c.virtualTime.Add(max(virtualTimePerRequest/active, 1))
		return ticket, 0, true
	}
	c.Release(w)
	return Ticket{}, reason, false
}

// activeWeight records that the workspace is active and returns the sum of the weights
// of the active workspaces.
func (c *Controller) activeWeight(w *Workspace, weight int64, now time.Time) int64 {
	period := clock.Nanos(now) / int64(activePeriod)
	if old := c.period.Load(); period > old && c.period.CompareAndSwap(old, period) {
		last := c.currentWeights.Swap(0)
		if period > old+1 {
			last = 0
		}
		c.lastWeights.Store(last)
	}
	if old := w.lastPeriod.Load(); period > old && w.lastPeriod.CompareAndSwap(old, period) {
		c.currentWeights.Add(weight)
	}
	return max(c.lastWeights.Load(), c.currentWeights.Load(), weight)
}

// chargeShare charges a request to the share of the workspace and returns true, or
// returns false if the share is used up.
func (c *Controller) chargeShare(w *Workspace, weight int64) bool {
	v := c.virtualTime.Load()
	for {
		old := w.virtualFinish.Load()
		begin := max(old, v)
		if begin-v > maxShareBurst*virtualTimePerRequest/weight {
			return false
		}
		if w.virtualFinish.CompareAndSwap(old, begin+virtualTimePerRequest/weight) {
			return true
		}
	}
}

// acceptsBorrowed reports whether to accept a borrowed request when total requests are
// in progress. Unless the daemon is nearly full, it accepts the fraction lendingRate
// of the borrowed requests, evenly spread.
func (c *Controller) acceptsBorrowed(total int64) bool {
	if total > c.limits.MaxInFlight-c.limits.MaxInFlight/reserveDivisor {
		return false
	}
	rate := c.lendingRate.Load()
	sum := c.lendingSum.Add(rate)
	return sum/fullLending > (sum-rate)/fullLending
}

// ObserveFirstToken adapts the lending rate after the first token of a request. The
// rate depends on how many requests within a share miss their deadlines, so that
// borrowed requests are reduced when the targets are busier than their delayed load
// reports show.
func (c *Controller) ObserveFirstToken(t Ticket, late bool) {
	if t.Borrowed {
		return
	}
	old := c.lendingRate.Load()
	next := old + fullLending/lendingRecovery
	if late {
		next = old - fullLending/lendingRecovery*onTimePerLate
	}
	// A concurrent call may change the rate first. Losing one step does not matter.
	c.lendingRate.CompareAndSwap(old, min(max(next, 0), fullLending))
}

// Release must be called when an accepted request has ended.
func (c *Controller) Release(w *Workspace) {
	w.inFlight.Add(-1)
	c.inFlight.Add(-1)
}

// InFlight returns the number of requests that were accepted and not released yet.
func (c *Controller) InFlight() int64 { return c.inFlight.Load() }
