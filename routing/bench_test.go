package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// testTarget returns an idle mixed engine with model m in data centre a.
func testTarget(i int) *Target {
	return &Target{
		ID: types.TargetID(fmt.Sprintf("engine-%d", i)), Service: "assistant", Model: "m", Version: "v1",
		DataCentre: "a", Adapters: []types.AdapterID{"x"}, HasReport: true,
		Rates: types.EngineRates{
			PrefillTokensPerSecond: 16_000, IterationBase: 8 * time.Millisecond, DecodeCost: 150 * time.Microsecond,
			KVTransferTokensPerSecond: 200_000, MaxStreams: 128,
		},
		Report:   types.LoadReport{KVFreeTokens: 600_000},
		Counters: &Counters{},
	}
}

func testTargets(n int) []*Target {
	var out []*Target
	for i := range n {
		out = append(out, testTarget(i))
	}
	return out
}

func BenchmarkRoute(b *testing.B) {
	now := time.Now()
	plain := Request{Model: "m", PromptTokens: 2000, MaxTokens: 400, Deadline: now.Add(time.Hour)}
	prefix, key := plain, plain
	prefix.Blocks = []uint64{HashKey("a"), HashKey("b"), HashKey("c")}
	prefix.PromptTokens = 3 * types.BlockTokens
	key.AffinityKey = HashKey("order")
	for _, n := range []int{12, 370, 3700} {
		for name, r := range map[string]*Request{"plain": &plain, "prefix": &prefix, "key": &key, "refused": &prefix} {
			f := NewFleet(1, "a", testTargets(n))
			if name == "refused" {
				f = overloaded(n)
			}
			b.Run(fmt.Sprintf("%s-%d", name, n), func(b *testing.B) {
				ro := NewRouter()
				b.ReportAllocs()
				seed := uint64(0)
				for b.Loop() {
					seed++
					if (ro.Route(f, r, now, NewRand(seed)).Target == nil) != (name == "refused") {
						b.Fatal("unexpected decision")
					}
				}
			})
		}
	}
}
