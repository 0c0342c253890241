package directory

import "sync/atomic"

const (
	// prefixBuckets and prefixWays size the table for about 2,000 prompt parts,
	// several times what the KV cache of one engine holds at some hundred tokens
	// a part.
	prefixBuckets = 256
	prefixWays    = 8
)

// Part is a part of a prompt that other prompts may share. Key covers the part
// and all parts before it.
type Part struct {
	Key    uint64
	Tokens int
}

// PrefixTable remembers which prompt parts an engine has read recently. It has
// a fixed size, which it takes with its first part, and no locks: a lost update
// costs a wrong prediction at most.
type PrefixTable struct {
	buckets atomic.Pointer[prefixBucketTable]
}

type prefixBucketTable [prefixBuckets][prefixWays]prefixSlot

type prefixSlot struct {
	key  atomic.Uint64
	used atomic.Int64 // on the clock of the engine's cache; 0 means never
}

// Cached returns the number of leading tokens of a prompt that the engine is
// expected to hold. Parts that were last used at oldest or before do not count.
func (p *PrefixTable) Cached(parts []Part, oldest int64) int {
	tokens := 0
	for _, part := range parts {
		if u := p.used(part.Key); u == 0 || u <= oldest {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

func (p *PrefixTable) used(key uint64) int64 {
	table := p.buckets.Load()
	if table == nil {
		return 0
	}
	b := &table[key%prefixBuckets]
	for i := range b {
		if b[i].key.Load() == key {
			return b[i].used.Load()
		}
	}
	return 0
}

// Use records that the engine uses the parts at now, on the clock of its cache.
func (p *PrefixTable) Use(parts []Part, now int64) {
	for _, part := range parts {
		p.use(part.Key, now)
	}
}

func (p *PrefixTable) use(key uint64, now int64) {
	table := p.buckets.Load()
	if table == nil {
		p.buckets.CompareAndSwap(nil, new(prefixBucketTable))
		table = p.buckets.Load()
	}
	b := &table[key%prefixBuckets]
	oldest := 0
	for i := range b {
		if b[i].key.Load() == key {
			b[i].used.Store(now)
			return
		}
		if b[i].used.Load() < b[oldest].used.Load() {
			oldest = i
		}
	}
	b[oldest].key.Store(key)
	b[oldest].used.Store(now)
}
