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
	// heartbeatLocal and heartbeatRemote are the times between two messages to a
	// daemon of the same data centre and of another one. A message to another
	// data centre carries the loads of all targets and is sent less often.
	heartbeatLocal  = time.Second
	heartbeatRemote = 3 * time.Second
	// missedHeartbeats is how many are missed before a stream counts as stalled.
	missedHeartbeats = 3
	fetchTimeout     = 2 * time.Second
	watchPause       = 500 * time.Millisecond
)

type peerClient struct {
	Peer
	peer peerv1connect.PeerServiceClient
	view peerv1connect.ViewServiceClient
}

func newPeerClients(peers []Peer, listen string, traffic *daemon.Traffic) []peerClient {
	dialer := daemon.Dialer(listen, fetchTimeout)
	h := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return traffic.Conn(conn), nil
		},
	}}
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

// peerWatcher follows the state of all peers of this data centre and of one
// peer of each other data centre. So the number of streams of a daemon grows
// with the daemons of its data centre plus the number of data centres, not
// with the number of all daemons.
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
			go w.watchOne(ctx, c)
			continue
		}
		remote[c.DataCentre] = append(remote[c.DataCentre], c)
	}
	for dc, clients := range remote {
		go w.watchAny(ctx, dc, clients)
	}
}

// watchOne watches one peer again and again until the context ends.
func (w *peerWatcher) watchOne(ctx context.Context, c peerClient) {
	for {
		err := w.watch(ctx, c, heartbeatLocal)
		w.log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("peer stream ended")
		if !daemon.Sleep(ctx, watchPause) {
			return
		}
	}
}

// watchAny watches one peer of another data centre and moves on to the next
// when its stream ends. Daemons begin with different peers, which spreads the
// streams.
func (w *peerWatcher) watchAny(ctx context.Context, dc string, clients []peerClient) {
	names := make([]types.VMID, len(clients))
	for i, c := range clients {
		names[i] = vmID(c.VM)
	}
	first := slices.Index(names, membership.Best(names, w.vm+" "+dc))
	for i := first; ; i++ {
		c := clients[i%len(clients)]
		err := w.watch(ctx, c, heartbeatRemote)
		w.log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("peer stream ended")
		if !daemon.Sleep(ctx, watchPause) {
			return
		}
	}
}

// watch reads one stream until it ends or is stalled.
func (w *peerWatcher) watch(ctx context.Context, c peerClient, heartbeat time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(missedHeartbeats*heartbeat, cancel)
	defer stalled.Stop()
	stream, err := c.peer.WatchPeer(ctx, connect.NewRequest(&peerv1.WatchPeerRequest{Vm: w.vm, DataCentre: string(w.dc)}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	var from membership.Peer
	for stream.Receive() {
		stalled.Reset(missedHeartbeats * heartbeat)
		if s := stream.Msg(); from.VM == "" {
			from = membership.Peer{VM: vmID(s.GetVm()), DataCentre: types.DataCentreID(s.GetDataCentre()), Incarnation: s.GetIncarnation()}
		}
		w.observe(from, stream.Msg(), time.Now())
	}
	return stream.Err()
}

// maxNames bounds the names in one message of a peer.
const maxNames = 4096

// observe folds the state that a peer sent.
func (w *peerWatcher) observe(from membership.Peer, s *peerv1.PeerState, now time.Time) {
	if from.VM == "" || len(s.GetLeaving()) > maxNames || len(s.GetDaemons()) > maxNames {
		w.log.Warn("message of a peer is not valid; it is dropped")
		return
	}
	from.Revision, from.LastSeen, from.Stopping = types.Revision(s.GetRevision()), now, s.GetStopping()
	w.fleet.heard(from, s.GetLeaving())
	if d := s.GetLoads(); d != nil {
		w.fleet.putDigest(w.config(), d, now)
	}
	w.fleet.setDemand(from, s.GetDemand())
	w.fleet.setNamed(from.VM, namedDaemons(s, from.DataCentre))
}

func namedDaemons(s *peerv1.PeerState, dc types.DataCentreID) []DaemonStatus {
	out := make([]DaemonStatus, 0, len(s.GetDaemons()))
	for _, d := range s.GetDaemons() {
		age := time.Duration(d.GetAgeMs()) * time.Millisecond
		out = append(out, DaemonStatus{vmID(d.GetVm()), dc, types.Revision(d.GetRevision()), age, d.GetKind()})
	}
	return out
}

// startFromPeer takes a newer configuration from a peer. It returns when one
// was loaded, when all peers were asked, or when the context ends.
func startFromPeer(ctx context.Context, clients []peerClient, config *ConfigLog, log *logrus.Entry) {
	for _, c := range clients {
		if ctx.Err() != nil {
			return
		}
		loaded, err := fetch(ctx, c, config)
		if err != nil {
			log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("no snapshot from this peer")
			continue
		}
		if loaded {
			log.WithField(daemon.FieldRevision, config.Config().Revision).Info("took a peer's snapshot")
			return
		}
	}
}

func fetch(ctx context.Context, c peerClient, config *ConfigLog) (loaded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
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

// catchUp takes the configuration from a peer that is ahead while this daemon
// makes no progress of its own: the log does not answer it, or records have
// expired before it read them. It is called once per catchUpEvery.
func (d *Daemon) catchUp(ctx context.Context) {
	own := d.config.Config().Revision
	stuck := own == d.lastRevision
	d.lastRevision = own
	ahead := d.fleet.ahead(own)
	var ask []peerClient
	for _, c := range d.peers.clients {
		if (stuck && ahead[vmID(c.VM)]) || d.config.Scanning() {
			ask = append(ask, c)
		}
	}
	startFromPeer(ctx, ask, d.config, d.log)
}

// encodeSnapshot encodes a snapshot for peers and entry daemons.
func encodeSnapshot(s *configuration.Snapshot) ([]byte, error) { return records.EncodeSnapshot(s) }
