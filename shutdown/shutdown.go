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
	// AcceptUntil is the time until which callers that have not noticed the stop are expected
	// on new connections. Later requests begin only if they end by themselves.
	AcceptUntil time.Time
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

// maxCutShare is the share of responses that a stopping process may begin and not end. A
// caller whose response is cut loses all of it, and a refused one a round trip and one of a
// few retries, about a tenth of that.
const maxCutShare = 0.1

// Allows reports whether a request may begin now: its caller stops waiting at deadline, and r
// holds how long responses of its route take. While the process stops, a request may begin if
// it ends by itself before the process does, or if its response is likely to. The latter
// counts only while a refusal would concern all callers, as it can be wrong.
func (s *State) Allows(now, deadline time.Time, r *RouteDurations) bool {
	x := s.schedule.Load()
	switch {
	case x == nil:
		return true
	case !now.Before(x.End):
		return false
	case !deadline.After(x.End):
		return true
	}
	return !now.After(x.AcceptUntil) && r.Outlasting(x.End.Sub(now)) <= maxCutShare
}
