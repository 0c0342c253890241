package proof

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/types"
)

const (
	keyStream = "keys.a"
	keyWindow = idempotency.MinWindow
	// keyDeadline is the longest deadline of a caller.
	keyDeadline  = 10 * time.Minute
	keyInFlight  = time.Minute
	keyDaemons   = 3
	keyReadLimit = 3
)

// keyWorld holds control daemons with the real claim logic, the stand-in log on
// a fake clock, and the requests of entry daemons.
type keyWorld struct {
	now      time.Time
	log      *logservice.Service
	daemons  []*keyDaemon
	requests []*keyRequest
	// delayed holds appends whose senders gave up and that land later.
	delayed [][]idempotency.Record
	oracle  keyOracle
}

// keyDaemon is a control daemon. A paused one does nothing; one that is cut off
// does not reach the log.
type keyDaemon struct {
	claims  *idempotency.Claims
	queue   []idempotency.Record
	waiting map[*idempotency.Claim]*keyRequest
	cutOff  bool
	paused  bool
}

type keyState int

const (
	keyWaiting keyState = iota // for a verdict
	keyGranted                 // may be dispatched
	keyRunning                 // was dispatched
	keyOver                    // ended, or given up before its dispatch
	keyCrashed                 // its entry daemon was killed
)

// keyRequest is a request at an entry daemon.
type keyRequest struct {
	idempotency.Claim
	state    keyState
	deadline time.Time
}

func newKeyWorld() *keyWorld {
	w := &keyWorld{now: time.Unix(1_000_000, 0), oracle: newKeyOracle()}
	w.log = logservice.New(logservice.Settings{Retention: 2 * keyWindow}, func() time.Time { return w.now })
	for range keyDaemons {
		d := &keyDaemon{}
		d.restart()
		w.daemons = append(w.daemons, d)
	}
	return w
}

func (d *keyDaemon) restart() {
	d.claims = idempotency.NewClaims(idempotency.Settings{Window: keyWindow, InProgressLimit: keyInFlight})
	d.queue, d.waiting = nil, map[*idempotency.Claim]*keyRequest{}
}

// arrive starts a request that claims its key at a daemon.
func (w *keyWorld) arrive(k idempotency.Key, digest uint64, d *keyDaemon) *keyRequest {
	r := &keyRequest{deadline: w.now.Add(keyDeadline)}
	r.Key, r.Digest, r.Attempt = k, digest, fmt.Sprintf("attempt-%d", len(w.requests))
	w.requests = append(w.requests, r)
	w.oracle.asked(k, digest)
	w.ask(r, d)
	return r
}

// ask claims the key of a request at a daemon. An entry daemon may ask several
// for one attempt.
func (w *keyWorld) ask(r *keyRequest, d *keyDaemon) {
	c := &idempotency.Claim{Key: r.Key, Attempt: r.Attempt, Digest: r.Digest}
	if d.claims.Open(c, w.now) {
		d.queue = append(d.queue, c.Intent())
	}
	if c.Verdict == idempotency.VerdictPending {
		d.waiting[c] = r
		return
	}
	w.verdict(r, c)
}

// verdict is what an entry daemon does with the verdict on its claim.
func (w *keyWorld) verdict(r *keyRequest, c *idempotency.Claim) {
	if r.state != keyWaiting {
		return // a second daemon answered for the same attempt
	}
	switch c.Verdict {
	case idempotency.VerdictRun:
		r.state = keyGranted
		return
	case idempotency.VerdictCompleted:
		w.oracle.replayed(r, c.Response)
		r.state = keyOver
		return
	case idempotency.VerdictConflict:
		w.oracle.conflicted(r)
	}
	w.release(r)
}

// release records that a request was not dispatched and never will be.
func (w *keyWorld) release(r *keyRequest) {
	r.state = keyOver
	w.finish(idempotency.Record{Kind: idempotency.KindReleased, Key: r.Key, Attempt: r.Attempt})
}

// finish queues the end of an attempt at the first daemon that is not paused.
func (w *keyWorld) finish(rec idempotency.Record) {
	for i := range w.daemons {
		d := w.daemons[(i+len(w.requests))%len(w.daemons)]
		if !d.paused {
			d.queue = append(d.queue, rec)
			return
		}
	}
	w.oracle.lose([]idempotency.Record{rec})
}

