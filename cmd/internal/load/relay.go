package load

import (
	"io"
	"net"
	"sync"
)

// relay forwards TCP connections to an upstream address and can be blocked to
// simulate a network that drops packets: connections then stay open and new ones
// are accepted, but no data is forwarded.
type relay struct {
	listener net.Listener
	upstream string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]struct{}
}

func newRelay(listen, upstream string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, upstream: upstream, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.track(c) {
			go r.forward(c)
		}
	}
}

// track registers a connection and reports whether it may be forwarded.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.blocked
}

func (r *relay) forward(c net.Conn) {
	up, err := net.Dial("tcp", r.upstream)
	if err != nil {
		r.closeConn(c)
		return
	}
	r.track(up)
	go r.copy(up, c)
	r.copy(c, up)
}

const relayBufferBytes = 32 << 10

// copy forwards data until one side closes or the relay is blocked. Once
// blocked, both connections stay open until the relay is unblocked.
func (r *relay) copy(dst, src net.Conn) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if r.isBlocked() {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			r.closeConn(src)
			r.closeConn(dst)
			return
		}
	}
}

func (r *relay) isBlocked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked
}

func (r *relay) closeConn(c io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := c.(net.Conn); ok {
		delete(r.conns, n)
	}
	_ = c.Close()
}

// setBlocked blocks or unblocks the relay. Unblocking closes all existing
// connections.
func (r *relay) setBlocked(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = v
	if !v {
		r.closeConns()
	}
}

func (r *relay) closeConns() {
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeConns()
}

// relays are the relays on the connections of one daemon.
type relays []*relay

func (rs relays) setBlocked(v bool) {
	for _, r := range rs {
		r.setBlocked(v)
	}
}

func (rs relays) close() {
	for _, r := range rs {
		r.close()
	}
}
