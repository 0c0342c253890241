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

// Guards against a request that uses an old snapshot and sends to a target that has
// been removed since.
func TestRemovedTargetIsLeaving(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	old := d.Load().Target("a")
	d.Remove("a", start, 0)
	assert.Assert(t, d.Load().Target("a") == nil)
	assert.Assert(t, old.Leaving())
}

// Guards against removing a target because its registration lapsed during an outage of
// the store, and against retaining a target that does not register again.
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

// Guards against a second removal that extends the grace period.
func TestGracePeriodIsNotExtended(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	d.Remove("a", start, time.Second)
	d.Replace(nil, nil, start.Add(900*time.Millisecond), time.Second)
	d.Expire(start.Add(time.Second))
	assert.Equal(t, d.Load().Len(), 0)
}

// Guards against retaining the load and the cache of a target that has restarted under
// the same ID.
func TestRestartResetsLoad(t *testing.T) {
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

// Guards against keeping targets that are missing from a complete list, and against
// reporting an unchanged entry as a change.
func TestReplace(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	d.Put(entry("b"))
	changes := d.Replace([]Entry{entry("b"), entry("c")}, nil, start, 0)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, d.Load().Target("a") == nil)
	assert.Assert(t, d.Load().Target("c") != nil)
	assert.Equal(t, len(d.Put(entry("c"))), 0)
}

// Guards against new work for a target that is paused after failures, and against a
// pause after a single failure.
func TestPauseAfterFailures(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	a := d.Load().Target("a")
	a.Load.RecordFailure(start)
	assert.Assert(t, a.Usable(start))
	a.Load.RecordFailure(start)
	assert.Assert(t, !a.Usable(start))
	assert.Assert(t, a.Usable(start.Add(maxBackoff)))
	for range 40 {
		a.Load.RecordFailure(start)
	}
	assert.Assert(t, a.Usable(start.Add(maxBackoff)), "the pause exceeds maxBackoff")
	a.Load.RecordSuccess()
	a.Load.RetryAfter.Store(0)
	a.Load.RecordFailure(start)
	assert.Assert(t, a.Usable(start))
}

// Guards against new work for a target that is unresponsive without closing its
// connections, and against treating an idle target as unresponsive.
func TestCheckActivity(t *testing.T) {
	l := NewLoad()
	limit, pause := 600*time.Millisecond, time.Second
	assert.Assert(t, !l.CheckActivity(start.Add(time.Hour), limit, pause), "idle target is unresponsive")
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

// Guards against sending requests to an engine that is changing its role. Its streams
// continue, but it refuses new requests until its registration has the new role.
func TestSuspensionDuringRoleChange(t *testing.T) {
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

// Guards against counting a part as cached after an earlier part was evicted, and
// against counting parts once the capacity of the cache has been inserted after them.
func TestCachedTokens(t *testing.T) {
	l := NewLoad()
	parts := []Part{{Key: 1, Tokens: 100}, {Key: 2, Tokens: 50}}
	assert.Equal(t, l.CachedTokens(parts, 1000), 0)
	l.RecordPrefill(parts, 150)
	assert.Equal(t, l.CachedTokens(parts, 1000), 150)
	l.RecordPrefill([]Part{{Key: 3, Tokens: 900}}, 900)
	l.RecordPrefill(parts[1:], 0)
	assert.Equal(t, l.CachedTokens(parts, 1000), 150)
	l.Peers.Add(Work{KVInserted: 100})
	assert.Equal(t, l.CachedTokens(parts, 1000), 0, "the first part is evicted, so the second one cannot be used")
	assert.Equal(t, l.CachedTokens(parts[1:], 1000), 50)
}

// Guards against a full table that evicts newer parts before the oldest one.
func TestPrefixTableEvictsTheOldest(t *testing.T) {
	var p PrefixTable
	for i := range int64(prefixWays + 1) {
		p.Touch(uint64(i+1)*prefixBuckets, i+1)
	}
	assert.Equal(t, p.LastUse(prefixBuckets), int64(0))
	assert.Equal(t, p.LastUse((prefixWays+1)*prefixBuckets), int64(prefixWays+1))
}

// Guards against targets that stay paused, or count as unresponsive, because the wall
// clock was set.
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
		assert.Assert(t, a.Usable(at(maxBackoff)))
	}
}

// Guards against a known target that is removed, or replaced, by an unusable registration of another writer.
func TestUnusableRegistrationRemovesNothing(t *testing.T) {
	d := New()
	d.Put(entry("a"))
	d.Put(entry("b"))
	assert.Equal(t, len(d.Replace(nil, []types.TargetID{"a"}, start, 0)), 1)
	assert.Assert(t, d.Load().Target("a") != nil && d.Load().Target("b") == nil)
}

// Guards against requests to a target that has left, because the store has returned from a copy in which it
// is ready: while it drains, and after its removal.
func TestOlderRegistrationsAreIgnored(t *testing.T) {
	d := New()
	written := func(sequence int64, draining bool) Entry {
		e := entry("a")
		e.Sequence, e.Draining = sequence, draining
		return e
	}
	leaving := func() bool { a := d.Load().Target("a"); return a == nil || a.Leaving() }
	d.Put(written(5, false))
	d.Put(written(7, true))
	d.Replace([]Entry{written(5, false)}, nil, start, 0)
	assert.Assert(t, d.Load().Target("a") != nil && leaving())
	d.Put(written(8, false))
	assert.Assert(t, !leaving(), "written again by the target itself")
	d.Remove("a", start, 0)
	for _, sequence := range []int64{5, 8} {
		d.Replace([]Entry{written(sequence, false)}, nil, start, 0)
		assert.Assert(t, leaving(), "removed, then listed with sequence %d", sequence)
	}
	d.Put(written(9, false))
	assert.Assert(t, !leaving(), "registered again")
	d.Remove("a", start, 0)
	restarted := written(1, false)
	restarted.StartedAt = 2
	d.Put(restarted)
	assert.Assert(t, !leaving())
	d.Put(written(0, true))
	assert.Assert(t, leaving(), "no sequence is stated")
}
