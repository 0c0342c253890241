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

// ErrKeyUnavailable reports that a claim could not be decided, or a record not
// appended, in time.
var ErrKeyUnavailable = merry.New("key log is unavailable")

const (
	maxKeyQueue = 4096 // records
	maxKeyBatch = 512  // records
	// maxKeyBatchBytes bounds the responses in a batch, so that the batch reaches the writer within
	// remoteAppendTimeout at 10 Mbit/s: 0.8 s with base64.
	maxKeyBatchBytes = 512 << 10
	// maxConcurrentAppends bounds the batches that are being appended at a time.
	maxConcurrentAppends = 4
	// remoteAppendTimeout bounds an append through the data centre's writer.
	remoteAppendTimeout = time.Second
	// appendRetryInterval is the time between two attempts to append a batch.
	appendRetryInterval = time.Second
	// maxRepeatWait is how long a repeated request waits for the first attempt to
	// end. The record of the end takes up to two batch periods and one read to arrive.
	maxRepeatWait = 2 * time.Second
	// minLogOutage is how long reads must have failed before the log counts as down.
	// It is longer than the wait of one read, 2 s.
	minLogOutage = 3 * time.Second
	// minLogFailures is how many consecutive reads must have failed before the log
	// counts as down, so that a process that was paused does not mistake its own
	// pause for an outage.
	minLogFailures = 3
	// maxUnrecorded bounds the keys whose requests ran without a record.
	maxUnrecorded = 100_000
)

// keyDeps are the functions of the daemon that the key log uses.
type keyDeps struct {
	// writer returns the control daemon that appends the key records of the data
	// centre, or nil if that is this daemon or is unknown.
	writer func() peerv1connect.PeerServiceClient
	// homes returns the data centres that keys are distributed over, sorted, and the
	// configuration revision that they are taken from.
	homes func() (types.Revision, []types.DataCentreID)
	// runsWithoutLog reports whether keyed requests to a service may run without a
	// record while the log is down.
	runsWithoutLog func(types.ServiceID) bool
}

// keyLog applies the records of the data centre's key stream and appends records
// to it in batches. Claims are decided by idempotency.Claims.
type keyLog struct {
	log           logclient.Log
	logger        *logrus.Entry
	dc            types.DataCentreID
	stream        string
	window        time.Duration
	retention     time.Duration
	deps          keyDeps
	queue         chan queuedRecord
	localWriter   *keyWriter
	appendSlots   chan struct{}
	homesRequests chan struct{}
	// otherHomes are the key streams of other data centres as far as they have been read. Only
	// watchHomes uses them.
	otherHomes map[types.DataCentreID]*idempotency.Table

	mu       sync.Mutex
	claims   *idempotency.Claims
	verdicts map[*idempotency.Claim]chan struct{}
	// unrecorded holds the claims that were granted while the log was down and
	// whose intents have not been read back from the log.
	unrecorded     map[idempotency.Key]*idempotency.Claim
	readFailures   int       // failed reads since the last successful one
	firstFailureAt time.Time // time of the first of these failures
	homesLoggedAt  time.Time // log's timestamp of the latest record of KindHomes
}

func newKeyLog(log logclient.Log, logger *logrus.Entry, s *Settings, deps keyDeps, c keyCounters) *keyLog {
	dc := types.DataCentreID(s.DataCentre)
	k := &keyLog{
		log: log, dc: dc, stream: logclient.KeyStream(dc), window: s.KeyWindow, retention: s.LogRetention, deps: deps,
		queue: make(chan queuedRecord, maxKeyQueue), appendSlots: make(chan struct{}, maxConcurrentAppends),
		homesRequests: make(chan struct{}, 1),
		claims: idempotency.NewClaims(idempotency.Settings{
			Window: s.KeyWindow, InProgressLimit: s.KeyInProgressLimit, Self: dc, Home: homeOf,
		}),
		verdicts:   map[*idempotency.Claim]chan struct{}{},
		unrecorded: map[idempotency.Key]*idempotency.Claim{},
	}
	k.logger = logger.WithField(daemon.FieldStream, k.stream)
	k.localWriter = newKeyWriter(log, k.logger, k.stream, s.KeyBatchPeriod, c)
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
		k.appendUnrecorded()
	}
	k.readFailures = 0
	decided, intents := k.claims.Resolve(b.Next, time.Now())
	for _, c := range intents {
		k.enqueue(c.Intent())
	}
	for _, c := range decided {
		close(k.verdicts[c])
		delete(k.verdicts, c)
	}
	if k.claims.NeedHomes() {
		notify(k.homesRequests)
	}
	return nil
}

