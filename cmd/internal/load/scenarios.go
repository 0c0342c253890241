package load

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/cmd/internal/standins"
	"github.com/lentilpick/lentilpick/daemon"
)

const (
	// warmUp is the time under load before a fault.
	warmUp = 3 * time.Second
	// forceLimit is the time within which a configuration change has to be in
	// force on all daemons, from the requirements.
	forceLimit = 3 * time.Second
	// leaseDuration and leaseMargin are the settings of the examples: a
	// claimant waits that long from the last renewal that it read.
	leaseDuration = 6 * time.Second
	leaseMargin   = 103 * time.Millisecond
	// claimTime is the time for one append and its reading back.
	claimTime = time.Second
	// orderLimit is the time within which an order is sent after its change is
	// in force: two order intervals and the exchange.
	orderLimit = 3 * time.Second
)

// engineState is what an engine says of itself.
type engineState struct {
	Role            string   `json:"role"`
	Version         string   `json:"version"`
	Adapters        []string `json:"adapters"`
	HighestFence    uint64   `json:"highest_fence"`
	OrderInProgress string   `json:"order_in_progress"`
	Leaving         bool     `json:"leaving"`
}

func stateOf(e *standins.Engine) (engineState, error) {
	var s engineState
	err := getJSON("http://"+e.Listen+"/v1/state", &s)
	return s, err
}

// awaitState waits until an engine's state satisfies ok.
func awaitState(ctx context.Context, e *standins.Engine, limit time.Duration, ok func(engineState) bool) (time.Duration, error) {
	start := time.Now()
	err := waitFor(ctx, "state of "+e.ID, limit, func() bool {
		s, err := stateOf(e)
		return err == nil && ok(s)
	})
	return time.Since(start), err
}

// enginesIn returns the engines of a VM's data centre, at least two. Addresses
// of the examples have the data centre in their third byte.
func (b *bench) enginesIn(v vm) ([]*standins.Engine, error) {
	network := func(address string) string {
		parts := strings.Split(address, ".")
		return strings.Join(parts[:min(3, len(parts))], ".")
	}
	var out []*standins.Engine
	for i := range b.d.engines {
		if network(b.d.engines[i].Listen) == network(v.Callers) {
			out = append(out, &b.d.engines[i])
		}
	}
	if len(out) < 2 {
		return nil, merry.Appendf(ErrProcess, "%d engines in %s, at least 2 are needed", len(out), v.DataCentre)
	}
	return out, nil
}

// holder returns the lease holder of the first data centre, and another VM of
// that data centre.
func (b *bench) holder(ctx context.Context) (holder, other vm, fence uint64, err error) {
	dc := b.d.vms[0].DataCentre
	err = waitFor(ctx, "lease holder of "+dc, leaseDuration, func() bool {
		s, err := newOperator(b.d.vms[0]).status(ctx)
		fence = s.GetLease().GetFencingNumber()
		holder, _ = b.d.vm(s.GetLease().GetHolderVm())
		return err == nil && holder.Name != "" && fence > 0
	})
	for _, v := range b.d.vms {
		if v.DataCentre == dc && v.Name != holder.Name {
			other = v
		}
	}
	return holder, other, fence, err
}

// awaitTakeover waits until other sees a higher fencing number.
func awaitTakeover(ctx context.Context, other vm, fence uint64, start time.Time) (newFence uint64, took time.Duration, err error) {
	err = waitFor(ctx, "next lease holder", 2*leaseDuration, func() bool {
		s, err := newOperator(other).status(ctx)
		newFence = s.GetLease().GetFencingNumber()
		return err == nil && newFence > fence
	})
	return newFence, time.Since(start), err
}

// checkForce applies a change and checks that it is in force in time.
func (b *bench) checkForce(ctx context.Context, v vm, among []vm, id string, limit time.Duration) error {
	start := time.Now()
	revision, err := newOperator(v).addWorkspace(ctx, id)
	if err != nil {
		return err
	}
	took, err := untilInForce(ctx, daemonsOf(among), revision, start)
	if err != nil {
		return err
	}
	b.measured("change "+id+" in force", took)
	b.expect(took <= limit, "change "+id+" is in force on all daemons in time", "%s, limit %s", describe(took), limit)
	return nil
}

