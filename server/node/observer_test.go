package node

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/types"
)

func testObserver(t *testing.T, w io.Writer, rate int) *observer {
	m, err := daemon.NewMetrics("test")
	assert.NilError(t, err)
	c, err := newCounters(m)
	assert.NilError(t, err)
	return newObserver(daemon.NewLogger(w, "info", "node"), c, 8, rate)
}

func trail(hash uint64, o types.Outcome, change func(e *gateway.Event)) []gateway.Event {
	r := &gateway.Request{ID: "r1", Hash: hash, Arrived: time.Unix(1000, 0)}
	end := gateway.Event{Kind: gateway.KindOutcome, Request: r, Outcome: o, Attempts: 2, Status: 200}
	if change != nil {
		change(&end)
	}
	return []gateway.Event{{Kind: gateway.KindSend, Request: r, Target: "i-1", Elapsed: time.Millisecond}, end}
}

// Guards against a failed or slow request without its decisions in the log, and
// against a log that has all the ordinary ones.
func TestFailedRequestsAreLoggedInFull(t *testing.T) {
	var attempt types.Attempt
	refused := attempt.Refuse(types.RefusedNoTarget)
	for name, c := range map[string]struct {
		all   []gateway.Event
		lines int
	}{
		"ordinary":          {trail(3, types.Answered{}, nil), 0},
		"ordinary, sampled": {trail(8, types.Answered{}, nil), 2},
		"refused":           {trail(3, refused, nil), 2},
		"late":              {trail(3, types.Answered{}, func(e *gateway.Event) { e.Late = true }), 2},
		"retried":           {trail(3, types.Answered{}, func(e *gateway.Event) { e.Attempts = 3 }), 2},
		"failed answer":     {trail(3, types.Answered{}, func(e *gateway.Event) { e.Status = 500 }), 2},
		"no route":          {trail(3, attempt.Refuse(types.RefusedUnknownRoute), nil), 2},
	} {
		var out bytes.Buffer
		testObserver(t, &out, 100).ObserveEnd(c.all)
		assert.Equal(t, strings.Count(out.String(), "\n"), c.lines, name)
	}
}

// Guards against a log that grows with the load, and drops that nobody counts.
func TestLogRate(t *testing.T) {
	var out bytes.Buffer
	o := testObserver(t, &out, 10)
	o.lines.second.Store(time.Now().Add(time.Hour).Unix())
	for range 100 {
		o.ObserveEnd(trail(8, types.Answered{}, nil))
	}
	lines := int64(strings.Count(out.String(), "\n"))
	assert.Assert(t, lines >= 10 && lines <= 20, "%d lines: at most the rate of each of two seconds", lines)
	assert.Equal(t, lines+o.dropped.Load(), int64(200))
}

// Guards against a 404 of an older configuration that cannot be explained, and
// against callers of unknown paths whose lines crowd out all others.
func TestUnknownRoutesAreLoggedWithTheirConfiguration(t *testing.T) {
	var out bytes.Buffer
	o := testObserver(t, &out, 40)
	var attempt types.Attempt
	unknown := trail(3, attempt.Refuse(types.RefusedUnknownRoute), func(e *gateway.Event) { e.ConfigVersion = 7 })
	o.ObserveEnd(unknown)
	assert.Assert(t, strings.Contains(out.String(), `"configuration":7`))
	out.Reset()
	for range 100 {
		o.ObserveEnd(unknown)
	}
	assert.Assert(t, strings.Count(out.String(), "\n") <= 2*40/unroutedShare, "at most the rate of each of two seconds")
	o.ObserveEnd(trail(3, attempt.Refuse(types.RefusedNoTarget), nil))
	assert.Assert(t, strings.Contains(out.String(), types.RefusedNoTarget.String()))
}

// blocked is a writer that never returns.
type blocked struct{ began chan struct{} }

func (b blocked) Write([]byte) (int, error) {
	close(b.began)
	select {}
}

// Guards against a reader of standard output that does not read and so delays
// requests.
func TestLogNeverBlocks(t *testing.T) {
	b := blocked{make(chan struct{})}
	w := NewLineWriter(b)
	log := logrus.New()
	log.SetOutput(w)
	log.Info("first")
	<-b.began
	for range 2 * lineQueue {
		log.Info("line")
	}
	assert.Equal(t, w.dropped.Load(), int64(lineQueue))
}
