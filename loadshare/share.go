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
	// gather is how long changes are gathered into one message, and gatherPeer
	// what each other node adds, so that large fleets exchange fewer messages. Both
	// are short beside the time of a prefill, which the others are to see in time.
	gather     = 2 * time.Millisecond
	gatherPeer = 100 * time.Microsecond
	// relayPeer is what each other node adds to the time between messages to other
	// data centres. These are most of what a node receives, and few requests go to
	// the targets that they are about.
	relayPeer = time.Millisecond
	// beat is the time between messages with the whole state.
	beat = 500 * time.Millisecond
	// silent is the time without a message after which the work of a daemon no
	// longer counts: several beats.
	silent = 2500 * time.Millisecond
	// repeat is how long unchanged work is told again with each beat.
	repeat = 4 * beat
	// suspectPause is how long a target gets no work after another daemon has found
	// it silent. Silence that lasts is told again with the next message.
	suspectPause = 700 * time.Millisecond
	// partsQueue bounds the prompt parts that wait to be told.
	partsQueue = 256
)

// Exchanger exchanges the load with the other daemons. It is safe for concurrent use.
type Exchanger struct {
	self      uint64
	start     uint64
	directory *directory.Directory
	conn      Conn
	peers     atomic.Pointer[peerList]
	feeds     [Feeds]*Progress
	now       func() clock.Instant
	wake      chan struct{}
	announce  atomic.Bool // the whole state is due now
	used      chan usedParts
	malformed atomic.Int64
	told      atomic.Int64 // pieces of news that were published
	missed    atomic.Int64 // pieces of news that could not be taken

	mu   sync.Mutex // guards what follows; not taken on the path of a request
	from map[uint64]*peerState
	// transits outlive the states in from: what is late after a silence shows by
	// what came before it.
	transits map[uint64]*transit
	seq      uint64
	near     audience // the own data centre
	far      audience // the other data centres
}

// audience is what one group of daemons was told, by target.
type audience struct {
	sent  map[uint64]sentWork
	parts map[uint64][]uint64 // prompt parts that they were not told yet
	news  []feedNews          // of the feeds, that they were not told yet
	// due is when they may be told of changes again.
	due time.Time
}

func newAudience() audience {
	return audience{sent: map[uint64]sentWork{}, parts: map[uint64][]uint64{}}
}

// sentWork is work that the others were told, and since when it holds.
type sentWork struct {
	work  directory.Work
	since time.Time
}

type usedParts struct {
	target uint64
	parts  []directory.Part
}

// peerState is what another daemon has told.
type peerState struct {
	start, seq uint64
	heard      time.Time
	work       map[uint64]told
}

// told is work that was added to the load of one start of a target.
type told struct {
	load *directory.Load
	work directory.Work
}

// Conn carries datagrams. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// Listen returns a socket for a share on a local address. The error is that of
// the operating system.
func Listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", a)
}

// New returns an exchanger over a socket, which Run closes. name is the daemon's name,
// now its clock.
func New(name string, conn Conn, d *directory.Directory, now func() clock.Instant) *Exchanger {
	s := &Exchanger{
		self: xxhash.Sum64String(name), start: rand.Uint64(), directory: d, conn: conn,
		now: now, wake: make(chan struct{}, 1), used: make(chan usedParts, partsQueue),
		from: map[uint64]*peerState{}, transits: map[uint64]*transit{}, near: newAudience(), far: newAudience(),
	}
	for i := range s.feeds {
		s.feeds[i] = newProgress()
	}
	s.peers.Store(&peerList{})
	return s
}

// Feed returns the progress of one feed.
func (s *Exchanger) Feed(i int) *Progress { return s.feeds[i] }

// LivePeers returns the number of other daemons that were heard lately.
func (s *Exchanger) LivePeers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.from)
}

// ClaimsRefused returns the number of claims to have read a feed that did not help this
// daemon, because it did not know what they rest on.
func (s *Exchanger) ClaimsRefused() (n int64) {
	for _, f := range s.feeds {
		n += f.ClaimsRefused()
	}
	return n
}

// Malformed returns the number of datagrams that did not decode.
func (s *Exchanger) Malformed() int64 { return s.malformed.Load() }

// NotifyLoadChange says that the own work on a target has changed.
func (s *Exchanger) NotifyLoadChange(*directory.Target) {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RequestFullState tells the other daemons now that a feed was read, not with the next
// beat: those that are next in line would read it too.
func (s *Exchanger) RequestFullState() {
	s.announce.Store(true)
	s.NotifyLoadChange(nil)
}

// NotifyPartsUsed says that an engine has read parts of a prompt. Parts are dropped when
// too many wait.
func (s *Exchanger) NotifyPartsUsed(t *directory.Target, parts []directory.Part) {
	if len(parts) == 0 {
		return
	}
	select {
	case s.used <- usedParts{t.Hash, parts}:
	default:
	}
}

// Run exchanges messages until the context ends.
func (s *Exchanger) Run(ctx context.Context) {
	go s.receive()
	defer s.conn.Close()
	timer := time.NewTimer(beat)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			timer.Reset(gather + time.Duration(s.peers.Load().len())*gatherPeer)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		case <-timer.C:
		}
		now := time.Now()
		full := now.Sub(last) >= beat || s.announce.Swap(false)
		if full {
			last = now
			s.expire(now)
		}
		timer.Reset(min(s.tell(full, now), last.Add(beat).Sub(now)))
	}
}

