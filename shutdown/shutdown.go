// Package shutdown decides which work a stopping process still begins. It answers the load
// of a planned stop: callers keep sending requests on connections that are open, and the
// process is killed at the end of a fixed grace period, whatever is in progress then. The
// package performs no I/O and reads no clock.
package shutdown

import (
	"sync/atomic"
	"time"
)

// Schedule is the timing of a planned stop.
type Schedule struct {
	// Began is the time at which the stop was requested.
	Began time.Time
	// End is the time by which every request has to have its response.
	End time.Time
}

// State is the phase of a process: serving, or stopping with a schedule. It is safe for
// concurrent use; readers load one atomic pointer. The zero value is a process that serves.
type State struct{ schedule atomic.Pointer[Schedule] }

// Begin starts the stop. It reports false, and keeps the first schedule, if the process is
// already stopping.
func (s *State) Begin(x Schedule) bool { return s.schedule.CompareAndSwap(nil, &x) }

// Schedule returns the schedule of the stop, or nil while the process serves.
func (s *State) Schedule() *Schedule { return s.schedule.Load() }

// durationMargin is the factor by which a response may take longer than the longest recent
// one. A refused caller loses one round trip to another process, and a caller whose response
// is cut off loses all of it.
const durationMargin = 1.5

// Allows reports whether a request may begin now: its caller stops waiting at deadline, and e
// is known about its route. While the process stops, it may if it ends by itself before the
// process does, or if its response is expected to. A process that has served the route for a
// shorter time than is left cannot know of longer responses.
func (s *State) Allows(now, deadline time.Time, e Estimate) bool {
	x := s.schedule.Load()
	if x == nil {
		return true
	}
	rest := x.End.Sub(now)
	if rest <= 0 {
		return false
	}
	if !deadline.After(x.End) {
		return true
	}
	return e.Longest > 0 && e.Watched >= rest && time.Duration(durationMargin*float64(e.Longest)) <= rest
}
