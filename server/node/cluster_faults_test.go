package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/loadshare"
)

// simFault is a fault of some nodes, of the network or of the store.
type simFault struct {
	Kind  string
	At    time.Duration
	For   time.Duration
	Nodes []int
}

// faultKinds are the kinds of simFault. The bounds do not apply to a node that is disrupted, or
// while the store is, until recoveryTime after the end of the fault. A partition between nodes and
// a compaction disrupt nothing. A store that returns does so from a copy of the age For.
var faultKinds = []string{
	"kill", "freeze", "peer partition", "store unreachable", "delayed datagrams", "packet loss", "store down", "store slow", "compaction",
	"store returns",
}

func (c *cluster) apply(f simFault) {
	now := time.Now()
	end := now.Add(f.For)
	if f.Kind == "compaction" {
		c.store.compact()
		return
	}
	if f.Kind == "store returns" {
		c.store.returnFrom(f.For)
		c.mu.Lock()
		c.store.disrupted.extend(now)
		c.mu.Unlock()
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
		c.store.disrupted.extend(end)
		return
	case "store slow":
		c.store.slow.extend(end)
		c.store.disrupted.extend(end)
		return
	}
	if f.Kind == "peer partition" {
		for i := range c.machines {
			c.machines[i].side = slices.Contains(f.Nodes, i)
		}
	}
	for _, i := range f.Nodes {
		m := &c.machines[i]
		switch f.Kind {
		case "freeze":
			m.frozen.extend(end)
		case "peer partition":
			m.partitioned.extend(end)
			continue // each node still reaches the store, so the bounds apply
		case "store unreachable":
			m.storeUnreachable.extend(end)
		case "delayed datagrams":
			m.delayed.extend(end)
		case "packet loss":
			m.packetLoss.extend(end)
		case "store rejects":
			m.rejected.extend(end)
		}
		m.disrupted.extend(end)
	}
}

// lateChange describes a change that a node without a fault has not applied in time. It returns an
// empty string if there is none.
func (c *cluster) lateChange() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	excused := func(end time.Time) bool { return now.Before(end.Add(c.recovery)) }
	for i := range c.machines {
		m := &c.machines[i]
		if m.node == nil || excused(m.node.started) || excused(m.disrupted.Time) || excused(c.store.disrupted.Time) {
			continue
		}
		for _, ch := range c.store.changes {
			if now.Sub(ch.acked) > c.applyBound(ch.feed) && m.node.state[ch.feed][ch.key] < ch.state {
				return fmt.Sprintf("%s has state %q of %s in feed %d, but %q was accepted %s ago; it has given up %d calls, the last one with a response of %d bytes",
					m.name, m.node.state[ch.feed][ch.key], ch.key, ch.feed, ch.state, now.Sub(ch.acked), m.givenUp, m.givenUpBytes)
			}
		}
	}
	return ""
}

// simPlan is the schedule of faults and changes of one run.
type simPlan struct {
	Seed    uint64
	Faults  []simFault
	Changes []time.Duration
	Length  time.Duration
	// PerDataCentre is the number of nodes of each data centre, nodesPerDataCentre if 0.
	PerDataCentre int
	// Deployment, if not nil, replaces the one with the nodes of PerDataCentre, whose links are
	// not limited.
	Deployment *simDeployment
	// GrowAt is when the configuration of a deployment with a document grows. ConfigChanges
	// change the configuration only.
	GrowAt        time.Duration
	ConfigChanges []time.Duration
}

func (p simPlan) deployment() simDeployment {
	if p.Deployment != nil {
		return *p.Deployment
	}
	return unlimitedDeployment(cmp.Or(p.PerDataCentre, nodesPerDataCentre))
}

// startupTime is how long the cluster runs before the plan begins. The start of a node counts as a
// fault.
const startupTime = recoveryTime + time.Second

