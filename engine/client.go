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

// Settings of a client.
type Settings struct {
	// DialTimeout bounds the time to open a connection, and that of a probe.
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
	hosts    atomic.Pointer[map[string]*host]
	mu       sync.Mutex
}

// NewClient returns a client with the given settings.
func NewClient(s Settings) *Client {
	c := &Client{settings: s}
	c.hosts.Store(&map[string]*host{})
	return c
}

func (c *Client) host(address string) *host {
	if h, ok := (*c.hosts.Load())[address]; ok {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.hosts.Load()
	if h, ok := old[address]; ok {
		return h
	}
	hosts := make(map[string]*host, len(old)+1)
	for k, v := range old {
		hosts[k] = v
	}
	h := &host{address: address}
	hosts[address] = h
	c.hosts.Store(&hosts)
	return h
}

// connect returns a connection that is fit for a request: one that is neither
// old nor closed by the target nor idle for long, or a new one. For a request
// that must run at most once an idle connection is probed first. The error
// wraps ErrNotSent.
func (c *Client) connect(h *host, once bool, bound time.Time) (*conn, error) {
	for cn := h.take(); cn != nil; cn = h.take() {
		if c.fit(cn, once, bound) {
			return cn, nil
		}
		h.close(cn)
	}
	return c.dial(h, bound)
}

func (c *Client) fit(cn *conn, once bool, bound time.Time) bool {
	now := time.Now()
	idle := now.Sub(cn.idle)
	if now.Sub(cn.opened) > c.settings.MaxAge || idle > c.settings.MaxIdle || !cn.quiet() {
		return false
	}
	return !once || idle <= probeAfter || c.probe(cn, bound)
}

// probe reports whether the target answers on the connection.
func (c *Client) probe(cn *conn, bound time.Time) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + cn.RemoteAddr().String() + probePath)
	end := time.Now().Add(c.settings.DialTimeout)
	if bound.Before(end) {
		end = bound
	}
	if cn.roundTrip(req, resp, c.settings.DialTimeout, end) != nil {
		return false
	}
	_, err := readBody(resp, maxProbeAnswer)
	return err == nil && !resp.ConnectionClose()
}

func (c *Client) dial(h *host, bound time.Time) (*conn, error) {
	if !h.reserve(c.settings.MaxConns) {
		return nil, fmt.Errorf("%d connections to %s are open: %w", c.settings.MaxConns, h.address, ErrNotSent)
	}
	timeout := min(c.settings.DialTimeout, time.Until(bound))
	if timeout <= 0 {
		h.unreserve()
		return nil, fmt.Errorf("the deadline has passed: %w", ErrNotSent)
	}
	raw, err := net.DialTimeout("tcp", h.address, timeout)
	if err != nil {
		h.unreserve()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if c.settings.Wrap != nil {
		raw = c.settings.Wrap(raw)
	}
	return newConn(raw), nil
}

// exchange is a request and its answer on one connection.
type exchange struct {
	host    *host
	conn    *conn
	req     *fasthttp.Request
	resp    *fasthttp.Response
	maxIdle time.Duration
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
		host: c.host(address), req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(),
		maxIdle: c.settings.MaxIdle,
	}
	x.req.SetRequestURI("http://" + address + path)
	x.req.Header.SetMethod(method)
	return x
}

// send writes the request and reads the header of its answer. After an error
// the exchange is closed.
func (c *Client) send(x *exchange, how call) error {
	cn, err := c.connect(x.host, how.once, how.bound)
	if err != nil {
		x.close()
		return err
	}
	x.conn = cn
	if err := cn.roundTrip(x.req, x.resp, how.progress, how.bound); err != nil {
		x.close()
		return err
	}
	cn.progress = c.settings.Progress
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
		x.host.put(keep, x.maxIdle)
	}
}

// close ends an exchange. The connection is closed unless finish kept it; an
// engine takes that as a cancellation.
func (x *exchange) close() {
	if x.conn != nil {
		x.host.close(x.conn)
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
	if err := c.send(x, call{progress: c.settings.Progress, bound: deadline}); err != nil {
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
