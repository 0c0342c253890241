// Package carriers chooses the node that carries a request for a node that has lost its targets.
// A carrier is another node that accepts requests of nodes and sends them to targets. The choice
// compares a bounded sample, so that its cost does not grow with the fleet and nodes that choose
// at the same time spread their requests.
//
// The package performs no I/O and takes all clock readings and random numbers as arguments. Nothing
// on the path of a request takes a lock: the candidates are an immutable view behind an atomic
// pointer, and the state of each is atomic.
package carriers

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// sampleSize is the number of candidates of each kind, in the own data centre and in the others,
	// that are compared. The least loaded of two random ones bounds the highest load without
	// sending all requests to the node that was idle in the last message.
	sampleSize = 2
	// maxProbes bounds the candidates of each kind that are looked at to find a sample.
	maxProbes = 16
	// DefaultRemoteCost is the default of Settings.RemoteCost: bytes between data centres are priced,
	// and the way is longer.
	DefaultRemoteCost = 8
	// DefaultMaxInFlight is the default of Settings.MaxInFlight.
	DefaultMaxInFlight = 64
)

// steps are primes above the number of any candidates. The positions start + i*step, modulo the
// number of candidates, pass each candidate once before one repeats.
var steps = [4]uint64{1000003, 1000033, 1000037, 1000039}

// Carrier is a node that accepts requests of other nodes.
type Carrier struct {
	Name       types.VMID
	DataCentre types.DataCentreID
	Address    netip.AddrPort
	// Cores is the processor capacity of the node's VM. 0 means unknown, which counts as the smallest
	// known one.
	Cores float64
	// Requests returns the requests that the node has in progress. It is called on the path of a
	// request.
	Requests func() int64
}

// Settings are the parameters of a Chooser. Zero values mean the defaults.
type Settings struct {
	// DataCentre is that of this node.
	DataCentre types.DataCentreID
	// RemoteCost is the cost of another data centre, in requests in progress on a VM of mean size.
	RemoteCost float64
	// MaxInFlight bounds the requests of this node that a carrier of mean size has at a time, so that
	// no node alone fills another. Larger and smaller ones have more and less, at least one.
	MaxInFlight int
}

// Chooser chooses carriers. Its methods are safe for concurrent use, except that Update must not be
// called concurrently with itself.
type Chooser struct {
	settings Settings
	view     atomic.Pointer[view]
}

// view is an immutable set of candidates.
type view struct {
	// local holds those of the own data centre, remote the others.
	local, remote []*candidate
	byName        map[types.VMID]*candidate
	// unlisted holds those that have left the list with requests of this node in flight.
	unlisted map[types.VMID]*state
}

type candidate struct {
	Carrier
	*state
	// weight is the mean number of cores divided by those of the candidate.
	weight      float64
	maxInFlight int64
}

// New returns a Chooser without candidates.
func New(s Settings) *Chooser {
	if s.RemoteCost == 0 {
		s.RemoteCost = DefaultRemoteCost
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = DefaultMaxInFlight
	}
	c := &Chooser{settings: s}
	c.view.Store(&view{})
	return c
}

// Update replaces the candidates. What is known about those that remain is kept.
func (c *Chooser) Update(all []Carrier) {
	old := c.view.Load()
	v := &view{byName: make(map[types.VMID]*candidate, len(all)), unlisted: map[types.VMID]*state{}}
	smallest, mean := capacity(all)
	for _, p := range all {
		cores := p.Cores
		if cores <= 0 {
			cores = smallest
		}
		n := &candidate{Carrier: p, state: old.state(p.Name), weight: mean / cores}
		n.maxInFlight = max(int64(math.Round(float64(c.settings.MaxInFlight)/n.weight)), 1)
		if n.state == nil {
			n.state = &state{}
		}
		v.byName[p.Name] = n
		if p.DataCentre == c.settings.DataCentre {
			v.local = append(v.local, n)
		} else {
			v.remote = append(v.remote, n)
		}
	}
	v.keepUnlisted(old)
	c.view.Store(v)
}

// capacity returns the smallest known number of cores, 1 if none is known, and the mean.
func capacity(all []Carrier) (smallest, mean float64) {
	for _, p := range all {
		if p.Cores > 0 && (smallest == 0 || p.Cores < smallest) {
			smallest = p.Cores
		}
	}
	if smallest == 0 {
		return 1, 1
	}
	sum := 0.0
	for _, p := range all {
		sum += max(p.Cores, smallest)
	}
	return smallest, sum / float64(len(all))
}

// state returns the state of a candidate, or nil if it is not known.
func (v *view) state(name types.VMID) *state {
	if n := v.byName[name]; n != nil {
		return n.state
	}
	return v.unlisted[name]
}

// keepUnlisted keeps the states of candidates that are no longer listed while requests of this node
// are in flight there: they count if the candidate returns.
func (v *view) keepUnlisted(old *view) {
	keep := func(name types.VMID, s *state) {
		if v.byName[name] == nil && s.inFlight.Load() > 0 {
			v.unlisted[name] = s
		}
	}
	for name, n := range old.byName {
		keep(name, n.state)
	}
	for name, s := range old.unlisted {
		keep(name, s)
	}
}

// Pick chooses a candidate that was not tried yet, is not avoided and has less than the maximum of
// this node's requests. hash is a random number of the request and attempt.
func (c *Chooser) Pick(hash uint64, tried []types.VMID, now clock.Instant) (Carrier, bool) {
	v := c.view.Load()
	best, cost := leastLoaded(v.local, hash, tried, now)
	if r, remoteCost := leastLoaded(v.remote, hash, tried, now); r != nil && (best == nil || remoteCost+c.settings.RemoteCost < cost) {
		best = r
	}
	if best == nil {
		return Carrier{}, false
	}
	return best.Carrier, true
}

// leastLoaded returns the least loaded one of a random sample of the candidates that may be used, or
// nil if it finds none.
func leastLoaded(all []*candidate, hash uint64, tried []types.VMID, now clock.Instant) (best *candidate, cost float64) {
	hash = mix(hash)
	n := uint64(len(all))
	step := steps[hash%uint64(len(steps))]
	position := (hash >> 8) % max(n, 1)
	found := 0
	for range min(n, maxProbes) {
		p := all[position]
		position = (position + step) % n
		if !p.available(now) || slices.Contains(tried, p.Name) {
			continue
		}
		if x := p.cost(); best == nil || x < cost {
			best, cost = p, x
		}
		if found++; found == sampleSize {
			break
		}
	}
	return best, cost
}

// mix spreads the bits of a hash (the finalizer of SplitMix64), so that hashes of similar strings
// give different samples.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// cost returns the requests in progress after another one, for a VM of mean size. Requests of this
// node count twice once the candidate has reported them, which spreads the requests of each node.
func (n *candidate) cost() float64 {
	return float64(n.Requests()+n.inFlight.Load()+1) * n.weight
}

func (n *candidate) available(now clock.Instant) bool {
	return n.inFlight.Load() < n.maxInFlight && !n.avoided(now)
}