func (k *keyLog) apply(r logclient.Record) error {
	recs, err := records.DecodeKeys(r.Data)
	if err != nil {
		k.localWriter.counters.undecoded.Add(context.Background(), 1)
		k.logger.WithError(err).WithField(daemon.FieldOffset, r.Offset).Error("record does not decode; it is passed over")
	}
	if err := k.claims.Apply(r.Offset, r.At, recs); err != nil {
		return err
	}
	for i := range recs {
		k.trackRecord(&recs[i], r.At)
	}
	return nil
}

// trackRecord updates the state that the key log keeps in addition to the claims.
func (k *keyLog) trackRecord(r *idempotency.Record, at time.Time) {
	switch r.Kind {
	case idempotency.KindHomes:
		k.homesLoggedAt = at
	case idempotency.KindIntent:
		if c := k.unrecorded[r.Key]; c != nil && c.Attempt == r.Attempt {
			delete(k.unrecorded, r.Key)
		}
	}
}

// appendUnrecorded appends the intents of claims that were granted during an outage
// of the log, so that no other daemon grants these keys again.
func (k *keyLog) appendUnrecorded() {
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
	if k.readFailures == 0 {
		k.firstFailureAt = time.Now()
	}
	k.readFailures++
	k.mu.Unlock()
	k.logger.WithError(err).Debug("reading the stream failed")
}

// logDown reports whether the log counts as down. The caller holds the lock.
func (k *keyLog) logDown(now time.Time) bool {
	return k.readFailures >= minLogFailures && now.Sub(k.firstFailureAt) >= minLogOutage
}

// Claim appends an intent and waits until it is read back from the log. A repeat of
// a key whose first attempt is in progress waits up to maxRepeatWait for that
// attempt to end. The error wraps ErrKeyUnavailable; the intent may then still reach
// the log.
func (k *keyLog) Claim(ctx context.Context, key idempotency.Key, attempt string, digest uint64) (idempotency.Verdict, *idempotency.Response, error) {
	c := &idempotency.Claim{Key: key, Attempt: attempt, Digest: digest}
	k.awaitVerdict(ctx, c, k.openClaim(c))
	k.closeClaim(c)
	switch c.Verdict {
	case idempotency.VerdictPending, idempotency.VerdictReleased, idempotency.VerdictMoved:
		return c.Verdict, nil, ErrKeyUnavailable
	}
	return c.Verdict, c.Response, nil
}

// openClaim starts a claim. The returned channel is closed when its verdict is set.
func (k *keyLog) openClaim(c *idempotency.Claim) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	done := make(chan struct{})
	now := time.Now()
	if u := k.unrecorded[c.Key]; u != nil && u.Attempt != c.Attempt {
		c.Verdict = idempotency.VerdictUnknown
	} else if k.logDown(now) {
		k.evaluateWithoutLog(c, now)
	} else if k.claims.Open(c, now) {
		k.enqueue(c.Intent())
	}
	if c.Verdict != idempotency.VerdictPending {
		close(done)
		return done
	}
	k.verdicts[c] = done
	if k.claims.NeedHomes() {
		notify(k.homesRequests)
	}
	return done
}

// evaluateWithoutLog evaluates a claim while the log is down, from the records read
// before the outage. The caller holds the lock.
func (k *keyLog) evaluateWithoutLog(c *idempotency.Claim, now time.Time) {
	if !k.claims.AtEnd() {
		return // records from before the outage have not all been read
	}
	c.Verdict, c.Response = k.claims.Evaluate(c.Key, c.Attempt, c.Digest, now)
	if c.Verdict == idempotency.VerdictInProgress {
		// The record of the first attempt's end may be waiting for the log to recover.
		// Once it is read, its response answers this attempt too.
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

// awaitVerdict waits for the verdict on a claim. It returns early enough for the
// response to reach the client before the context's deadline.
func (k *keyLog) awaitVerdict(ctx context.Context, c *idempotency.Claim, done <-chan struct{}) {
	ctx, cancel := withReplyMargin(ctx)
	defer cancel()
	repeat := time.NewTimer(maxRepeatWait)
	defer repeat.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-repeat.C:
			if k.inProgressElsewhere(c) {
				return
			}
		}
	}
}

// withReplyMargin returns a context that ends after four fifths of the time
// remaining until the deadline of ctx, or after appendTimeout if ctx has no deadline.
func withReplyMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	d, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, appendTimeout)
	}
	return context.WithDeadline(ctx, d.Add(-time.Until(d)/5))
}

