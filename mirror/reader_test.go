package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// slowStore has version 4 when it is listed, and 5 when it is read. Version 7 is the newest one of
// the next read, which takes 100 ms.
type slowStore struct{ store }

func (s *slowStore) List(context.Context) (feed.Listing[string], error) {
	return listing(4, version(4)), nil
}

func (s *slowStore) Read(_ context.Context, at types.Position, wait time.Duration) ([]feed.Item[string], types.Offset, error) {
	from := at.Offset
	if from == 4 {
		return []feed.Item[string]{version(5)}, 5, feed.ErrMore
	}
	time.Sleep(wait)
	return nil, from, nil
}

func (s *slowStore) ReadNewest(context.Context, types.Position) ([]feed.Item[string], types.Offset, error) {
	time.Sleep(100 * time.Millisecond)
	return []feed.Item[string]{version(7)}, 7, nil
}

// Guards against a reader whose deltas no other daemon can use in a quick series of changes: they
// have followed a faster reader meanwhile, and all of them would read the store at once.
func TestSlowReaderPublishesDeltasToWhatOthersHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow, fast, other Feed
		published, updates := newReader(&fast, 4)
		others, _ := newReader(&other, 4)
		published.HandleChanges([]feed.Item[string]{version(6)}, 0)
		others.HandlePeerUpdate([]feed.Item[string]{version(6)}, 0)
		queue := make(chan feed.Update, 1)
		time.AfterFunc(50*time.Millisecond, func() { queue <- (*updates)[0] })
		var sent []feed.Update
		h := RecordTo[string](&slow, &handler{}, func(encode func() feed.Update) { sent = append(sent, encode()) })
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		feed.Follow(ctx, NewSource[string](&slowStore{}, nil, &slow, noEra), h, feed.Schedule{
			Now: clocktest.Virtual, PeerUpdates: queue,
			Due:      func(clock.Instant) (time.Duration, time.Duration) { return 0, 100 * time.Millisecond },
			MinPause: time.Second, MaxPause: func() time.Duration { return time.Second },
		})
		assert.Equal(t, len(sent), 2)
		assertDecodes(t, &other, sent[1].Records[0], 7)
	})
}
