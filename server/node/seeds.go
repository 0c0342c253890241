package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	nodev1 "github.com/lentilpick/lentilpick/api/node/v1"
	"github.com/lentilpick/lentilpick/api/node/v1/nodev1connect"

	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/server/wire"
)

const (
	// fetchTimeout bounds the time without progress of a request to another node. A machine without
	// power does not reject the connection, so the request would hang.
	fetchTimeout = time.Second
	// maxFetchTime bounds a request that makes progress: a configuration of 4 MB takes 3.4 s over an
	// idle link of 10 Mbit/s, and other responses share the link.
	maxFetchTime = 10 * time.Second
	// seedDelay is the time without the begin of a response after which the next seed is asked. It
	// is several times the usual time of a response, and what a dead seed costs.
	seedDelay = 100 * time.Millisecond
)

// fieldAge is the time since the records were read from the store.
const fieldAge = "age_ms"

// peerFetcher requests one feed from the seed nodes. It implements mirror.Fetcher.
type peerFetcher struct {
	log       *logrus.Entry
	transport http.RoundTripper
	seeds     []string // addresses
	feed      nodev1.Feed
}

// newPeerFetcher returns a fetcher for the seeds in the platform's settings, without this node.
func newPeerFetcher(m *platform.Settings, feed nodev1.Feed, log *logrus.Entry) peerFetcher {
	f := peerFetcher{feed: feed, log: log.WithField(fieldSource, feed.String()), transport: newPeerTransport()}
	for _, s := range m.SeedAddresses {
		if s != m.ControlAddress {
			f.seeds = append(f.seeds, s)
		}
	}
	return f
}

// newPeerTransport returns a transport for calls to other nodes, which are rare.
func newPeerTransport() http.RoundTripper {
	// A transport does not end the dialling of a connection with the request.
	d := net.Dialer{Timeout: fetchTimeout}
	return wire.CheckedTransport{RoundTripper: &http.Transport{DisableKeepAlives: true, DialContext: d.DialContext}}
}

var (
	// errNoSeed reports that the platform's settings name no other node as a seed.
	errNoSeed = errors.New("no seed node configured")
	// errNoProgress reports a request that transferred nothing for fetchTimeout.
	errNoProgress = errors.New("no progress of the response")
)

// seedEvent is the begin of the response of a seed, or the end of the request if done is set.
type seedEvent struct {
	seed     int
	done     bool
	snapshot mirror.Snapshot
	err      error
}

// Fetch implements mirror.Fetcher. It asks the seeds one after the other, the next one when one has
// failed or has not begun to respond within seedDelay, because most of them may be down. The
// requests to the others end when one begins to respond: the responses of several seeds would take
// the same link.
func (f peerFetcher) Fetch(ctx context.Context) (mirror.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, maxFetchTime)
	defer cancel()
	const none = -1
	var (
		order   = rand.Perm(len(f.seeds))
		events  = make(chan seedEvent, 2*len(f.seeds))
		cancels = make([]context.CancelCauseFunc, len(f.seeds)) // of the requests in progress
		next    = time.NewTimer(0)
		err     = errNoSeed
		pending int
		chosen  = none // the seed that has begun to respond
	)
	defer next.Stop()
	for len(order) > 0 || pending > 0 {
		select {
		case <-next.C:
			if chosen != none || len(order) == 0 {
				continue
			}
			seed := order[0]
			order = order[1:]
			seedContext, cancelSeed := context.WithCancelCause(ctx)
			defer cancelSeed(nil)
			cancels[seed] = cancelSeed
			pending++
			go f.ask(seedContext, cancelSeed, seed, events)
			next.Reset(seedDelay)
		case e := <-events:
			switch {
			case e.done && e.err == nil:
				f.log.WithFields(logrus.Fields{fieldAge: millis(e.snapshot.Age), "records": len(e.snapshot.Records)}).Info("feed taken from another node")
				return e.snapshot, nil
			case e.done:
				pending--
				cancels[e.seed] = nil
				if chosen == none || chosen == e.seed {
					err, chosen = e.err, none
					next.Reset(0)
				}
			case chosen == none && cancels[e.seed] != nil:
				chosen = e.seed
				for seed, cancelSeed := range cancels {
					if cancelSeed != nil && seed != chosen {
						cancelSeed(nil)
					}
				}
			}
		}
	}
	return mirror.Snapshot{}, err
}

// ask requests the feed from a seed and sends the begin of its response and its end. It cancels the
// request after fetchTimeout without progress.
func (f peerFetcher) ask(ctx context.Context, cancel context.CancelCauseFunc, seed int, events chan<- seedEvent) {
	stalled := time.AfterFunc(fetchTimeout, func() { cancel(errNoProgress) })
	defer stalled.Stop()
	begun := false
	ctx = wire.WithProgress(ctx, func() {
		if !begun {
			begun = true
			events <- seedEvent{seed: seed}
		}
		stalled.Reset(fetchTimeout)
	})
	h := &http.Client{Transport: wire.ProgressTransport{RoundTripper: f.transport}}
	c := nodev1connect.NewNodeServiceClient(h, "http://"+f.seeds[seed], connect.WithReadMaxBytes(maxFetchBytes))
	resp, err := c.FetchFeed(ctx, connect.NewRequest(&nodev1.FetchFeedRequest{Feed: f.feed}))
	e := seedEvent{seed: seed, done: true, err: err}
	if err == nil {
		e.snapshot = decodeSnapshot(resp.Msg)
	} else if errors.Is(context.Cause(ctx), errNoProgress) {
		e.err = errNoProgress
	}
	events <- e
}
