package loadshare

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

const (
	// batchWindow is how long changes are batched into one message. Each other node adds
	// batchWindowPerPeer, so that large fleets exchange fewer messages. Both are short
	// compared with a prefill, which the other nodes have to see in time.
	batchWindow        = 2 * time.Millisecond
	batchWindowPerPeer = 100 * time.Microsecond
	// remoteIntervalPerPeer is what each other node adds to the interval between messages to
	// remote data centres. Such messages are most of what a node receives, and few requests
	// go to the targets that they describe.
	remoteIntervalPerPeer = time.Millisecond
	// fullStateInterval is the time between messages with the full state.
	fullStateInterval = 500 * time.Millisecond
	// peerTimeout is the time without a message after which the work of a daemon no longer
	// counts. It spans several full-state intervals.
	peerTimeout = 2500 * time.Millisecond
	// repeatUnchanged is how long after its last change the load of a target without work in
	// progress is repeated in each full state.
	repeatUnchanged = 4 * fullStateInterval
	// suspectPause is how long a target receives no work after another daemon has reported
	// it as stalled. Each message repeats the report while the target is stalled.
	suspectPause = 700 * time.Millisecond
	// partsQueueLength bounds the queue of used prompt parts that wait to be published.
	partsQueueLength = 256
)

// Exchanger exchanges load with the other daemons. It is safe for concurrent use.
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
	used               chan usedParts
	malformed          atomic.Int64
	updatesPublished   atomic.Int64 // fragments
	updatesMissed      atomic.Int64 // fragments

	mu         sync.Mutex // guards the fields below; not taken on the path of a request
	peerStates map[uint64]*peerState
	// transits outlive the entries of peerStates: the delay of the first message after a
	// timeout is measured against the messages before it.
	transits map[uint64]*transit
	seq      uint64
	local    recipients // the local data centre
	remote   recipients // the remote data centres
}

// recipients is the state of sending to one group of daemons. Maps are keyed by target hash.
type recipients struct {
	sent    map[uint64]sentWork
	parts   map[uint64][]uint64 // keys of prompt parts that were not sent yet
	updates []feedUpdate        // not sent yet
	// nextSend is when changes may be sent again.
	nextSend time.Time
}

func newRecipients() recipients {
	return recipients{sent: map[uint64]sentWork{}, parts: map[uint64][]uint64{}}
}

// sentWork is the work that was last sent, and the time of its last change.
type sentWork struct {
	work  directory.Work
	since time.Time
}

type usedParts struct {
	target uint64
	parts  []directory.Part
}

// peerState is the state that was received from another daemon.
type peerState struct {
	start, seq   uint64
	lastReceived time.Time
	applied      map[uint64]appliedWork
}

// appliedWork is the work of a peer that was added to load. A target that restarts gets a new
// Load, to which nothing was added yet.
type appliedWork struct {
	load *directory.Load
	work directory.Work
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
// and now returns the time of its clock.
func New(name string, conn Conn, d *directory.Directory, now func() clock.Instant) *Exchanger {
	e := &Exchanger{
		self: xxhash.Sum64String(name), start: rand.Uint64(), directory: d, conn: conn,
		now: now, wake: make(chan struct{}, 1), used: make(chan usedParts, partsQueueLength),
		peerStates: map[uint64]*peerState{}, transits: map[uint64]*transit{}, local: newRecipients(), remote: newRecipients(),
	}
	for i := range e.feeds {
		e.feeds[i] = newProgress()
	}
	e.peers.Store(&peerList{})
	return e
}

// Feed returns the progress of one feed.
func (e *Exchanger) Feed(i int) *Progress { return e.feeds[i] }

// LivePeers returns the number of other daemons from which messages have arrived recently
// (see peerTimeout).
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

// Malformed returns the number of datagrams that did not decode.
func (e *Exchanger) Malformed() int64 { return e.malformed.Load() }

// NotifyLoadChange reports that the work of this daemon on a target has changed.
func (e *Exchanger) NotifyLoadChange(*directory.Target) {
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
	e.NotifyLoadChange(nil)
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
	defer e.conn.Close()
	timer := time.NewTimer(fullStateInterval)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
			timer.Reset(batchWindow + time.Duration(e.peers.Load().len())*batchWindowPerPeer)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		case <-timer.C:
		}
		now := time.Now()
		full := now.Sub(last) >= fullStateInterval || e.fullStateRequested.Swap(false)
		if full {
			last = now
			e.expirePeers(now)
		}
		timer.Reset(min(e.sendState(full, now), last.Add(fullStateInterval).Sub(now)))
	}
}

// sendState sends the changes since the last message, or the full state. It returns the time
// after which it has to be called again.
func (e *Exchanger) sendState(full bool, now time.Time) time.Duration {
	peers := e.peers.Load()
	for _, b := range e.messages(&e.local, full) {
		e.send(b, peers.local)
	}
	if wait := e.remote.nextSend.Sub(now); !full && wait > 0 {
		return wait
	}
	e.remote.nextSend = now.Add(time.Duration(peers.len()) * remoteIntervalPerPeer)
	for _, b := range e.messages(&e.remote, full) {
		b[flagsAt] = flagRelay
		e.send(b, e.relays(peers))
	}
	return fullStateInterval
}

