package gateway

import (
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// reservedTime is a time reserved for a request to a target under its declared limit.
type reservedTime struct {
	target *directory.Target // nil if none is reserved
	at     time.Time
}

// maxRateDelay bounds the wait for a target that has declared a limit, unless the target takes
// requests at longer intervals. It is the same for all routes: while a limit is exceeded, the
// waits grow up to the longest one that is allowed, and routes with a shorter bound would never
// be served.
const maxRateDelay = 300 * time.Millisecond

// rateDelayLimit returns how long a request may wait for a target before any has worked on it.
func rateDelayLimit(t *directory.Target) time.Duration {
	return max(maxRateDelay, t.Load.Limit.Interval())
}

// maxPacing returns how long the request may wait until a target takes it by its limit. Once
// a target has worked on the request, only its caller's patience bounds the wait.
func (x *exchange) maxPacing(t *directory.Target) time.Duration {
	elapsed := x.now().Sub(x.r.Arrived)
	switch {
	case x.attempts+x.prefills == 0:
		return min(rateDelayLimit(t), x.route.Objective-elapsed)
	case x.route.Kind != routes.KindStream:
		return time.Duration(maxWaitShare * float64(x.deadline.Sub(x.now())))
	case x.begun():
		return time.Duration(maxWaitShare * float64(x.eventWaitLimit()))
	}
	return time.Duration(maxWaitShare*float64(x.eventWaitLimit())) - elapsed
}

// awaitLimit reserves a request to the target under its declared limit, unless a time is
// reserved, and waits for it. It returns an outcome if the wait would be too long, or the context
// ends before.
func (x *exchange) awaitLimit(t *directory.Target) types.Outcome {
	if x.reserved.target != t {
		if delay := t.Load.Limit.Delay(clock.Nanos(x.now())); delay > max(x.maxPacing(t), 0) {
			return x.refuse(types.RefusedRateLimited, max(delay, minRetryAfter))
		}
		x.reserveTime(t)
	}
	wait := x.reserved.at.Sub(x.now())
	x.reserved = reservedTime{}
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.ctx.Done():
		return x.contextOutcome()
	}
}

// reserveTime reserves a time for a request to the target. The other daemons are told before
// the request is sent if the target has a limit, and with the work that begins then otherwise.
func (x *exchange) reserveTime(t *directory.Target) {
	now := x.now()
	x.reserved = reservedTime{t, now.Add(t.Load.Reserve(now))}
	if t.Load.Limit.Limited() {
		x.g.publisher.NotifyLoadChange(t)
	}
}

// awaitLimit is that of exchange. The prompt may have been blocked during the wait.
func (s *stream) awaitLimit(t *directory.Target) error {
	if o := s.exchange.awaitLimit(t); o != nil {
		return &outcomeError{o}
	}
	return s.checkCrashes()
}

// checkLimits refuses a request that the limits of the engines for its prefill and its decode
// allow too late. It returns the engine for the decode if one of those that may decode has
// declared a limit, and nil otherwise: then the choice is better made after the prefill.
func (s *stream) checkLimits(prefill placement.Choice) (*directory.Target, error) {
	var decode placement.Choice
	q, f := s.placementRequest(), decodesFrom(prefill.Target)
	if placement.AnyLimited(s.candidates(q, f), q, f) {
		decode = s.pickDecode(prefill.Target)
	}
	delay := max(prefill.RateDelay, decode.RateDelay)
	if delay == 0 {
		return decode.Target, nil
	}
	// Waits beyond the objective would make all responses late and let no more requests through.
	first := s.now().Sub(s.r.Arrived) + max(prefill.RateDelay+prefill.Predicted(), decode.RateDelay)
	if first > s.route.Objective || prefill.RateDelay > rateDelayLimit(prefill.Target) ||
		decode.Target != nil && decode.RateDelay > rateDelayLimit(decode.Target) {
		return nil, &outcomeError{s.refuse(types.RefusedRateLimited, max(delay, minRetryAfter))}
	}
	return decode.Target, nil
}
