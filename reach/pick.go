package reach

import (
	"math"

	"github.com/lentilpick/lentilpick/types"
)

// Candidate is a target that can be probed.
type Candidate struct {
	Target     uint64
	Service    types.ServiceID
	DataCentre types.DataCentreID
	// Failing marks a target that has failed lately. It is chosen only if there are too few others,
	// so that a round tests the link and not targets that have crashed together.
	Failing bool
}

// Pick returns the indices of up to n candidates for one round: as few failing ones as possible, and
// of these as different services and data centres as possible. Rounds with another seed choose other
// targets among equal ones.
func Pick(candidates []Candidate, n int, seed uint64) []int {
	var picked []int
	used := make([]bool, len(candidates))
	services, dataCentres := map[types.ServiceID]int{}, map[types.DataCentreID]int{}
	for range min(n, len(candidates)) {
		best, bestCost, bestOrder := -1, math.MaxInt, uint64(0)
		for i, c := range candidates {
			if used[i] {
				continue
			}
			cost := services[c.Service] + dataCentres[c.DataCentre]
			if c.Failing {
				cost += 2 * len(candidates)
			}
			order := mix(c.Target ^ seed)
			if cost < bestCost || cost == bestCost && order < bestOrder {
				best, bestCost, bestOrder = i, cost, order
			}
		}
		used[best] = true
		services[candidates[best].Service]++
		dataCentres[candidates[best].DataCentre]++
		picked = append(picked, best)
	}
	return picked
}

// mix is the finalizer of SplitMix64.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
