package routing

import "maps"

// CacheEvent reports that a prefix block was inserted into or evicted from a
// target's prefix cache.
type CacheEvent struct {
	// Sequence increases by one with each event of a target.
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// CacheView is the content of a target's prefix cache as reported by its events.
// It is immutable, so snapshots can share it. A nil view is empty and uncertain.
type CacheView struct {
	blocks   map[uint64]struct{}
	sequence uint64
	// uncertain is set when the sequence of events had a gap.
	uncertain bool
}

// NewCacheView returns a view of the complete content of a cache as of the event
// with the given sequence number. The view is not uncertain.
func NewCacheView(sequence uint64, blocks ...uint64) *CacheView {
	v := &CacheView{blocks: make(map[uint64]struct{}, len(blocks)), sequence: sequence}
	for _, b := range blocks {
		v.blocks[b] = struct{}{}
	}
	return v
}

// Apply returns a copy of the view with the events applied; v is not modified.
// Events up to the sequence number of the view are skipped. A gap in the sequence
// makes the view uncertain until it is replaced by one from NewCacheView.
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

// Uncertain reports whether the view may differ from the cache because events were
// missed. A nil view is uncertain.
func (v *CacheView) Uncertain() bool { return v == nil || v.uncertain }

// Sequence returns the sequence number of the last applied event, or 0.
func (v *CacheView) Sequence() uint64 {
	if v == nil {
		return 0
	}
	return v.sequence
}

// matchedPrefix returns the number of consecutive blocks, from the first one on,
// that are in the cache.
func (v *CacheView) matchedPrefix(blocks []uint64) int {
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
