package node

import (
	"cmp"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/types"
)

// The simulated cluster runs the feeds of several nodes in virtual time, with faults of the nodes,
// the network and the store. The constants are those of the deployment's platform.
const (
	clusterDataCentres = 2
	nodesPerDataCentre = 4
	clusterSize        = clusterDataCentres * nodesPerDataCentre
	// maxDatagramBytes is the payload of an Ethernet frame without the headers of IP and UDP.
	// Longer datagrams are dropped.
	maxDatagramBytes = 1472
	clusterFeeds     = 2
	// hubNodesPerDataCentre is the size of a data centre whose nodes exchange load through a
	// hub.
	hubNodesPerDataCentre = 14
	// recoveryTime is how long after a fault of a node or of the store the bounds do not apply to
	// the node.
	recoveryTime = 3 * time.Second
	// Latencies and time-out of calls to the store.
	callTime     = 4 * time.Millisecond
	slowCallTime = 200 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	// datagramTime is the latency of a datagram, and lossShare the fraction that is lost during
	// packet loss.
	datagramTime = time.Millisecond
	lossShare    = 0.3
	// heartbeatInterval is the time between two registrations of one target.
	heartbeatInterval = 1200 * time.Millisecond
	targetCount       = 5
)

var errSimulated = errors.New("simulated failure")

// faultEnd is the time until which a fault is active. The zero value is no fault.
type faultEnd struct{ time.Time }

func (u *faultEnd) extend(end time.Time) {
	if end.After(u.Time) {
		u.Time = end
	}
}

func (u faultEnd) active(now time.Time) bool { return now.Before(u.Time) }

// simTopic is a keyed topic of the store.
type simTopic struct {
	records []feed.Record
	written []time.Time  // of records
	oldest  types.Offset // of the oldest retained record
	newest  map[string]feed.Record
	changed chan struct{} // closed when a record is appended
}

// simStore is the simulated store. put needs the cluster's lock; the other methods take it.
type simStore struct {
	mu                    *sync.Mutex
	topics                [clusterFeeds]simTopic
	down, slow, disrupted faultEnd
	changes               []simChange
	recordCount, version  int
	link                  simLink
	era                   types.Era
	// sent counts the bytes of the responses of each feed, also of those that were given up.
	sent [clusterFeeds]int
	// document is the configuration, nil for one of a few hundred bytes that does not grow.
	document *simDocument
}

// simChange is a change that the store has accepted.
type simChange struct {
	feed  int
	key   string
	state string
	acked time.Time
}

// recordValue returns the value of a record: the state, which is compared, and a number, which is
// not. The value of a configuration is long enough to be published as a delta.
func (s *simStore) recordValue(index int, state string) []byte {
	v := fmt.Sprintf("%s/%d/", state, s.recordCount)
	if index != feedConfig {
		return []byte(v)
	}
	if s.document != nil {
		return append([]byte(v), s.document.encode(s.version)...)
	}
	return []byte(v + strings.Repeat("0123456789abcdef", 50))
}

func stateIn(value []byte) string { return string(value[:strings.IndexByte(string(value), '/')]) }

func (s *simStore) put(index int, key, state string) {
	t := &s.topics[index]
	s.recordCount++
	next := t.oldest + types.Offset(len(t.records)) + 1
	r := feed.Record{Key: key, Value: s.recordValue(index, state), Next: next}
	t.records, t.written = append(t.records, r), append(t.written, time.Now())
	t.newest[key] = r
	close(t.changed)
	t.changed = make(chan struct{})
}

// change makes a change to one feed that every node has to apply in time.
func (s *simStore) change(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLocked(index)
}

// grow makes a change of the configuration that adds routes up to the given number.
func (s *simStore) grow(routes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document.grow(routes)
	s.changeLocked(feedConfig)
}

