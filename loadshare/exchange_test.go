package loadshare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

// virtualNet connects exchangers in virtual time.
type virtualNet struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	loss   float64 // share of lost datagrams
	conns  map[netip.AddrPort]*virtualConn
	silent map[netip.AddrPort]bool // neither send nor receive
	// ordered keeps the order of the datagrams to one address, as a network does on one path.
	// Otherwise those sent at the same time are delivered in any order.
	ordered bool
}

const virtualLatency = time.Millisecond

// virtualConn implements Conn.
type virtualConn struct {
	net     *virtualNet
	address netip.AddrPort
	inbox   chan []byte
	transit [][]byte // datagrams on their way in an ordered network, in the order of sending
	closed  chan struct{}
	once    sync.Once
	sent    int // datagrams
	arrived int // datagrams that were sent to the address, delivered or not
}

func (c *virtualConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.inbox:
		return copy(b, d), netip.AddrPort{}, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c *virtualConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	c.sent++
	peer := n.conns[to]
	if peer != nil {
		peer.arrived++
	}
	if peer == nil || n.silent[to] || n.silent[c.address] || n.rnd.Float64() < n.loss {
		return len(b), nil
	}
	data := append([]byte(nil), b...)
	if n.ordered {
		peer.transit = append(peer.transit, data)
	}
	time.AfterFunc(virtualLatency, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.ordered {
			data, peer.transit = peer.transit[0], peer.transit[1:]
		}
		select {
		case peer.inbox <- data:
		default:
		}
	})
	return len(b), nil
}

func (c *virtualConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (n *virtualNet) silence(address netip.AddrPort, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = silent
}

// received returns the number of datagrams that were sent to an address.
func (n *virtualNet) received(address netip.AddrPort) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[address].arrived
}

// virtualFleet is a fleet of exchangers that know the same targets.
type virtualFleet struct {
	net        *virtualNet
	peers      []Peer
	exchangers []*Exchanger
	conns      []*virtualConn
}

const virtualTargets = 20

func startFleet(ctx context.Context, size, dataCentres int, loss float64) *virtualFleet {
	return startFleetIn(ctx, &virtualNet{loss: loss}, size, dataCentres)
}

// startFleetIn starts a fleet in a new network.
func startFleetIn(ctx context.Context, n *virtualNet, size, dataCentres int) *virtualFleet {
	n.rnd, n.conns, n.silent = rand.New(rand.NewPCG(1, 2)), map[netip.AddrPort]*virtualConn{}, map[netip.AddrPort]bool{}
	f := &virtualFleet{net: n}
	for i := range size {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		f.peers = append(f.peers, Peer{Name: types.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: types.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)), Address: a})
		c := &virtualConn{net: n, address: a, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
		n.conns[a] = c
		f.conns = append(f.conns, c)
	}
	for i, p := range f.peers {
		d := directory.New()
		for k := range virtualTargets {
			d.Put(directory.Entry{ID: types.TargetID(fmt.Sprintf("t-%d", k)), Service: "s", StartedAt: 1})
		}
		e := New(string(p.Name), f.conns[i], d, &demand.Table{}, clocktest.Virtual)
		others := append(append([]Peer(nil), f.peers[:i]...), f.peers[i+1:]...)
		e.SetPeers(p, others)
		f.exchangers = append(f.exchangers, e)
		go e.Run(ctx)
	}
	return f
}

func (f *virtualFleet) target(node, k int) *directory.Target {
	return f.exchangers[node].directory.Load().Target(types.TargetID(fmt.Sprintf("t-%d", k)))
}

func (f *virtualFleet) change(node, k int, requests int64) {
	t := f.target(node, k)
	t.Load.Local.Add(directory.Work{Requests: requests})
	f.exchangers[node].NotifyLoadChange(t)
}

// knows reports whether all other nodes see the given work of others on a target.
func (f *virtualFleet) knows(except, k int, requests int64) bool {
	for i := range f.exchangers {
		if i != except && f.target(i, k).Load.Peers.Load().Requests != requests {
			return false
		}
	}
	return true
}

// sentSince returns the largest number of datagrams that a node has sent since the counts in
// before, which it updates.
func (f *virtualFleet) sentSince(before []int) (most int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for i, c := range f.conns {
		most = max(most, c.sent-before[i])
		before[i] = c.sent
	}
	return most
}

