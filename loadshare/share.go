package loadshare

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/crashguard"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// batchWindow is how long changes are batched into one message. Each other daemon of a
	// group with a hub adds batchWindowPerMember, so that the hub does not receive more
	// messages in a larger group. Both are short compared with a prefill, which the other
	// daemons have to see in time.
	batchWindow          = 2 * time.Millisecond
	batchWindowPerMember = 250 * time.Microsecond
	// minFullStateInterval is the minimum time between messages with the full state, unless
	// one is requested. Each daemon receives the messages of all others, so that the interval
	// is at least fullStateIntervalPerPeer for each of them.
	minFullStateInterval     = 500 * time.Millisecond
	fullStateIntervalPerPeer = 5 * time.Millisecond
	// minPeerTimeout and peerTimeoutIntervals give the time without a message after which the
	// work of a daemon no longer counts, the latter in full-state intervals.
	minPeerTimeout       = 2500 * time.Millisecond
	peerTimeoutIntervals = 2.5
	// suspectPause is how long a target receives no work after another daemon has reported
	// it as stalled. Each message repeats the report while the target is stalled.
	suspectPause = 700 * time.Millisecond
	// partsQueueLength and changesQueueLength bound the queues of used prompt parts and of
	// targets whose load has changed, which wait to be published.
	partsQueueLength   = 256
	changesQueueLength = 1024
	// DefaultDatagramRate is the default limit of datagrams that a daemon sends per second.
	DefaultDatagramRate = 6000
)

// Exchanger exchanges load with the other daemons. It is safe for concurrent use.
//
// Each daemon sends messages about itself. In a small group they go to all daemons of the
// group, and to one daemon of each remote group, which forwards them. In a large group
// they go through the group's hub in both directions.
type Exchanger struct {
	self               uint64
	start              uint64
	directory          *directory.Directory
	conn               Conn
	peers              atomic.Pointer[peerList]
	feeds              [Feeds]*Progress
	now                func() clock.Instant
	wake               chan struct{}
	fullStateRequested atomic.Bool // send the full state now
	changed            chan uint64 // hashes of targets
	changesLost        atomic.Bool // changed was full
	used               chan usedParts
	datagramRate       atomic.Int64 // per second
	malformed          atomic.Int64
	updatesPublished   atomic.Int64  // fragments
	updatesMissed      atomic.Int64  // fragments
	demand             *demand.Table // of this daemon
	crashes            CrashEvidence
	hubs               *hubSelector
	relay              *relay
	carriers           atomic.Pointer[[]Carrier]
	eras               eraTracker
	eraHandler         func(types.Era, types.VMID)

	mu         sync.Mutex // guards the fields below; not taken on the path of a request
	peerStates map[uint64]*peerState
	// transits outlive the entries of peerStates: the delay of the first message after a
	// timeout is measured against the messages before it.
	transits map[uint64]*transit
	seq      uint64
	outbox   outbox
	// assemblies holds the long records of which parts have been received.
	assemblies assemblies
	// peerDemand is the work that callers have offered to other daemons, by service hash,
	// since this daemon started. It only grows.
	peerDemand map[uint64]demand.Work
	// carrying reports whether this daemon accepts requests of others. carriersHandler receives
	// the list of those that do.
	carrying        func() bool
	carriersHandler func([]Carrier)
}

// outbox is what has to be published with the next message. Maps are keyed by target hash.
type outbox struct {
	changed map[uint64]struct{}
	// active holds the targets with work in progress in the last message about them.
	active  map[uint64]struct{}
	parts   map[uint64][]uint64 // keys of used prompt parts
	updates []feedUpdate
	leaving []directory.Lifetime
	// limits are targets whose limits have to be published. limited are those that have declared
	// a limit to this daemon, which full states repeat in turn from nextLimited on.
	limits, limited []uint64
	nextLimited     int
	// nextLeaving is the position in the list of all leaving targets from which the next
	// full state repeats some.
	nextLeaving int
	// carries is flagCarries of the last message.
	carries bool
}

