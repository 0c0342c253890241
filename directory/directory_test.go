package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/types"
)

var start = time.Unix(1000, 0)

func entry(id string) Entry {
	return Entry{ID: types.TargetID(id), Service: "s", Address: "10.0.0.1:80", DataCentre: "dc1", StartedAt: 1}
}

// Guards against a request that holds an old snapshot and sends to a target
// that has been removed since.
func TestRemovedTargetIsLeaving(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	old := d.Load().Target("a")
	d.Remove("a", start, 0)
	assert.Assert(t, d.Load().Target("a") == nil)
	assert.Assert(t, old.Leaving())
}

// Guards against a target that is dropped because its registration lapsed
// while the store was away, and against one that stays though it is gone.
func TestLapsedRegistration(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	d.Put(entry("b"))
	load := d.Load().Target("a").Load
	d.Remove("a", start, time.Second)
	d.Remove("b", start, time.Second)
	assert.Equal(t, d.Load().Len(), 2)
	d.Put(entry("a"))
	d.Expire(start.Add(999 * time.Millisecond))
	assert.Equal(t, d.Load().Len(), 2)
	changes := d.Expire(start.Add(time.Second))
	assert.DeepEqual(t, changes, []Change{{"b", "s", ChangeRemoved}})
	assert.Equal(t, d.Load().Len(), 1)
	assert.Assert(t, d.Load().Target("a").Load == load)
}

// Guards against a second removal that extends the grace period of the first.
func TestGraceIsNotExtended(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	d.Remove("a", start, time.Second)
	d.Replace(nil, start.Add(900*time.Millisecond), time.Second)
	d.Expire(start.Add(time.Second))
	assert.Equal(t, d.Load().Len(), 0)
}

// Guards against the load and the cache of a target that has started again
// under its old name.
func TestRestartedTargetIsNew(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	old := d.Load().Target("a").Load
	old.Local.Add(Work{Requests: 3})
	old.Leaving.Store(true)
	e := entry("a")
	e.StartedAt = 2
	d.Put(e)
	assert.Assert(t, d.Load().Target("a").Load != old)
	assert.Assert(t, !d.Load().Target("a").Leaving())
	e.Role = types.RolePrefill
	changes := d.Put(e)
	assert.DeepEqual(t, changes, []Change{{"a", "s", ChangeRole}})
}

// Guards against a list that leaves targets out without removing them, and
// against a repeated entry that counts as a change.
func TestReplace(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	d.Put(entry("b"))
	changes := d.Replace([]Entry{entry("b"), entry("c")}, start, 0)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, d.Load().Target("a") == nil)
	assert.Assert(t, d.Load().Target("c") != nil)
	assert.Equal(t, len(d.Put(entry("c"))), 0)
}

// Guards against a target that gets work in its pause after failures, and
// against a pause after a single failure.
func TestPauseAfterFailures(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	a := d.Load().Target("a")
	a.Load.RecordFailure(start)
	assert.Assert(t, a.Usable(start))
	a.Load.RecordFailure(start)
	assert.Assert(t, !a.Usable(start))
	assert.Assert(t, a.Usable(start.Add(maxBackOff)))
	for range 40 {
		a.Load.RecordFailure(start)
	}
	assert.Assert(t, a.Usable(start.Add(maxBackOff)), "the pause has a bound")
	a.Load.RecordSuccess()
	a.Load.RetryAfter.Store(0)
	a.Load.RecordFailure(start)
	assert.Assert(t, a.Usable(start))
}

// Guards against new work for a target that has gone dark without closing its
// connections, and against an idle target that counts as silent.
func TestWatch(t *testing.T) {
	l := NewLoad()
	limit, pause := 600*time.Millisecond, time.Second
	assert.Assert(t, !l.CheckActivity(start.Add(time.Hour), limit, pause), "nothing is in progress")
	l.BeginWork(Work{Requests: 1}, start)
	assert.Assert(t, !l.CheckActivity(start.Add(limit), limit, pause))
	l.RecordActivity(start.Add(limit))
	assert.Assert(t, !l.CheckActivity(start.Add(2*limit), limit, pause))
	at := start.Add(3 * limit)
	assert.Assert(t, l.CheckActivity(at, limit, pause))
	assert.Equal(t, l.RetryAfter.Load(), at.Add(pause).UnixNano())
	l.RecordActivity(at)
	assert.Assert(t, !l.Suspected())
	assert.Equal(t, l.RetryAfter.Load(), int64(0))
}

