package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

var finalStatusLine = regexp.MustCompile(`^HTTP/1\.[01] ([2-5][0-9][0-9])[ \r\n]`)

// Guards against a head whose status differs from its status line, and against a head that breaks off
// and counts as one.
func FuzzResponseHead(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.0 503\nA: b\n\n",
		"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 103 X\r\nLink: x\r\n", "HTTP/1.1 200 OK\r\nA",
		"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\nHTTP/1.1 200 X\r\n\r\n", "HTTP/1.1 -20 X\r\n\r\n", "HTTP/9.9 200 X\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h fasthttp.ResponseHeader
		r := bufio.NewReaderSize(bytes.NewReader(b), readBufBytes)
		status, err := readHead(r, &h)
		if err != nil {
			return
		}
		rest, err := io.ReadAll(r)
		if err != nil && !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		head := b[:len(b)-len(rest)]
		found := false
		for i := range head {
			if i > 0 && head[i-1] != '\n' {
				continue
			}
			if m := finalStatusLine.FindSubmatch(head[i:]); m != nil && string(m[1]) == string(fasthttp.AppendUint(nil, status)) {
				found = true
			}
		}
		if !found || h.StatusCode() != status {
			t.Fatalf("status %d, decoded %d, of head %q", status, h.StatusCode(), head)
		}
		if !bytes.HasSuffix(head, []byte("\n\n")) && !bytes.HasSuffix(head, []byte("\r\n")) {
			t.Fatalf("head %q has no end", head)
		}
	})
}

// silentConn is a connection whose reads time out.
type silentConn struct {
	net.Conn
	reads int
}

func (c *silentConn) SetReadDeadline(time.Time) error { return nil }

func (c *silentConn) Read([]byte) (int, error) {
	c.reads++
	return 0, os.ErrDeadlineExceeded
}

// Guards against a silent target for which a request waits through more than one progress timeout.
func TestHeadTimesOutOnce(t *testing.T) {
	raw := &silentConn{}
	c := newConn(raw)
	c.Begin(time.Second, time.Now().Add(time.Minute))
	var resp fasthttp.Response
	if err := c.ReadHead(&resp, false); !errors.Is(err, os.ErrDeadlineExceeded) || raw.reads != 1 {
		t.Fatalf("error %v after %d reads", err, raw.reads)
	}
}

// Guards against the end of a part of a response that counts as its end because the reset of the
// connection arrives a moment after its close was read.
func TestResetShortlyAfterTheClose(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(raw)
	defer c.Close()
	c.Begin(5*time.Second, time.Now().Add(5*time.Second))
	if err := c.WriteAll(make([]byte, minUploadBytes)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(target, make([]byte, minUploadBytes-1)); err != nil {
		t.Fatal(err)
	}
	_ = target.(*net.TCPConn).CloseWrite()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("error %v", err)
	}
	c.sleep = func(time.Duration) { _ = target.Close() } // resets, because a byte was not read
	if c.ClosedInOrder() {
		t.Fatal("the reset was not seen")
	}
}
