package node

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/types"
)

func testObserver(t *testing.T, w io.Writer, rate int) *observer {
	m, err := daemon.NewMetrics("test")
	assert.NilError(t, err)
	c, err := newCounters(m)
	assert.NilError(t, err)
	return newObserver(daemon.NewLogger(w, "info", "node"), c, 8, rate)
}

func eventsOf(hash uint64, o types.Outcome, change func(e *gateway.Event)) []gateway.Event {
	r := &gateway.Request{ID: "r1", Hash: hash, Arrived: time.Unix(1000, 0)}
	end := gateway.Event{Kind: gateway.KindOutcome, Request: r, Outcome: o, Attempts: 2, Status: 200}
	if change != nil {
		change(&end)
	}
	return []gateway.Event{{Kind: gateway.KindSend, Request: r, Target: "i-1", Elapsed: time.Millisecond}, end}
}

// Guards against failed or late requests whose decisions are missing from the log, and against a log
// of all successful requests.
func TestFailedRequestsAreLoggedInFull(t *testing.T) {
	var attempt types.Attempt
	refused := attempt.Refuse(types.RefusedNoTarget)
	for name, c := range map[string]struct {
		all   []gateway.Event
		lines int
	}{
		"answered in time":          {eventsOf(3, types.Answered{}, nil), 0},
		"answered in time, sampled": {eventsOf(8, types.Answered{}, nil), 2},
		"refused":                   {eventsOf(3, refused, nil), 2},
		"late":                      {eventsOf(3, types.Answered{}, func(e *gateway.Event) { e.Late = true }), 2},
		"retried":                   {eventsOf(3, types.Answered{}, func(e *gateway.Event) { e.Attempts = 3 }), 2},
		"status 500":                {eventsOf(3, types.Answered{}, func(e *gateway.Event) { e.Status = 500 }), 2},
		"no route":                  {eventsOf(3, attempt.Refuse(types.RefusedUnknownRoute), nil), 2},
	} {
		var out bytes.Buffer
		testObserver(t, &out, 100).ObserveEnd(c.all)
		assert.Equal(t, strings.Count(out.String(), "\n"), c.lines, name)
	}
}

// Guards against a log volume that grows with the load, and against dropped lines that are not
// counted.
func TestLogRate(t *testing.T) {
	var out bytes.Buffer
	o := testObserver(t, &out, 10)
	o.limit.second.Store(time.Now().Add(time.Hour).Unix())
	for range 100 {
		o.ObserveEnd(eventsOf(8, types.Answered{}, nil))
	}
	lines := int64(strings.Count(out.String(), "\n"))
	assert.Assert(t, lines >= 10 && lines <= 20, "%d lines: at most the rate of each of two seconds", lines)
	assert.Equal(t, lines+o.droppedLines.Load(), int64(200))
}

// Guards against a 404 whose log lines do not show that an older configuration caused it, and
// against requests for unknown paths whose lines displace all others.
func TestUnknownRoutesAreLoggedWithTheirConfiguration(t *testing.T) {
	var out bytes.Buffer
	o := testObserver(t, &out, 40)
	var attempt types.Attempt
	unknown := eventsOf(3, attempt.Refuse(types.RefusedUnknownRoute), func(e *gateway.Event) { e.ConfigVersion = 7 })
	o.ObserveEnd(unknown)
	assert.Assert(t, strings.Contains(out.String(), `"configuration":7`))
	out.Reset()
	for range 100 {
		o.ObserveEnd(unknown)
	}
	assert.Assert(t, strings.Count(out.String(), "\n") <= 2*40/unroutedDivisor, "at most the rate of each of two seconds")
	out.Reset()
	for range 100 {
		o.ObserveEnd(eventsOf(3, attempt.Refuse(types.RefusedCredentialUnknown), nil))
	}
	assert.Assert(t, strings.Count(out.String(), "\n") <= 2*40/unroutedDivisor, "at most the rate of each of two seconds")
	o.ObserveEnd(eventsOf(3, attempt.Refuse(types.RefusedNoTarget), nil))
	assert.Assert(t, strings.Contains(out.String(), types.RefusedNoTarget.String()))
}

// Guards against a refused resumption whose lines lead neither to its first request nor to the
// version of its stream.
func TestResumptionIsLoggedWithItsVersion(t *testing.T) {
	var out bytes.Buffer
	var attempt types.Attempt
	testObserver(t, &out, 40).ObserveEnd(eventsOf(3, attempt.Refuse(types.RefusedNoTarget), func(e *gateway.Event) { e.Version, e.Request.ResumeOf = "v2", "r0" }))
	assert.Assert(t, strings.Contains(out.String(), `"resumes":"r0"`) && strings.Contains(out.String(), `"version":"v2"`), out.String())
}