// dispatch sends a granted request to its target unless its deadline passed.
func (w *keyWorld) dispatch(t *rapid.T, r *keyRequest) {
	if w.now.After(r.deadline) {
		w.release(r)
		return
	}
	r.state = keyRunning
	w.oracle.ran(t, r, w.now)
}

// end records the end of a request that ran.
func (w *keyWorld) end(r *keyRequest, kind idempotency.Kind) {
	r.state = keyOver
	rec := idempotency.Record{Kind: kind, Key: r.Key, Attempt: r.Attempt}
	if kind == idempotency.KindCompleted {
		rec.Response = &idempotency.Response{Status: 201, Body: []byte(r.Attempt)}
	}
	w.finish(rec)
}

// giveUp ends the wait of a claim at its deadline.
func (w *keyWorld) giveUp(d *keyDaemon, c *idempotency.Claim) {
	r := d.waiting[c]
	delete(d.waiting, c)
	d.claims.Close(c, w.now)
	w.verdict(r, c)
}

// kill restarts a daemon with nothing in memory. Its callers see an error.
func (w *keyWorld) kill(d *keyDaemon) {
	w.oracle.lose(d.queue)
	waiting := d.waiting
	d.restart()
	for _, c := range inOrder(waiting) {
		if r := waiting[c]; r.state == keyWaiting {
			w.release(r)
		}
	}
}

// inOrder returns the claims in the order of their attempts, so that a run
// with one seed always takes the same course.
func inOrder(waiting map[*idempotency.Claim]*keyRequest) []*idempotency.Claim {
	return slices.SortedFunc(maps.Keys(waiting), func(a, b *idempotency.Claim) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// flush appends the queue of a daemon. A lost answer is appended again, as the
// writer does.
func (w *keyWorld) flush(t *rapid.T, d *keyDaemon) {
	if len(d.queue) == 0 || d.cutOff {
		t.Skip("nothing to append")
	}
	batch := d.queue
	lost, err := w.append(t, batch)
	switch {
	case err != nil && rapid.Bool().Draw(t, "drop"):
		w.oracle.lose(batch)
	case err != nil:
		return
	case lost && rapid.Bool().Draw(t, "repeat"):
		_, _ = w.append(t, batch)
	}
	d.queue = nil
}

func (w *keyWorld) append(t *rapid.T, batch []idempotency.Record) (lost bool, err error) {
	data, err := records.EncodeKeys(batch)
	if err != nil {
		t.Fatal(err)
	}
	_, lost, err = w.log.Append(keyStream, [][]byte{data})
	w.noteLate(batch)
	return lost, err
}

// noteLate notes the keys with an intent that lands over a window after its
// request. The release of the request may have expired by then, so that the
// intent holds the key for a window, which is safe but blocks it.
func (w *keyWorld) noteLate(batch []idempotency.Record) {
	for _, r := range w.requests {
		if w.now.Sub(r.deadline.Add(-keyDeadline)) <= keyWindow {
			continue
		}
		for i := range batch {
			if batch[i].Kind == idempotency.KindIntent && batch[i].Attempt == r.Attempt {
				w.oracle.lost[r.Key] = true
			}
		}
	}
}

// read lets a daemon read a few records.
func (w *keyWorld) read(t *rapid.T, d *keyDaemon) (more bool) {
	page, err := w.log.Read(context.Background(), keyStream, int64(d.claims.Next()), keyReadLimit, 0)
	if errors.Is(err, logservice.ErrExpired) {
		d.claims.SkipExpired(types.Offset(page.Oldest))
		return true
	}
	if err != nil {
		return false
	}
	for _, rec := range page.Records {
		recs, err := records.DecodeKeys(rec.Data)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.claims.Apply(types.Offset(rec.Offset), rec.At, recs); err != nil {
			t.Fatal(err)
		}
	}
	settled, intents := d.claims.Resolve(types.Offset(page.Next), w.now)
	for _, c := range intents {
		d.queue = append(d.queue, c.Intent())
	}
	for _, c := range settled {
		r := d.waiting[c]
		delete(d.waiting, c)
		w.verdict(r, c)
	}
	return int64(d.claims.Next()) < page.Next
}
