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
	assert.Assert(t, s.Allows(at(time.Hour), at(2*time.Hour), Estimate{}), "while it serves")
	assert.Assert(t, s.Begin(Schedule{began, at(7500 * time.Millisecond)}))
	assert.Assert(t, !s.Begin(Schedule{began, at(time.Hour)}), "a second stop does not extend the first")
	const long = time.Hour
	for _, c := range []struct {
		now, deadline, longest, watched time.Duration
		want                            bool
	}{
		{0, 7500 * time.Millisecond, 0, 0, true},
		{0, 7501 * time.Millisecond, 0, long, false},
		{6 * time.Second, 7 * time.Second, time.Minute, long, true},
		{time.Second, 20 * time.Second, 6 * time.Second, long, false},
		{time.Second, 20 * time.Second, 4 * time.Second, long, true},
		{time.Second, 20 * time.Second, 100 * time.Millisecond, 6 * time.Second, false},
		{time.Second, 20 * time.Second, 100 * time.Millisecond, 6500 * time.Millisecond, true},
		{7200 * time.Millisecond, 15 * time.Second, 200 * time.Millisecond, long, true},
		{7201 * time.Millisecond, 15 * time.Second, 200 * time.Millisecond, long, false},
		{7500 * time.Millisecond, 7500 * time.Millisecond, time.Millisecond, long, false},
	} {
		assert.Equal(t, s.Allows(at(c.now), at(c.deadline), Estimate{c.longest, c.watched}), c.want, fmt.Sprint(c))
	}
}

// Guards against a single long response that is forgotten or counts for ever, against responses in
// progress that do not count until they end, and against routes that share their durations.
func TestLongestResponseOfARoute(t *testing.T) {
	began := time.Unix(1000, 0)
	var d Durations
	a, b := d.Route("a", began), d.Route("b", began.Add(time.Second))
	assert.Equal(t, a.Estimate(began), Estimate{})
	a.Record(6 * time.Second)
	b.Record(time.Second)
	a.Record(100 * time.Millisecond)
	assert.Assert(t, a.Estimate(began).Longest > 5900*time.Millisecond)
	for range 1000 {
		a.Record(100 * time.Millisecond)
	}
	now := began.Add(time.Minute)
	e := d.Route("a", now).Estimate(now)
	assert.Assert(t, e.Longest < 110*time.Millisecond && e.Watched == time.Minute, "%+v", e)
	a.Extend(3 * time.Second)
	a.Extend(2 * time.Second)
	assert.Equal(t, a.Estimate(now).Longest, 3*time.Second)
	assert.Equal(t, b.Estimate(now).Longest, time.Second)
}
