package loadshare

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// Feeds is the number of feeds of the store that the nodes follow together.
const Feeds = 3

// never is the age of a feed that was not read yet.
const never = time.Hour

// state is what a node tells of one feed: how long ago it was read to its end,
// and the offset after the last record that changed something.
type state struct {
	age     time.Duration
	changed types.Offset
}

// Progress tells how far the nodes have read one feed, so that a few of them
// read it for all. It is safe for concurrent use.
type Progress struct {
	own     atomic.Int64  // when this node read the end, in Unix nanoseconds
	peers   atomic.Int64  // the same for the freshest other node
	teller  atomic.Uint64 // hash of the name of that node
	changed atomic.Int64  // offset after the last change that this node has read
	next    atomic.Int64  // offset from which this node reads on
	// queued is the offset that the news in the queue reaches.
	queued atomic.Int64
	wake   chan struct{}
	news   chan feed.News
}

// newsQueue bounds the news that waits to be folded. What does not fit is read
// from the store.
const newsQueue = 32

func newProgress() *Progress {
	return &Progress{wake: make(chan struct{}, 1), news: make(chan feed.News, newsQueue)}
}

// Read records that this node has read the feed at now, up to the offset next.
// changed is the offset after the last record that changed something, 0 for none.
func (p *Progress) Read(now time.Time, next, changed types.Offset) {
	p.own.Store(now.UnixNano())
	p.next.Store(int64(next))
	if int64(changed) > p.changed.Load() {
		p.changed.Store(int64(changed))
	}
}

// Told records that all is known up to the offset next after news, which may not
// have been usable. The change is not told
// again: the node that has read it says so, and a second node that did would
// have the others read what is on its way to them.
func (p *Progress) Told(next types.Offset) {
	p.next.Store(int64(next))
	if len(p.news) == 0 {
		p.queued.Store(int64(next))
	}
}

// News receives what other nodes have read.
func (p *Progress) News() <-chan feed.News { return p.news }

// tell queues news that follows what is known or queued. It reports false if the
// changes have to be read from the store instead.
func (p *Progress) tell(n feed.News) bool {
	known := max(p.next.Load(), p.queued.Load())
	if int64(n.Next) <= known {
		return true
	}
	if int64(n.Since) > known {
		return false
	}
	select {
	case p.news <- n:
		p.queued.Store(int64(n.Next))
		return true
	default:
		return false
	}
}

// Own returns when this node has last read the end of the feed.
func (p *Progress) Own() time.Time { return time.Unix(0, p.own.Load()) }

// Freshest returns when any node has last read the end of the feed, as far as
// this node was told.
func (p *Progress) Freshest() time.Time { return time.Unix(0, max(p.own.Load(), p.peers.Load())) }

// Knowledge says what a node's knowledge of a feed rests on.
type Knowledge struct {
	// Own is the time since the node's own last read of the end of the feed, and
	// Told the same for the freshest other node, as far as this one was told.
	Own, Told time.Duration
	// Teller is that node; empty if it is not known by name.
	Teller types.VMID
	// Next is the offset up to which the node has read or was told of changes.
	Next types.Offset
}

// Knowledge returns what this node's knowledge of a feed rests on at now.
func (s *Share) Knowledge(index int, now time.Time) Knowledge {
	p := s.feeds[index]
	return Knowledge{
		Own: now.Sub(p.Own()), Told: now.Sub(time.Unix(0, p.peers.Load())),
		Teller: s.peers.Load().name(p.teller.Load()), Next: types.Offset(p.next.Load()),
	}
}

// Wake receives a value when another node has read a change that this one has
// not.
func (p *Progress) Wake() <-chan struct{} { return p.wake }

func (p *Progress) state(now time.Time) state {
	age := never
	if own := p.own.Load(); own > 0 {
		age = min(max(now.Sub(time.Unix(0, own)), 0), never)
	}
	return state{age, types.Offset(p.changed.Load())}
}

// hear folds what another node tells.
func (p *Progress) hear(s state, sender uint64, now time.Time) {
	if s.age < never {
		if at := now.Add(-s.age).UnixNano(); at > p.peers.Load() {
			p.peers.Store(at)
			p.teller.Store(sender)
		}
	}
	if int64(s.changed) > max(p.next.Load(), p.queued.Load()) {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}
