package loadshare

import (
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

const (
	// driftShare is by how much the clocks of two machines may drift apart: 500
	// parts per million each, the limit to which NTP slews.
	driftShare = 1000e-6
	// forgetTransit is the time without a message after which nothing is known of
	// the way from a daemon.
	forgetTransit = time.Minute
)

// transit tells how much longer than the fastest ones the messages of one run of
// another daemon were on their way. A message may lie with its sender while that
// is frozen, in the queue of a link, or here while this daemon is frozen. The
// clocks of two machines have different origins, so that the time on the way
// cannot be told, but what it varies by can.
type transit struct {
	start    uint64        // identifies the run
	shortest time.Duration // least difference of the clocks at receiving and at sending
	heard    clock.Instant
}

// held returns by how much longer than the fastest message of its sender's run m
// was on its way. ok is false for the first one, which nothing can be said of.
// The lock is held.
func (s *Exchanger) held(m *message, received clock.Instant) (d time.Duration, ok bool) {
	d = received.Sub(m.sent)
	t := s.transits[m.sender]
	if t == nil || t.start != m.start {
		s.transits[m.sender] = &transit{m.start, d, received}
		return 0, false
	}
	drift := time.Duration(driftShare * float64(max(received.Sub(t.heard), 0)))
	t.shortest, t.heard = min(t.shortest+drift, d), max(t.heard, received)
	return d - t.shortest, true
}

// forgetTransits forgets the daemons that were not heard for long. The lock is
// held.
func (s *Exchanger) forgetTransits(now clock.Instant) {
	for id, t := range s.transits {
		if now.Sub(t.heard) > forgetTransit {
			delete(s.transits, id)
		}
	}
}