// tell sends the changes since the last message, or the whole state. It returns
// the time until the other data centres can be told of what they were not.
func (s *Exchanger) tell(full bool, now time.Time) time.Duration {
	peers := s.peers.Load()
	for _, b := range s.messages(&s.near, full) {
		s.send(b, peers.local)
	}
	if wait := s.far.due.Sub(now); !full && wait > 0 {
		return wait
	}
	s.far.due = now.Add(time.Duration(peers.len()) * relayPeer)
	for _, b := range s.messages(&s.far, full) {
		b[flagsAt] = flagRelay
		s.send(b, s.relays(peers))
	}
	return beat
}

// send sends a datagram. One that is not sent is like one that is lost.
func (s *Exchanger) send(b []byte, to []Peer) {
	for _, p := range to {
		_, _ = s.conn.WriteToUDPAddrPort(b, p.Address)
	}
}

// messages encodes what has changed since the audience was told.
func (s *Exchanger) messages(a *audience, full bool) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeParts()
	now := time.Now()
	var items []item
	s.directory.Load().All(func(t *directory.Target) {
		w := t.Load.Local.Load()
		parts := a.parts[t.Hash]
		old := a.sent[t.Hash]
		changed := w != old.work
		if changed {
			a.sent[t.Hash] = sentWork{w, now}
		}
		// The end of work is repeated, because the message that tells it can be lost.
		silent := t.Load.Suspected()
		if changed || silent || len(parts) > 0 || full && (w.InProgress() != (directory.Work{}) || now.Sub(old.since) < repeat) {
			items = append(items, item{t.Hash, w, silent, parts})
		}
	})
	clear(a.parts)
	news := a.news
	a.news = nil
	if len(items) == 0 && len(news) == 0 && !full {
		return nil
	}
	return s.encode(news, items)
}

func (s *Exchanger) takeParts() {
	for {
		select {
		case u := <-s.used:
			s.near.add(u)
			s.far.add(u)
		default:
			return
		}
	}
}

// add notes the parts of a prompt, as far as a message has room for them.
func (a *audience) add(u usedParts) {
	for _, p := range u.parts {
		if len(a.parts[u.target]) < maxParts {
			a.parts[u.target] = append(a.parts[u.target], p.Key)
		}
	}
}

func (s *Exchanger) encode(news []feedNews, items []item) [][]byte {
	now := s.now()
	var out [][]byte
	header := func() []byte {
		s.seq++
		m := message{sender: s.self, start: s.start, seq: s.seq, sent: now}
		m.news, news = cutNews(news)
		for i, f := range s.feeds {
			m.claims[i] = f.claim(now)
		}
		// Changes whose news comes with the next message are not to be read. The base
		// stays: nobody may take the feed as known without them.
		for _, n := range news {
			c := &m.claims[n.index]
			c.changed = min(c.changed, n.Since)
		}
		return m.appendHeader(make([]byte, 0, 256))
	}
	b := header()
	for len(news) > 0 {
		out = append(out, b)
		b = header()
	}
	for i := range items {
		if len(b) > maxMessage-8*(maxParts+7) {
			out = append(out, b)
			b = header()
		}
		b = appendItem(b, &items[i])
	}
	return append(out, b)
}

// receive folds messages until the socket is closed.
func (s *Exchanger) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		m, err := decode(buf[:n])
		if err != nil {
			s.malformed.Add(1)
			continue
		}
		if m.relay {
			buf[flagsAt] = 0
			s.send(buf[:n], s.peers.Load().local)
		}
		s.fold(m, time.Now(), s.now())
	}
}

// fold adds what a daemon has told to the load of the targets.
func (s *Exchanger) fold(m *message, now time.Time, at clock.Instant) {
	if m.sender == s.self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.from[m.sender]
	if p == nil || p.start != m.start {
		p.forget()
		p = &peerState{start: m.start, work: map[uint64]told{}}
		s.from[m.sender] = p
	}
	p.heard = now
	// News comes first: what it tells does not have to be read.
	for _, n := range m.news {
		if !s.feeds[n.index].tell(n.Update) {
			s.missed.Add(1)
		}
	}
	late, known := s.held(m, at)
	for i, f := range s.feeds {
		c := m.claims[i]
		if !known {
			c.age = never
		}
		f.hear(c, at.Add(-c.age-late), m.sender)
	}
	if m.seq <= p.seq {
		return
	}
	p.seq = m.seq
	snapshot := s.directory.Load()
	for i := range m.items {
		if t := snapshot.ByHash(m.items[i].target); t != nil {
			p.take(t.Load, &m.items[i], now)
		}
	}
}

func (p *peerState) take(l *directory.Load, i *item, now time.Time) {
	old := p.work[i.target]
	if old.load != l {
		old = told{load: l}
	}
	l.Peers.Add(i.work.Minus(old.work))
	p.work[i.target] = told{l, i.work}
	if i.silent {
		l.PauseUntil(now.Add(suspectPause))
	}
	parts := make([]directory.Part, len(i.parts))
	for k, key := range i.parts {
		parts[k].Key = key
	}
	l.RecordPeerParts(parts)
}

// forget takes back what the daemon has told.
func (p *peerState) forget() {
	if p == nil {
		return
	}
	for _, t := range p.work {
		t.load.Peers.Add(directory.Work{}.Minus(t.work.InProgress()))
	}
}

// expire forgets the daemons that have been silent.
func (s *Exchanger) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.from {
		if now.Sub(p.heard) > silent {
			p.forget()
			delete(s.from, id)
		}
	}
	s.forgetTransits(s.now())
}
