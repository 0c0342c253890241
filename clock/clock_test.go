package clock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/clock/clocktest"
)

// Guards against stored times that change when the time of day is set.
func TestNanosIgnoreClockSteps(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Second)
	for _, step := range []time.Duration{0, 8 * time.Second, -6 * time.Second} {
		stepped := clocktest.Step(later, step)
		assert.Equal(t, stepped.UnixNano()-later.UnixNano(), int64(step))
		assert.Equal(t, clock.Nanos(stepped)-clock.Nanos(now), int64(time.Second))
	}
	fixed := time.Unix(1000, 7)
	assert.Equal(t, clock.Nanos(fixed), fixed.UnixNano())
}

// Guards against an Instant that decreases.
func TestInstantsDoNotDecrease(t *testing.T) {
	before := clock.Now()
	assert.Assert(t, clock.Now() >= before && before > 0)
	assert.Equal(t, before.Add(time.Second).Sub(before), time.Second)
}
