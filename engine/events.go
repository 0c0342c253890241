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
	// maxSkippedBytes bounds the bytes of comments and other lines skipped before an
	// event. Comments keep a stream alive during a prefill.
	maxSkippedBytes = 64 << 10
)

var dataPrefix = []byte("data: ")

// eventReader reads server-sent events.
type eventReader struct{ body *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(body, maxEventBytes)}
}

// next returns the data of the next event; it is valid until the next call.
// Comment lines and other fields are skipped; they count as progress.
// Errors: ErrTruncated, ErrStalled, ErrResponseTooLarge, ErrFailed.
func (r *eventReader) next() ([]byte, error) {
	for skipped := 0; ; {
		b, err := r.body.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("event exceeds %d bytes: %w", maxEventBytes, ErrResponseTooLarge)
		case err != nil:
			return nil, wrapTransportError(err)
		}
		if data, ok := bytes.CutPrefix(b, dataPrefix); ok {
			return data, nil
		}
		if skipped += len(b); skipped > maxSkippedBytes {
			return nil, fmt.Errorf("received %d bytes without an event: %w", skipped, ErrResponseTooLarge)
		}
	}
}
