package wire

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/transport"
)

// Guards against a response of another process whose framing is lost by one wrong byte in its head.
func TestInvalidFieldsAreNoResponse(t *testing.T) {
	for _, c := range []struct {
		field string
		valid bool
	}{{"Transfer Encoding: chunked", false}, {"X-Sum : 1", false}, {"X-Sum: 1\t2 \xff", true}} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			if conn, err := l.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + c.field + "\r\nConnection: close\r\n\r\n"))
				_ = conn.Close()
			}
		}()
		client := http.Client{Transport: CheckedTransport{&http.Transport{DisableKeepAlives: true}}}
		resp, err := client.Get("http://" + l.Addr().String())
		if c.valid {
			assert.NilError(t, err)
			_ = resp.Body.Close()
		} else {
			assert.ErrorIs(t, err, transport.ErrInvalidHead, "%q", c.field)
		}
		_ = l.Close()
	}
}
