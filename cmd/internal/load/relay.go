package load

import (
	"io"
	"net"
	"sync"
)

// relay passes TCP connections on to another address and can be cut. While it
// is cut, connections stay open and new ones are accepted, but no byte moves,
// as behind a network that drops packets.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newRelay(listen, to string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, to: to, conns: map[net.Conn]struct{}{}}
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
			go r.pass(c)
		}
	}
}

// track notes a connection and reports whether it may be passed on.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.cut
}

func (r *relay) pass(c net.Conn) {
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		r.drop(c)
		return
	}
	r.track(to)
	go r.copy(to, c)
	r.copy(c, to)
}

const relayBuffer = 32 << 10

// copy passes bytes on until one side ends or the relay is cut. After a cut
// both connections stay open until the relay is restored.
func (r *relay) copy(dst, src net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := src.Read(buf)
		if r.isCut() {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			r.drop(src)
			r.drop(dst)
			return
		}
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) drop(c io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := c.(net.Conn); ok {
		delete(r.conns, n)
	}
	_ = c.Close()
}

// setCut cuts or restores the relay. Connections from before are closed when
// it is restored.
func (r *relay) setCut(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = v
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

// relays are the relays around one daemon.
type relays []*relay

func (rs relays) setCut(v bool) {
	for _, r := range rs {
		r.setCut(v)
	}
}

func (rs relays) close() {
	for _, r := range rs {
		r.close()
	}
}
