package modelengine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// promptBlocks returns the chained hash of each complete block of the prompt:
// XXH64 over the previous hash (8 bytes, little endian, 0 for the first block)
// and the bytes of the block. Cache events identify blocks by these hashes, so
// they have to equal those that the router computes.
func promptBlocks(prompt string) []uint64 {
	const blockBytes = types.BlockTokens * types.BytesPerToken
	var out []uint64
	var chain uint64
	var previous [8]byte
	sum := xxhash.New()
	for len(prompt) >= blockBytes {
		binary.LittleEndian.PutUint64(previous[:], chain)
		sum.Reset()
		_, _ = sum.Write(previous[:])
		_, _ = sum.WriteString(prompt[:blockBytes])
		chain = sum.Sum64()
		out = append(out, chain)
		prompt = prompt[blockBytes:]
	}
	return out
}
