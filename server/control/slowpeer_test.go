package control

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

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
)

type snapshotPeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	snapshot []byte
}

func (p snapshotPeer) FetchSnapshot(context.Context, *connect.Request[peerv1.FetchSnapshotRequest]) (*connect.Response[peerv1.FetchSnapshotResponse], error) {
	return connect.NewResponse(&peerv1.FetchSnapshotResponse{Configuration: p.snapshot}), nil
}

// slowWriter writes in 20 parts, which take 1.5 times fetchTimeout together.
type slowWriter struct{ http.ResponseWriter }

func (w slowWriter) Write(b []byte) (int, error) {
	const parts = 20
	for i := range parts {
		time.Sleep(3 * fetchTimeout / 2 / parts)
		if _, err := w.ResponseWriter.Write(b[i*len(b)/parts : (i+1)*len(b)/parts]); err != nil {
			return 0, err
		}
		w.ResponseWriter.(http.Flusher).Flush()
	}
	return len(b), nil
}

// Guards against a snapshot that no peer can ever send, because it takes longer than fetchTimeout
// although its data arrives steadily.
func TestSnapshotOverASlowLinkIsLoaded(t *testing.T) {
	c := configuration.New()
	c.Revision = 7
	b, err := encodeSnapshot(&configuration.Snapshot{Next: 8, Config: c})
	assert.NilError(t, err)
	_, h := peerv1connect.NewPeerServiceHandler(snapshotPeer{snapshot: b})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(slowWriter{w}, r) }))
	defer s.Close()
	clients := newPeerClients([]Peer{{VM: "b", DataCentre: "dc", Address: strings.TrimPrefix(s.URL, "http://")}}, "127.0.0.1:0", &daemon.Traffic{})
	config := NewConfigLog(nil, daemon.NewLogger(io.Discard, "error", "test"))
	loaded, err := loadFromPeer(t.Context(), clients[0], config)
	assert.NilError(t, err)
	assert.Assert(t, loaded)
}