func (s *simStore) changeLocked(index int) {
	s.version++
	if index == feedConfig && s.document != nil {
		s.document.change(s.version)
	}
	key := "config"
	if index == feedRegistrations {
		key = fmt.Sprintf("target-%d", s.version%targetCount)
	}
	state := fmt.Sprintf("v%04d", s.version)
	s.put(index, key, state)
	s.changes = append(s.changes, simChange{index, key, state, time.Now()})
}

// compact removes all records but the newest one of each key, which remain available by List.
func (s *simStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.topics {
		t := &s.topics[i]
		t.oldest += types.Offset(len(t.records))
		t.records, t.written = nil, nil
	}
}

// returnFrom replaces the records by a copy of the given age. The operator and the targets write the
// newest states again. The other records of each key since the copy are lost.
func (s *simStore) returnFrom(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for index := range s.topics {
		t := &s.topics[index]
		lost, copied := t.newest, 0
		for copied < len(t.records) && time.Since(t.written[copied]) > age {
			copied++
		}
		t.newest = map[string]feed.Record{}
		for _, r := range t.records[:copied] {
			t.newest[r.Key] = r
		}
		t.records, t.written = t.records[:copied:copied], t.written[:copied:copied]
		for _, key := range slices.Sorted(maps.Keys(lost)) {
			switch r, ok := t.newest[key]; {
			case ok && r.Next == lost[key].Next:
			case lost[key].Next <= t.oldest: // listed, but not retained
				t.newest[key] = lost[key]
			default:
				s.put(index, key, stateIn(lost[key].Value))
			}
		}
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// simNode is one run of a node, from its start until it is killed.
type simNode struct {
	c         *cluster
	index     int
	conn      *simConn
	exchanger *loadshare.Exchanger
	mirrors   [clusterFeeds]mirror.Feed
	state     [clusterFeeds]map[string]string
	started   time.Time
	cancel    context.CancelFunc
}

// simMachine is the state of a machine across all runs of its node.
type simMachine struct {
	node                                                       *simNode // nil while the node is down
	frozen, partitioned, storeUnreachable, delayed, packetLoss faultEnd
	rejected, disrupted                                        faultEnd
	link                                                       simLink
	// givenUp counts the calls to the store that were given up, givenUpBytes is the size of the
	// response of the last one.
	givenUp, givenUpBytes int
	datagramsSent         time.Time // end of the transmission of the last datagram
	side                  bool      // of the partition between nodes
	address               netip.AddrPort
	name                  types.VMID
	dataCentre            types.DataCentreID
}

// readIntervals are the read interval and the wait for changes of each feed.
var readIntervals = [clusterFeeds]struct{ interval, wait time.Duration }{
	feedConfig:        {0, DefaultSettings().ConfigurationWait},
	feedRegistrations: {DefaultSettings().RegistrationInterval, 0},
}

// maxApplyDelay returns the time within which a change of a feed has to be applied. It is less than
// the 2 s that the platform allows.
func maxApplyDelay(index int) time.Duration {
	return maxReadGap(readIntervals[index].interval, readIntervals[index].wait) + storeCallMargin
}

// cluster is the simulated store and nodes.
type cluster struct {
	simDeployment
	mu        sync.Mutex
	ctx       context.Context
	rnd       *rand.Rand
	store     simStore
	machines  []simMachine
	byAddress map[netip.AddrPort]int
	running   sync.WaitGroup
}

func newCluster(ctx context.Context, seed uint64, d simDeployment) *cluster {
	c := &cluster{
		simDeployment: d, ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 1)),
		machines: make([]simMachine, d.dataCentres*d.perDataCentre), byAddress: map[netip.AddrPort]int{},
	}
	c.store.mu = &c.mu
	c.store.era = types.FirstEra
	c.store.link.bytesPerSecond = bytesPerSecond(d.storeMbps)
	if d.routes > 0 {
		c.store.document = &simDocument{}
		c.store.document.grow(d.routes)
	}
	for i := range c.store.topics {
		c.store.topics[i] = simTopic{newest: map[string]feed.Record{}, changed: make(chan struct{})}
	}
	for i := range c.machines {
		m := &c.machines[i]
		m.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m.name = types.VMID(fmt.Sprintf("vm-%d", i))
		m.dataCentre = types.DataCentreID(fmt.Sprintf("dc-%d", i/d.perDataCentre))
		if len(d.linkMbps) > 0 {
			m.link.bytesPerSecond = bytesPerSecond(d.linkMbps[i%len(d.linkMbps)]) * (1 - callersShare)
		}
		c.byAddress[m.address] = i
	}
	c.store.put(feedConfig, "config", "v0000")
	for k := range targetCount {
		c.store.put(feedRegistrations, fmt.Sprintf("target-%d", k), "v0000")
	}
	return c
}

