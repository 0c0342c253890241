package engine

import (
	"fmt"
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

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

const maxReplyBytes = 8 << 20

// Call calls a plain service. Errors: ErrNotSent, ErrSilent, ErrTruncated,
// ErrMismatch, ErrFailed. A non-2xx status is a reply, not an error.
func (c *Client) Call(address string, call *Call, deadline time.Time) (*Reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + call.Path)
	req.Header.SetMethod(call.Method)
	req.Header.Set("X-Request-Id", string(call.RequestID))
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if len(call.Body) > 0 {
		req.Header.SetContentType(call.ContentType)
		req.SetBodyRaw(call.Body)
	}
	if err := c.host(address).DoDeadline(req, resp, deadline); err != nil {
		return nil, convert(err)
	}
	body, err := readBody(resp, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	if got := string(resp.Header.Peek("X-Request-Id")); got != string(call.RequestID) {
		return nil, fmt.Errorf("answer to %q for %q: %w", got, call.RequestID, ErrMismatch)
	}
	return &Reply{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
	}, nil
}
