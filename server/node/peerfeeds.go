package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	nodev1 "github.com/lentilpick/lentilpick/api/node/v1"
	"github.com/lentilpick/lentilpick/api/node/v1/nodev1connect"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// fetchTimeout bounds a question to another node. A machine without power does
	// not answer at all.
	fetchTimeout = time.Second
	// maxFetch bounds the answer of another node: the platform bounds a
	// configuration to 4 MB.
	maxFetch = 8 << 20
	// peerHeaderTimeout bounds the time for the head of a message of another node.
	peerHeaderTimeout = 2 * time.Second
)

// fieldAge is how long ago the records were read from the store.
const fieldAge = "age_ms"

// wireFeeds are the feeds in messages between nodes.
var wireFeeds = [...]nodev1.Feed{
	feedConfig:        nodev1.Feed_FEED_CONFIGURATION,
	feedRegistrations: nodev1.Feed_FEED_REGISTRATIONS,
	feedMembers:       nodev1.Feed_FEED_MEMBERS,
}

// peerService hands other nodes what this one has read from the store. It
// implements nodev1connect.NodeServiceHandler.
type peerService struct {
	feeds *[len(wireFeeds)]mirror.Feed
}

// FetchFeed implements the service.
func (s peerService) FetchFeed(_ context.Context, req *connect.Request[nodev1.FetchFeedRequest]) (*connect.Response[nodev1.FetchFeedResponse], error) {
	for i, f := range wireFeeds {
		if f != req.Msg.GetFeed() {
			continue
		}
		c, err := s.feeds[i].Snapshot(clock.Now())
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(encodeCopy(c)), nil
	}
	return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("feed %v is not known", req.Msg.GetFeed()))
}

func encodeCopy(c mirror.Snapshot) *nodev1.FetchFeedResponse {
	m := &nodev1.FetchFeedResponse{Next: uint64(c.Next), AgeMs: uint64(max(c.Age, 0).Milliseconds())}
	for _, r := range c.Records {
		m.Records = append(m.Records, &nodev1.Record{Key: r.Key, Value: r.Value, Next: uint64(r.Next)})
	}
	return m
}

func decodeCopy(m *nodev1.FetchFeedResponse) mirror.Snapshot {
	c := mirror.Snapshot{Next: types.Offset(m.GetNext()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
	for _, r := range m.GetRecords() {
		c.Records = append(c.Records, feed.Record{Key: r.GetKey(), Value: r.GetValue(), Next: types.Offset(r.GetNext())})
	}
	return c
}

// servePeers returns the server for other nodes.
func (n *Node) servePeers() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewNodeServiceHandler(peerService{&n.mirrors}, connect.WithReadMaxBytes(maxFetch)))
	return &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
}

// peerFetcher asks the seeds for one feed. It implements mirror.Fetcher.
type peerFetcher struct {
	log   *logrus.Entry
	seeds []nodev1connect.NodeServiceClient
	feed  nodev1.Feed
}

// newPeerFetcher returns a fetcher that asks the seeds of the machine's settings
// other than the machine itself.
func newPeerFetcher(m *platform.Settings, feed nodev1.Feed, log *logrus.Entry) peerFetcher {
	f := peerFetcher{feed: feed, log: log.WithField(fieldSource, feed.String())}
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, s := range m.Seeds {
		if s != m.Control {
			f.seeds = append(f.seeds, nodev1connect.NewNodeServiceClient(h, "http://"+s, connect.WithReadMaxBytes(maxFetch)))
		}
	}
	return f
}

// errNoSeed reports that the settings name no other node.
var errNoSeed = errors.New("no other node is known")

// Fetch implements mirror.Fetcher. It asks all seeds at once, because most of
// them may be down, and takes the first good answer.
func (f peerFetcher) Fetch(ctx context.Context) (mirror.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	type result struct {
		copy mirror.Snapshot
		err  error
	}
	results := make(chan result, len(f.seeds))
	for _, s := range f.seeds {
		go func() {
			resp, err := s.FetchFeed(ctx, connect.NewRequest(&nodev1.FetchFeedRequest{Feed: f.feed}))
			if err != nil {
				results <- result{err: err}
				return
			}
			results <- result{copy: decodeCopy(resp.Msg)}
		}()
	}
	err := errNoSeed
	for range f.seeds {
		r := <-results
		if r.err == nil {
			f.log.WithFields(logrus.Fields{fieldAge: millis(r.copy.Age), "records": len(r.copy.Records)}).Info("feed taken from another node")
			return r.copy, nil
		}
		err = r.err
	}
	return mirror.Snapshot{}, err
}

// followed is a feed that the nodes follow together.
type followed struct {
	index  int
	share  *loadshare.Exchanger
	pace   *pace
	mirror *mirror.Feed
	peers  mirror.Fetcher
}

func (n *Node) followed(index int, interval, wait time.Duration) followed {
	return followed{
		index, n.share, newPace(n.share, index, interval, wait, n.placeAtHome, clock.Now), &n.mirrors[index],
		newPeerFetcher(n.machine, wireFeeds[index], n.log),
	}
}

// follow follows a feed of the store, tells the other nodes what it reads for
// them, and keeps the records for nodes that start later.
func follow[T any](ctx context.Context, f followed, src feed.Source[T], h feed.Handler[T], minPause, maxPause time.Duration) {
	publish := func(news feed.Update) {
		if f.pace.leads {
			f.share.PublishUpdate(f.index, news)
		}
	}
	s := f.pace.schedule(minPause, maxPause)
	s.OnRead = func(r feed.ReadResult) {
		f.mirror.RecordRead(r.AsOf)
		f.pace.read(r)
	}
	feed.Follow(ctx, mirror.NewSource(src, f.peers, f.mirror), mirror.RecordTo(f.mirror, h, publish), s)
}
