// Package clock reads the clocks that nobody sets. The time of day may jump by
// seconds in either direction, so no age, pause or bound may rest on it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the start of the machine, in nanoseconds, including
// the time for which the machine was suspended, which the monotonic clock of the
// runtime leaves out. Instants of two machines cannot be compared.
type Instant int64

// Now returns the current Instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has the clock since 2.6.39; no age can be told without it.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i - j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// start has a reading of the monotonic clock.
var start = time.Now()

// Nanos returns a time in nanoseconds for use in an atomic variable. Unlike the
// result of UnixNano, two of them differ by the time that has passed on the
// monotonic clock if both times have a reading of it.
func Nanos(t time.Time) int64 { return start.UnixNano() + int64(t.Sub(start)) }
