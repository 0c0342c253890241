package logclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
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
