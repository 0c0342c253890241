package delta

import (
	"bytes"
	"encoding/binary"
	"math/bits"
)

const (
	// blockBytes is the size of the indexed blocks of the base. Unchanged content is found again
	// from twice this size on, about half an entry of a configuration.
	blockBytes = 32
	// maxCandidates bounds the blocks with the same hash that are compared, so that the time
	// remains linear if the content repeats itself.
	maxCandidates = 8
)

// blockIndex finds the blocks of a base by their content.
type blockIndex struct {
	base  []byte
	start int // of the first block
	shift int
	// first is the first block of each hash, and next the following block with the same hash,
	// each plus one, 0 if there is none.
	first, next []int32
}

// newBlockIndex indexes base from a position on.
func newBlockIndex(base []byte, start int) *blockIndex {
	blocks := (len(base) - start) / blockBytes
	width := bits.Len(uint(blocks))
	x := &blockIndex{base: base, start: start, shift: 64 - width, first: make([]int32, 1<<width), next: make([]int32, blocks)}
	// Backwards, so that the candidates of a hash are in the order of the base.
	for i := blocks - 1; i >= 0; i-- {
		h := x.hash(base[start+i*blockBytes:])
		x.next[i], x.first[h] = x.first[h], int32(i+1)
	}
	return x
}

// longest returns the longest match of value[at:] that begins with a block, and its position in
// the base. Its length is 0 if there is none.
func (x *blockIndex) longest(value []byte, at int) (from, length int) {
	block := value[at : at+blockBytes]
	candidate := x.first[x.hash(block)]
	for range maxCandidates {
		if candidate == 0 {
			break
		}
		p := x.start + int(candidate-1)*blockBytes
		if bytes.Equal(x.base[p:p+blockBytes], block) {
			if n := commonPrefix(x.base[p:], value[at:]); n > length {
				from, length = p, n
			}
		}
		candidate = x.next[candidate-1]
	}
	return from, length
}

// hash returns the hash of the first block of b.
func (x *blockIndex) hash(b []byte) uint64 {
	_ = b[blockBytes-1]
	const (
		multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, as in Fibonacci hashing
		rotation   = 29
	)
	h := uint64(0)
	for i := 0; i < blockBytes; i += 8 {
		h = bits.RotateLeft64((h^binary.LittleEndian.Uint64(b[i:]))*multiplier, rotation)
	}
	return (h * multiplier) >> x.shift
}
