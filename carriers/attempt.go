package carriers

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// minAvoidance is how long a candidate is avoided after a first failure, and maxAvoidance the
	// bound up to which the time doubles with each further one. A node that is stopping or has lost
	// its targets tells so within some 30 ms; these bound the requests that find out by themselves.
	minAvoidance = 200 * time.Millisecond
	maxAvoidance = 2 * time.Second
)

// Result is what an attempt tells about its carrier.
type Result int

// Results of attempts.
const (
	// Carried means that the carrier has accepted the request, whatever its response was.
	Carried Result = iota
	// Refused means that the carrier has not accepted the request: it is full or stopping, or has
	// lost its targets.
	Refused
	// Unreachable means that the connection to the carrier failed.
	Unreachable
	// Abandoned means that the attempt ended before it could tell, for example because the caller
	// has left.
	Abandoned
)

var resultNames = [...]string{"carried", "refused", "unreachable", "abandoned"}

func (r Result) String() string { return resultNames[r] }

// state is what this node knows about a candidate by itself.
type state struct {
	inFlight  atomic.Int64
	suspicion atomic.Pointer[suspicion] // nil if the last attempt did not fail
}

// suspicion is the immutable record of the last failures. Attempts remember which one they began
// with, so that several that fail together count once and the end of an earlier one proves nothing.
type suspicion struct {
	failures int
	// until is the time before which the candidate gets no request.
	until clock.Instant
}

func newSuspicion(failures int, now clock.Instant) *suspicion {
	avoidance := maxAvoidance
	if doublings := failures - 1; doublings < 8 {
		avoidance = min(minAvoidance<<doublings, maxAvoidance)
	}
	return &suspicion{failures, now.Add(avoidance)}
}

func (s *state) avoided(now clock.Instant) bool {
	p := s.suspicion.Load()
	return p != nil && now < p.until
}

// Attempt is one attempt to pass a request to a carrier. It is a value for the goroutine that has
// begun it.
type Attempt struct {
	state     *state
	suspicion *suspicion
}

// Begin counts a request as in flight at a candidate until the attempt ends. It returns false if the
// candidate got full, avoided or unlisted since Pick. After the time for which a candidate was
// avoided, one request at a time tries it.
func (c *Chooser) Begin(name types.VMID, now clock.Instant) (Attempt, bool) {
	n := c.view.Load().byName[name]
	if n == nil {
		return Attempt{}, false
	}
	seen := n.suspicion.Load()
	if seen != nil && now < seen.until {
		return Attempt{}, false
	}
	if n.inFlight.Add(1) > n.maxInFlight {
		n.inFlight.Add(-1)
		return Attempt{}, false
	}
	if seen != nil {
		probe := newSuspicion(seen.failures, now)
		if !n.suspicion.CompareAndSwap(seen, probe) {
			n.inFlight.Add(-1)
			return Attempt{}, false
		}
		seen = probe
	}
	return Attempt{n.state, seen}, true
}

// Accepted records that the carrier has accepted the request, before the attempt ends.
func (a Attempt) Accepted() {
	if a.suspicion != nil {
		a.state.suspicion.CompareAndSwap(a.suspicion, nil)
	}
}

// End ends the attempt. It must be called once.
func (a Attempt) End(r Result, now clock.Instant) {
	a.state.inFlight.Add(-1)
	switch r {
	case Carried:
		a.Accepted()
	case Refused, Unreachable:
		failures := 1
		if a.suspicion != nil {
			failures += a.suspicion.failures
		}
		a.state.suspicion.CompareAndSwap(a.suspicion, newSuspicion(failures, now))
	}
}
