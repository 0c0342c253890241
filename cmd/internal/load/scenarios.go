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
	// warmUp is the time under load before a fault is injected.
	warmUp = 3 * time.Second
	// inForceLimit is the time within which a configuration change must be in
	// force on all daemons, as stated in the requirements.
	inForceLimit = 3 * time.Second
	// leaseDuration and leaseMargin match the settings of the examples. A claimant
	// waits for their sum after the last renewal that it read.
	leaseDuration = 6 * time.Second
	leaseMargin   = 103 * time.Millisecond
	// claimLimit is the time allowed to append a claim to the log and read it back.
	claimLimit = time.Second
	// orderLimit is the time within which an order is sent after its change is in
	// force: two order intervals and the exchange with the target.
	orderLimit = 3 * time.Second
)

// engineState is the state that an engine reports under /v1/state.
type engineState struct {
	Role            string   `json:"role"`
	Version         string   `json:"version"`
	Adapters        []string `json:"adapters"`
	HighestFence    uint64   `json:"highest_fence"`
	OrderInProgress string   `json:"order_in_progress"`
	Leaving         bool     `json:"leaving"`
}

func fetchState(e *standins.Engine) (engineState, error) {
	var s engineState
	err := getJSON("http://"+e.Listen+"/v1/state", &s)
	return s, err
}

// awaitState waits until an engine's state satisfies ok.
func awaitState(ctx context.Context, e *standins.Engine, limit time.Duration, ok func(engineState) bool) (time.Duration, error) {
	start := time.Now()
	err := waitFor(ctx, "state of "+e.ID, limit, func() bool {
		s, err := fetchState(e)
		return err == nil && ok(s)
	})
	return time.Since(start), err
}

// enginesIn returns the engines in the data centre of v, and an error if there
// are fewer than two. The third byte of the examples' addresses identifies the
// data centre.
func (sc *scenarioRun) enginesIn(v vm) ([]*standins.Engine, error) {
	network := func(address string) string {
		parts := strings.Split(address, ".")
		return strings.Join(parts[:min(3, len(parts))], ".")
	}
	var out []*standins.Engine
	for i := range sc.d.engines {
		if network(sc.d.engines[i].Listen) == network(v.CallerAddress) {
			out = append(out, &sc.d.engines[i])
		}
	}
	if len(out) < 2 {
		return nil, merry.Appendf(ErrProcess, "%d engines in data centre %s, want at least 2", len(out), v.DataCentre)
	}
	return out, nil
}

// holder returns the lease holder of the first data centre, another VM of that
// data centre and the fencing number of the lease.
func (sc *scenarioRun) holder(ctx context.Context) (holder, other vm, fence uint64, err error) {
	dc := sc.d.vms[0].DataCentre
	err = waitFor(ctx, "lease holder of "+dc, leaseDuration, func() bool {
		s, err := newOperator(sc.d.vms[0]).status(ctx)
		fence = s.GetLease().GetFencingNumber()
		holder, _ = sc.d.findVM(s.GetLease().GetHolderVm())
		return err == nil && holder.Name != "" && fence > 0
	})
	for _, v := range sc.d.vms {
		if v.DataCentre == dc && v.Name != holder.Name {
			other = v
		}
	}
	return holder, other, fence, err
}

// awaitTakeover waits until VM other reports a higher fencing number than fence.
// It returns the new number and the time since start.
func awaitTakeover(ctx context.Context, other vm, fence uint64, start time.Time) (newFence uint64, took time.Duration, err error) {
	err = waitFor(ctx, "next lease holder", 2*leaseDuration, func() bool {
		s, err := newOperator(other).status(ctx)
		newFence = s.GetLease().GetFencingNumber()
		return err == nil && newFence > fence
	})
	return newFence, time.Since(start), err
}

// checkInForce adds the workspace id through v and checks that the change is in
// force on all daemons of vms within limit.
func (sc *scenarioRun) checkInForce(ctx context.Context, v vm, vms []vm, id string, limit time.Duration) error {
	start := time.Now()
	revision, err := newOperator(v).addWorkspace(ctx, id)
	if err != nil {
		return err
	}
	took, err := awaitInForce(ctx, daemonAddresses(vms), revision, start)
	if err != nil {
		return err
	}
	sc.addMeasurement("change "+id+" in force", took)
	sc.addCheck(took <= limit, "change "+id+" is in force on all daemons in time", "%s, limit %s", formatSeconds(took), limit)
	return nil
}

