package control

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// heartbeatLocal and heartbeatRemote are the intervals between messages to a
	// daemon in the same data centre and in another one. A message to another data
	// centre carries the loads of all targets and is sent less often.
	heartbeatLocal  = time.Second
	heartbeatRemote = 3 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a message
	// after which a stream counts as stalled.
	maxMissedHeartbeats = 3
	// fetchTimeout is the time without data after which a snapshot's peer counts as unresponsive.
	fetchTimeout = 2 * time.Second
	// maxFetchTime bounds the transfer of one snapshot.
	maxFetchTime       = 30 * time.Second
	watchRetryInterval = 500 * time.Millisecond
)

type peerClient struct {
	Peer
	peer peerv1connect.PeerServiceClient
	view peerv1connect.ViewServiceClient
}

func newPeerClients(peers []Peer, listen string, traffic *daemon.Traffic) []peerClient {
	dialer := daemon.Dialer(listen, fetchTimeout)
	h := &http.Client{Transport: wire.ProgressTransport{RoundTripper: wire.CheckedTransport{RoundTripper: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return traffic.Conn(conn), nil
		},
	}}}}
	out := make([]peerClient, 0, len(peers))
	for _, p := range peers {
		out = append(out, peerClient{
			Peer: p,
			peer: peerv1connect.NewPeerServiceClient(h, "http://"+p.Address, wire.NoCompression()),
			view: peerv1connect.NewViewServiceClient(h, "http://"+p.Address, wire.NoCompression()),
		})
	}
	return out
}

// peerWatcher receives the state of all peers in this data centre and of one peer in
// each other data centre. Thus the number of streams of a daemon grows with the
// daemons in its data centre plus the number of data centres, not with the number of
// all daemons.
type peerWatcher struct {
	vm      string
	dc      types.DataCentreID
	log     *logrus.Entry
	fleet   *fleetState
	config  func() *configuration.Config
	clients []peerClient
}

func (w *peerWatcher) run(ctx context.Context) {
	remote := map[string][]peerClient{}
	for _, c := range w.clients {
		if c.DataCentre == string(w.dc) {
			go w.watchLocalPeer(ctx, c)
			continue
		}
		remote[c.DataCentre] = append(remote[c.DataCentre], c)
	}
	for dc, clients := range remote {
		go w.watchDataCentre(ctx, dc, clients)
	}
}

// watchLocalPeer watches one peer of this data centre until the context ends. It
// opens a new stream when one ends.
func (w *peerWatcher) watchLocalPeer(ctx context.Context, c peerClient) {
	for {
		err := w.watch(ctx, c, heartbeatLocal)
		w.log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("peer stream ended")
		if !daemon.Sleep(ctx, watchRetryInterval) {
			return
		}
	}
}

// watchDataCentre watches one peer of another data centre at a time and moves on to
// the next one when its stream ends. Daemons start with different peers, which
// distributes the streams.
func (w *peerWatcher) watchDataCentre(ctx context.Context, dc string, clients []peerClient) {
	names := make([]types.VMID, len(clients))
	for i, c := range clients {
		names[i] = vmID(c.VM)
	}
	first := slices.Index(names, membership.Best(names, w.vm+" "+dc))
	for i := first; ; i++ {
		c := clients[i%len(clients)]
		err := w.watch(ctx, c, heartbeatRemote)
		w.log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("peer stream ended")
		if !daemon.Sleep(ctx, watchRetryInterval) {
			return
		}
	}
}

