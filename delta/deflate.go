package delta

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// dictionaryBytes is the size of the dictionary. The entries around a change are the most similar
// ones; the 32 KB of the window of deflate take four times the time and save no byte.
const dictionaryBytes = 8 << 10

// dictionary returns the part of base that is the dictionary of deflate and ends at the given
// position.
func dictionary(base []byte, end int) []byte {
	return base[max(end-dictionaryBytes, 0):end]
}

// compressor is a reusable flate.Writer, which takes 0.8 MB.
type compressor struct {
	writer *flate.Writer
	out    io.Writer // of writer
}

var compressors = sync.Pool{New: func() any {
	c := &compressor{}
	// The fastest level does not use a dictionary.
	c.writer, _ = flate.NewWriter(c, flate.DefaultCompression) // fails for an invalid level only
	return c
}}

// Write implements io.Writer.
func (c *compressor) Write(b []byte) (int, error) { return c.out.Write(b) }

// deflate appends the compressed operations to b. It reports whether they are shorter.
func deflate(b *bytes.Buffer, ops, dict []byte) bool {
	c := compressors.Get().(*compressor)
	defer func() {
		c.out = nil
		compressors.Put(c)
	}()
	// A flate.Writer has one dictionary for its lifetime. The output for data that was written and
	// flushed before is discarded instead; the following blocks refer to that data in the same way.
	c.out = io.Discard
	c.writer.Reset(c)
	if _, err := c.writer.Write(dict); err != nil || c.writer.Flush() != nil {
		return false
	}
	c.out = b
	header := b.Len()
	if _, err := c.writer.Write(ops); err != nil || c.writer.Close() != nil {
		return false
	}
	return b.Len()-header < len(ops)
}
