package planning

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// RoleCounts is the number of engines of each role.
type RoleCounts [types.RoleCount]int

func (c RoleCounts) sum() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// segment is a share of an engine's capacity. It can do either prefill or decode
// work at the given rates, in tokens per second, or any proportional mixture of both.
type segment struct {
	role            types.Role
	prefill, decode float64
}

// Capacity is the work that engines of each role can do within the deadlines.
//
// The possible combinations of prefill and decode rates of an engine that batches
// both are bounded by a concave curve through three points: decode only; the largest
// number of streams that the time between tokens allows with a prefill chunk in every
// iteration; and prefill only. The two pieces of the curve are the segments of the
// engine. The small prefill chunks that a decode engine can run are its spill-over
// capacity.
type Capacity struct {
	segments     []segment // by ratio of prefill rate to decode rate, highest first
	singleEngine Demand    // highest rates of one engine, for each phase on its own
}

// CapacityOf returns the capacity of engines with the given rates, prefill chunk sizes
// in tokens by role, and maximum time between tokens.
func CapacityOf(r types.EngineRates, chunk [types.RoleCount]int, interval time.Duration) *Capacity {
	c := &Capacity{}
	for role := range types.RoleCount {
		c.add(role, r, float64(chunk[role]), interval)
	}
	slices.SortStableFunc(c.segments, func(a, b segment) int {
		return cmp.Compare(b.prefill*a.decode, a.prefill*b.decode)
	})
	return c
}

// add appends the segments of an engine of the role.
func (c *Capacity) add(role types.Role, r types.EngineRates, chunk float64, interval time.Duration) {
	chunkTime := time.Duration(chunk / r.PrefillTokensPerSecond * float64(time.Second))
	prefillOnly := chunk / (r.IterationBase + chunkTime).Seconds()
	c.singleEngine.Prefill = max(c.singleEngine.Prefill, prefillOnly)
	if role == types.RolePrefill {
		c.segments = append(c.segments, segment{role, prefillOnly, 0})
		return
	}
	decodeOnly := streamsWithin(r, 0, interval) / interval.Seconds()
	decodeMixed := streamsWithin(r, chunkTime, interval) / interval.Seconds()
	prefillMixed := chunk / max(interval, r.IterationBase+chunkTime).Seconds()
	c.singleEngine.Decode = max(c.singleEngine.Decode, decodeOnly)
	c.segments = append(c.segments,
		segment{role, prefillMixed, decodeOnly - decodeMixed},
		segment{role, prefillOnly - prefillMixed, decodeMixed})
}

// streamsWithin returns the number of streams that fit into an iteration of the given
// interval with a prefill chunk of the given duration.
func streamsWithin(r types.EngineRates, chunk, interval time.Duration) float64 {
	free := interval - r.IterationBase - chunk
	return min(max(float64(free)/float64(r.DecodeCost), 0), float64(r.MaxStreams))
}

// EngineEquivalents returns the number of engines that the demand would fully occupy
// if each engine did only the phase that its role is best at.
func (c *Capacity) EngineEquivalents(d Demand) float64 {
	return d.Prefill/c.singleEngine.Prefill + d.Decode/c.singleEngine.Decode
}

// ServedShare returns the largest fraction of the demand, from 0 to 1, that engines
// with the given roles can serve. Prefill is assigned first to the engines that lose
// the least decode capacity by it, so mixed batching and spill-over are used before
// demand counts as lost.
func (c *Capacity) ServedShare(n RoleCounts, d Demand) float64 {
	var prefill, decode float64
	for _, s := range c.segments {
		decode += s.decode * float64(n[s.role])
	}
	if d.Prefill <= 0 {
		return servedFraction(decode, d.Decode)
	}
	for _, s := range c.segments {
		p := s.prefill * float64(n[s.role])
		q := s.decode * float64(n[s.role])
		if p == 0 && q == 0 {
			continue
		}
		// t is where on this segment the ratio of prefill to decode equals that of the
		// demand.
		t := (decode*d.Prefill - prefill*d.Decode) / (p*d.Decode + q*d.Prefill)
		if t <= 1 {
			return servedFraction(prefill+max(t, 0)*p, d.Prefill)
		}
		prefill += p
		decode -= q
	}
	return servedFraction(prefill, d.Prefill)
}

// servedFraction returns the fraction of a demand that a capacity covers, up to 1.
func servedFraction(capacity, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(capacity/demand, 1)
}

// SingleEngine returns the highest prefill and decode rates of one engine, each for an
// engine that does only that phase.
func (c *Capacity) SingleEngine() Demand { return c.singleEngine }
