package loadshare

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// Guards against nodes that read a change from the store while its update is on its way, and
// against the nodes of a data centre that all read it within 10 ms of the same notification.
func TestWakeIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 39
		var all [nodes]*Progress
		for i := range all {
			all[i] = newProgress(&eraTracker{}, clocktest.Virtual)
			all[i].RecordRead(feed.ReadResult{Next: 40}, false)
			for range 3 { // repeated by each message
				all[i].applyClaim(claim{changed: 45, base: 45, readUpTo: 50, age: neverRead}, 0, 1, 7)
			}
		}
		const receivers = 10
		time.Sleep(minWakeDelay - time.Millisecond)
		for _, p := range all[:receivers] {
			assert.Assert(t, p.enqueue(feed.Update{Since: 40, Next: 45}))
		}
		woken, last, most := 0, 0, 0
		for range MaxWakeDelay / (10 * time.Millisecond) {
			time.Sleep(10 * time.Millisecond)
			woken = 0
			for _, p := range all {
				woken += len(p.Wake())
			}
			most, last = max(most, woken-last), woken
		}
		assert.Equal(t, woken, nodes-receivers)
		assert.Assert(t, most < nodes/2, "%d nodes woken within 10 ms", most)
		// A read that has returned the change takes back the wake.
		p := all[receivers]
		p.RecordRead(feed.ReadResult{Next: 44}, false)
		assert.Equal(t, len(p.Wake()), 1)
		p.RecordRead(feed.ReadResult{Next: types.Offset(45)}, false)
		assert.Equal(t, len(p.Wake()), 0)
		p.applyClaim(claim{changed: 46, age: neverRead}, 0, 1, 7)
		time.Sleep(MaxWakeDelay)
		assert.Equal(t, len(p.Wake()), 1, "the next change wakes again")
	})
}

// Guards against a node that requests a change from a peer that does not have it, because it only
// repeats a claim or has claimed an older change.
func TestChangeSource(t *testing.T) {
	r, _ := newExchanger(t, "two")
	first, second := Peer{Name: "first", DataCentre: "dc2"}, Peer{Name: "second"}
	r.SetPeers(Peer{Name: "two"}, []Peer{first, second})
	_, ok := r.ChangeSource(1)
	assert.Assert(t, !ok)
	for _, c := range []struct {
		from    Peer
		changed types.Offset
	}{{second, 40}, {first, 45}, {second, 45}, {second, 44}} {
		r.Feed(1).applyClaim(claim{changed: c.changed, age: neverRead}, 0, 1, c.from.hash())
	}
	p, ok := r.ChangeSource(1)
	assert.Assert(t, ok)
	assert.Equal(t, p.Name, first.Name)
	r.SetPeers(Peer{Name: "two"}, []Peer{second})
	_, ok = r.ChangeSource(1)
	assert.Assert(t, !ok, "the peer has left")
}

// Guards against a store that returns from an older copy and gives out offsets again: nodes that do
// not read it themselves took its new records for ones that they had applied.
func TestChangesAfterTheTopicHasBecomeShorter(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	measureTransit(t, r, s)
	for _, e := range []*Exchanger{s, r} {
		e.Feed(1).RecordRead(read(now.Add(-time.Minute), 100, 0), true)
	}
	deliver(t, s, r, true, now.Add(-time.Minute/3))
	listed := func(at time.Time) feed.ReadResult {
		l := read(at, 90, 0)
		l.Listed = true
		return l
	}
	s.Feed(1).RecordRead(listed(now.Add(-time.Second)), true)
	deliver(t, s, r, true, now)
	assert.Assert(t, r.Feed(1).Age(instant(now)) == time.Minute)
	select {
	case <-r.Feed(1).Wake():
	case <-time.After(4 * maxListDelay):
		t.Fatal("no read is requested")
	}
	r.Feed(1).RecordRead(listed(now), false)
	s.PublishUpdate(1, feed.Update{Since: 90, Next: 91, Records: []feed.Record{{Key: "k", Value: []byte("v"), Next: 91}}})
	s.Feed(1).RecordRead(read(now.Add(time.Second), 91, 91), true)
	deliver(t, s, r, true, now.Add(time.Second))
	assert.Equal(t, len(r.Feed(1).Updates()), 1)
}
