package proof

import (
	"context"
	"errors"
	"slices"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// deliverAppend appends a pending record to the log and updates the oracle.
func (w *authorityWorld) deliverAppend(i int) {
	a := w.pendingAppends[i]
	w.pendingAppends = slices.Delete(w.pendingAppends, i, i+1)
	if _, _, err := w.log.Append(leaseStream, [][]byte{a.data}); err != nil {
		return
	}
	page, err := w.log.Read(context.Background(), leaseStream, int64(w.oracleOffset), 64, 0)
	if errors.Is(err, logservice.ErrExpired) {
		page, err = w.log.Read(context.Background(), leaseStream, page.Oldest, 64, 0)
	}
	if err != nil {
		w.t.Fatalf("oracle failed to read the lease stream: %v", err)
	}
	for _, r := range page.Records {
		rec, err := records.DecodeLease(r.Data)
		if err != nil {
			w.t.Fatalf("failed to decode a lease record: %v", err)
		}
		w.observeRecord(types.Offset(r.Offset), rec)
	}
	w.oracleOffset = types.Offset(page.Next)
}

// observeRecord applies a record of the lease stream to the oracle and checks that
// no daemon claims the lease while another one may still send orders.
func (w *authorityWorld) observeRecord(o types.Offset, r *authority.Record) {
	end := w.sentAt[appendAttempt{r.Holder, r.Attempt}].Add(leaseDuration + leaseDuration/1000)
	current := r.Holder == w.allowedHolder && r.Term == w.allowedFence && !w.released
	switch {
	case r.Kind == authority.KindClaim && r.Previous == o-1:
		if r.Holder != w.allowedHolder && !w.released && w.now.Before(w.allowedUntil.Add(-leaseDuration/500)) {
			w.t.Fatalf("%v claims the lease at offset %d while %v may send orders for another %v", r.Holder, o, w.allowedHolder, w.allowedUntil.Sub(w.now))
		}
		w.allowedHolder, w.allowedFence, w.allowedUntil, w.released = r.Holder, types.FencingNumber(o)+1, end, false
	case r.Kind == authority.KindRenew && current && end.After(w.allowedUntil):
		w.allowedUntil = end
	case r.Kind == authority.KindRelease && current:
		w.released = true
	}
}

// checkOrderAllowed checks, when the gate has admitted an order, that the daemon
// holds the lease according to the oracle.
func (w *authorityWorld) checkOrderAllowed(p *process, o *authority.Order) {
	if p.holder != w.allowedHolder || o.Fence != w.allowedFence || w.released || w.now.After(w.allowedUntil) {
		w.t.Fatalf("gate of %v admits order %s; the oracle allows %v with fence %d for another %v, released %t",
			p.holder, o.ID, w.allowedHolder, w.allowedFence, w.allowedUntil.Sub(w.now), w.released)
	}
}

// recordNoOrder is called when a daemon has read the state of a target and decided
// to send no order. From then on the target must not apply orders of earlier holders.
func (w *authorityWorld) recordNoOrder(p *process, id types.TargetID, op *operation, fence types.FencingNumber) {
	tg := w.targets[id]
	if op.observed != nil && op.observed.OrderInProgress == "" && op.targetRestarts == tg.restarts && op.fenceAtRead == fence {
		tg.minFence = max(tg.minFence, fence)
	}
}

// checkOrderApplied is called when a target has responded to an order. interrupted is
// the number of requests that the order interrupted.
func (w *authorityWorld) checkOrderApplied(p *process, id types.TargetID, op *operation, interrupted int, err error) {
	tg, o := w.targets[id], op.order
	switch {
	case errors.Is(err, modelengine.ErrOrderInProgress) && tg.appliedFence == o.Fence:
		w.t.Fatalf("%v sends order %s to %s, which is still applying its order %s", p.holder, o.ID, id, tg.appliedOrder)
	case err != nil:
		return
	case o.Fence < tg.appliedFence:
		w.t.Fatalf("%s applies order %s of %v after order %s of a later holder", id, o.ID, p.holder, tg.appliedOrder)
	case tg.checksFencing && o.Fence < tg.minFence:
		w.t.Fatalf("%s applies order %s of %v after the holder with fence %d took it over", id, o.ID, p.holder, tg.minFence)
	case op.fenceAtRead < tg.appliedFence && tg.appliedFence < o.Fence:
		w.t.Fatalf("%v decides order %s for %s from a state read before order %s", p.holder, o.ID, id, tg.appliedOrder)
	case interrupted > 0 && op.targetRestarts == tg.restarts:
		w.t.Fatalf("order %s of %v interrupts %d requests on %s", o.ID, p.holder, interrupted, id)
	}
	tg.appliedFence, tg.appliedOrder = o.Fence, o.ID
}

// checkLeaseHolders checks after every action that at most one daemon holds the
// lease, and that a stopped daemon does not hold it.
func (w *authorityWorld) checkLeaseHolders(t *rapid.T) {
	holders := 0
	for _, p := range w.processes {
		if !p.lease.Held(p.localTime()) {
			continue
		}
		holders++
		if p.stopped {
			t.Fatalf("%v holds the lease after releasing it", p.holder)
		}
	}
	if holders > 1 {
		t.Fatalf("%d daemons hold the lease, want at most 1", holders)
	}
}
