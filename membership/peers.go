package membership

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Peer is the last reported state of another control daemon.
type Peer struct {
	VM          types.VMID
	DataCentre  types.DataCentreID
	Incarnation string
	Revision    types.Revision
	LastSeen    time.Time
	Stopping    bool
}

// Table contains the peers of one daemon. It is not safe for concurrent use.
type Table struct {
	self         types.VMID
	suspectAfter time.Duration
	peers        map[types.VMID]*Peer
}

// NewTable returns an empty table for the daemon self. A peer is live if it was last seen less
// than suspectAfter ago.
func NewTable(self types.VMID, suspectAfter time.Duration) *Table {
	return &Table{self: self, suspectAfter: suspectAfter, peers: map[types.VMID]*Peer{}}
}

// Update records the state that a peer reported. It ignores reports of this daemon.
func (t *Table) Update(p Peer) {
	if p.VM == t.self {
		return
	}
	t.peers[p.VM] = &p
}

// RemoveStale removes the peers that were last seen before the given time and returns them.
func (t *Table) RemoveStale(before time.Time) []types.VMID {
	var out []types.VMID
	for vm, p := range t.peers {
		if p.LastSeen.Before(before) {
			delete(t.peers, vm)
			out = append(out, vm)
		}
	}
	return out
}

// Peers returns all peers, sorted by VM.
func (t *Table) Peers() []Peer {
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return out
}

// Live returns this daemon and the live peers of a data centre that are not stopping, sorted.
func (t *Table) Live(dc types.DataCentreID, now time.Time) []types.VMID {
	out := []types.VMID{t.self}
	for _, p := range t.peers {
		if p.DataCentre == dc && !p.Stopping && now.Sub(p.LastSeen) < t.suspectAfter {
			out = append(out, p.VM)
		}
	}
	slices.Sort(out)
	return out
}
