package configuration

import (
	"fmt"
	"testing"

	"github.com/lentilpick/lentilpick/types"
)

// BenchmarkApply measures the fold of one target change into a configuration
// with the given number of targets that is published after each batch of changes.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{370, 1480, 5500, 11_000} {
		for _, batch := range []int{1, 512} {
			b.Run(fmt.Sprintf("%dtargets/%d", n, batch), func(b *testing.B) { benchmarkApply(b, n, batch) })
		}
	}
}

func benchmarkApply(b *testing.B, n, batch int) {
	f := NewFold()
	f.config = New()
	f.config.Services["s"] = Entry[Service]{Value: Service{ID: "s", Kind: types.KindPlain}, Revision: 1}
	for i := range n {
		id := types.TargetID(fmt.Sprint("t", i))
		f.config.Targets[id] = Entry[Target]{Value: Target{ID: id, Service: "s"}, Revision: 1}
	}
	base := types.Revision(1)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		ch := &Change{ID: fmt.Sprint(i), Kind: ObjectTarget, ObjectID: "t1", Base: base, Target: &Target{
			ID: "t1", Service: "s", Address: "127.0.0.1:1", DataCentre: "x",
		}}
		if err := f.Apply(f.Next(), Record{Change: ch}); err != nil {
			b.Fatal(err)
		}
		base = f.config.Revision
		if i%batch == 0 {
			f.Snapshot()
		}
	}
}
