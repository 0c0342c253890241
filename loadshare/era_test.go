package loadshare

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// listIn records a list of each feed in an era of the store.
func listIn(s *Exchanger, era types.Era, next types.Offset) {
	if era != 0 {
		s.ObserveEra(era)
	}
	for i := range s.feeds {
		s.Feed(i).RecordRead(feed.ReadResult{AsOf: instant(now), Era: era, Next: next, Listed: true}, false)
	}
}

// publishChange publishes a change from offset 40 to 45 and a later read up to 50.
func publishChange(s *Exchanger, era types.Era) {
	s.PublishUpdate(1, feed.Update{Era: era, Since: 40, Next: 45, Records: []feed.Record{{Key: "k", Value: []byte("v"), Next: 45}}})
	s.Feed(1).RecordRead(feed.ReadResult{AsOf: instant(now), Era: era, Next: 50, Changed: 45}, true)
}

// Guards against records that are skipped because others had their offsets before the store returned
// from an older copy, against claims that count although they refer to other records, and against a node
// that does not list the feeds again (review/7: three of six nodes kept an old configuration).
func TestOffsetsOfAnotherEraAreNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		sender, receiver      types.Era
		used, listed, claimed bool
	}{
		"same era":                       {3, 3, true, false, true},
		"no era":                         {0, 0, true, false, true},
		"newer era":                      {4, 3, false, true, false},
		"older era":                      {2, 3, false, false, false},
		"first era that is stated":       {1, 0, false, true, false},
		"earlier release, a return seen": {0, 4, false, false, false},
		// Some node of this release has to read, because claims without an era hide a return.
		"earlier release, no return seen": {0, 1, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newExchanger(t, "one")
			r, _ := newExchanger(t, "two")
			measureTransit(t, r, s)
			listIn(s, c.sender, 40)
			if c.receiver > 3 {
				r.ObserveEra(c.receiver - 1)
			}
			listIn(r, c.receiver, 40)
			r.Feed(1).mu.Lock()
			r.Feed(1).lastRead.AsOf = instant(now.Add(-time.Second))
			r.Feed(1).mu.Unlock()
			publishChange(s, c.sender)
			deliver(t, s, r, true, now)
			assert.Equal(t, len(r.Feed(1).Updates()) == 1, c.used)
			assert.Equal(t, r.Feed(1).KnownUpTo() == 45, c.used)
			assert.Equal(t, r.Feed(1).listPending, c.listed)
			assert.Equal(t, r.Feed(1).Age(instant(now)) == time.Second, !c.listed && !c.claimed)
			assert.Equal(t, r.Era(), max(c.sender, c.receiver))
			assert.Equal(t, r.Malformed(), int64(0))
		})
	}
}

// Guards against offsets from before a return that a node sends afterwards: in a claim about a feed that it
// has not listed again, or in an update that it had published before.
func TestOffsetsFromBeforeReturnAreNotSent(t *testing.T) {
	s, _ := newExchanger(t, "one")
	listIn(s, 1, 40)
	publishChange(s, 1)
	s.ObserveEra(2)
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: instant(now), Era: 2, Next: 7, Listed: true}, true)
	for _, b := range s.messages(true) {
		m, err := decode(b)
		assert.NilError(t, err)
		assert.Equal(t, m.era, types.Era(2))
		assert.Equal(t, len(m.updates), 0)
		assert.Equal(t, m.claims[0], claim{base: 7, readUpTo: 7})
		assert.Equal(t, m.claims[1], claim{age: neverRead})
	}
}

// Guards against a large fleet whose nodes all list the feeds within the same second after a return, and
// against nodes that wait for long or list because their last read is old.
func TestListsAfterReturnAreSpread(t *testing.T) {
	for _, nodes := range []int{6, 95, 370} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var others []Peer
				for i := range nodes - 1 {
					others = append(others, Peer{Name: types.VMID(fmt.Sprint(i)), DataCentre: "dc"})
				}
				perSecond, woken := map[int]int{}, 0
				var waiting []*Progress
				for range nodes {
					s := New("one", nil, nil, nil, clocktest.Virtual)
					s.SetPeers(Peer{Name: "one", DataCentre: "dc"}, others)
					listIn(s, 1, 40)
					s.ObserveEra(2)
					assert.Equal(t, s.Feed(1).Age(clocktest.Virtual()), time.Duration(0))
					waiting = append(waiting, s.Feed(1))
				}
				const step = 10 * time.Millisecond
				for at := step; at <= maxListSpread; at += step {
					time.Sleep(step)
					synctest.Wait()
					waiting = slices.DeleteFunc(waiting, func(p *Progress) bool {
						if len(p.Wake()) == 0 {
							return false
						}
						woken++
						perSecond[int((at-1)/time.Second)]++
						return true
					})
				}
				assert.Equal(t, woken, nodes)
				for _, n := range perSecond {
					// Half of 95 random times lie in the same second of 1.9 s on average.
					assert.Assert(t, nodes < 50 || n < nodes*9/10, "%v", perSecond)
				}
			})
		})
	}
}

// Guards against a damaged message that makes nodes list without end, or ignore all others, because the
// store never states the era that it names.
func TestEraThatTheStoreRefutes(t *testing.T) {
	var e eraTracker
	at := func(s int) clock.Instant { return instant(now.Add(time.Duration(s) * time.Second)) }
	assert.Assert(t, e.confirm(3))
	assert.Assert(t, e.hear(900, at(10)))
	e.listed(3, at(9), at(11))
	assert.Equal(t, e.load(), types.Era(900), "the list may have been answered before")
	e.listed(3, at(11), at(11))
	assert.Equal(t, e.load(), types.Era(3))
	assert.Assert(t, !e.hear(900, at(12)))
	assert.Assert(t, e.hear(901, at(12)), "the store may have returned since")
	e.listed(3, at(13), at(13))
	assert.Assert(t, e.hear(900, at(30)))
	assert.Assert(t, !e.confirm(2) && e.confirm(902))
}
