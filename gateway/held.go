package gateway

import "fmt"

const (
	// maxWhole bounds an answer that is kept in memory before it is passed on.
	maxWhole = 8 << 20
	// pieceBytes is the memory that an answer begins with; it doubles when it is
	// full.
	pieceBytes = 4 << 10
)

// readWhole reads an answer to its end. Its bytes count as held until the end of
// the request. The error wraps ErrResponseTooLarge beyond maxWhole, or when all answers
// together hold too much.
func (x *exchange) readWhole(a Response) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > maxWhole {
				return nil, fmt.Errorf("answer over %d bytes: %w", maxWhole, ErrResponseTooLarge)
			}
			size := min(max(2*cap(body), pieceBytes), maxWhole+1)
			if !x.hold(int64(size - cap(body))) {
				return nil, fmt.Errorf("%d bytes of answers are held in memory: %w", x.g.BufferedBytes(), ErrResponseTooLarge)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if isEnd(err) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// hold counts bytes that the request keeps in memory, unless all requests
// together would keep too many.
func (x *exchange) hold(n int64) bool {
	if x.g.held.Add(n) > x.g.settings.MaxBufferedBytes {
		x.g.held.Add(-n)
		return false
	}
	x.held += n
	return true
}

// release counts what the request has held as free.
func (x *exchange) release() {
	x.g.held.Add(-x.held)
	x.held = 0
}
