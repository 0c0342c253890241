package routing

import "maps"

// CacheEvent says that a prefix block entered or left a target's cache.
type CacheEvent struct {
	// Sequence grows by one with each event of one target.
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// CacheView is what is known of a target's prefix cache. It is immutable, so
// that snapshots can share it. A nil view knows nothing.
type CacheView struct {
	blocks   map[uint64]struct{}
	sequence uint64
	// uncertain says that events were missed.
	uncertain bool
}

// NewCacheView returns a certain view of a whole cache after the event with the
// given sequence number.
func NewCacheView(sequence uint64, blocks ...uint64) *CacheView {
	v := &CacheView{blocks: make(map[uint64]struct{}, len(blocks)), sequence: sequence}
	for _, b := range blocks {
		v.blocks[b] = struct{}{}
	}
	return v
}

// Apply returns a view with the events applied; v is not changed. Events that
// were applied before are skipped. A gap makes the view uncertain until
// NewCacheView replaces it.
func (v *CacheView) Apply(events []CacheEvent) *CacheView {
	next := &CacheView{blocks: map[uint64]struct{}{}}
	if v != nil {
		next = &CacheView{blocks: maps.Clone(v.blocks), sequence: v.sequence, uncertain: v.uncertain}
	}
	for _, e := range events {
		if e.Sequence <= next.sequence {
			continue
		}
		next.uncertain = next.uncertain || e.Sequence != next.sequence+1
		next.sequence = e.Sequence
		if e.Evicted {
			delete(next.blocks, e.Block)
		} else {
			next.blocks[e.Block] = struct{}{}
		}
	}
	return next
}

// Uncertain reports whether events were missed.
func (v *CacheView) Uncertain() bool { return v == nil || v.uncertain }

// Sequence returns the sequence number of the last event.
func (v *CacheView) Sequence() uint64 {
	if v == nil {
		return 0
	}
	return v.sequence
}

// leading returns how many leading blocks the cache holds.
func (v *CacheView) leading(blocks []uint64) int {
	if v == nil {
		return 0
	}
	for i, b := range blocks {
		if _, ok := v.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}
