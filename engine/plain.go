package engine

import (
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Call is a call of a plain service.
type Call struct {
	RequestID   types.RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key, if any.
	Key string
}

// Idempotent reports whether the call may run again without harm.
func (c *Call) Idempotent() bool {
	return c.Method == fasthttp.MethodGet || c.Method == fasthttp.MethodHead
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

const maxReplyBytes = 8 << 20

// Call calls a plain service. Errors: ErrNotSent, ErrStalled, ErrTruncated,
// ErrMismatch, ErrFailed. A non-2xx status is a reply, not an error.
//
// The start of an answer is awaited until the deadline when the call must not
// run twice, because giving up early would only lose its result. An idempotent
// call is given up after the progress deadline, so that it can go elsewhere.
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
	how := call{progress: c.settings.ProgressTimeout, bound: deadline}
	if !in.Idempotent() {
		how.once, how.progress = true, time.Until(deadline)
	}
	if err := c.send(x, how); err != nil {
		return nil, err
	}
	if got := string(x.resp.Header.Peek("X-Request-Id")); got != string(in.RequestID) {
		x.close()
		return nil, fmt.Errorf("answer to %q for %q: %w", got, in.RequestID, ErrMismatch)
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
	x.finish()
	return r, nil
}

// readBody reads at most limit bytes of an answer. An answer that has neither
// a length nor chunks ends with its connection, so that a cut could not be
// told from its end; it counts as truncated.
func readBody(resp *fasthttp.Response, limit int64) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	if resp.Header.ContentLength() < -1 {
		return nil, fmt.Errorf("answer without a length: %w", ErrTruncated)
	}
	b, err := io.ReadAll(io.LimitReader(stream, limit+1))
	if err != nil {
		return nil, convert(err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("answer over %d bytes: %w", limit, ErrResponseTooLarge)
	}
	return b, nil
}