// Guards against an exchange whose datagrams per node grow with the number of nodes
// (large/mtc-lentil-large: 195 nodes spent 0.042 of a core each, most of it on 1,200 datagrams
// that each of them received per second), and against load that is known too late.
func TestExchangeIsBounded(t *testing.T) {
	for _, c := range []struct{ size, dataCentres int }{{200, 5}, {1000, 25}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			size, dataCentres := c.size, c.dataCentres
			f := startFleet(ctx, size, dataCentres, 0)
			members := size / dataCentres
			time.Sleep(3 * time.Second)
			before := make([]int, size)
			f.sentSince(before)
			rnd := rand.New(rand.NewPCG(3, 4))
			const seconds, changesPerSecond = 2, 500
			for range seconds * changesPerSecond {
				f.change(rnd.IntN(size), 1+rnd.IntN(virtualTargets-1), int64(1-2*rnd.IntN(2)))
				time.Sleep(time.Second / changesPerSecond)
			}
			// The flush before the period is completed within it.
			limit := int((seconds + maxFlushPause.Seconds()) * DefaultDatagramRate)
			most := f.sentSince(before)
			assert.Assert(t, most <= limit, "%d nodes: a node sends %d datagrams in %d s, limit %d", size, most, seconds, limit)
			f.change(7, 0, 1)
			began := time.Now()
			for !f.knows(7, 0, 1) {
				time.Sleep(time.Millisecond)
				// Two hubs each wait for one flush, which is spread over its datagrams, and
				// the sender for its batch window.
				flush := time.Duration(8*(members+dataCentres)) * time.Second / DefaultDatagramRate
				bound := batchWindow + time.Duration(members)*batchWindowPerMember + 3*max(flush, minRelayedPause) + 5*virtualLatency
				assert.Assert(t, time.Since(began) <= bound, "%d nodes: not known after %s", size, bound)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// Guards against load that is no longer exchanged after the hub of a data centre has failed, against
// hubs that alternate, and against work that remains counted although the message about its end was
// lost.
func TestExchangeSurvivesHubFailureAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, 60, 3, 0.02)
		time.Sleep(3 * time.Second)
		hub := func(from int) types.VMID {
			l := f.exchangers[from].peers.Load()
			if h := f.exchangers[from].hub(l, time.Now()); h != nil {
				return h.Name
			}
			return l.self.Name
		}
		index := func(name types.VMID) (i int) {
			_, err := fmt.Sscanf(string(name), "vm-%d", &i)
			assert.NilError(t, err)
			return i
		}
		first := hub(0)
		for i := 0; i < 60; i += 3 {
			assert.Equal(t, hub(i), first, "the nodes of a data centre agree")
		}
		failed := index(first)
		sender := 0
		if sender == failed {
			sender = 3
		}
		f.net.silence(f.peers[failed].Address, true)
		time.Sleep(hubTimeout + hubHeartbeat)
		assert.Assert(t, hub(sender) != first)
		takeovers := f.exchangers[sender].HubTakeovers()
		f.change(sender, 0, 1)
		time.Sleep(12 * minFullStateInterval)
		for i := range f.exchangers {
			if i != sender && i != failed {
				assert.Equal(t, f.target(i, 0).Load.Peers.Load().Requests, int64(1), "node %d", i)
			}
		}
		assert.Equal(t, f.exchangers[sender].HubTakeovers(), takeovers, "a hub that is still silent is not tried again")
		f.change(sender, 0, -1)
		f.net.silence(f.peers[failed].Address, false)
		time.Sleep(hubSuspicion + 12*minFullStateInterval)
		assert.Equal(t, hub(sender), first, "the first hub is used again")
		assert.Assert(t, f.knows(sender, 0, 0))
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a hub that changes what it forwards: a claim stays that of the node that made it,
// whatever the hub has read itself.
func TestRelayedMessagesAreUnchanged(t *testing.T) {
	s, a := newExchanger(t, "one")
	s.Feed(1).RecordRead(read(now, 50, 40), true)
	change(s, a, directory.Work{Requests: 1})
	sent := s.messages(true)[0]
	h, _ := newExchanger(t, "hub")
	request := append([]byte(nil), sent...)
	request[flagsAt] |= flagRelay
	h.handleDatagram(request, &message{})
	for _, p := range []*bundler{&h.relay.local, &h.relay.remote} {
		datagrams := p.take()
		assert.Equal(t, len(datagrams), 1)
		d, err := decodeBundle(datagrams[0])
		assert.NilError(t, err)
		assert.Equal(t, d.sender, h.self)
		assert.DeepEqual(t, d.messages, [][]byte{sent})
	}
	// A bundle from a remote hub is forwarded within the group only.
	remote := bundler{sender: 9, relay: true, limit: 1}
	remote.add(sent)
	h.handleDatagram(remote.datagrams[0], &message{})
	assert.Equal(t, len(h.relay.local.take()), 1)
	assert.Equal(t, len(h.relay.remote.take()), 0)
}

// Guards against a malformed datagram that ends the exchange.
func TestMalformedDatagramsAreCounted(t *testing.T) {
	e, _ := newExchanger(t, "one")
	p := bundler{sender: 9, limit: 1}
	p.add([]byte("not a message"))
	for _, b := range [][]byte{nil, {magic}, []byte("hello"), p.datagrams[0], append(p.datagrams[0], 200, 200)} {
		e.handleDatagram(b, &message{})
	}
	assert.Equal(t, e.Malformed(), int64(5))
	assert.Equal(t, e.LivePeers(), 0)
}

// Guards against sending each message to all nodes of remote data centres, and against a relay that
// is not live.
func TestRemoteHubs(t *testing.T) {
	s, _ := newExchanger(t, "one")
	peer := func(name, dc string) Peer { return Peer{Name: types.VMID(name), DataCentre: types.DataCentreID(dc)} }
	s.SetPeers(peer("one", "dc1"), []Peer{peer("a", "dc1"), peer("b", "dc2"), peer("c", "dc2"), peer("d", "dc3")})
	l := s.peers.Load()
	assert.Equal(t, len(l.others), 1)
	assert.Equal(t, l.len(), 4)
	assert.Equal(t, len(s.remoteHubs(l)), 2)
	for _, name := range []string{"b", "c"} {
		s.peerStates = map[uint64]*peerState{peer(name, "dc2").hash(): {}}
		assert.Equal(t, s.remoteHubs(l)[0].Name, types.VMID(name))
	}
}

// Guards against a small VM that is the hub of a data centre with a larger one, and against hubs that
// are the same VM in all orders of the list.
func TestHubsAreLargeVMs(t *testing.T) {
	var members []Peer
	for i := range 20 {
		members = append(members, Peer{Name: types.VMID(fmt.Sprintf("vm-%d", i)), Cores: 0.2})
	}
	members[13].Cores, members[4].Cores = 0.8, 0.8
	first := newGroup(append([]Peer(nil), members...), 1)
	for _, p := range first.members[:2] {
		assert.Equal(t, p.Cores, 0.8)
	}
	slices.Reverse(members)
	assert.DeepEqual(t, newGroup(members, 2).hashes, first.hashes)
}

// Guards against a stopping node that takes the targets for idle, because the others no longer count
// it as a member, and against datagrams to its address once it has ended.
func TestLeavingPeerLearnsOfWork(t *testing.T) {
	for _, c := range []struct{ size, dataCentres int }{{3, 3}, {8, 2}, {28, 2}} {
		t.Run(fmt.Sprintf("%d in %d", c.size, c.dataCentres), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				f := startFleet(ctx, c.size, c.dataCentres, 0)
				time.Sleep(3 * time.Second)
				left := f.peers[0]
				for i := range f.exchangers[1:] {
					f.exchangers[i+1].SetPeers(f.peers[i+1], slices.DeleteFunc(slices.Clone(f.peers[1:]), func(p Peer) bool { return p.Name == f.peers[i+1].Name }))
				}
				for second := range int64(7) {
					for node := range f.exchangers {
						load := f.target(node, 0).Load
						load.Local.Add(directory.Work{Streams: 1})
						f.exchangers[node].NotifyLoadChange(f.target(node, 0))
					}
					time.Sleep(time.Second)
					for node := range f.exchangers {
						assert.Equal(t, f.target(node, 0).Load.Peers.Load().Streams, (second+1)*int64(c.size-1), "node %d, %d s after", node, second+1)
					}
				}
				f.net.silence(left.Address, true)
				time.Sleep(2 * minPeerTimeout)
				before := f.net.received(left.Address)
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.net.received(left.Address)-before, 0)
			})
		})
	}
}
