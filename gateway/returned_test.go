package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

// Guards against a stream with events of two software versions that begins at the first target of a
// service that has returned under its ID with another version, before its registration says so. Calls
// that require the lifetime are refused by such a target, all others are run.
func TestStreamAtFirstTargetOfAnotherVersion(t *testing.T) {
	var written []types.SoftwareVersion
	for hash := range uint64(20) {
		w := newTestGateway()
		w.setVersions(map[types.TargetID]types.SoftwareVersion{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1"})
		written = written[:0]
		w.targets.send = func(ctx context.Context, c *Call) (Response, error) {
			v := c.Target.Version
			if c.Target.ID == "d1" { // has returned as v2
				if c.RequireLifetime {
					return nil, ErrMisdirected
				}
				v = "v2"
			}
			written = append(written, v)
			if len(written) == 1 {
				return breakOff(ctx, c)
			}
			return &fakeResponse{status: 200, pieces: []string{"id: 2\n\n"}}, nil
		}
		_, _ = w.serveRequest(Request{Path: "/resume/x", Hash: hash})
		for _, v := range written {
			assert.Check(t, v == written[0], "hash %d: a stream has events of %v", hash, written)
		}
	}
}
