package mirror

import (
	"fmt"

	"github.com/lentilpick/lentilpick/delta"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// minDeltaBytes is the size up to which a value is published in full. The records of
	// registrations and nodes are smaller; those of configurations are larger.
	minDeltaBytes = 512
	// maxValueBytes bounds the value that a delta encodes. The platform limits a configuration
	// to 4 MB.
	maxValueBytes = 4 << 20
)

// encodeDelta replaces the value of a long record by a delta to an earlier record of the key. A
// record that is short or has no usable base is returned unchanged, as is one whose delta is not
// shorter.
func encodeDelta(r, base feed.Record) feed.Record {
	if len(r.Value) <= minDeltaBytes || !isBase(base) {
		return r
	}
	if d := delta.Encode(base.Value, r.Value); len(d) < len(r.Value) {
		r.Value, r.DeltaBase = d, base.Next
	}
	return r
}

// isBase reports whether a record can be the base of a delta.
func isBase(r feed.Record) bool { return r.Next != 0 && len(r.Value) > minDeltaBytes }

// decodeDelta returns the record with its full value. The error wraps feed.ErrUnusable if the
// base of the delta is not retained or the delta is corrupt.
func (f *Feed) decodeDelta(r feed.Record) (feed.Record, error) {
	if r.DeltaBase == 0 {
		return r, nil
	}
	base, ok := f.findRecord(r.Key, r.DeltaBase)
	if !ok {
		return r, fmt.Errorf("base of the delta for record %q with next offset %d not found: %w", r.Key, r.DeltaBase, feed.ErrUnusable)
	}
	value, err := delta.Apply(base.Value, r.Value, maxValueBytes)
	if err != nil {
		return r, fmt.Errorf("delta of record %q: %w: %w", r.Key, err, feed.ErrUnusable)
	}
	r.Value, r.DeltaBase = value, 0
	return r, nil
}

// findRecord returns the record of a key with the given Next.
func (f *Feed) findRecord(key string, next types.Offset) (feed.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.findRecordLocked(key, next)
}

// findRecordLocked is findRecord for callers that hold f.mu.
func (f *Feed) findRecordLocked(key string, next types.Offset) (feed.Record, bool) {
	for _, r := range []feed.Record{f.records[key], f.shared[key]} {
		if r.Next == next && next != 0 {
			return r, true
		}
	}
	return f.bases.find(key, next)
}
