package mirror

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// minDeltaBytes is the size up to which a value is published in full. The records of
	// registrations and nodes are smaller; those of configurations are larger.
	minDeltaBytes = 512
	// compressionLevel must not be the fastest level, 1, which does not use a dictionary.
	compressionLevel = flate.DefaultCompression
	// maxBases bounds the replaced records of a key that are retained as bases of deltas.
	// Several are needed, because daemons that read a series of configurations see different
	// ones of them. maxBaseBytes bounds the size of a base: the window of the compression.
	maxBases     = 8
	maxBaseBytes = 32 << 10
	// maxValueBytes bounds a value after decompression. The platform limits a configuration to
	// 4 MB.
	maxValueBytes = 4 << 20
)

// encodeDelta replaces the value of a long record by a delta to the previous record of the
// key, as a change to a configuration of several KB affects few of its values. The delta is
// the value compressed with the previous value as dictionary. A record that is short or has
// no usable base is returned unchanged.
func encodeDelta(r, old feed.Record) feed.Record {
	if len(r.Value) <= minDeltaBytes || !isBase(old) {
		return r
	}
	var b bytes.Buffer
	w, err := flate.NewWriterDict(&b, compressionLevel, old.Value)
	if err != nil {
		return r
	}
	if _, err := w.Write(r.Value); err != nil || w.Close() != nil {
		return r
	}
	r.Value, r.DeltaBase = b.Bytes(), old.Next
	return r
}

// isBase reports whether a record can be the base of a delta.
func isBase(r feed.Record) bool {
	return r.Next != 0 && len(r.Value) > minDeltaBytes && len(r.Value) <= maxBaseBytes
}

// retainBase retains a replaced record as the base of deltas. The caller holds f.mu.
func (f *Feed) retainBase(r feed.Record) {
	if !isBase(r) {
		return
	}
	list := append(f.bases[r.Key], r)
	f.bases[r.Key] = list[max(len(list)-maxBases, 0):]
}

// findBase returns the record of a key with the given Next.
func (f *Feed) findBase(key string, next types.Offset) (feed.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.records[key]; r.Next == next {
		return r, true
	}
	for _, r := range f.bases[key] {
		if r.Next == next {
			return r, true
		}
	}
	return feed.Record{}, false
}

// decodeDelta returns the record with its full value. The error wraps feed.ErrUnusable if the
// base of the delta is not retained or the delta is corrupt.
func (f *Feed) decodeDelta(r feed.Record) (feed.Record, error) {
	if r.DeltaBase == 0 {
		return r, nil
	}
	old, ok := f.findBase(r.Key, r.DeltaBase)
	if !ok {
		return r, fmt.Errorf("base of the delta for record %q with next offset %d not found: %w", r.Key, r.DeltaBase, feed.ErrUnusable)
	}
	in := flate.NewReaderDict(bytes.NewReader(r.Value), old.Value)
	value, err := io.ReadAll(io.LimitReader(in, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes {
		return r, fmt.Errorf("delta of record %q is corrupt or too large: %w", r.Key, feed.ErrUnusable)
	}
	r.Value, r.DeltaBase = value, 0
	return r, nil
}
