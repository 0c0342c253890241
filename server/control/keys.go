package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// ErrKeyUnavailable reports that a claim could not be decided in time.
var ErrKeyUnavailable = merry.New("the key log cannot be reached")

const (
	maxKeyQueue = 4096
	maxKeyBatch = 512
	// maxForwards bounds the batches that are on their way to the writer.
	maxForwards    = 4
	forwardTimeout = time.Second
	// rewritePause is the time between two tries to append a batch.
	rewritePause = time.Second
	// repeatWait is how long a repeat waits for the end of the first attempt. An
	// end takes up to two batch periods and one read to arrive.
	repeatWait = 2 * time.Second
	// logSilence is how long reads have to fail before the log counts as down.
	// It is longer than the wait of one read, 2 s.
	logSilence = 3 * time.Second
	// logFailures is how many reads have to fail in a row before the log counts
	// as down, so that a process that was paused does not take its own pause
	// for an outage.
	logFailures = 3
	// maxUnrecorded bounds the keys that ran without a record.
	maxUnrecorded = 100_000
)

// keyDeps is what the key log needs from the rest of the daemon.
type keyDeps struct {
	// writer returns the control daemon that appends for the data centre, or
	// nil when that is this daemon or is not known.
	writer func() peerv1connect.PeerServiceClient
	// homes returns the data centres over which keys are spread, sorted, and the
	// configuration revision that they come from.
	homes func() (types.Revision, []types.DataCentreID)
	// runsWithoutLog reports whether keyed requests of a service may run without
	// a record while the log is down.
	runsWithoutLog func(types.ServiceID) bool
}

// keyLog folds the key stream of the data centre and appends records to it in
// batches. The decisions are those of idempotency.Claims.
type keyLog struct {
	log       logclient.Log
	entry     *logrus.Entry
	dc        types.DataCentreID
	stream    string
	window    time.Duration
	retention time.Duration
	deps      keyDeps
	queue     chan queuedRecord
	own       *keyWriter
	forwards  chan struct{}
	wantHomes chan struct{}

	mu     sync.Mutex
	claims *idempotency.Claims
	done   map[*idempotency.Claim]chan struct{}
	// unrecorded holds the claims that were granted while the log was down and
	// whose intents were not read back yet.
	unrecorded map[idempotency.Key]*idempotency.Claim
	failures   int       // failed reads since the last good one
	failedAt   time.Time // first of them
	homesAt    time.Time // log's time of the newest record of KindHomes
}

func newKeyLog(log logclient.Log, entry *logrus.Entry, s *Settings, deps keyDeps, c keyCounters) *keyLog {
	dc := types.DataCentreID(s.DataCentre)
	k := &keyLog{
		log: log, dc: dc, stream: logclient.KeyStream(dc), window: s.KeyWindow, retention: s.LogRetention, deps: deps,
		queue: make(chan queuedRecord, maxKeyQueue), forwards: make(chan struct{}, maxForwards),
		wantHomes: make(chan struct{}, 1),
		claims: idempotency.NewClaims(idempotency.Settings{
			Window: s.KeyWindow, InProgressLimit: s.KeyInProgressLimit, Self: dc, Home: homeOf,
		}),
		done:       map[*idempotency.Claim]chan struct{}{},
		unrecorded: map[idempotency.Key]*idempotency.Claim{},
	}
	k.entry = entry.WithField(daemon.FieldStream, k.stream)
	k.own = newKeyWriter(log, k.entry, k.stream, s.KeyBatchPeriod, c)
	return k
}

// Next implements logclient.Reader.
func (k *keyLog) Next() types.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims.Next()
}

// HandleRecords implements logclient.Reader.
func (k *keyLog) HandleRecords(b logclient.Batch) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range b.Records {
		if err := k.apply(r); err != nil {
			return err
		}
	}
	if k.logDown(time.Now()) {
		k.recordLate()
	}
	k.failures = 0
	settled, intents := k.claims.Resolve(b.Next, time.Now())
	for _, c := range intents {
		k.enqueue(c.Intent())
	}
	for _, c := range settled {
		close(k.done[c])
		delete(k.done, c)
	}
	if k.claims.NeedHomes() {
		signal(k.wantHomes)
	}
	return nil
}

