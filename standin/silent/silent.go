// Package silent is a stand-in for a server whose open connections can stall, as after
// a middlebox lost their state: requests on them get no response, while new
// connections work.
package silent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server sends the same response to every request. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	http     http.Server
	body     []byte
	// stallCount counts the calls of StallConnections. A connection is stalled if the
	// count has changed since it was opened.
	stallCount atomic.Int64
	// arrivals, if not nil, delays responses until the expected requests have arrived.
	arrivals atomic.Pointer[sync.WaitGroup]
}

// stallCountAtOpen is the context key of stallCount at the time the connection was
// opened.
type stallCountAtOpen struct{}

// Start starts a server on a local address, such as 127.0.0.1:0, that responds with
// status 200 and the given body. It returns the error of net.Listen.
func Start(address string, body []byte) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, body: body}
	s.http.Handler = http.HandlerFunc(s.serve)
	s.http.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, stallCountAtOpen{}, s.stallCount.Load())
	}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close closes the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// StallConnections stalls all connections that are open now.
func (s *Server) StallConnections() { s.stallCount.Add(1) }

// OpenConnections runs call n times concurrently and delays the responses until all n
// requests have arrived, so that they use n connections. It returns after the last
// call.
func (s *Server) OpenConnections(n int, call func()) {
	var arrivals, calls sync.WaitGroup
	arrivals.Add(n)
	s.arrivals.Store(&arrivals)
	for range n {
		calls.Go(call)
	}
	calls.Wait()
	s.arrivals.Store(nil)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.Context().Value(stallCountAtOpen{}) != s.stallCount.Load() {
		<-r.Context().Done()
		return
	}
	if arrivals := s.arrivals.Load(); arrivals != nil {
		arrivals.Done()
		arrivals.Wait()
	}
	_, _ = w.Write(s.body)
}
