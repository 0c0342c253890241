package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 8 << 10
	// maxPassedOver bounds the lines before an event that are not events: comments
	// keep a stream alive for as long as a prefill takes.
	maxPassedOver = 64 << 10
)

var eventPrefix = []byte("data: ")

// eventReader reads server-sent events.
type eventReader struct{ body *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(body, maxEventBytes)}
}

// next returns the data of the next event; it is valid until the next call.
// Comment lines and other fields are passed over; they count as progress.
// Errors: ErrTruncated, ErrStalled, ErrResponseTooLarge, ErrFailed.
func (r *eventReader) next() ([]byte, error) {
	for passed := 0; ; {
		b, err := r.body.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("event over %d bytes: %w", maxEventBytes, ErrResponseTooLarge)
		case err != nil:
			return nil, convert(err)
		}
		if data, ok := bytes.CutPrefix(b, eventPrefix); ok {
			return data, nil
		}
		if passed += len(b); passed > maxPassedOver {
			return nil, fmt.Errorf("%d bytes without an event: %w", passed, ErrResponseTooLarge)
		}
	}
}
