package loadshare

import (
	"time"

	"github.com/lentilpick/lentilpick/clock"
)

const (
	// maxClockDrift is the rate at which the clocks of two machines may drift apart: 500
	// parts per million each, the limit of NTP slewing.
	maxClockDrift = 1000e-6
	// transitExpiry is the time without a message after which the measurements for a daemon
	// are discarded.
	transitExpiry = time.Minute
)

// transit measures how much longer the messages of one run of another daemon take than the
// fastest one. A message may be delayed while its sender or this daemon is frozen, or in the
// queue of a link. The clocks of two machines have different origins, so the absolute transit
// time cannot be measured, but its variation can.
type transit struct {
	start uint64 // identifies the run
	// minOffset is the least difference between the local clock at receipt and the sender's
	// clock at sending.
	minOffset    time.Duration
	lastReceived clock.Instant
}

// transitDelay returns how much longer the transit of m took than that of the fastest message
// of the sender's run. ok is false for the first message of a run, as there is nothing to
// compare it with. The caller holds e.mu.
func (e *Exchanger) transitDelay(m *message, received clock.Instant) (d time.Duration, ok bool) {
	d = received.Sub(m.sent)
	t := e.transits[m.sender]
	if t == nil || t.start != m.start {
		e.transits[m.sender] = &transit{m.start, d, received}
		return 0, false
	}
	drift := time.Duration(maxClockDrift * float64(max(received.Sub(t.lastReceived), 0)))
	t.minOffset, t.lastReceived = min(t.minOffset+drift, d), max(t.lastReceived, received)
	return d - t.minOffset, true
}

// expireTransits discards the measurements for daemons from which no message has arrived
// within transitExpiry. The caller holds e.mu.
func (e *Exchanger) expireTransits(now clock.Instant) {
	for id, t := range e.transits {
		if now.Sub(t.lastReceived) > transitExpiry {
			delete(e.transits, id)
		}
	}
}
