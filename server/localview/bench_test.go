package localview

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

// largeConfig returns a configuration of the size that the design has to support: 30 data centres,
// 3,700 workspaces and the given number of targets.
func largeConfig(targets int) *configuration.Config {
	c := configuration.New()
	c.Revision = 1
	c.Services["s"] = configuration.Entry[configuration.Service]{Value: configuration.Service{ID: "s"}, Revision: 1}
	for i := range targets {
		id := types.TargetID(fmt.Sprintf("engine-%05d", i))
		c.Targets[id] = configuration.Entry[configuration.Target]{Revision: 1, Value: configuration.Target{
			ID: id, Service: "s", Address: "10.0.0.1:8000", DataCentre: types.DataCentreID(fmt.Sprintf("dc-%02d", i%30)),
			Model: types.ModelID(fmt.Sprintf("model-%d", i%10)), Version: "1", Adapters: []types.AdapterID{"a", "b"},
			Rates: configuration.Rates{PrefillTokensPerSecond: 16_000, MaxStreams: 128},
		}}
	}
	for i := range 3700 {
		id := types.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
		c.Workspaces[id] = configuration.Entry[configuration.Workspace]{Revision: 1, Value: configuration.Workspace{ID: id, Share: 1, Services: []types.ServiceID{"s"}}}
	}
	return c
}

// BenchmarkConfiguration measures decoding a snapshot and building the first view from it.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{370, 1480, 5500, 11_000} {
		b.Run(fmt.Sprint(n, "targets"), func(b *testing.B) {
			data, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 1, Config: largeConfig(n)})
			if err != nil {
				b.Fatal(err)
			}
			var s *Store
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				s = NewStore("dc-00", nil)
				if err := s.Update(&peerv1.View{Configuration: data}, time.Unix(1, 0)); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(len(data)), "snapshot-B")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkLoads measures applying the load digests of all data centres and publishing a view.
func BenchmarkLoads(b *testing.B) {
	for _, n := range []int{370, 1480, 5500, 11_000} {
		b.Run(fmt.Sprint(n, "targets"), func(b *testing.B) {
			c := largeConfig(n)
			now := time.Unix(1000, 0)
			data, _ := records.EncodeSnapshot(&configuration.Snapshot{Next: 1, Config: c})
			s := NewStore("dc-00", nil)
			_ = s.Update(&peerv1.View{Configuration: data}, now)
			reports := map[types.TargetID]types.LoadReport{}
			for id, t := range c.Targets {
				reports[id] = types.LoadReport{At: now, Model: t.Value.Model, Version: "1", Adapters: t.Value.Adapters, Running: 3}
			}
			v := &peerv1.View{}
			for _, l := range wire.TargetLists(c) {
				v.Loads = append(v.Loads, wire.ToDigest(l, c, reports, now))
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = s.Update(v, now)
			}
		})
	}
}
