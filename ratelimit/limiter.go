// Package ratelimit holds the limits of requests a second that targets declare. It performs no
// I/O and takes all clock readings as arguments.
package ratelimit

import (
	"sync/atomic"
	"time"
)

// minRate is the rate that stands for a lower limit, in requests per second: the responses to
// these requests tell when the limit ends.
const minRate = 0.2

// Limiter holds the limit of one target. The zero value has none. It is safe for concurrent use
// and takes no locks. Times are in nanoseconds of one steady clock.
type Limiter struct {
	// interval is the time between two requests in nanoseconds, 0 without a limit.
	interval atomic.Int64
	// declaredAt is the time of the statement to which interval belongs.
	declaredAt atomic.Int64
}

// Declare sets the limit that the target has stated at the given time, in requests per second,
// or removes it if limited is false. Statements older than the last one are ignored. It reports
// whether a limit began or ended.
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

// Rate returns the limit in requests per second, 0 without one, and the time at which the
// target has stated it.
func (l *Limiter) Rate() (perSecond float64, at int64) {
	if i := l.interval.Load(); i != 0 {
		perSecond = float64(time.Second) / float64(i)
	}
	return perSecond, l.declaredAt.Load()
}
