package node

import (
	"io"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/types"
)

// Field names of log lines about requests, in addition to those of package daemon.
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
	// fieldParts holds the IDs of the parts of a prompt that other prompts may share, and
	// fieldEvents how much of a stream its caller has received.
	fieldParts  = "parts"
	fieldEvents = "events"
	// fieldVersion holds the software version of a target, or that of a stream.
	fieldVersion = "version"
	// fieldResumes holds the ID of the first request of a stream that a caller resumes.
	fieldResumes = "resumes"
	// fieldFrom is the node that forwards a request to this one.
	fieldFrom = "from"
)

var stageNames = [...]string{"whole", "prefill", "decode"}

// observer logs and counts the decisions about requests. It implements gateway.Observer.
type observer struct {
	log         *logrus.Entry
	counters    *counters
	sampleEvery uint64
	// limit applies to all lines. unroutedLimit and unidentifiedLimit apply to those about requests
	// without a route and without a valid credential.
	limit, unroutedLimit, unidentifiedLimit lineLimit
	droppedLines                            atomic.Int64
	// shutdown is the state of the planned stop of the node, and stopped counts how requests ended
	// during it.
	shutdown *shutdown.State
	stopped  *stopTally
}

// unroutedDivisor limits the lines about requests without a route, and those about requests without
// a valid credential, to the log rate divided by it, so that callers which try random paths or keys
// do not displace the lines about other requests.
const unroutedDivisor = 4

func newObserver(log *logrus.Entry, c *counters, sample, rate int) *observer {
	return &observer{
		log: log, counters: c, sampleEvery: uint64(sample),
		limit: lineLimit{rate: int64(rate)}, unroutedLimit: lineLimit{rate: int64(rate) / unroutedDivisor},
		unidentifiedLimit: lineLimit{rate: int64(rate) / unroutedDivisor},
		shutdown:          &shutdown.State{}, stopped: &stopTally{},
	}
}

// ObserveDecision implements gateway.Observer.
func (o *observer) ObserveDecision(e *gateway.Event) { o.counters.count(e) }

// ObserveEnd implements gateway.Observer. It logs either all decisions about a request or none.
// Requests that end during a planned stop are logged without sampling, within the log rate.
func (o *observer) ObserveEnd(events []gateway.Event) {
	end := &events[len(events)-1]
	stop := o.observeStop(end)
	if stop == nil && !o.shouldLog(end) || !o.allow(end, len(events)) {
		return
	}
	for i := range events {
		o.write(&events[i], stop)
	}
}

// write logs a decision. stop holds the fields of requests that end during a planned stop.
func (o *observer) write(e *gateway.Event, stop logrus.Fields) {
	f := logrus.Fields{daemon.FieldRequest: e.Request.ID, fieldElapsed: millis(e.Elapsed)}
	if e.Route != "" {
		f[fieldRoute], f[daemon.FieldService] = e.Route, e.Service
	}
	if p := e.Request.Prompt; p != nil && len(p.Parts) > 0 && e.Kind != gateway.KindSend {
		f[fieldParts], f[fieldEvents] = partIDs(p.Parts), e.Events
	}
	if e.ConfigVersion != 0 {
		f[fieldConfig] = e.ConfigVersion
	}
	if e.Version != "" {
		f[fieldVersion] = e.Version
	}
	if e.Request.ResumeOf != "" {
		f[fieldResumes] = e.Request.ResumeOf
	}
	if e.Peer != "" {
		f[fieldPeer] = e.Peer
	}
	if e.Request.Forwarded != nil {
		f[fieldFrom] = e.Request.Forwarded.From
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
		f[fieldOutcome], f[daemon.FieldReason] = outcomeAndReason(e.Outcome)
		if e.Err != nil {
			f[logrus.ErrorKey] = e.Err.Error()
		}
	}
	if e.Kind == gateway.KindOutcome {
		maps.Copy(f, stop)
	}
	o.log.WithTime(e.Request.Arrived.Add(e.Elapsed)).WithFields(f).Info(string(e.Kind))
}

// shouldLog reports whether a request is logged: all requests that failed, were late or were
// retried, and a sample of the others.
func (o *observer) shouldLog(end *gateway.Event) bool {
	_, answered := end.Outcome.(types.Answered)
	return !answered || end.Status >= 500 || end.Late || end.Attempts > 2 || end.Request.Hash%o.sampleEvery == 0
}

// allow reports whether the lines are within the limits per second, and counts them as dropped if
// they are not.
func (o *observer) allow(end *gateway.Event, lines int) bool {
	r, notRun := end.Outcome.(types.NotRun)
	allowed := true
	switch {
	case notRun && r.Reason() == types.RefusedUnknownRoute:
		allowed = o.unroutedLimit.take(lines)
	case notRun && r.Reason().Unauthenticated():
		allowed = o.unidentifiedLimit.take(lines)
	}
	if allowed && o.limit.take(lines) {
		return true
	}
	o.droppedLines.Add(int64(lines))
	return false
}

// lineLimit limits the number of log lines per second. It is safe for concurrent use.
type lineLimit struct {
	rate    int64        // lines per second
	second  atomic.Int64 // Unix time of the second in which written is counted
	written atomic.Int64
}

// take adds lines to the count of the current second and reports whether it is within the rate.
func (l *lineLimit) take(lines int) bool {
	now := time.Now().Unix()
	if old := l.second.Load(); old != now && l.second.CompareAndSwap(old, now) {
		l.written.Store(0)
	}
	return l.written.Add(int64(lines)) <= l.rate
}

func outcomeAndReason(o types.Outcome) (name, reason string) {
	switch v := o.(type) {
	case types.NotRun:
		return "not_run", v.Reason().String()
	case types.Unknown:
		return "unknown", v.Reason().String()
	}
	return "answered", ""
}

// partIDs formats the IDs of prompt parts as on the wire: in hexadecimal, separated by commas.
func partIDs(parts []directory.Part) string {
	var b []byte
	for i, p := range parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, p.ID, 16)
	}
	return string(b)
}

func millis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// LineWriter queues log lines for a writer that may block, which is called in a separate goroutine.
// Lines are dropped and counted while the queue is full.
type LineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	closed  chan struct{} // closed once the queued lines are written after Close
	once    sync.Once
}

// lineQueueLength is the maximum number of lines in the queue of a LineWriter.
const lineQueueLength = 256

// ErrLinesLost reports that a writer did not accept all queued log lines in time.
var ErrLinesLost = merry.New("queued log lines are lost")

// NewLineWriter returns a LineWriter that writes to w.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, lineQueueLength), closing: make(chan struct{}), closed: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *LineWriter) run(w io.Writer) {
	defer close(l.closed)
	for {
		select {
		case b := <-l.lines:
			_, _ = w.Write(b)
		case <-l.closing:
			// Lines may still be added, so only those are written that are queued now.
			for range len(l.lines) {
				_, _ = w.Write(<-l.lines)
			}
			return
		}
	}
}

// Write implements io.Writer. It never blocks and returns no error.
func (l *LineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and discards later ones. It waits up to the timeout, as the writer
// may block; after that the error is ErrLinesLost.
func (l *LineWriter) Close(timeout time.Duration) error {
	l.once.Do(func() { close(l.closing) })
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-l.closed:
		return nil
	case <-t.C:
		return ErrLinesLost
	}
}
