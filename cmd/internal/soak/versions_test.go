package soak

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// Guards against a scenario of versions that passes whatever happens: streams of two versions,
// wrong events and take-ups that do not go on must be detected, and what the rules allow accepted.
func TestVersionsOracle(t *testing.T) {
	began := time.Unix(1000, 0)
	lives := map[string][]engineLife{"a": {{version: "v1", began: began}}, "b": {{version: "v1", began: began}}, "c": {{version: "v2", began: began}}}
	try := func(status int, events ...string) streamTry {
		at := began.Add(time.Minute)
		return streamTry{node: &changesNode{}, status: status, events: events, sent: at, ended: at.Add(time.Second)}
	}
	run := func(streams ...versionedStream) *versionsFigures {
		f := newVersionsFigures()
		for i := range streams {
			f.add(&streams[i], lives)
		}
		return f
	}
	times := func(n int, tries ...streamTry) (out []versionedStream) {
		for range n {
			out = append(out, versionedStream{tries})
		}
		return out
	}
	inAnswer := times(2, try(200, "v1", "v2"))
	overTries := times(1, try(200, "v1"), try(503), try(200, "v2"))
	assert.NilError(t, run(inAnswer...).check())
	f := run(append(inAnswer, overTries...)...)
	assert.Equal(t, f.mixedInAnswer, 2)
	assert.Equal(t, f.mixedOverTries, 1)
	assert.ErrorContains(t, f.check(), "ORDER: 3 streams")
	assert.ErrorContains(t, run(times(12, try(200, "v1"), try(503))...).check(), "LOST: 0 of 12")
	assert.NilError(t, run(times(11, try(200, "v1"), try(503))...).check(), "too few take-ups")
	assert.NilError(t, run(times(12, try(200, "v2"), try(503))...).check(), "one target of the version serves")
	assert.NilError(t, run(append(times(6, try(200, "v1"), try(503)), times(6, try(200, "v1"), try(503), try(200, "v1"))...)...).check(), "half went on")
	disturbed := try(503)
	disturbed.node = &changesNode{faultUntil: disturbed.sent, disturbedSince: disturbed.sent}
	assert.NilError(t, run(times(12, try(200, "v1"), disturbed)...).check(), "the node was not in touch")

	e := streamTry{id: "r", resumeAfter: 2}
	e.addEvent(standin.SignedEvent("r", 3, "a", "v1"))
	assert.DeepEqual(t, e.events, []string{"v1"})
	for _, wrong := range []string{standin.SignedEvent("r", 5, "a", "v1"), standin.SignedEvent("q", 4, "a", "v1"), standin.Event("r", 4)} {
		w := e
		w.addEvent(wrong)
		assert.Assert(t, w.wrong != "", wrong)
	}
	e.endEvents(io.EOF)
	assert.Assert(t, e.wrong != "", "the stream ended as complete")
}
