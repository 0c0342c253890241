package gateway

import (
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

// maxVersions bounds the software versions among which a prefill engine is chosen. Requests start at
// different ones, so that more versions, which only faulty registrations have, cost no more time.
const maxVersions = 4

// pickPrefill returns the best prefill engine among those whose software version also has an
// engine that can generate: the KV cache of one version is of no use to another.
func (s *stream) pickPrefill() placement.Choice {
	q := s.placementRequest()
	snapshot := s.g.directory.Load()
	versions := snapshot.Versions(s.serviceID)
	for _, q.AllowFailing = range []bool{false, true} {
		best := placement.Choice{}
		if s.binding.bound {
			best = s.pickPrefillOf(s.binding.version, snapshot, q)
		} else {
			for i := range min(len(versions), maxVersions) {
				v := versions[(q.Hash%uint64(len(versions))+uint64(i))%uint64(len(versions))]
				best = placement.Better(q, best, s.pickPrefillOf(v.Version, snapshot, q))
			}
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
