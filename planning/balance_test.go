package planning

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

// observeFor lets a balancer observe a constant demand, in busy engines, and returns the last planned
// share and the number of changes of the plan.
func observeFor(b *Balancer, at *time.Time, d time.Duration, prefill, decode float64, engines int) (share float64, changes int) {
	const step = 250 * time.Millisecond
	share = b.Share(*at, 0, engines)
	for end := at.Add(d); at.Before(end); *at = at.Add(step) {
		b.Observe(*at, time.Duration(prefill*float64(step)), time.Duration(decode*float64(step)))
		next := b.Share(*at, 0, engines)
		if next != share {
			changes++
		}
		share = next
	}
	return share, changes
}

// Guards against a share that stays that of one deployment while the mix of another, or of another
// time, needs a different one (Tankworks scale-2: worth 0.423 with the share of the first
// deployments, 0.504 with a share of 0.6).
func TestShareFollowsDemand(t *testing.T) {
	for _, c := range []struct{ prefill, decode float64 }{{6, 0.4}, {6.7, 2.1}, {1, 3}, {40, 8}} {
		s := DefaultBalanceSettings()
		b, at := NewBalancer(s), time.Unix(1000, 0)
		share, changes := observeFor(b, &at, 30*time.Second, c.prefill, c.decode, 100)
		want := s.share(Demand{Prefill: c.prefill, Decode: c.decode})
		assert.Assert(t, math.Abs(share-want) <= s.Tolerance, "%g instead of %g", share, want)
		assert.Assert(t, changes <= 1)
		// The mix turns round, and later back.
		share, changes = observeFor(b, &at, time.Minute, c.decode, c.prefill, 100)
		want = s.share(Demand{Prefill: c.decode, Decode: c.prefill})
		assert.Assert(t, math.Abs(share-want) <= 2*s.Tolerance, "%g instead of %g", share, want)
		assert.Assert(t, changes <= 4, "%d changes", changes)
	}
}

// Guards against a small group of decode engines without a reserve, and a large one with too much of
// it (mtc-lentil scale-1: 0.656 with two decode engines of twelve, 0.715 with three).
func TestSmallGroupsHaveLargerReserves(t *testing.T) {
	s := DefaultBalanceSettings()
	for _, c := range []struct {
		busy            Demand
		engines, decode float64
	}{{Demand{Prefill: 7.6, Decode: 1.1}, 12, 3}, {Demand{Prefill: 39, Decode: 26.5}, 90, 41}} {
		decode := c.engines * (1 - s.share(c.busy))
		assert.Assert(t, math.Abs(decode-c.decode) < 0.03*c.engines, "%g of %g engines for decode", decode, c.engines)
	}
}

// Guards against orders because of noise, of bursts of the usual mix, of short bursts of another one,
// and of demand that any share serves.
func TestShareIsCalm(t *testing.T) {
	b, at := NewBalancer(DefaultBalanceSettings()), time.Unix(1000, 0)
	start, _ := observeFor(b, &at, 30*time.Second, 6, 1, 12)
	for i := range 60 {
		factor := 1 + 0.3*float64(i%3-1)
		share, changes := observeFor(b, &at, time.Second, 6*factor, 1/factor, 12)
		assert.Equal(t, changes, 0)
		assert.Equal(t, share, start)
	}
	_, changes := observeFor(b, &at, 10*time.Second, 18, 3, 12)
	assert.Equal(t, changes, 0, "burst of the usual mix")
	_, changes = observeFor(b, &at, time.Second, 6, 3, 12)
	assert.Equal(t, changes, 0, "short burst of another mix")
	idle := NewBalancer(DefaultBalanceSettings())
	_, changes = observeFor(idle, &at, time.Minute, 0.05, 0.4, 12)
	assert.Equal(t, changes, 0, "hardly any demand")
}

// Guards against a plan that changes roles because a node has just started and knows no demand.
func TestUnknownInitialShareKeepsRoles(t *testing.T) {
	s := DefaultBalanceSettings()
	s.InitialShare = 0
	b := NewBalancer(s)
	now := time.Unix(1000, 0)
	assert.Equal(t, b.Share(now, 0, 0), 0.0)
	assert.Equal(t, b.Share(now, 3, 12), 0.25)
	assert.Equal(t, b.Share(now, 5, 12), 5.0/12, "roles that another node has changed are kept as well")
	assert.Equal(t, b.Plan(), 0.0)
}