// Guards against requests for an engine that changes its role: its streams go on,
// but it refuses new ones until its registration shows the new role.
func TestAway(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	a := d.Load().Target("a")
	a.Load.SuspendUntil(start.Add(5 * time.Second))
	a.Load.RecordActivity(start.Add(time.Second))
	assert.Assert(t, a.Load.Suspected() && !a.Usable(start.Add(time.Second)))
	assert.Assert(t, a.Load.CheckActivity(start.Add(4*time.Second), time.Second, time.Second))
	e := entry("a")
	e.Role = types.RolePrefill
	d.Put(e)
	assert.Assert(t, !a.Load.Suspected())
	assert.Assert(t, d.Load().Target("a").Usable(start.Add(4*time.Second)))
}

// Guards against a part that counts as cached after an earlier one was evicted,
// and against parts that count after as many tokens as the cache holds.
func TestHeldParts(t *testing.T) {
	l := NewLoad()
	parts := []Part{{1, 100}, {2, 50}}
	assert.Equal(t, l.CachedTokens(parts, 1000), 0)
	l.RecordPrefill(parts, 150)
	assert.Equal(t, l.CachedTokens(parts, 1000), 150)
	l.RecordPrefill([]Part{{3, 900}}, 900)
	l.RecordPrefill(parts[1:], 0)
	assert.Equal(t, l.CachedTokens(parts, 1000), 150)
	l.Peers.Add(Work{KVInserted: 100})
	assert.Equal(t, l.CachedTokens(parts, 1000), 0, "the first part is evicted, the second one is of no use")
	assert.Equal(t, l.CachedTokens(parts[1:], 1000), 50)
}

// Guards against a table that grows or loses the newest parts when it is full.
func TestPrefixTableEvictsTheOldest(t *testing.T) {
	var p PrefixTable
	for i := range int64(prefixWays + 1) {
		p.use(uint64(i+1)*prefixBuckets, i+1)
	}
	assert.Equal(t, p.used(prefixBuckets), int64(0))
	assert.Equal(t, p.used((prefixWays+1)*prefixBuckets), int64(prefixWays+1))
}

// Guards against targets that stay out of use, or count as silent, because the
// time of day was set.
func TestClockStepsDoNotPauseTargets(t *testing.T) {
	now := time.Now()
	for _, step := range []time.Duration{-6 * time.Second, 8 * time.Second} {
		at := func(d time.Duration) time.Time { return clocktest.Step(now.Add(d), step) }
		d := New()
		d.Put(Entry{ID: "a", Service: "s"})
		a := d.Load().Target("a")
		a.Load.BeginWork(Work{Requests: 1}, now)
		assert.Assert(t, !a.Load.CheckActivity(at(10*time.Millisecond), time.Second, time.Second), "step %s", step)
		assert.Assert(t, a.Load.CheckActivity(at(2*time.Second), time.Second, time.Second))
		assert.Assert(t, !a.Usable(at(2*time.Second)))
		assert.Assert(t, a.Usable(at(3*time.Second)))
		a.Load.SuspendUntil(now.Add(5 * time.Second))
		a.Load.RecordActivity(at(4 * time.Second))
		assert.Assert(t, a.Load.Suspected())
		a.Load.RecordActivity(at(5 * time.Second))
		assert.Assert(t, !a.Load.Suspected())
		a.Load.SetConnectedUntil(now.Add(time.Second))
		assert.Assert(t, a.Load.Connected(at(500*time.Millisecond)))
		assert.Assert(t, !a.Load.Connected(at(time.Second)))
		a.Load.RecordFailure(now)
		a.Load.RecordFailure(now)
		assert.Assert(t, !a.Usable(at(0)))
		assert.Assert(t, a.Usable(at(maxBackOff)))
	}
}
