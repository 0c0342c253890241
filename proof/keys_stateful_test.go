package proof

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/standin/logservice"
)

// setFlagDefault sets a flag of rapid for one test unless the command line has set it, so
// that "make test" has the same result every time. "make fuzz" sets the flags on the
// command line.
func setFlagDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	_ = flag.Set(name, value)
	t.Cleanup(func() { _ = flag.Set(name, f.DefValue) })
}

var keyNames = []idempotency.Key{
	{Service: "hire-desk", Workspace: "club", Key: "deposit"},
	{Service: "hire-desk", Workspace: "club", Key: "crew"},
}

// Guards against a keyed request that runs twice, a caller that gets the response to
// another request, and a key that stays blocked although nothing ran. The faults are
// kills, pauses, partitions, lost responses, duplicate and late appends, log outages, and
// expired records.
func TestStatefulKeys(t *testing.T) {
	setFlagDefault(t, "rapid.seed", "1")
	setFlagDefault(t, "rapid.checks", "2000")
	setFlagDefault(t, "rapid.steps", "60")
	setFlagDefault(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		w := newKeyWorld()
		t.Repeat(w.actions())
		w.checkRecovery(t)
	})
}

func (w *keyWorld) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":           w.checkOracle,
		"arrive":     w.doArrive,
		"ask again":  w.doClaimAgain,
		"flush":      func(t *rapid.T) { w.flush(t, w.drawDaemon(t)) },
		"read":       w.doRead,
		"read all":   w.doReadAll,
		"flush all":  w.doFlushAll,
		"dispatch":   func(t *rapid.T) { w.dispatch(t, w.drawRequest(t, keyGranted)) },
		"end":        w.doFinishRun,
		"give up":    w.doTimeOutClaim,
		"not sent":   func(t *rapid.T) { w.releaseRequest(w.drawRequest(t, keyGranted)) },
		"delay":      w.doDelay,
		"land":       w.doDeliverDelayed,
		"kill":       func(t *rapid.T) { w.kill(w.drawDaemon(t)) },
		"kill entry": w.doKillEntry,
		"pause":      w.doPause,
		"cut off":    func(t *rapid.T) { d := w.drawDaemon(t); d.partitioned = !d.partitioned },
		"faults":     w.doFaults,
		"time":       w.doAdvanceTime,
	}
}

func (w *keyWorld) checkOracle(t *rapid.T) {
	if w.oracle.failure != "" {
		t.Fatal(w.oracle.failure)
	}
}

func (w *keyWorld) drawDaemon(t *rapid.T) *keyDaemon {
	d := w.daemons[rapid.IntRange(0, keyDaemons-1).Draw(t, "daemon")]
	if d.paused {
		t.Skip("daemon is paused")
	}
	return d
}

// drawRequest draws a request in the given state.
func (w *keyWorld) drawRequest(t *rapid.T, s keyState) *keyRequest {
	var in []*keyRequest
	for _, r := range w.requests {
		if r.state == s {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		t.Skip("no request in this state")
	}
	return in[rapid.IntRange(0, len(in)-1).Draw(t, "request")]
}

func (w *keyWorld) doArrive(t *rapid.T) {
	k := rapid.SampledFrom(keyNames).Draw(t, "key")
	digest := rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "digest")
	w.arrive(k, digest, w.drawDaemon(t))
}

func (w *keyWorld) doClaimAgain(t *rapid.T) {
	r, d := w.drawRequest(t, keyWaiting), w.drawDaemon(t)
	for _, pending := range d.pendingClaims {
		if pending == r {
			t.Skip("claim already pending at this daemon")
		}
	}
	w.claimAt(r, d)
}

func (w *keyWorld) doRead(t *rapid.T) {
	d := w.drawDaemon(t)
	if d.partitioned {
		t.Skip("partitioned")
	}
	w.read(t, d)
}

// doReadAll and doFlushAll run all daemons that can proceed, so that sequences get past
// the first records within a few steps.
func (w *keyWorld) doReadAll(t *rapid.T) {
	for _, d := range w.daemons {
		for !d.paused && !d.partitioned && w.read(t, d) {
		}
	}
}

func (w *keyWorld) doFlushAll(t *rapid.T) {
	for _, d := range w.daemons {
		if !d.paused && !d.partitioned && len(d.queue) > 0 {
			w.flush(t, d)
		}
	}
}

func (w *keyWorld) doFinishRun(t *rapid.T) {
	kind := rapid.SampledFrom([]idempotency.Kind{idempotency.KindCompleted, idempotency.KindCompleted, idempotency.KindUnknown}).Draw(t, "end")
	w.finishRun(w.drawRequest(t, keyRunning), kind)
}

func (w *keyWorld) doTimeOutClaim(t *rapid.T) {
	d := w.drawDaemon(t)
	if len(d.pendingClaims) == 0 {
		t.Skip("no pending claim")
	}
	w.timeOutClaim(d, sortedClaims(d.pendingClaims)[0])
}

