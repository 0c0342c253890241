package loadshare

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

var now = time.Unix(1000, 0)

func newExchanger(t *testing.T, name string) (*Exchanger, *directory.Target) {
	d := directory.New()
	d.Put(directory.Entry{ID: "a", Service: "s", StartedAt: 1})
	conn, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s := New(name, conn, d, func() clock.Instant { return instant(now) })
	return s, d.Load().Target("a")
}

// instant returns the Instant of a time in these tests.
func instant(t time.Time) clock.Instant { return clock.Instant(t.UnixNano()) }

// read returns a reading at a time.
func read(at time.Time, next, changed types.Offset) feed.ReadResult {
	return feed.ReadResult{AsOf: instant(at), Next: next, Changed: changed}
}

// meet makes a share know how long messages of others are on their way.
func meet(t *testing.T, to *Exchanger, from ...*Exchanger) {
	for _, s := range from {
		pass(t, s, to, true, now.Add(-time.Minute/2))
	}
}

// pass hands the messages of one share to another.
func pass(t *testing.T, from, to *Exchanger, full bool, at time.Time) {
	from.now = func() clock.Instant { return instant(at) }
	for _, b := range from.messages(&from.near, full) {
		m, err := decode(b)
		assert.NilError(t, err)
		to.fold(m, at, instant(at))
	}
}

// Guards against work that is counted twice, or that stays after its end.
func TestWorkOfPeers(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	a.Load.Own.Add(directory.Work{Requests: 2, Prefill: 500, Prefills: 1})
	pass(t, s, r, false, now)
	pass(t, s, r, true, now)
	assert.Equal(t, b.Load.Peers.Load(), directory.Work{Requests: 2, Prefill: 500, Prefills: 1})
	assert.Equal(t, r.LivePeers(), 1)
	a.Load.Own.Add(directory.Work{Requests: -2, Prefill: -500, Prefills: -1})
	pass(t, s, r, false, now)
	assert.Equal(t, b.Load.Peers.Load(), directory.Work{})
}

// Guards against work that stays for ever because the message of its end was
// lost, and against an old message that arrives after a newer one.
func TestLostAndLateMessages(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	a.Load.Own.Add(directory.Work{Requests: 1})
	late := s.messages(&s.near, false)[0]
	a.Load.Own.Add(directory.Work{Requests: -1})
	_ = s.messages(&s.near, false) // lost
	old, err := decode(late)
	assert.NilError(t, err)
	r.fold(old, now, instant(now))
	assert.Equal(t, b.Load.Peers.Load().Requests, int64(1))
	pass(t, s, r, true, now)
	assert.Equal(t, b.Load.Peers.Load().Requests, int64(0))
	r.fold(old, now, instant(now))
	assert.Equal(t, b.Load.Peers.Load().Requests, int64(0))
}

// Guards against the work of a daemon that has died or started again.
func TestSilentAndRestartedPeers(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	a.Load.Own.Add(directory.Work{Requests: 1, KVInserted: 100})
	pass(t, s, r, false, now)
	r.expire(now.Add(silent))
	assert.Equal(t, b.Load.Peers.Load().Requests, int64(1))
	again, c := newExchanger(t, "one")
	c.Load.Own.Add(directory.Work{Requests: 5, KVInserted: 10})
	pass(t, again, r, false, now)
	assert.Equal(t, b.Load.Peers.Load(), directory.Work{Requests: 5, KVInserted: 110})
	r.expire(now.Add(2 * silent))
	assert.Equal(t, b.Load.Peers.Load(), directory.Work{KVInserted: 110}, "the cache's clock does not go back")
	assert.Equal(t, r.LivePeers(), 0)
}

// Guards against load that is taken from a target which has started again.
func TestRestartedTarget(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	a.Load.Own.Add(directory.Work{Requests: 3})
	pass(t, s, r, false, now)
	r.directory.Put(directory.Entry{ID: "a", Service: "s", StartedAt: 2})
	a.Load.Own.Add(directory.Work{Requests: -1})
	pass(t, s, r, false, now)
	assert.Equal(t, r.directory.Load().Target("a").Load.Peers.Load().Requests, int64(2))
}

