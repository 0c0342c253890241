// Package versions decides which software version of a service begins a stream, so that every
// daemon computes the same version from the ID of the request, also after a restart. Streams may
// only be continued by the version that began them. The package performs no I/O.
package versions

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// Share is the weight of one version in a plan.
type Share struct {
	Version types.SoftwareVersion
	Weight  int
}

// Plan distributes the streams of a service over its software versions. A plan without shares
// stands for an unknown distribution.
type Plan struct {
	// Generation is the sequence number of the record that introduced the plan.
	Generation uint64
	// Shares are sorted by version and have positive weights.
	Shares []Share
}

// NewPlan returns a plan with a share for each version that has targets.
func NewPlan(generation uint64, targets map[types.SoftwareVersion]int) Plan {
	p := Plan{Generation: generation}
	for v, n := range targets {
		if n > 0 {
			p.Shares = append(p.Shares, Share{v, n})
		}
	}
	slices.SortFunc(p.Shares, func(a, b Share) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return p
}

// Equal reports whether both plans are the same one.
func (p Plan) Equal(q Plan) bool {
	return p.Generation == q.Generation && slices.Equal(p.Shares, q.Shares)
}

// Version returns the version at which a stream begins, by weighted rendezvous hashing (Schindelhauer
// and Schomaker 2005), so that a change of the weights moves no more streams than it has to. It
// returns false for an unknown distribution.
func (p Plan) Version(id types.RequestID) (types.SoftwareVersion, bool) {
	if len(p.Shares) <= 1 {
		return p.single()
	}
	hash := xxhash.Sum64String(string(id))
	best, bestScore := 0, math.Inf(-1)
	for i, s := range p.Shares {
		if score := float64(s.Weight) / -math.Log(uniform(hash, s.Version)); score > bestScore {
			best, bestScore = i, score
		}
	}
	return p.Shares[best].Version, true
}

// single returns the only version of the plan, or false.
func (p Plan) single() (types.SoftwareVersion, bool) {
	if len(p.Shares) != 1 {
		return "", false
	}
	return p.Shares[0].Version, true
}

// uniform maps a hash and a version to a number between 0 and 1, both excluded.
func uniform(hash uint64, v types.SoftwareVersion) float64 {
	x := hash ^ xxhash.Sum64String(string(v))
	// The finalizer of SplitMix64: the scores of two versions must not depend on each other.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// Record is the state of the plans of one service, as all daemons share it. A plan is introduced as
// Next and begins no streams until a later record has it as Current, at which time every daemon
// counts it as possible.
type Record struct {
	// Sequence increases with each record of a service. Writer is a random number that orders
	// two records with the same sequence number, which a store that returned from an older copy
	// may cause.
	Sequence, Writer uint64
	// Current is the plan by which streams begin.
	Current Plan
	// Next is the plan that replaces Current, or nil.
	Next *Plan
	// Previous are earlier plans by which running streams may have begun.
	Previous []EarlierPlan
}

// EarlierPlan is a plan that a record has replaced.
type EarlierPlan struct {
	Plan
	// Age is how long the plan had been replaced at least when the record was written, so that a
	// daemon that starts need not count from its start.
	Age time.Duration
}

// Newer reports whether the record replaces the other one.
func (r *Record) Newer(other *Record) bool {
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.Writer > other.Writer
}

// newest returns the plan that was introduced last.
func (r *Record) newest() Plan {
	if r.Next != nil {
		return *r.Next
	}
	return r.Current
}

// active reports whether the plan is Current or Next.
func (r *Record) active(p Plan) bool {
	return r.Current.Equal(p) || r.Next != nil && r.Next.Equal(p)
}
