package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// ErrKeyUnavailable reports that a claim could not be decided in time.
var ErrKeyUnavailable = merry.New("the key log cannot be reached")

const (
	maxKeyQueue   = 4096
	maxKeyBatch   = 512
	appendTimeout = 3 * time.Second
)

type claim struct {
	key     idempotency.Key
	attempt string
	digest  uint64
	verdict chan verdict
}

type verdict struct {
	verdict idempotency.Verdict
	answer  *idempotency.Answer
}

// keyLog folds the key stream of the data centre and appends records to it in
// batches.
type keyLog struct {
	log    platform.Log
	entry  *logrus.Entry
	stream string
	every  time.Duration
	queue  chan idempotency.Record

	mu     sync.Mutex
	table  *idempotency.Table
	claims map[string]*claim // by attempt
}

func newKeyLog(log platform.Log, entry *logrus.Entry, dc types.DataCentreID, every time.Duration, s idempotency.Settings) *keyLog {
	k := &keyLog{
		log: log, stream: platform.KeyStream(dc), every: every, queue: make(chan idempotency.Record, maxKeyQueue),
		table: idempotency.NewTable(s), claims: map[string]*claim{},
	}
	k.entry = entry.WithField(daemon.FieldStream, k.stream)
	return k
}

// Next implements platform.Reader.
func (k *keyLog) Next() types.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Next()
}

// Records implements platform.Reader.
func (k *keyLog) Records(b platform.Batch) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range b.Records {
		recs, err := records.DecodeKeys(r.Data)
		if err != nil {
			k.entry.WithError(err).WithField(daemon.FieldOffset, r.Offset).Error("record does not decode; it is passed over")
		}
		if err := k.table.Apply(r.Offset, r.At, recs); err != nil {
			return err
		}
		for i := range recs {
			k.resolve(&recs[i], r.At)
		}
	}
	return nil
}

// resolve answers the claim whose intent was read.
func (k *keyLog) resolve(r *idempotency.Record, at time.Time) {
	c, ok := k.claims[r.Attempt]
	if !ok || r.Kind != idempotency.KindIntent {
		return
	}
	v, a := k.table.Judge(c.key, c.attempt, c.digest, at)
	delete(k.claims, r.Attempt)
	c.verdict <- verdict{v, a}
}

// Expired implements platform.Reader.
func (k *keyLog) Expired(oldest types.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Restart(oldest)
}

// Failed implements platform.Reader.
func (k *keyLog) Failed(err error) { k.entry.WithError(err).Debug("read failed") }

// Claim appends an intent and waits until it is read back. The error wraps
// ErrKeyUnavailable; the intent may then still reach the log.
func (k *keyLog) Claim(ctx context.Context, key idempotency.Key, attempt string, digest uint64) (idempotency.Verdict, *idempotency.Answer, error) {
	c := &claim{key: key, attempt: attempt, digest: digest, verdict: make(chan verdict, 1)}
	k.mu.Lock()
	if v, a := k.table.Judge(key, attempt, digest, time.Now()); v != idempotency.VerdictPending {
		k.mu.Unlock()
		return v, a, nil
	}
	k.claims[attempt] = c
	k.mu.Unlock()
	defer k.drop(attempt)
	if !k.enqueue(idempotency.Record{Kind: idempotency.KindIntent, Key: key, Attempt: attempt, Digest: digest}) {
		return 0, nil, ErrKeyUnavailable
	}
	select {
	case v := <-c.verdict:
		return v.verdict, v.answer, nil
	case <-ctx.Done():
		return 0, nil, merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
}

func (k *keyLog) drop(attempt string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.claims, attempt)
}

// Finish queues the end of an attempt.
func (k *keyLog) Finish(r idempotency.Record) error {
	if !k.enqueue(r) {
		return ErrKeyUnavailable
	}
	return nil
}

func (k *keyLog) enqueue(r idempotency.Record) bool {
	select {
	case k.queue <- r:
		return true
	default:
		return false
	}
}

// run appends queued records in batches until the context ends, then appends
// what is left.
func (k *keyLog) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			k.flush(k.take(nil))
			return
		case r := <-k.queue:
			k.collect(ctx, r)
		}
	}
}

func (k *keyLog) collect(ctx context.Context, first idempotency.Record) {
	timer := time.NewTimer(k.every)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	k.flush(k.take([]idempotency.Record{first}))
}

func (k *keyLog) take(batch []idempotency.Record) []idempotency.Record {
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

// flush appends a batch. A batch whose append failed or whose answer was lost
// is appended again: the fold counts duplicate records once.
func (k *keyLog) flush(batch []idempotency.Record) {
	if len(batch) == 0 {
		return
	}
	data, err := records.EncodeKeys(batch)
	if err != nil {
		k.entry.WithError(err).Error("key records do not encode")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	for {
		_, err = k.log.Append(ctx, k.stream, [][]byte{data})
		if err == nil || errors.Is(err, platform.ErrMalformed) || !pause(ctx, k.every) {
			break
		}
	}
	if err != nil {
		k.entry.WithError(err).Warn("key records were not appended")
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
