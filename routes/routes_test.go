package routes

import (
	"testing"

	"gotest.tools/v3/assert"
)

func newTable(routes ...Route) *Table { return NewTable(1, Limits{}, routes, nil) }

// Guards against matching a shorter prefix, another host, or a prefix that ends inside a
// path segment.
func TestLookup(t *testing.T) {
	tbl := newTable(
		Route{Name: "root", Host: "A.example", Prefix: "/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"a.example", "/x/y/", "long"}, {"a.example", "/x/y", "short"},
		{"a.example", "/xy/", "root"}, {"a.example", "/", "root"}, {"A.EXAMPLE", "/x/1", "short"},
		{"b.example", "/x/1", "other"}, {"b.example", "/y", ""}, {"c.example", "/x/", ""}, {"a.example", "x", ""},
	} {
		got := ""
		if r := tbl.Lookup(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

// Guards against a traffic split that ignores the weights, and against a panic without
// services or with weights of 0.
func TestPickService(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for h := range uint64(1000) {
		counts[string(r.PickService(h))]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, string((&Route{}).PickService(7)), "")
	assert.Equal(t, string((&Route{Services: []WeightedService{{"a", 0}}}).PickService(7)), "a")
}

// Guards against a table that keeps a removed route, misses a new one, or changes the table before
// it, and against a change of one host that rebuilds all others.
func TestNextTableSharesUnchangedHosts(t *testing.T) {
	a, b, c := &Route{Name: "a", Host: "X", Prefix: "/a/"}, &Route{Name: "b", Host: "x", Prefix: "/b/"}, &Route{Name: "c", Host: "y", Prefix: "/c/"}
	shadowed := &Route{Name: "shadowed", Host: "x", Prefix: "/a/"}
	first := NextTable(nil, 1, Limits{}, []*Route{a, shadowed, b, c}, nil)
	second := NextTable(first, 2, Limits{}, []*Route{shadowed, b, c}, nil)
	third := NextTable(second, 3, Limits{}, []*Route{shadowed, b}, nil)
	names := func(t *Table) (s string) {
		for _, p := range [][2]string{{"x", "/a/"}, {"x", "/b/"}, {"y", "/c/"}} {
			if r := t.Lookup(p[0], p[1]); r != nil {
				s += r.Name + " "
			}
		}
		return s
	}
	assert.Equal(t, names(first), "a b c ")
	assert.Equal(t, names(second), "shadowed b c ")
	assert.Equal(t, names(third), "shadowed b ")
	// A map is the same if a write to one is seen in the other.
	first.byHost["y"]["/new/"] = c
	assert.Equal(t, second.byHost["y"]["/new/"], c)
	assert.Equal(t, third.byHost["y"]["/new/"], (*Route)(nil))
}
