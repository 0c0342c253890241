package node

import (
	"context"
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
	"github.com/lentilpick/lentilpick/types"
)

const (
	// maxFetchBytes bounds a message from another node. The platform limits a configuration to
	// 4 MB.
	maxFetchBytes = 8 << 20
	// peerHeaderTimeout bounds the time to read the headers of a request from another node.
	peerHeaderTimeout = 2 * time.Second
)

// wireFeeds maps the index of a feed to its value in messages between nodes.
var wireFeeds = [...]nodev1.Feed{
	feedConfig:        nodev1.Feed_FEED_CONFIGURATION,
	feedRegistrations: nodev1.Feed_FEED_REGISTRATIONS,
	feedMembers:       nodev1.Feed_FEED_MEMBERS,
	feedVersions:      nodev1.Feed_FEED_VERSIONS,
}

// peerService serves the records that this node has read from the store to other nodes. It
// implements nodev1connect.NodeServiceHandler.
type peerService struct {
	feeds   *[len(wireFeeds)]mirror.Feed
	changes changesServer
}

// FetchChanges implements nodev1connect.NodeServiceHandler.
func (s peerService) FetchChanges(_ context.Context, req *connect.Request[nodev1.FetchChangesRequest]) (*connect.Response[nodev1.FetchChangesResponse], error) {
	m, err := s.changes.fetch(req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

// FetchFeed implements nodev1connect.NodeServiceHandler.
func (s peerService) FetchFeed(_ context.Context, req *connect.Request[nodev1.FetchFeedRequest]) (*connect.Response[nodev1.FetchFeedResponse], error) {
	for i, f := range wireFeeds {
		if f != req.Msg.GetFeed() {
			continue
		}
		c, err := s.feeds[i].Snapshot(clock.Now())
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(encodeSnapshot(c)), nil
	}
	return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("unknown feed %v", req.Msg.GetFeed()))
}

func encodeSnapshot(c mirror.Snapshot) *nodev1.FetchFeedResponse {
	m := &nodev1.FetchFeedResponse{Era: uint64(c.Era), Next: uint64(c.Next), AgeMs: uint64(max(c.Age, 0).Milliseconds())}
	for _, r := range c.Records {
		m.Records = append(m.Records, &nodev1.Record{Key: r.Key, Value: r.Value, Next: uint64(r.Next)})
	}
	return m
}

func decodeSnapshot(m *nodev1.FetchFeedResponse) mirror.Snapshot {
	c := mirror.Snapshot{Era: types.Era(m.GetEra()), Next: types.Offset(m.GetNext()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
	for _, r := range m.GetRecords() {
		c.Records = append(c.Records, feed.Record{Key: r.GetKey(), Value: r.GetValue(), Next: types.Offset(r.GetNext())})
	}
	return c
}

// servePeers returns the HTTP server of the node service.
func (n *Node) servePeers() *http.Server {
	mux := http.NewServeMux()
	changes := newChangesServer(n.mirrors[feedConfig].ChangesSince)
	mux.Handle(nodev1connect.NewNodeServiceHandler(peerService{&n.mirrors, changes}, connect.WithReadMaxBytes(maxFetchBytes)))
	return &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
}

// sharedFeed is a feed of the store of which some nodes read the changes and publish them to the
// others.
type sharedFeed struct {
	index     int
	exchanger *loadshare.Exchanger
	pacer     *readPacer
	mirror    *mirror.Feed
	peers     mirror.Fetcher
	onCall    func(feed.CallReason) // nil if calls are not counted
	onResult  func(feed.CallResult) // nil if results are not logged
}

func (n *Node) newSharedFeed(index int, interval, wait time.Duration) sharedFeed {
	results := &feedCallLogger{log: n.log.WithField(fieldSource, feedNames[index]), index: index, counters: n.counters, level: logrus.DebugLevel}
	if index == feedConfig {
		results.level = logrus.InfoLevel
	}
	f := sharedFeed{
		index, n.exchanger, newReadPacer(n.exchanger, index, interval, wait, n.rankInDataCentre, clock.Now), &n.mirrors[index],
		newPeerFetcher(n.machine, wireFeeds[index], n.log), func(r feed.CallReason) { n.counters.storeCalls.Add(storeCallIndex(index, r)) },
		results.logResult,
	}
	if c := n.newChangesFetcher(); c != nil && index == feedConfig {
		f.pacer.fetchMissing = c.fetch
	}
	return f
}

// followFeed follows a feed of the store until the context ends. It publishes the changes that this
// node reads on behalf of others, and retains the newest records for nodes that start later.
func followFeed[T any](ctx context.Context, f sharedFeed, src feed.Source[T], h feed.Handler[T], minPause, maxPause time.Duration) {
	publish := func(update func() feed.Update) {
		if f.pacer.readsForPeers {
			f.exchanger.PublishUpdate(f.index, update())
		}
	}
	s := f.pacer.schedule(minPause, maxPause)
	s.OnCall, s.OnResult = f.onCall, f.onResult
	if f.index == feedMembers {
		// All nodes of a fleet that starts add themselves. A node that has missed such a change reads
		// the list when it is due, not at once.
		s.Wake = nil
	}
	s.OnRead = func(r feed.ReadResult) {
		f.mirror.RecordRead(r.AsOf)
		f.pacer.recordRead(r)
	}
	feed.Follow(ctx, mirror.NewSource(src, f.peers, f.mirror, f.exchanger.Era), mirror.RecordTo(f.mirror, h, publish), s)
}
