package loadshare

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// Feeds is the number of feeds of the store whose reads the nodes share.
const Feeds = 4

// neverRead is the age of a feed that was not read yet, and the upper bound of all ages.
const neverRead = time.Hour

// claim is the statement of a node about its reads of one feed: the node has read the feed
// up to readUpTo, and there are no relevant changes between base and readUpTo. A receiver
// that has applied all relevant changes up to base therefore has those up to readUpTo, as of
// age before the message was created.
type claim struct {
	age time.Duration
	// changed is the offset after the last change that the node publishes.
	changed types.Offset
	// base is at least changed. It is higher after a list, as no node publishes what a
	// list changes, and after changes that another node publishes or that are not
	// published: the sender has applied them, but they may not have reached all nodes.
	base     types.Offset
	readUpTo types.Offset
}

// Progress tracks how far this node and its peers have read one feed, so that a few nodes
// read it on behalf of all. It is safe for concurrent use.
type Progress struct {
	wake    chan struct{}
	updates chan feed.Update
	eras    *eraTracker
	now     func() clock.Instant

	mu sync.Mutex // not taken on the path of a request
	// lastRead is the last read of this node.
	lastRead feed.ReadResult
	hasRead  bool
	// era is the era of all offsets, in which this node has listed the feed.
	era types.Era
	// listPending reports that this node has to list the feed again, at listDue if it does not do so
	// earlier, because the source has begun another era.
	listPending bool
	listDue     clock.Instant
	// changed and base are the fields of the claims that this node sends.
	changed, base types.Offset
	// next is the offset from which this node continues to read. queuedUpTo is the offset
	// that is reached once the queued updates are applied.
	next, queuedUpTo types.Offset
	// knownUpTo is the offset up to which, by the claims of peers, the source has relevant records,
	// and announcer the hash of the name of the peer that was the first to claim it.
	knownUpTo types.Offset
	announcer uint64
	// wakePending reports whether a wake is delayed.
	wakePending bool
	// claimedUpTo is the offset up to which, by the claims of peers, there are no relevant
	// changes that this node has not applied or queued.
	claimedUpTo types.Offset
	// peerRead is the time of the latest read of a peer, according to the claims that this
	// node could use. freshestPeer is the hash of the name of that peer.
	peerRead     clock.Instant
	hasPeerRead  bool
	freshestPeer uint64
	// seenNext is the value of next at the latest claim, and seenAt the time of the first claim at
	// which it had this value.
	seenNext types.Offset
	seenAt   clock.Instant
	// refused counts the claims that this node could not use, because it has not applied
	// the feed up to their base.
	refused int64
}

// updateQueueLength bounds the updates that wait to be applied. Changes that do not fit are
// read from the store.
const updateQueueLength = 2 * maxUpdateFragments

const (
	// minWakeDelay and MaxWakeDelay bound the random time from the claim of a change that this
	// node has not received to its wake. An update that travels another way than the claim is
	// later by the pauses of two hubs. Without the spread, the 39 nodes of a data centre of
	// mtc-lentil-large began to read 190 KB each within 10 ms of the same notification.
	minWakeDelay = 2 * minRelayedPause
	MaxWakeDelay = 80 * time.Millisecond
)

func newProgress(eras *eraTracker, now func() clock.Instant) *Progress {
	return &Progress{eras: eras, now: now, wake: make(chan struct{}, 1), updates: make(chan feed.Update, updateQueueLength)}
}

