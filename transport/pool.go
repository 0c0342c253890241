package transport

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings configure a pool.
type Settings struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle is the maximum time that an idle connection stays open.
	MaxIdle time.Duration
	// MaxAge is the maximum age at which a connection is used for another request.
	MaxAge time.Duration
	// MaxConns bounds the open connections to one target.
	MaxConns int
	// UserTimeout, if not 0, bounds the time that written data may stay
	// unacknowledged by the peer (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// LocalAddress, if valid, is the address from which connections are opened.
	LocalAddress netip.Addr
	// Wrap, if not nil, is applied to each new connection.
	Wrap func(net.Conn) net.Conn
}

// Pool pools the connections to all targets. It is safe for concurrent use: the
// table of hosts is read without a lock and copied when a host is added.
type Pool struct {
	settings Settings
	dialer   net.Dialer
	hosts    atomic.Pointer[map[string]*host]
	mu       sync.Mutex
}

// NewPool returns a pool with no open connections.
func NewPool(s Settings) *Pool {
	p := &Pool{settings: s, dialer: net.Dialer{Control: UserTimeoutControl(s.UserTimeout)}}
	if s.LocalAddress.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.LocalAddress, 0))
		p.dialer.Control = bindWithoutPort(p.dialer.Control)
	}
	if s.UserTimeout > 0 {
		// With TCP_USER_TIMEOUT one lost keep-alive probe ends a connection that has received nothing
		// for that time, such as one that waits for the response to a long request. Idle connections
		// end by MaxIdle and requests by their deadlines.
		p.dialer.KeepAlive = -1
	}
	p.hosts.Store(&map[string]*host{})
	return p
}

// UserTimeoutControl returns a Control function for net.Dialer and net.ListenConfig
// that sets TCP_USER_TIMEOUT. It returns nil if d is 0.
func UserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return set
	}
}

// bindWithoutPort returns a Control function that delays the choice of the local port until the
// connection is opened, after next, which may be nil. A port that is reserved without a destination
// can be used by one connection only, which bounds those to all targets together.
func bindWithoutPort(next func(network, address string, c syscall.RawConn) error) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		if next != nil {
			if err := next(network, address, c); err != nil {
				return err
			}
		}
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		})
		if err != nil {
			return err
		}
		return set
	}
}

// host holds the idle connections to one target and the number of all open ones.
type host struct {
	address string
	mu      sync.Mutex
	idle    []*Conn // most recently used last
	open    int
}

func (p *Pool) host(address string) *host {
	if h, ok := (*p.hosts.Load())[address]; ok {
		return h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.hosts.Load()
	if h, ok := old[address]; ok {
		return h
	}
	hosts := make(map[string]*host, len(old)+1)
	for k, v := range old {
		hosts[k] = v
	}
	h := &host{address: address}
	hosts[address] = h
	p.hosts.Store(&hosts)
	return h
}

// Take returns an idle connection that is within MaxAge and MaxIdle, is reusable and
// is accepted by accept, or nil if there is none. It closes the connections that do
// not meet these conditions. A nil accept accepts every connection.
func (p *Pool) Take(address string, accept func(c *Conn, now time.Time) bool) *Conn {
	h := p.host(address)
	now := time.Now()
	for c := h.take(); c != nil; c = h.take() {
		fresh := now.Sub(c.opened) <= p.settings.MaxAge && c.IdleTime(now) <= p.settings.MaxIdle
		if fresh && c.Reusable() && (accept == nil || accept(c, now)) {
			return c
		}
		h.close(c)
	}
	return nil
}

// Dial opens a connection within DialTimeout, before the deadline and while ctx lasts. The
// error wraps ErrNotSent, and ErrConnLimit if MaxConns is reached.
func (p *Pool) Dial(ctx context.Context, address string, deadline time.Time) (*Conn, error) {
	h := p.host(address)
	if !h.reserve(p.settings.MaxConns) {
		return nil, fmt.Errorf("limit of %d open connections to %s reached: %w: %w", p.settings.MaxConns, address, ErrConnLimit, ErrNotSent)
	}
	timeout := min(p.settings.DialTimeout, time.Until(deadline))
	if timeout <= 0 {
		h.unreserve()
		return nil, fmt.Errorf("deadline passed before dialing %s: %w", address, ErrNotSent)
	}
	d := p.dialer
	d.Timeout = timeout
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		h.unreserve()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if p.settings.Wrap != nil {
		raw = p.settings.Wrap(raw)
	}
	return newConn(raw), nil
}

// Adopt returns a connection of the pool that uses an open network connection to the
// target. MaxConns does not limit it.
func (p *Pool) Adopt(address string, c net.Conn) *Conn {
	h := p.host(address)
	h.mu.Lock()
	h.open++
	h.mu.Unlock()
	return newConn(c)
}

// Put returns a connection to the pool after its response was read to the end. The
// connection is closed after the given idle time; 0, or a longer time than MaxIdle,
// means MaxIdle.
func (p *Pool) Put(address string, c *Conn, maxIdle time.Duration) {
	if maxIdle <= 0 || maxIdle > p.settings.MaxIdle {
		maxIdle = p.settings.MaxIdle
	}
	p.host(address).put(c, maxIdle)
}

// Discard closes a connection that was taken or dialed.
func (p *Pool) Discard(address string, c *Conn) { p.host(address).close(c) }

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(address string) {
	h := p.host(address)
	for c := h.take(); c != nil; c = h.take() {
		h.close(c)
	}
}

// CloseAllIdle closes the idle connections to all targets.
func (p *Pool) CloseAllIdle() {
	for address := range *p.hosts.Load() {
		p.CloseIdle(address)
	}
}

// take removes and returns the most recently used idle connection, or returns nil.
func (h *host) take() *Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	c := h.idle[n-1]
	h.idle = h.idle[:n-1]
	c.idleTimer.Stop()
	return c
}

func (h *host) put(c *Conn, maxIdle time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.idleSince = time.Now()
	c.idleTimer = time.AfterFunc(maxIdle, func() { h.closeIfIdle(c) })
	h.idle = append(h.idle, c)
}

// drop closes a connection unless it was taken in the meantime.
func (h *host) closeIfIdle(c *Conn) {
	h.mu.Lock()
	found := false
	for i, v := range h.idle {
		if v == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			found = true
			break
		}
	}
	h.mu.Unlock()
	if found {
		h.close(c)
	}
}

// reserve counts a new connection. It returns false if limit connections are open.
func (h *host) reserve(limit int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open >= limit {
		return false
	}
	h.open++
	return true
}

func (h *host) unreserve() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
}

func (h *host) close(c *Conn) {
	_ = c.Close()
	h.unreserve()
}

// Status is the state of the connections to one target.
type Status struct {
	Open int
	// Idle holds the idle connections, most recently used last.
	Idle []*Conn
}

// Status returns a snapshot of the connections to a target.
func (p *Pool) Status(address string) Status {
	h := p.host(address)
	h.mu.Lock()
	defer h.mu.Unlock()
	return Status{Open: h.open, Idle: append([]*Conn(nil), h.idle...)}
}