func newOutbox() outbox {
	return outbox{changed: map[uint64]struct{}{}, active: map[uint64]struct{}{}, parts: map[uint64][]uint64{}}
}

type usedParts struct {
	target uint64
	parts  []directory.Part
}

// Conn carries datagrams. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// Listen opens a UDP socket for an Exchanger on a local address. It returns the errors of
// package net.
func Listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", a)
}

// New returns an Exchanger that uses conn, which Run closes. name is the name of the daemon,
// work the demand of its callers, and now returns the time of its clock.
func New(name string, conn Conn, d *directory.Directory, work *demand.Table, now func() clock.Instant) *Exchanger {
	e := &Exchanger{
		self: xxhash.Sum64String(name), start: rand.Uint64(), directory: d, conn: conn,
		now: now, wake: make(chan struct{}, 1), changed: make(chan uint64, changesQueueLength), used: make(chan usedParts, partsQueueLength),
		hubs: newHubSelector(), peerStates: map[uint64]*peerState{}, transits: map[uint64]*transit{}, outbox: newOutbox(), assemblies: assemblies{},
		demand: work, crashes: noCrashEvidence{}, peerDemand: map[uint64]demand.Work{},
		eraHandler: func(types.Era, types.VMID) {}, carrying: func() bool { return false }, carriersHandler: func([]Carrier) {},
	}
	e.relay = newRelay(e)
	e.datagramRate.Store(DefaultDatagramRate)
	for i := range e.feeds {
		e.feeds[i] = newProgress(&e.eras, now)
	}
	e.peers.Store(newPeerList(Peer{Name: types.VMID(name)}, nil))
	e.carriers.Store(&[]Carrier{})
	return e
}

// SetDatagramRate limits the datagrams that this daemon sends per second. With a lower rate,
// or in a larger group, the load of other daemons is known later.
func (e *Exchanger) SetDatagramRate(perSecond int) { e.datagramRate.Store(int64(max(perSecond, 1))) }

// SetPeers replaces the list of the other daemons. self describes this one. It must not be called
// concurrently.
func (e *Exchanger) SetPeers(self Peer, others []Peer) {
	l := newPeerList(self, others)
	l.leaving = e.live(slices.DeleteFunc(e.peers.Load().all(), func(p Peer) bool { return l.contains(p.hash()) }))
	e.peers.Store(l)
	e.hubs.forget(&l.local)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateCarriers()
}

// live returns those of the daemons from which messages have arrived recently.
func (e *Exchanger) live(peers []Peer) (out []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range peers {
		if e.peerStates[p.hash()] != nil {
			out = append(out, p)
		}
	}
	return out
}

// Feed returns the progress of one feed.
func (e *Exchanger) Feed(i int) *Progress { return e.feeds[i] }

// LivePeers returns the number of other daemons from which messages have arrived recently
// (see minPeerTimeout).
func (e *Exchanger) LivePeers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peerStates)
}

// ClaimsRefused returns the number of claims on all feeds that this daemon could not use,
// because it had not applied all changes up to their base.
func (e *Exchanger) ClaimsRefused() (n int64) {
	for _, f := range e.feeds {
		n += f.ClaimsRefused()
	}
	return n
}

// HubTakeovers returns how often this daemon has passed over a silent hub of its group.
func (e *Exchanger) HubTakeovers() int64 {
	e.hubs.mu.Lock()
	defer e.hubs.mu.Unlock()
	return e.hubs.takeovers
}

// RelayDropped returns the number of messages that this daemon did not forward because too
// many were pending.
func (e *Exchanger) RelayDropped() int64 { return e.relay.dropped() }

// Malformed returns the number of datagrams that did not decode.
func (e *Exchanger) Malformed() int64 { return e.malformed.Load() }

