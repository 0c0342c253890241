package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// Peer is a daemon.
type Peer struct {
	Name       types.VMID
	DataCentre types.DataCentreID
	Address    netip.AddrPort
	// Cores is the processor capacity of the daemon's VM, in cores. Hubs are preferably
	// large VMs.
	Cores float64
}

func (p Peer) hash() uint64 { return xxhash.Sum64String(string(p.Name)) }

// directGroupSize is the number of daemons of a data centre up to which each of them sends
// its messages to all others. Above it, the messages of all are sent through a hub: the
// number of datagrams of direct sending grows with the square of the daemons.
const directGroupSize = 12

// group is the daemons of one data centre, best hub first.
type group struct {
	members []Peer
	hashes  []uint64 // of members
}

// relayed reports whether the group uses a hub.
func (g *group) relayed() bool { return len(g.members) > directGroupSize }

// peerList holds all daemons in reach. local includes this daemon.
type peerList struct {
	self   Peer
	local  group
	remote []group
	// others holds the daemons of the local data centre without this one.
	others []Peer
	// leaving holds daemons that are no longer members. They get messages, but forward none,
	// while they send some: a daemon that stops ends its membership before its last requests.
	leaving []Peer
}

// len returns the number of other daemons.
func (l *peerList) len() int {
	n := len(l.others)
	for i := range l.remote {
		n += len(l.remote[i].members)
	}
	return n
}

// all returns all other daemons, including those that are leaving.
func (l *peerList) all() []Peer {
	out := slices.Concat(l.others, l.leaving)
	for i := range l.remote {
		out = append(out, l.remote[i].members...)
	}
	return out
}

// contains reports whether the list has a member with the given hash.
func (l *peerList) contains(hash uint64) bool {
	return slices.Contains(l.local.hashes, hash) || slices.ContainsFunc(l.remote, func(g group) bool { return slices.Contains(g.hashes, hash) })
}

// hasDataCentre reports whether a data centre has members.
func (l *peerList) hasDataCentre(id types.DataCentreID) bool {
	return id == l.self.DataCentre || slices.ContainsFunc(l.remote, func(g group) bool { return g.members[0].DataCentre == id })
}

// find returns the peer with the given hash.
func (l *peerList) find(hash uint64) (Peer, bool) {
	for _, g := range append([]group{l.local}, l.remote...) {
		if i := slices.Index(g.hashes, hash); i >= 0 {
			return g.members[i], true
		}
	}
	return Peer{}, false
}

// name returns the name of the peer with the given hash, or "" if there is none.
func (l *peerList) name(hash uint64) types.VMID {
	p, _ := l.find(hash)
	return p.Name
}

// newPeerList groups the daemons by data centre.
func newPeerList(self Peer, others []Peer) *peerList {
	l := &peerList{self: self}
	byDataCentre := map[types.DataCentreID][]Peer{self.DataCentre: {self}}
	var order []types.DataCentreID
	for _, p := range others {
		if _, ok := byDataCentre[p.DataCentre]; !ok {
			order = append(order, p.DataCentre)
		}
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
		if p.DataCentre == self.DataCentre {
			l.others = append(l.others, p)
		}
	}
	l.local = newGroup(byDataCentre[self.DataCentre], self.hash())
	for _, dc := range order {
		l.remote = append(l.remote, newGroup(byDataCentre[dc], self.hash()))
	}
	return l
}

// newGroup sorts the members by capacity and, among equal ones, by rendezvous hashing, so
// that all daemons agree on the hub without communication. In a small group every daemon
// relays; there, spread selects another order for each sender, and capacity does not count.
func newGroup(members []Peer, spread uint64) group {
	large := len(members) > directGroupSize
	if large {
		spread = 0
	}
	rank := func(p Peer) uint64 { return (p.hash() ^ spread) * 0x9e3779b97f4a7c15 }
	slices.SortFunc(members, func(a, b Peer) int {
		if large && a.Cores != b.Cores {
			return cmp.Compare(b.Cores, a.Cores)
		}
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Name, b.Name))
	})
	g := group{members: members}
	for _, p := range members {
		g.hashes = append(g.hashes, p.hash())
	}
	return g
}

// HubOrder sorts the names of the daemons of a data centre with VMs of equal size in the order
// in which they become its hub.
func HubOrder(names []string) []string {
	var members []Peer
	for _, n := range names {
		members = append(members, Peer{Name: types.VMID(n)})
	}
	var out []string
	for _, p := range newGroup(members, 0).members {
		out = append(out, string(p.Name))
	}
	return out
}

const (
	// hubHeartbeat is the maximum time between two bundles of a hub, and hubTimeout the time
	// without one after which its group uses the next hub.
	hubHeartbeat = 150 * time.Millisecond
	hubTimeout   = 800 * time.Millisecond
	// hubSuspicion is the minimum time for which a silent hub is passed over. It is longer
	// than a freeze or a restart usually takes, so that the group does not alternate between
	// two hubs.
	hubSuspicion = 4 * time.Second
)

// hubSelector selects the hub of the local group: the first member from which bundles
// arrive. It is safe for concurrent use.
type hubSelector struct {
	mu sync.Mutex
	// heard is the time of the last bundle of each daemon of the local group, selected the
	// time since which it is in use as the hub, and suspected when it was found silent.
	heard, selected, suspected map[uint64]time.Time
	takeovers                  int64
}

func newHubSelector() *hubSelector {
	return &hubSelector{heard: map[uint64]time.Time{}, selected: map[uint64]time.Time{}, suspected: map[uint64]time.Time{}}
}

func (s *hubSelector) recordBundle(sender uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[sender] = now
}

// pick returns the index of the hub in the group. self is the hash of this daemon, which
// is never silent. If all others are suspected, it picks itself.
func (s *hubSelector) pick(g *group, self uint64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := 0
	for i, h := range g.hashes {
		if h == self {
			own = i
			break
		}
		if s.passedOver(h, now) {
			continue
		}
		since, ok := s.selected[h]
		if !ok {
			since = now
			s.selected[h] = now
		}
		if now.Sub(latest(since, s.heard[h])) <= hubTimeout {
			return i
		}
		s.suspected[h] = now
		delete(s.selected, h)
		s.takeovers++
	}
	return own
}

// passedOver reports whether a daemon was found silent, and ends its suspicion once it is
// over and the daemon was heard again. A daemon that considers itself the hub sends
// bundles whether others use it or not, so that there is no need to try it.
func (s *hubSelector) passedOver(h uint64, now time.Time) bool {
	since, ok := s.suspected[h]
	if !ok {
		return false
	}
	if now.Sub(since) < hubSuspicion || !s.heard[h].After(since) {
		return true
	}
	delete(s.suspected, h)
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forget discards what is known about daemons that are not in the group.
func (s *hubSelector) forget(g *group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range []map[uint64]time.Time{s.heard, s.selected, s.suspected} {
		for h := range m {
			if !slices.Contains(g.hashes, h) {
				delete(m, h)
			}
		}
	}
}
