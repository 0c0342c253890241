// Package engine is the client of the targets: model engines and instances of
// plain services. It says for each failure whether a byte that could start
// work has left, and it checks that an answer is whole and belongs to its
// request.
package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of this package. Every error wraps one of them.
var (
	// ErrNotSent reports a failure before the first byte of the request was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrSilent reports that the target made no progress within the progress deadline.
	ErrSilent = errors.New("target made no progress")
	// ErrTruncated reports an answer without its end marker.
	ErrTruncated = errors.New("answer ended without its end marker")
	// ErrMismatch reports an answer that belongs to another request.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrRefused reports that the target refused the request.
	ErrRefused = errors.New("target refused the request")
	// ErrFailed reports any other failure after the request was sent.
	ErrFailed = errors.New("exchange with the target failed")
)

// StatusError is a refusal by the target with its HTTP status. It wraps ErrRefused.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered %d: %s", e.Status, e.Message)
}

// Unwrap returns ErrRefused.
func (e *StatusError) Unwrap() error { return ErrRefused }

// Settings of a client.
type Settings struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// Progress bounds the time between two reads on a connection in use.
	Progress time.Duration
	// MaxIdle is the longest idle time after which a connection is used again.
	MaxIdle time.Duration
	// MaxAge is the longest life of a connection.
	MaxAge time.Duration
	// MaxConns bounds the connections to one target.
	MaxConns int
	// Wrap, if not nil, is applied to each new connection.
	Wrap func(net.Conn) net.Conn
}

// Client calls targets. It is safe for concurrent use: the table of hosts is
// read without locks and copied when a host is added.
type Client struct {
	settings Settings
	hosts    atomic.Pointer[map[string]*fasthttp.HostClient]
	mu       sync.Mutex
}

// NewClient returns a client with the given settings.
func NewClient(s Settings) *Client {
	c := &Client{settings: s}
	c.hosts.Store(&map[string]*fasthttp.HostClient{})
	return c
}

func (c *Client) host(address string) *fasthttp.HostClient {
	if h, ok := (*c.hosts.Load())[address]; ok {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.hosts.Load()
	if h, ok := old[address]; ok {
		return h
	}
	hosts := make(map[string]*fasthttp.HostClient, len(old)+1)
	for k, v := range old {
		hosts[k] = v
	}
	h := c.newHost(address)
	hosts[address] = h
	c.hosts.Store(&hosts)
	return h
}

func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Name:                      "lentilpick",
		MaxConns:                  c.settings.MaxConns,
		MaxIdleConnDuration:       c.settings.MaxIdle,
		MaxConnDuration:           c.settings.MaxAge,
		MaxIdemponentCallAttempts: 1, // retries are decided by the caller, never by the transport
		StreamResponseBody:        true,
		Dial:                      c.dial,
	}
}

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, c.settings.DialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	if c.settings.Wrap != nil {
		conn = c.settings.Wrap(conn)
	}
	return &progressConn{Conn: conn, progress: c.settings.Progress}, nil
}

// progressConn ends a read or write that makes no progress. A connection that
// something between the two ends has dropped gives no error by itself. The
// deadlines that the HTTP client sets remain as upper bounds.
type progressConn struct {
	net.Conn
	progress   time.Duration
	readBound  time.Time
	writeBound time.Time
}

// SetReadDeadline sets the upper bound of later read deadlines.
func (p *progressConn) SetReadDeadline(t time.Time) error {
	p.readBound = t
	return p.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the upper bound of later write deadlines.
func (p *progressConn) SetWriteDeadline(t time.Time) error {
	p.writeBound = t
	return p.Conn.SetWriteDeadline(t)
}

// SetDeadline sets both upper bounds.
func (p *progressConn) SetDeadline(t time.Time) error {
	p.readBound, p.writeBound = t, t
	return p.Conn.SetDeadline(t)
}

func (p *progressConn) Read(b []byte) (int, error) {
	if err := p.Conn.SetReadDeadline(p.deadline(p.readBound)); err != nil {
		return 0, err
	}
	return p.Conn.Read(b)
}

func (p *progressConn) Write(b []byte) (int, error) {
	if err := p.Conn.SetWriteDeadline(p.deadline(p.writeBound)); err != nil {
		return 0, err
	}
	return p.Conn.Write(b)
}

func (p *progressConn) deadline(bound time.Time) time.Time {
	d := time.Now().Add(p.progress)
	if !bound.IsZero() && bound.Before(d) {
		return bound
	}
	return d
}

type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

// convert turns a transport error into an error of this package.
func convert(err error) error {
	var d *dialError
	var n net.Error
	switch {
	case errors.As(err, &d), errors.Is(err, fasthttp.ErrNoFreeConns):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case errors.As(err, &n) && n.Timeout(), errors.Is(err, fasthttp.ErrTimeout):
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("%w: %w", ErrFailed, err)
}

const maxJSONAnswer = 1 << 20

// callJSON exchanges one JSON message with a target.
func (c *Client) callJSON(address, method, path string, in, out any, deadline time.Time) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(b)
	}
	if err := c.host(address).DoDeadline(req, resp, deadline); err != nil {
		return convert(err)
	}
	body, err := readBody(resp, maxJSONAnswer)
	if err != nil {
		return err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return &StatusError{Status: code, Message: errorText(body)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return nil
}

func errorText(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	const most = 200
	return string(body[:min(len(body), most)])
}
