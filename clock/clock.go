// Package clock reads clocks that are not adjusted. The time of day may be set forward or back
// by seconds, so ages, pauses and time limits must not depend on it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the boot of the machine, in nanoseconds. It includes the time for
// which the machine was suspended, unlike the monotonic clock of the Go runtime. Instants of
// two machines cannot be compared.
type Instant int64

// Now returns the current Instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux supports this clock since 2.6.39. Without it no age can be measured.
		panic("clock: reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i - j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// start is the reference time of Nanos. It contains a monotonic clock reading.
var start = time.Now()

// Nanos returns t in nanoseconds, for example to store it in an atomic variable. If two times
// contain monotonic clock readings, their results differ by the monotonic time between them,
// unlike those of UnixNano.
func Nanos(t time.Time) int64 { return start.UnixNano() + int64(t.Sub(start)) }
