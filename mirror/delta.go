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
	// plainBytes is the size up to which a value is told whole. Registrations and
	// nodes are smaller, configurations are not.
	plainBytes = 512
	// deltaLevel is the level of the compression. The fastest one, 1, does not use a
	// dictionary.
	deltaLevel = flate.DefaultCompression
	// maxOlder is how many replaced records of a key are kept for changes to them,
	// and windowBytes the size up to which they are: the window of the compression.
	// Daemons that read a series of configurations see different ones of them.
	maxOlder    = 8
	windowBytes = 32 << 10
	// maxValue bounds a value that is restored: the platform bounds a configuration
	// to 4 MB.
	maxValue = 4 << 20
)

// shorten replaces the value of a long record by its changes to the record that
// the key had before: a configuration of several KB changes in a few values at a
// time. The changes are the value compressed with the old one as dictionary.
func shorten(r, old feed.Record) feed.Record {
	if len(r.Value) <= plainBytes || !isBase(old) {
		return r
	}
	var b bytes.Buffer
	w, err := flate.NewWriterDict(&b, deltaLevel, old.Value)
	if err != nil {
		return r
	}
	if _, err := w.Write(r.Value); err != nil || w.Close() != nil {
		return r
	}
	r.Value, r.DeltaBase = b.Bytes(), old.Next
	return r
}

// isBase reports whether changes to a record may be told.
func isBase(r feed.Record) bool {
	return r.Next != 0 && len(r.Value) > plainBytes && len(r.Value) <= windowBytes
}

// retire keeps a record that is replaced. The lock is held.
func (f *Feed) retire(r feed.Record) {
	if !isBase(r) {
		return
	}
	list := append(f.older[r.Key], r)
	f.older[r.Key] = list[max(len(list)-maxOlder, 0):]
}

// base returns the record of a key that ends at an offset.
func (f *Feed) base(key string, next types.Offset) (feed.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.records[key]; r.Next == next {
		return r, true
	}
	for _, r := range f.older[key] {
		if r.Next == next {
			return r, true
		}
	}
	return feed.Record{}, false
}

// restore returns the whole record. The error wraps feed.ErrUnusable if the
// record that it changes is not kept.
func (f *Feed) restore(r feed.Record) (feed.Record, error) {
	if r.DeltaBase == 0 {
		return r, nil
	}
	old, ok := f.base(r.Key, r.DeltaBase)
	if !ok {
		return r, fmt.Errorf("record %q changes the one before %d: %w", r.Key, r.DeltaBase, feed.ErrUnusable)
	}
	in := flate.NewReaderDict(bytes.NewReader(r.Value), old.Value)
	value, err := io.ReadAll(io.LimitReader(in, maxValue+1))
	if err != nil || len(value) > maxValue {
		return r, fmt.Errorf("changes of record %q: %w", r.Key, feed.ErrUnusable)
	}
	r.Value, r.DeltaBase = value, 0
	return r, nil
}