// setAdapters changes the adapters of an engine, which needs an order.
func setAdapters(ctx context.Context, v vm, e *standins.Engine, adapters ...string) (uint64, error) {
	return newOperator(v).changeTarget(ctx, e.ID, func(t *adminv1.Target) { t.Adapters = adapters })
}

// checkRevisions checks that all daemons have exactly the revision.
func (b *bench) checkRevisions(vms []vm, want uint64) {
	daemons := daemonsOf(vms)
	same := 0
	for _, a := range daemons {
		if got, err := revisionOf(a.metrics); err == nil && got == want {
			same++
		}
	}
	b.expect(same == len(daemons), "no configuration is lost", "%d of %d daemons at revision %d", same, len(daemons), want)
}

const (
	// burst is the number of keyed calls that are sent to one VM at once.
	burst = 40
	// burstTime is about the time in which the first of them are dispatched: one
	// batch of key records and its way through the log.
	burstTime = 120 * time.Millisecond
)

// booking is a keyed call of a burst with its first result.
type booking struct {
	call   Call
	result Sample
}

// startBookings sends keyed calls to one VM. The channel delivers each result.
func (b *bench) startBookings(address string) <-chan booking {
	out := make(chan booking, burst)
	client := NewClient()
	for i := range burst {
		id := fmt.Sprintf("burst-%d", i)
		c := Call{
			ID: id, Workspace: b.d.spec.Workspaces[0], Service: b.d.spec.Plain, Method: http.MethodPost, Path: "/orders/" + id,
			Key: "key-" + id, Affinity: id, Body: "order " + id, Deadline: bookingDeadline,
		}
		go func() {
			s, _, _ := client.CallService(address, &c)
			out <- booking{c, s}
		}()
	}
	return out
}

// repeatBookings sends the calls whose result is not known again through other
// VMs, with the same key, as a caller would.
func (b *bench) repeatBookings(ctx context.Context, first <-chan booking) {
	spec := b.d.spec
	spec.Entries = nil
	for _, v := range b.d.vms {
		if !slices.Contains(b.cutAllowed, v.Callers) {
			spec.Entries = append(spec.Entries, v.Callers)
		}
	}
	g := NewGenerator(spec)
	cut, repeated := 0, map[string]int{}
	for range burst {
		k := <-first
		if k.result.Result != Cut || ctx.Err() != nil {
			continue
		}
		cut++
		k.call.ID += "-repeat"
		_, again, _, _ := g.call(&k.call)
		name := again.Reason
		if again.Result == Answered {
			name = "answered"
		}
		repeated[name]++
	}
	b.expect(cut > 0, "keyed requests were in flight at the kill", "%d of %d; repeated with the same key: %v", cut, burst, repeated)
}

func entryKilled(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	victim := b.d.vms[1]
	b.cutAllowed = []string{victim.Callers}
	before, err := newOperator(b.d.vms[0]).revision(ctx)
	if err != nil {
		return err
	}
	bookings := b.startBookings(victim.Callers)
	daemon.Sleep(ctx, burstTime)
	if err := b.d.procs.kill("entry-" + victim.Name); err != nil {
		return err
	}
	b.repeatBookings(ctx, bookings)
	b.checkRevisions(b.d.without(victim.Name), before)
	start := time.Now()
	if err := b.d.startEntry(victim); err != nil {
		return err
	}
	err = awaitRevision(ctx, daemonAddress{"entry-" + victim.Name, victim.EntryMetrics}, before)
	b.measured("restarted daemon has the configuration", time.Since(start))
	b.expect(err == nil, "the restarted daemon has the configuration", "%s", describe(time.Since(start)))
	return b.checkForce(ctx, b.d.vms[0], b.d.vms, "after-kill", forceLimit)
}

