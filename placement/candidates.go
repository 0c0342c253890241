package placement

import (
	"iter"
	"slices"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// FullScanLimit is the number of targets of a service up to which a choice looks at all
	// of them. Above it the time of a choice does not grow further.
	FullScanLimit = directory.IndexLimit
	// sampleSize is the number of sampled targets that the filter accepts. With it the best
	// of the sample is among the best 10% of all targets in 97 of 100 choices.
	sampleSize = 32
	// maxSampled bounds the targets that are sampled, accepted or not.
	maxSampled = 4 * sampleSize
	// maxHolders bounds the engines that have cached a part of the prompt.
	maxHolders = 8
)

// Candidates returns the targets of a service that a choice for the request looks at: all of
// a small service; of a large one, the engines that have cached parts of the prompt, longest
// prefix first, and a sample that depends on the request, so that daemons spread their
// requests. The sample only contains targets that the filter accepts. With the filter OfVersion
// only the targets of its version are looked at. The caller must not modify the result.
func Candidates(s *directory.Snapshot, id types.ServiceID, r *Request, f Filter) []*directory.Target {
	all := eligible(s, id, f)
	if len(all) <= FullScanLimit {
		return all
	}
	out := appendHolders(make([]*directory.Target, 0, maxHolders+sampleSize), s, r, f)
	held := len(out)
	for t := range sample(all, r.Hash) {
		if f.Accept(r, t) && !slices.Contains(out[:held], t) {
			out = append(out, t)
			if len(out) == held+sampleSize {
				break
			}
		}
	}
	return out
}

// AnyAccepted reports whether the filter accepts a target of a service, or of its sample for the
// request if the service is large.
func AnyAccepted(s *directory.Snapshot, id types.ServiceID, r *Request, f Filter) bool {
	all := eligible(s, id, f)
	if len(all) <= FullScanLimit {
		return slices.ContainsFunc(all, func(t *directory.Target) bool { return f.Accept(r, t) })
	}
	for t := range sample(all, r.Hash) {
		if f.Accept(r, t) {
			return true
		}
	}
	return false
}

// eligible returns the targets of a service, or those of the version that the filter accepts.
func eligible(s *directory.Snapshot, id types.ServiceID, f Filter) []*directory.Target {
	if o, ok := f.(OfVersion); ok {
		return s.OfVersion(id, o.Version)
	}
	return s.Service(id)
}

// sample returns up to maxSampled of the targets, in an order that depends on the hash.
func sample(all []*directory.Target, hash uint64) iter.Seq[*directory.Target] {
	return func(yield func(*directory.Target) bool) {
		// The stride is coprime to the number of targets, so that no target is sampled twice.
		n := uint64(len(all))
		stride := mix(hash+1)%n | 1
		for gcd(stride, n) != 1 {
			stride += 2
		}
		at := hash % n
		for range min(maxSampled, len(all)) {
			if !yield(all[at]) {
				return
			}
			at = (at + stride) % n
		}
	}
}

func appendHolders(out []*directory.Target, s *directory.Snapshot, r *Request, f Filter) []*directory.Target {
	o, ofVersion := f.(OfVersion)
	var hashes [maxHolders]uint64
	for i := len(r.Prompt.Parts) - 1; i >= 0; i-- {
		for _, h := range s.Holders().AppendHolders(hashes[:0], r.Prompt.Parts[i].Key) {
			t := s.ByHash(h)
			if t == nil || ofVersion && t.Version != o.Version || slices.Contains(out, t) {
				continue
			}
			if out = append(out, t); len(out) == maxHolders {
				return out
			}
		}
	}
	return out
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
