package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a scenario of changes that passes whatever happens: each broken promise of the
// rules CONFIG and DENIED must be detected, and each case that they leave out must be accepted.
func TestChangesOracle(t *testing.T) {
	const margin = 500 * time.Millisecond
	for name, c := range map[string]struct {
		status         int
		age, disturbed time.Duration
		want           changeVerdict
	}{
		"served":                          {200, 20 * time.Second, 0, changeServed},
		"refused for another reason":      {503, 20 * time.Second, 0, changeServed},
		"within the bound":                {404, 2500 * time.Millisecond, 0, changeExcused},
		"later than the bound":            {404, 2501 * time.Millisecond, 0, changeLate},
		"late, beside a fault":            {404, 10 * time.Second, 8 * time.Second, changeExcused},
		"had it before, recently":         {404, 10 * time.Second, time.Second, changeExcused},
		"had it before the fault":         {404, 10501 * time.Millisecond, 8 * time.Second, changeDenied},
		"accepted during the faults":      {404, 20 * time.Second, 20 * time.Second, changeExcused},
		"accepted shortly before them":    {404, 20 * time.Second, 17500 * time.Millisecond, changeExcused},
		"in all configurations, no fault": {404, 10501 * time.Millisecond, 0, changeDenied},
	} {
		assert.Equal(t, classifyChange(c.status, c.age, c.disturbed, margin), c.want, name)
	}
}

// Guards against a node that counts as one without a fault during a fault or shortly after it, and
// against one that is excused for a time before its faults.
func TestDisturbanceOfNode(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	n := &changesNode{}
	assert.Equal(t, n.disturbedFor(at(0)), time.Duration(0))
	assert.Assert(t, n.faultBegins(at(1)))
	assert.Assert(t, !n.faultBegins(at(2)), "a node has one fault at a time")
	assert.Equal(t, n.disturbedFor(at(3)), 2*time.Second)
	n.faultEnds(at(4))
	assert.Equal(t, n.disturbedFor(at(9)), 8*time.Second)
	assert.Equal(t, n.disturbedFor(at(10)), time.Duration(0))
	assert.Assert(t, n.faultBegins(at(9)), "the second fault within the window")
	assert.Equal(t, n.disturbedFor(at(11)), 10*time.Second)
	n.faultEnds(at(12))
	assert.Assert(t, n.faultBegins(at(18)))
	assert.Equal(t, n.disturbedFor(at(20)), 2*time.Second)
}
