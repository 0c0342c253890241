// Package endless is a stand-in for a server in trouble: its answers go on until
// the caller closes the connection.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// IDMark stands in a head for the identifier of the request.
const RequestIDPlaceholder = "{id}"

// Answer says what the server sends.
type Response struct {
	// Head is sent once, Piece again and again.
	Head, RepeatedData string
}

// Server answers every request in the same way. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	answer   atomic.Pointer[Response]
	open     atomic.Int64
	sent     atomic.Int64
	requests atomic.Int64
}

// Start starts a server on a local address, such as 127.0.0.1:0. The error is
// that of the operating system.
func Start(address string) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	s.SetResponse(Response{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close ends the listener. Connections end when their callers close them.
func (s *Server) Close() { _ = s.listener.Close() }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Set replaces the answer.
func (s *Server) SetResponse(a Response) { s.answer.Store(&a) }

// Open returns the number of connections that callers have not closed.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// Sent returns the number of bytes that callers have taken, including those in
// the buffers of the connections.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// Requests returns the number of requests.
func (s *Server) Requests() int64 { return s.requests.Load() }

// pieceBytes is the size to which pieces are joined for one write.
const pieceBytes = 16 << 10

func (s *Server) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.requests.Add(1)
	a := s.answer.Load()
	if _, err := io.WriteString(c, strings.ReplaceAll(a.Head, RequestIDPlaceholder, r.Header.Get("X-Request-Id"))); err != nil || a.RepeatedData == "" {
		return
	}
	piece := strings.Repeat(a.RepeatedData, max(pieceBytes/len(a.RepeatedData), 1))
	for {
		n, err := io.WriteString(c, piece)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