func (k *keyLog) apply(r logclient.Record) error {
	recs, err := records.DecodeKeys(r.Data)
	if err != nil {
		k.own.counters.undecoded.Add(context.Background(), 1)
		k.entry.WithError(err).WithField(daemon.FieldOffset, r.Offset).Error("record does not decode; it is passed over")
	}
	if err := k.claims.Apply(r.Offset, r.At, recs); err != nil {
		return err
	}
	for i := range recs {
		k.noted(&recs[i], r.At)
	}
	return nil
}

// noted updates what the key log keeps besides the fold.
func (k *keyLog) noted(r *idempotency.Record, at time.Time) {
	switch r.Kind {
	case idempotency.KindHomes:
		k.homesAt = at
	case idempotency.KindIntent:
		if c := k.unrecorded[r.Key]; c != nil && c.Attempt == r.Attempt {
			delete(k.unrecorded, r.Key)
		}
	}
}

// recordLate appends the intents of the claims that were granted during an
// outage, so that other daemons do not run these keys again.
func (k *keyLog) recordLate() {
	for _, c := range k.unrecorded {
		k.enqueue(c.Intent())
	}
}

// HandleExpired implements logclient.Reader.
func (k *keyLog) HandleExpired(oldest types.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claims.SkipExpired(oldest)
}

// HandleFailure implements logclient.Reader.
func (k *keyLog) HandleFailure(err error) {
	k.mu.Lock()
	if k.failures == 0 {
		k.failedAt = time.Now()
	}
	k.failures++
	k.mu.Unlock()
	k.entry.WithError(err).Debug("read failed")
}

// logDown reports whether the log counts as down. The lock is held.
func (k *keyLog) logDown(now time.Time) bool {
	return k.failures >= logFailures && now.Sub(k.failedAt) >= logSilence
}

// Claim appends an intent and waits until it is read back. A repeat of a key
// whose first attempt is in progress waits up to repeatWait for its end. The
// error wraps ErrKeyUnavailable; the intent may then still reach the log.
func (k *keyLog) Claim(ctx context.Context, key idempotency.Key, attempt string, digest uint64) (idempotency.Verdict, *idempotency.Response, error) {
	c := &idempotency.Claim{Key: key, Attempt: attempt, Digest: digest}
	k.await(ctx, c, k.open(c))
	k.close(c)
	switch c.Verdict {
	case idempotency.VerdictPending, idempotency.VerdictReleased, idempotency.VerdictMoved:
		return c.Verdict, nil, ErrKeyUnavailable
	}
	return c.Verdict, c.Response, nil
}

// open starts a claim. The returned channel is closed when it has a verdict.
func (k *keyLog) open(c *idempotency.Claim) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	done := make(chan struct{})
	now := time.Now()
	if u := k.unrecorded[c.Key]; u != nil && u.Attempt != c.Attempt {
		c.Verdict = idempotency.VerdictUnknown
	} else if k.logDown(now) {
		k.withoutLog(c, now)
	} else if k.claims.Open(c, now) {
		k.enqueue(c.Intent())
	}
	if c.Verdict != idempotency.VerdictPending {
		close(done)
		return done
	}
	k.done[c] = done
	if k.claims.NeedHomes() {
		signal(k.wantHomes)
	}
	return done
}

// withoutLog judges a claim while the log is down, from what was read before.
// The lock is held.
func (k *keyLog) withoutLog(c *idempotency.Claim, now time.Time) {
	if !k.claims.AtEnd() {
		return // the table does not know what ran before the outage
	}
	c.Verdict, c.Response = k.claims.Evaluate(c.Key, c.Attempt, c.Digest, now)
	if c.Verdict == idempotency.VerdictInProgress {
		// The end of the first attempt may wait for the log to come back, and then
		// answers this one.
		c.Verdict = idempotency.VerdictPending
		k.claims.Open(c, now)
		return
	}
	if c.Verdict != idempotency.VerdictPending || k.claims.Moved(c.Key, now) {
		return
	}
	if k.deps.runsWithoutLog(c.Key.Service) && len(k.unrecorded) < maxUnrecorded {
		c.Verdict = idempotency.VerdictLogDown
		k.unrecorded[c.Key] = c
	}
}

// await waits for the verdict of a claim. It returns early enough for the
// answer to reach a caller whose deadline is that of the context.
func (k *keyLog) await(ctx context.Context, c *idempotency.Claim, done <-chan struct{}) {
	ctx, cancel := early(ctx)
	defer cancel()
	repeat := time.NewTimer(repeatWait)
	defer repeat.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-repeat.C:
			if k.heldByOther(c) {
				return
			}
		}
	}
}

