package load

import (
	"context"
	"fmt"
	"time"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/cmd/internal/standins"
	"github.com/lentilpick/lentilpick/daemon"
)

type logFault struct {
	Outage  bool `json:"outage"`
	DelayMs int  `json:"delay_ms"`
}

// logOutage restarts a control daemon while the log is down.
func logOutage(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	v := b.d.vms[5]
	before, err := newOperator(v).revision(ctx)
	if err != nil {
		return err
	}
	if err := fault(b.d.platform, "log", logFault{Outage: true}); err != nil {
		return err
	}
	daemon.Sleep(ctx, time.Second)
	if err := b.d.procs.kill("control-" + v.Name); err != nil {
		return err
	}
	start := time.Now()
	if err := b.d.startControl(v); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	err = awaitRevision(ready, daemonAddress{"control-" + v.Name, v.Peers}, before)
	got, _ := revisionOf(v.Peers)
	b.measured("start from a peer", time.Since(start))
	b.expect(err == nil && got == before, "a daemon starts from a peer at the same revision", "%s, revision %d of %d", describe(time.Since(start)), got, before)
	daemon.Sleep(ctx, leaseDuration)
	if err := fault(b.d.platform, "log", logFault{}); err != nil {
		return err
	}
	return b.checkForce(ctx, v, b.d.vms, "after-outage", forceLimit)
}

// slowLog is the delay of each call of the log in milliseconds.
const slowLog = 500

func logSlow(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	if err := b.checkForce(ctx, b.d.vms[0], b.d.vms, "fast-log", forceLimit); err != nil {
		return err
	}
	_, _, fence, err := b.holder(ctx)
	if err != nil {
		return err
	}
	if err := fault(b.d.platform, "log", logFault{DelayMs: slowLog}); err != nil {
		return err
	}
	for i := range 3 {
		daemon.Sleep(ctx, 2*time.Second)
		if err := b.checkForce(ctx, b.d.vms[i], b.d.vms, fmt.Sprintf("slow-log-%d", i+1), forceLimit); err != nil {
			return err
		}
	}
	_, _, after, err := b.holder(ctx)
	b.expect(err == nil && after == fence, "the holder keeps its lease", "fencing number %d, before %d", after, fence)
	return fault(b.d.platform, "log", logFault{})
}

// cutOff is the VM whose control daemon is cut off.
const cutOff = 1

// prepareCutOff puts a relay on each connection between one control daemon and
// the log, and between it and the other VMs.
func prepareCutOff(b *bench) error {
	d := b.d
	victim := d.vms[cutOff]
	var platform standins.Settings
	if err := readTOML(d.file("platform.toml"), &platform); err != nil {
		return err
	}
	via := func(to string, n int) (string, error) {
		address := fmt.Sprintf(faultsNetwork+".250.%d:7000", n)
		r, err := newRelay(address, to)
		if err == nil {
			b.relays = append(b.relays, r)
		}
		return address, err
	}
	toLog, err := via(platform.Platform.Listen, 1)
	if err != nil {
		return err
	}
	own := "control-" + victim.Name + ".toml"
	if err := d.replace(own, platform.Platform.Listen, toLog); err != nil {
		return err
	}
	toVictim, err := via(victim.Peers, 2)
	if err != nil {
		return err
	}
	for i, v := range d.without(victim.Name) {
		toPeer, err := via(v.Peers, 3+i)
		if err != nil {
			return err
		}
		if err := d.replace(own, v.Peers, toPeer); err != nil {
			return err
		}
		for _, kind := range []string{"control-", "entry-"} {
			if err := d.replace(kind+v.Name+".toml", victim.Peers, toVictim); err != nil {
				return err
			}
		}
	}
	return nil
}

func daemonCutOff(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	victim := b.d.vms[cutOff]
	rest := b.d.without(victim.Name)
	b.relays.setCut(true)
	daemon.Sleep(ctx, 2*leaseDuration-2*time.Second)
	if err := b.checkForce(ctx, rest[0], rest, "while-cut-off", forceLimit); err != nil {
		return err
	}
	want, err := newOperator(rest[0]).revision(ctx)
	if err != nil {
		return err
	}
	during, err := revisionOf(victim.Peers)
	b.expect(err == nil && during < want, "the daemon is cut off", "revision %d, the others %d", during, want)
	b.relays.setCut(false)
	start := time.Now()
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	err = awaitRevision(ready, daemonAddress{"control-" + victim.Name, victim.Peers}, want)
	b.measured("restored daemon has the configuration", time.Since(start))
	b.expect(err == nil, "the daemon has the configuration after the cut", "%s", describe(time.Since(start)))
	return b.checkForce(ctx, rest[0], b.d.vms, "after-cut", forceLimit)
}

// crashTime is how long a crashed engine refuses connections, in milliseconds.
const crashTime = 2000

// engineCrash crashes an engine while it changes its version.
func engineCrash(ctx context.Context, b *bench) error {
	daemon.Sleep(ctx, warmUp)
	e := &b.d.engines[0]
	_, err := newOperator(b.d.vms[0]).changeTarget(ctx, e.ID, func(t *adminv1.Target) { t.Version = "2" })
	if err != nil {
		return err
	}
	if _, err := awaitState(ctx, e, 10*time.Second, func(s engineState) bool { return s.OrderInProgress != "" }); err != nil {
		return err
	}
	if err := fault(b.d.targets, "engine/"+e.ID, standins.EngineFaults{CrashMs: crashTime}); err != nil {
		return err
	}
	limit := crashTime*time.Millisecond + orderLimit + e.ChangeTime
	took, err := awaitState(ctx, e, limit, func(s engineState) bool {
		return s.OrderInProgress == "" && s.Version == "2" && !s.Leaving
	})
	b.measured("engine carries the new version after the crash", took)
	b.expect(err == nil, "the change is carried out after the crash", "%s, limit %s", describe(took), limit)
	s, err := b.d.stats()
	b.expect(err == nil && s.Engines[e.ID].ChangesAborted == 1, "the crash came in the middle of the change", "%d aborted", s.Engines[e.ID].ChangesAborted)
	return err
}
