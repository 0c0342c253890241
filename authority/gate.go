package authority

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Errors of the order gate.
var (
	// ErrNoAuthority reports that this daemon does not hold the lease.
	ErrNoAuthority = errors.New("this daemon does not hold the lease of the data centre")
	// ErrQuarantine reports that a target that does not check fencing numbers
	// may still receive an order from an earlier holder.
	ErrQuarantine = errors.New("an earlier holder may still order this target")
)

// EarlierHolder is a holder that lost the lease without a release. It may be
// paused between its check of the lease and the write of an order.
type EarlierHolder struct {
	// Holder is the zero value if its records have expired from the log.
	Holder Holder
	// Until is the end of the quarantine.
	Until time.Time
}

// Grant is the authority of a holder up to a point in time.
type Grant struct {
	Fence types.FencingNumber
	// Until is the end of the lease by this process's monotonic clock.
	Until time.Time
	// Earlier lists all holders before this one that can still write an order,
	// not just the last: a holder that released may have followed one that did not.
	Earlier []EarlierHolder
}

// Cleared reports whether targets that do not check fencing numbers may be
// ordered: for each earlier holder the quarantine has elapsed, or the
// platform's list shows that its VM is gone.
func (g Grant) QuarantineOver(now time.Time, gone func(types.VMID) bool) bool {
	for _, e := range g.Earlier {
		if now.Before(e.Until) && (e.Holder.VM == "" || !gone(e.Holder.VM)) {
			return false
		}
	}
	return true
}

// Gate is the last check before an order is written to a target. It is safe
// for concurrent use; Publish replaces the grant by a pointer swap.
type Gate struct{ grant atomic.Pointer[Grant] }

// Publish replaces the grant.
func (g *Gate) Publish(gr Grant) { g.grant.Store(&gr) }

// Check returns the grant under which an order to a target may be written at
// now. cleared is the result of Grant.Cleared; it matters only for a target
// that does not check fencing numbers. The errors are ErrNoAuthority and
// ErrQuarantine.
func (g *Gate) Check(now time.Time, checksFencing, cleared bool) (Grant, error) {
	gr := g.grant.Load()
	if gr == nil || gr.Fence == 0 || !now.Before(gr.Until) {
		return Grant{}, ErrNoAuthority
	}
	if !checksFencing && !cleared {
		return Grant{}, ErrQuarantine
	}
	return *gr, nil
}

// CheckTarget is Check for one target. gone says whether the platform's list
// shows that a VM is gone.
func (g *Gate) CheckTarget(now time.Time, checksFencing bool, gone func(types.VMID) bool) (Grant, error) {
	gr, err := g.Check(now, true, false)
	if err != nil {
		return Grant{}, err
	}
	return g.Check(now, checksFencing, gr.QuarantineOver(now, gone))
}
