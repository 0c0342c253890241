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

// peerList holds the other daemons: those of the own data centre get every
// message; of each other data centre one gets it and passes it on there.
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

// name returns the name of the node with a hash, or an empty one.
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

// SetPeers replaces the list of the other daemons. own is the data centre of
// this one.
func (s *Exchanger) SetPeers(all []Peer, own types.DataCentreID) {
	l := &peerList{}
	at := map[types.DataCentreID]int{}
	for _, p := range all {
		if p.DataCentre == own {
			l.local = append(l.local, p)
			continue
		}
		i, ok := at[p.DataCentre]
		if !ok {
			i = len(l.remote)
			at[p.DataCentre] = i
			l.remote = append(l.remote, nil)
		}
		l.remote[i] = append(l.remote[i], p)
	}
	s.peers.Store(l)
}

// relays returns the daemon of each other data centre that passes messages on:
// the one that rendezvous hashing prefers among those heard lately, or among all
// if none was.
func (s *Exchanger) relays(l *peerList) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Peer, 0, len(l.remote))
	for _, dc := range l.remote {
		best, bestRank, bestLive := dc[0], uint64(0), false
		for _, p := range dc {
			h := p.hash()
			live := s.from[h] != nil
			rank := (h ^ s.self) * 0x9e3779b97f4a7c15
			if live && !bestLive || live == bestLive && rank > bestRank {
				best, bestRank, bestLive = p, rank, live
			}
		}
		out = append(out, best)
	}
	return out
}
