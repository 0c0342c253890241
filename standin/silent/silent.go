// Package silent is a stand-in for a server whose open connections something on
// the way can forget: they get no answer any more, while new ones work.
package silent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server gives every request the same answer. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	http     http.Server
	answer   []byte
	// silences counts the silences so far; a connection knows the count at its begin.
	silences atomic.Int64
	gate     atomic.Pointer[sync.WaitGroup]
}

// begunAt is the key of a connection's count in the context of its requests.
type begunAt struct{}

// Start starts a server on a local address, such as 127.0.0.1:0, that answers with
// status 200 and a body. The error is that of the operating system.
func Start(address string, answer []byte) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, answer: answer}
	s.http.Handler = http.HandlerFunc(s.serve)
	s.http.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, begunAt{}, s.silences.Load())
	}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close closes the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Silence silences all connections that are open.
func (s *Server) StallConnections() { s.silences.Add(1) }

// Connect makes n calls and answers none before all have arrived, so that they
// come on n connections. It returns after the last one.
func (s *Server) OpenConnections(n int, call func()) {
	var gate, calls sync.WaitGroup
	gate.Add(n)
	s.gate.Store(&gate)
	for range n {
		calls.Go(call)
	}
	calls.Wait()
	s.gate.Store(nil)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.Context().Value(begunAt{}) != s.silences.Load() {
		<-r.Context().Done()
		return
	}
	if gate := s.gate.Load(); gate != nil {
		gate.Done()
		gate.Wait()
	}
	_, _ = w.Write(s.answer)
}
