package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// callerServer is the HTTP server for callers. Its Shutdown replaces that of fasthttp, which closes an
// idle connection even if it has just received a request there, without a response.
type callerServer struct {
	*fasthttp.Server
	listener atomic.Pointer[net.Listener]
	conns    sync.Map // of *callerConn
	open     sync.WaitGroup
	served   chan struct{} // closed when Serve returns
	// idleTimeout, if not 0, is how long a connection may wait for a request once Shutdown has begun.
	idleTimeout atomic.Int64
}

func newCallerServer(s *fasthttp.Server) *callerServer {
	c := &callerServer{Server: s, served: make(chan struct{})}
	s.ConnState = func(conn net.Conn, state fasthttp.ConnState) { conn.(*callerConn).setState(state) }
	return c
}

// Serve accepts connections until Shutdown. It must be called once.
func (s *callerServer) Serve(l net.Listener) error {
	defer close(s.served)
	s.listener.Store(&l)
	return s.Server.Serve(callerListener{l, s})
}

// Shutdown closes the listener, lets each connection without a request wait for one no longer than
// idleTimeout, and returns when all connections are closed. The handler has to announce in each response
// that the connection closes. The error is that of ctx.
func (s *callerServer) Shutdown(ctx context.Context, idleTimeout time.Duration) error {
	if l := s.listener.Load(); l != nil {
		_ = (*l).Close()
		<-s.served
	}
	s.idleTimeout.Store(int64(idleTimeout))
	s.conns.Range(func(c, _ any) bool {
		c.(*callerConn).limitWait()
		return true
	})
	closed := make(chan struct{})
	go func() {
		s.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// EndReads makes the requests that have not arrived completely fail with a timeout.
func (s *callerServer) EndReads() {
	s.conns.Range(func(c, _ any) bool {
		if c := c.(*callerConn); !c.isWaiting() {
			_ = c.Conn.SetReadDeadline(time.Now())
		}
		return true
	})
}

type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, server: l.server}
	l.server.open.Add(1)
	l.server.conns.Store(c, nil)
	return c, nil
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	server *callerServer
	state  atomic.Int32 // fasthttp.ConnState
	closed atomic.Bool
}

// setState stores the state. fasthttp does not set the deadline for the rest of the first request, so that
// a limit of the wait for it has to be lifted here.
func (c *callerConn) setState(s fasthttp.ConnState) {
	c.state.Store(int32(s))
	if s == fasthttp.StateActive && c.server.idleTimeout.Load() > 0 {
		c.allowRequest()
	}
}

func (c *callerConn) allowRequest() { _ = c.Conn.SetReadDeadline(time.Now().Add(c.server.ReadTimeout)) }

func (c *callerConn) isWaiting() bool {
	s := fasthttp.ConnState(c.state.Load())
	return s == fasthttp.StateNew || s == fasthttp.StateIdle
}

// SetReadDeadline implements net.Conn. The check comes after the deadline is set, so that limitWait is
// not undone if it runs at the same time.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.server.idleTimeout.Load() > 0 && c.isWaiting() {
		c.limitWait()
	}
	return err
}

// limitWait bounds the wait for the next request. A connection that has become active in the meantime
// gets the time for a complete request again.
func (c *callerConn) limitWait() {
	if !c.isWaiting() {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(time.Duration(c.server.idleTimeout.Load())))
	if !c.isWaiting() {
		c.allowRequest()
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.server.conns.Delete(c)
		defer c.server.open.Done()
	}
	return c.Conn.Close()
}