// writeHeartbeats writes registrations of the targets that do not change their state.
func (c *cluster) writeHeartbeats() {
	for k := 0; ; k++ {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(heartbeatInterval / targetCount):
		}
		c.mu.Lock()
		key := fmt.Sprintf("target-%d", k%targetCount)
		if !c.store.down.active(time.Now()) {
			c.store.put(feedRegistrations, key, stateIn(c.store.topics[feedRegistrations].newest[key].Value))
		}
		c.mu.Unlock()
	}
}

func (c *cluster) start(i int) {
	m := &c.machines[i]
	ctx, cancel := context.WithCancel(c.ctx)
	n := &simNode{c: c, index: i, started: time.Now(), cancel: cancel}
	n.conn = &simConn{node: n, inbox: make(chan []byte, 256), closed: make(chan struct{})}
	n.exchanger = loadshare.New(string(m.name), n.conn, directory.New(), &demand.Table{}, clocktest.Virtual)
	var peers []loadshare.Peer
	for k := range c.machines {
		if o := &c.machines[k]; k != i {
			peers = append(peers, loadshare.Peer{Name: o.name, DataCentre: o.dataCentre, Address: o.address})
		}
	}
	n.exchanger.SetPeers(loadshare.Peer{Name: m.name, DataCentre: m.dataCentre, Address: m.address}, peers)
	c.mu.Lock()
	m.node = n
	c.mu.Unlock()
	c.running.Go(func() { n.exchanger.Run(ctx) })
	for index, p := range readIntervals {
		n.state[index] = map[string]string{}
		f := sharedFeed{
			index, n.exchanger, newReadPacer(n.exchanger, index, p.interval, p.wait, func() int { return c.rank(i) }, clocktest.Virtual),
			&n.mirrors[index], simFetcher{n, index}, nil, nil,
		}
		if index == feedConfig {
			f.pacer.fetchMissing = n.fetchChanges
		}
		c.running.Go(func() {
			followFeed(ctx, f, &simSource{n: n, index: index}, &simHandler{n, index}, minReadBackoff, maxReadBackoff)
		})
	}
}

// rank returns the rank of a machine in its data centre. Machines with faster links also have more
// cores, by which the nodes are ranked.
func (c *cluster) rank(i int) (rank int) {
	first := i - i%c.perDataCentre
	for k := first; k < first+c.perDataCentre; k++ {
		if rate, own := c.machines[k].link.bytesPerSecond, c.machines[i].link.bytesPerSecond; rate > own || rate == own && k < i {
			rank++
		}
	}
	return rank
}

// kill stops a node and starts it again after down.
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

