package modelengine

import "container/list"

// prefixCache remembers prefix blocks and evicts the least recently used.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	entries  map[uint64]*list.Element
}

func newPrefixCache(blocks int) *prefixCache {
	return &prefixCache{capacity: blocks, order: list.New(), entries: map[uint64]*list.Element{}}
}

// lookup returns how many leading blocks are cached.
func (c *prefixCache) lookup(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := c.entries[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(blocks)
}

// blocks returns all cached blocks.
func (c *prefixCache) blocks() []uint64 {
	out := make([]uint64, 0, len(c.entries))
	for el := c.order.Front(); el != nil; el = el.Next() {
		out = append(out, el.Value.(uint64))
	}
	return out
}

// insert adds the blocks and returns the ones that are new and the ones that
// were evicted.
func (c *prefixCache) insert(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range blocks {
		if el, ok := c.entries[b]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.entries[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.capacity {
		el := c.order.Back()
		b := c.order.Remove(el).(uint64)
		delete(c.entries, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}
