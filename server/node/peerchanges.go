package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	nodev1 "github.com/lentilpick/lentilpick/api/node/v1"
	"github.com/lentilpick/lentilpick/api/node/v1/nodev1connect"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// maxChangesBytes bounds the records in a response with changes: the cost of some changes, not
	// of the configuration, which the caller reads from the store, as its link is wider than that of
	// a node.
	maxChangesBytes = 64 << 10
	// maxChangesCalls bounds the calls for changes that a node serves at a time. Their responses
	// take at most 0.42 s of a link of 10 Mbit/s.
	maxChangesCalls = 8
	// changesTimeout bounds a call for changes to one node. The caller reads the store after at
	// most two of them.
	changesTimeout = 250 * time.Millisecond
)

// changesServer serves the changes of the configuration. Its keys are never removed; a feed whose
// keys are has no complete list of changes.
type changesServer struct {
	// since returns every relevant record from a position on.
	since func(from types.Position) (feed.Update, error)
	calls chan struct{} // holds a value for each call in progress
}

func newChangesServer(since func(types.Position) (feed.Update, error)) changesServer {
	return changesServer{since, make(chan struct{}, maxChangesCalls)}
}

var (
	errTooManyCalls  = errors.New("too many calls for changes in progress")
	errChangesTooBig = errors.New("changes exceed the bound on the size of a response")
	errNotAhead      = errors.New("this node has not applied more than the caller")
	errOnlyConfig    = errors.New("changes are served of the configuration only")
)

func (s changesServer) fetch(req *nodev1.FetchChangesRequest) (*nodev1.FetchChangesResponse, error) {
	if req.GetFeed() != wireFeeds[feedConfig] {
		return nil, connect.NewError(connect.CodeInvalidArgument, errOnlyConfig)
	}
	select {
	case s.calls <- struct{}{}:
		defer func() { <-s.calls }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errTooManyCalls)
	}
	from := types.Offset(req.GetFrom())
	u, err := s.since(types.Position{Era: types.Era(req.GetEra()), Offset: from})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if u.Next <= from || u.Since > from {
		return nil, connect.NewError(connect.CodeUnavailable, errNotAhead)
	}
	if updateBytes(u) > maxChangesBytes {
		return nil, connect.NewError(connect.CodeResourceExhausted, errChangesTooBig)
	}
	m := &nodev1.FetchChangesResponse{Era: uint64(u.Era), Since: uint64(u.Since), Next: uint64(u.Next)}
	for _, r := range u.Records {
		m.Records = append(m.Records, &nodev1.Record{Key: r.Key, Value: r.Value, Next: uint64(r.Next), DeltaBase: uint64(r.DeltaBase)})
	}
	return m, nil
}