// NotifyLoadChange reports that the work of this daemon on a target has changed.
func (e *Exchanger) NotifyLoadChange(t *directory.Target) {
	select {
	case e.changed <- t.Hash:
	default:
		e.changesLost.Store(true)
	}
	e.notify()
}

func (e *Exchanger) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// RequestFullState sends the full state, and with it the claims, without waiting for the next
// full-state interval. It is called after a read of a feed; otherwise the daemons that are
// next in line would read the feed too.
func (e *Exchanger) RequestFullState() {
	e.fullStateRequested.Store(true)
	e.notify()
}

// NotifyLeaving reports that a target has declared that it is leaving.
func (e *Exchanger) NotifyLeaving(l directory.Lifetime) {
	e.mu.Lock()
	e.outbox.leaving = append(e.outbox.leaving, l)
	e.mu.Unlock()
	e.notify()
}

// NotifyPartsUsed reports that an engine has read parts of a prompt. It drops them when the
// queue is full.
func (e *Exchanger) NotifyPartsUsed(t *directory.Target, parts []directory.Part) {
	if len(parts) == 0 {
		return
	}
	select {
	case e.used <- usedParts{t.Hash, parts}:
	default:
	}
}

// Run exchanges messages until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	go e.receive()
	go e.relay.run(ctx)
	defer e.conn.Close()
	timer := time.NewTimer(minFullStateInterval)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
			timer.Reset(e.batchWindow())
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		case <-timer.C:
		}
		now := time.Now()
		interval := e.peers.Load().fullStateInterval()
		full := now.Sub(last) >= interval || e.fullStateRequested.Swap(false)
		if full {
			last = now
			e.expirePeers(now)
		}
		e.publish(full, now)
		timer.Reset(last.Add(interval).Sub(now))
	}
}

func (e *Exchanger) batchWindow() time.Duration {
	if g := &e.peers.Load().local; g.relayed() {
		return batchWindow + time.Duration(len(g.members))*batchWindowPerMember
	}
	return batchWindow
}

func (l *peerList) fullStateInterval() time.Duration {
	return max(minFullStateInterval, time.Duration(l.len())*fullStateIntervalPerPeer)
}

func (l *peerList) peerTimeout() time.Duration {
	return max(minPeerTimeout, time.Duration(peerTimeoutIntervals*float64(l.fullStateInterval())))
}

// publish sends the changes since the last message, or the full state: to the hub of the
// local group, or to all if this daemon is the hub or the group has none.
func (e *Exchanger) publish(full bool, now time.Time) {
	l := e.peers.Load()
	hub := e.hub(l, now)
	for _, b := range e.messages(full) {
		if hub == nil {
			e.relay.add(b, true)
			continue
		}
		b[flagsAt] |= flagRelay
		e.send(b, []Peer{*hub})
	}
}

// hub returns the daemon that forwards the messages of this one, or nil if it sends them
// itself.
func (e *Exchanger) hub(l *peerList, now time.Time) *Peer {
	if !l.local.relayed() {
		return nil
	}
	if p := &l.local.members[e.hubs.pick(&l.local, e.self, now)]; p.hash() != e.self {
		return p
	}
	return nil
}

// isRelayHub reports whether this daemon is the hub of a group that uses one.
func (e *Exchanger) isRelayHub(now time.Time) bool {
	l := e.peers.Load()
	return l.local.relayed() && e.hub(l, now) == nil
}

// recipients returns the daemons to which this one sends what it forwards within its group, and to
// other groups. A leaving daemon gets its messages from its group, if that has members.
func (e *Exchanger) recipients(l *peerList) (local, remote []Peer) {
	local, remote = slices.Clip(l.others), e.remoteHubs(l)
	for _, p := range e.live(l.leaving) {
		switch {
		case p.DataCentre == l.self.DataCentre:
			local = append(local, p)
		case !l.hasDataCentre(p.DataCentre):
			remote = append(remote, p)
		}
	}
	return local, remote
}