// Guards against parts that the others do not learn, and against a queue of them
// that blocks a request.
func TestPartsAreTold(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	parts := []directory.Part{{Key: 7, Tokens: 100}}
	for range 2 * partsQueue {
		s.NotifyPartsUsed(a, parts)
	}
	pass(t, s, r, false, now)
	assert.Equal(t, b.Load.CachedTokens(parts, 1000), 100)
}

// Guards against nodes that each have to find out for themselves that a target
// is dark.
func TestSilentTargetIsTold(t *testing.T) {
	s, a := newExchanger(t, "one")
	r, b := newExchanger(t, "two")
	a.Load.BeginWork(directory.Work{Requests: 1}, now)
	assert.Assert(t, a.Load.CheckActivity(now.Add(time.Second), 500*time.Millisecond, time.Second))
	pass(t, s, r, false, now)
	assert.Assert(t, !b.Usable(now))
	assert.Assert(t, b.Usable(now.Add(suspectPause)))
}

// Guards against a datagram that makes the decoder fail, read beyond its end or
// accept values that overflow.
func FuzzDecode(f *testing.F) {
	m := message{sender: 1, start: 2, seq: 3, claims: [Feeds]claim{{age: time.Second, changed: 7, base: 9, through: 20}}}
	good := appendItem(m.appendHeader(nil), &item{target: 4, work: directory.Work{Requests: 1, KVInserted: 1 << 30}, parts: []uint64{5, 6}})
	f.Add(good)
	f.Add(good[:len(good)-1])
	m.news = []feedNews{{1, feed.Update{Since: 3, Next: 9, Records: []feed.Record{{Key: "k", Value: []byte("v"), Next: 9}}}}}
	f.Add(m.appendHeader(nil))
	f.Add([]byte{magic, version})
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrMalformed))
			return
		}
		for _, i := range m.items {
			assert.Assert(t, i.work.Prefill >= 0 && i.work.Prefill <= maxValue && len(i.parts) <= maxParts)
		}
	})
}

// Guards against a change in the store that the others do not learn, and against
// reads without end for a change that this node has seen already.
func TestProgressIsTold(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	meet(t, r, s)
	r.Feed(1).RecordRead(read(now.Add(-time.Minute), 39, 0), false)
	s.Feed(1).RecordRead(read(now, 50, 40), true)
	pass(t, s, r, true, now)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Minute, "the change is not known yet")
	assert.Equal(t, len(r.Feed(1).Wake()), 1)
	<-r.Feed(1).Wake()
	r.Feed(1).RecordRead(read(now.Add(-time.Second), 40, 40), false)
	pass(t, s, r, true, now)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Duration(0))
	assert.Equal(t, len(r.Feed(1).Wake()), 0)
	assert.Equal(t, len(r.Feed(0).Wake()), 0)
}

// Guards against a node that takes a feed as known because another one has
// listed it (mtc-lentil, killed nodes, seed 21: routes of an accepted
// configuration refused with 404 for 3 s).
func TestListTellsNobodyWhatItShowed(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	third, _ := newExchanger(t, "three")
	other, _ := newExchanger(t, "four")
	meet(t, r, s, other)
	meet(t, third, s)
	list := read(now, 50, 0)
	list.Listed = true
	s.Feed(1).RecordRead(list, true)
	r.Feed(1).RecordRead(read(now.Add(-time.Second), 49, 0), false)
	third.Feed(1).RecordRead(read(now.Add(-time.Second), 50, 0), false)
	for range 2 {
		pass(t, s, r, true, now)
		pass(t, s, third, true, now)
	}
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second)
	assert.Equal(t, len(r.Feed(1).Wake()), 0, "a list of records that do not matter has nobody read")
	assert.Equal(t, r.ClaimsRefused(), int64(2))
	assert.Equal(t, third.Feed(1).Age(instant(now)), time.Duration(0), "who knows as much may rely on it")
	// The reader of another data centre has read on without a change, so that the
	// list is no news either.
	other.Feed(1).RecordRead(read(now.Add(-2*time.Second), 40, 0), false)
	other.Feed(1).RecordRead(read(now, 55, 0), false)
	pass(t, other, r, true, now)
	assert.Equal(t, r.ReadState(1, instant(now)), ReadState{Local: time.Second, Next: 49, ClaimedUpTo: 55})
	s.Feed(1).RecordRead(read(now.Add(time.Second), 60, 0), false)
	pass(t, s, r, true, now.Add(time.Second))
	assert.Equal(t, r.Feed(1).Age(instant(now.Add(time.Second))), time.Duration(0))
}

