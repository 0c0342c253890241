package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// keyUse is the kind of key that a caller sends.
type keyUse uint8

const (
	keyHeld    keyUse = iota // in a configuration when it was sent
	keyDropped               // in an earlier configuration
	keyUnknown
	keyMissing
	keyMalformed // not of the form that the platform describes
	keyRepeated  // two fields with keys of two workspaces
)

func (u keyUse) String() string {
	return [...]string{"held", "dropped", "unknown", "missing", "malformed", "repeated"}[u]
}

// keyedCall is one request of a caller as the caller saw it.
type keyedCall struct {
	id     string
	node   *changesNode
	route  standin.Route
	use    keyUse
	key    *issuedKey // of held and dropped keys, and the first of repeated ones
	second *issuedKey // of repeated ones
	// sent and ended are the times before the request and after the response.
	sent, ended time.Time
	status      int // 0 without a complete response
}

// drawKey returns the kind of key of a request, and a key that the configuration holds or has held.
func (s *keysRun) drawKey(rng *rand.Rand) (use keyUse, key, second *issuedKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held, dropped []*issuedKey
	for _, k := range s.keys {
		if k.dropped.IsZero() {
			held = append(held, k)
		} else {
			dropped = append(dropped, k)
		}
	}
	switch p := rng.IntN(100); {
	case p < 15 && len(dropped) > 0:
		return keyDropped, dropped[rng.IntN(len(dropped))], nil
	case p < 25:
		return keyUnknown, nil, nil
	case p < 32:
		return keyMissing, nil, nil
	case p < 36:
		return keyMalformed, held[rng.IntN(len(held))], nil
	case p < 40:
		return keyRepeated, held[rng.IntN(len(held))], held[rng.IntN(len(held))]
	}
	return keyHeld, held[rng.IntN(len(held))], nil
}

func (s *keysRun) sendCalls(ctx context.Context, n *changesNode, name string, rng *rand.Rand) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, keysCallGap)
		c := keyedCall{id: fmt.Sprintf("%s-%d", name, i), node: n, route: keysRoutes[rng.IntN(len(keysRoutes))]}
		c.use, c.key, c.second = s.drawKey(rng)
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", n.callerAddress, connectTimeout); err != nil {
				conn = nil
				continue
			}
		}
		if !c.exchange(conn, rng) {
			_ = conn.Close()
			conn = nil
		}
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
	}
}

// exchange sends the request and reads the response. It reports whether the connection stays open.
func (c *keyedCall) exchange(conn net.Conn, rng *rand.Rand) bool {
	c.sent = time.Now()
	defer func() { c.ended = time.Now() }()
	_ = conn.SetDeadline(c.sent.Add(keysRouteTime + time.Second))
	if _, err := io.WriteString(conn, c.encode(rng)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	c.status = resp.StatusCode
	return !resp.Close
}

func drawOf(rng *rand.Rand, values ...string) string { return values[rng.IntN(len(values))] }

// encode writes the request, with headers that claim a workspace or are written oddly.
func (c *keyedCall) encode(rng *rand.Rand) string {
	var b strings.Builder
	method := http.MethodPost
	if c.route.Kind == "safe" {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: %s\r\n", method, c.route.Name, standin.Host)
	for k, v := range standin.Headers(c.id, c.route.Prompted) {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if c.route.Resumable && rng.IntN(100) < brokenStreamPercent {
		name, value := standin.StreamPlan{BreakAfter: 1 + rng.IntN(standin.Events-1)}.Header()
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	key, claim := standin.KeyHeader, standin.WorkspaceHeader
	field := func(name, value string) {
		fmt.Fprintf(&b, "%s: %s\r\n", drawOf(rng, name, name, strings.ToLower(name), strings.ToUpper(name)), value)
	}
	switch c.use {
	case keyHeld, keyDropped:
		field(key, standin.KeyValue(c.key.key))
	case keyUnknown:
		field(key, standin.KeyValue(fmt.Sprintf("%s-none-%016x", keyMark, rng.Uint64())))
	case keyMalformed:
		field(key, drawOf(rng, "Bearer "+c.key.key, c.key.key, standin.KeyValue(c.key.key+" x"), "Token"))
	case keyRepeated:
		field(key, standin.KeyValue(c.key.key))
		field(key, standin.KeyValue(c.second.key))
	}
	for range rng.IntN(3) {
		field(claim, workspaceName(rng.IntN(workspaceCount)))
	}
	if rng.IntN(10) == 0 {
		fmt.Fprintf(&b, "Connection: %s\r\n", drawOf(rng, key, claim, strings.ToLower(key)+", "+claim))
	}
	if method == http.MethodGet {
		return b.String() + "\r\n"
	}
	body := "body of " + c.id
	if rng.IntN(10) == 0 {
		fmt.Fprintf(&b, "Trailer: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s: %s\r\n\r\n", claim, len(body), body, claim, workspaceName(0))
		return b.String()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}
