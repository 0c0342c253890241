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

// logOutage restarts a control daemon while the log is unavailable. The daemon
// must load its configuration from a peer.
func logOutage(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	v := sc.d.vms[5]
	before, err := newOperator(v).revision(ctx)
	if err != nil {
		return err
	}
	if err := setFault(sc.d.platformControl, "log", logFault{Outage: true}); err != nil {
		return err
	}
	daemon.Sleep(ctx, time.Second)
	if err := sc.d.procs.kill("control-" + v.Name); err != nil {
		return err
	}
	start := time.Now()
	if err := sc.d.startControl(v); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	err = awaitRevision(ready, daemonAddress{"control-" + v.Name, v.PeerAddress}, before)
	got, _ := fetchRevision(v.PeerAddress)
	sc.addMeasurement("start from a peer", time.Since(start))
	sc.addCheck(err == nil && got == before, "a restarted daemon loads the same revision from a peer", "%s, revision %d of %d", formatSeconds(time.Since(start)), got, before)
	daemon.Sleep(ctx, leaseDuration)
	if err := setFault(sc.d.platformControl, "log", logFault{}); err != nil {
		return err
	}
	return sc.checkInForce(ctx, v, sc.d.vms, "after-outage", inForceLimit)
}

// slowLogDelayMs is the delay of each call to the log.
const slowLogDelayMs = 500

// logSlow delays all calls to the log. Changes must still be in force in time
// and the lease must stay with its holder.
func logSlow(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	if err := sc.checkInForce(ctx, sc.d.vms[0], sc.d.vms, "fast-log", inForceLimit); err != nil {
		return err
	}
	_, _, fence, err := sc.holder(ctx)
	if err != nil {
		return err
	}
	if err := setFault(sc.d.platformControl, "log", logFault{DelayMs: slowLogDelayMs}); err != nil {
		return err
	}
	for i := range 3 {
		daemon.Sleep(ctx, 2*time.Second)
		if err := sc.checkInForce(ctx, sc.d.vms[i], sc.d.vms, fmt.Sprintf("slow-log-%d", i+1), inForceLimit); err != nil {
			return err
		}
	}
	_, _, after, err := sc.holder(ctx)
	sc.addCheck(err == nil && after == fence, "the holder keeps its lease", "fencing number %d, before %d", after, fence)
	return setFault(sc.d.platformControl, "log", logFault{})
}

// cutOffVM is the index of the VM whose control daemon is partitioned from the
// network.
const cutOffVM = 1

// prepareCutOff routes the connections between one control daemon and the log,
// and between it and the daemons of the other VMs, through relays.
func prepareCutOff(sc *scenarioRun) error {
	d := sc.d
	victim := d.vms[cutOffVM]
	var platform standins.Settings
	if err := readTOML(d.file("platform.toml"), &platform); err != nil {
		return err
	}
	via := func(to string, n int) (string, error) {
		address := fmt.Sprintf(faultsNetwork+".250.%d:7000", n)
		r, err := newRelay(address, to)
		if err == nil {
			sc.relays = append(sc.relays, r)
		}
		return address, err
	}
	toLog, err := via(platform.Platform.Listen, 1)
	if err != nil {
		return err
	}
	control := "control-" + victim.Name + ".toml"
	if err := d.replaceAddress(control, platform.Platform.Listen, toLog); err != nil {
		return err
	}
	toVictim, err := via(victim.PeerAddress, 2)
	if err != nil {
		return err
	}
	for i, v := range d.vmsExcept(victim.Name) {
		toPeer, err := via(v.PeerAddress, 3+i)
		if err != nil {
			return err
		}
		if err := d.replaceAddress(control, v.PeerAddress, toPeer); err != nil {
			return err
		}
		for _, kind := range []string{"control-", "entry-"} {
			if err := d.replaceAddress(kind+v.Name+".toml", victim.PeerAddress, toVictim); err != nil {
				return err
			}
		}
	}
	return nil
}

// daemonCutOff partitions a control daemon for longer than its lease. The other
// daemons must still put changes in force, and the daemon must catch up afterwards.
func daemonCutOff(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	victim := sc.d.vms[cutOffVM]
	rest := sc.d.vmsExcept(victim.Name)
	sc.relays.setBlocked(true)
	daemon.Sleep(ctx, 2*leaseDuration-2*time.Second)
	if err := sc.checkInForce(ctx, rest[0], rest, "while-cut-off", inForceLimit); err != nil {
		return err
	}
	want, err := newOperator(rest[0]).revision(ctx)
	if err != nil {
		return err
	}
	during, err := fetchRevision(victim.PeerAddress)
	sc.addCheck(err == nil && during < want, "the daemon is partitioned", "revision %d, other daemons at %d", during, want)
	sc.relays.setBlocked(false)
	start := time.Now()
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	err = awaitRevision(ready, daemonAddress{"control-" + victim.Name, victim.PeerAddress}, want)
	sc.addMeasurement("restored daemon has the configuration", time.Since(start))
	sc.addCheck(err == nil, "the daemon has the configuration after the partition ends", "%s", formatSeconds(time.Since(start)))
	return sc.checkInForce(ctx, rest[0], sc.d.vms, "after-cut", inForceLimit)
}

// crashDurationMs is how long a crashed engine refuses connections.
const crashDurationMs = 2000

// engineCrash crashes an engine in the middle of a version change.
func engineCrash(ctx context.Context, sc *scenarioRun) error {
	daemon.Sleep(ctx, warmUp)
	e := &sc.d.engines[0]
	_, err := newOperator(sc.d.vms[0]).changeTarget(ctx, e.ID, func(t *adminv1.Target) { t.Version = "2" })
	if err != nil {
		return err
	}
	if _, err := awaitState(ctx, e, 10*time.Second, func(s engineState) bool { return s.OrderInProgress != "" }); err != nil {
		return err
	}
	if err := setFault(sc.d.targetsControl, "engine/"+e.ID, standins.EngineFaults{CrashMs: crashDurationMs}); err != nil {
		return err
	}
	limit := crashDurationMs*time.Millisecond + orderLimit + e.ChangeTime
	took, err := awaitState(ctx, e, limit, func(s engineState) bool {
		return s.OrderInProgress == "" && s.Version == "2" && !s.Leaving
	})
	sc.addMeasurement("engine carries the new version after the crash", took)
	sc.addCheck(err == nil, "the change is carried out after the crash", "%s, limit %s", formatSeconds(took), limit)
	s, err := sc.d.stats()
	sc.addCheck(err == nil && s.Engines[e.ID].ChangesAborted == 1, "the crash occurred during the change", "%d aborted", s.Engines[e.ID].ChangesAborted)
	return err
}
