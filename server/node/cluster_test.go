package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/types"
)

// The cluster runs the feeds of several nodes in virtual time, with faults of
// the nodes, of their network and of the store. Its figures are those of the
// users' platform.
const (
	clusterSize   = 8
	clusterCentre = 4 // nodes in a data centre
	clusterFeeds  = 2
	// stableWindow is how long after a fault of its own, or of the store, a node is
	// bound by nothing.
	stableWindow = 3 * time.Second
	callTime     = 4 * time.Millisecond
	slowCallTime = 200 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	datagramTime = time.Millisecond
	lossShare    = 0.3
	heartbeat    = 1200 * time.Millisecond
	targets      = 5
)

var errSimulated = errors.New("simulated failure")

// until is the end of a fault; the zero value is none.
type until struct{ time.Time }

func (u *until) extend(end time.Time) {
	if end.After(u.Time) {
		u.Time = end
	}
}

func (u until) active(now time.Time) bool { return now.Before(u.Time) }

// simTopic is a keyed topic of the store.
type simTopic struct {
	records []feed.Record
	first   types.Offset // of the oldest record that is kept
	newest  map[string]feed.Record
	changed chan struct{} // closed by the next record
}

// simStore is the store. Its methods take the cluster's lock.
type simStore struct {
	mu                  *sync.Mutex
	topics              [clusterFeeds]simTopic
	down, slow, harmed  until
	changes             []simChange
	heartbeats, version int
}

// simChange is an accepted change.
type simChange struct {
	feed  int
	key   string
	state string
	acked time.Time
}

// value returns a record's value: the state that matters and a number that does
// not, long enough to be told by its changes if it is a configuration.
func value(index int, state string, number int) []byte {
	v := fmt.Sprintf("%s/%d/", state, number)
	if index == feedConfig {
		v += strings.Repeat("0123456789abcdef", 50)
	}
	return []byte(v)
}

func stateOf(value []byte) string { return string(value[:strings.IndexByte(string(value), '/')]) }

func (s *simStore) put(index int, key, state string) {
	t := &s.topics[index]
	s.heartbeats++
	next := t.first + types.Offset(len(t.records)) + 1
	r := feed.Record{Key: key, Value: value(index, state, s.heartbeats), Next: next}
	t.records = append(t.records, r)
	t.newest[key] = r
	close(t.changed)
	t.changed = make(chan struct{})
}

// change makes a change of one feed that has to be known everywhere in time.
func (s *simStore) change(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	key := "config"
	if index == feedRegistrations {
		key = fmt.Sprintf("target-%d", s.version%targets)
	}
	state := fmt.Sprintf("v%03d", s.version)
	s.put(index, key, state)
	s.changes = append(s.changes, simChange{index, key, state, time.Now()})
}

// compact drops the history but for the newest record of each key.
func (s *simStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.topics {
		t := &s.topics[i]
		t.first += types.Offset(len(t.records))
		t.records = nil
	}
}

// simNode is one run of a node.
type simNode struct {
	c       *cluster
	index   int
	conn    *simConn
	share   *loadshare.Exchanger
	mirrors [clusterFeeds]mirror.Feed
	state   [clusterFeeds]map[string]string
	started time.Time
	cancel  context.CancelFunc
}

// simMachine is what holds for all runs of a node.
type simMachine struct {
	node                                    *simNode // nil while it is down
	frozen, peersCut, storeCut, held, lossy until
	harmed                                  until
	side                                    bool // of the cut between nodes
	address                                 netip.AddrPort
	name                                    types.VMID
	dataCentre                              types.DataCentreID
}

// simPaces are the times of the feeds.
var simPaces = [clusterFeeds]struct{ interval, wait time.Duration }{
	feedConfig:        {0, DefaultSettings().ConfigurationWait},
	feedRegistrations: {DefaultSettings().RegistrationInterval, 0},
}

// inForce returns when a change of a feed has to be known. It is less than the
// two seconds of the users' platform.
func inForce(index int) time.Duration {
	return maxReadGap(simPaces[index].interval, simPaces[index].wait) + storeCallMargin
}

