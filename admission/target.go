package admission

import (
	"sync/atomic"
	"time"
)

// LimitUnit is the value of a concurrency limit that stands for one request.
const LimitUnit = 1000

const (
	// minTargetLimit allows a few requests on a slow target, so that its recovery is
	// detected.
	minTargetLimit = 2 * LimitUnit
	// A first token is late if it takes longer than lateFactor times the predicted
	// time plus lateSlack. The slack covers one batch iteration with a prefill chunk,
	// which is the inherent error of short predictions.
	lateFactor = 2
	lateSlack  = 50 * time.Millisecond
	// decreaseDivisor reduces the limit by about a quarter when the first tokens of
	// all requests in progress are late.
	decreaseDivisor = 4
	// headroom caps the limit, when a first token is late, at a multiple of the
	// requests in progress. A higher limit would have no effect for many rounds of
	// requests, a lower one would refuse requests when demand grows suddenly.
	headroom = 4
)

// AdaptLimit adapts the concurrency limit of a target by additive increase and
// multiplicative decrease (Chiu and Jain 1989), depending on the observed and the
// predicted time to first token of a request. limit is in units of 1/LimitUnit
// requests, 0 if there is none yet. maxRequests is the highest limit, in requests.
// inFlight is the number of requests on the target when the token arrived. The
// error caused by concurrent calls is within one step.
func AdaptLimit(limit *atomic.Int64, inFlight, maxRequests int64, observed, predicted time.Duration) {
	old := limit.Load()
	current := old
	if current == 0 {
		current = maxRequests * LimitUnit
	}
	next := current
	switch {
	case observed > lateFactor*predicted+lateSlack:
		n := max(inFlight, 1)
		next = min(current, (headroom*n+headroom)*LimitUnit)
		next -= next / (decreaseDivisor * n)
	case 2*inFlight*LimitUnit >= current:
		// Adds about one request per round, that is, per as many first tokens as the
		// limit allows requests.
		next = current + LimitUnit*LimitUnit/max(current, LimitUnit)
	}
	next = min(max(next, minTargetLimit), maxRequests*LimitUnit)
	if next != old && (old != 0 || next != maxRequests*LimitUnit) {
		limit.CompareAndSwap(old, next)
	}
}
