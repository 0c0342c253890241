package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// HashKey returns the affinity key for a string. It is never 0.
func HashKey(s string) uint64 {
	h := hashString(s)
	if h == 0 {
		return 1 // an AffinityKey of 0 means that the request has no key
	}
	return h
}

// HashBlocks appends to dst the chained hash of each complete block of the prompt
// and returns the extended slice. Hash collisions aside, the first n hashes of two
// prompts are equal if and only if their first n blocks are equal.
func HashBlocks(dst []uint64, prompt []byte) []uint64 {
	const blockBytes = types.BlockTokens * types.BytesPerToken
	var chain uint64
	var buf [8]byte
	for len(prompt) >= blockBytes {
		d := xxhash.New()
		binary.LittleEndian.PutUint64(buf[:], chain)
		_, _ = d.Write(buf[:])
		_, _ = d.Write(prompt[:blockBytes])
		chain = d.Sum64()
		dst = append(dst, chain)
		prompt = prompt[blockBytes:]
	}
	return dst
}
