package node

import (
	"time"

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
}

const (
	// staleTurn is by how much later each node in line takes over.
	staleTurn = 100 * time.Millisecond
	// maxTurns bounds the turns, so that the last node in line is in time for the
	// bounds on configuration and on leaving targets.
	maxTurns = 5
	// rarely is the longest time between two reads of any node.
	rarely = 30 * time.Second
)

// due implements feed.Schedule.
func (p *pace) due(now time.Time) (pause, wait time.Duration) {
	own := now.Sub(p.progress.Own())
	place := p.place()
	if place == 0 || own >= rarely {
		return p.interval - own, p.wait
	}
	limit := p.stale + staleTurn*time.Duration(min(place, maxTurns))
	fresh := limit - now.Sub(p.progress.Freshest())
	return min(fresh, rarely-own), 0
}

func (p *pace) schedule(minPause, maxPause time.Duration) feed.Schedule {
	return feed.Schedule{
		Due: p.due, Read: p.progress.Read, Wake: p.progress.Wake(), MinPause: minPause, MaxPause: maxPause,
	}
}
