package soak

import (
	"net"
	"sync"
	"time"
)

// fault is the fault that a link applies to the traffic it forwards.
type fault uint8

const (
	faultNone fault = iota
	// faultDelay delays each chunk by linkDelay.
	faultDelay
	// faultBlockAll leaves connections open but forwards nothing.
	faultBlockAll
	// faultBlockResponses forwards only the bytes towards the server.
	faultBlockResponses
	faultCount
)

// linkDelay is longer than the exchanges of a healthy deployment on loopback, and shorter than
// the timeouts of a node.
const linkDelay = 60 * time.Millisecond

// link is a TCP proxy on loopback in front of one server.
type link struct {
	listener net.Listener
	upstream string
	dialer   net.Dialer

	mu           sync.Mutex
	fault        fault
	faultChanged chan struct{} // closed when the fault changes
	conns        map[net.Conn]struct{}
}

func newLink(upstream string) (*link, error) { return newLinkFrom(upstream, nil) }

// newLinkFrom returns a link whose connections to the server come from an IP address, any if nil.
func newLinkFrom(upstream string, ip net.IP) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, upstream: upstream, dialer: net.Dialer{Timeout: time.Second}, faultChanged: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	if ip != nil {
		k.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
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
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	s, err := k.dialer.Dial("tcp4", k.upstream)
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

// copy forwards bytes in one direction until either side ends, then closes both connections.
func (k *link) copy(dst, src net.Conn, toServer bool) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			k.applyFault(toServer)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyFault delays or blocks the caller according to the current fault.
func (k *link) applyFault(toServer bool) {
	for {
		k.mu.Lock()
		f, changed := k.fault, k.faultChanged
		k.mu.Unlock()
		switch {
		case f == faultDelay:
			t := time.NewTimer(linkDelay)
			<-t.C
			return
		case f == faultBlockAll || f == faultBlockResponses && !toServer:
			<-changed
		default:
			return
		}
	}
}

// setFault changes the fault of the link and wakes blocked connections.
func (k *link) setFault(f fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	close(k.faultChanged)
	k.faultChanged = make(chan struct{})
}

// reset closes all connections with a TCP reset.
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
