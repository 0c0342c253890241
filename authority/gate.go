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
	// ErrQuarantine reports that an earlier holder may still send an order to a
	// target that does not check fencing numbers.
	ErrQuarantine = errors.New("target is in quarantine: an earlier lease holder may still send it an order")
)

// EarlierHolder is a holder that lost the lease without releasing it. Its
// process may be paused between checking the lease and writing an order.
type EarlierHolder struct {
	// Holder is the zero value if the records that name it have expired from the log.
	Holder Holder
	// Until is when the quarantine ends.
	Until time.Time
}

// Grant is the authority of this daemon to send orders until a point in time.
// The zero value grants nothing.
type Grant struct {
	Fence types.FencingNumber
	// Until is the end of the lease on this process's monotonic clock.
	Until time.Time
	// Earlier lists all earlier holders that may still write an order, not just
	// the last one: a holder that released the lease may have followed one that
	// did not.
	Earlier []EarlierHolder
}

// QuarantineOver reports whether orders may be sent to targets that do not
// check fencing numbers: for each earlier holder, either its quarantine has
// elapsed or vmRemoved reports that its VM is no longer in the platform's list.
func (g Grant) QuarantineOver(now time.Time, vmRemoved func(types.VMID) bool) bool {
	for _, e := range g.Earlier {
		if now.Before(e.Until) && (e.Holder.VM == "" || !vmRemoved(e.Holder.VM)) {
			return false
		}
	}
	return true
}

// Gate makes the last check before an order is written to a target. It is safe
// for concurrent use: Publish replaces the grant with an atomic pointer store.
type Gate struct{ grant atomic.Pointer[Grant] }

// Publish replaces the grant that later checks use.
func (g *Gate) Publish(gr Grant) { g.grant.Store(&gr) }

// Check returns the grant under which an order to a target may be written at
// now. quarantineOver is the result of Grant.QuarantineOver; it is used only
// for a target that does not check fencing numbers. Errors: ErrNoAuthority,
// ErrQuarantine.
func (g *Gate) Check(now time.Time, checksFencing, quarantineOver bool) (Grant, error) {
	gr := g.grant.Load()
	if gr == nil || gr.Fence == 0 || !now.Before(gr.Until) {
		return Grant{}, ErrNoAuthority
	}
	if !checksFencing && !quarantineOver {
		return Grant{}, ErrQuarantine
	}
	return *gr, nil
}

// CheckTarget is like Check but evaluates the quarantine itself. vmRemoved
// reports whether a VM is no longer in the platform's list.
func (g *Gate) CheckTarget(now time.Time, checksFencing bool, vmRemoved func(types.VMID) bool) (Grant, error) {
	gr, err := g.Check(now, true, false)
	if err != nil {
		return Grant{}, err
	}
	return g.Check(now, checksFencing, gr.QuarantineOver(now, vmRemoved))
}
