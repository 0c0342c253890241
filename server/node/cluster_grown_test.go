package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// deploymentLarge has the size, the rates and ConfigMs of mtc-lentil-large, deploymentHubs those of
// the small deployments with the slowest links, with data centres large enough for hubs.
func deploymentLarge() simDeployment {
	return limitedDeployment(5, 39, 4*time.Second, 20, 20, 20, 200, 20)
}

func deploymentHubs() simDeployment {
	return limitedDeployment(clusterDataCentres, hubNodesPerDataCentre, 2*time.Second, 10, 20, 10, 200)
}

// series returns the times of changes from begin to end, one each gap.
func series(begin, end, gap time.Duration) (times []time.Duration) {
	for at := begin; at < end; at += gap {
		times = append(times, at)
	}
	return times
}

// changesOfLargeConfiguration is a plan in which the configuration grows and then changes in two
// series, of one change each 0.25 s and each 0.12 s. Faults take place from 6 s on.
func changesOfLargeConfiguration(d simDeployment, faults ...simFault) simPlan {
	return simPlan{
		Seed: 1, Deployment: &d, GrowAt: time.Second, Faults: faults, Length: 20 * time.Second,
		ConfigChanges: append(series(4*time.Second, 8*time.Second, 250*time.Millisecond), series(9*time.Second, 14*time.Second, 120*time.Millisecond)...),
	}
}

// Guards against nodes that fall behind a configuration of many routes that changes in series: each
// read returns every version since the last one, and was given up when it took longer than 800 ms
// (docs/incidents/grown-configuration-late.md).
func TestSeriesOfChangesToALargeConfigurationIsAppliedInTime(t *testing.T) {
	// Each node of a run keeps several configurations of 190 KB, so that few run at a time.
	const concurrentRuns = 2
	slots := make(chan struct{}, concurrentRuns)
	for name, d := range map[string]simDeployment{"large": deploymentLarge(), "hubs": deploymentHubs()} {
		// 40% of the nodes, also the first-ranked ones of some data centres.
		var some []int
		for i := range d.dataCentres * d.perDataCentre {
			if i%5 == 1 || i%5 == 3 {
				some = append(some, i)
			}
		}
		const faultTime = 6 * time.Second
		for _, f := range []simFault{
			{},
			{"store rejects", faultTime, 5 * time.Second, some},
			{"packet loss", faultTime, 5 * time.Second, some},
			{"kill", faultTime, 500 * time.Millisecond, some},
			{"store slow", faultTime, 4 * time.Second, nil},
		} {
			kind := f.Kind
			if kind == "" {
				kind = "no fault"
			}
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				assert.Equal(t, changesOfLargeConfiguration(d, f).run(t), "")
			})
		}
	}
}

// Guards against a read that is given up although its response arrives: on a link that callers use,
// a single configuration of many routes takes longer than the time in which a store that does not
// respond is detected, and each further attempt fails, too.
func TestLargeConfigurationIsReadOverBusyLinks(t *testing.T) {
	// The link of 3 Mbit/s stands for one of 10 Mbit/s of which callers take 85% instead of half: 190 KB
	// take 1.04 s. The first-ranked nodes of both data centres have other links.
	d := limitedDeployment(clusterDataCentres, hubNodesPerDataCentre, 2*time.Second, 10, 20, 10, 200, 3, 10, 20)
	p := simPlan{Seed: 1, Deployment: &d, GrowAt: time.Second, ConfigChanges: series(5*time.Second, 12*time.Second, 3*time.Second), Length: 15 * time.Second}
	assert.Equal(t, p.run(t), "")
}

// Guards against a node that each change of a large configuration makes read it whole from the
// store: the bytes that the store sends must not grow with the number of nodes.
func TestStoreSendsAChangeOnceToEachDataCentre(t *testing.T) {
	const bytesPerNode = 1000 // of responses without records, and of single reads after lost messages
	for name, d := range map[string]simDeployment{"large": deploymentLarge(), "hubs": deploymentHubs()} {
		t.Run(name, func(t *testing.T) {
			var sent, size int
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCluster(ctx, 1, d)
				c.running.Go(c.writeHeartbeats)
				for i := range c.machines {
					c.start(i)
				}
				time.Sleep(startupTime)
				c.store.grow(c.grownRoutes)
				time.Sleep(10 * time.Second)
				sent = -c.sentBytes(feedConfig)
				c.store.change(feedConfig)
				time.Sleep(c.applyBound(feedConfig))
				sent += c.sentBytes(feedConfig)
				size = len(c.store.topics[feedConfig].newest["config"].Value)
				cancel()
				c.running.Wait()
			})
			limit := d.dataCentres*size + d.dataCentres*d.perDataCentre*bytesPerNode
			assert.Assert(t, sent <= limit, "the store sent %d bytes for a change of a configuration of %d bytes, the bound is %d", sent, size, limit)
		})
	}
}

// Guards against changes of a grown configuration that are applied too late after any sequence of
// faults on slow links.
func TestStatefulChangesToALargeConfiguration(t *testing.T) {
	kinds := append([]string{"store rejects"}, faultKinds...)
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(rt, name)) * time.Millisecond
		}
		d := limitedDeployment(clusterDataCentres, nodesPerDataCentre, 2*time.Second, 10, 20, 10, 200)
		d.grownRoutes = rapid.IntRange(400, 1400).Draw(rt, "routes")
		p := simPlan{Seed: rapid.Uint64().Draw(rt, "seed"), Deployment: &d, GrowAt: ms("grow", 0, 5000), Length: 20 * time.Second}
		for range rapid.IntRange(0, 3).Draw(rt, "faults") {
			p.Faults = append(p.Faults, simFault{
				rapid.SampledFrom(kinds).Draw(rt, "kind"), ms("at", 0, 10_000), ms("for", 50, 5000),
				rapid.SliceOfNDistinct(rapid.IntRange(0, clusterSize-1), 1, clusterSize-2, rapid.ID[int]).Draw(rt, "nodes"),
			})
		}
		for range rapid.IntRange(1, 2).Draw(rt, "series") {
			begin := ms("begin", 1000, 12_000)
			p.ConfigChanges = append(p.ConfigChanges, series(begin, begin+ms("length", 500, 5000), ms("gap", 120, 300))...)
		}
		if late := p.run(t); late != "" {
			rt.Fatalf("%+v: %s", p, late)
		}
	})
}
