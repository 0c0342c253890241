package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// simFault is a fault of some nodes or of the store.
type simFault struct {
	Kind  string
	At    time.Duration
	For   time.Duration
	Nodes []int
}

// faultKinds are the kinds of simFault. Those that harm a node, or the store,
// excuse what is late there until stableWindow after their end.
var faultKinds = []string{"kill", "freeze", "peers cut", "store cut", "held datagrams", "lossy", "store down", "store slow", "compaction"}

// apply begins a fault.
func (c *cluster) apply(f simFault) {
	now := time.Now()
	end := now.Add(f.For)
	if f.Kind == "compaction" {
		c.store.compact()
		return
	}
	if f.Kind == "kill" {
		for _, i := range f.Nodes {
			c.kill(i, f.For)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f.Kind {
	case "store down":
		c.store.down.extend(end)
		c.store.harmed.extend(end)
		return
	case "store slow":
		c.store.slow.extend(end)
		c.store.harmed.extend(end)
		return
	}
	if f.Kind == "peers cut" {
		for i := range c.machines {
			c.machines[i].side = slices.Contains(f.Nodes, i)
		}
	}
	for _, i := range f.Nodes {
		m := &c.machines[i]
		switch f.Kind {
		case "freeze":
			m.frozen.extend(end)
		case "peers cut":
			m.peersCut.extend(end)
			continue // each node still reaches the store, and has to be in time
		case "store cut":
			m.storeCut.extend(end)
		case "held datagrams":
			m.held.extend(end)
		case "lossy":
			m.lossy.extend(end)
		}
		m.harmed.extend(end)
	}
}

// late returns the first change that a node without a fault does not know in
// time, or an empty string.
func (c *cluster) late() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	excused := func(end time.Time) bool { return now.Before(end.Add(stableWindow)) }
	for i := range c.machines {
		m := &c.machines[i]
		if m.node == nil || excused(m.node.started) || excused(m.harmed.Time) || excused(c.store.harmed.Time) {
			continue
		}
		for _, ch := range c.store.changes {
			if now.Sub(ch.acked) > inForce(ch.feed) && m.node.state[ch.feed][ch.key] < ch.state {
				return fmt.Sprintf("%s has %s of %s in feed %d, %s was accepted %s ago",
					m.name, m.node.state[ch.feed][ch.key], ch.key, ch.feed, ch.state, now.Sub(ch.acked))
			}
		}
	}
	return ""
}

// simPlan is what happens in one run.
type simPlan struct {
	Seed    uint64
	Faults  []simFault
	Changes []time.Duration
	Length  time.Duration
}

// settleTime is how long a cluster runs before the plan begins: its start counts
// as a fault.
const settleTime = stableWindow + time.Second

// run plays a plan and returns what was late, or an empty string.
func (p simPlan) run(t *testing.T) (late string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, p.Seed)
		c.running.Go(c.beat)
		for i := range c.machines {
			c.start(i)
		}
		time.Sleep(settleTime)
		for _, f := range p.Faults {
			time.AfterFunc(f.At, func() { c.apply(f) })
		}
		for k, at := range p.Changes {
			time.AfterFunc(at, func() { c.store.change(k % clusterFeeds) })
		}
		began := time.Now()
		for late == "" && time.Since(began) < p.Length {
			time.Sleep(50 * time.Millisecond)
			late = c.late()
		}
		if late != "" {
			late = fmt.Sprintf("%s: %s", time.Since(began), late)
		}
		cancel()
		c.running.Wait()
		time.Sleep(time.Minute) // the timers of the plan
	})
	return late
}

// Guards against a change that a node learns too late because it takes another
// one's word for more than that one knows: a change at each of many offsets from
// the beginning of each kind of fault (docs/incidents/config-late.md).
func TestChangesAtManyOffsetsFromFaults(t *testing.T) {
	const (
		faultTime = 3 * time.Second
		firstBack = time.Second // the earliest change comes so long before the fault
		step      = 170 * time.Millisecond
		steps     = 36
	)
	// The first nodes in line of one data centre, of both, and most of both.
	groups := [][]int{{0, 1}, {0, 4}, {0, 1, 4, 5, 6}}
	for _, kind := range faultKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for g, nodes := range groups {
				for _, length := range []time.Duration{900 * time.Millisecond, 2300 * time.Millisecond} {
					p := simPlan{Seed: uint64(g), Length: 12 * time.Second}
					p.Faults = []simFault{{kind, faultTime, length, nodes}}
					for k := range steps {
						at := faultTime - firstBack + time.Duration(k)*step
						// A change each way in both feeds; more of them would hide each other.
						p.Changes = []time.Duration{at, at + step/2}
						if late := p.run(t); late != "" {
							t.Fatalf("%+v: %s", p, late)
						}
					}
				}
			}
		})
	}
}

// Guards against claims that frozen readers made before they froze, send when
// they wake, and that count as fresh when the other nodes were about to read: the
// readers are killed before they read again.
func TestClaimsOfFrozenReadersAreNotFresh(t *testing.T) {
	// The time from the changes to the claims, a little less than a turn.
	const before = 1100 * time.Millisecond
	readers := []int{0, clusterCentre}
	for k := range 320 {
		begin := 2*time.Second + time.Duration(k%8)*63*time.Millisecond  // over one beat
		frozen := 2*time.Second + time.Duration(k/8)*35*time.Millisecond // over more than one turn
		end := begin + frozen
		p := simPlan{
			Seed: uint64(k), Length: 9 * time.Second, Changes: []time.Duration{end - before, end - before},
			Faults: []simFault{{"freeze", begin, frozen, readers}, {"kill", end + 2*datagramTime, 5 * time.Second, readers}},
		}
		if late := p.run(t); late != "" {
			t.Fatalf("%+v: %s", p, late)
		}
	}
}

// Guards against changes that come too late after any series of faults.
func TestStatefulChangesAmongFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(rt, name)) * time.Millisecond
		}
		p := simPlan{Seed: rapid.Uint64().Draw(rt, "seed"), Length: 20 * time.Second}
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			p.Faults = append(p.Faults, simFault{
				rapid.SampledFrom(faultKinds).Draw(rt, "kind"), ms("at", 0, 10_000), ms("for", 50, 5000),
				rapid.SliceOfNDistinct(rapid.IntRange(0, clusterSize-1), 1, clusterSize-2, rapid.ID[int]).Draw(rt, "nodes"),
			})
		}
		for range rapid.IntRange(1, 6).Draw(rt, "changes") {
			p.Changes = append(p.Changes, ms("change", 0, 15_000))
		}
		if late := p.run(t); late != "" {
			rt.Fatalf("%+v: %s", p, late)
		}
	})
}
