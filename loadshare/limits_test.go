package loadshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

// Guards against a limit that only the daemon knows that was told, that others keep when it has
// ended, or that is applied to a later lifetime of the target.
func TestLimitsAreExchanged(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	at := clock.Nanos(time.Now())
	a.Load.Limit.Declare(6.5, true, at)
	s.NotifyLimit(a)
	s.messages(false) // lost
	deliver(t, s, r, true, now)
	rate, _ := b.Load.Limit.Rate()
	assert.Assert(t, rate > 6.49 && rate < 6.51, "%v", rate)
	a.Load.Limit.Declare(0, false, at+1)
	s.NotifyLimit(a)
	deliver(t, s, r, false, now.Add(time.Second))
	assert.Assert(t, !b.Load.Limit.Limited())
	r.directory.Put(directory.Entry{ID: "a", Service: "s", StartedAt: 2})
	restarted := r.directory.Load().Target("a")
	a.Load.Limit.Declare(6.5, true, at+2)
	s.NotifyLimit(a)
	deliver(t, s, r, false, now.Add(2*time.Second))
	assert.Assert(t, !restarted.Load.Limit.Limited())
}

// Guards against requests of other daemons that do not count against a limit, that count again
// with each message, and against totals of long ago that do.
func TestRequestsOfPeersAreCharged(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	change(s, a, directory.Work{Sent: 5000})
	b.Load.Limit.Declare(1, true, 1)
	delay := func() time.Duration { return b.Load.Limit.Delay(clock.Nanos(now)) }
	deliver(t, s, r, false, now)
	assert.Equal(t, delay(), time.Second, "one request of a daemon that was not known")
	change(s, a, directory.Work{Sent: 1})
	deliver(t, s, r, false, now)
	deliver(t, s, r, true, now)
	assert.Equal(t, delay(), 2*time.Second)
}
