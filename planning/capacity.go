package planning

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Counts is a number of engines by role.
type RoleCounts [types.RoleCount]int

func (c RoleCounts) total() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// segment is a part of an engine that can do either prefill or decode work, in
// tokens per second, or any proportional mixture of both.
type segment struct {
	role            types.Role
	prefill, decode float64
}

// Capacity is the work that engines of each role do within the deadlines.
//
// An engine that batches prefill with decode has a concave frontier through
// three points: decode only, as many streams as the time between tokens allows
// with a prefill chunk in every iteration, and prefill only. The two pieces of
// the frontier are its segments. The small chunks that a decode engine can run
// are its spill-over capacity.
type Capacity struct {
	segments []segment // best first for prefill work
	single   Demand    // best rates of one engine for each phase
}

// CapacityOf derives the capacity from the rates of an engine, the prefill
// chunk of each role and the longest time between tokens.
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

func (c *Capacity) add(role types.Role, r types.EngineRates, chunk float64, interval time.Duration) {
	chunkTime := time.Duration(chunk / r.PrefillTokensPerSecond * float64(time.Second))
	only := chunk / (r.IterationBase + chunkTime).Seconds()
	c.single.Prefill = max(c.single.Prefill, only)
	if role == types.RolePrefill {
		c.segments = append(c.segments, segment{role, only, 0})
		return
	}
	decodeOnly := streamsWithin(r, 0, interval) / interval.Seconds()
	decodeBoth := streamsWithin(r, chunkTime, interval) / interval.Seconds()
	prefillBoth := chunk / max(interval, r.IterationBase+chunkTime).Seconds()
	c.single.Decode = max(c.single.Decode, decodeOnly)
	c.segments = append(c.segments,
		segment{role, prefillBoth, decodeOnly - decodeBoth},
		segment{role, only - prefillBoth, decodeBoth})
}

// streamsWithin returns how many streams an iteration with a prefill chunk of
// the given time can hold.
func streamsWithin(r types.EngineRates, chunk, interval time.Duration) float64 {
	free := interval - r.IterationBase - chunk
	return min(max(float64(free)/float64(r.DecodeCost), 0), float64(r.MaxStreams))
}

// Work returns the demand in engines: how many engines it would keep busy if
// each did only the phase that its role is best at.
func (c *Capacity) EngineEquivalents(d Demand) float64 {
	return d.Prefill/c.single.Prefill + d.Decode/c.single.Decode
}

// Served returns the largest part of the demand, from 0 to 1, that engines
// with the given roles can serve. Prefill goes first to the engines that lose the least decode capacity by it,
// so mixed batching and spill-over are used before demand counts as lost.
func (c *Capacity) ServedShare(n RoleCounts, d Demand) float64 {
	var prefill, decode float64
	for _, s := range c.segments {
		decode += s.decode * float64(n[s.role])
	}
	if d.Prefill <= 0 {
		return part(decode, d.Decode)
	}
	for _, s := range c.segments {
		p := s.prefill * float64(n[s.role])
		q := s.decode * float64(n[s.role])
		if p == 0 && q == 0 {
			continue
		}
		// Where the ray of the demand crosses this piece of the frontier.
		t := (decode*d.Prefill - prefill*d.Decode) / (p*d.Decode + q*d.Prefill)
		if t <= 1 {
			return part(prefill+max(t, 0)*p, d.Prefill)
		}
		prefill += p
		decode -= q
	}
	return part(prefill, d.Prefill)
}

func part(have, want float64) float64 {
	if want <= 0 {
		return 1
	}
	return min(have/want, 1)
}

// Single returns the best rates of one engine for each phase, when it does
// only that phase.
func (c *Capacity) SingleEngine() Demand { return c.single }