// setAdapters changes the adapters in an engine's configuration, which causes an
// order to the engine.
func setAdapters(ctx context.Context, v vm, e *standins.Engine, adapters ...string) (uint64, error) {
	return newOperator(v).changeTarget(ctx, e.ID, func(t *adminv1.Target) { t.Adapters = adapters })
}

// checkRevisions checks that all daemons are exactly at revision want.
func (sc *scenarioRun) checkRevisions(vms []vm, want uint64) {
	daemons := daemonAddresses(vms)
	same := 0
	for _, a := range daemons {
		if got, err := fetchRevision(a.metrics); err == nil && got == want {
			same++
		}
	}
	sc.addCheck(same == len(daemons), "no configuration is lost", "%d of %d daemons at revision %d", same, len(daemons), want)
}

const (
	// burstSize is the number of calls sent concurrently to one VM, each with an
	// idempotency key.
	burstSize = 40
	// burstDelay is about the time until the first of them are dispatched: one
	// batch interval of key records plus one round trip through the log.
	burstDelay = 120 * time.Millisecond
)

// booking is a call of a burst and its first result.
type booking struct {
	call   Call
	result Sample
}

// startBookings sends a burst of calls with idempotency keys to one VM. The
// channel receives each call with its result.
func (sc *scenarioRun) startBookings(address string) <-chan booking {
	out := make(chan booking, burstSize)
	client := NewClient()
	for i := range burstSize {
		id := fmt.Sprintf("burst-%d", i)
		c := Call{
			ID: id, Workspace: sc.d.spec.Workspaces[0], Service: sc.d.spec.PlainService, Method: http.MethodPost, Path: "/orders/" + id,
			Key: "key-" + id, Affinity: id, Body: "order " + id, Deadline: bookingDeadline,
		}
		go func() {
			s, _, _ := client.CallService(address, &c)
			out <- booking{c, s}
		}()
	}
	return out
}

// repeatBookings repeats the calls with an unknown outcome, with the same key and
// through other VMs, as a caller would.
func (sc *scenarioRun) repeatBookings(ctx context.Context, first <-chan booking) {
	spec := sc.d.spec
	spec.EntryAddresses = nil
	for _, v := range sc.d.vms {
		if !slices.Contains(sc.incompleteAllowed, v.CallerAddress) {
			spec.EntryAddresses = append(spec.EntryAddresses, v.CallerAddress)
		}
	}
	g := NewGenerator(spec)
	incomplete, repeated := 0, map[string]int{}
	for range burstSize {
		k := <-first
		if k.result.Result != Incomplete || ctx.Err() != nil {
			continue
		}
		incomplete++
		k.call.ID += "-repeat"
		_, again, _, _ := g.callBalanced(&k.call)
		name := again.Reason
		if again.Result == Answered {
			name = "answered"
		}
		repeated[name]++
	}
	sc.addCheck(incomplete > 0, "calls with a key were in flight when the daemon was killed", "%d of %d; repeated with the same key: %v", incomplete, burstSize, repeated)
}

// entryKilled kills an entry daemon while calls with idempotency keys are in
// flight. The calls are repeated through other VMs before the daemon is restarted.
func entryKilled(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	victim := sc.d.vms[1]
	sc.incompleteAllowed = []string{victim.CallerAddress}
	before, err := newOperator(sc.d.vms[0]).revision(ctx)
	if err != nil {
		return err
	}
	bookings := sc.startBookings(victim.CallerAddress)
	daemon.Sleep(ctx, burstDelay)
	if err := sc.d.procs.kill("entry-" + victim.Name); err != nil {
		return err
	}
	sc.repeatBookings(ctx, bookings)
	sc.checkRevisions(sc.d.vmsExcept(victim.Name), before)
	start := time.Now()
	if err := sc.d.startEntry(victim); err != nil {
		return err
	}
	err = awaitRevision(ctx, daemonAddress{"entry-" + victim.Name, victim.EntryMetricsAddress}, before)
	sc.addMeasurement("restarted daemon has the configuration", time.Since(start))
	sc.addCheck(err == nil, "the restarted daemon has the configuration", "%s", formatSeconds(time.Since(start)))
	return sc.checkInForce(ctx, sc.d.vms[0], sc.d.vms, "after-kill", inForceLimit)
}

