package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

const (
	// initialEventBytes is the initial size of an event buffer. Most events are smaller
	// than 100 bytes.
	initialEventBytes = 4 << 10
	// maxEventBytes bounds the size of one event, which is enough for several thousand
	// tokens. Each stream may buffer one event.
	maxEventBytes = 64 << 10
)

// eventBuffer buffers a stream of server-sent events and separates complete events from
// a trailing incomplete one.
type eventBuffer struct {
	data []byte
	// scanned is the length of the prefix of data that was scanned for ends of events.
	scanned int
}

var eventBuffers = sync.Pool{New: func() any { return &eventBuffer{data: make([]byte, 0, initialEventBytes)} }}

func newEventBuffer() *eventBuffer {
	b := eventBuffers.Get().(*eventBuffer)
	b.data, b.scanned = b.data[:0], 0
	return b
}

func (b *eventBuffer) release() {
	if cap(b.data) <= 4*initialEventBytes {
		eventBuffers.Put(b)
	}
}

// fill reads once from r into the buffer. The error wraps ErrResponseTooLarge if an event
// exceeds maxEventBytes.
func (b *eventBuffer) fill(r io.Reader) (int, error) {
	if len(b.data) == cap(b.data) {
		if len(b.data) >= maxEventBytes {
			return 0, fmt.Errorf("event exceeds %d bytes: %w", maxEventBytes, ErrResponseTooLarge)
		}
		b.data = append(make([]byte, 0, 2*cap(b.data)), b.data...)
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return n, err
}

// complete returns the complete events at the start of the buffer. An event ends with an
// empty line.
func (b *eventBuffer) complete() []byte {
	// An end of an event has up to three bytes, of which two may be scanned already.
	from := max(b.scanned-2, 0)
	end := bytes.LastIndex(b.data[from:], []byte("\n\n"))
	crlf := bytes.LastIndex(b.data[from:], []byte("\n\r\n"))
	b.scanned = len(b.data)
	switch {
	case end < 0 && crlf < 0:
		return nil
	case crlf > end:
		return b.data[:from+crlf+3]
	}
	return b.data[:from+end+2]
}

// drop removes the first n bytes of the buffer.
func (b *eventBuffer) drop(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
	b.scanned = len(b.data)
}

// countEvents returns the number of events in complete events.
func countEvents(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\n\r\n"))
}

func (b *eventBuffer) incomplete() []byte { return b.data }

var idField = []byte("id:")

// lastID returns the ID of the last event with an ID, or old if there is none.
func lastID(events []byte, old string) string {
	for len(events) > 0 {
		start := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := events[start:]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		events = events[:start]
	}
	return old
}
