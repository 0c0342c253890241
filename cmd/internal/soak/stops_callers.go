package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// eventInterval is the time between two events of a stream in the stops scenario.
const eventInterval = 50 * time.Millisecond

// stopsRoutes are the routes that kept callers use.
var stopsRoutes = []string{"chat", "resume"}

// keptCallers send one stream after the other. Each keeps its connection until the node closes
// it or announces that it will, or refuses a request, and goes to another node then.
type keptCallers struct {
	run       *stopsRun
	mu        sync.Mutex
	exchanges []exchange
}

func (c *keptCallers) start(ctx context.Context, wg *sync.WaitGroup) {
	for i := range c.run.Callers {
		k := &keptCaller{callers: c, name: fmt.Sprintf("k%d", i), rng: rand.New(rand.NewPCG(c.run.seed, 10_000+uint64(i)))}
		wg.Go(func() { k.sendStreams(ctx) })
	}
}

// keptCaller is one of the callers.
type keptCaller struct {
	callers *keptCallers
	name    string
	rng     *rand.Rand
	node    *stoppingNode // of the connection, or of the last one
	conn    net.Conn      // nil while there is none
	r       *bufio.Reader
	idle    time.Time // the end of the last response on the connection, zero before
	sent    int
}

func (k *keptCaller) sendStreams(ctx context.Context) {
	defer k.disconnect()
	for ctx.Err() == nil {
		r := k.newStream()
		think := time.Duration(k.rng.Int64N(int64(k.callers.run.Think)))
		if k.conn == nil {
			sleep(ctx, think)
		} else if !k.staysOpen(think) {
			k.disconnect()
		}
		e := k.send(ctx, r)
		if e == nil {
			continue
		}
		switch {
		case e.complete && e.status == http.StatusServiceUnavailable:
			sleep(ctx, min(k.retryAfter(e), r.deadline/3))
			k.disconnect()
			k.send(ctx, r)
		case !e.complete && !e.gaveUp && e.route == "resume" && e.events > 0:
			r.resumeAfter += e.events
			k.send(ctx, r)
		}
	}
}

// streamRequest is what a caller asks for. A retry repeats it under another ID.
type streamRequest struct {
	route       string
	plan        standin.StreamPlan
	deadline    time.Duration
	resumeAfter int
}

// Shares of requests, in percent.
const (
	shortDeadlinePercent = 20
	brokenStreamPercent  = 15
	silentStreamPercent  = 10
)

const (
	callerDeadline      = 20 * time.Second
	callerShortDeadline = 8 * time.Second
)

func (k *keptCaller) newStream() streamRequest {
	s := k.callers.run
	r := streamRequest{route: stopsRoutes[k.rng.IntN(len(stopsRoutes))], deadline: callerDeadline}
	length := s.Lengths[k.rng.IntN(len(s.Lengths))]
	r.plan.Events = max(int(length/eventInterval), 1)
	if k.rng.IntN(100) < shortDeadlinePercent {
		r.deadline = callerShortDeadline
	}
	if p := k.rng.IntN(100); p < brokenStreamPercent && s.beside("breaks") {
		r.plan.BreakAfter = 1 + k.rng.IntN(r.plan.Events)
	}
	if p := k.rng.IntN(100); p < silentStreamPercent && s.beside("pauses") {
		r.plan.Silence = minSilence + time.Duration(k.rng.Int64N(int64(maxSilence-minSilence)))
		r.plan.SilentAfter = k.rng.IntN(r.plan.Events)
	}
	return r
}

