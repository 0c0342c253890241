package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	nodev1 "github.com/lentilpick/lentilpick/api/node/v1"
	"github.com/lentilpick/lentilpick/api/node/v1/nodev1connect"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// pipeNet connects the node services of some nodes in virtual time. A connection to an address
// without one is never established, as that of a machine without power.
type pipeNet struct {
	listeners map[string]*pipeListener
	closed    chan struct{}
}

func newPipeNet() *pipeNet {
	return &pipeNet{map[string]*pipeListener{}, make(chan struct{})}
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// bytesPerSecond is the rate of responses, 0 for no limit. After stallAfter bytes, if not 0,
	// nothing is sent any more. A connection sends nothing for delay.
	bytesPerSecond, stallAfter int
	delay                      time.Duration
	sent                       atomic.Int64 // bytes
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return &pipeConn{Conn: c, listener: l, from: time.Now().Add(l.delay)}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeConn is the server's end of a connection.
type pipeConn struct {
	net.Conn
	listener *pipeListener
	from     time.Time // nothing is sent before
}

func (c *pipeConn) Write(b []byte) (sent int, err error) {
	const packet = 8 << 10
	l := c.listener
	time.Sleep(time.Until(c.from))
	for sent < len(b) && err == nil {
		if l.stallAfter > 0 && l.sent.Load() > int64(l.stallAfter) {
			<-l.closed
			return sent, net.ErrClosed
		}
		n := min(len(b)-sent, packet)
		if l.bytesPerSecond > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
		}
		n, err = c.Conn.Write(b[sent : sent+n])
		l.sent.Add(int64(n))
		sent += n
	}
	return sent, err
}

func (p *pipeNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	l := p.listeners[address]
	if l == nil {
		select { // the transport does not end the dialling with the request
		case <-ctx.Done():
		case <-p.closed:
		}
		return nil, net.ErrClosed
	}
	c, s := net.Pipe()
	l.conns <- s
	return c, nil
}

func (p *pipeNet) transport() http.RoundTripper {
	return &http.Transport{DisableKeepAlives: true, DialContext: p.dial}
}

// serve starts the node service of a node until the returned listener is closed.
func (p *pipeNet) serve(address string, s peerService) *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn, 16), closed: make(chan struct{})}
	p.listeners[address] = l
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewNodeServiceHandler(s))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return l
}

func (p *pipeNet) close() {
	close(p.closed)
	for _, l := range p.listeners {
		_ = l.Close()
	}
	time.Sleep(time.Minute) // the connections end
}

// changesUpTo returns a function that returns one record with the given value.
func changesUpTo(next types.Offset, size int) func(types.Position) (feed.Update, error) {
	return changesIn(callerEra, next, size)
}

// callerEra is the era of the callers.
const callerEra = 2

func changesIn(era types.Era, next types.Offset, size int) func(types.Position) (feed.Update, error) {
	return func(from types.Position) (feed.Update, error) {
		r := feed.Record{Key: "k", Value: make([]byte, size), Next: next, DeltaBase: from.Offset}
		return feed.Update{Era: era, Since: from.Offset, Next: next, Records: []feed.Record{r}}, nil
	}
}

// Guards against a node that the store rejects and that stays behind although other nodes have the
// change (mtc-lentil-large, seed 61417: a route refused 4.7 s after it was in force), against
// requests to nodes that do not have it, and against a dead node that delays the next one for long.
func TestChangesAreFetchedFromPeers(t *testing.T) {
	first, second := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	self := netip.MustParseAddr("10.0.0.9")
	unavailable := func(types.Position) (feed.Update, error) { return feed.Update{}, errors.New("not listed") }
	for name, c := range map[string]struct {
		first, second func(types.Position) (feed.Update, error) // nil for a dead node
		counts        [4]int                                    // asked, received, refused, failed
		next          types.Offset
		took          time.Duration
	}{
		"announcer has it":   {changesUpTo(50, 100), changesUpTo(60, 100), [4]int{1, 1, 0, 0}, 50, 0},
		"announcer is dead":  {nil, changesUpTo(60, 100), [4]int{2, 1, 0, 1}, 60, changesTimeout},
		"not ahead":          {changesUpTo(40, 0), changesUpTo(41, 0), [4]int{2, 1, 1, 0}, 41, 0},
		"too large":          {changesUpTo(50, maxChangesBytes+1), changesUpTo(60, maxChangesBytes-1), [4]int{2, 1, 1, 0}, 60, 0},
		"no snapshot":        {unavailable, unavailable, [4]int{2, 0, 2, 0}, 0, 0},
		"all nodes are dead": {nil, nil, [4]int{2, 0, 0, 2}, 0, 2 * changesTimeout},
		// After a return of the store, other records have the same offsets.
		"another era":                    {changesIn(1, 50, 100), changesIn(3, 50, 100), [4]int{2, 0, 0, 2}, 0, 0},
		"earlier release":                {changesIn(0, 50, 100), nil, [4]int{1, 1, 0, 0}, 50, 0},
		"earlier release after a return": {changesIn(0, 50, 100), changesUpTo(60, 100), [4]int{2, 1, 0, 1}, 60, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipeNet()
				defer p.close()
				for a, since := range map[netip.Addr]func(types.Position) (feed.Update, error){first: c.first, second: c.second} {
					if since != nil {
						p.serve(a.String()+":7396", peerService{changes: newChangesServer(since)})
					}
				}
				var counts [4]int
				f := &changesFetcher{
					log: daemon.NewLogger(io.Discard, "error", "node"), client: &http.Client{Transport: p.transport()}, port: "7396", self: self,
					announcer:  func() (netip.Addr, bool) { return first, true },
					neighbours: func() []netip.Addr { return []netip.Addr{first, self, second} },
					returned:   func() bool { return strings.HasSuffix(name, "return") },
					count:      func(r int) { counts[r]++ },
				}
				began := time.Now()
				u, err := f.fetch(t.Context(), types.Position{Era: callerEra, Offset: 40})
				assert.Equal(t, time.Since(began), c.took)
				assert.Equal(t, err == nil, c.next != 0)
				assert.Equal(t, u.Next, c.next)
				if c.next != 0 {
					assert.Equal(t, u.Since, types.Offset(40))
					assert.Equal(t, u.Records[0].DeltaBase, types.Offset(40))
				}
				assert.Equal(t, counts, c.counts)
			})
		})
	}
}

// Guards against a node that serves changes to all nodes of a data centre at once over its narrow
// link, and against changes of a feed whose removals they would omit.
func TestCallsForChangesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := newChangesServer(func(from types.Position) (feed.Update, error) {
			<-release
			return changesUpTo(from.Offset+1, 1)(from)
		})
		req := &nodev1.FetchChangesRequest{Feed: nodev1.Feed_FEED_CONFIGURATION, From: 7}
		results := make(chan error, maxChangesCalls)
		for range maxChangesCalls {
			go func() {
				_, err := s.fetch(req)
				results <- err
			}()
		}
		synctest.Wait()
		_, err := s.fetch(req)
		assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
		close(release)
		for range maxChangesCalls {
			assert.NilError(t, <-results)
		}
		_, err = s.fetch(req)
		assert.NilError(t, err)
		_, err = s.fetch(&nodev1.FetchChangesRequest{Feed: nodev1.Feed_FEED_REGISTRATIONS})
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	})
}
