package mirror

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

var errDown = errors.New("down")

// store is a fake source that returns from List after a delay.
type store struct {
	delay time.Duration
	err   error
	era   types.Era
	lists int
}

func (s *store) List(context.Context) (feed.Listing[string], error) {
	s.lists++
	time.Sleep(s.delay)
	return feed.Listing[string]{Era: s.era, Next: 10}, s.err
}

func (s *store) Read(context.Context, types.Position, time.Duration) ([]feed.Item[string], types.Offset, error) {
	return nil, 0, errDown
}

// noEra is the newest era of a store that states none.
func noEra() types.Era { return 0 }

// peers is a fake Fetcher that returns the snapshot of a Feed.
type peers struct {
	feed    *Feed
	fetches int
}

func (p *peers) Fetch(context.Context) (Snapshot, error) {
	p.fetches++
	return p.feed.Snapshot(clocktest.Virtual())
}

func (s *store) DecodeRecord(r feed.Record) (feed.Item[string], error) {
	return item(r.Key, string(r.Value), r.Next), nil
}

// handler treats records with a decoding error as irrelevant to other daemons.
type handler struct{ applied int }

func (*handler) HandleListing(feed.Listing[string], time.Duration) {}
func (*handler) HandleChanges(items []feed.Item[string], _ time.Duration) (changed []feed.Item[string]) {
	for _, i := range items {
		if i.Err == nil {
			changed = append(changed, i)
		}
	}
	return changed
}
func (h *handler) HandlePeerUpdate(items []feed.Item[string], _ time.Duration) {
	h.applied += len(items)
}
func (*handler) HandleFailure(error, time.Duration) {}

func listing(next types.Offset, items ...feed.Item[string]) feed.Listing[string] {
	return feed.Listing[string]{Items: items, Next: next}
}

func item(key, raw string, next types.Offset) feed.Item[string] {
	return feed.Item[string]{Key: key, Raw: []byte(raw), Next: next}
}

// Guards against a snapshot that contains removed records, omits records that do not decode
// or reports too low an age, and against updates that leave out relevant records.
func TestSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f Feed
		_, err := f.Snapshot(clocktest.Virtual())
		assert.Equal(t, err, ErrNotListed)
		var updates []feed.Update
		inner := &handler{}
		h := RecordTo[string](&f, inner, func(update func() feed.Update) { updates = append(updates, update()) })
		h.HandleListing(listing(2, item("a", "1", 1), item("b", "2", 2)), 0)
		undecodable := item("c", "?", 4)
		undecodable.Err = errDown
		h.HandleChanges([]feed.Item[string]{item("a", "", 3), undecodable}, 0)
		f.RecordRead(clocktest.Virtual())
		time.Sleep(time.Second)
		c, err := f.Snapshot(clocktest.Virtual())
		assert.NilError(t, err)
		assert.Equal(t, len(c.Records), 2)
		assert.Equal(t, c.Next, types.Offset(4))
		assert.Equal(t, c.Age, time.Second)
		h.HandlePeerUpdate([]feed.Item[string]{item("e", "6", 6)}, 0)
		c, err = f.Snapshot(clocktest.Virtual())
		assert.NilError(t, err)
		assert.Equal(t, c.Age, time.Second, "a peer update does not count as a read")
		assert.Equal(t, inner.applied, 1)
		h.HandleChanges([]feed.Item[string]{item("f", "8", 8)}, 0)
		// Since of the second update is 6, which the peer update has reached: a daemon with a
		// gap before it must not apply the update, as relevant records may be missing.
		assert.DeepEqual(t, updates, []feed.Update{
			{Since: 2, Next: 3, Records: []feed.Record{{Key: "a", Next: 3}}},
			{Since: 6, Next: 8, Records: []feed.Record{{Key: "f", Value: []byte("8"), Next: 8}}},
		}, cmpopts.EquateEmpty())
		h.HandleListing(listing(9, item("d", "5", 5)), 0)
		c, err = f.Snapshot(clocktest.Virtual())
		assert.NilError(t, err)
		assert.DeepEqual(t, c.Records, []feed.Record{{Key: "d", Value: []byte("5"), Next: 5}})
	})
}

// Guards against a daemon that waits for an unresponsive store, fetches from other daemons
// without need, or replaces its records by an older snapshot.
func TestListFromPeers(t *testing.T) {
	var listed, notListed Feed
	RecordTo[string](&listed, &handler{}, nil).HandleListing(listing(7, item("a", "1", 7)), 0)
	for name, c := range map[string]struct {
		store   store
		feed    *Feed
		next    types.Offset
		fetches int
		took    time.Duration
	}{
		"store responds":                  {store{delay: peerFetchDelay / 2}, &listed, 10, 0, peerFetchDelay / 2},
		"store is slow":                   {store{delay: 4 * peerFetchDelay}, &listed, 7, 1, peerFetchDelay},
		"store fails":                     {store{err: errDown}, &listed, 7, 1, 0},
		"store is slow, peers not listed": {store{delay: 4 * peerFetchDelay}, &notListed, 10, 1, 4 * peerFetchDelay},
		"store fails, peers not listed":   {store{err: errDown}, &notListed, 0, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &peers{feed: c.feed}
				s := NewSource[string](&c.store, p, &Feed{}, noEra)
				began := time.Now()
				l, err := s.List(t.Context())
				assert.Equal(t, err != nil, c.next == 0)
				assert.Equal(t, time.Since(began), c.took)
				assert.Equal(t, p.fetches, c.fetches)
				if err != nil {
					return
				}
				assert.Equal(t, l.Next, c.next)
				time.Sleep(4 * peerFetchDelay)
				synctest.Wait() // the list of the store has ended
				c.store.err = errDown
				_, err = s.List(t.Context())
				assert.Equal(t, err, errDown)
				assert.Equal(t, p.fetches, c.fetches)
			})
		})
	}
}

