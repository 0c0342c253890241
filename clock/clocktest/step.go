// Package clocktest makes clock readings for tests.
package clocktest

import (
	"time"
	"unsafe"

	"github.com/lentilpick/lentilpick/clock"
)

// secondsShift is the position of the seconds in the first word of a time.Time
// that has a reading of the monotonic clock.
const secondsShift = 30

// Step returns t as it reads on a machine whose time of day was set forward by
// d, in whole seconds, back if d is negative. The reading of the monotonic clock
// stays. It panics if t has none.
func Step(t time.Time, d time.Duration) time.Time {
	if t.Round(0) == t {
		panic("clocktest: the time has no reading of the monotonic clock")
	}
	out := t
	// The first word of a time.Time holds its wall clock.
	*(*uint64)(unsafe.Pointer(&out)) += uint64(int64(d/time.Second)) << secondsShift
	return out
}

// Virtual returns an Instant that follows the time of a testing/synctest bubble.
func Virtual() clock.Instant { return clock.Instant(time.Now().UnixNano()) }
