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
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/transport"
)

// Settings of a client.
type Settings struct {
	// DialTimeout bounds the time to open a connection, and that of a probe.
	DialTimeout time.Duration
	// Progress bounds the time between two reads on a connection in use.
	ProgressTimeout time.Duration
	// MaxIdle is the longest idle time after which a connection is used again.
	MaxIdle time.Duration
	// MaxAge is the longest life of a connection.
	MaxAge time.Duration
	// MaxConns bounds the connections to one target.
	MaxConns int
	// Wrap, if not nil, is applied to each new connection.
	Wrap func(net.Conn) net.Conn
}

// Client calls targets. It is safe for concurrent use.
type Client struct {
	settings Settings
	pool     *transport.Pool
	// probeAfter is probeIdle, shorter in tests.
	probeAfter time.Duration
}

// NewClient returns a client with the given settings.
func NewClient(s Settings) *Client {
	return &Client{settings: s, probeAfter: probeIdle, pool: transport.NewPool(transport.Settings{
		DialTimeout: s.DialTimeout, MaxIdle: s.MaxIdle, MaxAge: s.MaxAge, MaxConns: s.MaxConns, Wrap: s.Wrap,
	})}
}

const (
	// probeIdle is how long a connection may be idle before it is probed for a
	// request that must not run twice. Such a request cannot be sent again, so
	// that a connection that died unnoticed would cost its result.
	probeIdle = 100 * time.Millisecond
	probePath = "/v1/state"
	// maxProbeAnswer bounds the answer to a probe.
	maxProbeAnswer = 64 << 10
)

// connect returns a connection that is fit for a request: one that is neither
// old nor closed by the target nor idle for long, or a new one. For a request
// that must run at most once an idle connection is probed first. The error
// wraps ErrNotSent.
func (c *Client) connect(address string, once bool, bound time.Time) (*transport.Conn, error) {
	cn := c.pool.Take(address, func(cn *transport.Conn, now time.Time) bool {
		return !once || cn.IdleTime(now) <= c.probeAfter || c.probe(cn, bound)
	})
	if cn != nil {
		return cn, nil
	}
	return c.pool.Dial(address, bound)
}

// probe reports whether the target answers on the connection.
func (c *Client) probe(cn *transport.Conn, bound time.Time) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + cn.RemoteAddr().String() + probePath)
	end := time.Now().Add(c.settings.DialTimeout)
	if bound.Before(end) {
		end = bound
	}
	if cn.RoundTrip(req, resp, c.settings.DialTimeout, end) != nil {
		return false
	}
	_, err := readBody(resp, maxProbeAnswer)
	return err == nil && !resp.ConnectionClose()
}

// exchange is a request and its answer on one connection.
type exchange struct {
	pool    *transport.Pool
	address string
	conn    *transport.Conn
	req     *fasthttp.Request
	resp    *fasthttp.Response
}

// call describes how a request may be sent.
type call struct {
	once     bool // must run at most once
	progress time.Duration
	bound    time.Time
}

// newExchange returns an exchange that is not yet sent.
func (c *Client) newExchange(address, method, path string) *exchange {
	x := &exchange{
		pool: c.pool, address: address, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(),
	}
	x.req.SetRequestURI("http://" + address + path)
	x.req.Header.SetMethod(method)
	return x
}

// send writes the request and reads the header of its answer. After an error
// the exchange is closed.
func (c *Client) send(x *exchange, how call) error {
	cn, err := c.connect(x.address, how.once, how.bound)
	if err != nil {
		x.close()
		return err
	}
	x.conn = cn
	if err := cn.RoundTrip(x.req, x.resp, how.progress, how.bound); err != nil {
		x.close()
		if errors.Is(err, ErrNotSent) {
			return err
		}
		return convert(err)
	}
	cn.SetProgressTimeout(c.settings.ProgressTimeout)
	return nil
}

// finish ends an exchange whose answer was read to its end, so that its
// connection can be used again.
func (x *exchange) finish() {
	keep := x.conn
	if x.resp.ConnectionClose() {
		keep = nil
	} else {
		x.conn = nil
	}
	x.close()
	if keep != nil {
		x.pool.Put(x.address, keep, 0)
	}
}

// close ends an exchange. The connection is closed unless finish kept it; an
// engine takes that as a cancellation.
func (x *exchange) close() {
	if x.conn != nil {
		x.pool.Discard(x.address, x.conn)
		x.conn = nil
	}
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
}

// readAll reads the answer to its end and ends the exchange.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	b, err := readBody(x.resp, limit)
	if err != nil {
		x.close()
		return nil, err
	}
	return b, nil
}

const maxJSONAnswer = 1 << 20

// callJSON exchanges one JSON message with a target.
func (c *Client) callJSON(address, method, path string, in, out any, deadline time.Time) error {
	x := c.newExchange(address, method, path)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			x.close()
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		x.req.Header.SetContentType("application/json")
		x.req.SetBodyRaw(b)
	}
	if err := c.send(x, call{progress: c.settings.ProgressTimeout, bound: deadline}); err != nil {
		return err
	}
	body, err := x.readAll(maxJSONAnswer)
	if err != nil {
		return err
	}
	code := x.resp.StatusCode()
	x.finish()
	if code != fasthttp.StatusOK {
		return &StatusError{Status: code, Message: errorText(body)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Join(ErrFailed, err)
	}
	return nil
}
