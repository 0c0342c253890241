package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

var requestSeq atomic.Int64

// newID returns an ID for one attempt of a requester.
func newID(prefix string) string { return fmt.Sprintf("%s%012x", prefix, requestSeq.Add(1)) }

// request is one request of a requester.
type request struct {
	id, kind, method, path string
	deadline               time.Duration
	headers                []string
	body                   string
	poisoned               bool
}

// requester keeps one channel to a node and sends one request after the other on it.
type requester struct {
	record *record
	node   *node
	conn   net.Conn
	r      *bufio.Reader
}

func (c *requester) closeChannel() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and waits for its answer until the deadline, and then leaves.
func (c *requester) do(q request) *sentRequest {
	sent := c.record.send(q.id, c.node.name, q.kind, q.poisoned)
	var done sentRequest
	defer func() { c.record.answer(sent, done) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.node.front, time.Second)
		if err != nil {
			done.err = err
			return sent
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	for i := 0; i+1 < len(q.headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", q.headers[i], q.headers[i+1])
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		done.err = err
		c.closeChannel()
		return sent
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		done.err = err
		c.closeChannel()
		return sent
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	done.status, done.stamp, done.body, done.err = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(body), err
	done.reason, done.complete = resp.Header.Get("X-Refusal-Reason"), err == nil
	if err != nil || resp.Close {
		c.closeChannel()
	}
	return sent
}