// remoteHubs returns the daemon of each remote group that forwards messages: the first one
// that is live, or the first one if none is.
func (e *Exchanger) remoteHubs(l *peerList) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Peer, 0, len(l.remote))
	for i := range l.remote {
		g := &l.remote[i]
		best := 0
		for k, h := range g.hashes {
			if e.peerStates[h] != nil {
				best = k
				break
			}
		}
		out = append(out, g.members[best])
	}
	return out
}

// send sends a datagram to each of the peers. It ignores errors: a datagram that cannot be
// sent is equivalent to a lost one.
func (e *Exchanger) send(b []byte, to []Peer) {
	for _, p := range to {
		_, _ = e.conn.WriteToUDPAddrPort(b, p.Address)
	}
}

// messages encodes what has changed since the last messages, or the full state.
func (e *Exchanger) messages(full bool) [][]byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainUsedParts()
	e.drainChanges()
	o := &e.outbox
	if full {
		for h := range o.active {
			o.changed[h] = struct{}{}
		}
		o.repeatLeaving(e.directory)
		o.repeatLimits(e.directory.Load())
	}
	for h := range o.parts {
		o.changed[h] = struct{}{}
	}
	carries := e.carrying()
	if len(o.changed) == 0 && len(o.updates) == 0 && len(o.leaving) == 0 && len(o.limits) == 0 && !e.crashes.Pending() && o.carries == carries && !full {
		return nil
	}
	var loads []targetLoad
	snapshot := e.directory.Load()
	for h := range o.changed {
		t := snapshot.ByHash(h)
		if t == nil {
			delete(o.active, h)
			continue
		}
		w := t.Load.Local.Load()
		if w.InProgress() == (directory.Work{}) {
			delete(o.active, h)
		} else {
			o.active[h] = struct{}{}
		}
		loads = append(loads, targetLoad{h, w, t.Load.Suspected(), o.parts[h]})
	}
	clear(o.changed)
	clear(o.parts)
	o.carries = carries
	return e.encode(full, loads)
}

// repeatLeaving adds some of the known leaving targets, in turn, so that daemons that start
// learn of all of them.
func (o *outbox) repeatLeaving(d *directory.Directory) {
	all := d.DeclaredLeaving()
	for range min(len(all), maxLeaving-min(len(o.leaving), maxLeaving)) {
		o.nextLeaving++
		o.leaving = append(o.leaving, all[o.nextLeaving%len(all)])
	}
}

func (e *Exchanger) drainChanges() {
	if e.changesLost.Swap(false) {
		e.directory.Load().All(func(t *directory.Target) { e.outbox.changed[t.Hash] = struct{}{} })
	}
	for {
		select {
		case h := <-e.changed:
			e.outbox.changed[h] = struct{}{}
		default:
			return
		}
	}
}

func (e *Exchanger) drainUsedParts() {
	for {
		select {
		case u := <-e.used:
			e.outbox.addParts(u)
		default:
			return
		}
	}
}

// addParts adds the parts of a prompt, up to the maxParts that a message can hold.
func (o *outbox) addParts(u usedParts) {
	for _, p := range u.parts {
		if len(o.parts[u.target]) < maxParts {
			o.parts[u.target] = append(o.parts[u.target], p.Key)
		}
	}
}

