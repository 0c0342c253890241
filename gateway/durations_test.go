package gateway

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/routes"
)

// Guards against durations of removed routes that fill the memory, and against a change that
// forgets those of a route that stays.
func TestDurationsOfRemovedRoutesAreBounded(t *testing.T) {
	g := New(Settings{}, nil, nil, nil, nil)
	kept := g.durations.Route("kept")
	for v := range 1000 {
		name := strconv.Itoa(v)
		g.SetTable(routes.NewTable(uint64(v+1), routes.Limits{}, []routes.Route{{Name: "kept", Prefix: "/"}, {Name: name, Prefix: "/" + name + "/"}}, nil))
		g.durations.Route(name)
		assert.Assert(t, g.durations.Len() <= 5, "%d routes have durations", g.durations.Len())
	}
	assert.Equal(t, g.durations.Route("kept"), kept)
}

// BenchmarkSetTable measures a change of the configuration while all routes have durations.
func BenchmarkSetTable(b *testing.B) {
	for _, n := range []int{30, 1100, 11000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			all := make([]*routes.Route, n)
			g := New(Settings{}, nil, nil, nil, nil)
			for i := range all {
				name := strconv.Itoa(i)
				all[i] = &routes.Route{Name: name, Host: strconv.Itoa(i / 20), Prefix: "/" + name + "/"}
				g.durations.Route(name)
			}
			t := routes.NextTable(nil, 0, routes.Limits{}, all, nil)
			b.ReportAllocs()
			for v := uint64(1); b.Loop(); v++ {
				next := *t
				next.Version = v
				g.SetTable(&next)
			}
		})
	}
}
