package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// streamBufBytes is also the longest event that is accepted.
const streamBufBytes = 8 << 10

var eventPrefix = []byte("data: ")

// eventReader reads server-sent events.
type eventReader struct{ body *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(body, streamBufBytes)}
}

// next returns the data of the next event; it is valid until the next call.
// Errors: ErrTruncated, ErrSilent, ErrFailed.
func (r *eventReader) next() ([]byte, error) {
	for {
		b, err := r.body.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return nil, ErrTruncated
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("event over %d bytes: %w", streamBufBytes, ErrFailed)
		case err != nil:
			return nil, convert(err)
		}
		if data, ok := bytes.CutPrefix(b, eventPrefix); ok {
			return data, nil
		}
	}
}
