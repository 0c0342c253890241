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
	// lines bounds all lines, unrouted those of paths without a route.
	lines, unrouted lineLimit
	dropped         atomic.Int64
}

// unroutedShare is the part of the lines that requests without a route may take:
// callers that try paths at random must not crowd out the others.
const unroutedShare = 4

func newObserver(log *logrus.Entry, c *counters, sample, rate int) *observer {
	return &observer{
		log: log, counters: c, sample: uint64(sample),
		lines: lineLimit{rate: int64(rate)}, unrouted: lineLimit{rate: int64(rate) / unroutedShare},
	}
}

// ObserveDecision implements gateway.Observer.
func (o *observer) ObserveDecision(e *gateway.Event) { o.counters.count(e) }

// ObserveEnd implements gateway.Observer. It writes the decisions of a request in
// full or not at all.
func (o *observer) ObserveEnd(all []gateway.Event) {
	if end := &all[len(all)-1]; !o.worth(end) || !o.allowed(end, len(all)) {
		return
	}
	for i := range all {
		o.write(&all[i])
	}
}

func (o *observer) write(e *gateway.Event) {
	f := logrus.Fields{daemon.FieldRequest: e.Request.ID, fieldElapsed: millis(e.Elapsed)}
	if e.Route != "" {
		f[fieldRoute], f[daemon.FieldService] = e.Route, e.Service
	}
	if e.ConfigVersion != 0 {
		f[fieldConfig] = e.ConfigVersion
	}
	switch e.Kind {
	case gateway.KindSend:
		f[daemon.FieldTarget], f[fieldStage] = e.Target, stageNames[e.Stage]
		f[fieldPredicted], f[fieldUncached] = millis(e.Predicted), e.UncachedTokens
	case gateway.KindRetry, gateway.KindNoRetry:
		f[daemon.FieldTarget], f[daemon.FieldReason] = e.Target, e.RetryReason.String()
		if e.Err != nil {
			f[logrus.ErrorKey] = e.Err.Error()
		}
	case gateway.KindOutcome:
		f[fieldFirst], f[fieldTries], f[fieldStatus] = millis(e.TimeToFirst), e.Attempts, e.Status
		f[fieldOutcome], f[daemon.FieldReason] = outcomeOf(e.Outcome)
	}
	o.log.WithTime(e.Request.Arrived.Add(e.Elapsed)).WithFields(f).Info(string(e.Kind))
}

// worth reports whether the decisions about a request are written: those of all
// that did not go as planned, and of a sample of the others.
func (o *observer) worth(end *gateway.Event) bool {
	_, answered := end.Outcome.(types.Answered)
	return !answered || end.Status >= 500 || end.Late || end.Attempts > 2 || end.Request.Hash%o.sample == 0
}

// allowed bounds the lines of each second. Those that it refuses are counted.
func (o *observer) allowed(end *gateway.Event, lines int) bool {
	r, notRun := end.Outcome.(types.NotRun)
	unrouted := notRun && r.Reason() == types.RefusedUnknownRoute
	if (!unrouted || o.unrouted.take(lines)) && o.lines.take(lines) {
		return true
	}
	o.dropped.Add(int64(lines))
	return false
}

// lineLimit bounds log lines. It is safe for concurrent use.
type lineLimit struct {
	rate    int64        // lines a second
	second  atomic.Int64 // that written counts
	written atomic.Int64
}

// take reports whether some more lines may be written in this second.
func (l *lineLimit) take(lines int) bool {
	now := time.Now().Unix()
	if old := l.second.Load(); old != now && l.second.CompareAndSwap(old, now) {
		l.written.Store(0)
	}
	return l.written.Add(int64(lines)) <= l.rate
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