// early returns a context that ends when four fifths of the time to the
// context's deadline have passed.
func early(ctx context.Context) (context.Context, context.CancelFunc) {
	d, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, appendTimeout)
	}
	return context.WithDeadline(ctx, d.Add(-time.Until(d)/5))
}

func (k *keyLog) heldByOther(c *idempotency.Claim) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, _ := k.claims.Evaluate(c.Key, c.Attempt, c.Digest, time.Now())
	return v == idempotency.VerdictInProgress
}

func (k *keyLog) close(c *idempotency.Claim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.done, c)
	k.claims.Close(c, time.Now())
}

// queuedRecord is a record that waits to be appended.
type queuedRecord struct {
	idempotency.Record
	// written, if not nil, receives whether the record was appended. It has room
	// for that one value.
	written chan bool
}

// Finish appends the end of an attempt and waits until it is in the log: until
// then this daemon holds the only copy, which is lost with its process. The
// error wraps ErrKeyUnavailable; the end may then still reach the log.
func (k *keyLog) Finish(ctx context.Context, r idempotency.Record) error {
	q := queuedRecord{r, make(chan bool, 1)}
	if !k.push(q) {
		return ErrKeyUnavailable
	}
	select {
	case ok := <-q.written:
		if !ok {
			return ErrKeyUnavailable
		}
		return nil
	case <-ctx.Done():
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
}

// enqueue queues a record that nobody waits for.
func (k *keyLog) enqueue(r idempotency.Record) { k.push(queuedRecord{Record: r}) }

func (k *keyLog) push(q queuedRecord) bool {
	select {
	case k.queue <- q:
		k.own.counters.records.Add(context.Background(), 1)
		return true
	default:
		return false
	}
}

// run hands queued records to the writer of the data centre until the context
// ends, then appends what is left.
func (k *keyLog) run(ctx context.Context) {
	writing, stop := context.WithCancel(context.Background())
	go k.own.run(writing)
	go k.watchHomes(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-k.queue:
			k.forwards <- struct{}{}
			batch := k.take(r)
			go func() {
				defer func() { <-k.forwards }()
				k.write(ctx, batch)
			}()
		}
	}
	for range maxForwards {
		k.forwards <- struct{}{}
	}
	for len(k.queue) > 0 {
		k.write(ctx, k.take(<-k.queue))
	}
	stop()
	<-k.own.ended
}

func (k *keyLog) take(first queuedRecord) []queuedRecord {
	batch := []queuedRecord{first}
	for len(batch) < maxKeyBatch {
		select {
		case r := <-k.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// write appends a batch, again and again until it is in the log or the context
// ends: the end of a call that was answered must outlast an outage of the log.
// While the log is down the queue fills and further records are refused.
func (k *keyLog) write(ctx context.Context, batch []queuedRecord) {
	ok := k.append(ctx, batch)
	for _, q := range batch {
		if q.written != nil {
			q.written <- ok
		}
	}
}

func (k *keyLog) append(ctx context.Context, batch []queuedRecord) bool {
	recs := make([]idempotency.Record, len(batch))
	for i, q := range batch {
		recs[i] = q.Record
	}
	data, err := records.EncodeKeys(recs)
	if err != nil {
		k.entry.WithError(err).Error("key records do not encode")
		return false
	}
	for !k.writeOnce([][]byte{data}) {
		if !daemon.Sleep(ctx, rewritePause) {
			k.entry.WithField("records", len(batch)).Error("key records were dropped at the end of the daemon")
			return false
		}
	}
	return true
}

// writeOnce appends through the writer of the data centre, or through this
// daemon's own writer when that one does not answer. A batch that both append
// counts once.
func (k *keyLog) writeOnce(batches [][]byte) bool {
	if w := k.deps.writer(); w != nil {
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		_, err := w.AppendKeys(ctx, connect.NewRequest(&peerv1.AppendKeysRequest{Batches: batches}))
		if err == nil {
			return true
		}
		k.entry.WithError(err).Debug("the writer of the data centre did not append; appending directly")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*appendTimeout)
	defer cancel()
	return k.own.Append(ctx, batches) == nil // the writer has logged the error
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
