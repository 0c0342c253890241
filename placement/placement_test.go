package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

var now = time.Unix(1000, 0)

// fleet returns engines of which the first n have the prefill role.
func fleet(n int, dcs ...types.DataCentreID) []*directory.Target {
	d := directory.New()
	for i, dc := range dcs {
		e := directory.Entry{ID: types.TargetID(rune('a' + i)), Service: "s", DataCentre: dc, Role: types.RoleDecode, Slots: 4}
		if i < n {
			e.Role = types.RolePrefill
		}
		d.Put(e)
	}
	out := make([]*directory.Target, len(dcs))
	for i := range dcs {
		out[i] = d.Load().Target(types.TargetID(rune('a' + i)))
	}
	return out
}

var (
	speed = EngineSpeed{PrefillTokensPerMs: 50, PrefillSetup: 8 * time.Millisecond, IterationTime: 6 * time.Millisecond, IterationTimePerStream: 40 * time.Microsecond}
	costs = Costs{Local: "dc1", RemoteCostPerByte: 4 * time.Microsecond, CacheTokens: 400_000, Failure: 400 * time.Millisecond}
	link  = Link{TokenBytes: 163_840, Mbps: 1.6e6, TransferCostPerToken: 2 * time.Microsecond}
)

func long() *Request {
	return &Request{Now: now, Bytes: 17_000, Hash: 7, Prompt: Prompt{
		Tokens: 17_000, MaxOutputTokens: 20, Parts: []directory.Part{{Key: 1, Tokens: 13_300}},
	}}
}

func prefill(all []*directory.Target, r *Request) Choice {
	s := PrefillScorer{Costs: costs, Speed: speed, Link: link, FetchCostPerToken: 10 * time.Microsecond, Source: FindCacheSource(all, r, costs)}
	return Pick(all, r, HasRole(types.RolePrefill), s)
}

// Guards against a prompt that is read again although an engine has read its
// shared part, and against one that waits behind a long queue there.
func TestPrefillGoesToTheCache(t *testing.T) {
	all := fleet(3, "dc1", "dc1", "dc1")
	all[1].Load.RecordPrefill(long().Prompt.Parts, 13_300)
	c := prefill(all, long())
	assert.Equal(t, c.Target, all[1])
	assert.Equal(t, c.UncachedTokens, 3_700)
	assert.Assert(t, c.FetchFrom == nil)
	all[1].Load.Local.Add(directory.Work{PrefillTokens: 20_000, PrefillPrompts: 4})
	c = prefill(all, long())
	assert.Assert(t, c.Target != all[1])
	assert.Equal(t, c.FetchFrom, all[1])
	assert.Equal(t, c.UncachedTokens, 3_700)
}

// Guards against a fetch from an engine that is leaving or has evicted the part.
func TestNoFetchFromWhereThePartIsGone(t *testing.T) {
	all := fleet(2, "dc1", "dc1")
	all[0].Load.RecordPrefill(long().Prompt.Parts, 13_300)
	all[0].Load.Leaving.Store(true)
	c := prefill(all, long())
	assert.Equal(t, c.Target, all[1])
	assert.Assert(t, c.FetchFrom == nil)
	assert.Equal(t, c.UncachedTokens, 17_000)
}

// Guards against the work of other daemons that does not count, so that all
// daemons choose the same engine at the same time.
func TestPeersCount(t *testing.T) {
	all := fleet(2, "dc1", "dc1")
	first := prefill(all, long()).Target
	first.Load.Peers.Add(directory.Work{PrefillTokens: 17_000, PrefillPrompts: 1})
	assert.Assert(t, prefill(all, long()).Target != first)
}

// Guards against a prompt that crosses to another data centre without need, and
// against one that waits at home while another data centre is idle.
func TestDataCentres(t *testing.T) {
	all := fleet(2, "dc2", "dc1")
	assert.Equal(t, prefill(all, long()).Target, all[1])
	all[1].Load.Local.Add(directory.Work{PrefillTokens: 50_000})
	assert.Equal(t, prefill(all, long()).Target, all[0])
}

func decode(all []*directory.Target, r *Request, source types.DataCentreID) Choice {
	return Pick(all, r, HasRole(types.RoleDecode), DecodeScorer{
		Costs: costs, Speed: speed, Link: link, SourceDataCentre: source, Engine: routes.Engine{Slots: 4, KVTokens: 100_000},
	})
}

