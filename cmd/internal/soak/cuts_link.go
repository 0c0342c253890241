package soak

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// cutHow is the way in which a node has lost the link to a target.
type cutHow uint8

const (
	cutNone cutHow = iota
	// cutHang drops what the node sends and holds what the target sends.
	cutHang
	// cutRequests drops what the node sends only, and cutResponses holds what the target sends only.
	cutRequests
	cutResponses
	// cutReset resets open connections, and cutDials lets them live on.
	cutReset
	cutDials
	// cutClose resets open connections, and new ones when they have been accepted. All other kinds
	// leave new ones without a response. A listener cannot refuse the connections of one node only.
	cutClose
	cutHowCount
)

func (h cutHow) String() string {
	return [...]string{"none", "hang", "requests", "responses", "reset", "dials", "close"}[h]
}

// dropsPackets reports whether packets of the node on open connections are lost.
func (h cutHow) dropsPackets() bool { return h == cutHang || h == cutRequests }

// holdsResponses reports whether bytes from the target are held until the cut ends.
func (h cutHow) holdsResponses() bool { return h == cutHang || h == cutResponses }

// losesDials reports whether connections that the node opens get no response.
func (h cutHow) losesDials() bool { return h != cutNone && h != cutClose }

// resets reports whether open connections are reset when the cut begins.
func (h cutHow) resets() bool { return h == cutReset || h == cutClose }

// nodeLink is a TCP proxy on loopback in front of one target. It knows nodes by the addresses of their
// connections, and has a fault of its own for each.
type nodeLink struct {
	listener *net.TCPListener
	upstream string

	mu      sync.Mutex
	cuts    map[string]cutHow // by the address of the node
	changed chan struct{}     // closed when a cut begins or ends
	conns   map[*net.TCPConn]string
}

func newNodeLink(upstream string) (*nodeLink, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // sockets of MPTCP have no filters
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &nodeLink{listener: l.(*net.TCPListener), upstream: upstream, cuts: map[string]cutHow{}, changed: make(chan struct{}), conns: map[*net.TCPConn]string{}}
	go k.accept()
	return k, nil
}

func (k *nodeLink) address() string { return k.listener.Addr().String() }

func (k *nodeLink) close() { _ = k.listener.Close() }

func (k *nodeLink) accept() {
	for {
		c, err := k.listener.AcceptTCP()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// add registers a connection of a node. It resets it and returns false if the node may not open any.
func (k *nodeLink) add(c *net.TCPConn, ip string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	how := k.cuts[ip]
	if how.resets() { // accepted when the cut began, or cutClose
		resetConn(c)
		return false
	}
	if how.dropsPackets() {
		_ = attachFilter(c, dropAll)
	}
	k.conns[c] = ip
	return true
}

func (k *nodeLink) forward(c *net.TCPConn) {
	ip := c.RemoteAddr().(*net.TCPAddr).IP
	if !k.add(c, ip.String()) {
		return
	}
	// The target sees the address of the node, too.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	s, err := d.DialContext(context.Background(), "tcp4", k.upstream)
	if err == nil {
		go func() {
			copyBytes(s, c, func() {})
			_ = s.Close()
		}()
		copyBytes(c, s, func() { k.awaitResponses(ip.String()) })
		_ = s.Close()
	}
	// A node must not learn during a cut that the target has closed the connection.
	k.awaitResponses(ip.String())
	_ = c.Close()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// copyBytes copies bytes until an error, and calls wait before each write.
func copyBytes(dst, src net.Conn, wait func()) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			wait()
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitResponses waits while bytes for a node are held.
func (k *nodeLink) awaitResponses(ip string) {
	for {
		k.mu.Lock()
		holds, changed := k.cuts[ip].holdsResponses(), k.changed
		k.mu.Unlock()
		if !holds {
			return
		}
		<-changed
	}
}

// cut begins a cut of a node, or ends it with cutNone.
func (k *nodeLink) cut(ip string, how cutHow) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cuts[ip] = how
	close(k.changed)
	k.changed = make(chan struct{})
	var lost []string
	for a, h := range k.cuts {
		if h.losesDials() {
			lost = append(lost, a)
		}
	}
	slices.Sort(lost)
	err := attachFilter(k.listener, dropSources(lost))
	for c, of := range k.conns {
		switch {
		case of != ip:
		case how.resets():
			resetConn(c)
		case how.dropsPackets():
			_ = attachFilter(c, dropAll)
		default:
			_ = attachFilter(c, nil)
		}
	}
	return err
}

// dropAll is a socket filter that drops all packets.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}

// sourceOffset is the offset of the source address in the IPv4 header, as SKF_NET_OFF of the kernel
// addresses it.
const sourceOffset = ^uint32(0x100000) + 1 + 12

// dropSources returns a socket filter that drops packets from the given addresses, nil for none.
func dropSources(ips []string) []unix.SockFilter {
	if len(ips) == 0 {
		return nil
	}
	f := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, ip := range ips {
		b := net.ParseIP(ip).To4()
		address := uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
		f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(ips) - i), K: address})
	}
	return append(f, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: ^uint32(0)}, dropAll[0])
}

// attachFilter sets the filter of the packets that a socket receives, or removes it if f is nil. The
// kernel drops packets that a filter rejects without a response, as a lost link does.
func attachFilter(c syscall.Conn, f []unix.SockFilter) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		if f == nil {
			if set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); set == unix.ENOENT {
				set = nil // it has none
			}
			return
		}
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]})
	})
	if err != nil {
		return err
	}
	return set
}
