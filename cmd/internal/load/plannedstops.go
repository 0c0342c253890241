package load

import (
	"context"
	"syscall"
	"time"

	"github.com/lentilpick/lentilpick/daemon"
)

// plannedStopTimeout is above the stop timeout of the entry daemons in the examples, 30 s.
const plannedStopTimeout = 35 * time.Second

// plannedStops stops and restarts the daemons of three VMs one after the other, each with calls with
// idempotency keys in flight. No request may be cut, whatever was in progress.
func plannedStops(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	for _, victim := range sc.d.vms[1:4] {
		bookings := sc.startBookings(victim.CallerAddress)
		daemon.Sleep(ctx, burstDelay)
		for _, name := range []string{"entry-" + victim.Name, "control-" + victim.Name} {
			if err := sc.d.procs.signal(name, syscall.SIGHUP); err != nil {
				return err
			}
		}
		if err := sc.d.procs.terminate("entry-"+victim.Name, plannedStopTimeout); err != nil {
			return err
		}
		results := map[Result]int{}
		for range burstSize {
			results[(<-bookings).result.Result]++
		}
		sc.addCheck(results[Incomplete] == 0, "no call is cut when entry-"+victim.Name+" stops", "%v", results)
		if err := sc.d.startEntry(victim); err != nil {
			return err
		}
		if err := sc.d.procs.terminate("control-"+victim.Name, plannedStopTimeout); err != nil {
			return err
		}
		if err := sc.d.startControl(victim); err != nil {
			return err
		}
		daemon.Sleep(ctx, time.Second)
	}
	return sc.checkInForce(ctx, sc.d.vms[0], sc.d.vms, "after-stops", inForceLimit)
}
