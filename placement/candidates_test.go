package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

func newFleet(engines int) *directory.Directory {
	d := directory.New()
	all := make([]directory.Entry, engines)
	for i := range all {
		all[i] = directory.Entry{ID: types.TargetID(fmt.Sprintf("i-%d", i)), Service: "s", DataCentre: "dc1", Role: types.RolePrefill, Slots: 64}
		if i%4 == 0 {
			all[i].Role = types.RoleDecode
		}
	}
	d.Replace(all, nil, now, 0)
	return d
}

func promptOf(subject uint64, hash uint64) *Request {
	return &Request{Now: now, Bytes: 1000, Hash: mix(hash + 1), Prompt: Prompt{
		Tokens: 17_000, MaxOutputTokens: 20, Parts: []directory.Part{{Key: mix(subject) | 1, Tokens: 13_300}},
	}}
}

func pick(s *directory.Snapshot, r *Request, candidates []*directory.Target) Choice {
	scorer := PrefillScorer{Costs: costs, Speed: speed, Link: link, FetchCostPerToken: 30 * time.Microsecond, Source: FindCacheSource(candidates, r, costs)}
	return Pick(candidates, r, HasRole(types.RolePrefill), scorer)
}

// serveOverTime plays requests for shared subjects on the prefill engines of a fleet in virtual time
// and returns the mean predicted time to the first result.
func serveOverTime(engines int, candidates func(*directory.Snapshot, *Request) []*directory.Target) time.Duration {
	d := newFleet(engines)
	rnd := rand.New(rand.NewPCG(5, 6))
	// Each engine works off its prompts at its speed between two requests, whose rate keeps
	// prefill engines busy for 0.7 of the time.
	meanWork := float64(speed.PrefillWork(17_000, 5000))
	perRequest := meanWork / (0.7 * 0.75 * float64(engines))
	var sum time.Duration
	requests := 9 * engines
	for i := range requests {
		s := d.Load()
		s.All(func(t *directory.Target) {
			w := t.Load.Local.Load()
			t.Load.Local.Add(directory.Work{PrefillTokens: -min(w.PrefillTokens, int64(perRequest))})
		})
		r := promptOf(uint64(rnd.IntN(5*engines)), uint64(i))
		c := pick(s, r, candidates(s, r))
		if i > requests/3 { // the caches are warm
			sum += c.Predicted()
		}
		c.Target.Load.Local.Add(directory.Work{PrefillTokens: c.PrefillWork})
		c.Target.Load.RecordPrefill(r.Prompt.Parts, c.UncachedTokens)
		d.RecordHolders(c.Target, r.Prompt.Parts)
	}
	return sum / time.Duration(requests-requests/3)
}

// Guards against a choice among some of the targets that is worse than one among all.
func TestSampledChoiceIsAsGood(t *testing.T) {
	const engines = 400
	full := serveOverTime(engines, func(s *directory.Snapshot, _ *Request) []*directory.Target { return s.Service("s") })
	sampled := serveOverTime(engines, func(s *directory.Snapshot, r *Request) []*directory.Target {
		return Candidates(s, "s", r, HasRole(types.RolePrefill))
	})
	assert.Assert(t, float64(full) >= 0.98*float64(sampled), "%s among all, %s among candidates", full, sampled)
}

// Guards against candidates without the engine that has cached the prompt, with an engine that the
// filter rejects, with duplicates, and against a sample that is the same for all requests.
func TestCandidates(t *testing.T) {
	d := newFleet(1000)
	s := d.Load()
	holder := s.Target("i-4") // a decode engine
	r := promptOf(3, 9)
	d.RecordHolders(holder, r.Prompt.Parts)
	first := Candidates(s, "s", r, HasRole(types.RolePrefill))
	assert.Equal(t, first[0], holder)
	assert.Equal(t, len(first), 1+sampleSize)
	seen := map[*directory.Target]bool{}
	for _, c := range first {
		assert.Assert(t, !seen[c])
		assert.Assert(t, c == holder || c.Role == types.RolePrefill)
		seen[c] = true
	}
	same := 0
	for _, c := range Candidates(s, "s", promptOf(3, 10), HasRole(types.RolePrefill)) {
		if seen[c] {
			same++
		}
	}
	assert.Assert(t, same < sampleSize/2, "%d candidates in common", same)
	small := newFleet(FullScanLimit).Load()
	assert.Equal(t, len(Candidates(small, "s", r, HasRole(types.RolePrefill))), FullScanLimit)
}

// Guards against a rare software version that a sample of all versions misses, and against a holder
// of another version.
func TestCandidatesOfVersion(t *testing.T) {
	d := newFleet(2000)
	for i, id := range []types.TargetID{"i-1", "i-2", "i-4"} {
		e := d.Load().Target(id).Entry
		e.Version = "v2"
		d.Put(e)
		d.RecordHolders(d.Load().Target(id), promptOf(uint64(i), 0).Prompt.Parts)
	}
	s := d.Load()
	for hash := range uint64(10) {
		r := promptOf(1, hash)
		f := OfVersion{"v2", HasRole(types.RolePrefill)}
		assert.Equal(t, Pick(Candidates(s, "s", r, f), r, f, PrefillScorer{Costs: costs, Speed: speed}).Target.Version, types.SoftwareVersion("v2"))
		assert.Assert(t, AnyAccepted(s, "s", r, OfVersion{"v2", GeneratesTokens{}}))
		assert.Assert(t, !AnyAccepted(s, "s", r, OfVersion{"v3", GeneratesTokens{}}))
		for _, c := range Candidates(s, "s", r, OfVersion{"", HasRole(types.RolePrefill)}) {
			assert.Equal(t, c.Version, types.SoftwareVersion(""))
		}
	}
}

// BenchmarkChoice measures the choice of a prefill engine. From 60 to 11,000 engines its time must not
// more than double.
func BenchmarkChoice(b *testing.B) {
	for _, engines := range []int{60, 120, 1375, 11_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := newFleet(engines)
			s := d.Load()
			for i := range 3 * engines {
				r := promptOf(uint64(i), uint64(i))
				t := s.Service("s")[i%engines]
				t.Load.RecordPrefill(r.Prompt.Parts, 13_300)
				d.RecordHolders(t, r.Prompt.Parts)
			}
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				r := promptOf(i%uint64(3*engines), i)
				pick(s, r, Candidates(s, "s", r, HasRole(types.RolePrefill)))
			}
		})
	}
}
