package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

// Guards against KV cache of one version that an engine of another decodes or fetches, and against
// prefills at a version that no engine can decode.
func TestKVCacheKeepsVersion(t *testing.T) {
	fetched := 0
	for hash := range uint64(40) {
		w := newVersionedGateway(nil)
		w.d.Put(directory.Entry{ID: "p3", Service: "llm", Role: types.RolePrefill, Slots: 8, Version: "v2"})
		w.d.Put(directory.Entry{ID: "p4", Service: "llm", Role: types.RolePrefill, Slots: 8, Version: "v3"})
		w.d.Load().Target("p4").Load.RecordPrefill([]directory.Part{{Key: 7, Tokens: 1800}}, 1800)
		w.d.Load().Target("p2").Load.RecordPrefill([]directory.Part{{Key: 7, Tokens: 1800}}, 1800)
		if hash%2 == 0 {
			w.d.Load().Target("p2").Load.Peers.Add(directory.Work{PrefillTokens: 50_000})
		}
		if hash%3 == 0 { // with p2, so that p4 would be best
			w.d.Load().Target("p3").Load.Peers.Add(directory.Work{PrefillTokens: 50_000})
		}
		if hash%4 == 0 {
			w.d.Load().Target("d2").Load.Peers.Add(directory.Work{Streams: 50})
		}
		w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, ErrRefused)
		_, _ = w.serveRequest(Request{ID: "r", Path: "/chat/x", Hash: hash})
		for _, c := range w.targets.calls {
			assert.Assert(t, c.Target.ID != "p4")
			if c.Stage == StageDecode {
				assert.Equal(t, c.Target.Version, c.KVSource.Target.Version)
			}
			if c.FetchFrom != nil {
				fetched++
				assert.Equal(t, c.Target.Version, c.FetchFrom.Version)
			}
		}
	}
	assert.Assert(t, fetched > 0)
}

// Guards against a refusal while engines of another version can generate, once those of the
// version of a prefill are gone.
func TestPrefillWhoseVersionIsGone(t *testing.T) {
	w := newVersionedGateway(nil)
	w.targets.prefill = func(c *Call) (Handle, error) {
		w.d.Load().Target("d" + c.Target.ID[1:]).Load.Leaving.Store(true)
		return Handle{c.Target, "h"}, nil
	}
	w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}})
	res, _ := w.serveRequest(Request{ID: "r", Path: "/chat/x"})
	assert.Equal(t, outcomeText(res.Outcome), "answered")
	assert.Equal(t, w.targets.stages(), "pw")
	assert.Equal(t, len(w.targets.released), 1)
}

// Guards against a version whose engines get no prompts while all engines are idle.
func TestPrefillsSpreadOverVersions(t *testing.T) {
	w := newVersionedGateway(nil)
	w.targets.send = func(context.Context, *Call) (Response, error) {
		return &fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, nil
	}
	prefills := map[types.SoftwareVersion]int{}
	for hash := range uint64(100) {
		r := Request{ID: "r", Host: "h", Path: "/chat/x", Arrived: time.Now(), Hash: hash, Prompt: &placement.Prompt{Tokens: 1000, MaxOutputTokens: 20}}
		w.targets.calls = nil
		_ = w.g.Serve(context.Background(), &r, &fakeCaller{})
		prefills[w.targets.calls[0].Target.Version]++
	}
	assert.Assert(t, prefills["v1"] > 20 && prefills["v2"] > 20, "%v", prefills)
}
