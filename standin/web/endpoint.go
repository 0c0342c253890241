package web

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds the body of a request to a stand-in.
const maxBodyBytes = 64 << 20

// Endpoint is an HTTP server on one address that can simulate a crash and restart
// of its process.
type Endpoint struct {
	address   string
	server    *fasthttp.Server
	onFailure func(error)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	down     bool
	closed   bool
}

// Serve starts an endpoint. It calls onFailure with an error that ends the endpoint
// other than by Crash or Close.
func Serve(address string, h fasthttp.RequestHandler, onFailure func(error)) (*Endpoint, error) {
	e := &Endpoint{
		address: address, onFailure: onFailure, conns: map[net.Conn]struct{}{},
		server: &fasthttp.Server{Handler: h, MaxRequestBodySize: maxBodyBytes, IdleTimeout: time.Minute},
	}
	return e, e.listen()
}

func (e *Endpoint) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.down = l, false
	e.mu.Unlock()
	go e.serve(l)
	return nil
}

func (e *Endpoint) serve(l net.Listener) {
	err := e.server.Serve(&trackedListener{l, e})
	e.mu.Lock()
	expected := e.down || e.closed
	e.mu.Unlock()
	if err != nil && !expected {
		e.onFailure(err)
	}
}

// Crash resets all connections and refuses new ones for d. It has no effect on an
// endpoint that is already down.
func (e *Endpoint) Crash(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return
	}
	e.down = true
	e.dropConnections()
	time.AfterFunc(d, func() {
		if err := e.restart(); err != nil {
			e.onFailure(err)
		}
	})
}

func (e *Endpoint) restart() error {
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed {
		return nil
	}
	return e.listen()
}

// Close resets all connections and stops the endpoint.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.dropConnections()
}

func (e *Endpoint) dropConnections() {
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the peer receives a reset, as after a crash of the process
		}
		_ = c.Close()
	}
	clear(e.conns)
}

type trackedListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	e := l.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	e.conns[c] = struct{}{}
	return &trackedConn{c, e}, nil
}

type trackedConn struct {
	net.Conn
	endpoint *Endpoint
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.endpoint.mu.Lock()
	delete(c.endpoint.conns, c.Conn)
	c.endpoint.mu.Unlock()
	return c.Conn.Close()
}