// cluster is the store and the nodes.
type cluster struct {
	mu       sync.Mutex
	ctx      context.Context
	rnd      *rand.Rand
	store    simStore
	machines [clusterSize]simMachine
	running  sync.WaitGroup
}

func newCluster(ctx context.Context, seed uint64) *cluster {
	c := &cluster{ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 1))}
	c.store.mu = &c.mu
	for i := range c.store.topics {
		c.store.topics[i] = simTopic{newest: map[string]feed.Record{}, changed: make(chan struct{})}
	}
	for i := range c.machines {
		m := &c.machines[i]
		m.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m.name = types.VMID(fmt.Sprintf("vm-%d", i))
		m.dataCentre = types.DataCentreID(fmt.Sprintf("dc-%d", i/clusterCentre))
	}
	c.store.put(feedConfig, "config", "v000")
	for k := range targets {
		c.store.put(feedRegistrations, fmt.Sprintf("target-%d", k), "v000")
	}
	return c
}

// beat writes the targets' heartbeats, which change nothing that matters.
func (c *cluster) beat() {
	for k := 0; ; k++ {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(heartbeat / targets):
		}
		c.mu.Lock()
		key := fmt.Sprintf("target-%d", k%targets)
		if !c.store.down.active(time.Now()) {
			c.store.put(feedRegistrations, key, stateOf(c.store.topics[feedRegistrations].newest[key].Value))
		}
		c.mu.Unlock()
	}
}

// start starts a node.
func (c *cluster) start(i int) {
	m := &c.machines[i]
	ctx, cancel := context.WithCancel(c.ctx)
	n := &simNode{c: c, index: i, started: time.Now(), cancel: cancel}
	n.conn = &simConn{node: n, inbox: make(chan []byte, 256), closed: make(chan struct{})}
	n.share = loadshare.New(string(m.name), n.conn, directory.New(), clocktest.Virtual)
	var peers []loadshare.Peer
	for k := range c.machines {
		if o := &c.machines[k]; k != i {
			peers = append(peers, loadshare.Peer{Name: o.name, DataCentre: o.dataCentre, Address: o.address})
		}
	}
	n.share.SetPeers(peers, m.dataCentre)
	c.mu.Lock()
	m.node = n
	c.mu.Unlock()
	c.running.Go(func() { n.share.Run(ctx) })
	for index, p := range simPaces {
		n.state[index] = map[string]string{}
		f := sharedFeed{
			index, n.share, newReadPacer(n.share, index, p.interval, p.wait, func() int { return i % clusterCentre }, clocktest.Virtual),
			&n.mirrors[index], simFetcher{n, index},
		}
		c.running.Go(func() {
			followFeed(ctx, f, &simSource{n, index}, &simHandler{n, index}, minReadBackoff, maxReadBackoff)
		})
	}
}

// kill ends a node; down is how long it stays away.
func (c *cluster) kill(i int, down time.Duration) {
	c.mu.Lock()
	m := &c.machines[i]
	n := m.node
	m.node = nil
	c.mu.Unlock()
	if n == nil {
		return
	}
	n.cancel()
	time.AfterFunc(down, func() {
		if c.ctx.Err() == nil {
			c.start(i)
		}
	})
}