func (k *keyLog) inProgressElsewhere(c *idempotency.Claim) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, _ := k.claims.Evaluate(c.Key, c.Attempt, c.Digest, time.Now())
	return v == idempotency.VerdictInProgress
}

func (k *keyLog) closeClaim(c *idempotency.Claim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.verdicts, c)
	k.claims.Close(c, time.Now())
}

// queuedRecord is a record that is to be appended.
type queuedRecord struct {
	idempotency.Record
	// appended, if not nil, receives whether the record was appended. Its capacity
	// is 1, so that the sender never blocks.
	appended chan bool
}

// Finish appends the record of an attempt's end and waits until it is in the log;
// before that, the only copy is lost if this process is killed. The error wraps
// ErrKeyUnavailable; the record may then still reach the log.
func (k *keyLog) Finish(ctx context.Context, r idempotency.Record) error {
	q := queuedRecord{r, make(chan bool, 1)}
	if !k.push(q) {
		return ErrKeyUnavailable
	}
	select {
	case ok := <-q.appended:
		if !ok {
			return ErrKeyUnavailable
		}
		return nil
	case <-ctx.Done():
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
}

// enqueue queues a record without waiting until it is appended.
func (k *keyLog) enqueue(r idempotency.Record) { k.push(queuedRecord{Record: r}) }

func (k *keyLog) push(q queuedRecord) bool {
	select {
	case k.queue <- q:
		k.localWriter.counters.records.Add(context.Background(), 1)
		return true
	default:
		return false
	}
}

// run passes queued records to the data centre's writer until the context ends,
// then appends the remaining ones.
func (k *keyLog) run(ctx context.Context) {
	writing, stop := context.WithCancel(context.Background())
	go k.localWriter.run(writing)
	go k.watchHomes(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-k.queue:
			k.appendSlots <- struct{}{}
			batch := k.takeBatch(r)
			go func() {
				defer func() { <-k.appendSlots }()
				k.writeBatch(ctx, batch)
			}()
		}
	}
	for range maxConcurrentAppends {
		k.appendSlots <- struct{}{}
	}
	for len(k.queue) > 0 {
		k.writeBatch(ctx, k.takeBatch(<-k.queue))
	}
	stop()
	<-k.localWriter.stopped
}

func (k *keyLog) takeBatch(first queuedRecord) []queuedRecord {
	batch, bytes := []queuedRecord{first}, first.responseBytes()
	for len(batch) < maxKeyBatch && bytes < maxKeyBatchBytes {
		select {
		case r := <-k.queue:
			batch, bytes = append(batch, r), bytes+r.responseBytes()
		default:
			return batch
		}
	}
	return batch
}

func (q *queuedRecord) responseBytes() int {
	if q.Response == nil {
		return 0
	}
	return len(q.Response.Body)
}

// writeBatch appends a batch, with retries until it is in the log or the context
// ends: the completion record of an answered request must survive an outage of the
// log. While the log is down, the queue fills up and further records are refused.
func (k *keyLog) writeBatch(ctx context.Context, batch []queuedRecord) {
	ok := k.appendWithRetry(ctx, batch)
	for _, q := range batch {
		if q.appended != nil {
			q.appended <- ok
		}
	}
}

func (k *keyLog) appendWithRetry(ctx context.Context, batch []queuedRecord) bool {
	recs := make([]idempotency.Record, len(batch))
	for i, q := range batch {
		recs[i] = q.Record
	}
	data, err := records.EncodeKeys(recs)
	if err != nil {
		k.logger.WithError(err).Error("encoding key records failed")
		return false
	}
	for !k.appendOnce([][]byte{data}) {
		if !daemon.Sleep(ctx, appendRetryInterval) {
			k.logger.WithField("records", len(batch)).Error("key records were not appended before shutdown and are lost")
			return false
		}
	}
	return true
}

// appendOnce appends through the data centre's writer, or through the local writer
// if that one does not respond. Duplicates of a batch have no effect.
func (k *keyLog) appendOnce(batches [][]byte) bool {
	if w := k.deps.writer(); w != nil {
		ctx, cancel := context.WithTimeout(context.Background(), remoteAppendTimeout)
		defer cancel()
		_, err := w.AppendKeys(ctx, connect.NewRequest(&peerv1.AppendKeysRequest{Batches: batches}))
		if err == nil {
			return true
		}
		k.logger.WithError(err).Debug("remote key writer failed; appending directly")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*appendTimeout)
	defer cancel()
	return k.localWriter.Append(ctx, batches) == nil // the writer logs the error
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
