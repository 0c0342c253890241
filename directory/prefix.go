package directory

import "sync/atomic"

const (
	// prefixBuckets and prefixWays size the table for about 2,000 prompt parts. At a few
	// hundred tokens per part, this is several times the capacity of an engine's KV
	// cache.
	prefixBuckets = 256
	prefixWays    = 8
)

// Part is a part of a prompt that other prompts may share. Key identifies the part
// together with all parts before it, and ID the part alone.
type Part struct {
	Key    uint64
	ID     uint64
	Tokens int
}

// PrefixTable records which prompt parts an engine has used recently. It is a
// set-associative table of fixed size, allocated when the first part is recorded. It
// uses no locks: a lost update at worst causes a wrong prediction.
type PrefixTable struct {
	buckets atomic.Pointer[prefixBucketArray]
}

type prefixBucketArray [prefixBuckets][prefixWays]prefixSlot

type prefixSlot struct {
	key      atomic.Uint64
	lastUsed atomic.Int64 // on the logical clock of the cache; 0 means never
}

// Cached returns the number of leading tokens of a prompt that the engine is expected to
// have cached. Parts last used at or before evictedBefore do not count.
func (p *PrefixTable) Cached(parts []Part, evictedBefore int64) int {
	tokens := 0
	for _, part := range parts {
		if last := p.LastUse(part.Key); last == 0 || last <= evictedBefore {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// LastUse returns the time of the last use of a key, or 0 if the table does not hold it.
func (p *PrefixTable) LastUse(key uint64) int64 {
	table := p.buckets.Load()
	if table == nil {
		return 0
	}
	b := &table[key%prefixBuckets]
	for i := range b {
		if b[i].key.Load() == key {
			return b[i].lastUsed.Load()
		}
	}
	return 0
}

// Use records that the engine uses the parts at the given time of the cache's logical
// clock.
func (p *PrefixTable) Use(parts []Part, now int64) {
	for _, part := range parts {
		p.Touch(part.Key, now)
	}
}

// Touch records that a key is used at the given time.
func (p *PrefixTable) Touch(key uint64, now int64) {
	table := p.buckets.Load()
	if table == nil {
		p.buckets.CompareAndSwap(nil, new(prefixBucketArray))
		table = p.buckets.Load()
	}
	b := &table[key%prefixBuckets]
	oldest := 0
	for i := range b {
		if b[i].key.Load() == key {
			b[i].lastUsed.Store(now)
			return
		}
		if b[i].lastUsed.Load() < b[oldest].lastUsed.Load() {
			oldest = i
		}
	}
	b[oldest].key.Store(key)
	b[oldest].lastUsed.Store(now)
}