// encode encodes messages with the loads and the pending updates and leaving targets of
// the outbox. full indicates that the loads include all work in progress.
func (e *Exchanger) encode(full bool, loads []targetLoad) (out [][]byte) {
	era := e.Era()
	updates, leaving, limits := e.outbox.updates, e.outbox.leaving, e.takeLimits()
	// The offsets of updates from before a return of the store mean other records now.
	updates = slices.DeleteFunc(updates, func(u feedUpdate) bool { return u.Era != era })
	e.outbox.updates, e.outbox.leaving = nil, nil
	now := e.now()
	crashes := e.crashes.Outgoing(full, now)
	var claims [Feeds]claim
	for i, f := range e.feeds {
		claims[i] = f.claim(now, era)
	}
	header := func() []byte {
		e.seq++
		m := message{sender: e.self, start: e.start, seq: e.seq, carries: e.outbox.carries, sent: now, claims: claims}
		m.updates, updates = takeUpdates(updates)
		if len(m.updates) == 0 { // both may not fit into one message
			m.crashes, crashes = crashes, crashguard.Update{}
		}
		m.leaving = leaving[:min(len(leaving), maxLeaving)]
		leaving = leaving[len(m.leaving):]
		m.limits = limits[:min(len(limits), maxLimits)]
		limits = limits[len(m.limits):]
		m.hasClaims = full || len(m.updates) > 0
		if full {
			m.demand = e.ownDemand()
		}
		// Lower changed below the updates that follow in the next message, so that receivers
		// do not read them from the store. base stays: receivers must not use the claim before
		// they have applied these updates.
		for _, n := range updates {
			c := &m.claims[n.index]
			c.changed = min(c.changed, n.Since)
		}
		b := m.appendHeader(make([]byte, 0, 256))
		if m.hasClaims && era != 0 {
			b = appendTargetLoad(b, &targetLoad{target: eraTarget, work: directory.Work{Requests: int64(era)}})
		}
		return b
	}
	b := header()
	for len(updates) > 0 || len(leaving) > 0 || len(limits) > 0 || !crashes.Empty() || e.crashes.Pending() {
		out = append(out, b)
		if crashes.Empty() {
			crashes = e.crashes.Outgoing(false, now)
		}
		b = header()
	}
	for i := range loads {
		if len(b) > maxMessageBytes-maxTargetLoadBytes {
			out = append(out, b)
			b = header()
		}
		b = appendTargetLoad(b, &loads[i])
	}
	// A full state in several messages is sent without the flag: each of them would end the
	// work that the others list.
	if full && len(out) == 0 {
		b[flagsAt] |= flagFull
	}
	return append(out, b)
}

// maxTargetLoadBytes bounds an encoded targetLoad.
const maxTargetLoadBytes = 8 * (maxParts + 8)

// ownDemand returns the demand of the callers of this daemon.
func (e *Exchanger) ownDemand() (out []serviceDemand) {
	for id, w := range e.demand.Totals() {
		if len(out) < maxDemand {
			out = append(out, serviceDemand{xxhash.Sum64String(string(id)), w})
		}
	}
	return out
}

// Demand returns the work that callers have offered for a service to this daemon and, as far
// as known, to all others since this daemon started.
func (e *Exchanger) Demand(id types.ServiceID) demand.Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand.Totals()[id].Plus(e.peerDemand[xxhash.Sum64String(string(id))])
}

// receive handles datagrams until the socket is closed.
func (e *Exchanger) receive() {
	buf := make([]byte, 64<<10)
	m := &message{}
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		e.handleDatagram(buf[:n], m)
	}
}

// handleDatagram applies and forwards the messages of a datagram. m is memory for decoding.
// A panic discards the datagram: loads are absolute values, so that the next message of the
// sender replaces what was applied in part.
func (e *Exchanger) handleDatagram(b []byte, m *message) {
	defer func() {
		if recover() != nil {
			e.malformed.Add(1)
		}
	}()
	if !isBundle(b) {
		e.handleMessage(b, m, func() { e.relay.add(b, true) })
		return
	}
	bundle, err := decodeBundle(b)
	if err != nil {
		e.malformed.Add(1)
		return
	}
	e.hubs.recordBundle(bundle.sender, time.Now())
	for _, inner := range bundle.messages {
		if bundle.relay {
			e.relay.add(inner, false)
		}
		e.handleMessage(inner, m, func() {})
	}
}