// watch receives the messages of one stream until it ends or stalls.
func (w *peerWatcher) watch(ctx context.Context, c peerClient, heartbeat time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(maxMissedHeartbeats*heartbeat, cancel)
	defer stalled.Stop()
	stream, err := c.peer.WatchPeer(ctx, connect.NewRequest(&peerv1.WatchPeerRequest{Vm: w.vm, DataCentre: string(w.dc)}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	var from membership.Peer
	for stream.Receive() {
		stalled.Reset(maxMissedHeartbeats * heartbeat)
		if s := stream.Msg(); from.VM == "" {
			from = membership.Peer{VM: vmID(s.GetVm()), DataCentre: types.DataCentreID(s.GetDataCentre()), Incarnation: s.GetIncarnation()}
		}
		w.observe(from, stream.Msg(), time.Now())
	}
	return stream.Err()
}

// maxListedNames bounds the length of each list of targets or daemons in a peer's message.
const maxListedNames = 4096

// observe stores the state that a peer sent.
func (w *peerWatcher) observe(from membership.Peer, s *peerv1.PeerState, now time.Time) {
	if from.VM == "" || len(s.GetLeaving()) > maxListedNames || len(s.GetDaemons()) > maxListedNames {
		w.log.Warn("dropped an invalid peer message: no VM name or too many entries")
		return
	}
	from.Revision, from.LastSeen, from.Stopping = types.Revision(s.GetRevision()), now, s.GetStopping()
	w.fleet.recordPeer(from, s.GetLeaving())
	if d := s.GetLoads(); d != nil {
		w.fleet.putDigest(w.config(), d, now)
	}
	w.fleet.setPeerDemand(from, s.GetDemand())
	w.fleet.setPeerDaemons(from.VM, peerDaemons(s, from.DataCentre))
}

func peerDaemons(s *peerv1.PeerState, dc types.DataCentreID) []DaemonStatus {
	out := make([]DaemonStatus, 0, len(s.GetDaemons()))
	for _, d := range s.GetDaemons() {
		age := time.Duration(d.GetAgeMs()) * time.Millisecond
		out = append(out, DaemonStatus{vmID(d.GetVm()), dc, types.Revision(d.GetRevision()), age, d.GetKind()})
	}
	return out
}

// loadFromPeers loads a newer configuration from a peer. It returns when one was
// loaded, when all peers were queried, or when the context ends.
func loadFromPeers(ctx context.Context, clients []peerClient, config *ConfigLog, log *logrus.Entry) {
	for _, c := range clients {
		if ctx.Err() != nil {
			return
		}
		loaded, err := loadFromPeer(ctx, c, config)
		if err != nil {
			log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("fetching a configuration snapshot from a peer failed")
			continue
		}
		if loaded {
			log.WithField(daemon.FieldRevision, config.Config().Revision).Info("loaded a configuration snapshot from a peer")
			return
		}
	}
}

func loadFromPeer(ctx context.Context, c peerClient, config *ConfigLog) (loaded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxFetchTime)
	defer cancel()
	stalled := time.AfterFunc(fetchTimeout, cancel)
	defer stalled.Stop()
	ctx = wire.WithProgress(ctx, func() { stalled.Reset(fetchTimeout) })
	resp, err := c.peer.FetchSnapshot(ctx, connect.NewRequest(&peerv1.FetchSnapshotRequest{}))
	if err != nil {
		return false, err
	}
	rec, err := records.DecodeConfiguration(resp.Msg.GetConfiguration())
	if err != nil || rec.Snapshot == nil {
		return false, err
	}
	return config.LoadSnapshot(rec.Snapshot), nil
}

// catchUp loads the configuration from a peer with a newer revision while this
// daemon makes no progress with the log: the log does not respond, or records expired
// before they were read. It is called once per catchUpInterval.
func (d *Daemon) catchUp(ctx context.Context) {
	revision := d.config.Config().Revision
	noProgress := revision == d.lastRevision
	d.lastRevision = revision
	ahead := d.fleet.peersAhead(revision)
	var sources []peerClient
	for _, c := range d.peers.clients {
		if (noProgress && ahead[vmID(c.VM)]) || d.config.Scanning() {
			sources = append(sources, c)
		}
	}
	loadFromPeers(ctx, sources, d.config, d.log)
}

// encodeSnapshot encodes a snapshot for peers and entry daemons.
func encodeSnapshot(s *configuration.Snapshot) ([]byte, error) { return records.EncodeSnapshot(s) }
