// Package admission decides whether a request may start, before a target is
// chosen. It performs no I/O; all state is atomic and sharded by workspace.
package admission

import (
	"sync/atomic"

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
// configuration snapshots.
type Workspace struct {
	inFlight atomic.Int64
}

// Controller admits requests.
type Controller struct {
	limits   Limits
	inFlight atomic.Int64
}

// NewController returns a controller with the given limits.
func NewController(l Limits) *Controller { return &Controller{limits: l} }

// Admit accepts a request of the workspace with the given share weight, or
// returns the reason for refusal. Every accepted request needs one Release.
func (c *Controller) Admit(w *Workspace, weight int64) (types.RefusalReason, bool) {
	if c.inFlight.Add(1) > c.limits.MaxInFlight {
		c.inFlight.Add(-1)
		return types.RefusedOverload, false
	}
	if w.inFlight.Add(1) > c.limits.WorkspaceInFlight*max(weight, 1) {
		w.inFlight.Add(-1)
		c.inFlight.Add(-1)
		return types.RefusedWorkspaceLimit, false
	}
	return 0, true
}

// Release ends an accepted request.
func (c *Controller) Release(w *Workspace) {
	w.inFlight.Add(-1)
	c.inFlight.Add(-1)
}

// InFlight returns the number of accepted requests that are not released.
func (c *Controller) InFlight() int64 { return c.inFlight.Load() }

// RetryBudget is a token bucket that earns a fraction of a retry with each
// request, so that retries cannot multiply load during an outage.
type RetryBudget struct {
	millis atomic.Int64
}

const (
	retryEarnMillis = 100    // one retry for ten requests
	retryCapMillis  = 50_000 // at most 50 saved retries
	retryCostMillis = 1000
)

// Earn adds one request to the budget.
func (b *RetryBudget) Earn() {
	if b.millis.Load() < retryCapMillis {
		b.millis.Add(retryEarnMillis)
	}
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	for {
		v := b.millis.Load()
		if v < retryCostMillis {
			return false
		}
		if b.millis.CompareAndSwap(v, v-retryCostMillis) {
			return true
		}
	}
}
