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
	fieldStatus    = "status"
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
func (o *observer) Decided(e *gateway.Event) { o.counters.count(e) }

// Ended implements gateway.Observer. It writes the decisions of a request in
// full or not at all.
func (o *observer) Ended(all []gateway.Event) {
	if !o.worth(&all[len(all)-1]) || !o.allowed(len(all)) {
		return
	}
	for i := range all {
		o.write(&all[i])
	}
}

func (o *observer) write(e *gateway.Event) {
	f := logrus.Fields{daemon.FieldRequest: e.Request.ID, fieldElapsed: millis(e.Elapsed)}
	if e.Route != "" {
		f[fieldRoute], f[daemon.FieldService], f[fieldConfig] = e.Route, e.Service, e.Config
	}
	switch e.Kind {
	case gateway.KindSend:
		f[daemon.FieldTarget], f[fieldStage] = e.Target, stageNames[e.Stage]
		f[fieldPredicted], f[fieldUncached] = millis(e.Predicted), e.Uncached
	case gateway.KindRetry, gateway.KindNoRetry:
		f[daemon.FieldTarget], f[daemon.FieldReason] = e.Target, e.Retry.String()
		if e.Err != nil {
			f[logrus.ErrorKey] = e.Err.Error()
		}
	case gateway.KindOutcome:
		f[fieldFirst], f[fieldTries], f[fieldStatus] = millis(e.First), e.Tries, e.Status
		f[fieldOutcome], f[daemon.FieldReason] = outcomeOf(e.Outcome)
	}
	o.log.WithTime(e.Request.Arrived.Add(e.Elapsed)).WithFields(f).Info(string(e.Kind))
}

// worth reports whether the decisions about a request are written: those of all
// that did not go as planned, and of a sample of the others. A path without a
// route is a caller's error and says nothing about the system.
func (o *observer) worth(end *gateway.Event) bool {
	if r, ok := end.Outcome.(types.NotRun); ok && r.Reason() == types.RefusedUnknownRoute {
		return end.Request.Hash%o.sample == 0
	}
	_, answered := end.Outcome.(types.Answered)
	return !answered || end.Status >= 500 || end.Late || end.Tries > 2 || end.Request.Hash%o.sample == 0
}

// allowed bounds the lines of each second.
func (o *observer) allowed(lines int) bool {
	now := time.Now().Unix()
	if old := o.second.Load(); old != now && o.second.CompareAndSwap(old, now) {
		o.written.Store(0)
	}
	if o.written.Add(int64(lines)) <= o.rate {
		return true
	}
	o.dropped.Add(int64(lines))
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
