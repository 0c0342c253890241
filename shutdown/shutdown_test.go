package shutdown

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stopping process that begins a request which it cannot end, and against
// one that refuses a request which ends in time.
func TestStoppingProcessBeginsWhatItCanEnd(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return began.Add(d) }
	var s State
	assert.Assert(t, s.Allows(at(time.Hour), at(2*time.Hour), 0), "while it serves")
	assert.Assert(t, s.Begin(Schedule{began, at(7500 * time.Millisecond)}))
	assert.Assert(t, !s.Begin(Schedule{began, at(time.Hour)}), "a second stop does not extend the first")
	for _, c := range []struct {
		now, deadline, expected time.Duration
		want                    bool
	}{
		{0, 7500 * time.Millisecond, 0, true},
		{0, 7501 * time.Millisecond, 0, false},
		{6 * time.Second, 7 * time.Second, time.Minute, true},
		{time.Second, 20 * time.Second, 6 * time.Second, false},
		{time.Second, 20 * time.Second, 4 * time.Second, true},
		{7200 * time.Millisecond, 15 * time.Second, 200 * time.Millisecond, true},
		{7201 * time.Millisecond, 15 * time.Second, 200 * time.Millisecond, false},
		{7500 * time.Millisecond, 7500 * time.Millisecond, time.Millisecond, false},
	} {
		assert.Equal(t, s.Allows(at(c.now), at(c.deadline), c.expected), c.want, fmt.Sprint(c))
	}
}

// Guards against a single long response that is forgotten or counts for ever, and against
// routes that share their durations.
func TestLongestResponseOfARoute(t *testing.T) {
	var d Durations
	assert.Equal(t, d.Longest("a"), time.Duration(0))
	d.Record("a", 6*time.Second)
	d.Record("b", time.Second)
	d.Record("a", 100*time.Millisecond)
	assert.Assert(t, d.Longest("a") > 5900*time.Millisecond)
	assert.Equal(t, d.Longest("b"), time.Second)
	for range 1000 {
		d.Record("a", 100*time.Millisecond)
	}
	assert.Assert(t, d.Longest("a") < 110*time.Millisecond, "%s", d.Longest("a"))
}
