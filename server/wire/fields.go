package wire

import (
	"fmt"
	"net/http"

	"github.com/lentilpick/lentilpick/transport"
)

// CheckedTransport rejects responses with a field that HTTP does not have. The standard library
// accepts a blank in a name, also in that of the field that states the framing.
type CheckedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper. The error wraps transport.ErrInvalidHead.
func (t CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	for name := range resp.Header {
		if !transport.IsFieldName([]byte(name)) {
			_ = resp.Body.Close()
			return nil, fmt.Errorf("name of a field %.40q: %w", name, transport.ErrInvalidHead)
		}
	}
	return resp, nil
}
