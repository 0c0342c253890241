package wire

import (
	"context"
	"io"
	"net/http"
)

type progressKey struct{}

// WithProgress returns a context for calls over a ProgressTransport, which calls f whenever a part of
// a successful response arrives. A timeout that f restarts detects an unresponsive connection and
// does not bound the size of a response.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ProgressTransport reports the progress of responses; see WithProgress.
type ProgressTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t ProgressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if f, ok := r.Context().Value(progressKey{}).(func()); ok && err == nil && resp.StatusCode == http.StatusOK {
		resp.Body = progressBody{resp.Body, f}
	}
	return resp, err
}

// progressBytes bounds the data of one Read. A chunked body is read until the buffer is full, and a
// buffer of megabytes takes longer to fill than the timeouts that follow the progress.
const progressBytes = 16 << 10

type progressBody struct {
	io.ReadCloser
	report func()
}

// Read implements io.Reader.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), progressBytes)])
	if n > 0 {
		b.report()
	}
	return n, err
}
