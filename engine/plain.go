package engine

import (
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Call is a request to a plain service.
type Call struct {
	RequestID   types.RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key, if any.
	Key string
}

// Idempotent reports whether the call may run more than once.
func (c *Call) Idempotent() bool {
	return c.Method == fasthttp.MethodGet || c.Method == fasthttp.MethodHead
}

// Reply is the response of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

const maxReplyBytes = 8 << 20

// Call calls a plain service. Errors: ErrNotSent, ErrStalled, ErrTruncated,
// ErrMismatch, ErrFailed. A non-2xx status is a reply, not an error.
//
// A non-idempotent call waits for the response header until the deadline, because
// cancelling it early would only lose its result. An idempotent call fails after
// the progress timeout, so that it can be sent to another target.
func (c *Client) Call(address string, in *Call, deadline time.Time) (*Reply, error) {
	x := c.newExchange(address, in.Method, in.Path)
	x.req.Header.Set("X-Request-Id", string(in.RequestID))
	if in.Key != "" {
		x.req.Header.Set("Idempotency-Key", in.Key)
	}
	if len(in.Body) > 0 {
		x.req.Header.SetContentType(in.ContentType)
		x.req.SetBodyRaw(in.Body)
	}
	options := sendOptions{headerTimeout: c.settings.ProgressTimeout, deadline: deadline}
	if !in.Idempotent() {
		options.nonIdempotent, options.headerTimeout = true, time.Until(deadline)
	}
	if err := c.send(x, options); err != nil {
		return nil, err
	}
	if got := string(x.resp.Header.Peek("X-Request-Id")); got != string(in.RequestID) {
		x.abort()
		return nil, fmt.Errorf("response for request %q, expected %q: %w", got, in.RequestID, ErrMismatch)
	}
	body, err := x.readAll(maxReplyBytes)
	if err != nil {
		return nil, err
	}
	r := &Reply{
		Status:      x.resp.StatusCode(),
		ContentType: string(x.resp.Header.ContentType()),
		Body:        body,
	}
	x.release()
	return r, nil
}

// readBody reads a response body of at most limit bytes. A response that has
// neither a length nor chunks ends with its connection, where truncation cannot
// be distinguished from the end; it counts as truncated.
func readBody(resp *fasthttp.Response, limit int64) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	if resp.Header.ContentLength() < -1 {
		return nil, fmt.Errorf("response has no length and is not chunked: %w", ErrTruncated)
	}
	b, err := io.ReadAll(io.LimitReader(stream, limit+1))
	if err != nil {
		return nil, wrapTransportError(err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("response exceeds %d bytes: %w", limit, ErrResponseTooLarge)
	}
	return b, nil
}
