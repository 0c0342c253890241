package wire

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/types"
)

func testFleet(n int) (*configuration.Config, *membership.TargetList, map[types.TargetID]types.LoadReport, time.Time) {
	now := time.Unix(1000, 0)
	c := configuration.New()
	reports := map[types.TargetID]types.LoadReport{}
	for i := range n {
		id := types.TargetID(fmt.Sprintf("assistant-%03d", i))
		c.Targets[id] = configuration.Entry[configuration.Target]{Value: configuration.Target{
			ID: id, DataCentre: "x", Model: "m", Version: "1", Adapters: []types.AdapterID{"a"},
		}}
		reports[id] = types.LoadReport{
			At: now.Add(-time.Duration(i%40) * 50 * time.Millisecond), Role: types.RoleDecode, Model: "m", Version: "1",
			Adapters: []types.AdapterID{"a"}, QueuedPrefillTokens: 256 * (i % 100), DecodeStreams: i % 120, Running: i % 125,
			KVFreeTokens: 24 * types.BlockTokens,
		}
	}
	return c, TargetLists(c)["x"], reports, now
}

// Guards against a report that is altered by encoding and decoding a digest.
func TestDigestRoundTrip(t *testing.T) {
	c, l, reports, now := testFleet(40)
	leaving := reports["assistant-007"]
	leaving.Model, leaving.Leaving = "other", true
	reports["assistant-007"] = leaving
	got := map[types.TargetID]types.LoadReport{}
	ok := FromDigest(ToDigest(l, c, reports, now), l, c, now, func(id types.TargetID, r types.LoadReport) { got[id] = r })
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, reports)
}

// Guards against a malformed digest, or one for a different target list, that is applied.
func TestMalformedDigestIsDropped(t *testing.T) {
	c, l, reports, now := testFleet(3)
	visit := func(types.TargetID, types.LoadReport) { t.Fatal("a report of a malformed digest was decoded") }
	d := ToDigest(l, c, reports, now)
	d.Age = d.Age[:2]
	assert.Assert(t, !FromDigest(d, l, c, now, visit))
	d = ToDigest(l, c, reports, now)
	d.List++
	assert.Assert(t, !FromDigest(d, l, c, now, visit))
	d = &peerv1.LoadDigest{List: l.Hash, Step: []uint32{99}, Age: []uint32{1}, Prefill: []uint32{1},
		DecodeStreams: []uint32{1}, Running: []uint32{1}, KvFree: []uint32{1}, Flags: []uint32{3}}
	assert.Assert(t, FromDigest(d, l, c, now, visit))
}

// Guards against digests that exceed the bound on a daemon's control traffic: 13,000 bytes per second
// with 370 targets and 12 daemons in a data centre, of which the digests to 11 peers may take half.
func TestDigestFitsControlTraffic(t *testing.T) {
	c, l, reports, now := testFleet(370)
	local := map[types.TargetID]types.LoadReport{}
	for id, r := range reports {
		if len(local) < 370/12+1 {
			local[id] = r
		}
	}
	size := proto.Size(ToDigest(l, c, local, now))
	t.Logf("digest of %d targets: %d bytes", len(local), size)
	assert.Assert(t, 11*size < 13_000/2, "11 digests of %d bytes exceed half of 13,000 bytes", size)
}

func BenchmarkToDigest370(b *testing.B) {
	c, l, reports, now := testFleet(370)
	b.ReportAllocs()
	for b.Loop() {
		ToDigest(l, c, reports, now)
	}
}

func BenchmarkFromDigest370(b *testing.B) {
	c, l, reports, now := testFleet(370)
	d := ToDigest(l, c, reports, now)
	b.ReportAllocs()
	for b.Loop() {
		FromDigest(d, l, c, now, func(types.TargetID, types.LoadReport) {})
	}
}
