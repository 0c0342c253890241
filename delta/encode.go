package delta

import (
	"bytes"
	"encoding/binary"
)

// Encode returns the delta from base to value.
func Encode(base, value []byte) []byte {
	ops, center := encodeOperations(base, value)
	if len(ops) >= minDeflateBytes {
		end := min(center+dictionaryBytes/2, len(base))
		var b bytes.Buffer
		b.Write(binary.AppendUvarint(appendHeader(nil, formatDeflated, base, value), uint64(end)))
		if deflate(&b, ops, dictionary(base, end)) {
			return b.Bytes()
		}
	}
	return append(appendHeader(nil, formatStored, base, value), ops...)
}

func appendHeader(b []byte, format byte, base, value []byte) []byte {
	b = append(b, format)
	for _, f := range []fingerprint{fingerprintOf(base), fingerprintOf(value)} {
		b = binary.AppendUvarint(b, f.length)
		b = binary.BigEndian.AppendUint64(b, f.checksum)
	}
	return b
}

// encodeOperations returns the operations that build value from base, and the position in base
// of the longest insertion: the content around it is the most similar to what is inserted.
func encodeOperations(base, value []byte) (ops []byte, longestAt int) {
	e := encoder{base: base, value: value}
	prefix := commonPrefix(base, value)
	suffix := commonSuffix(base[prefix:], value[prefix:])
	e.addCopy(0, 0, prefix)
	e.matchMiddle(len(base)-suffix, len(value)-suffix)
	e.addCopy(len(base)-suffix, len(value)-suffix, suffix)
	e.finish()
	return e.ops, e.longestAt
}

// encoder appends operations in the order of the value.
type encoder struct {
	base, value []byte
	ops         []byte
	// done is the length of the encoded part of value, and copied the end in base of the last
	// copy.
	done, copied       int
	longest, longestAt int // the longest insertion and its position in base
}

// addCopy appends the insertion of value[done:at] and the copy of n bytes from base[from:] to
// value[at:].
func (e *encoder) addCopy(from, at, n int) {
	if n == 0 {
		return
	}
	e.addInsertion(at)
	e.ops = binary.AppendUvarint(e.ops, uint64(n))
	e.ops = binary.AppendVarint(e.ops, int64(from-e.copied))
	e.done, e.copied = at+n, from+n
}

func (e *encoder) addInsertion(end int) {
	n := end - e.done
	if n > e.longest {
		e.longest, e.longestAt = n, e.copied
	}
	e.ops = binary.AppendUvarint(e.ops, uint64(n))
	e.ops = append(e.ops, e.value[e.done:end]...)
}

func (e *encoder) finish() {
	if e.done < len(e.value) {
		e.addInsertion(len(e.value))
	}
}

// minCopyBytes is the shortest copy inside the changed part. A shorter one, such as the names of
// some fields, takes about as many bytes as the compressed insertion.
const minCopyBytes = 2 * blockBytes

// matchMiddle encodes the copies between the common prefix and suffix, which end at
// baseEnd and valueEnd.
func (e *encoder) matchMiddle(baseEnd, valueEnd int) {
	if e.copied == baseEnd || e.done == valueEnd {
		return
	}
	base, value := e.base[:baseEnd], e.value[:valueEnd]
	start := e.copied
	var index *blockIndex // built when it is needed first
	for at := e.done; at+blockBytes <= len(value); {
		// Replaced bytes, such as those of a version number, leave the rest where it was.
		if from := e.copied + at - e.done; from+blockBytes <= len(base) && bytes.Equal(base[from:from+blockBytes], value[at:at+blockBytes]) {
			n := commonPrefix(base[from:], value[at:])
			e.addCopy(from, at, n)
			at += n
			continue
		}
		if index == nil {
			index = newBlockIndex(base, start)
		}
		from, n := index.longest(value, at)
		if n == 0 {
			at++
			continue
		}
		back := commonSuffix(base[start:from], value[e.done:at])
		if n+back < minCopyBytes {
			at++
			continue
		}
		e.addCopy(from-back, at-back, n+back)
		at += n
	}
}

// compareBytes is the length of the parts that are compared at once.
const compareBytes = 1 << 10

// commonPrefix returns the length of the common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n, i := min(len(a), len(b)), 0
	for i+compareBytes <= n && bytes.Equal(a[i:i+compareBytes], b[i:i+compareBytes]) {
		i += compareBytes
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

// commonSuffix returns the length of the common suffix of a and b.
func commonSuffix(a, b []byte) int {
	n, i := min(len(a), len(b)), 0
	for i+compareBytes <= n && bytes.Equal(a[len(a)-i-compareBytes:len(a)-i], b[len(b)-i-compareBytes:len(b)-i]) {
		i += compareBytes
	}
	for i < n && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	return i
}
