package engine

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeTarget accepts connections on loopback. For each request it calls serve
// with the number of the connection and of the request on it, from 0; serve
// returns what to write and whether to go on with the connection.
type fakeTarget struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
	cut      chan struct{} // closed when a connection was closed by the client
}

type answer struct {
	text   string
	silent bool // write nothing more and keep the connection open
	close  bool // close the connection after text
}

func newFakeTarget(t *testing.T, serve func(r *http.Request, conn, request int) answer) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &fakeTarget{address: l.Addr().String(), cut: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, int(f.conns.Add(1))-1, serve)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn, n int, serve func(r *http.Request, conn, request int) answer) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			f.cut <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.requests.Add(1)
		a := serve(req, n, i)
		_, _ = io.WriteString(c, a.text)
		if a.close {
			return
		}
		if a.silent {
			_, _ = io.Copy(io.Discard, r)
			f.cut <- struct{}{}
			return
		}
	}
}

func testClient() *Client {
	return NewClient(Settings{
		DialTimeout: time.Second, ProgressTimeout: time.Second, MaxIdle: time.Minute, MaxAge: time.Minute, MaxConns: 4,
	})
}

func soon() time.Time { return time.Now().Add(20 * time.Second) }

const eventStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func token(id string, index int, text string) string {
	return chunk(fmt.Sprintf("data: {\"request_id\":%q,\"index\":%d,\"count\":1,\"text\":%q}\n\n", id, index, text))
}

func end(id string, tokens int, text string) string {
	return chunk(fmt.Sprintf("data: {\"request_id\":%q,\"index\":%d,\"done\":true,\"tokens\":%d,\"checksum\":\"%016x\"}\n\n",
		id, tokens, tokens, xxhash.Sum64String(text)))
}

// read reads a stream to its end and returns its text.
func read(s *Stream) (string, error) {
	var text strings.Builder
	for {
		e, err := s.Next()
		if err != nil {
			s.Close()
			return text.String(), err
		}
		if e.Done {
			s.Finish()
			return text.String(), nil
		}
		text.WriteString(e.Text)
	}
}

// Guards against an answer that is cut, silent, mixed up or damaged and passes
// as whole, and against a whole one that is refused.
func TestStreamIsWholeOrFails(t *testing.T) {
	whole := token("r", 0, "a") + token("r", 1, "b")
	long := strings.Repeat("x", maxEventBytes)
	for name, c := range map[string]struct {
		answer answer
		want   error
	}{
		"whole":                  {answer{text: eventStream + whole + end("r", 2, "ab") + "0\r\n\r\n"}, nil},
		"comments are skipped":   {answer{text: eventStream + chunk(": keep-alive\n\n") + whole + chunk(":\n\n") + end("r", 2, "ab") + "0\r\n\r\n"}, nil},
		"foreign event":          {answer{text: eventStream + token("other", 0, "z") + whole + end("r", 2, "ab") + "0\r\n\r\n"}, nil},
		"no end of the body":     {answer{text: eventStream + whole + end("r", 2, "ab")}, nil},
		"silent after accept":    {answer{silent: true}, ErrStalled},
		"silent after header":    {answer{text: eventStream, silent: true}, ErrStalled},
		"silent mid-stream":      {answer{text: eventStream + whole, silent: true}, ErrStalled},
		"cut mid-stream":         {answer{text: eventStream + whole, close: true}, ErrTruncated},
		"cut within an event":    {answer{text: eventStream + "40\r\ndata: {\"request_id\"", close: true}, ErrTruncated},
		"cut before the header":  {answer{text: "HTTP/1.1 200", close: true}, ErrTruncated},
		"no end marker":          {answer{text: eventStream + whole + "0\r\n\r\n"}, ErrTruncated},
		"end marker too early":   {answer{text: eventStream + whole + end("r", 1, "ab") + "0\r\n\r\n"}, ErrTruncated},
		"wrong checksum":         {answer{text: eventStream + whole + end("r", 2, "ax") + "0\r\n\r\n"}, ErrTruncated},
		"token missing":          {answer{text: eventStream + token("r", 1, "b")}, ErrFailed},
		"too many tokens":        {answer{text: eventStream + whole + token("r", 2, "c")}, ErrFailed},
		"oversized event":        {answer{text: eventStream + token("r", 0, long)}, ErrResponseTooLarge},
		"event is not JSON":      {answer{text: eventStream + chunk("data: {\n\n")}, ErrFailed},
		"only events of another": {answer{text: eventStream + strings.Repeat(token("other", 0, "z"), maxForeign+1)}, ErrMismatch},
		"header of another":      {answer{text: strings.Replace(eventStream, "\r\n", "\r\nX-Request-Id: other\r\n", 1)}, ErrMismatch},
		"refused":                {answer{text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeTarget(t, func(*http.Request, int, int) answer { return c.answer })
			text := ""
			s, err := testClient().Generate(f.address, &GenerateRequest{RequestID: "r", MaxTokens: 2}, soon())
			if err == nil {
				text, err = read(s)
			}
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, text, "ab")
				return
			}
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}

// Guards against a stream that is held to be silent although keep-alive
// comments arrive.
func TestCommentsAreProgress(t *testing.T) {
	const ticks = 15
	var pause atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, eventStream)
		for range ticks { // longer than the progress deadline in all
			time.Sleep(100 * time.Millisecond)
			pause.Add(1)
			_, _ = io.WriteString(c, chunk(": keep-alive\n\n"))
		}
		_, _ = io.WriteString(c, token("r", 0, "a")+end("r", 1, "a")+"0\r\n\r\n")
	}()
	s, err := testClient().Generate(l.Addr().String(), &GenerateRequest{RequestID: "r", MaxTokens: 2}, soon())
	assert.NilError(t, err)
	text, err := read(s)
	assert.NilError(t, err)
	assert.Equal(t, text, "a")
	assert.Equal(t, pause.Load(), int64(ticks))
}