func holderKilled(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	holder, other, fence, err := b.holder(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := b.d.procs.kill("control-" + holder.Name); err != nil {
		return err
	}
	next, took, err := awaitTakeover(ctx, other, fence, start)
	if err != nil {
		return err
	}
	limit := leaseDuration + leaseMargin + claimTime
	b.measured("take-over", took)
	b.expect(took <= limit, "another daemon takes over", "%s, limit %s, fencing number %d after %d", describe(took), limit, next, fence)
	return b.checkOrder(ctx, other, next)
}

// checkOrder changes an engine's adapters and checks that the holder with the
// fencing number sends the order.
func (b *bench) checkOrder(ctx context.Context, v vm, fence uint64) error {
	engines, err := b.enginesIn(v)
	if err != nil {
		return err
	}
	e := engines[0]
	if _, err := setAdapters(ctx, v, e, "rates"); err != nil {
		return err
	}
	took, err := awaitState(ctx, e, orderLimit, func(s engineState) bool {
		return slices.Equal(s.Adapters, []string{"rates"}) && s.HighestFence == fence
	})
	b.measured("order of the new holder carried out", took)
	b.expect(err == nil, "the new holder's order is carried out", "%s with fencing number %d", describe(took), fence)
	return nil
}

// holderPaused stops a holder for longer than its lease while it has an order
// to send, and lets it go on after another holder ordered the same engine.
func holderPaused(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	holder, other, fence, err := b.holder(ctx)
	if err != nil {
		return err
	}
	engines, err := b.enginesIn(holder)
	if err != nil {
		return err
	}
	e, unchecked := engines[0], engines[1]
	if err := b.ignoreFencing(ctx, other, unchecked); err != nil {
		return err
	}
	name := "control-" + holder.Name
	if _, err := setAdapters(ctx, other, e, "rosters"); err != nil {
		return err
	}
	start := time.Now()
	if err := b.d.procs.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	next, took, err := awaitTakeover(ctx, other, fence, start)
	if err != nil {
		return err
	}
	b.measured("take-over", took)
	b.expect(took <= leaseDuration+leaseMargin+claimTime, "another daemon takes over", "%s", describe(took))
	if err := b.checkOrder(ctx, other, next); err != nil {
		return err
	}
	if _, err := setAdapters(ctx, other, unchecked, "rates"); err != nil {
		return err
	}
	daemon.Sleep(ctx, leaseDuration+leaseMargin+claimTime-time.Since(start))
	if err := b.d.procs.signal(name, syscall.SIGCONT); err != nil {
		return err
	}
	paused := time.Since(start)
	daemon.Sleep(ctx, orderLimit)
	s, err := stateOf(e)
	if err != nil {
		return err
	}
	stats, err := b.d.stats()
	if err != nil {
		return err
	}
	b.measured("pause", paused)
	b.expect(s.HighestFence == next && slices.Equal(s.Adapters, []string{"rates"}),
		"the continued holder's orders have no effect", "paused %s, fencing number %d, adapters %v, %d stale orders refused by the engine",
		describe(paused), s.HighestFence, s.Adapters, stats.Engines[e.ID].OrdersStale)
	u, err := stateOf(unchecked)
	if err != nil {
		return err
	}
	b.expect(len(u.Adapters) == len(unchecked.Adapters), "an engine that ignores fencing numbers gets no order in its quarantine",
		"fencing number %d, adapters %v", u.HighestFence, u.Adapters)
	return b.checkForce(ctx, holder, b.d.vms, "after-pause", forceLimit)
}

// ignoreFencing makes an engine ignore fencing numbers and says so in its
// configuration.
func (b *bench) ignoreFencing(ctx context.Context, v vm, e *standins.Engine) error {
	checks := false
	if err := fault(b.d.targets, "engine/"+e.ID, standins.EngineFaults{ChecksFencing: &checks}); err != nil {
		return err
	}
	_, err := newOperator(v).changeTarget(ctx, e.ID, func(t *adminv1.Target) { t.ChecksFencing = false })
	return err
}