// thaw waits while the node is frozen.
func (n *simNode) thaw() {
	for {
		n.c.mu.Lock()
		left := time.Until(n.c.machines[n.index].frozen.Time)
		n.c.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// simConn carries the datagrams of a node.
type simConn struct {
	node   *simNode
	inbox  chan []byte
	closed chan struct{}
	once   sync.Once
}

func (s *simConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.inbox:
		s.node.thaw()
		return copy(b, d), netip.AddrPort{}, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (s *simConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.node.thaw()
	c, now, d := s.node.c, time.Now(), datagramTime
	c.mu.Lock()
	defer c.mu.Unlock()
	from := &c.machines[s.node.index]
	for i := range c.machines {
		m := &c.machines[i]
		if m.address != to {
			continue
		}
		if (from.peersCut.active(now) || m.peersCut.active(now)) && from.side != m.side {
			return len(b), nil
		}
		if (from.lossy.active(now) || m.lossy.active(now)) && c.rnd.Float64() < lossShare {
			return len(b), nil
		}
		if from.held.active(now) {
			d += from.held.Sub(now)
		}
		data := append([]byte(nil), b...)
		time.AfterFunc(d, func() { c.deliver(i, data) })
	}
	return len(b), nil
}

func (c *cluster) deliver(i int, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.machines[i].node; n != nil {
		select {
		case n.conn.inbox <- data:
		default:
		}
	}
}

func (s *simConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// simSource is a topic of the store as a node sees it.
type simSource struct {
	n     *simNode
	index int
}

// call is the way of a call to the store and back, or its failure.
func (s *simSource) call(ctx context.Context) error {
	c := s.n.c
	c.mu.Lock()
	now := time.Now()
	failed := c.store.down.active(now) || c.machines[s.n.index].storeCut.active(now)
	d := callTime
	if c.store.slow.active(now) {
		d = slowCallTime
	}
	if failed {
		d = callTimeout
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	s.n.thaw()
	if failed {
		return errSimulated
	}
	return ctx.Err()
}

func (s *simSource) List(ctx context.Context) (feed.Listing[string], error) {
	c := s.n.c
	c.mu.Lock()
	t := &c.store.topics[s.index]
	l := feed.Listing[string]{Next: t.first + types.Offset(len(t.records))}
	for _, r := range t.newest {
		l.Items = append(l.Items, itemOf(r))
	}
	c.mu.Unlock()
	return l, s.call(ctx)
}

func (s *simSource) Read(ctx context.Context, from types.Offset, wait time.Duration) ([]feed.Item[string], types.Offset, error) {
	c, end := s.n.c, time.After(wait)
	for {
		c.mu.Lock()
		t := &c.store.topics[s.index]
		expired, changed := from < t.first, t.changed
		var items []feed.Item[string]
		if !expired && int(from-t.first) < len(t.records) {
			for _, r := range t.records[from-t.first:] {
				items = append(items, itemOf(r))
			}
		}
		c.mu.Unlock()
		if expired {
			return nil, 0, errors.Join(s.call(ctx), feed.ErrExpired)
		}
		if len(items) > 0 || wait == 0 {
			return items, from + types.Offset(len(items)), s.call(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		case <-end:
			wait = 0
		}
	}
}

func (s *simSource) DecodeRecord(r feed.Record) (feed.Item[string], error) { return itemOf(r), nil }

func itemOf(r feed.Record) feed.Item[string] {
	state := stateOf(r.Value)
	return feed.Item[string]{Key: r.Key, Next: r.Next, Raw: r.Value, Value: &state}
}

// simHandler keeps the states of a node's keys.
type simHandler struct {
	n     *simNode
	index int
}

func (h *simHandler) HandleListing(l feed.Listing[string], _ time.Duration) { h.fold(l.Items) }

func (h *simHandler) HandleChanges(items []feed.Item[string], _ time.Duration) []feed.Item[string] {
	return h.fold(items)
}

func (h *simHandler) HandlePeerUpdate(items []feed.Item[string], _ time.Duration) { h.fold(items) }

func (h *simHandler) HandleFailure(error, time.Duration) {}

func (h *simHandler) fold(items []feed.Item[string]) (changed []feed.Item[string]) {
	h.n.c.mu.Lock()
	defer h.n.c.mu.Unlock()
	for _, i := range items {
		if h.n.state[h.index][i.Key] != *i.Value {
			h.n.state[h.index][i.Key] = *i.Value
			changed = append(changed, i)
		}
	}
	return changed
}

// simFetcher asks the first nodes of the cluster for what they hold.
type simFetcher struct {
	n     *simNode
	index int
}

func (f simFetcher) Fetch(context.Context) (mirror.Snapshot, error) {
	const seeds = 3
	time.Sleep(callTime)
	f.n.c.mu.Lock()
	var asked []*simNode
	for i := range seeds {
		m := &f.n.c.machines[i]
		if m.node != nil && m.node != f.n && !m.frozen.active(time.Now()) {
			asked = append(asked, m.node)
		}
	}
	f.n.c.mu.Unlock()
	for _, n := range asked {
		if c, err := n.mirrors[f.index].Snapshot(clocktest.Virtual()); err == nil {
			return c, nil
		}
	}
	return mirror.Snapshot{}, errSimulated
}
