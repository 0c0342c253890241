package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

// Guards against KV cache of one version that an engine of another decodes or fetches, and against
// prefills at a version that no engine can decode.
func TestKVCacheKeepsVersion(t *testing.T) {
	fetched := 0
	for hash := range uint64(40) {
		w := newVersionedGateway(nil)
		for id, v := range map[types.TargetID]types.SoftwareVersion{"p3": "v2", "p4": "v3"} {
			w.d.Put(directory.Entry{ID: id, Service: "llm", Role: types.RolePrefill, Slots: 8, Version: v})
		}
		load := func(id types.TargetID) *directory.Load { return w.d.Load().Target(id).Load }
		load("p4").RecordPrefill([]directory.Part{{Key: 7, Tokens: 1800}}, 1800)
		load("p2").RecordPrefill([]directory.Part{{Key: 7, Tokens: 1800}}, 1800)
		if hash%2 == 0 {
			load("p2").Peers.Add(directory.Work{PrefillTokens: 50_000})
		}
		if hash%3 == 0 { // with p2, so that p4 would be best
			load("p3").Peers.Add(directory.Work{PrefillTokens: 50_000})
		}
		if hash%4 == 0 {
			load("d2").Peers.Add(directory.Work{Streams: 50})
		}
		w.targets.send = respondAfter(&fakeResponse{status: 200, pieces: []string{"id: 1\n\n"}}, ErrRefused)
		_, _ = w.serveRequest(Request{Path: "/chat/x", Hash: hash})
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
	res, _ := w.serveRequest(Request{Path: "/chat/x"})
	assert.Equal(t, outcomeText(res.Outcome), "answered")
	assert.Equal(t, w.targets.stages(), "pw")
	assert.Equal(t, len(w.targets.released), 1)
}

// Guards against a version whose engines get no prompts while all engines are idle.
func TestPrefillsSpreadOverVersions(t *testing.T) {
	prefills := map[types.SoftwareVersion]int{}
	for hash := range uint64(100) {
		w := newVersionedGateway(nil)
		_, _ = w.serveRequest(Request{Path: "/chat/x", Hash: hash})
		prefills[w.targets.calls[0].Target.Version]++
	}
	assert.Assert(t, prefills["v1"] > 20 && prefills["v2"] > 20, "%v", prefills)
}
