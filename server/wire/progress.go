package wire

import (
	"context"
	"io"
	"net/http"
)

type progressKey struct{}

// WithProgress returns a context for calls over a ProgressTransport, which calls f whenever a part of
// the response arrives. A timeout that f restarts detects an unresponsive connection and does not
// bound the size of a response.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ProgressTransport reports the progress of responses; see WithProgress.
type ProgressTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t ProgressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if f, ok := r.Context().Value(progressKey{}).(func()); ok && err == nil {
		resp.Body = progressBody{resp.Body, f}
	}
	return resp, err
}

type progressBody struct {
	io.ReadCloser
	report func()
}

// Read implements io.Reader.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.report()
	}
	return n, err
}
