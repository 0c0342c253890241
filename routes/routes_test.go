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
