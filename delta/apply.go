package delta

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
)

// Apply returns the value that delta encodes. The value has at most maxBytes bytes. The error
// wraps ErrMalformed, ErrTooLong or ErrWrongBase.
func Apply(base, delta []byte, maxBytes int) ([]byte, error) {
	in := bytes.NewReader(delta)
	format, err := in.ReadByte()
	if err != nil {
		return nil, malformed("format", err)
	}
	expectedBase, err := readFingerprint(in)
	if err != nil {
		return nil, malformed("base", err)
	}
	expected, err := readFingerprint(in)
	if err != nil {
		return nil, malformed("value", err)
	}
	if expectedBase != fingerprintOf(base) {
		return nil, ErrWrongBase
	}
	if maxBytes < 0 || expected.length > uint64(maxBytes) {
		return nil, fmt.Errorf("%d bytes of at most %d: %w", expected.length, maxBytes, ErrTooLong)
	}
	ops, err := openOperations(in, format, base)
	if err != nil {
		return nil, err
	}
	value := make([]byte, expected.length)
	if err := applyOperations(value, base, ops); err != nil {
		return nil, err
	}
	if _, err := ops.ReadByte(); err != io.EOF || in.Len() > 0 {
		return nil, fmt.Errorf("operations after the end of the value: %w", ErrMalformed)
	}
	if fingerprintOf(value) != expected {
		return nil, fmt.Errorf("checksum of the value differs: %w", ErrMalformed)
	}
	return value, nil
}

// malformed returns an error that wraps ErrMalformed. The text of err is kept, but io.EOF must
// not look like the end of a complete delta.
func malformed(part string, err error) error {
	return fmt.Errorf("%s: %v: %w", part, err, ErrMalformed)
}

func readFingerprint(in *bytes.Reader) (fingerprint, error) {
	length, err := binary.ReadUvarint(in)
	if err != nil {
		return fingerprint{}, err
	}
	var sum [8]byte
	_, err = io.ReadFull(in, sum[:])
	return fingerprint{length, binary.BigEndian.Uint64(sum[:])}, err
}

// operationReader reads operations.
type operationReader interface {
	io.Reader
	io.ByteReader
}

// openOperations returns a reader of the operations, which are the rest of in.
func openOperations(in *bytes.Reader, format byte, base []byte) (operationReader, error) {
	switch format {
	case formatStored:
		return in, nil
	case formatDeflated:
		end, err := binary.ReadUvarint(in)
		if err != nil {
			return nil, malformed("dictionary", err)
		}
		if end > uint64(len(base)) {
			return nil, fmt.Errorf("dictionary ends after the base: %w", ErrMalformed)
		}
		return bufio.NewReader(flate.NewReaderDict(in, dictionary(base, int(end)))), nil
	}
	return nil, fmt.Errorf("unknown format %d: %w", format, ErrMalformed)
}

// applyOperations fills value. Each operation adds at least one byte, so that the length of
// value bounds their number.
func applyOperations(value, base []byte, ops operationReader) error {
	copied := 0
	for at := 0; at < len(value); {
		n, err := binary.ReadUvarint(ops)
		if err != nil {
			return malformed("insertion", err)
		}
		if n > uint64(len(value)-at) {
			return fmt.Errorf("insertion exceeds the value: %w", ErrMalformed)
		}
		if _, err := io.ReadFull(ops, value[at:at+int(n)]); err != nil {
			return malformed("insertion", err)
		}
		if at += int(n); at == len(value) {
			break
		}
		if n, err = binary.ReadUvarint(ops); err != nil {
			return malformed("copy", err)
		}
		distance, err := binary.ReadVarint(ops)
		if err != nil {
			return malformed("copy", err)
		}
		if distance < int64(-copied) || distance > int64(len(base)-copied) {
			return fmt.Errorf("copy starts outside of the base: %w", ErrMalformed)
		}
		from := copied + int(distance)
		if n == 0 || n > uint64(min(len(value)-at, len(base)-from)) {
			return fmt.Errorf("length of a copy is invalid: %w", ErrMalformed)
		}
		copy(value[at:], base[from:from+int(n)])
		at, copied = at+int(n), from+int(n)
	}
	return nil
}
