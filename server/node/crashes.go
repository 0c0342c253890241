package node

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/crashguard"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
)

// Fields of log lines about crashes.
const (
	fieldPart    = "part"
	fieldCrashes = "crashes"
	fieldBlocks  = "blocks"
)

// What a broken connection of a request proves, as counted by lentilpick_broken_responses.
const (
	brokenCrashed    = iota // the target has crashed, and the request is a suspect
	brokenReachable         // the target accepts connections
	brokenInProgress        // the response had too many events for a suspect
	brokenNotChecked        // too many checks were in progress
	brokenLink              // the link of this node to the targets may be lost
)

var brokenNames = []string{brokenCrashed: "crashed", brokenReachable: "reachable", brokenInProgress: "in_progress", brokenNotChecked: "not_checked", brokenLink: "link"}

// crashDetector tells crashed engines from broken connections and feeds the crashes to a guard,
// which it evaluates and whose decisions it logs. It implements gateway.CrashGuard.
type crashDetector struct {
	log      *logrus.Entry
	counters *counters
	guard    *crashguard.Guard
	checks   *reachabilityChecks
	// reachable reports whether a target accepts connections.
	reachable func(*directory.Target) bool
	// linkExplains reports whether the link of this node may be why a target is not reachable.
	linkExplains func(*directory.Target) bool
	// notify publishes new evidence to the other nodes.
	notify func()
	// blocks receives the changes of blocks that have to be recorded in the store.
	blocks chan blockChange
	// recorded are the parts whose records this node has written or read. It is used by run.
	recorded map[uint64]struct{}
	limit    lineLimit
}

func newCrashDetector(log *logrus.Entry, c *counters, notify func()) (*crashDetector, error) {
	d := &crashDetector{log: log, counters: c, guard: crashguard.New(), notify: notify,
		blocks: make(chan blockChange, blockQueueLength), recorded: map[uint64]struct{}{}, limit: lineLimit{rate: signalLogRate}}
	var err error
	d.checks, err = newReachabilityChecks(func(t *directory.Target) checkResult {
		switch {
		case d.guard.KnownCrash(t.Lifetime()):
			return checkCrashed
		case d.reachable(t):
			return checkReachable
		case d.linkExplains(t):
			return checkUnknown
		case d.reachable(t):
			return checkReachable // the link has returned during the check
		}
		return checkCrashed
	})
	return d, err
}

// Blocked implements gateway.CrashGuard.
func (d *crashDetector) Blocked(parts []directory.Part) time.Duration {
	return d.guard.Blocked(parts, clock.Now())
}

// RecordAnswer implements gateway.CrashGuard.
func (d *crashDetector) RecordAnswer(parts []directory.Part) {
	d.guard.RecordAnswer(parts, clock.Now())
}

// RecordBroken implements gateway.CrashGuard. A target that accepts connections has not crashed:
// it has reset one connection or truncated one response.
func (d *crashDetector) RecordBroken(t *directory.Target, parts []directory.Part, events int) {
	if !crashguard.Suspect(events) {
		d.counters.broken.Add(brokenInProgress)
		return
	}
	at := clock.Now()
	d.check(t, func(r checkResult) {
		switch r {
		case checkReachable:
			d.counters.broken.Add(brokenReachable)
		case checkCrashed:
			d.recordCrash(t, parts, events, at)
		}
	})
}

// RecordUnmarkedEnd implements gateway.CrashGuard. A response that had only begun proves something
// only once it is known whether its target goes on.
func (d *crashDetector) RecordUnmarkedEnd(t *directory.Target, parts []directory.Part, events int) {
	if !crashguard.Suspect(events) {
		d.RecordAnswer(parts)
		return
	}
	at := clock.Now()
	d.check(t, func(r checkResult) {
		switch r {
		case checkReachable:
			d.guard.RecordAnswer(parts, at)
		case checkCrashed:
			d.recordCrash(t, parts, events, at)
		}
	})
}

// check calls record in the background once it is known whether a target has crashed. It does not
// if too many checks are in progress. A result that the link of this node may explain is counted and
// proves nothing.
func (d *crashDetector) check(t *directory.Target, record func(checkResult)) {
	submitted := d.checks.submit(t, func(r checkResult) {
		if r == checkUnknown {
			d.counters.broken.Add(brokenLink)
		}
		record(r)
	})
	if !submitted {
		d.counters.broken.Add(brokenNotChecked)
	}
}

// recordCrash records a crash of a target under a suspect.
func (d *crashDetector) recordCrash(t *directory.Target, parts []directory.Part, events int, at clock.Instant) {
	d.counters.broken.Add(brokenCrashed)
	d.counters.crashes.Add(context.Background(), 1)
	if !d.guard.RecordCrash(t.Lifetime(), parts, at) {
		return
	}
	d.notify()
	if d.limit.take(1) {
		d.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, daemon.FieldService: t.Service, fieldParts: partIDs(parts), fieldEvents: events}).
			Warn("target crashed at the beginning of a response")
	}
}

// run evaluates the evidence until the context ends.
func (d *crashDetector) run(ctx context.Context) {
	defer d.checks.release()
	for daemon.Sleep(ctx, crashguard.EvaluateInterval) {
		decided := d.guard.Evaluate(clock.Now())
		for _, b := range decided.Blocked {
			d.logBlock(b).WithField(fieldCrashes, b.Crashes).Warn("prompt part blocked: engines crash under its requests")
			d.record(blockChange{part: b.Part, blocks: b.Count})
		}
		for _, b := range decided.Learned {
			if b.Restored {
				d.recorded[b.Part] = struct{}{}
				d.logBlock(b).Info("block of a prompt part restored")
			} else {
				d.logBlock(b).Info("prompt part blocked by another node")
			}
		}
		for _, p := range decided.Ended {
			d.log.WithField(fieldPart, formatPart(p)).Info("block of a prompt part ended")
			if _, ok := d.recorded[p]; ok {
				d.record(blockChange{part: p})
			}
		}
		if d.guard.Pending() {
			d.notify()
		}
	}
}

func (d *crashDetector) logBlock(b crashguard.Blocking) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{fieldPart: formatPart(b.Part), fieldBlocks: b.Count, fieldPause: millis(b.For)})
}

// formatPart returns the ID of a prompt part as on the wire.
func formatPart(id uint64) string { return strconv.FormatUint(id, 16) }
