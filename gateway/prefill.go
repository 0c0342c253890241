package gateway

import (
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

// pickPrefill returns the best prefill engine among those whose software version also has an
// engine that can generate: the KV cache of one version is of no use to another.
func (s *stream) pickPrefill() placement.Choice {
	q := s.placementRequest()
	snapshot := s.g.directory.Load()
	for _, q.AllowFailing = range []bool{false, true} {
		best := placement.Choice{}
		for _, v := range snapshot.Versions(s.serviceID) {
			if s.binding.bound && s.binding.version != v.Version {
				continue
			}
			best = placement.Better(q, best, s.pickPrefillOf(v.Version, snapshot, q))
		}
		if best.Target != nil {
			return best
		}
	}
	return placement.Choice{}
}

// pickPrefillOf returns the best prefill engine of a software version, or none if no engine of the
// version can generate.
func (s *stream) pickPrefillOf(v types.SoftwareVersion, snapshot *directory.Snapshot, q *placement.Request) placement.Choice {
	generator := *q
	generator.AllowFailing = true
	of := versionBinding{v, true}
	if !placement.AnyAccepted(snapshot, s.serviceID, &generator, of.restrict(placement.GeneratesTokens{})) {
		return placement.Choice{}
	}
	f := of.restrict(placement.HasRole(types.RolePrefill))
	all := placement.Candidates(snapshot, s.serviceID, q, f)
	return placement.Pick(all, q, f, s.prefillScorer(placement.FindCacheSource(all, q, s.costs())))
}
