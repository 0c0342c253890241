package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

const (
	// eventBytes is the initial size of an event buffer; most events are smaller
	// than 100 bytes.
	eventBytes = 4 << 10
	// maxEventBytes bounds one event: some thousand tokens. Each stream may hold one.
	maxEventBytes = 64 << 10
)

// eventBuffer collects the bytes of a stream of server-sent events and tells
// whole events from a part of one.
type eventBuffer struct {
	data []byte
	// searched is how much of data was searched for ends of events.
	searched int
}

var eventBuffers = sync.Pool{New: func() any { return &eventBuffer{data: make([]byte, 0, eventBytes)} }}

func newEventBuffer() *eventBuffer {
	b := eventBuffers.Get().(*eventBuffer)
	b.data, b.searched = b.data[:0], 0
	return b
}

func (b *eventBuffer) release() {
	if cap(b.data) <= 4*eventBytes {
		eventBuffers.Put(b)
	}
}

// fill reads what is available from r.
func (b *eventBuffer) fill(r io.Reader) (int, error) {
	if len(b.data) == cap(b.data) {
		if len(b.data) >= maxEventBytes {
			return 0, fmt.Errorf("event over %d bytes: %w", maxEventBytes, ErrResponseTooLarge)
		}
		b.data = append(make([]byte, 0, 2*cap(b.data)), b.data...)
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return n, err
}

// complete returns the whole events at the start of the buffer. An event ends
// with an empty line.
func (b *eventBuffer) complete() []byte {
	// What was searched before may hold the begin of an end of up to three bytes.
	from := max(b.searched-2, 0)
	end := bytes.LastIndex(b.data[from:], []byte("\n\n"))
	crlf := bytes.LastIndex(b.data[from:], []byte("\n\r\n"))
	b.searched = len(b.data)
	switch {
	case end < 0 && crlf < 0:
		return nil
	case crlf > end:
		return b.data[:from+crlf+3]
	}
	return b.data[:from+end+2]
}

// drop removes n bytes at the start of the buffer.
func (b *eventBuffer) drop(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
	b.searched = len(b.data)
}

func (b *eventBuffer) rest() []byte { return b.data }

var idField = []byte("id:")

// lastID returns the id of the last event that has one, or old.
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