// holderKilled kills the control daemon that holds the lease. Another daemon must
// take the lease over and send orders under it.
func holderKilled(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	holder, other, fence, err := sc.holder(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := sc.d.procs.kill("control-" + holder.Name); err != nil {
		return err
	}
	next, took, err := awaitTakeover(ctx, other, fence, start)
	if err != nil {
		return err
	}
	limit := leaseDuration + leaseMargin + claimLimit
	sc.addMeasurement("take-over", took)
	sc.addCheck(took <= limit, "another daemon takes over", "%s, limit %s, fencing number %d after %d", formatSeconds(took), limit, next, fence)
	return sc.checkOrder(ctx, other, next)
}

// checkOrder changes an engine's adapters and checks that the engine carries out
// an order with the given fencing number.
func (sc *scenarioRun) checkOrder(ctx context.Context, v vm, fence uint64) error {
	engines, err := sc.enginesIn(v)
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
	sc.addMeasurement("order of the new holder carried out", took)
	sc.addCheck(err == nil, "the new holder's order is carried out", "%s with fencing number %d", formatSeconds(took), fence)
	return nil
}

// holderPaused suspends the lease holder, with an order pending, for longer than
// its lease. It resumes the process after the next holder has sent an order to
// the same engine.
func holderPaused(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	holder, other, fence, err := sc.holder(ctx)
	if err != nil {
		return err
	}
	engines, err := sc.enginesIn(holder)
	if err != nil {
		return err
	}
	e, unchecked := engines[0], engines[1]
	if err := sc.disableFencingCheck(ctx, other, unchecked); err != nil {
		return err
	}
	name := "control-" + holder.Name
	if _, err := setAdapters(ctx, other, e, "rosters"); err != nil {
		return err
	}
	start := time.Now()
	if err := sc.d.procs.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	next, took, err := awaitTakeover(ctx, other, fence, start)
	if err != nil {
		return err
	}
	sc.addMeasurement("take-over", took)
	sc.addCheck(took <= leaseDuration+leaseMargin+claimLimit, "another daemon takes over", "%s", formatSeconds(took))
	if err := sc.checkOrder(ctx, other, next); err != nil {
		return err
	}
	if _, err := setAdapters(ctx, other, unchecked, "rates"); err != nil {
		return err
	}
	daemon.Sleep(ctx, leaseDuration+leaseMargin+claimLimit-time.Since(start))
	if err := sc.d.procs.signal(name, syscall.SIGCONT); err != nil {
		return err
	}
	paused := time.Since(start)
	daemon.Sleep(ctx, orderLimit)
	s, err := fetchState(e)
	if err != nil {
		return err
	}
	stats, err := sc.d.stats()
	if err != nil {
		return err
	}
	sc.addMeasurement("pause", paused)
	sc.addCheck(s.HighestFence == next && slices.Equal(s.Adapters, []string{"rates"}),
		"orders of the resumed former holder have no effect", "paused %s, fencing number %d, adapters %v, %d stale orders refused by the engine",
		formatSeconds(paused), s.HighestFence, s.Adapters, stats.Engines[e.ID].OrdersStale)
	u, err := fetchState(unchecked)
	if err != nil {
		return err
	}
	sc.addCheck(len(u.Adapters) == len(unchecked.Adapters), "an engine that ignores fencing numbers receives no order during its quarantine",
		"fencing number %d, adapters %v", u.HighestFence, u.Adapters)
	return sc.checkInForce(ctx, holder, sc.d.vms, "after-pause", inForceLimit)
}

// disableFencingCheck makes an engine ignore fencing numbers and sets
// checks_fencing to false in its configuration.
func (sc *scenarioRun) disableFencingCheck(ctx context.Context, v vm, e *standins.Engine) error {
	checks := false
	if err := setFault(sc.d.targetsControl, "engine/"+e.ID, standins.EngineFaults{ChecksFencing: &checks}); err != nil {
		return err
	}
	_, err := newOperator(v).changeTarget(ctx, e.ID, func(t *adminv1.Target) { t.ChecksFencing = false })
	return err
}
