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

// Grant is the authority of a holder up to a point in time.
type Grant struct {
	Fence types.FencingNumber
	// Until is the end of the lease by this process's monotonic clock.
	Until time.Time
	// Prior is the holder before this one.
	Prior Holder
	// UncheckedFrom is when targets that do not check fencing numbers may be
	// ordered; the zero time means at once.
	UncheckedFrom time.Time
}

// Gate is the last check before an order is written to a target. It is safe
// for concurrent use; Publish replaces the grant by a pointer swap.
type Gate struct{ grant atomic.Pointer[Grant] }

// Publish replaces the grant.
func (g *Gate) Publish(gr Grant) { g.grant.Store(&gr) }

// Check returns the grant under which an order to a target may be written at
// now. priorGone says that the platform's list no longer shows the earlier
// holder's VM. The errors are ErrNoAuthority and ErrQuarantine.
func (g *Gate) Check(now time.Time, checksFencing, priorGone bool) (Grant, error) {
	gr := g.grant.Load()
	if gr == nil || gr.Fence == 0 || !now.Before(gr.Until) {
		return Grant{}, ErrNoAuthority
	}
	if !checksFencing && !priorGone && now.Before(gr.UncheckedFrom) {
		return Grant{}, ErrQuarantine
	}
	return *gr, nil
}
