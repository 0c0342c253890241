package logclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/transport"
	"github.com/lentilpick/lentilpick/types"
)

// WireRecord is a record in the log service's protocol. JSON encodes Data as base64.
type WireRecord struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"at_ms"`
	Data   []byte `json:"data"`
}

// AppendRequest is the body of an append request.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

// ReadResponse is the body of the response to a read. With status 410, for expired
// records, only Oldest and Next are set.
type ReadResponse struct {
	Oldest  int64        `json:"oldest"`
	Next    int64        `json:"next"`
	Records []WireRecord `json:"records,omitempty"`
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name       types.VMID         `json:"name"`
	Address    string             `json:"address"`
	DataCentre types.DataCentreID `json:"data_centre"`
	// Leaving indicates that the VM is about to be withdrawn.
	Leaving bool `json:"leaving"`
}

const (
	maxResponseBytes = 64 << 20
	requestTimeout   = 5 * time.Second
	// readTimeout bounds the time without data of a read, in addition to the time that it
	// waits for records, so that a change missed on an unresponsive connection is read in
	// time on a new one. A slow log responds within 500 ms.
	readTimeout = 1500 * time.Millisecond
	// maxTransferTime bounds a response in addition to its timeout. The snapshot of the largest
	// configuration is a response of 4.4 MB, which takes 3.5 s at 10 Mbit/s.
	maxTransferTime = 30 * time.Second
)

// Client is the HTTP client of the platform's services. It is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.Client
	// reads extends the timeout of a response while its data arrives.
	reads *fasthttp.Client
}

// NewClient returns a client of the platform at address, given as IP address and
// port. wrap, if not nil, is applied to each new connection.
func NewClient(address string, wrap func(net.Conn) net.Conn) *Client {
	dialPlain := func(addr string) (net.Conn, error) { return dial(addr, time.Second, wrap) }
	return &Client{base: "http://" + address, http: newHTTPClient(dialPlain), reads: newHTTPClient(func(addr string) (net.Conn, error) {
		conn, err := dialPlain(addr)
		if err != nil {
			return nil, err
		}
		return &transport.ProgressConn{Conn: conn, StallTimeout: readTimeout, MaxTransferTime: maxTransferTime}, nil
	})}
}

func newHTTPClient(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "lentilpick",
		MaxIdemponentCallAttempts: 1, // a repeated append would be a duplicate
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdleConnDuration:       10 * time.Second,
		MaxConnDuration:           5 * time.Minute,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dial(address)
			if err != nil {
				return nil, err
			}
			return transport.NewResponseConn(conn), nil
		},
	}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data [][]byte) (types.Offset, error) {
	body, err := json.Marshal(AppendRequest{Records: data})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var out AppendResponse
	err = c.call(ctx, fasthttp.MethodPost, streamPath(stream), body, requestTimeout, &out)
	if errors.Is(err, ErrMalformed) {
		// The service accepted the append; only its response is malformed.
		err = fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	if err != nil {
		return 0, err
	}
	return types.Offset(out.FirstOffset), nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from types.Offset, limit int, wait time.Duration) (Batch, error) {
	path := streamPath(stream) +
		"?from=" + strconv.FormatInt(int64(from), 10) +
		"&max=" + strconv.Itoa(limit) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var out ReadResponse
	if err := c.call(ctx, fasthttp.MethodGet, path, nil, readTimeout+wait, &out); err != nil {
		return Batch{}, err
	}
	return out.batch(from)
}

func (r *ReadResponse) batch(from types.Offset) (Batch, error) {
	b := Batch{Oldest: types.Offset(r.Oldest), Next: types.Offset(r.Next)}
	b.Records = make([]Record, len(r.Records))
	for i, w := range r.Records {
		if types.Offset(w.Offset) != from+types.Offset(i) {
			return Batch{}, fmt.Errorf("record %d has offset %d, expected %d: %w", i, w.Offset, int64(from)+int64(i), ErrMalformed)
		}
		b.Records[i] = Record{Offset: types.Offset(w.Offset), At: time.UnixMilli(w.AtMs), Data: w.Data}
	}
	return b, nil
}

// VMs returns the platform's list of the VMs of a data centre. The list lags behind
// the actual VMs.
func (c *Client) VMs(ctx context.Context, dc types.DataCentreID) ([]VM, error) {
	var out []VM
	err := c.call(ctx, fasthttp.MethodGet, "/v1/vms?data_centre="+url.QueryEscape(string(dc)), nil, requestTimeout, &out)
	return out, err
}

func streamPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	deadline, client := time.Now().Add(timeout), c.http
	if d, ok := ctx.Deadline(); ok {
		if d.Before(deadline) {
			deadline = d
		}
	} else if method == fasthttp.MethodGet {
		client = c.reads
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		// The cause may have made all open connections unresponsive; new ones work.
		c.http.CloseIdleConnections()
		c.reads.CloseIdleConnections()
		return callError(method, err)
	}
	return decodeResponse(method, resp, out)
}

// callError returns ErrAmbiguous if the failed call may have taken effect, and
// ErrUnavailable otherwise.
func callError(method string, err error) error {
	if isDialError(err) || method == fasthttp.MethodGet {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrAmbiguous, err)
}

func decodeResponse(method string, resp *fasthttp.Response, out any) error {
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		var r ReadResponse
		if err := json.Unmarshal(resp.Body(), &r); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		return &ExpiredError{Oldest: types.Offset(r.Oldest)}
	case fasthttp.StatusTooManyRequests:
		return ErrRateLimited
	case fasthttp.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		if method == fasthttp.MethodPost && code >= fasthttp.StatusInternalServerError {
			// For example 502 or 504 from a proxy that may have forwarded the append.
			return fmt.Errorf("platform responded with status %d: %w", code, ErrAmbiguous)
		}
		return fmt.Errorf("platform responded with status %d: %w", code, ErrUnavailable)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