// Guards against a resumed answer that repeats or skips tokens.
func TestResumeAtOffset(t *testing.T) {
	f := newFakeTarget(t, func(_ *http.Request, conn, _ int) answer {
		if conn == 0 {
			return answer{text: eventStream + token("r", 0, "a"), close: true}
		}
		return answer{text: eventStream + token("r", 1, "b") + end("r", 2, "b") + "0\r\n\r\n"}
	})
	c := testClient()
	s, err := c.Generate(f.address, &GenerateRequest{RequestID: "r", MaxTokens: 2}, soon())
	assert.NilError(t, err)
	first, err := read(s)
	assert.Assert(t, errors.Is(err, ErrTruncated))
	s, err = c.Generate(f.address, &GenerateRequest{RequestID: "r", MaxTokens: 2, ResumeFrom: 1}, soon())
	assert.NilError(t, err)
	rest, err := read(s)
	assert.NilError(t, err)
	assert.Equal(t, first+rest, "ab")
}

// Guards against a prefill answer, which has no tokens, that is taken for a cut.
func TestPrefillAnswer(t *testing.T) {
	f := newFakeTarget(t, func(*http.Request, int, int) answer {
		return answer{text: eventStream + chunk("data: {\"request_id\":\"r\",\"done\":true,\"prompt_tokens\":9}\n\n") + "0\r\n\r\n"}
	})
	s, err := testClient().Generate(f.address, &GenerateRequest{RequestID: "r", MaxTokens: 2, PrefillOnly: true}, soon())
	assert.NilError(t, err)
	e, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, e.PromptTokens, 9)
	s.Finish()
}

// Guards against work that goes on at the engine after the stream was given up.
func TestCloseCancels(t *testing.T) {
	f := newFakeTarget(t, func(*http.Request, int, int) answer {
		return answer{text: eventStream + token("r", 0, "a"), silent: true}
	})
	s, err := testClient().Generate(f.address, &GenerateRequest{RequestID: "r", MaxTokens: 2}, soon())
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	s.Close()
	<-f.cut
}

