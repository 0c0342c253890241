package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/carriers"
	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/peerauth"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/types"
)

// forwarder sends requests through other nodes while this one has lost its links to the targets. It
// implements gateway.Peers.
type forwarder struct {
	// lost reports whether the links to the targets are lost.
	lost    func() bool
	chooser *carriers.Chooser
	client  *platform.Peers
	// addresses holds the addresses of the carriers.
	addresses atomic.Pointer[map[types.VMID]netip.AddrPort]
}

func newForwarder(self types.VMID, dataCentre types.DataCentreID, auth platform.PeerAuthenticator, lost func() bool) *forwarder {
	f := &forwarder{lost: lost, chooser: carriers.New(carriers.Settings{DataCentre: dataCentre})}
	f.addresses.Store(&map[types.VMID]netip.AddrPort{})
	f.client = platform.NewPeers(self, f.address, auth)
	return f
}

// setCarriers replaces the nodes that accept requests.
func (f *forwarder) setCarriers(all []loadshare.Carrier) {
	addresses := make(map[types.VMID]netip.AddrPort, len(all))
	candidates := make([]carriers.Carrier, len(all))
	for i, c := range all {
		addresses[c.Name] = c.Address
		candidates[i] = carriers.Carrier{Name: c.Name, DataCentre: c.DataCentre, Address: c.Address, Cores: c.Cores, Requests: c.Requests}
	}
	f.addresses.Store(&addresses)
	f.chooser.Update(candidates)
}

func (f *forwarder) address(to types.VMID) (string, bool) {
	a, ok := (*f.addresses.Load())[to]
	return a.String(), ok
}

// TargetsLost implements gateway.Peers.
func (f *forwarder) TargetsLost() bool { return f.lost() }

// Choose implements gateway.Peers.
func (f *forwarder) Choose(_ *gateway.Request, tried []types.VMID) (types.VMID, bool) {
	c, ok := f.chooser.Pick(rand.Uint64(), tried, clock.Now())
	return c.Name, ok
}

// errCarrierTaken reports a carrier that has become unavailable since it was chosen.
var errCarrierTaken = errors.New("node accepts no request of this node at present")

// Send implements gateway.Peers.
func (f *forwarder) Send(ctx context.Context, to types.VMID, c *gateway.PeerCall) (gateway.Response, error) {
	attempt, ok := f.chooser.Begin(to, clock.Now())
	if !ok {
		return nil, errors.Join(gateway.ErrNotSent, errCarrierTaken)
	}
	resp, err := f.client.Send(ctx, to, c, func() { attempt.End(carriers.Carried, clock.Now()) })
	if err != nil {
		attempt.End(carrierResult(ctx, err), clock.Now())
		return nil, err
	}
	attempt.Accepted()
	return resp, nil
}

// carrierResult returns what a failed attempt says about its carrier.
func carrierResult(ctx context.Context, err error) carriers.Result {
	var refusal *gateway.PeerRefusal
	switch {
	case errors.As(err, &refusal) && refusal.ConcernsPeer():
		return carriers.Refused
	case errors.As(err, &refusal):
		return carriers.Carried
	case ctx.Err() != nil:
		return carriers.Abandoned
	}
	return carriers.Unreachable
}

// joinPeers prepares the forwarding of requests to other nodes and of theirs to this one.
func (n *Node) joinPeers() (err error) {
	if n.identity, err = peerauth.NewIdentity(n.machine.VM); err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	n.authenticator = peerauth.NewPeers(n.identity)
	n.forwarder = newForwarder(n.machine.VM, n.machine.DataCentre, n.authenticator, n.link.Lost)
	n.exchanger.HandleCarriers(n.forwarder.setCarriers)
	n.exchanger.SetCarrying(n.carrying)
	return nil
}

// carrying reports whether this node accepts requests of others: it serves, and reaches the targets.
func (n *Node) carrying() bool { return n.ready() && !n.link.Lost() }

// setPeerKeys replaces the public keys by which the other nodes are authenticated. A node that has
// left the list is stopping and still forwards requests until it ends.
func (n *Node) setPeerKeys(members []Member) {
	now := time.Now()
	keys := make(map[types.VMID]peerKey, len(members))
	for name, k := range n.peerKeys {
		if k.until.IsZero() {
			k.until = now.Add(n.machine.StopGracePeriod)
		}
		if now.Before(k.until) {
			keys[name] = k
		}
	}
	for _, m := range members {
		keys[m.VM] = peerKey{key: m.Key}
	}
	n.peerKeys = keys
	public := make(map[types.VMID]string, len(keys))
	for name, k := range keys {
		public[name] = k.key
	}
	if err := n.authenticator.Set(public); err != nil {
		n.log.WithError(err).Error("invalid public keys of nodes; their requests are refused")
	}
}

// peerKey is the public key of another node. until is when it ends for one that has left the list.
type peerKey struct {
	key   string
	until time.Time
}
