package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// HashKey returns the affinity key of a string.
func HashKey(s string) uint64 {
	h := hashString(s)
	if h == 0 {
		return 1 // 0 means "no key" in Request
	}
	return h
}

// Blocks appends to dst the chained hash of each complete block of the prompt
// and returns the result. Two prompts share the first n hashes exactly when
// they share the first n blocks, up to hash collisions.
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
