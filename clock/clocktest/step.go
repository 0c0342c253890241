// Package clocktest creates clock readings for tests.
package clocktest

import (
	"time"
	"unsafe"

	"github.com/lentilpick/lentilpick/clock"
)

// secondsShift is the bit position of the seconds in the first word of a time.Time that
// contains a monotonic clock reading.
const secondsShift = 30

// Step returns t as read on a machine whose time of day was set forward by d, or back if d is
// negative. It only applies the whole seconds of d. The monotonic clock reading of t does not
// change; Step panics if there is none.
func Step(t time.Time, d time.Duration) time.Time {
	if t.Round(0) == t {
		panic("clocktest: Step requires a time with a monotonic clock reading")
	}
	out := t
	// The first word of a time.Time contains its wall clock reading.
	*(*uint64)(unsafe.Pointer(&out)) += uint64(int64(d/time.Second)) << secondsShift
	return out
}

// Virtual returns the current time of a testing/synctest bubble as an Instant.
func Virtual() clock.Instant { return clock.Instant(time.Now().UnixNano()) }
