// Package endless is a stand-in for a faulty server: its responses continue until the
// client closes the connection.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// RequestIDPlaceholder is replaced in Response.Head by the identifier of the request.
const RequestIDPlaceholder = "{id}"

// Response is the response that a Server sends.
type Response struct {
	// Head is the first part of the response, sent once.
	Head string
	// RepeatedData is sent after Head until the client closes the connection. If it is
	// empty, the server closes the connection after Head.
	RepeatedData string
}

// Server sends the same response to every request. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	response atomic.Pointer[Response]
	open     atomic.Int64
	sent     atomic.Int64
	requests atomic.Int64
}

// Start starts a server on a local address, such as 127.0.0.1:0. It returns the
// error of net.Listen.
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

// Close closes the listener. Connections remain open until their clients close
// them.
func (s *Server) Close() { _ = s.listener.Close() }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetResponse replaces the response.
func (s *Server) SetResponse(a Response) { s.response.Store(&a) }

// OpenConnections returns the number of connections that are open.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// BytesSent returns the number of bytes of repeated data written, including those in
// the socket buffers.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// Requests returns the number of requests received.
func (s *Server) Requests() int64 { return s.requests.Load() }

// writeBytes is the size up to which RepeatedData is repeated for one write.
const writeBytes = 16 << 10

func (s *Server) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.requests.Add(1)
	a := s.response.Load()
	if _, err := io.WriteString(c, strings.ReplaceAll(a.Head, RequestIDPlaceholder, r.Header.Get("X-Request-Id"))); err != nil || a.RepeatedData == "" {
		return
	}
	data := strings.Repeat(a.RepeatedData, max(writeBytes/len(a.RepeatedData), 1))
	for {
		n, err := io.WriteString(c, data)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
