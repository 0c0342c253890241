package logclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a read that can never succeed: the response takes longer than readTimeout although
// its data arrives steadily, and each further read asks for the same records again.
func TestReadOnASlowLinkSucceeds(t *testing.T) {
	body, err := json.Marshal(ReadResponse{Next: 1, Records: []WireRecord{{Data: make([]byte, 90_000)}}})
	assert.NilError(t, err)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		const parts = 20
		for i := range parts {
			time.Sleep(2 * readTimeout / parts)
			_, _ = w.Write(body[i*len(body)/parts : (i+1)*len(body)/parts])
			w.(http.Flusher).Flush()
		}
	}))
	defer s.Close()
	c := NewClient(strings.TrimPrefix(s.URL, "http://"), nil)
	b, err := c.Read(context.Background(), StreamConfig, 0, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records[0].Data), 90_000)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = c.Read(ctx, StreamConfig, 0, 1, 0)
	assert.ErrorIs(t, err, ErrUnavailable, "the context's deadline is not extended")
}
