package control

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/logclient"
)

const (
	maxKeyAppends = 1024 // callers that wait for one writer
	// maxAppendBatches bounds the records of one append to the log.
	maxAppendBatches = 512
	appendTimeout    = 3 * time.Second
)

// keyCounters counts the work of the key log.
type keyCounters struct {
	records metric.Int64Counter
	batches metric.Int64Counter
	appends metric.Int64Counter
	failed  metric.Int64Counter
	// undecoded counts records of the stream that were passed over.
	undecoded metric.Int64Counter
}

func newKeyCounters(m *daemon.Metrics) (c keyCounters, err error) {
	for _, v := range []struct {
		to                *metric.Int64Counter
		name, description string
	}{
		{&c.records, "lentilpick_key_records", "Key records that this daemon created."},
		{&c.batches, "lentilpick_key_batches", "Batches of key records that this daemon wrote for itself and others."},
		{&c.appends, "lentilpick_key_appends", "Appends of key batches to the log, repeated ones included."},
		{&c.failed, "lentilpick_key_append_failures", "Appends of key batches that failed or whose answer was lost."},
		{&c.undecoded, "lentilpick_key_undecoded", "Records of the key stream that did not decode."},
	} {
		if *v.to, err = m.Meter.Int64Counter(v.name, metric.WithDescription(v.description)); err != nil {
			return c, merry.Wrap(ErrStart, merry.WithCause(err))
		}
	}
	return c, nil
}

type keyAppend struct {
	batches [][]byte
	done    chan error
}

// keyWriter appends the batches of all control daemons of the data centre that
// chose it, once per period, so that the number of appends does not grow with
// the number of daemons.
type keyWriter struct {
	log      logclient.Log
	entry    *logrus.Entry
	stream   string
	every    time.Duration
	counters keyCounters
	queue    chan *keyAppend
	ended    chan struct{} // closed when run returns
}

func newKeyWriter(log logclient.Log, entry *logrus.Entry, stream string, every time.Duration, c keyCounters) *keyWriter {
	return &keyWriter{
		log: log, entry: entry, stream: stream, every: every, counters: c,
		queue: make(chan *keyAppend, maxKeyAppends), ended: make(chan struct{}),
	}
}

// Append waits until the batches are in the log. The error wraps
// ErrKeyUnavailable; the batches may then still reach the log.
func (w *keyWriter) Append(ctx context.Context, batches [][]byte) error {
	a := &keyAppend{batches: batches, done: make(chan error, 1)}
	select {
	case w.queue <- a:
	case <-w.ended:
		return ErrKeyUnavailable
	case <-ctx.Done():
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
	select {
	case err := <-a.done:
		return err
	case <-w.ended:
		return ErrKeyUnavailable
	case <-ctx.Done():
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
}

// run appends what is queued until the context ends, then what is left.
func (w *keyWriter) run(ctx context.Context) {
	defer close(w.ended)
	for {
		select {
		case <-ctx.Done():
			w.flush(w.take(nil))
			return
		case a := <-w.queue:
			daemon.Sleep(ctx, w.every)
			w.flush(w.take(a))
		}
	}
}

func (w *keyWriter) take(first *keyAppend) (jobs []*keyAppend) {
	n := 0
	if first != nil {
		jobs, n = append(jobs, first), len(first.batches)
	}
	for n < maxAppendBatches {
		select {
		case a := <-w.queue:
			jobs, n = append(jobs, a), n+len(a.batches)
		default:
			return jobs
		}
	}
	return jobs
}

func (w *keyWriter) flush(jobs []*keyAppend) {
	if len(jobs) == 0 {
		return
	}
	var data [][]byte
	for _, j := range jobs {
		data = append(data, j.batches...)
	}
	w.counters.batches.Add(context.Background(), int64(len(data)))
	err := w.append(data)
	for _, j := range jobs {
		j.done <- err
	}
}

// append writes to the log. An append that failed or whose answer was lost is
// repeated: the fold counts duplicate records once.
func (w *keyWriter) append(data [][]byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	for {
		w.counters.appends.Add(ctx, 1)
		_, err := w.log.Append(ctx, w.stream, data)
		if err == nil {
			return nil
		}
		w.counters.failed.Add(ctx, 1)
		if errors.Is(err, logclient.ErrMalformed) || !daemon.Sleep(ctx, w.every) {
			w.entry.WithError(err).Warn("key records were not appended")
			return merry.Wrap(ErrKeyUnavailable, merry.WithCause(err))
		}
	}
}