// RecordRead records a read of this node. published indicates that its changes are sent to
// the other nodes.
func (p *Progress) RecordRead(r feed.ReadResult, published bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Listed {
		p.eras.listed(r.Era, r.AsOf, p.now())
		if r.Era != p.era || r.Next < p.next {
			p.reset()
		}
		p.era, p.listPending = r.Era, false
	}
	p.lastRead, p.hasRead = r, true
	p.next = max(p.next, r.Next)
	p.cancelWake()
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

// reset forgets all offsets, because the source has returned from an older copy and gives out
// offsets again. The caller holds p.mu and is the goroutine that receives the updates.
func (p *Progress) reset() {
	p.changed, p.base, p.next, p.queuedUpTo, p.knownUpTo, p.claimedUpTo, p.seenNext = 0, 0, 0, 0, 0, 0, 0
	p.hasPeerRead = false
	for len(p.updates) > 0 {
		<-p.updates
	}
}

// maxTransit is the longest time from a claim to its arrival for which endsEarlier allows.
const maxTransit = time.Second

// endsEarlier reports whether a claim that states no era proves that the source has returned from an
// older copy: it was read after this node had applied an offset, and ended before it. The caller holds
// p.mu.
func (p *Progress) endsEarlier(c claim, asOf clock.Instant) bool {
	if p.next != p.seenNext {
		p.seenNext, p.seenAt = p.next, asOf.Add(c.age)
	}
	return c.readUpTo < p.next && asOf.Sub(p.seenAt) > maxTransit
}

// RecordApplied records that all changes up to the offset next are applied after an update
// from a peer. It raises base, but not changed. The peer that read the change announces it;
// if this node announced it too, other nodes would read from the store what is already on
// its way to them. The update may still be lost on that way, so the claims of this node
// require it as their base.
func (p *Progress) RecordApplied(next types.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.base = max(p.next, next), max(p.base, next)
	if len(p.updates) == 0 {
		p.queuedUpTo = p.next
	}
}

// RecordMissed records that an update could not be used, so that changes are only applied up
// to the offset next. It discards the claims of peers, which depend on that update, and
// requests a read.
func (p *Progress) RecordMissed(next types.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.queuedUpTo, p.claimedUpTo, p.hasPeerRead = next, next, 0, false
	p.requestRead()
}

// Updates returns the channel of the queued updates from other nodes.
func (p *Progress) Updates() <-chan feed.Update { return p.updates }

// has reports whether all changes up to an offset are applied or queued.
func (p *Progress) has(next types.Offset) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return next <= max(p.next, p.queuedUpTo)
}

// enqueue queues an update that follows or overlaps the applied and queued changes. It
// returns false if the changes have to be read from the store instead. An update of another era
// than that of the last list is ignored.
func (p *Progress) enqueue(u feed.Update) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u.Era != 0 && u.Era != p.era {
		return true // the list that this node has to make includes the changes
	}
	upTo := max(p.next, p.queuedUpTo)
	if u.Next <= upTo {
		return true
	}
	if u.Since > upTo {
		return false
	}
	select {
	case p.updates <- u:
		p.queuedUpTo = u.Next
		return true
	default:
		return false
	}
}

// LocalAge returns the time since this node last read to the end of the feed.
func (p *Progress) LocalAge(now clock.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.localAge(now)
}

func (p *Progress) localAge(now clock.Instant) time.Duration {
	if !p.hasRead {
		return neverRead
	}
	return min(now.Sub(p.lastRead.AsOf), neverRead)
}

func (p *Progress) peerAge(now clock.Instant) time.Duration {
	if !p.hasPeerRead {
		return neverRead
	}
	return min(now.Sub(p.peerRead), neverRead)
}

// Age returns the time since this node or a peer last read to the end of the feed. The read
// of a peer only counts if this node has applied or queued all changes found by it. The age is 0
// while this node waits until it lists the feed again.
func (p *Progress) Age(now clock.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listPending && now < p.listDue {
		return 0
	}
	return min(p.localAge(now), p.peerAge(now))
}

// ClaimsRefused returns the number of claims of other nodes that this node could not use,
// because it has not applied all changes up to their base.
func (p *Progress) ClaimsRefused() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// KnownUpTo returns the offset up to which, by the claims of peers, the source has relevant
// records, whether this node has applied them or not.
func (p *Progress) KnownUpTo() types.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knownUpTo
}

// Wake returns a channel that receives a value when a peer has read a change that this node
// has neither applied nor queued, and does not receive within a short time.
func (p *Progress) Wake() <-chan struct{} { return p.wake }

// delayWake requests a read after a random time, unless the change has arrived by then. The
// caller holds p.mu.
func (p *Progress) delayWake() {
	if p.wakePending {
		return
	}
	p.wakePending = true
	p.wakeAfter(minWakeDelay+rand.N(MaxWakeDelay-minWakeDelay), p.lacksKnown)
}

// wakeAfter requests a read after a time if it is still needed. The caller has set wakePending.
func (p *Progress) wakeAfter(d time.Duration, needed func() bool) {
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakePending = false
		if needed() {
			p.requestRead()
		}
	})
}

