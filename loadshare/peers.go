package loadshare

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// Peer is another daemon.
type Peer struct {
	Name       types.VMID
	DataCentre types.DataCentreID
	Address    netip.AddrPort
}

func (p Peer) hash() uint64 { return xxhash.Sum64String(string(p.Name)) }

// peerList holds the other daemons. All daemons of the local data centre receive each
// message directly. In each remote data centre, one daemon receives it and forwards it.
type peerList struct {
	local  []Peer
	remote [][]Peer // by data centre
}

func (l *peerList) len() int {
	n := len(l.local)
	for _, dc := range l.remote {
		n += len(dc)
	}
	return n
}

// name returns the name of the peer with the given hash, or "" if there is none.
func (l *peerList) name(hash uint64) types.VMID {
	for _, group := range append([][]Peer{l.local}, l.remote...) {
		for _, p := range group {
			if p.hash() == hash {
				return p.Name
			}
		}
	}
	return ""
}

// SetPeers replaces the list of the other daemons. local is the data centre of this daemon.
func (e *Exchanger) SetPeers(peers []Peer, local types.DataCentreID) {
	l := &peerList{}
	index := map[types.DataCentreID]int{}
	for _, p := range peers {
		if p.DataCentre == local {
			l.local = append(l.local, p)
			continue
		}
		i, ok := index[p.DataCentre]
		if !ok {
			i = len(l.remote)
			index[p.DataCentre] = i
			l.remote = append(l.remote, nil)
		}
		l.remote[i] = append(l.remote[i], p)
	}
	e.peers.Store(l)
}

// relays returns the daemon of each remote data centre that forwards messages: the one that
// rendezvous hashing prefers among the live daemons, or among all if none is live.
func (e *Exchanger) relays(l *peerList) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Peer, 0, len(l.remote))
	for _, dc := range l.remote {
		best, bestRank, bestLive := dc[0], uint64(0), false
		for _, p := range dc {
			h := p.hash()
			live := e.peerStates[h] != nil
			rank := (h ^ e.self) * 0x9e3779b97f4a7c15
			if live && !bestLive || live == bestLive && rank > bestRank {
				best, bestRank, bestLive = p, rank, live
			}
		}
		out = append(out, best)
	}
	return out
}
