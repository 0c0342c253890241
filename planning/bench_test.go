package planning

import (
	"fmt"
	"testing"

	"github.com/lentilpick/lentilpick/types"
)

// benchmarkPlan measures one plan for 370 targets in the given number of groups. A
// plan must take at most 5 ms.
func benchmarkPlan(b *testing.B, groups int) {
	const targets = 370
	c := CapacityOf(rates, chunks, 26e6)
	p := NewPlanner(DefaultSettings(LowWeight), c)
	engines := make([]Engine, targets)
	for i := range engines {
		g := Group{"chaguanas", types.ModelID(fmt.Sprintf("m%d", i%groups))}
		engines[i] = Engine{ID: types.TargetID(fmt.Sprintf("e%03d", i)), Group: g, Role: types.Role(i / groups % 3)}
	}
	scale := float64(targets) / float64(12*groups)
	now := start
	for g := range groups {
		id := Group{"chaguanas", types.ModelID(fmt.Sprintf("m%d", g))}
		p.Observe(id, now, 0, 0)
		p.Observe(id, now.Add(1e9), prefillHeavy.Prefill*scale, prefillHeavy.Decode*scale)
	}
	now = now.Add(2e9)
	b.ReportAllocs()
	for b.Loop() {
		for _, st := range p.groups {
			clear(st.pending)
		}
		if len(p.Plan(now, engines)) == 0 {
			b.Fatal("plan has no changes, want at least one")
		}
	}
}

func BenchmarkPlan370OneModel(b *testing.B)  { benchmarkPlan(b, 1) }
func BenchmarkPlan370TenModels(b *testing.B) { benchmarkPlan(b, 10) }
