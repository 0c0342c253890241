// Package delta encodes a value as its difference from an earlier one. The size of a delta is
// proportional to what changed, whatever the size of the values. It performs no I/O.
//
// A delta consists of a header and of operations that build the value from left to right out
// of inserted bytes and copies from the base. The header has the lengths and checksums of
// both, so that a wrong base or a corrupt delta is an error and never another value:
//
//	format byte, then base and value: length (uvarint), xxhash (8 bytes, big-endian)
//	formatDeflated only: end of the dictionary in the base (uvarint)
//	until the value is complete: length of an insertion (uvarint), its bytes and, unless the
//	value is complete, length of a copy (uvarint) and its start, relative to the end of the
//	previous copy (varint)
package delta

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Errors of Apply.
var (
	// ErrMalformed reports a delta that was not encoded by Encode or has been changed since.
	ErrMalformed = errors.New("malformed delta")
	// ErrTooLong reports that the value exceeds the limit of the caller.
	ErrTooLong = errors.New("value of the delta is too long")
	// ErrWrongBase reports that the delta was encoded for another base.
	ErrWrongBase = errors.New("delta has another base")
)

// Values of the format byte.
const (
	formatStored   = 1 // the operations are not compressed
	formatDeflated = 2 // the operations are compressed with a dictionary
)

// minDeflateBytes is the size of operations from which they are compressed. The overhead of
// deflate is greater than its gain for less, such as a changed version number.
const minDeflateBytes = 48

// fingerprint identifies a base or a value.
type fingerprint struct {
	length   uint64
	checksum uint64
}

func fingerprintOf(b []byte) fingerprint {
	return fingerprint{uint64(len(b)), xxhash.Sum64(b)}
}