// staysOpen waits for d and reports whether the connection is still open and idle then.
func (k *keptCaller) staysOpen(d time.Duration) bool {
	_ = k.conn.SetReadDeadline(time.Now().Add(d))
	_, err := k.r.Peek(1)
	if err == nil {
		k.callers.run.report("%s: bytes without a request from %s", k.name, k.node.name)
	}
	return isTimeout(err)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// connectTimeout is the time that callers of the platform allow for a new connection.
const connectTimeout = time.Second

// connect opens a connection to another node, at first to one to which the platform sends new
// connections. It reports whether one could be opened.
func (k *keptCaller) connect() bool {
	nodes := k.callers.run.nodes
	order := k.rng.Perm(len(nodes))
	for pass := range 2 {
		for _, i := range order {
			n := nodes[i]
			if pass == 0 && (n == k.node || !n.inRotation.Load()) {
				continue
			}
			c, err := net.DialTimeout("tcp4", n.callerAddress, connectTimeout)
			if err == nil {
				k.node, k.conn, k.r, k.idle = n, c, bufio.NewReader(c), time.Time{}
				return true
			}
		}
	}
	return false
}

func (k *keptCaller) disconnect() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// reconnectDelay is the pause after no node could be reached.
const reconnectDelay = 50 * time.Millisecond

// send sends a request, on the connection if there is one, and records what came back. It
// returns nil if no node could be reached.
func (k *keptCaller) send(ctx context.Context, r streamRequest) *exchange {
	for k.conn == nil && !k.connect() {
		if ctx.Err() != nil {
			return nil
		}
		sleep(ctx, reconnectDelay)
	}
	k.sent++
	e := &exchange{
		id: fmt.Sprintf("%s-%d", k.name, k.sent), route: r.route, node: k.node.name, resumeAfter: r.resumeAfter, plan: r.plan,
		timeLimit: min(r.deadline, stopsRouteTimeout), idleSince: k.idle, began: time.Now(),
	}
	if _, e.err = io.WriteString(k.conn, encodeRequest(e, r.deadline)); e.err != nil {
		e.ended = time.Now()
		k.disconnect()
	} else {
		e.sent = time.Now()
		if !k.receive(e) {
			k.disconnect()
		}
		k.idle = e.ended
	}
	k.callers.mu.Lock()
	k.callers.exchanges = append(k.callers.exchanges, *e)
	k.callers.mu.Unlock()
	return e
}

func encodeRequest(e *exchange, deadline time.Duration) string {
	var b strings.Builder
	body := "body of " + e.id
	fmt.Fprintf(&b, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", e.route, standin.Host, len(body))
	h := standin.Headers(e.id, true)
	h["X-Deadline-Ms"] = strconv.FormatInt(deadline.Milliseconds(), 10)
	if e.resumeAfter > 0 {
		h["Last-Event-Id"] = strconv.Itoa(e.resumeAfter)
	}
	name, value := e.plan.Header()
	h[name] = value
	for k, v := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	return b.String() + "\r\n" + body
}

// receive reads the response and reports whether the connection stays open.
func (k *keptCaller) receive(e *exchange) bool {
	limit := e.began.Add(e.timeLimit + timeLimitSlack)
	giveUp := k.giveUpTime(limit)
	_ = k.conn.SetReadDeadline(giveUp)
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return e.end(err, giveUp, limit)
	}
	defer resp.Body.Close()
	e.status, e.serverStamp = resp.StatusCode, resp.Header.Get(standin.StampHeader) != ""
	e.retryAfter, e.reason = resp.Header.Get("Retry-After"), resp.Header.Get("X-Refusal-Reason")
	var body strings.Builder
	buf := make([]byte, 4<<10)
	for err == nil {
		giveUp = k.giveUpTime(limit)
		_ = k.conn.SetReadDeadline(giveUp)
		var n int
		n, err = resp.Body.Read(buf)
		body.Write(buf[:n])
		e.body = body.String()
		if e.status == http.StatusOK {
			e.events = strings.Count(e.body, "\n\n")
		}
	}
	if errors.Is(err, io.EOF) {
		e.complete, e.ended = true, time.Now()
		return !resp.Close
	}
	return e.end(err, giveUp, limit)
}

// timeLimitSlack is how much longer than its time limit a caller waits, so that the response
// of a node that ends the request at the time limit arrives.
const timeLimitSlack = 200 * time.Millisecond

// giveUpTime returns the time at which the caller gives up unless it has received something
// until then.
func (k *keptCaller) giveUpTime(limit time.Time) time.Time {
	if gap := k.callers.run.Gap; gap > 0 && time.Now().Add(gap).Before(limit) {
		return time.Now().Add(gap)
	}
	return limit
}

// end records that a response ended early. It returns false: the connection is not used again.
// A caller that is late to notice that it gives up may find the connection closed.
func (e *exchange) end(err error, giveUp, limit time.Time) bool {
	e.err, e.ended = err, time.Now()
	e.gaveUp = giveUp.Before(limit) && !e.ended.Before(giveUp)
	return false
}

// defaultRetryAfter is the pause before a retry if the node names none.
const defaultRetryAfter = 50 * time.Millisecond

func (k *keptCaller) retryAfter(e *exchange) time.Duration {
	if s, err := strconv.ParseFloat(e.retryAfter, 64); err == nil {
		return time.Duration(s * float64(time.Second))
	}
	return defaultRetryAfter
}
