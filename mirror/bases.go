package mirror

import (
	"slices"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// maxBases bounds the replaced records of a key that are retained as bases of deltas.
	// Several are needed, because daemons that read a series of configurations see different
	// ones of them.
	maxBases = 8
	// maxBasesBytes bounds the values of all retained bases of a feed. It holds maxBases
	// configurations of some 4,000 routes. Daemons have as little as 136 MB; what is evicted
	// costs a read of the store.
	maxBasesBytes = 4 << 20
)

// bases retains recently replaced records as the bases of deltas. The zero value is empty.
type bases struct {
	records []feed.Record // in the order in which they were replaced
	bytes   int           // of all values
}

// add retains a replaced record and evicts those beyond the bounds that were replaced first. It
// always retains the added one.
func (b *bases) add(r feed.Record) {
	if _, ok := b.find(r.Key, r.Next); ok || !isBase(r) {
		return
	}
	b.records = append(b.records, r)
	b.bytes += len(r.Value)
	sameKey := func(o feed.Record) bool { return o.Key == r.Key }
	count := 0
	for _, o := range b.records {
		if sameKey(o) {
			count++
		}
	}
	if count > maxBases {
		b.evict(slices.IndexFunc(b.records, sameKey))
	}
	for b.bytes > maxBasesBytes && len(b.records) > 1 {
		b.evict(0)
	}
}

func (b *bases) evict(i int) {
	b.bytes -= len(b.records[i].Value)
	b.records = slices.Delete(b.records, i, i+1)
}

// find returns the record of a key with the given Next.
func (b *bases) find(key string, next types.Offset) (feed.Record, bool) {
	for _, r := range b.records {
		if r.Next == next && r.Key == key {
			return r, true
		}
	}
	return feed.Record{}, false
}