// send sends a datagram to each of the peers. It ignores errors: a datagram that cannot be
// sent is equivalent to a lost one.
func (e *Exchanger) send(b []byte, to []Peer) {
	for _, p := range to {
		_, _ = e.conn.WriteToUDPAddrPort(b, p.Address)
	}
}

// messages encodes what has changed since the last messages to the recipients, or the full
// state.
func (e *Exchanger) messages(r *recipients, full bool) [][]byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainUsedParts()
	now := time.Now()
	var loads []targetLoad
	e.directory.Load().All(func(t *directory.Target) {
		w := t.Load.Local.Load()
		parts := r.parts[t.Hash]
		old := r.sent[t.Hash]
		changed := w != old.work
		if changed {
			r.sent[t.Hash] = sentWork{w, now}
		}
		stalled := t.Load.Suspected()
		// The end of work is repeated for a time, because the message that reports it can be
		// lost.
		if changed || stalled || len(parts) > 0 || full && (w.InProgress() != (directory.Work{}) || now.Sub(old.since) < repeatUnchanged) {
			loads = append(loads, targetLoad{t.Hash, w, stalled, parts})
		}
	})
	clear(r.parts)
	updates := r.updates
	r.updates = nil
	if len(loads) == 0 && len(updates) == 0 && !full {
		return nil
	}
	return e.encode(updates, loads)
}

func (e *Exchanger) drainUsedParts() {
	for {
		select {
		case u := <-e.used:
			e.local.addParts(u)
			e.remote.addParts(u)
		default:
			return
		}
	}
}

// addParts adds the parts of a prompt, up to the maxParts that a message can hold.
func (r *recipients) addParts(u usedParts) {
	for _, p := range u.parts {
		if len(r.parts[u.target]) < maxParts {
			r.parts[u.target] = append(r.parts[u.target], p.Key)
		}
	}
}

func (e *Exchanger) encode(updates []feedUpdate, loads []targetLoad) [][]byte {
	now := e.now()
	var out [][]byte
	header := func() []byte {
		e.seq++
		m := message{sender: e.self, start: e.start, seq: e.seq, sent: now}
		m.updates, updates = takeUpdates(updates)
		for i, f := range e.feeds {
			m.claims[i] = f.claim(now)
		}
		// Lower changed below the updates that follow in the next message, so that receivers
		// do not read them from the store. base stays: receivers must not use the claim before
		// they have applied these updates.
		for _, n := range updates {
			c := &m.claims[n.index]
			c.changed = min(c.changed, n.Since)
		}
		return m.appendHeader(make([]byte, 0, 256))
	}
	b := header()
	for len(updates) > 0 {
		out = append(out, b)
		b = header()
	}
	for i := range loads {
		if len(b) > maxMessageBytes-8*(maxParts+7) {
			out = append(out, b)
			b = header()
		}
		b = appendTargetLoad(b, &loads[i])
	}
	return append(out, b)
}

// receive applies messages until the socket is closed.
func (e *Exchanger) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		m, err := decode(buf[:n])
		if err != nil {
			e.malformed.Add(1)
			continue
		}
		if m.relay {
			buf[flagsAt] = 0
			e.send(buf[:n], e.peers.Load().local)
		}
		e.apply(m, time.Now(), e.now())
	}
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
		p.retract()
		p = &peerState{start: m.start, applied: map[uint64]appliedWork{}}
		e.peerStates[m.sender] = p
	}
	p.lastReceived = now
	// Updates come before claims: changes that they contain do not have to be read.
	for _, n := range m.updates {
		if !e.feeds[n.index].enqueue(n.Update) {
			e.updatesMissed.Add(1)
		}
	}
	delay, measured := e.transitDelay(m, at)
	for i, f := range e.feeds {
		c := m.claims[i]
		if !measured {
			c.age = neverRead
		}
		f.applyClaim(c, at.Add(-c.age-delay), m.sender)
	}
	if m.seq <= p.seq {
		return
	}
	p.seq = m.seq
	snapshot := e.directory.Load()
	for i := range m.loads {
		if t := snapshot.ByHash(m.loads[i].target); t != nil {
			p.apply(t.Load, &m.loads[i], now)
		}
	}
}

func (p *peerState) apply(load *directory.Load, reported *targetLoad, now time.Time) {
	old := p.applied[reported.target]
	if old.load != load {
		old = appliedWork{load: load}
	}
	load.Peers.Add(reported.work.Minus(old.work))
	p.applied[reported.target] = appliedWork{load, reported.work}
	if reported.stalled {
		load.PauseUntil(now.Add(suspectPause))
	}
	parts := make([]directory.Part, len(reported.parts))
	for k, key := range reported.parts {
		parts[k].Key = key
	}
	load.RecordPeerParts(parts)
}

// retract removes the unfinished work of the daemon from the targets.
func (p *peerState) retract() {
	if p == nil {
		return
	}
	for _, t := range p.applied {
		t.load.Peers.Add(directory.Work{}.Minus(t.work.InProgress()))
	}
}

// expirePeers removes the daemons from which no message has arrived within peerTimeout.
func (e *Exchanger) expirePeers(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, p := range e.peerStates {
		if now.Sub(p.lastReceived) > peerTimeout {
			p.retract()
			delete(e.peerStates, id)
		}
	}
	e.expireTransits(e.now())
}
