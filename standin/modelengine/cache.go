package modelengine

import "container/list"

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	capacity int        // blocks
	recency  *list.List // most recently used first
	entries  map[uint64]*list.Element
}

func newPrefixCache(blocks int) *prefixCache {
	return &prefixCache{capacity: blocks, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// lookup returns the number of leading blocks that are cached and marks them as
// used.
func (c *prefixCache) lookup(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := c.entries[b]
		if !ok {
			return i
		}
		c.recency.MoveToFront(el)
	}
	return len(blocks)
}

// blocks returns all cached blocks, the most recently used first.
func (c *prefixCache) blocks() []uint64 {
	out := make([]uint64, 0, len(c.entries))
	for el := c.recency.Front(); el != nil; el = el.Next() {
		out = append(out, el.Value.(uint64))
	}
	return out
}

// insert adds the blocks. It returns the blocks that were new and those that were
// evicted.
func (c *prefixCache) insert(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range blocks {
		if el, ok := c.entries[b]; ok {
			c.recency.MoveToFront(el)
			continue
		}
		c.entries[b] = c.recency.PushFront(b)
		stored = append(stored, b)
	}
	for c.recency.Len() > c.capacity {
		el := c.recency.Back()
		b := c.recency.Remove(el).(uint64)
		delete(c.entries, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}