func updateBytes(u feed.Update) (n int) {
	for _, r := range u.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

func decodeChanges(m *nodev1.FetchChangesResponse) feed.Update {
	u := feed.Update{Era: types.Era(m.GetEra()), Since: types.Offset(m.GetSince()), Next: types.Offset(m.GetNext())}
	for _, r := range m.GetRecords() {
		u.Records = append(u.Records, feed.Record{
			Key: r.GetKey(), Value: r.GetValue(), Next: types.Offset(r.GetNext()), DeltaBase: types.Offset(r.GetDeltaBase()),
		})
	}
	return u
}

// Results of calls for changes.
const (
	changesAsked = iota
	changesReceived
	changesRefused // by the other node
	changesFailed
)

var changesResultNames = []string{changesAsked: "asked", changesReceived: "received", changesRefused: "refused", changesFailed: "failed"}

// changesFetcher requests changes of the configuration from other nodes: one at a time, and two at
// most, as many nodes may need the same change.
type changesFetcher struct {
	log    *logrus.Entry
	client *http.Client
	port   string // of the control addresses of all nodes
	// announcer returns the address of the node that has announced the newest change, and
	// neighbours those of the other nodes of the same data centre.
	announcer  func() (netip.Addr, bool)
	neighbours func() []netip.Addr
	self       netip.Addr
	// returned reports whether the store is known to have returned from an older copy since the start.
	returned func() bool
	count    func(result int)
}

// newChangesFetcher returns the fetcher of a node, or nil if the node has no control address.
func (n *Node) newChangesFetcher() *changesFetcher {
	_, port, err := net.SplitHostPort(n.machine.ControlAddress)
	if err != nil {
		return nil
	}
	return &changesFetcher{
		log: n.log.WithField(fieldSource, feedNames[feedConfig]), client: &http.Client{Transport: newPeerTransport()}, port: port, self: n.machine.IP,
		announcer: func() (netip.Addr, bool) {
			p, ok := n.exchanger.ChangeSource(feedConfig)
			return p.Address.Addr(), ok
		},
		neighbours: n.neighbours, returned: n.exchanger.StoreReturned, count: n.counters.changesCalls.Add,
	}
}

// neighbours returns the addresses of the other nodes of this data centre.
func (n *Node) neighbours() (out []netip.Addr) {
	members := n.peers.Load()
	if members == nil {
		return nil
	}
	for _, m := range *members {
		if m.DataCentre == n.machine.DataCentre {
			out = append(out, m.Address.Addr())
		}
	}
	return out
}

// errNoPeer reports that there is no other node from which changes can be requested.
var errNoPeer = errors.New("no other node to request changes from")

// fetch is the FetchMissing function of feed.Schedule.
func (f *changesFetcher) fetch(ctx context.Context, from types.Position) (feed.Update, error) {
	err := errNoPeer
	for _, a := range f.candidates() {
		var u feed.Update
		if u, err = f.fetchFrom(ctx, a, from); err == nil {
			return u, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return feed.Update{}, err
}

// candidates returns the nodes to ask: the one that has announced the change, then a random one of
// the same data centre.
func (f *changesFetcher) candidates() (out []netip.Addr) {
	if a, ok := f.announcer(); ok && a != f.self {
		out = append(out, a)
	}
	all := f.neighbours()
	for _, i := range rand.Perm(len(all)) {
		if a := all[i]; a != f.self && (len(out) == 0 || a != out[0]) {
			return append(out, a)
		}
	}
	return out
}

func (f *changesFetcher) fetchFrom(ctx context.Context, peer netip.Addr, at types.Position) (feed.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	began, from := time.Now(), at.Offset
	f.count(changesAsked)
	address := net.JoinHostPort(peer.String(), f.port)
	// Changes are deltas, which do not compress.
	c := nodev1connect.NewNodeServiceClient(f.client, "http://"+address, connect.WithReadMaxBytes(2*maxChangesBytes), connect.WithAcceptCompression("gzip", nil, nil))
	resp, err := c.FetchChanges(ctx, connect.NewRequest(&nodev1.FetchChangesRequest{Feed: wireFeeds[feedConfig], Era: uint64(at.Era), From: uint64(from)}))
	var u feed.Update
	if err == nil {
		u = decodeChanges(resp.Msg)
		switch {
		case u.Since > from || u.Next <= from:
			err = fmt.Errorf("changes from offset %d to %d do not continue at %d", u.Since, u.Next, from)
		case u.Era != at.Era && (u.Era != 0 || f.returned()):
			// A node of an earlier release states no era. Its offsets count until a return is known.
			err = fmt.Errorf("changes of era %d, this node has listed era %d: %w", u.Era, at.Era, mirror.ErrOtherEra)
		}
	}
	result := changesReceived
	switch {
	case connect.IsWireError(err):
		result = changesRefused
	case err != nil:
		result = changesFailed
	}
	f.count(result)
	e := f.log.WithFields(logrus.Fields{
		fieldPeer: address, fieldResult: changesResultNames[result], fieldElapsed: millis(time.Since(began)), fieldAppliedOffset: from,
		fieldOffset: u.Next, fieldRecords: len(u.Records), fieldBytes: updateBytes(u),
	})
	if err != nil {
		e = e.WithError(err)
	}
	e.Info("changes requested from another node")
	return u, err
}

const (
	fieldPeer   = "peer"
	fieldResult = "result"
)
