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

// fixed gives a flag of rapid a default for one test, so that make test has the
// same verdict every time. make fuzz sets the flags on the command line.
func fixed(t *testing.T, name, value string) {
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

// Guards against a keyed request that runs twice, a caller that gets the answer
// to another request, and a key that stays blocked although nothing ran, under
// kills, pauses, partitions, lost answers, duplicate and late appends, an absent
// log, and expiry.
func TestStatefulKeys(t *testing.T) {
	fixed(t, "rapid.seed", "1")
	fixed(t, "rapid.checks", "2000")
	fixed(t, "rapid.steps", "60")
	fixed(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		w := newKeyWorld()
		t.Repeat(w.actions())
		w.checkHealed(t)
	})
}

func (w *keyWorld) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":           w.check,
		"arrive":     w.doArrive,
		"ask again":  w.doAskAgain,
		"flush":      func(t *rapid.T) { w.flush(t, w.drawDaemon(t)) },
		"read":       w.doRead,
		"read all":   w.doReadAll,
		"flush all":  w.doFlushAll,
		"dispatch":   func(t *rapid.T) { w.dispatch(t, w.drawRequest(t, keyGranted)) },
		"end":        w.doEnd,
		"give up":    w.doGiveUp,
		"not sent":   func(t *rapid.T) { w.release(w.drawRequest(t, keyGranted)) },
		"delay":      w.doDelay,
		"land":       w.doLand,
		"kill":       func(t *rapid.T) { w.kill(w.drawDaemon(t)) },
		"kill entry": w.doKillEntry,
		"pause":      w.doPause,
		"cut off":    func(t *rapid.T) { d := w.drawDaemon(t); d.cutOff = !d.cutOff },
		"faults":     w.doFaults,
		"time":       w.doTime,
	}
}

func (w *keyWorld) check(t *rapid.T) {
	if w.oracle.problem != "" {
		t.Fatal(w.oracle.problem)
	}
}

func (w *keyWorld) drawDaemon(t *rapid.T) *keyDaemon {
	d := w.daemons[rapid.IntRange(0, keyDaemons-1).Draw(t, "daemon")]
	if d.paused {
		t.Skip("paused")
	}
	return d
}

// drawRequest returns a request in the given state.
func (w *keyWorld) drawRequest(t *rapid.T, s keyState) *keyRequest {
	var in []*keyRequest
	for _, r := range w.requests {
		if r.state == s {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		t.Skip("no such request")
	}
	return in[rapid.IntRange(0, len(in)-1).Draw(t, "request")]
}

func (w *keyWorld) doArrive(t *rapid.T) {
	k := rapid.SampledFrom(keyNames).Draw(t, "key")
	digest := rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "digest")
	w.arrive(k, digest, w.drawDaemon(t))
}

func (w *keyWorld) doAskAgain(t *rapid.T) {
	r, d := w.drawRequest(t, keyWaiting), w.drawDaemon(t)
	for _, asked := range d.waiting {
		if asked == r {
			t.Skip("was asked")
		}
	}
	w.ask(r, d)
}

func (w *keyWorld) doRead(t *rapid.T) {
	d := w.drawDaemon(t)
	if d.cutOff {
		t.Skip("cut off")
	}
	w.read(t, d)
}

// doReadAll and doFlushAll let all daemons that can go on, so that runs get
// past the first records within few steps.
func (w *keyWorld) doReadAll(t *rapid.T) {
	for _, d := range w.daemons {
		for !d.paused && !d.cutOff && w.read(t, d) {
		}
	}
}

func (w *keyWorld) doFlushAll(t *rapid.T) {
	for _, d := range w.daemons {
		if !d.paused && !d.cutOff && len(d.queue) > 0 {
			w.flush(t, d)
		}
	}
}

func (w *keyWorld) doEnd(t *rapid.T) {
	kind := rapid.SampledFrom([]idempotency.Kind{idempotency.KindCompleted, idempotency.KindCompleted, idempotency.KindUnknown}).Draw(t, "end")
	w.end(w.drawRequest(t, keyRunning), kind)
}

func (w *keyWorld) doGiveUp(t *rapid.T) {
	d := w.drawDaemon(t)
	if len(d.waiting) == 0 {
		t.Skip("nobody waits")
	}
	w.giveUp(d, inOrder(d.waiting)[0])
}

// doDelay takes a batch from a daemon; it lands later, or again later.
func (w *keyWorld) doDelay(t *rapid.T) {
	d := w.drawDaemon(t)
	if len(d.queue) == 0 || d.cutOff {
		t.Skip("nothing to append")
	}
	w.delayed = append(w.delayed, append([]idempotency.Record(nil), d.queue...))
	if rapid.Bool().Draw(t, "taken") {
		d.queue = nil
	}
}

func (w *keyWorld) doLand(t *rapid.T) {
	if len(w.delayed) == 0 {
		t.Skip("nothing under way")
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "batch")
	if _, err := w.append(t, w.delayed[i]); err != nil {
		t.Skip("log is down")
	}
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

// doKillEntry kills the entry daemon of a request, which records no end.
func (w *keyWorld) doKillEntry(t *rapid.T) {
	s := rapid.SampledFrom([]keyState{keyWaiting, keyGranted, keyRunning}).Draw(t, "state")
	r := w.drawRequest(t, s)
	r.state = keyCrashed
	w.oracle.lost[r.Key] = true
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

func (w *keyWorld) doTime(t *rapid.T) {
	steps := []time.Duration{time.Second, 20 * time.Second, 2 * time.Minute, keyDeadline + time.Minute, keyWindow + time.Minute, 2*keyWindow + time.Minute}
	w.now = w.now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
}

// checkHealed ends all requests, heals everything and checks that a key that
// did not run can run, and that one that ran does not.
func (w *keyWorld) checkHealed(t *rapid.T) {
	w.log.SetFaults(logservice.Faults{})
	for _, d := range w.daemons {
		d.cutOff, d.paused = false, false
	}
	w.endAll(t)
	for len(w.delayed) > 0 {
		_, _ = w.append(t, w.delayed[0])
		w.delayed = w.delayed[1:]
	}
	w.settle(t)
	w.endAll(t)
	// A table expires keys by the time of the records that it reads.
	_, _ = w.append(t, []idempotency.Record{})
	w.settle(t)
	for _, k := range keyNames {
		w.checkKey(t, k)
	}
	w.check(t)
}

// endAll ends the requests that still wait or run.
func (w *keyWorld) endAll(t *rapid.T) {
	for _, d := range w.daemons {
		for _, c := range inOrder(d.waiting) {
			w.giveUp(d, c)
		}
	}
	for _, r := range w.requests {
		switch r.state {
		case keyWaiting, keyGranted:
			w.release(r)
		case keyRunning:
			w.end(r, idempotency.KindCompleted)
		}
	}
}

// settle appends and reads until nothing is left.
func (w *keyWorld) settle(t *rapid.T) {
	for range 4 {
		for _, d := range w.daemons {
			if len(d.queue) > 0 {
				_, _ = w.append(t, d.queue)
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
	if w.oracle.lost[k] {
		return // an attempt without a recorded end may block the key
	}
	ran := w.oracle.ranWithin(k, w.now)
	r := w.arrive(k, 1, w.daemons[0])
	w.settle(t)
	if !ran && r.state != keyGranted {
		t.Fatal(fmt.Sprintf("key %s did not run and stays blocked; attempt %s is in state %d", k.Key, r.Attempt, r.state))
	}
	if r.state == keyGranted {
		w.dispatch(t, r)
	}
}