// Guards against a node that takes a feed as known because another one has read
// a change without telling it, or will tell it with its next message.
func TestUntoldChangesAreNotKnown(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	meet(t, r, s)
	r.Feed(1).RecordRead(read(now.Add(-time.Second), 40, 0), false)
	s.Feed(1).RecordRead(read(now, 50, 45), false)
	pass(t, s, r, true, now)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second)
	assert.Equal(t, len(r.Feed(1).Wake()), 0)
	c := s.Feed(1).claim(instant(now))
	c.changed = min(c.changed, 40)
	r.Feed(1).hear(c, instant(now), 7)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second)
}

// Guards against a node that missed news and takes the feed as known because a
// third one, which got the news, has read the feed since (a stateful test: 30% of
// datagrams lost, a change unknown after 5 s).
func TestChangesThatOthersToldAreNotKnownToAll(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	meet(t, r, s)
	r.Feed(1).RecordRead(read(now.Add(-time.Second), 40, 0), false)
	s.Feed(1).RecordRead(read(now.Add(-time.Second), 40, 0), false)
	s.Feed(1).RecordApplied(45)
	s.Feed(1).RecordRead(read(now, 50, 0), true)
	pass(t, s, r, true, now)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second)
}

// Guards against a node that goes on to rely on claims which rested on news that
// it could not use.
func TestMissedNewsTakesBackClaims(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	meet(t, r, s)
	r.Feed(1).RecordRead(read(now.Add(-time.Second), 40, 0), false)
	s.PublishUpdate(1, feed.Update{Since: 40, Next: 45, Records: []feed.Record{{Key: "k", Next: 45}}})
	s.Feed(1).RecordRead(read(now, 50, 45), true)
	pass(t, s, r, true, now)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Duration(0), "the news is in the queue")
	<-r.Feed(1).Updates()
	r.Feed(1).RecordMissed(40)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second)
	assert.Equal(t, len(r.Feed(1).Wake()), 1)
	pass(t, s, r, true, now)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second)
}

// Guards against a claim that was fresh when its message was made and that counts
// as fresh although the message lay with a frozen sender, in a queue, or here.
func TestHeldMessagesAreNotFresh(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	const apart = 1000 * time.Second // the origins of the two clocks
	made := func(at time.Time) *message {
		s.now = func() clock.Instant { return instant(at).Add(-apart) }
		m, err := decode(s.messages(&s.near, true)[0])
		assert.NilError(t, err)
		return m
	}
	arrive := func(m *message, at time.Time) { r.fold(m, at, instant(at)) }
	arrive(made(now), now.Add(time.Second))
	assert.Equal(t, r.Feed(0).Age(instant(now)), never, "nothing can be said of the first")
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: instant(now).Add(-apart)}, false)
	held := made(now)
	arrive(made(now.Add(100*time.Millisecond)), now.Add(110*time.Millisecond))
	assert.Equal(t, r.Feed(0).Age(instant(now.Add(110*time.Millisecond))), 100*time.Millisecond, "the fastest message counts without its way")
	at := now.Add(5 * time.Second)
	r.expire(at)
	assert.Equal(t, r.LivePeers(), 0)
	before := r.Feed(0).Age(instant(at))
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: instant(now.Add(time.Second)).Add(-apart)}, false)
	arrive(held, at)
	const drift = 20 * time.Millisecond // the shortest way, and what the clocks may have drifted apart
	assert.Assert(t, r.Feed(0).Age(instant(at)) > before-drift)
	arrive(made(now.Add(time.Second)), at)
	assert.Assert(t, r.Feed(0).Age(instant(at)) > 4*time.Second-drift)
}

