package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/types"
)

// Indexes of the feeds that the nodes share.
const (
	feedConfig = iota
	feedRegistrations
	feedMembers
	feedVersions
)

// readPacer decides when a node reads a feed. The first-ranked node of each data centre is the
// reader: it reads at its interval and publishes changes to the others, which apply them or read
// at once. If no node reports a recent read, the next-ranked nodes take over, each one
// takeoverStep after its predecessor. Every node also reads once per maxReadInterval.
type readPacer struct {
	progress *loadshare.Progress
	interval time.Duration // between two reads by the reader
	wait     time.Duration // for changes, in a read by the reader
	// takeoverAge is the age of the latest read by any node at which the next-ranked node takes
	// over.
	takeoverAge time.Duration
	// rank returns the rank of this node; the reader has rank 0.
	rank func() int
	now  func() clock.Instant
	// announce sends the progress of this node to the others without waiting for the next
	// heartbeat.
	announce func()
	// era returns the newest known era of the store.
	era func() types.Era
	// fetchMissing, if not nil, fetches changes that peers have announced from one of them. It is
	// for feeds whose keys are never removed.
	fetchMissing func(ctx context.Context, from types.Position) (feed.Update, error)
	// onRead, if not nil, is called after each successful read.
	onRead func(feed.ReadResult)
	// readsForPeers reports whether the latest read was due because this node is the reader or
	// took over from it, so that the changes are published. It is used only by the goroutine
	// that reads.
	readsForPeers bool
	// publishNext makes the next read with changes one that is published.
	publishNext atomic.Bool
	// lastDuration is the duration of the latest read if it returned records, otherwise 0. It is
	// used only by the goroutine that reads.
	lastDuration time.Duration
}

const (
	// takeoverStep is the delay of each further rank before it takes over.
	takeoverStep = 100 * time.Millisecond
	// maxTakeoverSteps limits this delay, so that the last-ranked node meets the bounds on the
	// propagation of configurations and of leaving targets.
	maxTakeoverSteps = 5
	// maxReadInterval is the maximum time between two reads of each node. It limits how long
	// faulty updates from another node can have an effect.
	maxReadInterval = 2 * time.Minute
	// propagationTime is how long a read takes to become known to the other nodes: one heartbeat
	// interval of the load messages and a margin, in which loadshare.MaxWakeDelay fits.
	propagationTime = 600 * time.Millisecond
	minTakeoverAge  = 800 * time.Millisecond
)

// newReadPacer returns a pacer for a feed whose reader reads at interval, each time waiting for
// changes for wait.
func newReadPacer(s *loadshare.Exchanger, index int, interval, wait time.Duration, rank func() int, now func() clock.Instant) *readPacer {
	return &readPacer{
		progress: s.Feed(index), interval: interval, wait: wait, now: now,
		takeoverAge: takeoverAge(interval, wait), rank: rank, announce: s.RequestFullState, era: s.Era,
	}
}

// takeoverAge returns the age of the latest read by any node at which the next-ranked node takes
// over.
func takeoverAge(interval, wait time.Duration) time.Duration {
	return max(interval+wait+propagationTime, minTakeoverAge)
}

// maxReadGap returns the maximum time between two reads, by this node or as reported by another
// one, while the store answers this node.
func maxReadGap(interval, wait time.Duration) time.Duration {
	return takeoverAge(interval, wait) + maxTakeoverSteps*takeoverStep
}

// due is the Due function of feed.Schedule.
func (p *readPacer) due(now clock.Instant) (pause, wait time.Duration) {
	rank := p.rank()
	ownAge := p.progress.LocalAge(now)
	if rank == 0 {
		p.readsForPeers = true
		pause = p.interval - ownAge
		// Large records that change quickly would fill the link of the reader, which requests need
		// too. It pauses for as long as it has read, but begins the next read in time for the others
		// to depend on it, so that the bound of maxReadGap holds.
		rest := min(2*p.lastDuration, p.interval+p.wait) - ownAge
		// A read that returned changes is current only as of its start. The next one waits for
		// less time, so that it ends before the others consider this node's claim stale.
		return max(pause, rest), max(p.wait-max(ownAge-p.interval, 0), 0)
	}
	limit := p.takeoverAge + takeoverStep*time.Duration(min(rank, maxTakeoverSteps))
	left := limit - p.progress.Age(now)
	p.readsForPeers = left <= 0
	return min(left, maxReadInterval-ownAge), 0
}

// recordRead records a read and announces one that was made on behalf of other nodes, so that they
// do not read as well.
func (p *readPacer) recordRead(r feed.ReadResult) {
	p.readsForPeers = (r.Listed || r.Changed > 0) && p.publishNext.Swap(false) || p.readsForPeers
	p.lastDuration = r.Duration
	p.progress.RecordRead(r, p.readsForPeers)
	if p.onRead != nil {
		p.onRead(r)
	}
	if p.readsForPeers {
		p.announce()
	}
}

// publishChange reads a change of this node itself and publishes it to the others, which would read it
// only at the next interval.
func (p *readPacer) publishChange() {
	p.publishNext.Store(true)
	p.progress.RequestRead()
}

const (
	// maxInformedBackoff is the maximum delay after a failed read while other nodes report recent
	// reads: then the store fails for this node only, and it gets the changes from the others. The
	// delay is short enough to meet the bound on configurations once the store answers again.
	maxInformedBackoff = 2 * time.Second
	// outageReaders is the number of nodes of each data centre that try the store often while it
	// fails for all. The others get the changes from them once it answers.
	outageReaders = 3
)

// maxBackoff returns the maximum delay after a failed read. uninformed is the maximum while no other
// node reports a recent read.
func (p *readPacer) maxBackoff(uninformed time.Duration) time.Duration {
	if p.rank() >= outageReaders || p.progress.Age(p.now()) < p.takeoverAge {
		return max(uninformed, maxInformedBackoff)
	}
	return uninformed
}

func (p *readPacer) schedule(minPause, maxPause time.Duration) feed.Schedule {
	return feed.Schedule{
		Now: p.now, Due: p.due, OnRead: p.recordRead, Wake: p.progress.Wake(), PeerUpdates: p.progress.Updates(),
		OnApplied: p.progress.RecordApplied, OnMissed: p.progress.RecordMissed,
		Era: p.era, Known: p.progress.KnownUpTo, FetchMissing: p.fetchMissing,
		MinPause: minPause, MaxPause: func() time.Duration { return p.maxBackoff(maxPause) },
	}
}