// Guards against a stream on an engine without room for its KV cache, which
// would preempt others, and against no engine at all when all are full.
func TestDecodeNeedsRoom(t *testing.T) {
	all := fleet(0, "dc1", "dc2")
	assert.Equal(t, decode(all, long(), "dc1").Target, all[0])
	all[0].Load.Local.Add(directory.Work{StreamTokens: 80_000, Streams: 1, Requests: 1})
	assert.Equal(t, decode(all, long(), "dc1").Target, all[1])
	all[1].Load.Local.Add(directory.Work{Requests: 4})
	assert.Assert(t, decode(all, long(), "dc1").Target != nil)
}

// Guards against new work for targets that are leaving, excluded, or in a pause
// after failures.
func TestFilters(t *testing.T) {
	all := fleet(4, "dc1", "dc1", "dc1", "dc1")
	all[0].Load.Leaving.Store(true)
	all[1].Load.RetryAfter.Store(now.Add(time.Second).UnixNano())
	r := long()
	r.Excluded = []types.TargetID{all[2].ID}
	assert.Equal(t, prefill(all, r).Target, all[3])
	r.Excluded = append(r.Excluded, all[3].ID)
	assert.Assert(t, prefill(all, r).Target == nil)
}

// Guards against a grey target that keeps its share of the requests, and
// against a queue at one instance beside idle ones.
func TestPlain(t *testing.T) {
	all := fleet(0, "dc1", "dc1", "dc1")
	pick := func() *directory.Target {
		return Pick(all, &Request{Now: now, Hash: 3}, Available{}, PlainScorer{Costs: costs, ServiceTime: 15 * time.Millisecond}).Target
	}
	first := pick()
	first.Load.RecordFailure(now)
	second := pick()
	assert.Assert(t, second != first)
	second.Load.Local.Add(directory.Work{Requests: 6})
	third := pick()
	assert.Assert(t, third != first && third != second)
}

// Guards against a new connection for nearly every request where many daemons
// stand before many engines, and against an engine with a connection that is used
// while it has more work than the connection is worth.
func TestOpenConnectionsArePreferred(t *testing.T) {
	all := fleet(0, "dc1", "dc1", "dc1", "dc1")
	pick := func(h uint64) *directory.Target {
		c := costs
		c.Connection = 20 * time.Millisecond
		r := long()
		r.Hash = h
		return Pick(all, r, HasRole(types.RoleDecode), DecodeScorer{
			Costs: c, Speed: speed, Link: link, SourceDataCentre: "dc1", Engine: routes.Engine{Slots: 64, KVTokens: 1_000_000},
		}).Target
	}
	all[2].Load.SetConnectedUntil(now.Add(time.Second))
	for h := range uint64(50) {
		assert.Equal(t, pick(h), all[2])
	}
	all[2].Load.Local.Add(directory.Work{Streams: 10, Requests: 10})
	assert.Assert(t, pick(1) != all[2])
	all[2].Load.Local.Add(directory.Work{Streams: -10, Requests: -10})
	all[2].Load.SetConnectedUntil(now)
	seen := map[types.TargetID]bool{}
	for h := range uint64(50) {
		seen[pick(h).ID] = true
	}
	assert.Equal(t, len(seen), 4, "a connection that is no longer open")
}

// Guards against equal targets that all daemons rank alike, so that one gets all
// requests.
func TestTiesAreSpread(t *testing.T) {
	all := fleet(0, "dc1", "dc1", "dc1", "dc1")
	seen := map[types.TargetID]int{}
	for h := range uint64(400) {
		r := &Request{Now: now, Hash: h}
		seen[Pick(all, r, Available{}, PlainScorer{Costs: costs}).Target.ID]++
	}
	for _, e := range all {
		assert.Assert(t, seen[e.ID] > 50, "%v", seen)
	}
}

// Guards against attention that is left out or counted for cached tokens.
func TestWork(t *testing.T) {
	s := EngineSpeed{PairsPerToken: 1000}
	assert.Equal(t, s.PrefillWork(1000, 0), int64(0))
	assert.Equal(t, s.PrefillWork(1000, 1000), int64(1000+500))
	assert.Equal(t, s.PrefillWork(1000, 100), int64(100+95))
	assert.Equal(t, EngineSpeed{}.PrefillWork(1000, 100), int64(100))
}

func BenchmarkPickPrefill(b *testing.B) {
	dcs := make([]types.DataCentreID, 60)
	for i := range dcs {
		dcs[i] = types.DataCentreID(rune('1' + i%3))
	}
	all := fleet(40, dcs...)
	r := long()
	s := PrefillScorer{Costs: costs, Speed: speed, Link: link, Source: FindCacheSource(all, r, costs)}
	b.ReportAllocs()
	for b.Loop() {
		Pick(all, r, HasRole(types.RolePrefill), s)
	}
}