// handleMessage applies a message, and calls forward if the sender requests it.
func (e *Exchanger) handleMessage(b []byte, m *message, forward func()) {
	if err := m.decode(b); err != nil {
		e.malformed.Add(1)
		return
	}
	if m.relay {
		b[flagsAt] &^= flagRelay
		forward()
	}
	e.apply(m, time.Now(), e.now())
}

// apply applies a message: it queues its updates, applies its claims and adds its loads to
// the targets. Loads of an older message than the last one are ignored.
func (e *Exchanger) apply(m *message, now time.Time, at clock.Instant) {
	if m.sender == e.self {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peerStates[m.sender]
	if p == nil || p.start != m.start {
		if p.retract(); p != nil && p.carries {
			defer e.updateCarriers()
		}
		p = &peerState{start: m.start, applied: map[uint64]appliedWork{}, active: map[uint64]struct{}{}, demand: map[uint64]demand.Work{}}
		e.peerStates[m.sender] = p
	}
	p.lastReceived = now
	if e.acceptOffsets(m, at) {
		// Updates come before claims: changes that they contain do not have to be read.
		for _, n := range m.updates {
			e.receiveUpdate(m, &n, now)
		}
		if m.hasClaims {
			e.applyClaims(m, at)
		}
	}
	e.crashes.Apply(&m.crashes, at)
	snapshot := e.directory.Load()
	applyLimits(snapshot, m.limits, now)
	for _, l := range m.leaving {
		if t := snapshot.ByHash(l.Target); t == nil || t.Lifetime() != l || !t.Load.DeclaredLeaving() {
			e.directory.DeclareLeaving(l)
		}
	}
	if m.seq <= p.seq {
		return
	}
	p.seq = m.seq
	for _, d := range m.demand {
		if old, ok := p.demand[d.service]; ok {
			e.peerDemand[d.service] = e.peerDemand[d.service].Plus(d.work.Minus(old))
		}
		p.demand[d.service] = d.work
	}
	if m.full {
		p.endUnlisted(m.loads)
	}
	if m.hasClaims {
		p.endRemoved(snapshot)
	}
	if p.carries != m.carries {
		p.carries = m.carries
		defer e.updateCarriers()
	}
	for i := range m.loads {
		if t := snapshot.ByHash(m.loads[i].target); t != nil {
			parts := p.apply(t.Load, &m.loads[i], now)
			e.directory.RecordHolders(t, parts)
		}
	}
}

// receiveUpdate queues an update, or adds a part of a record to those received before. The
// caller holds e.mu.
func (e *Exchanger) receiveUpdate(m *message, u *feedUpdate, now time.Time) {
	update := u.Update
	update.Era = m.era
	if u.part != nil {
		if e.feeds[u.index].has(u.Next) {
			return
		}
		var complete bool
		var err error
		if update, complete, err = e.assemblies.add(m, u, now); err != nil {
			e.malformed.Add(1)
		}
		if !complete {
			return
		}
		update.Era = m.era
	}
	if !e.feeds[u.index].enqueue(update) {
		e.updatesMissed.Add(1)
	}
}

func (e *Exchanger) applyClaims(m *message, at clock.Instant) {
	delay, measured := e.transitDelay(m, at)
	for i, f := range e.feeds {
		c := m.claims[i]
		if !measured {
			c.age = neverRead
		}
		f.applyClaim(c, m.era, at.Add(-c.age-delay), m.sender)
	}
}

// expirePeers removes the daemons from which no message has arrived within the peer timeout.
func (e *Exchanger) expirePeers(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	timeout := e.peers.Load().peerTimeout()
	removed := false
	for id, p := range e.peerStates {
		if now.Sub(p.lastReceived) > timeout {
			p.retract()
			delete(e.peerStates, id)
			removed = removed || p.carries
		}
	}
	if removed {
		e.updateCarriers()
	}
	e.assemblies.expire(now)
	e.expireTransits(e.now())
}