func reply(id, body string) answer {
	return answer{text: fmt.Sprintf("HTTP/1.1 201 Created\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)}
}

func post(c *Client, f *fakeTarget, id string) (*Reply, error) {
	return c.Call(f.address, &Call{RequestID: "r", Method: "POST", Path: "/orders/" + id, Body: []byte("x")}, soon())
}

// Guards against a reply of a plain service that is cut or belongs to another
// request and passes as whole.
func TestReplyIsWholeOrFails(t *testing.T) {
	for name, c := range map[string]struct {
		answer answer
		want   error
	}{
		"whole":            {reply("r", "done"), nil},
		"other request":    {reply("q", "done"), ErrMismatch},
		"cut":              {answer{text: "HTTP/1.1 201 Created\r\nX-Request-Id: r\r\nContent-Length: 9\r\n\r\ndone", close: true}, ErrTruncated},
		"without length":   {answer{text: "HTTP/1.1 201 Created\r\nX-Request-Id: r\r\nConnection: close\r\n\r\ndone", close: true}, ErrTruncated},
		"closed, no reply": {answer{close: true}, ErrTruncated},
		"not HTTP":         {answer{text: "done\r\n\r\n", close: true}, ErrFailed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTarget(t, func(*http.Request, int, int) answer { return c.answer })
			r, err := post(testClient(), f, "1")
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, string(r.Body), "done")
				return
			}
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}

// Guards against a request that must run once and goes out on a connection
// that died while it was idle, so that its result is lost.
func TestIdleConnectionIsProbed(t *testing.T) {
	var writes atomic.Int64
	f := newFakeTarget(t, func(r *http.Request, conn, request int) answer {
		if conn == 0 && request > 0 {
			return answer{silent: true}
		}
		if r.Method == http.MethodPost {
			writes.Add(1)
		}
		return reply("r", "done")
	})
	c := testClient()
	_, err := post(c, f, "1")
	assert.NilError(t, err)
	c.probeAfter = 0
	_, err = post(c, f, "2")
	assert.NilError(t, err)
	assert.Equal(t, writes.Load(), int64(2))
	assert.Equal(t, f.conns.Load(), int64(2))
}

// Guards against a late answer on an idle connection that is taken for the
// answer to the next request, and against reuse of a closed connection.
func TestDirtyConnectionIsNotReused(t *testing.T) {
	for name, first := range map[string]answer{
		"late answer": {text: reply("r", "first").text + reply("r", "late").text},
		"closed":      {text: reply("r", "first").text, close: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTarget(t, func(_ *http.Request, conn, _ int) answer {
				if conn == 0 {
					return first
				}
				return reply("r", "second")
			})
			c := testClient()
			_, err := post(c, f, "1")
			assert.NilError(t, err)
			idle := c.pool.Status(f.address).Idle[0]
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if idle.Reusable() {
					return poll.Continue("the connection looks unused")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			r, err := post(c, f, "2")
			assert.NilError(t, err)
			assert.Equal(t, string(r.Body), "second")
		})
	}
}

// Guards against a connection that is used beyond its maximum age, against one
// that is opened for every request, and against a leak of closed ones.
func TestConnectionsAreReusedUntilMaxAge(t *testing.T) {
	f := newFakeTarget(t, func(*http.Request, int, int) answer { return reply("r", "done") })
	settings := testClient().settings
	c := NewClient(settings)
	for range 8 {
		_, err := post(c, f, "1")
		assert.NilError(t, err)
	}
	assert.Equal(t, f.conns.Load(), int64(1))
	assert.Equal(t, c.pool.Status(f.address).Open, 1)
	settings.MaxAge = time.Nanosecond
	c = NewClient(settings)
	for range 2 {
		_, err := post(c, f, "1")
		assert.NilError(t, err)
	}
	assert.Equal(t, f.conns.Load(), int64(3))
	assert.Equal(t, c.pool.Status(f.address).Open, 1)
}

// Guards against a refusal as unknown when nothing was sent.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{address: l.Addr().String()}
	_ = l.Close()
	_, err = post(testClient(), f, "1")
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	f = newFakeTarget(t, func(*http.Request, int, int) answer { return answer{silent: true} })
	_, err = testClient().Call(f.address, &Call{Method: "POST", Path: "/"}, time.Now())
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	settings := testClient().settings
	settings.MaxConns = 0
	_, err = post(NewClient(settings), f, "1")
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.Equal(t, f.requests.Load(), int64(0))
}

// Guards against a decoder that panics or accepts negative numbers.
func FuzzDecodeEvent(f *testing.F) {
	for _, s := range []string{
		`{"request_id":"r","index":0,"count":1,"text":"a"}`, `{"done":true,"tokens":2,"checksum":"00"}`,
		`{"index":-1}`, `{"count":1e9}`, `{"tokens":"x"}`, `{`, `[]`, `null`, ``, "\xff",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeEvent(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrFailed))
			return
		}
		assert.Assert(t, e.Index >= 0 && e.Count >= 0 && e.Tokens >= 0)
	})
}
