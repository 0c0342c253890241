// Package engine is the client for targets: model engines and instances of
// plain services. For each failure it reports whether a byte that could start
// work was sent. It verifies that a response is complete and belongs to its
// request.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/transport"
)

// Settings configures a Client.
type Settings struct {
	// DialTimeout bounds the time to open a connection and the time of a probe.
	DialTimeout time.Duration
	// ProgressTimeout bounds the time between two reads on a connection in use.
	ProgressTimeout time.Duration
	// MaxIdle is the longest time that a connection may be idle and still be reused.
	MaxIdle time.Duration
	// MaxAge is the maximum lifetime of a connection.
	MaxAge time.Duration
	// MaxConns bounds the number of connections to one target.
	MaxConns int
	// Wrap, if not nil, is applied to each new connection.
	Wrap func(net.Conn) net.Conn
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	settings Settings
	pool     *transport.Pool
	// maxUnprobedIdle is defaultMaxUnprobedIdle, except in tests.
	maxUnprobedIdle time.Duration
}

// NewClient returns a client with the given settings.
func NewClient(s Settings) *Client {
	return &Client{settings: s, maxUnprobedIdle: defaultMaxUnprobedIdle, pool: transport.NewPool(transport.Settings{
		DialTimeout: s.DialTimeout, MaxIdle: s.MaxIdle, MaxAge: s.MaxAge, MaxConns: s.MaxConns, Wrap: s.Wrap,
	})}
}

const (
	// defaultMaxUnprobedIdle is how long a connection may be idle before it is
	// probed for a non-idempotent request. Such a request cannot be sent again, so
	// its result would be lost on a connection that has failed unnoticed.
	defaultMaxUnprobedIdle = 100 * time.Millisecond
	probePath              = "/v1/state"
	// maxProbeResponseBytes bounds the body of the response to a probe.
	maxProbeResponseBytes = 64 << 10
)

// connect returns an open connection that is within MaxIdle and MaxAge and was
// not closed by the target, or dials a new one. For a non-idempotent request it
// first probes a connection that has been idle for longer than maxUnprobedIdle.
// The error wraps ErrNotSent.
func (c *Client) connect(address string, nonIdempotent bool, deadline time.Time) (*transport.Conn, error) {
	cn := c.pool.Take(address, func(cn *transport.Conn, now time.Time) bool {
		return !nonIdempotent || cn.IdleTime(now) <= c.maxUnprobedIdle || c.probe(cn, deadline)
	})
	if cn != nil {
		return cn, nil
	}
	return c.pool.Dial(context.Background(), address, deadline)
}

// probe reports whether the target responds on the connection.
func (c *Client) probe(cn *transport.Conn, deadline time.Time) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + cn.RemoteAddr().String() + probePath)
	end := time.Now().Add(c.settings.DialTimeout)
	if deadline.Before(end) {
		end = deadline
	}
	if cn.RoundTrip(req, resp, c.settings.DialTimeout, end) != nil {
		return false
	}
	_, err := readBody(resp, maxProbeResponseBytes)
	return err == nil && !resp.ConnectionClose()
}

// exchange is a request and its response on one connection.
type exchange struct {
	pool    *transport.Pool
	address string
	conn    *transport.Conn
	req     *fasthttp.Request
	resp    *fasthttp.Response
}

// sendOptions describes how a request is sent.
type sendOptions struct {
	nonIdempotent bool // the request must run at most once
	headerTimeout time.Duration
	deadline      time.Time
}

// newExchange returns an exchange whose request has not been sent.
func (c *Client) newExchange(address, method, path string) *exchange {
	x := &exchange{
		pool: c.pool, address: address, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(),
	}
	x.req.SetRequestURI("http://" + address + path)
	x.req.Header.SetMethod(method)
	return x
}

// send writes the request and reads the header of the response. On an error it
// aborts the exchange.
func (c *Client) send(x *exchange, options sendOptions) error {
	cn, err := c.connect(x.address, options.nonIdempotent, options.deadline)
	if err != nil {
		x.abort()
		return err
	}
	x.conn = cn
	if err := cn.RoundTrip(x.req, x.resp, options.headerTimeout, options.deadline); err != nil {
		x.abort()
		if errors.Is(err, ErrNotSent) {
			return err
		}
		return wrapTransportError(err)
	}
	cn.SetProgressTimeout(c.settings.ProgressTimeout)
	return nil
}

// release ends an exchange whose response was read completely and returns its
// connection to the pool, unless the target closes it or responded before it had the request.
func (x *exchange) release() {
	reusable := x.conn
	if x.resp.ConnectionClose() || x.conn.Early() {
		reusable = nil
	} else {
		x.conn = nil
	}
	x.abort()
	if reusable != nil {
		x.pool.Put(x.address, reusable, 0)
	}
}

// abort ends an exchange. It closes the connection unless release has returned it
// to the pool; an engine treats the close as a cancellation.
func (x *exchange) abort() {
	if x.conn != nil {
		x.pool.Discard(x.address, x.conn)
		x.conn = nil
	}
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
}

// readAll reads the body of the response. On an error it aborts the exchange.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	b, err := readBody(x.resp, limit)
	if err != nil {
		x.abort()
		return nil, err
	}
	return b, nil
}

const maxJSONResponseBytes = 1 << 20

// callJSON sends in, if not nil, as JSON and decodes the JSON response into out.
func (c *Client) callJSON(address, method, path string, in, out any, deadline time.Time) error {
	x := c.newExchange(address, method, path)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			x.abort()
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		x.req.Header.SetContentType("application/json")
		x.req.SetBodyRaw(b)
	}
	if err := c.send(x, sendOptions{headerTimeout: c.settings.ProgressTimeout, deadline: deadline}); err != nil {
		return err
	}
	body, err := x.readAll(maxJSONResponseBytes)
	if err != nil {
		return err
	}
	code := x.resp.StatusCode()
	x.release()
	if code != fasthttp.StatusOK {
		return &StatusError{Status: code, Message: errorMessage(body)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Join(ErrFailed, err)
	}
	return nil
}
