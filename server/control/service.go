package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

// viewInterval is the time between two load messages to an entry daemon. Targets
// report once a second; a shorter interval takes another 0.3% of a core at 370 targets.
const viewInterval = 500 * time.Millisecond

// viewService implements the ViewService of the peer protocol.
type viewService struct{ d *Daemon }

// WatchView implements peerv1connect.ViewServiceHandler.
func (s viewService) WatchView(ctx context.Context, req *connect.Request[peerv1.WatchViewRequest], stream *connect.ServerStream[peerv1.View]) error {
	sent := types.Revision(req.Msg.GetRevision())
	tick := time.NewTicker(viewInterval)
	defer tick.Stop()
	for {
		changed := s.d.config.Changed()
		v, err := s.d.view(sent, time.Now())
		if err != nil {
			return connect.NewError(connect.CodeInternal, err)
		}
		if err := stream.Send(v); err != nil {
			return err
		}
		sent = max(sent, types.Revision(v.GetRevision()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.d.stopping:
			return connect.NewError(connect.CodeUnavailable, errors.New("control daemon is stopping"))
		case <-changed:
		case <-tick.C:
		}
	}
}

// view returns the message for an entry daemon that was sent the configuration up to
// revision sent. It contains the configuration if that is newer.
func (d *Daemon) view(sent types.Revision, now time.Time) (*peerv1.View, error) {
	snap := d.config.Snapshot()
	v := &peerv1.View{
		Revision: uint64(snap.Config.Revision), Loads: d.fleet.digests(snap.Config, now), Leaving: d.fleet.leavingTargets(snap.Config, now),
	}
	if snap.Config.Revision > sent {
		b, err := encodeSnapshot(snap)
		if err != nil {
			return nil, err
		}
		v.Configuration = b
	}
	return v, nil
}

// ReportLoad implements peerv1connect.ViewServiceHandler.
func (s viewService) ReportLoad(_ context.Context, req *connect.Request[peerv1.ReportLoadRequest]) (*connect.Response[peerv1.ReportLoadResponse], error) {
	s.d.entryDaemons.report(req.Msg, time.Now())
	return connect.NewResponse(&peerv1.ReportLoadResponse{}), nil
}

// ClaimKey implements peerv1connect.ViewServiceHandler.
func (s viewService) ClaimKey(ctx context.Context, req *connect.Request[peerv1.ClaimKeyRequest]) (*connect.Response[peerv1.ClaimKeyResponse], error) {
	m := req.Msg
	key := wire.FromKey(m.GetKey())
	if key.Key == "" || m.GetAttempt() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("key or attempt is missing"))
	}
	home := s.d.homeOfKey(key)
	if home != s.d.dc && !m.GetForwarded() {
		return s.forwardClaim(ctx, home, m)
	}
	v, a, err := s.d.keys.Claim(ctx, key, m.GetAttempt(), m.GetDigest())
	if err != nil {
		return connect.NewResponse(&peerv1.ClaimKeyResponse{Verdict: peerv1.KeyVerdict_KEY_VERDICT_UNAVAILABLE}), nil
	}
	return connect.NewResponse(&peerv1.ClaimKeyResponse{Verdict: toWireVerdict(v), Answer: wire.ToResponse(a)}), nil
}

func toWireVerdict(v idempotency.Verdict) peerv1.KeyVerdict {
	switch v {
	case idempotency.VerdictRun:
		return peerv1.KeyVerdict_KEY_VERDICT_RUN
	case idempotency.VerdictInProgress:
		return peerv1.KeyVerdict_KEY_VERDICT_IN_PROGRESS
	case idempotency.VerdictCompleted:
		return peerv1.KeyVerdict_KEY_VERDICT_COMPLETED
	case idempotency.VerdictConflict:
		return peerv1.KeyVerdict_KEY_VERDICT_CONFLICT
	case idempotency.VerdictUnknown:
		return peerv1.KeyVerdict_KEY_VERDICT_UNKNOWN
	case idempotency.VerdictLogDown:
		return peerv1.KeyVerdict_KEY_VERDICT_LOG_DOWN
	}
	return peerv1.KeyVerdict_KEY_VERDICT_UNAVAILABLE
}