// run executes a plan and describes the first late change. It returns an empty string if there is
// none.
func (p simPlan) run(t *testing.T) (late string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, p.Seed, p.deployment())
		c.running.Go(c.writeHeartbeats)
		for i := range c.machines {
			c.start(i)
		}
		time.Sleep(startupTime)
		for _, f := range p.Faults {
			time.AfterFunc(f.At, func() { c.apply(f) })
		}
		for k, at := range p.Changes {
			time.AfterFunc(at, func() { c.store.change(k % clusterFeeds) })
		}
		if c.grownRoutes > 0 {
			time.AfterFunc(p.GrowAt, func() { c.store.grow(c.grownRoutes) })
		}
		for _, at := range p.ConfigChanges {
			time.AfterFunc(at, func() { c.store.change(feedConfig) })
		}
		began := time.Now()
		for late == "" && time.Since(began) < p.Length {
			time.Sleep(50 * time.Millisecond)
			late = c.lateChange()
		}
		if late != "" {
			late = fmt.Sprintf("%s: %s", time.Since(began), late)
		}
		cancel()
		c.running.Wait()
		time.Sleep(time.Minute) // until all timers of the plan have fired
	})
	return late
}

// Guards against a change that is applied too late because a node relies on a claim of another node
// that covers more than that node has read: for each kind of fault, changes at many offsets from
// its start (docs/incidents/config-late.md).
func TestChangesAtManyOffsetsFromFaults(t *testing.T) {
	const (
		faultTime = 3 * time.Second
		lead      = time.Second // of the first change before the fault
		step      = 170 * time.Millisecond
		steps     = 36
	)
	// The first-ranked nodes of one data centre, of both, and most nodes of both.
	groups := [][]int{{0, 1}, {0, 4}, {0, 1, 4, 5, 6}}
	for _, kind := range faultKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for g, nodes := range groups {
				for _, length := range []time.Duration{900 * time.Millisecond, 2300 * time.Millisecond} {
					p := simPlan{Seed: uint64(g), Length: 12 * time.Second}
					p.Faults = []simFault{{kind, faultTime, length, nodes}}
					for k := range steps {
						at := faultTime - lead + time.Duration(k)*step
						// One change in each feed: a further change would hide that one is late.
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

// Guards against a change that is applied too late in data centres whose nodes exchange load through
// a hub, when the hubs, the readers or most nodes fail.
func TestChangesAmongFaultsWithHubs(t *testing.T) {
	const (
		faultTime = 3 * time.Second
		step      = 470 * time.Millisecond
		steps     = 9
	)
	probe := newCluster(t.Context(), 0, unlimitedDeployment(hubNodesPerDataCentre))
	var hubs []int
	for dc := range clusterDataCentres {
		var names []string
		for i := range hubNodesPerDataCentre {
			names = append(names, string(probe.machines[dc*hubNodesPerDataCentre+i].name))
		}
		for _, n := range loadshare.HubOrder(names)[:2] {
			hubs = append(hubs, dc*hubNodesPerDataCentre+slices.Index(names, n))
		}
	}
	var most []int
	for i := range clusterDataCentres * hubNodesPerDataCentre {
		if i%3 != 0 {
			most = append(most, i)
		}
	}
	for _, kind := range faultKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for g, nodes := range [][]int{hubs, append([]int{0, hubNodesPerDataCentre}, hubs[0], hubs[2]), most} {
				p := simPlan{Seed: uint64(g), Length: 10 * time.Second, PerDataCentre: hubNodesPerDataCentre}
				p.Faults = []simFault{{kind, faultTime, 2300 * time.Millisecond, nodes}}
				for k := range steps {
					at := faultTime - step + time.Duration(k)*step
					p.Changes = []time.Duration{at, at + step/2}
					if late := p.run(t); late != "" {
						t.Fatalf("%+v: %s", p, late)
					}
				}
			}
		})
	}
}

// Guards against stale claims that count as recent: a reader is frozen between a claim and its
// transmission, sends the claim when it resumes, just before the other nodes would have taken over,
// and is killed before it reads again.
func TestClaimsOfFrozenReadersAreNotFresh(t *testing.T) {
	// The time from the changes to the claims, slightly less than the takeover time.
	const before = 1100 * time.Millisecond
	readers := []int{0, nodesPerDataCentre}
	for k := range 320 {
		begin := 2*time.Second + time.Duration(k%8)*63*time.Millisecond  // covers one heartbeat interval
		frozen := 2*time.Second + time.Duration(k/8)*35*time.Millisecond // covers more than one takeover time
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

// Guards against changes that are applied too late after any sequence of faults.
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
