package shutdown

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// routeWith returns the durations of a route after complete responses of the given durations.
func routeWith(took ...time.Duration) *RouteDurations {
	r := &RouteDurations{}
	for _, d := range took {
		p := r.Begin()
		p.End(d)
	}
	return r
}

// Guards against a stopping process that begins a request which it cannot end, and against
// one that refuses a request which ends in time.
func TestStoppingProcessBeginsWhatItCanEnd(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return began.Add(d) }
	unknown, short, long := routeWith(), routeWith(slices.Repeat([]time.Duration{300 * time.Millisecond}, 100)...), routeWith(slices.Repeat([]time.Duration{6 * time.Second}, 100)...)
	var s State
	assert.Assert(t, s.Allows(at(time.Hour), at(2*time.Hour), unknown), "while it serves")
	assert.Assert(t, s.Begin(Schedule{began, at(2500 * time.Millisecond), at(7500 * time.Millisecond)}))
	assert.Assert(t, !s.Begin(Schedule{began, at(time.Hour), at(time.Hour)}), "a second stop does not extend the first")
	for name, c := range map[string]struct {
		now, deadline time.Duration
		route         *RouteDurations
		want          bool
	}{
		"ends by its deadline":               {time.Second, 7500 * time.Millisecond, long, true},
		"ends by its deadline, late":         {6 * time.Second, 7 * time.Second, long, true},
		"nothing is known":                   {0, 7501 * time.Millisecond, unknown, false},
		"too long":                           {time.Second, 20 * time.Second, long, false},
		"short":                              {2 * time.Second, 20 * time.Second, short, true},
		"short, after the accept time":       {2501 * time.Millisecond, 20 * time.Second, short, false},
		"the process has ended all requests": {7500 * time.Millisecond, 7500 * time.Millisecond, short, false},
	} {
		assert.Equal(t, s.Allows(at(c.now), at(c.deadline), c.route), c.want, name)
	}
}

// Guards against an estimate that leaves out the long responses of a process that has just started,
// because they have not ended, and against one that is certain after a few short responses.
func TestEstimateHasResponsesInProgress(t *testing.T) {
	r := routeWith(100*time.Millisecond, 100*time.Millisecond)
	assert.Assert(t, r.Outlasting(5*time.Second) > maxCutShare, "two responses are no evidence")
	r = routeWith(slices.Repeat([]time.Duration{100 * time.Millisecond}, 60)...)
	assert.Assert(t, r.Outlasting(5*time.Second) < maxCutShare)
	for range 20 { // a quarter of all, none of which has ended
		p := r.Begin()
		p.Extend(2500 * time.Millisecond)
	}
	got := r.Outlasting(5 * time.Second)
	assert.Assert(t, got > 0.2 && got < 0.3, "%g", got)
}

// Guards against samples of a process's first minutes that count for ever, and responses beyond the
// last interval that are counted in none.
func TestEstimateFollowsChanges(t *testing.T) {
	r := routeWith(slices.Repeat([]time.Duration{6 * time.Second}, 1000)...)
	assert.Assert(t, r.Outlasting(5*time.Second) > 0.9)
	for range 2000 {
		p := r.Begin()
		p.End(100 * time.Millisecond)
	}
	assert.Assert(t, r.Outlasting(5*time.Second) < 0.05, "%g", r.Outlasting(5*time.Second))
	r = routeWith(slices.Repeat([]time.Duration{time.Hour}, 20)...)
	assert.Equal(t, r.Outlasting(5*time.Second), 1.0)
}

// Guards against routes that are removed and fill the memory, and against durations that a change of
// the configuration forgets.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	var d Durations
	a := d.Route("a")
	d.Route("b")
	d.Keep(func(route string) bool { return route == "a" })
	assert.Equal(t, d.Len(), 1)
	assert.Equal(t, d.Route("a"), a)
}
