package directory

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

// declareLeaving records that the target has declared that it is leaving. It cannot be
// undone: a target that returns has a new lifetime and a new Load.
func (l *Load) declareLeaving() { l.declaredLeaving.Store(true) }

// DeclaredLeaving reports whether the target has declared that it is leaving.
func (l *Load) DeclaredLeaving() bool { return l.declaredLeaving.Load() }

// RequestPause records that the target accepts no request of this daemon until the given
// time. Neither a success nor a shorter pause ends it earlier.
func (l *Load) RequestPause(until time.Time) {
	n := clock.Nanos(until)
	for {
		old := l.pauseRequestedUntil.Load()
		if old >= n || l.pauseRequestedUntil.CompareAndSwap(old, n) {
			return
		}
	}
}

// RequestedPause returns how much longer the pause that the target has requested lasts,
// 0 if there is none.
func (l *Load) RequestedPause(now time.Time) time.Duration {
	return time.Duration(max(l.pauseRequestedUntil.Load()-clock.Nanos(now), 0))
}

// Reserve reserves a request to the target under its declared limit and returns how long the
// request has to wait.
func (l *Load) Reserve(now time.Time) time.Duration {
	l.Local.Add(Work{Sent: 1})
	return l.Limit.Reserve(clock.Nanos(now))
}

// TryReserve reserves a request that must not wait, and reports whether the limit allows it.
func (l *Load) TryReserve(now time.Time) bool {
	if !l.Limit.TryReserve(clock.Nanos(now)) {
		return false
	}
	l.Local.Add(Work{Sent: 1})
	return true
}

// maxLeft bounds the remembered lifetimes. A service of 11,000 targets that are all
// replaced within a day loses no declaration within the time that a target takes to leave.
const maxLeft = 4096

// lifetimeSet is a set of lifetimes that forgets the oldest ones beyond maxLeft. The zero
// value is empty. It is not safe for concurrent use.
type lifetimeSet struct {
	members map[Lifetime]struct{}
	order   []Lifetime // oldest first
}

func (s *lifetimeSet) contains(l Lifetime) bool {
	_, ok := s.members[l]
	return ok
}

// add adds a lifetime and reports whether it was not in the set.
func (s *lifetimeSet) add(l Lifetime) bool {
	if s.contains(l) {
		return false
	}
	if s.members == nil {
		s.members = map[Lifetime]struct{}{}
	}
	if len(s.order) >= maxLeft {
		delete(s.members, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
	s.members[l] = struct{}{}
	s.order = append(s.order, l)
	return true
}