// doDelay delays the append of a daemon's batch. If the daemon retains the batch in its
// queue, the batch may be appended twice.
func (w *keyWorld) doDelay(t *rapid.T) {
	d := w.drawDaemon(t)
	if len(d.queue) == 0 || d.partitioned {
		t.Skip("nothing to append")
	}
	w.delayedAppends = append(w.delayedAppends, append([]idempotency.Record(nil), d.queue...))
	if rapid.Bool().Draw(t, "taken") {
		d.queue = nil
	}
}

func (w *keyWorld) doDeliverDelayed(t *rapid.T) {
	if len(w.delayedAppends) == 0 {
		t.Skip("no delayed append")
	}
	i := rapid.IntRange(0, len(w.delayedAppends)-1).Draw(t, "batch")
	if _, err := w.appendBatch(t, w.delayedAppends[i]); err != nil {
		t.Skip("log unavailable")
	}
	w.delayedAppends = append(w.delayedAppends[:i], w.delayedAppends[i+1:]...)
}

// doKillEntry kills the entry daemon of a request, so that no end is recorded.
func (w *keyWorld) doKillEntry(t *rapid.T) {
	s := rapid.SampledFrom([]keyState{keyWaiting, keyGranted, keyRunning}).Draw(t, "state")
	r := w.drawRequest(t, s)
	r.state = keyCrashed
	w.oracle.lostRecords[r.Key] = true
}

func (w *keyWorld) doPause(t *rapid.T) {
	d := w.daemons[rapid.IntRange(0, keyDaemons-1).Draw(t, "daemon")]
	d.paused = !d.paused
}

func (w *keyWorld) doFaults(t *rapid.T) {
	w.log.SetFaults(logservice.Faults{
		Outage:           rapid.IntRange(0, 3).Draw(t, "outage") == 0,
		LoseResponses:    rapid.IntRange(0, 2).Draw(t, "lose every"),
		DuplicateAppends: rapid.IntRange(0, 2).Draw(t, "duplicate every"),
	})
}

func (w *keyWorld) doAdvanceTime(t *rapid.T) {
	steps := []time.Duration{time.Second, 20 * time.Second, 2 * time.Minute, keyDeadline + time.Minute, keyWindow + time.Minute, 2*keyWindow + time.Minute}
	w.now = w.now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
}

// checkRecovery ends all faults and all requests, and checks that a key that did not run
// can run, and that a key that ran does not run again.
func (w *keyWorld) checkRecovery(t *rapid.T) {
	w.log.SetFaults(logservice.Faults{})
	for _, d := range w.daemons {
		d.partitioned, d.paused = false, false
	}
	w.finishAll(t)
	for len(w.delayedAppends) > 0 {
		_, _ = w.appendBatch(t, w.delayedAppends[0])
		w.delayedAppends = w.delayedAppends[1:]
	}
	w.drainLog(t)
	w.finishAll(t)
	// A table expires keys by the timestamps of the records that it reads, so append one.
	_, _ = w.appendBatch(t, []idempotency.Record{})
	w.drainLog(t)
	for _, k := range keyNames {
		w.checkKey(t, k)
	}
	w.checkOracle(t)
}

// finishAll ends the requests that are waiting or running.
func (w *keyWorld) finishAll(t *rapid.T) {
	for _, d := range w.daemons {
		for _, c := range sortedClaims(d.pendingClaims) {
			w.timeOutClaim(d, c)
		}
	}
	for _, r := range w.requests {
		switch r.state {
		case keyWaiting, keyGranted:
			w.releaseRequest(r)
		case keyRunning:
			w.finishRun(r, idempotency.KindCompleted)
		}
	}
}

// drainLog appends all queued records and reads the log to its end on every daemon, for
// several rounds.
func (w *keyWorld) drainLog(t *rapid.T) {
	for range 4 {
		for _, d := range w.daemons {
			if len(d.queue) > 0 {
				_, _ = w.appendBatch(t, d.queue)
				d.queue = nil
			}
		}
		for _, d := range w.daemons {
			for w.read(t, d) {
			}
		}
	}
}

func (w *keyWorld) checkKey(t *rapid.T, k idempotency.Key) {
	if w.oracle.lostRecords[k] {
		return // an attempt without a recorded end may block the key
	}
	ran := w.oracle.ranInWindow(k, w.now)
	r := w.arrive(k, 1, w.daemons[0])
	w.drainLog(t)
	if !ran && r.state != keyGranted {
		t.Fatal(fmt.Sprintf("key %s stays blocked although it did not run; attempt %s is in state %d", k.Key, r.Attempt, r.state))
	}
	if r.state == keyGranted {
		w.dispatch(t, r)
	}
}
