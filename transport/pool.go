package transport

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings of a pool.
type Settings struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle is the longest idle time after which a connection is used again.
	MaxIdle time.Duration
	// MaxAge is the longest life of a connection.
	MaxAge time.Duration
	// MaxConns bounds the connections to one target.
	MaxConns int
	// UserTimeout, if not 0, bounds the time that written data may stay
	// unacknowledged by the peer.
	UserTimeout time.Duration
	// Wrap, if not nil, is applied to each new connection.
	Wrap func(net.Conn) net.Conn
}

// Pool keeps the connections to all targets. It is safe for concurrent use:
// the table of hosts is read without locks and copied when a host is added.
type Pool struct {
	settings Settings
	dialer   net.Dialer
	hosts    atomic.Pointer[map[string]*host]
	mu       sync.Mutex
}

// NewPool returns a pool without connections.
func NewPool(s Settings) *Pool {
	p := &Pool{settings: s, dialer: net.Dialer{Control: UserTimeoutControl(s.UserTimeout)}}
	p.hosts.Store(&map[string]*host{})
	return p
}

// UserTimeoutControl returns a control function for net.Dialer and
// net.ListenConfig that sets TCP_USER_TIMEOUT, or nil for 0.
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

// host holds the idle connections to one target and counts all of them.
type host struct {
	address string
	mu      sync.Mutex
	idle    []*Conn // the most recently used last
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

// Take returns an idle connection that passes fit and is neither old nor
// closed by the target, or nil. Connections that fail are closed.
func (p *Pool) Take(address string, fit func(c *Conn, now time.Time) bool) *Conn {
	h := p.host(address)
	now := time.Now()
	for c := h.take(); c != nil; c = h.take() {
		young := now.Sub(c.opened) <= p.settings.MaxAge && c.IdleTime(now) <= p.settings.MaxIdle
		if young && c.Reusable() && (fit == nil || fit(c, now)) {
			return c
		}
		h.close(c)
	}
	return nil
}

// Dial opens a connection by bound at the latest. The error wraps ErrNotSent.
func (p *Pool) Dial(address string, bound time.Time) (*Conn, error) {
	h := p.host(address)
	if !h.reserve(p.settings.MaxConns) {
		return nil, fmt.Errorf("%d connections to %s are open: %w", p.settings.MaxConns, address, ErrNotSent)
	}
	timeout := min(p.settings.DialTimeout, time.Until(bound))
	if timeout <= 0 {
		h.unreserve()
		return nil, fmt.Errorf("the deadline has passed: %w", ErrNotSent)
	}
	d := p.dialer
	d.Timeout = timeout
	raw, err := d.Dial("tcp", address)
	if err != nil {
		h.unreserve()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if p.settings.Wrap != nil {
		raw = p.settings.Wrap(raw)
	}
	return newConn(raw), nil
}

// Put keeps a connection whose answer was read to its end for at most idle;
// 0 means the longest idle time of the settings.
func (p *Pool) Put(address string, c *Conn, idle time.Duration) {
	if idle <= 0 || idle > p.settings.MaxIdle {
		idle = p.settings.MaxIdle
	}
	p.host(address).put(c, idle)
}

// Discard closes a connection.
func (p *Pool) Discard(address string, c *Conn) { p.host(address).close(c) }

// Forget closes the idle connections to a target.
func (p *Pool) CloseIdle(address string) {
	h := p.host(address)
	for c := h.take(); c != nil; c = h.take() {
		h.close(c)
	}
}

// take returns the most recently used idle connection, or nil.
func (h *host) take() *Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	c := h.idle[n-1]
	h.idle = h.idle[:n-1]
	c.expire.Stop()
	return c
}

func (h *host) put(c *Conn, maxIdle time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.idle = time.Now()
	c.expire = time.AfterFunc(maxIdle, func() { h.drop(c) })
	h.idle = append(h.idle, c)
}

// drop closes a connection if it is still idle.
func (h *host) drop(c *Conn) {
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

// reserve counts a new connection unless there are limit already.
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
	// Idle holds the idle connections, the most recently used last.
	Idle []*Conn
}

// Status returns the connections to a target at this moment.
func (p *Pool) Status(address string) Status {
	h := p.host(address)
	h.mu.Lock()
	defer h.mu.Unlock()
	return Status{Open: h.open, Idle: append([]*Conn(nil), h.idle...)}
}
