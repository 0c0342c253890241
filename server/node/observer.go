package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/types"
)

// Field names of the log lines about requests, besides those of daemon.
const (
	fieldRoute     = "route"
	fieldStage     = "stage"
	fieldConfig    = "configuration"
	fieldElapsed   = "elapsed_ms"
	fieldFirst     = "first_ms"
	fieldPredicted = "predicted_ms"
	fieldUncached  = "uncached_tokens"
	fieldTries     = "tries"
	fieldOutcome   = "outcome"
)

var stageNames = [...]string{"whole", "prefill", "decode"}

// observer writes the decisions about requests to the log and counts them. It
// implements gateway.Observer.
type observer struct {
	log      *logrus.Entry
	counters *counters
	sample   uint64
	rate     int64
	second   atomic.Int64 // the second that written counts
	written  atomic.Int64
	dropped  atomic.Int64
}

// Decided implements gateway.Observer.
func (o *observer) Decided(e *gateway.Event) {
	o.counters.count(e)
	if !o.worth(e) || !o.allowed() {
		return
	}
	f := logrus.Fields{daemon.FieldRequest: e.Request.ID, fieldElapsed: millis(e.Elapsed)}
	if e.Route != "" {
		f[fieldRoute], f[daemon.FieldService], f[fieldConfig] = e.Route, e.Service, e.Config
	}
	switch e.Kind {
	case gateway.KindSend:
		f[daemon.FieldTarget], f[fieldStage] = e.Target, stageNames[e.Stage]
		f[fieldPredicted], f[fieldUncached] = millis(e.Predicted), e.Uncached
	case gateway.KindRetry, gateway.KindNoRetry:
		f[daemon.FieldReason] = e.Retry.String()
		if e.Err != nil {
			f[logrus.ErrorKey] = e.Err.Error()
		}
		f[daemon.FieldTarget] = e.Target
	case gateway.KindOutcome:
		f[fieldFirst], f[fieldTries] = millis(e.First), e.Tries
		f[fieldOutcome], f[daemon.FieldReason] = outcomeOf(e.Outcome)
	}
	o.log.WithFields(f).Info(string(e.Kind))
}

// worth reports whether a decision is written: all that did not go as planned,
// and a sample of the others.
func (o *observer) worth(e *gateway.Event) bool {
	if e.Kind == gateway.KindOutcome {
		if _, ok := e.Outcome.(types.Answered); !ok || e.Late || e.Tries > 2 {
			return true
		}
	}
	if e.Kind == gateway.KindRetry || e.Kind == gateway.KindNoRetry {
		return true
	}
	return e.Request.Hash%o.sample == 0
}

// allowed bounds the lines of each second.
func (o *observer) allowed() bool {
	now := time.Now().Unix()
	if old := o.second.Load(); old != now && o.second.CompareAndSwap(old, now) {
		o.written.Store(0)
	}
	if o.written.Add(1) <= o.rate {
		return true
	}
	o.dropped.Add(1)
	return false
}

func outcomeOf(o types.Outcome) (name, reason string) {
	switch v := o.(type) {
	case types.NotRun:
		return "not_run", v.Reason().String()
	case types.Unknown:
		return "unknown", v.Reason().String()
	}
	return "answered", ""
}

func millis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// LineWriter passes log lines to a writer that may block, from a goroutine of
// its own. Lines that find the queue full are counted and dropped.
type LineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// lineQueue bounds the lines that wait for standard output.
const lineQueue = 256

// NewLineWriter returns a writer in front of w.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, lineQueue)}
	go func() {
		for b := range l.lines {
			_, _ = w.Write(b)
		}
	}()
	return l
}

// Write implements io.Writer and never blocks.
func (l *LineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}
