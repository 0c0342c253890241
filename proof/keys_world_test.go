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
	// keyDeadline is the longest deadline that a caller sets.
	keyDeadline        = 10 * time.Minute
	keyInProgressLimit = time.Minute
	keyDaemons         = 3
	keyReadLimit       = 3
)

// keyWorld models control daemons with the production claim logic, the stand-in log on a
// fake clock, and the requests of entry daemons.
type keyWorld struct {
	now      time.Time
	log      *logservice.Service
	daemons  []*keyDaemon
	requests []*keyRequest
	// delayedAppends contains batches that reach the log later.
	delayedAppends [][]idempotency.Record
	oracle         keyOracle
}

// keyDaemon is a control daemon. A paused daemon does nothing; a partitioned one does not
// reach the log.
type keyDaemon struct {
	claims        *idempotency.Claims
	queue         []idempotency.Record
	pendingClaims map[*idempotency.Claim]*keyRequest
	partitioned   bool
	paused        bool
}

type keyState int

const (
	keyWaiting keyState = iota // for a verdict
	keyGranted                 // may be dispatched
	keyRunning                 // dispatched to a target
	keyEnded                   // finished, or released before its dispatch
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
	d.claims = idempotency.NewClaims(idempotency.Settings{Window: keyWindow, InProgressLimit: keyInProgressLimit})
	d.queue, d.pendingClaims = nil, map[*idempotency.Claim]*keyRequest{}
}

// arrive starts a request that claims its key at a daemon.
func (w *keyWorld) arrive(k idempotency.Key, digest uint64, d *keyDaemon) *keyRequest {
	r := &keyRequest{deadline: w.now.Add(keyDeadline)}
	r.Key, r.Digest, r.Attempt = k, digest, fmt.Sprintf("attempt-%d", len(w.requests))
	w.requests = append(w.requests, r)
	w.oracle.recordClaim(k, digest)
	w.claimAt(r, d)
	return r
}

// claimAt claims the key of a request at a daemon. An entry daemon may claim at several
// daemons for one attempt.
func (w *keyWorld) claimAt(r *keyRequest, d *keyDaemon) {
	c := &idempotency.Claim{Key: r.Key, Attempt: r.Attempt, Digest: r.Digest}
	if d.claims.Open(c, w.now) {
		d.queue = append(d.queue, c.Intent())
	}
	if c.Verdict == idempotency.VerdictPending {
		d.pendingClaims[c] = r
		return
	}
	w.applyVerdict(r, c)
}

// applyVerdict handles the verdict on a claim, as an entry daemon does.
func (w *keyWorld) applyVerdict(r *keyRequest, c *idempotency.Claim) {
	if r.state != keyWaiting {
		return // another daemon has already responded for this attempt
	}
	switch c.Verdict {
	case idempotency.VerdictRun:
		r.state = keyGranted
		return
	case idempotency.VerdictCompleted:
		w.oracle.checkReplay(r, c.Response)
		r.state = keyEnded
		return
	case idempotency.VerdictConflict:
		w.oracle.checkConflict(r)
	}
	w.releaseRequest(r)
}

// releaseRequest records that a request was not dispatched and will not be.
func (w *keyWorld) releaseRequest(r *keyRequest) {
	r.state = keyEnded
	w.queueFinish(idempotency.Record{Kind: idempotency.KindReleased, Key: r.Key, Attempt: r.Attempt})
}

// queueFinish queues the end of an attempt at a daemon that is not paused. If all are
// paused, the record is lost.
func (w *keyWorld) queueFinish(rec idempotency.Record) {
	for i := range w.daemons {
		d := w.daemons[(i+len(w.requests))%len(w.daemons)]
		if !d.paused {
			d.queue = append(d.queue, rec)
			return
		}
	}
	w.oracle.recordLost([]idempotency.Record{rec})
}

// dispatch sends a granted request to its target unless its deadline has passed.
func (w *keyWorld) dispatch(t *rapid.T, r *keyRequest) {
	if w.now.After(r.deadline) {
		w.releaseRequest(r)
		return
	}
	r.state = keyRunning
	w.oracle.recordRun(t, r, w.now)
}

// finishRun records the end of a request that ran.
func (w *keyWorld) finishRun(r *keyRequest, kind idempotency.Kind) {
	r.state = keyEnded
	rec := idempotency.Record{Kind: kind, Key: r.Key, Attempt: r.Attempt}
	if kind == idempotency.KindCompleted {
		rec.Response = &idempotency.Response{Status: 201, Body: []byte(r.Attempt)}
	}
	w.queueFinish(rec)
}

// timeOutClaim ends the wait of a claim at its deadline.
func (w *keyWorld) timeOutClaim(d *keyDaemon, c *idempotency.Claim) {
	r := d.pendingClaims[c]
	delete(d.pendingClaims, c)
	d.claims.Close(c, w.now)
	w.applyVerdict(r, c)
}

// kill restarts a daemon with no state. The entry daemons that wait for it get an error.
func (w *keyWorld) kill(d *keyDaemon) {
	w.oracle.recordLost(d.queue)
	waiting := d.pendingClaims
	d.restart()
	for _, c := range sortedClaims(waiting) {
		if r := waiting[c]; r.state == keyWaiting {
			w.releaseRequest(r)
		}
	}
}

// sortedClaims returns the claims in the order of their attempts, so that a seed always
// gives the same sequence.
func sortedClaims(waiting map[*idempotency.Claim]*keyRequest) []*idempotency.Claim {
	return slices.SortedFunc(maps.Keys(waiting), func(a, b *idempotency.Claim) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// flush appends the queue of a daemon. If the response is lost, the batch may be appended
// again, as the writer does.
func (w *keyWorld) flush(t *rapid.T, d *keyDaemon) {
	if len(d.queue) == 0 || d.partitioned {
		t.Skip("nothing to append")
	}
	batch := d.queue
	lost, err := w.appendBatch(t, batch)
	switch {
	case err != nil && rapid.Bool().Draw(t, "drop"):
		w.oracle.recordLost(batch)
	case err != nil:
		return
	case lost && rapid.Bool().Draw(t, "repeat"):
		_, _ = w.appendBatch(t, batch)
	}
	d.queue = nil
}

func (w *keyWorld) appendBatch(t *rapid.T, batch []idempotency.Record) (lost bool, err error) {
	data, err := records.EncodeKeys(batch)
	if err != nil {
		t.Fatal(err)
	}
	_, lost, err = w.log.Append(keyStream, [][]byte{data})
	w.recordLateIntents(batch)
	return lost, err
}

// recordLateIntents records the keys with an intent that reaches the log more than a
// window after the request arrived. The release of the request may have expired by then,
// so that the intent blocks the key for a window, which is safe.
func (w *keyWorld) recordLateIntents(batch []idempotency.Record) {
	for _, r := range w.requests {
		if w.now.Sub(r.deadline.Add(-keyDeadline)) <= keyWindow {
			continue
		}
		for i := range batch {
			if batch[i].Kind == idempotency.KindIntent && batch[i].Attempt == r.Attempt {
				w.oracle.lostRecords[r.Key] = true
			}
		}
	}
}

// read reads one page of records on a daemon and reports whether there are more.
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
		r := d.pendingClaims[c]
		delete(d.pendingClaims, c)
		w.applyVerdict(r, c)
	}
	return int64(d.claims.Next()) < page.Next
}
