package node

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	nodev1 "github.com/lentilpick/lentilpick/api/node/v1"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/mirror"
)

// Guards against a node that never gets a large configuration over a slow link, because the request
// is given up while it makes progress, against seeds that all send it over that link at the same
// time, and against dead or stalled seeds that delay a start for long.
func TestFetchFromSeeds(t *testing.T) {
	const (
		// 1 MB over 2.5 Mbit/s takes as long as the largest configuration over 10 Mbit/s.
		slowRate  = 2_500_000 / 8
		large     = 1 << 20
		largeTime = large * time.Second / slowRate
		overhead  = 60 * time.Millisecond // headers on a slow link, and the last packet
	)
	seed := func(rate, stallAfter int) func(l *pipeListener) {
		return func(l *pipeListener) { l.bytesPerSecond, l.stallAfter = rate, stallAfter }
	}
	busy := func(l *pipeListener) { l.bytesPerSecond, l.delay = slowRate, 5*seedDelay }
	live, slow, stalled := seed(0, 0), seed(slowRate, 0), seed(0, 100_000)
	for name, c := range map[string]struct {
		size       int
		seeds      []func(*pipeListener) // nil for a dead machine
		least, max time.Duration
		err        error
	}{
		"slow links":           {large, []func(*pipeListener){slow, slow, slow}, largeTime, largeTime + overhead, nil},
		"busy seeds":           {large, []func(*pipeListener){busy, busy, busy}, largeTime, largeTime + 5*seedDelay + overhead, nil},
		"dead seeds":           {1000, []func(*pipeListener){nil, nil, live}, 0, 2 * seedDelay, nil},
		"dead seeds, slow one": {large, []func(*pipeListener){nil, slow, nil}, largeTime, largeTime + 2*seedDelay + overhead, nil},
		"stalled seeds":        {large, []func(*pipeListener){stalled, stalled, live}, 0, 2 * fetchTimeout, nil},
		"all stalled":          {large, []func(*pipeListener){stalled, stalled}, 2 * fetchTimeout, 2 * fetchTimeout, errNoProgress},
		"all dead":             {1000, []func(*pipeListener){nil, nil, nil}, 0, fetchTimeout + 2*seedDelay, errNoProgress},
		"no seed":              {1000, nil, 0, 0, errNoSeed},
	} {
		t.Run(name, func(t *testing.T) {
			for range 3 { // the order of the seeds is random
				synctest.Test(t, func(t *testing.T) {
					var mirrors [len(wireFeeds)]mirror.Feed
					value := make([]byte, c.size)
					for i := range value {
						value[i] = byte(rand.Uint32())
					}
					type item = feed.Item[struct{}]
					l := feed.Listing[struct{}]{Items: []item{{Key: "k", Raw: value, Next: 7}}, Next: 7}
					mirror.RecordTo(&mirrors[feedConfig], listingOnly{}, nil).HandleListing(l, 0)
					p := newPipeNet()
					defer p.close()
					f := peerFetcher{log: daemon.NewLogger(io.Discard, "error", "node").WithField(fieldSource, ""), transport: p.transport(), feed: nodev1.Feed_FEED_CONFIGURATION}
					for i, set := range c.seeds {
						address := string(rune('a'+i)) + ":7396"
						f.seeds = append(f.seeds, address)
						if set != nil {
							set(p.serve(address, peerService{feeds: &mirrors}))
						}
					}
					began := time.Now()
					s, err := f.Fetch(t.Context())
					took := time.Since(began)
					assert.Assert(t, took >= c.least && took <= c.max, "took %s", took)
					if assert.ErrorIs(t, err, c.err); err == nil {
						assert.Assert(t, bytes.Equal(s.Records[0].Value, value))
					}
					sent := int64(0)
					for _, l := range p.listeners {
						if l.stallAfter == 0 {
							sent += l.sent.Load()
						}
					}
					assert.Assert(t, sent < int64(c.size)*11/10+2000, "%d bytes for a configuration of %d", sent, c.size)
				})
			}
		})
	}
}

// listingOnly ignores listings. Its other methods are not called.
type listingOnly struct{ feed.Handler[struct{}] }

func (listingOnly) HandleListing(feed.Listing[struct{}], time.Duration) {}
