package logclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// generation marks the connections that were opened before the last silence.
type generation struct{}

// Guards against a follower that hears of no change because its connections to
// the log have gone silent, one after the other, while new ones work.
func TestSilentConnectionsAreDropped(t *testing.T) {
	const connections = 3
	var now, calls atomic.Int64
	var arrived sync.WaitGroup
	arrived.Add(connections)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(generation{}) != now.Load() {
			<-r.Context().Done()
			return
		}
		if calls.Add(1) <= connections {
			arrived.Done()
			arrived.Wait()
		}
		_, _ = w.Write([]byte(`{"oldest":0,"next":0}`))
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, generation{}, now.Load())
	}
	server.Start()
	defer server.Close()
	c := NewClient(server.Listener.Addr().String(), nil)
	read := func() error {
		_, err := c.Read(t.Context(), "s", 0, 1, 0)
		return err
	}
	var all sync.WaitGroup
	for range connections {
		all.Go(func() { assert.Check(t, read()) })
	}
	all.Wait()
	now.Add(1)
	assert.Assert(t, errors.Is(read(), ErrUnavailable))
	assert.NilError(t, read())
}

// Guards against a change of the configuration that a silent connection keeps from
// a daemon for longer than changes may take (three seconds).
func TestSilenceOfTheLogIsFoundInTime(t *testing.T) {
	const inForce = 3 * time.Second
	assert.Assert(t, followWait+readTimeout+followMinPause < inForce)
}
