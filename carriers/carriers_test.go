package carriers

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// init fixes the seed, so that the sequences of a run are the same each time.
func init() {
	testing.Init()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const start = clock.Instant(time.Hour)

// node is a carrier of these tests.
type node struct {
	Carrier
	requests atomic.Int64
}

func newNode(i int, dataCentre types.DataCentreID, cores float64) *node {
	n := &node{Carrier: Carrier{Name: types.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: dataCentre, Cores: cores}}
	n.Requests = n.requests.Load
	return n
}

func newChooser(s Settings, nodes ...*node) *Chooser {
	c := New(s)
	update(c, nodes)
	return c
}

func update(c *Chooser, nodes []*node) {
	var all []Carrier
	for _, n := range nodes {
		all = append(all, n.Carrier)
	}
	c.Update(all)
}

func pick(c *Chooser, now clock.Instant) types.VMID {
	p, _ := c.Pick(1, nil, now)
	return p.Name
}

// Guards against a choice that no rule allows, and against none although a candidate may be used.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxInFlight = 3
		var nodes, listed []*node
		for i := range rapid.IntRange(0, maxProbes).Draw(t, "nodes") {
			nodes = append(nodes, newNode(i, rapid.SampledFrom([]types.DataCentreID{"a", "b"}).Draw(t, "dc"), 1))
		}
		subset := func(t *rapid.T) (out []*node) {
			for _, n := range nodes {
				if rapid.Bool().Draw(t, "in") {
					out = append(out, n)
				}
			}
			return out
		}
		c := newChooser(Settings{DataCentre: "a", MaxInFlight: maxInFlight})
		now, attempts := start, map[types.VMID][]Attempt{}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				listed = subset(t)
				update(c, listed)
			},
			"pick": func(t *rapid.T) {
				var tried, usable []types.VMID
				for _, n := range subset(t) {
					tried = append(tried, n.Name)
				}
				for _, n := range listed {
					if !slices.Contains(tried, n.Name) && len(attempts[n.Name]) < maxInFlight && !c.view.Load().byName[n.Name].avoided(now) {
						usable = append(usable, n.Name)
					}
				}
				p, ok := c.Pick(rapid.Uint64().Draw(t, "hash"), tried, now)
				if ok != (len(usable) > 0) || ok && !slices.Contains(usable, p.Name) {
					t.Fatalf("picked %q, %v of %v", p.Name, ok, usable)
				}
				if ok {
					a, began := c.Begin(p.Name, now)
					assert.Assert(t, began)
					attempts[p.Name] = append(attempts[p.Name], a)
				}
			},
			"end": func(t *rapid.T) {
				for _, n := range subset(t) {
					if all := attempts[n.Name]; len(all) > 0 {
						all[0].End(Result(rapid.IntRange(0, int(Abandoned)).Draw(t, "result")), now)
						attempts[n.Name] = all[1:]
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against a carrier that each request tries while it fails, that is avoided for longer if more
// requests fail together, or forever, and that a request which proves nothing clears.
func TestAvoidanceGrowsAndEnds(t *testing.T) {
	c := newChooser(Settings{}, newNode(0, "", 1))
	now := start
	begin := func() Attempt {
		a, ok := c.Begin("vm-0", now)
		assert.Assert(t, ok)
		return a
	}
	earlier, first, second := begin(), begin(), begin()
	first.End(Unreachable, now)
	second.End(Unreachable, now)
	for _, ms := range []time.Duration{200, 400, 800, 1600, 2000, 2000} {
		now = now.Add(ms*time.Millisecond - 1)
		assert.Equal(t, pick(c, now), types.VMID(""), "not avoided for %d ms", ms)
		_, ok := c.Begin("vm-0", now)
		assert.Assert(t, !ok)
		now++
		probe := begin()
		assert.Equal(t, pick(c, now), types.VMID(""), "a second request while one tries it")
		probe.End(Refused, now)
	}
	earlier.End(Carried, now)
	assert.Equal(t, pick(c, now), types.VMID(""))
	now = now.Add(maxAvoidance)
	begin().End(Abandoned, now)
	assert.Equal(t, pick(c, now), types.VMID(""))
	now = now.Add(maxAvoidance)
	begin().Accepted()
	begin().End(Refused, now)
	assert.Equal(t, pick(c, now.Add(minAvoidance)), types.VMID("vm-0"), "earlier failures count after a success")
}

// Guards against requests of one node that fill a carrier, also when they begin at the same time or
// the carrier leaves the list meanwhile.
func TestRequestsInFlightAreBounded(t *testing.T) {
	nodes := []*node{newNode(0, "", 1), newNode(1, "", 3)}
	c := newChooser(Settings{MaxInFlight: 10}, nodes...)
	var began [2]atomic.Int64
	var wg sync.WaitGroup
	for i := range 80 {
		wg.Go(func() {
			if _, ok := c.Begin(nodes[i%2].Name, start); ok {
				began[i%2].Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, began[0].Load(), int64(5))
	assert.Equal(t, began[1].Load(), int64(15))
	c.Update(nil)
	c.Update(nil)
	_, ok := c.Begin("vm-0", start)
	assert.Assert(t, !ok)
	update(c, nodes)
	assert.Equal(t, pick(c, start), types.VMID(""), "requests are forgotten with the list")
}

// Guards against small VMs that get as much as large ones, another data centre that is used at equal
// load, and requests of this node that count only when the carrier has reported them.
func TestCostOfCarriers(t *testing.T) {
	small, large, unknown := newNode(0, "a", 0.5), newNode(1, "a", 2), newNode(2, "a", 0)
	remote := newNode(3, "b", 2)
	check := func(x, y *node, xRequests, yRequests int64, want *node) {
		t.Helper()
		x.requests.Store(xRequests)
		y.requests.Store(yRequests)
		assert.Equal(t, pick(newChooser(Settings{DataCentre: "a", RemoteCost: 5}, x, y), start), want.Name)
	}
	check(small, large, 2, 6, large)
	check(small, large, 1, 8, small)
	check(unknown, large, 0, 1, unknown)
	check(unknown, large, 2, 1, large)
	check(large, remote, 5, 0, large)
	check(large, remote, 6, 0, remote)
	large.requests.Store(0)
	c := newChooser(Settings{DataCentre: "a", RemoteCost: 5}, large, remote)
	for range 6 {
		assert.Equal(t, pick(c, start), large.Name)
		_, ok := c.Begin(large.Name, start)
		assert.Assert(t, ok)
	}
	assert.Equal(t, pick(c, start), remote.Name)
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{12, 370} {
		b.Run(fmt.Sprintf("%d nodes", size), func(b *testing.B) {
			c, hash := newChooser(Settings{DataCentre: "dc-0"}), uint64(0)
			var nodes []*node
			for i := range size {
				nodes = append(nodes, newNode(i, types.DataCentreID(fmt.Sprintf("dc-%d", i%max(size/12, 3))), 1))
			}
			update(c, nodes)
			b.ReportAllocs()
			for b.Loop() {
				hash += 0x9e3779b97f4a7c15
				p, _ := c.Pick(hash, nil, start)
				if a, ok := c.Begin(p.Name, start); ok {
					a.End(Carried, start)
				}
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	var nodes []*node
	for i := range 370 {
		nodes = append(nodes, newNode(i, types.DataCentreID(fmt.Sprintf("dc-%d", i%30)), 1))
	}
	b.ReportAllocs()
	for c := New(Settings{DataCentre: "dc-0"}); b.Loop(); {
		update(c, nodes)
	}
}