// Guards against changes of roles because a node has started while engines were missing, whose return
// it takes for a deviation from its plan.
func TestReturningEnginesKeepRolesWithoutDemand(t *testing.T) {
	s := DefaultBalanceSettings()
	s.InitialShare = 0
	b, at := NewBalancer(s), time.Unix(1000, 0)
	engines := enginesWith(9, 12)
	// Two of the three decode engines are missing at the start.
	for _, present := range [][]Engine{engines[:10], engines, engines[1:], engines[:11], engines} {
		prefill := 0
		for _, e := range present {
			if e.Role == types.RolePrefill {
				prefill++
			}
		}
		changes := PlanPrefillShare(present, b.Share(at, prefill, len(present)))
		assert.Equal(t, len(changes), 0, "%d of %d engines: %v", prefill, len(present), changes)
		at = at.Add(time.Second)
	}
}

// Guards against changes that a node which has just started orders because of a burst of another mix,
// or soon after the last change of another node.
func TestStartedNodeIsCalm(t *testing.T) {
	s := DefaultBalanceSettings()
	running, at := NewBalancer(s), time.Unix(1000, 0)
	before, _ := observeFor(running, &at, time.Minute, 6, 1, 12)
	prefill := int(math.Round(before * 12))
	s.InitialShare = 0
	started := NewBalancer(s)
	const step = 250 * time.Millisecond
	began := at
	for at.Before(began.Add(time.Minute)) {
		decode := 1.0
		if at.Sub(began) < 3*time.Second {
			decode = 3
		}
		for name, b := range map[string]*Balancer{"running": running, "started": started} {
			b.Observe(at, 6*step, time.Duration(decode*float64(step)))
			changes := PlanPrefillShare(enginesWith(prefill, 12), b.Share(at, prefill, 12))
			assert.Equal(t, len(changes), 0, "%s node, %s after the start", name, at.Sub(began))
		}
		at = at.Add(step)
	}
	// A change of the mix before the end of the hold time of the others.
	began = at
	started = NewBalancer(s)
	for at.Before(began.Add(s.Hold)) {
		started.Observe(at, 2*step, 6*step)
		assert.Equal(t, started.Share(at, prefill, 12), float64(prefill)/12, "%s after the start", at.Sub(began))
		at = at.Add(step)
	}
	started.Observe(at, 2*step, 6*step)
	assert.Assert(t, started.Share(at.Add(step), prefill, 12) < float64(prefill-1)/12)
}

// enginesWith returns engines of which the first ones have the prefill role.
func enginesWith(prefill, n int) (out []Engine) {
	for i := range n {
		role := types.RoleDecode
		if i < prefill {
			role = types.RolePrefill
		}
		out = append(out, Engine{ID: types.TargetID('a' + rune(i)), Role: role})
	}
	return out
}

// planner is a node that plans the roles of shared engines.
type planner struct {
	b *Balancer
	// settle is how long the roles deviate from its plan before it changes them.
	settle        time.Duration
	deviatesSince time.Time
}

// step returns the planned number of prefill engines.
func (p *planner) step(at time.Time, prefill, engines int) int {
	want := int(math.Round(p.b.Share(at, prefill, engines) * float64(engines)))
	if want == prefill {
		p.deviatesSince = time.Time{}
		return prefill
	}
	if p.deviatesSince.IsZero() {
		p.deviatesSince = at
	}
	if at.Sub(p.deviatesSince) < p.settle {
		return prefill
	}
	p.deviatesSince = time.Time{}
	return want
}

// Guards against two nodes that change roles back and forth, because the plan of each depends on when
// it started.
func TestPlansOfNodesThatStartAtDifferentTimesAgree(t *testing.T) {
	const engines, step = 12, 250 * time.Millisecond
	for later := 30 * time.Second; later <= 100*time.Second; later += 5 * time.Second {
		for decode := 0.6; decode < 3; decode += 0.1 {
			s := DefaultBalanceSettings()
			s.InitialShare = 0
			first, second := &planner{b: NewBalancer(s), settle: 1500 * time.Millisecond}, &planner{b: NewBalancer(s), settle: 5500 * time.Millisecond}
			began := time.Unix(1000, 0)
			prefill, changes := 9, []int{9}
			for at := began; at.Before(began.Add(4 * time.Minute)); at = at.Add(step) {
				busy := 0.6
				if at.After(began.Add(time.Minute)) {
					busy = decode
				}
				for _, p := range []*planner{first, second} {
					if p == second && at.Before(began.Add(later)) {
						continue
					}
					p.b.Observe(at, 4*step, time.Duration(busy*float64(step)))
					if next := p.step(at, prefill, engines); next != prefill {
						prefill = next
						changes = append(changes, next)
					}
				}
			}
			up, down := slices.IsSorted(changes), slices.IsSortedFunc(changes, func(a, b int) int { return b - a })
			assert.Assert(t, up || down, "prefill engines %d with %.1f busy decode engines and %s between the starts", changes, decode, later)
		}
	}
}
