package loadshare

import (
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// Feeds is the number of feeds of the store that the nodes follow together.
const Feeds = 3

// never is the age of a feed that was not read yet.
const never = time.Hour

// claim is what a node tells of its reads of one feed. It has read the feed up
// to through. Whoever knows all that matters up to base knows all that matters
// up to through as well, as of age before the message was made.
type claim struct {
	age time.Duration
	// changed is the offset after the last change that the node tells.
	changed types.Offset
	// base is at least changed. It is higher after a list, whose changes to what
	// was known before are told by nobody, and after changes that another node
	// tells or nobody: that the sender knows them does not mean that they have
	// reached all.
	base    types.Offset
	through types.Offset
}

// Progress tells how far the nodes have read one feed, so that a few of them
// read it for all. It is safe for concurrent use.
type Progress struct {
	wake chan struct{}
	news chan feed.Update

	mu sync.Mutex // not taken on the path of a request
	// own is the last read of this node.
	own     feed.ReadResult
	hasRead bool
	// changed and base are those of the claims of this node.
	changed, base types.Offset
	// next is the offset from which this node reads on, queued the one that the
	// news in the queue reaches.
	next, queued types.Offset
	// through is the offset up to which the claims of other nodes say that nothing
	// matters beyond what this node knows.
	through types.Offset
	// peerRead is when the freshest other node had read the feed, by claims that
	// helped this node, and teller the hash of its name.
	peerRead    clock.Instant
	hasPeerRead bool
	teller      uint64
	// refused counts the claims that did not help this node, because it does not
	// know the feed up to their base.
	refused int64
}

// newsQueue bounds the news that waits to be folded. What does not fit is read
// from the store.
const newsQueue = 32

func newProgress() *Progress {
	return &Progress{wake: make(chan struct{}, 1), news: make(chan feed.Update, newsQueue)}
}

// RecordRead records a read of this node. published says that the other nodes are told
// of what has changed in it.
func (p *Progress) RecordRead(r feed.ReadResult, published bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own, p.hasRead = r, true
	p.next = max(p.next, r.Next)
	switch {
	case r.Listed:
		p.base = max(p.base, r.Next)
	case r.Changed > 0:
		p.base = max(p.base, r.Changed)
		if published {
			p.changed = max(p.changed, r.Changed)
		}
	}
}

// RecordApplied records that all is known up to the offset next after news. The change is
// not told again: the node that has read it says so, and a second node that did
// would have the others read what is on its way to them. They may miss it there,
// so that the claims of this node rest on it.
func (p *Progress) RecordApplied(next types.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.base = max(p.next, next), max(p.base, next)
	if len(p.news) == 0 {
		p.queued = p.next
	}
}

// RecordMissed records that news could not be used, so that no more is known than up
// to the offset next. What other nodes have claimed since rests on that news.
func (p *Progress) RecordMissed(next types.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.queued, p.through, p.hasPeerRead = next, next, 0, false
	p.ask()
}

// Updates receives what other nodes have read.
func (p *Progress) Updates() <-chan feed.Update { return p.news }

// tell queues news that follows what is known or queued. It reports false if the
// changes have to be read from the store instead.
func (p *Progress) tell(n feed.Update) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := max(p.next, p.queued)
	if n.Next <= known {
		return true
	}
	if n.Since > known {
		return false
	}
	select {
	case p.news <- n:
		p.queued = n.Next
		return true
	default:
		return false
	}
}

// LocalAge returns the time since this node last read to the end of the feed.
func (p *Progress) LocalAge(now clock.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownAge(now)
}

func (p *Progress) ownAge(now clock.Instant) time.Duration {
	if !p.hasRead {
		return never
	}
	return min(now.Sub(p.own.AsOf), never)
}

func (p *Progress) peerAge(now clock.Instant) time.Duration {
	if !p.hasPeerRead {
		return never
	}
	return min(now.Sub(p.peerRead), never)
}

// Age returns the time since any node has last read the end of the feed, as far
// as this node knows all that the other one had read.
func (p *Progress) Age(now clock.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.ownAge(now), p.peerAge(now))
}

// ClaimsRefused returns the number of claims of other nodes that did not help this
// node, because they rest on changes that it does not know.
func (p *Progress) ClaimsRefused() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Wake receives a value when another node has read a change that this one has
// not.
func (p *Progress) Wake() <-chan struct{} { return p.wake }

func (p *Progress) ask() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// claim returns what this node tells of the feed at now.
func (p *Progress) claim(now clock.Instant) claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	return claim{p.ownAge(now), p.changed, p.base, max(p.own.Next, p.base)}
}

// hear folds what another node tells of a read at asOf.
func (p *Progress) hear(c claim, asOf clock.Instant, sender uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := max(p.next, p.queued, p.through)
	if c.changed > known {
		p.ask()
	}
	if c.age >= never {
		return
	}
	if c.base > known {
		p.refused++
		return
	}
	p.through = max(p.through, c.through)
	if !p.hasPeerRead || asOf > p.peerRead {
		p.peerRead, p.hasPeerRead, p.teller = asOf, true, sender
	}
}

// ReadState says what a node's knowledge of a feed rests on.
type ReadState struct {
	// Own is the time since the node's own last read of the end of the feed, and
	// Peer the same for the freshest other node whose claim helped this one.
	Local, Peer time.Duration
	// Sender is that node; empty if it is not known by name.
	Sender types.VMID
	// Next is the offset up to which the node has read or was told of changes, and
	// Through the one up to which others have claimed that there are no more.
	Next, ClaimedUpTo types.Offset
}

// ReadState returns what this node's knowledge of a feed rests on at now.
func (s *Exchanger) ReadState(index int, now clock.Instant) ReadState {
	p := s.feeds[index]
	p.mu.Lock()
	defer p.mu.Unlock()
	return ReadState{p.ownAge(now), p.peerAge(now), s.peers.Load().name(p.teller), p.next, p.through}
}
