package routing

import (
	"math/bits"
	"slices"
)

// ring is a consistent hash ring: a set of targets in the order of their hashes.
// Daemons with the same targets agree on the order of preference for a key without
// communicating.
type ring struct {
	targets []*Target
	hashes  []uint64
	// starts divides the hash space into len(targets) equal parts and contains the
	// index of the first target of each, for lookups in constant expected time.
	starts []int32
}

func (g *ring) add(t *Target) { g.targets = append(g.targets, t) }

// buildIndex prepares the ring for lookups. No targets may be added afterwards.
func (g *ring) buildIndex() {
	g.starts = make([]int32, len(g.targets))
	g.hashes = make([]uint64, len(g.targets))
	for i, t := range g.targets {
		g.hashes[i] = t.Hash
	}
	at := 0
	for i := range g.starts {
		for at < len(g.hashes) && g.positionOf(g.hashes[at]) < i {
			at++
		}
		g.starts[i] = int32(at)
	}
}

func (g *ring) len() int { return len(g.targets) }

// firstFrom returns the index of the first target at or after the hash, wrapping
// around at the end of the ring.
func (g *ring) firstFrom(hash uint64) int {
	i := int(g.starts[g.positionOf(hash)])
	for i < len(g.hashes) && g.hashes[i] < hash {
		i++
	}
	if i == len(g.hashes) {
		return 0
	}
	return i
}

// positionOf maps a fraction of the ring, in units of 2^-64, to an index. It divides
// the ring into as many equal parts as there are targets.
func (g *ring) positionOf(fraction uint64) int {
	hi, _ := bits.Mul64(fraction, uint64(len(g.targets)))
	return int(hi)
}

const (
	// ringProbes is the number of hash probes per key. The target with the most keys
	// has about 1+1/ringProbes times the mean.
	ringProbes = 8
	// maxRanked is the largest number of targets in a ranking.
	maxRanked = ringProbes
)

// ranking is a list of targets in the order of preference for a key, the preferred
// one first.
type ranking struct {
	targets [maxRanked]*Target
	weights [maxRanked]uint64
	n       int
}

// rank computes the ranking for a key by multi-probe consistent hashing (Appleton
// and O'Reilly 2015), at a cost that does not depend on the size of the ring.
// Removing a target changes the first choice only of the keys that preferred it.
// The ranking contains all targets of a ring with up to maxRanked of them.
func (g *ring) rank(key uint64, out *ranking) {
	out.n = 0
	at := 0
	for i := range uint64(ringProbes) {
		probe := mix(key + i*0x9e3779b97f4a7c15)
		at = g.firstFrom(probe)
		// The closest target wins. Unsigned subtraction wraps around with the ring.
		out.insert(g.targets[at], ^(g.hashes[at] - probe))
	}
	// On a small ring the probes hit few distinct targets. Append the others in the
	// order of the ring.
	for i := 1; i < len(g.targets) && out.n < min(len(g.targets), maxRanked); i++ {
		if t := g.targets[(at+i)%len(g.targets)]; !out.contains(t) {
			out.targets[out.n] = t
			out.n++
		}
	}
}

func (k *ranking) contains(t *Target) bool { return slices.Contains(k.targets[:k.n], t) }

// insert adds a target, or raises its weight if it is ranked already. The ranking
// stays sorted by descending weight.
func (k *ranking) insert(t *Target, weight uint64) {
	i := k.n
	for j := range k.n {
		if k.targets[j] != t {
			continue
		}
		if k.weights[j] >= weight {
			return
		}
		i = j
		k.n--
		break
	}
	k.n++
	for ; i > 0 && k.weights[i-1] < weight; i-- {
		k.targets[i], k.weights[i] = k.targets[i-1], k.weights[i-1]
	}
	k.targets[i], k.weights[i] = t, weight
}