// Guards against a change that all nodes read from the store although one has
// told it, against news that a node takes though it has missed what was before,
// against news that is lost because one message has no room, and against news
// that only one of the two audiences learns.
func TestNewsIsTold(t *testing.T) {
	news := func(since, next types.Offset, size int) feed.Update {
		return feed.Update{Since: since, Next: next, Records: []feed.Record{{Key: "k", Value: make([]byte, size), Next: next}}}
	}
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	behind, _ := newExchanger(t, "three")
	r.Feed(1).RecordRead(read(now, 40, 0), false)
	behind.Feed(1).RecordRead(read(now, 30, 0), false)
	s.PublishUpdate(1, news(40, 45, 600))
	s.PublishUpdate(1, news(45, 50, 600))
	s.PublishUpdate(0, news(0, 5, maxNews))
	s.Feed(1).RecordRead(read(now, 60, 50), true)
	s.Feed(0).RecordRead(read(now, 60, 5), true)
	near := s.messages(&s.near, false)
	assert.Equal(t, len(near), 2)
	for _, b := range near {
		m, err := decode(b)
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= maxMessage)
		r.fold(m, now, instant(now))
		behind.fold(m, now, instant(now))
	}
	assert.DeepEqual(t, <-r.Feed(1).Updates(), news(40, 45, 600))
	assert.DeepEqual(t, <-r.Feed(1).Updates(), news(45, 50, 600))
	assert.Equal(t, len(r.Feed(1).Wake()), 0)
	assert.Equal(t, len(r.Feed(0).Wake()), 1, "news that is too long is read from the store")
	assert.Equal(t, len(behind.Feed(1).Updates()), 0)
	assert.Equal(t, len(behind.Feed(1).Wake()), 1)
	assert.Equal(t, s.UpdatesPublished(), int64(2))
	assert.Equal(t, r.UpdatesMissed(), int64(0))
	assert.Equal(t, behind.UpdatesMissed(), int64(2))
	// Several records of one read come in pieces that follow each other.
	long := news(50, 60, 600)
	long.Records = append(long.Records, news(0, 70, 600).Records[0], news(0, 80, maxNews).Records[0])
	long.Next = 80
	pieces := splitNews(1, long)
	assert.Equal(t, len(pieces), 2)
	assert.DeepEqual(t, pieces[0].Update, news(50, 60, 600))
	assert.DeepEqual(t, pieces[1].Update, news(60, 70, 600))
	assert.Equal(t, len(s.messages(&s.far, false)), 2)
	assert.Equal(t, len(s.messages(&s.near, false)), 0)
}

// Guards against other data centres that are told of each change, against
// changes that they are never told, and against parts that only one of the two
// audiences learns.
func TestOtherDataCentresAreToldLess(t *testing.T) {
	s, a := newExchanger(t, "one")
	s.SetPeers(make([]Peer, 50), "dc1")
	at := time.Now()
	a.Load.Own.Add(directory.Work{Requests: 1})
	s.tell(true, at)
	s.NotifyPartsUsed(a, []directory.Part{{Key: 7, Tokens: 100}})
	a.Load.Own.Add(directory.Work{Requests: 1})
	wait := s.tell(false, at.Add(10*time.Millisecond))
	assert.Equal(t, wait, 40*time.Millisecond)
	far := s.messages(&s.far, false)
	assert.Equal(t, len(far), 1)
	m, err := decode(far[0])
	assert.NilError(t, err)
	assert.Equal(t, m.items[0].work.Requests, int64(2))
	assert.DeepEqual(t, m.items[0].parts, []uint64{7})
	assert.Equal(t, len(s.messages(&s.near, false)), 0)
}

// Guards against messages that each node sends to all nodes of all data centres,
// and against a relay that was not heard for long.
func TestRelays(t *testing.T) {
	s, _ := newExchanger(t, "one")
	peer := func(name, dc string) Peer { return Peer{Name: types.VMID(name), DataCentre: types.DataCentreID(dc)} }
	s.SetPeers([]Peer{peer("a", "dc1"), peer("b", "dc2"), peer("c", "dc2"), peer("d", "dc3")}, "dc1")
	l := s.peers.Load()
	assert.Equal(t, len(l.local), 1)
	assert.Equal(t, l.len(), 4)
	assert.Equal(t, len(s.relays(l)), 2)
	for _, name := range []string{"b", "c"} {
		s.from = map[uint64]*peerState{peer(name, "dc2").hash(): {}}
		assert.Equal(t, s.relays(l)[0].Name, types.VMID(name))
	}
}
