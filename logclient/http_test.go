package logclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/standin/silent"
)

// Guards against reporting an append as not executed although it may have taken
// effect, and against reporting it as ambiguous although it did not.
func TestAppendErrors(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusOK, `{"first_offset":7}`, nil},
		{http.StatusOK, `{"first_off`, ErrAmbiguous},
		{http.StatusBadGateway, "", ErrAmbiguous},
		{http.StatusGatewayTimeout, "", ErrAmbiguous},
		{http.StatusServiceUnavailable, "", ErrUnavailable},
		{http.StatusTooManyRequests, "", ErrRateLimited},
		{http.StatusBadRequest, "", ErrUnavailable},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		}))
		c := NewClient(strings.TrimPrefix(s.URL, "http://"), nil)
		_, err := c.Append(t.Context(), "s", [][]byte{{1}})
		s.Close()
		assert.Assert(t, errors.Is(err, tc.want), "status %d: %v", tc.status, err)
	}
}

// Guards against a follower that receives no changes because its open connections
// to the log have become unresponsive, one after the other, while new ones work.
func TestUnresponsiveConnectionsAreClosed(t *testing.T) {
	server, err := silent.Start("127.0.0.1:0", []byte(`{"oldest":0,"next":0}`))
	assert.NilError(t, err)
	defer server.Close()
	c := NewClient(server.Address(), nil)
	read := func() error {
		_, err := c.Read(t.Context(), "s", 0, 1, 0)
		return err
	}
	server.OpenConnections(3, func() { assert.Check(t, read()) })
	server.StallConnections()
	assert.Assert(t, errors.Is(read(), ErrUnavailable))
	assert.NilError(t, read())
}

// Guards against an unresponsive connection that delays a configuration change for
// longer than the 3 s within which changes have to be in force.
func TestUnresponsiveLogIsDetectedInTime(t *testing.T) {
	const changeDeadline = 3 * time.Second
	assert.Assert(t, followReadWait+readTimeout+followMinBackoff < changeDeadline)
}

// Guards against an append that counts as done because of bytes that are no response.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\nContent-Length: 18\r\n\r\n{\"first_offset\":7}")
			_ = conn.Close()
		}
	}()
	c := NewClient(l.Addr().String(), nil)
	offset, err := c.Append(t.Context(), "s", [][]byte{{1}})
	assert.Assert(t, errors.Is(err, ErrAmbiguous), "offset %d, error %v", offset, err)
	_, err = c.Read(t.Context(), "s", 0, 1, 0)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
}
