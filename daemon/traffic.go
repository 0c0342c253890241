package daemon

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// Traffic counts the payload bytes of a group of connections, without TCP and IP
// headers. It is safe for concurrent use.
type Traffic struct{ received, sent atomic.Int64 }

// Received returns the bytes read so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns the bytes written so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Conn wraps a connection so that its bytes are counted in t.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &countedConn{c, t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// SyscallConn returns the raw connection, so that the state of the socket can be read.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Listener wraps a listener so that the bytes of each accepted connection are counted
// in the group that groupOf returns for it.
func Listener(l net.Listener, groupOf func(net.Conn) *Traffic) net.Listener {
	return &countedListener{l, groupOf}
}

type countedListener struct {
	net.Listener
	groupOf func(net.Conn) *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.groupOf(c).Conn(c), nil
}

// SameHost reports whether both ends of a TCP connection have the same IP address.
func SameHost(c net.Conn) bool {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	b, ok2 := c.LocalAddr().(*net.TCPAddr)
	return ok && ok2 && a.IP.Equal(b.IP)
}

// Dialer returns a dialer that uses the IP address of a listen address as source
// address, so that the peer can identify the VM. An unspecified or invalid address
// leaves the choice to the system.
func Dialer(listen string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if a, err := netip.ParseAddrPort(listen); err == nil && !a.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return d
}