// blockingWriter is a writer whose Write never returns.
type blockingWriter struct{ started chan struct{} }

func (b blockingWriter) Write([]byte) (int, error) {
	close(b.started)
	select {}
}

// Guards against requests that are delayed because the reader of standard output does not read.
func TestLineWriterNeverBlocks(t *testing.T) {
	b := blockingWriter{make(chan struct{})}
	w := NewLineWriter(b)
	log := logrus.New()
	log.SetOutput(w)
	log.Info("first")
	<-b.started
	for range 2 * lineQueueLength {
		log.Info("line")
	}
	assert.Equal(t, w.dropped.Load(), int64(lineQueueLength))
}

// slowWriter is a writer that takes the given time for each line.
type slowWriter struct {
	delay time.Duration
	lines atomic.Int64
}

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(s.delay)
	s.lines.Add(1)
	return len(p), nil
}

// Guards against the loss of the last log lines of a process, and against one that cannot end
// because the reader of standard output does not read.
func TestLineWriterWritesQueuedLinesAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowWriter{delay: time.Millisecond}
		w := NewLineWriter(s)
		for range 100 {
			_, _ = w.Write([]byte("line\n"))
		}
		assert.NilError(t, w.Close(time.Second))
		assert.Equal(t, s.lines.Load(), int64(100))
		_, _ = w.Write([]byte("late\n"))
		assert.NilError(t, w.Close(time.Second), "closed twice")
		slow := NewLineWriter(&slowWriter{delay: time.Minute})
		_, _ = slow.Write([]byte("line\n"))
		began := time.Now()
		assert.ErrorIs(t, slow.Close(time.Second), ErrLinesLost)
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(time.Hour)
	})
}

// Guards against a failed stream whose log lines do not show which parts its prompt has and
// whether the target had generated anything.
func TestFailedStreamsAreLoggedWithTheirPromptParts(t *testing.T) {
	var out bytes.Buffer
	var attempt types.Attempt
	attempt.Begin()
	all := eventsOf(3, attempt.Refuse(types.RefusedAnswerTruncated), func(e *gateway.Event) {
		e.Request.Prompt = &placement.Prompt{Parts: []directory.Part{{Key: 7, ID: 0x5c1e07a2}, {Key: 9, ID: 0x91bd3f06}}}
		e.Events = 4
	})
	testObserver(t, &out, 100).ObserveEnd(all)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Assert(t, !strings.Contains(lines[0], "parts"))
	assert.Assert(t, strings.Contains(lines[1], `"events":4`))
	assert.Assert(t, strings.Contains(lines[1], `"parts":"5c1e07a2,91bd3f06"`))
}

// Guards against stop logs that do not tell what was in progress at SIGTERM from what was accepted
// since, or that leave out requests which are answered in time.
func TestRequestsThatEndDuringAStopAreLogged(t *testing.T) {
	var out bytes.Buffer
	o := testObserver(t, &out, 1000)
	began := time.Now()
	o.shutdown.Begin(shutdown.Schedule{Began: began, End: began.Add(7500 * time.Millisecond)})
	end := func(arrived time.Time, elapsed time.Duration, out types.Outcome) {
		e := gateway.Event{Kind: gateway.KindOutcome, Request: &gateway.Request{Arrived: arrived, Hash: 1}, Outcome: out, Elapsed: elapsed}
		o.ObserveEnd([]gateway.Event{e})
	}
	var a types.Attempt
	end(began.Add(-time.Second), 3*time.Second, types.Answered{})
	end(began.Add(2*time.Second), time.Second, types.Answered{})
	end(began.Add(2*time.Second), 0, a.Refuse(types.RefusedStopping))
	assert.DeepEqual(t, o.stopped.fields(), logrus.Fields{
		"earlier_answered": int64(1), "earlier_refused": int64(0), "earlier_failed": int64(0),
		"later_answered": int64(1), "later_refused": int64(1), "later_failed": int64(0),
	})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, strings.Contains(lines[0], `"grace_left_ms":5500`) && strings.Contains(lines[0], `"since_stop_ms":-1000`), lines[0])
	assert.Assert(t, strings.Contains(lines[1], `"grace_left_ms":4500`) && strings.Contains(lines[1], `"since_stop_ms":2000`), lines[1])
}
