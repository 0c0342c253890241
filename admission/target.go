package admission

import (
	"sync/atomic"
	"time"
)

// LimitUnit is the value of an adaptive limit for one request.
const LimitUnit = 1000

const (
	// minLimit keeps a few requests on a slow target, so that its recovery is seen.
	minLimit = 2 * LimitUnit
	// lateFactor and lateSlack say when a first token counts as late: at twice the
	// predicted time. The slack covers one batch iteration with a prefill chunk,
	// by which short predictions are always wrong.
	lateFactor = 2
	lateSlack  = 50 * time.Millisecond
	// decreaseDivisor takes about a quarter of the limit when all first tokens of
	// one round of requests are late.
	decreaseDivisor = 4
	// headroom bounds the limit, once first tokens are late, to a multiple of what
	// is in use: a higher limit would not bind for many rounds, a lower one would
	// refuse a sudden growth of demand.
	headroom = 4
)

// Observe adapts the concurrency limit of a target to the time of a first token
// against its prediction, by additive increase and multiplicative decrease
// (Chiu and Jain 1989). limit is in 1/LimitUnit requests, 0 for none yet; most
// is the largest limit in requests. inFlight is the number of requests on the
// target when the token arrived. Errors of concurrent calls are within one step.
func AdaptLimit(limit *atomic.Int64, inFlight, most int64, observed, predicted time.Duration) {
	old := limit.Load()
	current := old
	if current == 0 {
		current = most * LimitUnit
	}
	next := current
	switch {
	case observed > lateFactor*predicted+lateSlack:
		n := max(inFlight, 1)
		next = min(current, (headroom*n+headroom)*LimitUnit)
		next -= next / (decreaseDivisor * n)
	case 2*inFlight*LimitUnit >= current:
		// About one more request for each round of requests.
		next = current + LimitUnit*LimitUnit/max(current, LimitUnit)
	}
	next = min(max(next, minLimit), most*LimitUnit)
	if next != old && (old != 0 || next != most*LimitUnit) {
		limit.CompareAndSwap(old, next)
	}
}
