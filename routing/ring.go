package routing

import (
	"math/bits"
	"slices"
)

// ring is a set of targets in the order of their hashes. Daemons with the same
// targets agree on the order of preference for a key without communication.
type ring struct {
	targets []*Target
	hashes  []uint64
	// starts holds for each of len(targets) equal parts of the hash space the
	// position of its first target, so that a lookup takes constant expected time.
	starts []int32
}

func (g *ring) add(t *Target) { g.targets = append(g.targets, t) }

// finish prepares lookups; no target may be added afterwards.
func (g *ring) finish() {
	g.starts = make([]int32, len(g.targets))
	g.hashes = make([]uint64, len(g.targets))
	for i, t := range g.targets {
		g.hashes[i] = t.Hash
	}
	at := 0
	for i := range g.starts {
		for at < len(g.hashes) && g.position(g.hashes[at]) < i {
			at++
		}
		g.starts[i] = int32(at)
	}
}

func (g *ring) len() int { return len(g.targets) }

// from returns the position of the first target at or after the hash.
func (g *ring) from(hash uint64) int {
	i := int(g.starts[g.position(hash)])
	for i < len(g.hashes) && g.hashes[i] < hash {
		i++
	}
	if i == len(g.hashes) {
		return 0
	}
	return i
}

// position returns the target position at a fraction of the ring in 1/2^64.
func (g *ring) position(fraction uint64) int {
	hi, _ := bits.Mul64(fraction, uint64(len(g.targets)))
	return int(hi)
}

const (
	// ringProbes is the number of probes of a key on a ring. The largest load of
	// a target is about 1+1/ringProbes of the mean.
	ringProbes = 8
	maxRanked  = ringProbes
)

// ranking lists targets by their preference for a key, the best first.
type ranking struct {
	targets [maxRanked]*Target
	weights [maxRanked]uint64
	n       int
}

// rank fills the ranking for a key by multi-probe consistent hashing (Appleton
// and O'Reilly 2015), whose cost does not depend on the ring's size. The removal
// of a target changes the first choice only of the keys that preferred it. The
// ranking holds all targets of a ring of up to maxRanked.
func (g *ring) rank(key uint64, out *ranking) {
	out.n = 0
	at := 0
	for i := range uint64(ringProbes) {
		probe := mix(key + i*0x9e3779b97f4a7c15)
		at = g.from(probe)
		// A shorter distance is better; wrapping subtraction follows the ring.
		out.insert(g.targets[at], ^(g.hashes[at] - probe))
	}
	// Probes meet few different targets on a small ring; the others follow.
	for i := 1; i < len(g.targets) && out.n < min(len(g.targets), maxRanked); i++ {
		if t := g.targets[(at+i)%len(g.targets)]; !out.has(t) {
			out.targets[out.n] = t
			out.n++
		}
	}
}

func (k *ranking) has(t *Target) bool { return slices.Contains(k.targets[:k.n], t) }

// insert keeps the ranking sorted by descending weight, each target once.
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