// forwardClaim forwards a claim to the control daemons in the key's home data centre.
// Two of them may receive the claim of the same attempt without harm.
func (s viewService) forwardClaim(ctx context.Context, home types.DataCentreID, m *peerv1.ClaimKeyRequest) (*connect.Response[peerv1.ClaimKeyResponse], error) {
	out := &peerv1.ClaimKeyRequest{Key: m.GetKey(), Attempt: m.GetAttempt(), Digest: m.GetDigest(), Forwarded: true}
	resp, err := queryPeers(ctx, s.d.livePeersFirst(home), func(ctx context.Context, c peerClient) (*connect.Response[peerv1.ClaimKeyResponse], error) {
		return c.view.ClaimKey(ctx, connect.NewRequest(out))
	})
	if err != nil {
		return connect.NewResponse(&peerv1.ClaimKeyResponse{Verdict: peerv1.KeyVerdict_KEY_VERDICT_UNAVAILABLE}), nil
	}
	return resp, nil
}

var errNoPeer = errors.New("no control daemon is configured in the key's home data centre")

// queryPeers calls one peer after the other until one responds. Each gets three
// quarters of the remaining time, so that an unresponsive peer leaves time to try
// another. A claim takes up to two batch periods: with half of the remaining time at
// each of two steps, the first claims of a data centre missed their deadline of 2 s.
func queryPeers[T any](ctx context.Context, peers []peerClient, call func(context.Context, peerClient) (T, error)) (resp T, err error) {
	err = errNoPeer
	for _, c := range peers {
		if resp, err = queryPeer(ctx, c, call); err == nil || ctx.Err() != nil {
			break
		}
	}
	return resp, err
}

func queryPeer[T any](ctx context.Context, c peerClient, call func(context.Context, peerClient) (T, error)) (T, error) {
	if d, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(d)*3/4)
		defer cancel()
	}
	return call(ctx, c)
}

// livePeersFirst returns the peers in a data centre, live ones before the others.
func (d *Daemon) livePeersFirst(dc types.DataCentreID) []peerClient {
	live := d.fleet.livePeers(dc, time.Now())
	peers := d.clientsIn(dc)
	slices.SortStableFunc(peers, func(a, b peerClient) int {
		return cmp.Compare(slices.Index(live, types.VMID(b.VM)), slices.Index(live, types.VMID(a.VM)))
	})
	return peers
}

// FinishKey implements peerv1connect.ViewServiceHandler.
func (s viewService) FinishKey(ctx context.Context, req *connect.Request[peerv1.FinishKeyRequest]) (*connect.Response[peerv1.FinishKeyResponse], error) {
	m := req.Msg
	key := wire.FromKey(m.GetKey())
	kind, ok := keyEnds[m.GetEnd()]
	if !ok || key.Key == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("end %v of key %q is not valid", m.GetEnd(), key.Key))
	}
	if home := s.d.homeOfKey(key); home != s.d.dc && !m.GetForwarded() {
		return s.forwardFinish(ctx, home, m)
	}
	err := s.d.keys.Finish(ctx, idempotency.Record{Kind: kind, Key: key, Attempt: m.GetAttempt(), Response: wire.FromResponse(m.GetAnswer())})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.FinishKeyResponse{}), nil
}

var keyEnds = map[peerv1.KeyEnd]idempotency.Kind{
	peerv1.KeyEnd_KEY_END_RELEASED:  idempotency.KindReleased,
	peerv1.KeyEnd_KEY_END_COMPLETED: idempotency.KindCompleted,
	peerv1.KeyEnd_KEY_END_UNKNOWN:   idempotency.KindUnknown,
}

