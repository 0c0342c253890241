// Package ratelimit paces the requests of many daemons to one target that has declared how many
// requests a second it takes from all of them together. It answers one load: a target in need
// that names a limit while every daemon goes on to send what fits its own view.
//
// Each daemon has a Limiter per target. It charges the requests of this daemon when they are
// reserved and those of the others when they are told, so that all limiters agree on the next
// free time up to the delay of the messages. The package performs no I/O and takes all clock
// readings as arguments.
package ratelimit

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// burstTime is the time whose requests may be sent at once after a pause. A burst is at
	// least one request.
	burstTime = 500 * time.Millisecond
	// minRate is the rate at which a target with a lower limit gets requests, in requests per
	// second: its next response tells when the limit ends.
	minRate = 0.2
	// maxDebt bounds how far in the future the next free time may lie. A count of another
	// daemon may refer to an earlier lifetime of the target.
	maxDebt = 3 * time.Second
)

// Limiter is a virtual scheduling algorithm (GCRA, ITU-T I.371) whose theoretical arrival time
// is advanced by the requests of all daemons. The zero value has no limit. It is safe for
// concurrent use and takes no locks. Times are in nanoseconds of one steady clock.
type Limiter struct {
	// interval is the time between two requests in nanoseconds, 0 without a limit.
	interval atomic.Int64
	// next is the theoretical arrival time of the next request.
	next atomic.Int64
	// declaredAt is the time of the statement to which interval belongs.
	declaredAt atomic.Int64
}

// Declare sets the limit that the target has stated at the given time, in requests per second,
// or removes it if limited is false. Statements older than the last one are ignored; of two
// concurrent ones either may win, until the next response. It reports whether a limit began or
// ended.
func (l *Limiter) Declare(perSecond float64, limited bool, at int64) (toggled bool) {
	for {
		old := l.declaredAt.Load()
		if old > at {
			return false
		}
		if l.declaredAt.CompareAndSwap(old, at) {
			break
		}
	}
	interval := int64(0)
	if limited {
		interval = max(int64(float64(time.Second)/max(perSecond, minRate)), 1)
	}
	return (l.interval.Swap(interval) != 0) != limited
}

// Limited reports whether the target has declared a limit.
func (l *Limiter) Limited() bool { return l.interval.Load() != 0 }

// Interval returns the time between two requests by the limit, 0 without one.
func (l *Limiter) Interval() time.Duration { return time.Duration(l.interval.Load()) }

// Rate returns the limit in requests per second, 0 without one, and the time at which the
// target has stated it.
func (l *Limiter) Rate() (perSecond float64, at int64) {
	if i := l.interval.Load(); i != 0 {
		perSecond = float64(time.Second) / float64(i)
	}
	return perSecond, l.declaredAt.Load()
}

// tolerance returns how far before its theoretical time a request may be sent.
func tolerance(interval int64) int64 { return max(int64(burstTime)-interval, 0) }

// Delay returns how long a request would have to wait that is reserved now.
func (l *Limiter) Delay(now int64) time.Duration {
	interval := l.interval.Load()
	if interval == 0 {
		return 0
	}
	return time.Duration(max(l.next.Load()-tolerance(interval)-now, 0))
}

// Reserve charges one request of this daemon and returns how long it has to wait.
func (l *Limiter) Reserve(now int64) time.Duration {
	interval := l.interval.Load()
	if interval == 0 {
		return 0
	}
	for {
		next := l.next.Load()
		if l.next.CompareAndSwap(next, max(next, now)+interval) {
			return time.Duration(max(next-tolerance(interval)-now, 0))
		}
	}
}

// TryReserve charges one request of this daemon if it does not have to wait, and reports
// whether it did.
func (l *Limiter) TryReserve(now int64) bool {
	interval := l.interval.Load()
	if interval == 0 {
		return true
	}
	for {
		next := l.next.Load()
		if next-tolerance(interval) > now {
			return false
		}
		if l.next.CompareAndSwap(next, max(next, now)+interval) {
			return true
		}
	}
}

// Charge charges requests that other daemons have reserved.
func (l *Limiter) Charge(requests, now int64) {
	interval := l.interval.Load()
	if interval == 0 || requests <= 0 {
		return
	}
	requests = min(requests, math.MaxInt64/4/interval)
	for {
		next := l.next.Load()
		// Debt of this daemon's own reservations is kept.
		charged := max(next, min(max(next, now)+requests*interval, now+int64(maxDebt)))
		if l.next.CompareAndSwap(next, charged) {
			return
		}
	}
}
