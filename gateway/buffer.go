package gateway

import "fmt"

const (
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// initialBufferBytes is the initial size of a response buffer. Its size doubles
	// whenever it is full.
	initialBufferBytes = 4 << 10
)

// readResponse reads a response to its end. Its buffer stays reserved until the end of
// the request. The error wraps ErrResponseTooLarge if the response exceeds
// maxResponseBytes, or if all buffers together would exceed MaxBufferedBytes.
func (x *exchange) readResponse(resp Response) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > maxResponseBytes {
				return nil, fmt.Errorf("response exceeds %d bytes: %w", maxResponseBytes, ErrResponseTooLarge)
			}
			size := min(max(2*cap(body), initialBufferBytes), maxResponseBytes+1)
			if !x.reserve(int64(size - cap(body))) {
				return nil, fmt.Errorf("response buffers are full (%d bytes in use): %w", x.g.BufferedBytes(), ErrResponseTooLarge)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if isEnd(err) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// reserve reserves n bytes of buffer for the request and reports whether they were
// available within MaxBufferedBytes.
func (x *exchange) reserve(n int64) bool {
	if x.g.buffered.Add(n) > x.g.settings.MaxBufferedBytes {
		x.g.buffered.Add(-n)
		return false
	}
	x.buffered += n
	return true
}

// releaseBuffers releases all bytes reserved by the request.
func (x *exchange) releaseBuffers() {
	x.g.buffered.Add(-x.buffered)
	x.buffered = 0
}