// expectList requests a list of the feed after a delay, because the source has begun another era. What
// peers have claimed or sent refers to the one before. A node that has not listed the feed yet does so
// anyway.
func (p *Progress) expectList(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownUpTo, p.claimedUpTo, p.queuedUpTo = 0, 0, p.next
	if !p.hasRead || p.listPending {
		return
	}
	p.listPending, p.listDue = true, p.now().Add(delay)
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.listPending {
			p.requestRead()
		}
	})
}

// maxListDelay spreads the lists of all nodes after the source has returned from an older copy without
// stating an era.
const maxListDelay = 500 * time.Millisecond

// delayList requests a read after a random time, unless the node has listed the source by then. The
// caller holds p.mu.
func (p *Progress) delayList() {
	if p.wakePending {
		return
	}
	p.wakePending = true
	applied := p.next
	p.wakeAfter(rand.N(maxListDelay), func() bool { return p.next >= applied })
}

// lacksKnown reports whether a peer has claimed a change that this node has neither applied
// nor queued, or the feed has to be listed again.
func (p *Progress) lacksKnown() bool {
	return p.listPending || p.knownUpTo > max(p.next, p.queuedUpTo, p.claimedUpTo)
}

// cancelWake takes back a request for a read of changes that have arrived meanwhile.
func (p *Progress) cancelWake() {
	if p.lacksKnown() {
		return
	}
	select {
	case <-p.wake:
	default:
	}
}

// RequestRead requests a read of the source, for changes that no peer has claimed.
func (p *Progress) RequestRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestRead()
}

func (p *Progress) requestRead() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// claim returns the claim of this node at now for a message that states an era.
func (p *Progress) claim(now clock.Instant, era types.Era) claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.era != era {
		return claim{age: neverRead}
	}
	return claim{p.localAge(now), p.changed, p.base, max(p.lastRead.Next, p.base)}
}

// applyClaim applies a claim of another node about a read at asOf, in a message that states era or, with
// 0, none.
func (p *Progress) applyClaim(c claim, era types.Era, asOf clock.Instant, sender uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if era != 0 && era != p.era {
		return
	}
	if p.era != 0 && era == 0 {
		// The read shows nothing of a return of the source, so that some node of this release has to
		// read as well.
		c.age = neverRead
	}
	if era == 0 && c.age < neverRead && p.endsEarlier(c, asOf) {
		p.refused++
		p.hasPeerRead = false
		p.delayList()
		return
	}
	if c.changed > p.knownUpTo {
		p.knownUpTo, p.announcer = c.changed, sender
	}
	upTo := max(p.next, p.queuedUpTo, p.claimedUpTo)
	if c.changed > upTo {
		p.delayWake()
	}
	if c.age >= neverRead {
		return
	}
	if c.base > upTo {
		p.refused++
		return
	}
	p.claimedUpTo = max(p.claimedUpTo, c.readUpTo)
	if !p.hasPeerRead || asOf > p.peerRead {
		p.peerRead, p.hasPeerRead, p.freshestPeer = asOf, true, sender
	}
}

// ReadState describes how far a node has read and applied a feed.
type ReadState struct {
	// Local is the time since this node last read to the end of the feed, and Peer the same
	// for the peer with the latest read whose claim this node could use.
	Local, Peer time.Duration
	// Sender is that peer, empty if it is not in the list of peers.
	Sender types.VMID
	// Next is the offset up to which this node has applied changes, and ClaimedUpTo the one
	// up to which peers have claimed that there are no further changes.
	Next, ClaimedUpTo types.Offset
	// Pending reports whether changes of other nodes wait to be applied. Peer does not hold for
	// the applied state then.
	Pending bool
}

// ReadState returns the state of the feed with the given index at now.
func (e *Exchanger) ReadState(index int, now clock.Instant) ReadState {
	p := e.feeds[index]
	p.mu.Lock()
	defer p.mu.Unlock()
	return ReadState{p.localAge(now), p.peerAge(now), e.peers.Load().name(p.freshestPeer), p.next, p.claimedUpTo, p.queuedUpTo > p.next}
}

// ChangeSource returns the peer that was the first to claim the newest known change of the feed
// with the given index. ok is false if there is no such claim or the peer is not in the list.
func (e *Exchanger) ChangeSource(index int) (source Peer, ok bool) {
	p := e.feeds[index]
	p.mu.Lock()
	announcer := p.announcer
	p.mu.Unlock()
	return e.peers.Load().find(announcer)
}