// waitWhileFrozen blocks until the node is not frozen.
func (n *simNode) waitWhileFrozen() {
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

// simConn is the simulated socket of a node. It implements loadshare.Conn.
type simConn struct {
	node   *simNode
	inbox  chan []byte
	closed chan struct{}
	once   sync.Once
}

func (s *simConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.inbox:
		s.node.waitWhileFrozen()
		return copy(b, d), netip.AddrPort{}, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (s *simConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.node.waitWhileFrozen()
	c, now, d := s.node.c, time.Now(), datagramTime
	c.mu.Lock()
	defer c.mu.Unlock()
	from := &c.machines[s.node.index]
	if i, ok := c.byAddress[to]; ok && len(b) <= maxDatagramBytes {
		m := &c.machines[i]
		if (from.partitioned.active(now) || m.partitioned.active(now)) && from.side != m.side {
			return len(b), nil
		}
		if (from.packetLoss.active(now) || m.packetLoss.active(now)) && c.rnd.Float64() < lossShare {
			return len(b), nil
		}
		if from.delayed.active(now) {
			d += from.delayed.Sub(now)
		}
		if from.link.bytesPerSecond > 0 {
			if now.After(from.datagramsSent) {
				from.datagramsSent = now
			}
			from.datagramsSent = from.datagramsSent.Add(from.link.duration(len(b)))
			d += from.datagramsSent.Sub(now)
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

// simSource gives a node access to a topic of the store. It implements feed.Source.
type simSource struct {
	n     *simNode
	index int
	limit feed.ReadLimit
}

// call simulates the latency of a call to the store that began at began, and the transfer of a
// response of the given size. It returns an error if the call fails. left returns the time after
// which the call is given up.
func (s *simSource) call(ctx context.Context, bytes int, left timeLeft) error {
	c := s.n.c
	c.mu.Lock()
	now := time.Now()
	m := &c.machines[s.n.index]
	failed := c.store.down.active(now) || m.storeUnreachable.active(now)
	rejected := !failed && m.rejected.active(now)
	d, era := callTime, c.store.era
	if c.store.slow.active(now) {
		d = slowCallTime
	}
	if failed {
		d = callTimeout
	}
	if !failed && !rejected {
		c.store.sent[s.index] += bytes
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	s.n.waitWhileFrozen()
	if failed || rejected {
		return errSimulated
	}
	s.n.exchanger.ObserveEra(era)
	err := c.transfer(ctx, bytes, left, &m.link, &c.store.link)
	if errors.Is(err, errGivenUp) {
		c.mu.Lock()
		m.givenUp++
		m.givenUpBytes = bytes
		c.mu.Unlock()
	}
	return err
}

func (s *simSource) List(ctx context.Context) (feed.Listing[string], error) {
	c := s.n.c
	c.mu.Lock()
	t := &c.store.topics[s.index]
	l := feed.Listing[string]{Era: c.store.era, Next: t.oldest + types.Offset(len(t.records))}
	bytes := responseHeaderBytes
	for _, r := range t.newest {
		l.Items = append(l.Items, s.item(r))
		bytes += base64.StdEncoding.EncodedLen(len(r.Value))
	}
	c.mu.Unlock()
	return l, s.call(ctx, bytes, readTimeLeft(time.Now(), 0))
}

func (s *simSource) Read(ctx context.Context, at types.Position, wait time.Duration) ([]feed.Item[string], types.Offset, error) {
	from := at.Offset
	left := readTimeLeft(time.Now(), wait)
	c, waited := s.n.c, time.After(wait)
	for {
		c.mu.Lock()
		t := &c.store.topics[s.index]
		end := t.oldest + types.Offset(len(t.records))
		expired, changed := at.Era != c.store.era || from < t.oldest || from > end, t.changed
		var items []feed.Item[string]
		var more error
		bytes := responseHeaderBytes
		if !expired && int(from-t.oldest) < len(t.records) {
			for _, r := range t.records[from-t.oldest:] {
				if len(items) > 0 && bytes+len(r.Value) > min(s.limit.KB()<<10, maxReadBytes) {
					more = feed.ErrMore
					break
				}
				items = append(items, s.item(r))
				bytes += len(r.Value)
			}
		}
		c.mu.Unlock()
		if expired {
			return nil, 0, errors.Join(s.call(ctx, responseHeaderBytes, left), feed.ErrExpired)
		}
		if len(items) > 0 || wait == 0 {
			return items, from + types.Offset(len(items)), cmp.Or(s.call(ctx, bytes, left), more)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		case <-waited:
			wait = 0
		}
	}
}

func (s *simSource) ReadNewest(ctx context.Context, at types.Position) ([]feed.Item[string], types.Offset, error) {
	from := at.Offset
	if s.index != feedConfig {
		return nil, 0, feed.ErrUnsupported
	}
	l, err := s.List(ctx)
	if err == nil && l.Era != at.Era {
		err = feed.ErrExpired
	}
	if err != nil || l.Next <= from {
		return nil, from, err
	}
	return l.Items, l.Next, nil
}

func (s *simSource) DecodeRecord(r feed.Record) (feed.Item[string], error) { return s.item(r), nil }

// item returns the item of a record. Reads of the configuration are limited as platform.Topic limits
// them.
func (s *simSource) item(r feed.Record) feed.Item[string] {
	if s.index == feedConfig {
		s.limit.Fit(len(r.Value))
	}
	state := stateIn(r.Value)
	return feed.Item[string]{Key: r.Key, Next: r.Next, Raw: r.Value, Value: &state}
}

// simHandler records the state of each key on a node. It implements feed.Handler.
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

// fetchChanges fetches changes of the configuration from the node that has announced them, and then
// from one of the same data centre, within the bounds of changesFetcher and changesServer.
func (n *simNode) fetchChanges(ctx context.Context, from types.Position) (feed.Update, error) {
	c := n.c
	c.mu.Lock()
	dataCentre := n.index / c.perDataCentre
	others := []int{dataCentre*c.perDataCentre + c.rnd.IntN(c.perDataCentre)}
	c.mu.Unlock()
	if p, ok := n.exchanger.ChangeSource(feedConfig); ok {
		others = append([]int{int(p.Address.Addr().As4()[3])}, others...)
	}
	for _, i := range others {
		if u, err := n.fetchChangesFrom(ctx, i, from); err == nil {
			return u, nil
		}
	}
	return feed.Update{}, errSimulated
}

func (n *simNode) fetchChangesFrom(ctx context.Context, i int, from types.Position) (feed.Update, error) {
	c, began := n.c, time.Now()
	c.mu.Lock()
	self, other := &c.machines[n.index], &c.machines[i]
	cut := (self.partitioned.active(began) || other.partitioned.active(began)) && self.side != other.side
	source := other.node
	c.mu.Unlock()
	if source == nil || source == n {
		return feed.Update{}, errSimulated
	}
	if cut || other.frozen.active(began) {
		time.Sleep(changesTimeout)
		return feed.Update{}, errSimulated
	}
	time.Sleep(2 * datagramTime)
	u, err := source.mirrors[feedConfig].ChangesSince(from)
	if err != nil || u.Next <= from.Offset || updateBytes(u) > maxChangesBytes {
		return feed.Update{}, errSimulated
	}
	left := func(time.Time) time.Duration { return time.Until(began.Add(changesTimeout)) }
	return u, c.transfer(ctx, updateBytes(u), left, &self.link, &other.link)
}

// simFetcher fetches the records of a feed from the first nodes of the cluster. It implements
// mirror.Fetcher.
type simFetcher struct {
	n     *simNode
	index int
}

func (f simFetcher) Fetch(ctx context.Context) (mirror.Snapshot, error) {
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
		s, err := n.mirrors[f.index].Snapshot(clocktest.Virtual())
		if err != nil {
			continue
		}
		bytes := responseHeaderBytes
		for _, r := range s.Records {
			bytes += len(r.Value)
		}
		c, began := f.n.c, time.Now()
		left := func(time.Time) time.Duration { return time.Until(began.Add(fetchTimeout)) }
		return s, c.transfer(ctx, bytes, left, &c.machines[f.n.index].link, &c.machines[n.index].link)
	}
	return mirror.Snapshot{}, errSimulated
}
