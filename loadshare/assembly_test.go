package loadshare

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// longUpdate returns an update of one record that does not fit in a message.
func longUpdate(since, next types.Offset, size int) feed.Update {
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(rand.Uint32())
	}
	return feed.Update{Since: since, Next: next, Records: []feed.Record{{Key: "k", Value: value, Next: next, DeltaBase: since}}}
}

// publishLong publishes an update of a feed that was read up to its end and returns the messages.
func publishLong(t *testing.T, s *Exchanger, u feed.Update) (out []*message) {
	s.now = func() clock.Instant { return instant(now) }
	s.PublishUpdate(1, u)
	s.Feed(1).RecordRead(read(now, u.Next, u.Next), true)
	for _, b := range s.messages(false) {
		assert.Assert(t, len(b) <= maxMessageBytes)
		m, err := decode(b)
		assert.NilError(t, err)
		out = append(out, m)
	}
	return out
}

// Guards against a change that every node reads from the store because its record does not fit in
// one message (mtc-lentil-large, seed 61417: 195 reads of 187 KB for each change), and against
// claims that cover a record before its last part.
func TestLongRecordIsSentInParts(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	measureTransit(t, r, s)
	r.Feed(1).RecordRead(read(now.Add(-time.Second), 40, 0), false)
	u := longUpdate(40, 45, 20*maxUpdateBytes)
	messages := publishLong(t, s, u)
	assert.Assert(t, len(messages) > 20 && len(messages) <= maxUpdateFragments)
	for i, m := range messages {
		assert.Equal(t, m.claims[1].changed < 45, i < len(messages)-1, "message %d", i)
		assert.Equal(t, r.Feed(1).Age(instant(now)), time.Second, "the claim is not used before the record is complete")
		r.apply(m, now, instant(now))
	}
	assert.DeepEqual(t, <-r.Feed(1).Updates(), u)
	assert.Equal(t, r.Feed(1).Age(instant(now)), time.Duration(0))
	assert.Equal(t, len(r.assemblies), 0)
	for _, m := range messages { // duplicates
		r.apply(m, now, instant(now))
	}
	assert.Equal(t, len(r.assemblies)+len(r.Feed(1).Updates()), 0)
	assert.Assert(t, !woken(r.Feed(1)))
	assert.Equal(t, r.UpdatesMissed()+r.Malformed(), int64(0))
}

// Guards against parts that are put together in the order of arrival, against a lost part that
// leaves a node without the change and without a read, and against parts of two records that are mixed.
func TestLostAndReorderedParts(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	r.Feed(1).RecordRead(read(now, 40, 0), false)
	first := publishLong(t, s, longUpdate(40, 45, 3*maxUpdateBytes))
	for _, m := range first[1:] {
		r.apply(m, now, instant(now))
	}
	assert.Equal(t, len(r.Feed(1).Updates()), 0)
	assert.Assert(t, woken(r.Feed(1)), "the part that is missing was lost")
	second := longUpdate(40, 50, 3*maxUpdateBytes)
	messages := publishLong(t, s, second)
	rand.Shuffle(len(messages), func(i, k int) { messages[i], messages[k] = messages[k], messages[i] })
	for i, m := range messages {
		r.apply(m, now, instant(now))
		if i == 0 {
			r.apply(first[0], now, instant(now)) // late
		}
	}
	assert.DeepEqual(t, <-r.Feed(1).Updates(), second)
	assert.Equal(t, len(r.Feed(1).Updates()), 0)
}

// Guards against readers of several data centres that each publish the same long record, which
// occupies the hubs (5 copies of 23 messages at the same time: load known 0.7 s late), and against the loss of
// the copies of short ones, which make up for lost messages.
func TestLongRecordIsNotRepeated(t *testing.T) {
	for size, repeated := range map[int]bool{maxRepeatedFragments * partDataBytes / 2: true, 2 * maxRepeatedFragments * partDataBytes: false} {
		first, _ := newExchanger(t, "one")
		second, _ := newExchanger(t, "two")
		second.Feed(1).RecordRead(read(now, 40, 0), false)
		u := longUpdate(40, 45, size)
		for _, m := range publishLong(t, first, u) {
			second.apply(m, now, instant(now))
		}
		second.PublishUpdate(1, u)
		assert.Equal(t, second.UpdatesPublished() > 0, repeated)
		next := longUpdate(45, 50, size)
		second.PublishUpdate(1, next)
		assert.Assert(t, len(second.outbox.updates) > 0, "changes that were not received are published")
	}
}

// Guards against memory that grows with the senders of incomplete records, and against parts that
// form no record and end the exchange.
func TestAssembliesAreBounded(t *testing.T) {
	r, _ := newExchanger(t, "two")
	part := func(sender uint64, data []byte, count int, at time.Time) {
		u := feedUpdate{0, feed.Update{Since: 1, Next: 9}, &recordPart{0, count, data}}
		r.apply(&message{sender: sender, start: 1, updates: []feedUpdate{u}}, at, instant(at))
	}
	for i := range uint64(10 * maxAssemblies) {
		part(i+1, []byte("x"), 2, now.Add(time.Duration(i)))
	}
	assert.Equal(t, len(r.assemblies), maxAssemblies)
	assert.Assert(t, r.assemblies[assemblyKey{10 * maxAssemblies, 0}] != nil, "the newest is retained")
	r.expirePeers(now.Add(2 * assemblyTimeout))
	assert.Equal(t, len(r.assemblies), 0)
	other := appendRecord(nil, feed.Record{Key: "k", Next: 8}) // of another offset than the update
	for i, data := range [][]byte{{1}, {200, 200}, append(other, 0), other} {
		part(uint64(i+1), data, 1, now)
		assert.Equal(t, r.Malformed(), int64(i+1))
	}
	assert.Equal(t, len(r.assemblies)+len(r.Feed(0).Updates()), 0)
}

// Guards against hubs that drop or reorder the parts of a long record, so that every node reads it
// from the store, and against load that is known late for long because of them.
func TestLongRecordReachesAllNodesThroughHubs(t *testing.T) {
	for _, ordered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			const size, dataCentres, sender = 78, 2, 7
			f := startFleetIn(ctx, &virtualNet{ordered: ordered}, size, dataCentres)
			time.Sleep(time.Second)
			for _, e := range f.exchangers {
				e.Feed(0).RecordRead(feed.ReadResult{AsOf: e.now(), Next: 40}, false)
			}
			s, u := f.exchangers[sender], longUpdate(40, 45, 23*maxUpdateBytes)
			s.PublishUpdate(0, u)
			s.Feed(0).RecordRead(feed.ReadResult{AsOf: s.now(), Next: 45, Changed: 45}, true)
			s.RequestFullState()
			// Each of two hubs sends the parts to its data centre, at its datagram rate.
			time.Sleep(2*maxUpdateFragments*(size/dataCentres)*time.Second/DefaultDatagramRate + MaxWakeDelay)
			for i, e := range f.exchangers {
				assert.Equal(t, e.RelayDropped(), int64(0))
				assert.Assert(t, !ordered || len(e.Feed(0).Wake()) == 0, "node %d", i)
				if i != sender {
					got := <-e.Feed(0).Updates()
					assert.Assert(t, got.Since == u.Since && got.Next == u.Next && bytes.Equal(got.Records[0].Value, u.Records[0].Value))
				}
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
