package routing

import "math/bits"

// Rand is the source of pseudo-random numbers of one decision: SplitMix64 (Steele,
// Lea and Flood 2014). It is a plain value, which needs no allocation.
type Rand struct{ state uint64 }

// NewRand returns a source with the given seed.
func NewRand(seed uint64) Rand { return Rand{state: seed} }

// Uint64 returns 64 pseudo-random bits.
func (r *Rand) Uint64() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mix(r.state)
}

// IntN returns a number in [0,n); n must be positive. The bias is below n/2^64.
func (r *Rand) IntN(n int) int {
	hi, _ := bits.Mul64(r.Uint64(), uint64(n))
	return int(hi)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
