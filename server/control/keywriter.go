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
	// maxQueuedAppends bounds the calls of Append that wait for one writer.
	maxQueuedAppends = 1024
	// maxAppendBatches bounds the batches, each one log record, in one append.
	maxAppendBatches = 512
	// maxAppendBytes bounds the bytes of an append up to its last batch, so that it ends within
	// appendTimeout at 10 Mbit/s.
	maxAppendBytes = 1 << 20
	// appendTimeout bounds one append to the log, including its retries.
	appendTimeout = 3 * time.Second
)

// keyCounters are the metrics of the key log.
type keyCounters struct {
	records metric.Int64Counter
	batches metric.Int64Counter
	appends metric.Int64Counter
	failed  metric.Int64Counter
	// undecoded counts skipped records of the stream.
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

// keyWriter appends the batches of all control daemons of the data centre that use
// it as their writer, once per interval, so that the number of appends does not grow
// with the number of daemons.
type keyWriter struct {
	log      logclient.Log
	logger   *logrus.Entry
	stream   string
	interval time.Duration
	counters keyCounters
	queue    chan *keyAppend
	stopped  chan struct{} // closed when run returns
}

func newKeyWriter(log logclient.Log, logger *logrus.Entry, stream string, interval time.Duration, c keyCounters) *keyWriter {
	return &keyWriter{
		log: log, logger: logger, stream: stream, interval: interval, counters: c,
		queue: make(chan *keyAppend, maxQueuedAppends), stopped: make(chan struct{}),
	}
}

// Append waits until the batches are in the log. The error wraps
// ErrKeyUnavailable; the batches may then still reach the log.
func (w *keyWriter) Append(ctx context.Context, batches [][]byte) error {
	a := &keyAppend{batches: batches, done: make(chan error, 1)}
	select {
	case w.queue <- a:
	case <-w.stopped:
		return ErrKeyUnavailable
	case <-ctx.Done():
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
	select {
	case err := <-a.done:
		return err
	case <-w.stopped:
		return ErrKeyUnavailable
	case <-ctx.Done():
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(ctx.Err()))
	}
}

// run appends queued batches until the context ends, then the remaining ones.
func (w *keyWriter) run(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			for jobs := w.takeJobs(nil); len(jobs) > 0; jobs = w.takeJobs(nil) {
				w.flush(jobs)
			}
			return
		case a := <-w.queue:
			daemon.Sleep(ctx, w.interval)
			w.flush(w.takeJobs(a))
		}
	}
}

func (w *keyWriter) takeJobs(first *keyAppend) (jobs []*keyAppend) {
	n, bytes := 0, 0
	add := func(a *keyAppend) {
		jobs, n = append(jobs, a), n+len(a.batches)
		for _, b := range a.batches {
			bytes += len(b)
		}
	}
	if first != nil {
		add(first)
	}
	for n < maxAppendBatches && bytes < maxAppendBytes {
		select {
		case a := <-w.queue:
			add(a)
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

// append appends to the log. It retries an append that failed or whose response was
// lost, since duplicate records have no effect.
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
		if errors.Is(err, logclient.ErrMalformed) || !daemon.Sleep(ctx, w.interval) {
			w.logger.WithError(err).Warn("appending key records failed")
			return merry.Wrap(ErrKeyUnavailable, merry.WithCause(err))
		}
	}
}
