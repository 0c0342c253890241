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

// land stores a record that is on its way.
func (w *authorityWorld) land(i int) {
	a := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if _, _, err := w.log.Append(leaseStream, [][]byte{a.data}); err != nil {
		return
	}
	page, err := w.log.Read(context.Background(), leaseStream, int64(w.read), 64, 0)
	if errors.Is(err, logservice.ErrExpired) {
		page, err = w.log.Read(context.Background(), leaseStream, page.Oldest, 64, 0)
	}
	if err != nil {
		w.t.Fatalf("oracle cannot read: %v", err)
	}
	for _, r := range page.Records {
		rec, err := records.DecodeLease(r.Data)
		if err != nil {
			w.t.Fatalf("decode: %v", err)
		}
		w.stored(types.Offset(r.Offset), rec)
	}
	w.read = types.Offset(page.Next)
}

// stored is the oracle's own reading of the lease stream.
func (w *authorityWorld) stored(o types.Offset, r *authority.Record) {
	end := w.sentAt[attempt{r.Holder, r.Attempt}].Add(leaseDuration + leaseDuration/1000)
	current := r.Holder == w.allowed && r.Term == w.fence && !w.released
	switch {
	case r.Kind == authority.KindClaim && r.Previous == o-1:
		if r.Holder != w.allowed && !w.released && w.now.Before(w.until.Add(-leaseDuration/500)) {
			w.t.Fatalf("%v claims at offset %d while %v may order for another %v", r.Holder, o, w.allowed, w.until.Sub(w.now))
		}
		w.allowed, w.fence, w.until, w.released = r.Holder, types.FencingNumber(o)+1, end, false
	case r.Kind == authority.KindRenew && current && end.After(w.until):
		w.until = end
	case r.Kind == authority.KindRelease && current:
		w.released = true
	}
}

// checkAllowed is called when the gate lets an order through.
func (w *authorityWorld) checkAllowed(p *process, o *authority.Order) {
	if p.holder != w.allowed || o.Fence != w.fence || w.released || w.now.After(w.until) {
		w.t.Fatalf("gate of %v passes order %s; allowed is %v with fence %d until %v, released %t",
			p.holder, o.ID, w.allowed, w.fence, w.until.Sub(w.now), w.released)
	}
}

// noteLeft is called when a daemon leaves a target as it is.
func (w *authorityWorld) noteLeft(p *process, id types.TargetID, op *operation, fence types.FencingNumber) {
	tg := w.targets[id]
	if op.state != nil && op.state.OrderInProgress == "" && op.restarts == tg.restarts && op.fence == fence {
		tg.seen = max(tg.seen, fence)
	}
}

// checkCarriedOut is called when a target has answered an order.
func (w *authorityWorld) checkCarriedOut(p *process, id types.TargetID, op *operation, cut int, err error) {
	tg, o := w.targets[id], op.order
	switch {
	case errors.Is(err, modelengine.ErrOrderInProgress) && tg.fence == o.Fence:
		w.t.Fatalf("%v sends %s to %s, which carries out its order %s", p.holder, o.ID, id, tg.id)
	case err != nil:
		return
	case o.Fence < tg.fence:
		w.t.Fatalf("%s carries out %s of %v after %s of a later holder", id, o.ID, p.holder, tg.id)
	case tg.checks && o.Fence < tg.seen:
		w.t.Fatalf("%s carries out %s of %v after holder %d took it over", id, o.ID, p.holder, tg.seen)
	case op.fence < tg.fence && tg.fence < o.Fence:
		w.t.Fatalf("%v decides %s for %s from a state before %s", p.holder, o.ID, id, tg.id)
	case cut > 0 && op.restarts == tg.restarts:
		w.t.Fatalf("%s of %v cuts %d requests on %s", o.ID, p.holder, cut, id)
	}
	tg.fence, tg.id = o.Fence, o.ID
}

// check holds after every action.
func (w *authorityWorld) check(t *rapid.T) {
	held := 0
	for _, p := range w.procs {
		if !p.lease.Held(p.local()) {
			continue
		}
		held++
		if p.stopped {
			t.Fatalf("%v holds the lease after it gave it up", p.holder)
		}
	}
	if held > 1 {
		t.Fatalf("%d daemons hold the lease", held)
	}
}
