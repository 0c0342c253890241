package soak

import (
	"net"
	"sync"
	"time"
)

// fault is what a link does to the bytes that pass it.
type fault uint8

const (
	faultNone fault = iota
	// faultDelay holds each piece back for linkDelay.
	faultDelay
	// faultSilent keeps connections open but moves no byte.
	faultSilent
	// faultOneWay moves only the bytes towards the server.
	faultOneWay
	faultCount
)

// linkDelay is long beside the exchanges of a sound deployment on loopback, and
// short beside the time-outs of a node.
const linkDelay = 60 * time.Millisecond

// link is a proxy on loopback in front of one server.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault fault
	moved chan struct{} // closed when the fault changes
	conns map[net.Conn]struct{}
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, moved: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.pass(c)
	}
}

func (k *link) pass(c net.Conn) {
	s, err := net.DialTimeout("tcp4", k.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	k.mu.Lock()
	k.conns[c], k.conns[s] = struct{}{}, struct{}{}
	k.mu.Unlock()
	go k.copy(c, s, false)
	k.copy(s, c, true)
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, s)
	k.mu.Unlock()
}

// copy moves bytes until one side ends. Both connections end with it.
func (k *link) copy(dst, src net.Conn, toServer bool) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			k.hold(toServer)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as the fault demands.
func (k *link) hold(toServer bool) {
	for {
		k.mu.Lock()
		f, moved := k.fault, k.moved
		k.mu.Unlock()
		switch {
		case f == faultDelay:
			t := time.NewTimer(linkDelay)
			<-t.C
			return
		case f == faultSilent || f == faultOneWay && !toServer:
			<-moved
		default:
			return
		}
	}
}

// set changes the fault of the link.
func (k *link) set(f fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	close(k.moved)
	k.moved = make(chan struct{})
}

// reset closes all connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
