package logclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/standin/silent"
)

// Guards against an append that is reported as not carried out although it may
// have taken effect, and the other way round.
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

// Guards against a follower that hears of no change because its connections to
// the log have gone silent, one after the other, while new ones work.
func TestSilentConnectionsAreDropped(t *testing.T) {
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

// Guards against a change of the configuration that a silent connection keeps from
// a daemon for longer than changes may take (three seconds).
func TestSilenceOfTheLogIsFoundInTime(t *testing.T) {
	const inForce = 3 * time.Second
	assert.Assert(t, followWait+readTimeout+followMinPause < inForce)
}