// Guards against a daemon that stays in an earlier era of the store because the store fails for it only,
// and against one that replaces its records by a snapshot that is not of a later era, or gets changes of
// another one.
func TestLaterListFromPeersIsOfLaterEra(t *testing.T) {
	for _, c := range []struct {
		newest, peers types.Era
		fetches       int
		listed        bool
	}{{1, 2, 0, false}, {2, 1, 1, false}, {2, 2, 1, true}, {2, 0, 1, false}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var of Feed
				l := listing(7, item("a", "1", 7))
				l.Era = c.peers
				RecordTo[string](&of, &handler{}, nil).HandleListing(l, 0)
				_, err := of.ChangesSince(types.Position{Era: 3, Offset: 1})
				assert.ErrorIs(t, err, ErrOtherEra)
				p, failing := &peers{feed: &of}, store{era: 1}
				s := NewSource[string](&failing, p, &Feed{}, func() types.Era { return c.newest })
				_, err = s.List(t.Context())
				assert.NilError(t, err)
				failing.err = errDown
				l, err = s.List(t.Context())
				assert.Equal(t, p.fetches, c.fetches)
				assert.Equal(t, err == nil, c.listed)
				assert.Equal(t, l.Era == c.peers && l.Next == 7, c.listed)
			})
		})
	}
}

// Guards against a configuration that all nodes read from the store because it is too long to
// be published, and against deltas that are applied to a record other than their base.
func TestLongRecordsArePublishedAsDeltas(t *testing.T) {
	text := func(version int) string {
		s := fmt.Sprintf(`{"Version":%d,"Routes":[`, version)
		for i := range 60 {
			name := sha256.Sum256([]byte{byte(i)})
			s += fmt.Sprintf(`{"Name":"r-%x","PathPrefix":"/%x/","TimeoutMs":%d},`, name[:8], name[8:20], 4000+i)
		}
		return s + "]}"
	}
	var reader, follower, other Feed
	var update feed.Update
	h := RecordTo[string](&reader, &handler{}, func(encode func() feed.Update) { update = encode() })
	h.HandleListing(listing(5, item("config", text(1), 5)), 0)
	RecordTo[string](&follower, &handler{}, nil).HandleListing(listing(5, item("config", text(1), 5)), 0)
	RecordTo[string](&other, &handler{}, nil).HandleListing(listing(5, item("config", text(0), 4)), 0)
	h.HandleChanges([]feed.Item[string]{item("config", text(3), 8), item("config", text(2), 9)}, 0)
	assert.Equal(t, len(update.Records), 1, "an update contains only the newest record of a key")
	r := update.Records[0]
	assert.Assert(t, len(r.Value) < len(text(2))/20, "delta has %d bytes, value has %d", len(r.Value), len(text(2)))
	i, err := NewSource[string](&store{}, nil, &follower, noEra).DecodeRecord(r)
	assert.NilError(t, err)
	assert.Equal(t, string(i.Raw), text(2))
	assert.Equal(t, i.Next, types.Offset(9))
	_, err = NewSource[string](&store{}, nil, &other, noEra).DecodeRecord(r)
	assert.Assert(t, errors.Is(err, feed.ErrUnusable))
	// The base is retained when another daemon has published a version in between.
	RecordTo[string](&follower, &handler{}, nil).HandlePeerUpdate([]feed.Item[string]{item("config", text(3), 8)}, 0)
	i, err = NewSource[string](&store{}, nil, &follower, noEra).DecodeRecord(r)
	assert.NilError(t, err)
	assert.Equal(t, string(i.Raw), text(2))
	r.Value = r.Value[:len(r.Value)/2]
	_, err = NewSource[string](&store{}, nil, &follower, noEra).DecodeRecord(r)
	assert.Assert(t, errors.Is(err, feed.ErrUnusable))
}

func (s *store) ReadNewest(context.Context, types.Position) ([]feed.Item[string], types.Offset, error) {
	return nil, 0, feed.ErrUnsupported
}

// slowPeers never responds. It counts the fetches that were canceled.
type slowPeers struct{ canceled int }

func (p *slowPeers) Fetch(ctx context.Context) (Snapshot, error) {
	<-ctx.Done()
	p.canceled++
	return Snapshot{}, ctx.Err()
}

// Guards against a start that waits for another daemon although the store has responded meanwhile.
func TestStoreIsNotIgnoredDuringAFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPeers{}
		began := time.Now()
		l, err := NewSource[string](&store{delay: 2 * peerFetchDelay}, p, &Feed{}, noEra).List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, l.Next, types.Offset(10))
		assert.Equal(t, time.Since(began), 2*peerFetchDelay)
		synctest.Wait()
		assert.Equal(t, p.canceled, 1)
	})
}