func (s viewService) forwardFinish(ctx context.Context, home types.DataCentreID, m *peerv1.FinishKeyRequest) (*connect.Response[peerv1.FinishKeyResponse], error) {
	out := &peerv1.FinishKeyRequest{Key: m.GetKey(), Attempt: m.GetAttempt(), End: m.GetEnd(), Answer: m.GetAnswer(), Forwarded: true}
	resp, err := queryPeers(ctx, s.d.livePeersFirst(home), func(ctx context.Context, c peerClient) (*connect.Response[peerv1.FinishKeyResponse], error) {
		return c.view.FinishKey(ctx, connect.NewRequest(out))
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return resp, nil
}

// homeOfKey returns the home of a key in the current configuration.
func (d *Daemon) homeOfKey(k idempotency.Key) types.DataCentreID {
	_, dcs := d.keyHomes()
	return homeOf(k, dcs)
}

// keyHomes returns the data centres that keys are distributed over, sorted, and the
// configuration revision that they are taken from.
func (d *Daemon) keyHomes() (types.Revision, []types.DataCentreID) {
	c := d.config.Config()
	return c.Revision, slices.Sorted(maps.Keys(c.DataCentres()))
}

func (d *Daemon) keyDeps() keyDeps {
	return keyDeps{
		writer: d.remoteKeyWriter, homes: d.keyHomes,
		runsWithoutLog: func(s types.ServiceID) bool { return d.config.Config().Services[s].Value.RunWithoutLog },
	}
}

// remoteKeyWriter returns the lease holder of the data centre, which appends the key
// records of all its daemons, or nil if that is this daemon, is unknown or is not
// live.
func (d *Daemon) remoteKeyWriter() peerv1connect.PeerServiceClient {
	l := d.lease.status.Load()
	if !l.HasHolder || !slices.Contains(d.fleet.livePeers(d.dc, time.Now()), l.Holder.VM) {
		return nil
	}
	for _, c := range d.clientsIn(d.dc) {
		if types.VMID(c.VM) == l.Holder.VM {
			return c.peer
		}
	}
	return nil
}

// peerService implements the PeerService of the peer protocol.
type peerService struct{ d *Daemon }

// WatchPeer implements peerv1connect.PeerServiceHandler.
func (s peerService) WatchPeer(ctx context.Context, req *connect.Request[peerv1.WatchPeerRequest], stream *connect.ServerStream[peerv1.PeerState]) error {
	local := types.DataCentreID(req.Msg.GetDataCentre()) == s.d.dc
	interval := heartbeatRemote
	if local {
		interval = heartbeatLocal
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for first := true; ; first = false {
		if err := stream.Send(s.d.peerState(first, local, time.Now())); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.d.stopping:
			_ = stream.Send(s.d.peerState(false, local, time.Now()))
			return connect.NewError(connect.CodeUnavailable, errors.New("control daemon is stopping"))
		case <-tick.C:
		}
	}
}

// FetchSnapshot implements peerv1connect.PeerServiceHandler.
func (s peerService) FetchSnapshot(context.Context, *connect.Request[peerv1.FetchSnapshotRequest]) (*connect.Response[peerv1.FetchSnapshotResponse], error) {
	snap := s.d.config.Snapshot()
	b, err := encodeSnapshot(snap)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.FetchSnapshotResponse{Revision: uint64(snap.Config.Revision), Configuration: b}), nil
}

// AppendKeys implements peerv1connect.PeerServiceHandler. The batches are appended
// together with those of other daemons, once per batch interval.
func (s peerService) AppendKeys(ctx context.Context, req *connect.Request[peerv1.AppendKeysRequest]) (*connect.Response[peerv1.AppendKeysResponse], error) {
	batches := req.Msg.GetBatches()
	if len(batches) == 0 || len(batches) > maxAppendBatches {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("batches: %d given, 1 to %d are allowed", len(batches), maxAppendBatches))
	}
	if err := s.d.keys.localWriter.Append(ctx, batches); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.AppendKeysResponse{}), nil
}
