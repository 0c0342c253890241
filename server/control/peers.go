package control

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/panjf2000/ants/v2"
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
	exchangeEvery   = time.Second
	exchangeTimeout = 2 * time.Second
)

type peerClient struct {
	Peer
	peer peerv1connect.PeerServiceClient
	view peerv1connect.ViewServiceClient
}

// exchanger sends a heartbeat with load digests to all peers once a second.
type exchanger struct {
	log     *logrus.Entry
	pool    *ants.Pool
	fleet   *fleetState
	clients []peerClient
	state   func(now time.Time) *peerv1.PeerState
}

func newPeerClients(peers []Peer) []peerClient {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
	out := make([]peerClient, 0, len(peers))
	for _, p := range peers {
		out = append(out, peerClient{
			Peer: p,
			peer: peerv1connect.NewPeerServiceClient(h, "http://"+p.Address),
			view: peerv1connect.NewViewServiceClient(h, "http://"+p.Address),
		})
	}
	return out
}

func (e *exchanger) run(ctx context.Context) {
	tick := time.NewTicker(exchangeEvery)
	defer tick.Stop()
	for {
		e.exchangeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (e *exchanger) exchangeAll(ctx context.Context) {
	s := e.state(time.Now())
	for _, c := range e.clients {
		// A full pool drops this exchange; the next tick sends another.
		_ = e.pool.Submit(func() { e.exchange(ctx, c, s) })
	}
}

func (e *exchanger) exchange(ctx context.Context, c peerClient, s *peerv1.PeerState) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := c.peer.Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{State: s}))
	if err != nil {
		e.log.WithError(err).WithField(daemon.FieldAddress, c.Address).Debug("peer does not answer")
		return
	}
	observePeer(e.fleet, resp.Msg.GetState(), time.Now())
}

// observePeer folds the state that a peer sent.
func observePeer(f *fleetState, s *peerv1.PeerState, now time.Time) {
	if s.GetVm() == "" || len(s.GetLoads()) > wire.MaxLoads {
		return
	}
	f.heard(membership.Peer{
		VM: types.VMID(s.GetVm()), DataCentre: types.DataCentreID(s.GetDataCentre()), Incarnation: s.GetIncarnation(),
		Revision: types.Revision(s.GetRevision()), LastSeen: now, Stopping: s.GetStopping(),
	})
	for _, l := range s.GetLoads() {
		if id, r, ok := wire.FromLoad(l, now); ok {
			f.put(id, r, false)
		}
	}
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
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := c.peer.FetchSnapshot(ctx, connect.NewRequest(&peerv1.FetchSnapshotRequest{}))
	if err != nil {
		return false, err
	}
	rec, err := records.DecodeConfiguration(resp.Msg.GetConfiguration())
	if err != nil || rec.Snapshot == nil {
		return false, err
	}
	return config.Load(rec.Snapshot), nil
}

// catchUp takes the configuration from a peer that is ahead while this daemon
// makes no progress of its own: the log does not answer it, or records have
// expired before it read them. It is called once per catchUpEvery.
func (d *Daemon) catchUp(ctx context.Context) {
	own := d.config.Config().Revision
	stuck := own == d.lastRevision
	d.lastRevision = own
	ahead := map[string]bool{}
	for _, p := range d.fleet.allPeers() {
		ahead[string(p.VM)] = p.Revision > own
	}
	var ask []peerClient
	for _, c := range d.peers.clients {
		if (stuck && ahead[c.VM]) || d.config.Scanning() {
			ask = append(ask, c)
		}
	}
	startFromPeer(ctx, ask, d.config, d.log)
}

// encodeSnapshot encodes a snapshot for peers and entry daemons.
func encodeSnapshot(s *configuration.Snapshot) ([]byte, error) { return records.EncodeSnapshot(s) }
