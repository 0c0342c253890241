package node

import (
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
)

// Feeds of the store that the nodes follow together.
const (
	feedConfig = iota
	feedRegistrations
	feedMembers
)

// pace says when a node reads a feed. The first node of each data centre reads
// at its interval and tells the others of changes, which then read at once. The
// others read by themselves when nobody tells of a fresh read, each a turn later
// than the one before it in line, and now and then in any case.
type pace struct {
	progress *loadshare.Progress
	interval time.Duration // between two reads of the reader
	wait     time.Duration // for changes, of a read of the reader
	// stale is the age of the freshest read of any node from which the next node
	// in line reads by itself.
	stale time.Duration
	// place returns the place in line, 0 first.
	place func() int
	now   func() clock.Instant
	// announce tells the other nodes of a read at once.
	announce func()
	// leads says that the last read was this node's turn: it reads for others. It
	// is used by the goroutine that reads alone.
	leads bool
}

const (
	// staleTurn is by how much later each node in line takes over.
	staleTurn = 100 * time.Millisecond
	// maxTurns bounds the turns, so that the last node in line is in time for the
	// bounds on configuration and on leaving targets.
	maxTurns = 5
	// rarely is the longest time between two reads of any node. It bounds how long
	// an error in what another node has told can last.
	rarely = 2 * time.Minute
	// tellTime is how long it takes until the others have heard of a read: a beat
	// of the load messages and some more.
	tellTime = 600 * time.Millisecond
	minStale = 800 * time.Millisecond
)

// newPace returns when a node reads a feed whose reader reads at interval and
// waits for changes.
func newPace(s *loadshare.Exchanger, index int, interval, wait time.Duration, place func() int, now func() clock.Instant) *pace {
	return &pace{
		progress: s.Feed(index), interval: interval, wait: wait, now: now,
		stale: staleAfter(interval, wait), place: place, announce: s.RequestFullState,
	}
}

// staleAfter returns the age of the freshest read of any node from which the next
// node in line reads.
func staleAfter(interval, wait time.Duration) time.Duration {
	return max(interval+wait+tellTime, minStale)
}

// latestRead returns the time between two reads that a node knows of, its own or
// another one's, while the store answers it.
func latestRead(interval, wait time.Duration) time.Duration {
	return staleAfter(interval, wait) + maxTurns*staleTurn
}

// due implements feed.Schedule.
func (p *pace) due(now clock.Instant) (pause, wait time.Duration) {
	place := p.place()
	own := p.progress.LocalAge(now)
	if place == 0 {
		p.leads = true
		// A read with changes is true as of its start only. The next one waits for
		// less, so that the others do not find its claim stale before.
		return p.interval - own, max(p.wait-max(own-p.interval, 0), 0)
	}
	limit := p.stale + staleTurn*time.Duration(min(place, maxTurns))
	fresh := limit - p.progress.Age(now)
	p.leads = fresh <= 0
	return min(fresh, rarely-own), 0
}

// read records a read. Only nodes that read for others tell of what has changed.
func (p *pace) read(r feed.ReadResult) {
	p.progress.RecordRead(r, p.leads)
	if p.leads && p.place() > 0 {
		p.announce()
	}
}

// informedPause bounds the pause after a failed read while other nodes tell of
// fresh reads: this node is turned away alone and gets the changes from them. It
// leaves time for the bound on configurations once the store answers again.
const informedPause = 2 * time.Second

// maxPause returns the longest pause after a failed read.
func (p *pace) maxPause(longest time.Duration) time.Duration {
	if p.progress.Age(p.now()) < p.stale {
		return max(longest, informedPause)
	}
	return longest
}

func (p *pace) schedule(minPause, longest time.Duration) feed.Schedule {
	return feed.Schedule{
		Now: p.now, Due: p.due, OnRead: p.read, Wake: p.progress.Wake(), PeerUpdates: p.progress.Updates(),
		OnApplied: p.progress.RecordApplied, OnMissed: p.progress.RecordMissed,
		MinPause: minPause, MaxPause: func() time.Duration { return p.maxPause(longest) },
	}
}
