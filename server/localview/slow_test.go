package localview

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/types"
)

type viewStub struct {
	peerv1connect.UnimplementedViewServiceHandler
	view *peerv1.View
}

func (s viewStub) WatchView(_ context.Context, _ *connect.Request[peerv1.WatchViewRequest], stream *connect.ServerStream[peerv1.View]) error {
	return stream.Send(s.view)
}

// slowWriter writes in 20 parts, which take 1.5 times streamStallTimeout together.
type slowWriter struct{ http.ResponseWriter }

func (w slowWriter) Write(b []byte) (int, error) {
	const parts = 20
	for i := range parts {
		if len(b) > 1000 { // the configuration, not the envelope of the message
			time.Sleep(3 * streamStallTimeout / 2 / parts)
		}
		if _, err := w.ResponseWriter.Write(b[i*len(b)/parts : (i+1)*len(b)/parts]); err != nil {
			return 0, err
		}
		w.ResponseWriter.(http.Flusher).Flush()
	}
	return len(b), nil
}

func (w slowWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// Guards against an entry daemon that never receives a large configuration from a control daemon on
// another VM, because a message that takes longer than streamStallTimeout counts as a stalled stream.
func TestViewOverASlowLinkIsReceived(t *testing.T) {
	_, h := peerv1connect.NewViewServiceHandler(viewStub{view: viewWithConfig(t, largeConfig(100))})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(slowWriter{w}, r) }))
	defer s.Close()
	store := NewStore("dc-00", nil)
	c := NewClient("a", "127.0.0.1:0", store, []string{strings.TrimPrefix(s.URL, "http://")}, daemon.NewLogger(io.Discard, "error", "test"))
	assert.NilError(t, c.watch(t.Context(), c.clients[0]))
	assert.Equal(t, store.Load().Config.Revision, types.Revision(1))
}
