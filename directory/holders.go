package directory

import "sync/atomic"

const (
	// holderBuckets and holderWays size the index for about 12,000 pairs of a prompt part and
	// an engine that has cached it.
	holderBuckets = 1024
	holderWays    = 12
)

// HolderIndex finds the engines that have recently used a prompt part, without a look at all
// engines. Like PrefixTable it is a set-associative table without locks: a lost update at
// worst hides a holder. It says nothing about evictions; Load.CachedTokens does.
type HolderIndex struct {
	buckets atomic.Pointer[[holderBuckets][holderWays]holderSlot]
	clock   atomic.Int64
}

type holderSlot struct {
	part, target atomic.Uint64
	lastUsed     atomic.Int64 // on the clock of the index; 0 means never
}

// Use records that a target has used a part.
func (x *HolderIndex) Use(part, target uint64) {
	table := x.buckets.Load()
	if table == nil {
		x.buckets.CompareAndSwap(nil, new([holderBuckets][holderWays]holderSlot))
		table = x.buckets.Load()
	}
	now := x.clock.Add(1)
	b := &table[part%holderBuckets]
	oldest := 0
	for i := range b {
		if b[i].part.Load() == part && b[i].target.Load() == target {
			b[i].lastUsed.Store(now)
			return
		}
		if b[i].lastUsed.Load() < b[oldest].lastUsed.Load() {
			oldest = i
		}
	}
	b[oldest].part.Store(part)
	b[oldest].target.Store(target)
	b[oldest].lastUsed.Store(now)
}

// AppendHolders appends the hashes of the targets that have used a part.
func (x *HolderIndex) AppendHolders(out []uint64, part uint64) []uint64 {
	table := x.buckets.Load()
	if table == nil {
		return out
	}
	b := &table[part%holderBuckets]
	for i := range b {
		if b[i].part.Load() == part && b[i].lastUsed.Load() != 0 {
			out = append(out, b[i].target.Load())
		}
	}
	return out
}
