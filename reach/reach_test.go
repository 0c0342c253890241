package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

const (
	tick      = 10 * time.Millisecond
	roundTrip = 20 * time.Millisecond
	start     = clock.Instant(time.Hour)
)

// node is a node with a prober and some traffic in virtual time.
type node struct {
	*Tracker
	now     clock.Instant
	targets []Candidate
	// reaches reports whether a new connection to the target is accepted now, and refused whether
	// one that is not fails at once instead of timing out.
	reaches func(i int) bool
	refused bool
	// frozen is set while the process does not run.
	frozen  func() bool
	pending []dial
	round   Round
	left    int // probes of the round in progress
	failed  int
	seed    uint64
	probes  int
	changes []Change
}

type dial struct {
	target     int
	ready, end clock.Instant // of the handshake, and of the time-out
	suspected  bool
	probe      bool
}

func newNode(targets []Candidate) *node {
	n := &node{now: start, targets: targets, reaches: func(int) bool { return true }, frozen: func() bool { return false }}
	n.Tracker = New(Settings{Changed: func(c Change) { n.changes = append(n.changes, c) }})
	return n
}

func targets(services, dataCentres, perPair int) (c []Candidate) {
	for s := range services {
		for d := range dataCentres {
			for range perPair {
				c = append(c, Candidate{Target: uint64(len(c) + 1), Service: types.ServiceID(rune('a' + s)), DataCentre: types.DataCentreID(rune('a' + d))})
			}
		}
	}
	return c
}

// dial opens a connection to a target.
func (n *node) dial(target int, timeout time.Duration, probe bool) {
	n.pending = append(n.pending, dial{target: target, ready: n.now.Add(roundTrip), end: n.now.Add(timeout), probe: probe})
}

// run lets time pass. A request opens a connection every interval if interval is not 0.
func (n *node) run(d, interval time.Duration) {
	for end := n.now.Add(d); n.now < end; n.now = n.now.Add(tick) {
		if n.frozen() {
			continue
		}
		if interval > 0 && n.now.Sub(start)%interval == 0 && len(n.targets) > 0 {
			n.dial(int(n.now.Sub(start)/interval)%len(n.targets), 400*time.Millisecond, false)
		}
		n.step()
	}
}

// step completes dials and lets the prober act. A dial that was ready and timed out while the process
// was frozen counts as timed out.
func (n *node) step() {
	var pending []dial
	for _, p := range n.pending {
		hash := n.targets[p.target].Target
		switch up := n.reaches(p.target); {
		case n.now >= p.end, !up && n.refused:
			n.RecordUnreachable(hash, n.now)
			n.finish(p, 1)
		case up && n.now >= p.ready:
			n.RecordConnected(hash, n.now)
			n.finish(p, 0)
		default:
			if !p.suspected && n.now >= p.ready.Add(100*time.Millisecond-roundTrip) {
				p.suspected = true
				n.RecordSuspicion(hash, n.now)
			}
			pending = append(pending, p)
		}
	}
	n.pending = pending
	if n.left > 0 {
		return
	}
	if n.round = n.Next(n.now, len(n.targets)); n.round.Probes == 0 {
		return
	}
	n.seed, n.failed = n.seed+1, 0
	picked := Pick(n.targets, n.round.Probes, n.seed)
	n.left, n.probes = len(picked), n.probes+len(picked)
	for _, i := range picked {
		n.dial(i, ProbeTimeout, true)
	}
}

func (n *node) finish(p dial, failed int) {
	if !p.probe {
		return
	}
	n.left, n.failed = n.left-1, n.failed+failed
	if n.left == 0 {
		n.Finish(n.round, n.failed, n.now)
	}
}

// Guards against a node that finds out about the loss of its link late, or returns to it late.
func TestLossIsFoundAndEnds(t *testing.T) {
	for _, refused := range []bool{false, true} {
		n := newNode(targets(2, 2, 3))
		n.refused = refused
		n.run(2*time.Second, 50*time.Millisecond)
		n.reaches = func(int) bool { return false }
		n.run(500*time.Millisecond, 50*time.Millisecond)
		assert.Assert(t, n.Lost() && n.InDoubt(), "refused %v", refused)
		n.run(11500*time.Millisecond, 50*time.Millisecond)
		assert.Assert(t, n.Lost() && len(n.changes) == 1)
		n.reaches = func(int) bool { return true }
		n.run(1100*time.Millisecond, 0)
		assert.Assert(t, !n.Lost() && !n.InDoubt(), "refused %v", refused)
		assert.Assert(t, n.changes[1].Duration > 11*time.Second)
	}
}

// Guards against probes of a link that works: connections are priced.
func TestWorkingLinkIsNotProbed(t *testing.T) {
	n := newNode(targets(2, 2, 3))
	n.run(time.Minute, 50*time.Millisecond)
	assert.Equal(t, n.probes, 0)
	// A target that has crashed costs a few probes, whatever the number of its failures.
	n.reaches = func(i int) bool { return i != 0 }
	for range 600 {
		n.RecordUnreachable(1, n.now)
		n.run(100*time.Millisecond, 0)
	}
	assert.Assert(t, n.probes > 0 && n.probes <= (60/2+1)*roundProbes, "%d probes", n.probes)
	assert.Assert(t, len(n.changes) == 0)
}

// Guards against failed targets that are taken for a lost link.
func TestFailedTargetsAreNoLoss(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets []Candidate
		up      func(c Candidate) bool
	}{
		{"one target", targets(1, 1, 2), func(c Candidate) bool { return c.Target != 1 }},
		{"the only target", targets(1, 1, 1), func(Candidate) bool { return false }},
		{"one service", targets(3, 2, 4), func(c Candidate) bool { return c.Service != "a" }},
		{"one data centre", targets(1, 3, 4), func(c Candidate) bool { return c.DataCentre != "a" }},
		{"all but one data centre", targets(2, 4, 4), func(c Candidate) bool { return c.DataCentre == "a" }},
	} {
		n := newNode(c.targets)
		n.reaches = func(i int) bool { return c.up(c.targets[i]) }
		n.run(20*time.Second, 30*time.Millisecond)
		assert.Equal(t, len(n.changes), 0, c.name)
	}
}

// Guards against a loss that ends with the first target that connects, or does not end because each
// round has a target that does not.
func TestLossEndsWithTwoTargets(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 5 * tick {
		n := newNode(targets(1, 2, 3))
		n.reaches = func(int) bool { return false }
		n.run(5*time.Second, 50*time.Millisecond)
		n.reaches = func(i int) bool { return i == 5 }
		n.run(10*time.Second+offset, 0)
		assert.Assert(t, n.Lost() && len(n.changes) == 1)
		n.reaches = func(i int) bool { return n.targets[i].DataCentre == "b" }
		n.run(maxLostInterval+3*ProbeTimeout, 0)
		assert.Assert(t, !n.Lost(), "offset %s", offset)
	}
}

// Guards against a loss although a request has connected during the round.
func TestRequestThatConnectsPreventsLoss(t *testing.T) {
	n := New(Settings{})
	n.RecordUnreachable(1, start)
	r := n.Next(start, 8)
	assert.Equal(t, r.Probes, roundProbes)
	n.RecordConnected(9, start.Add(tick))
	n.RecordUnreachable(2, start.Add(ProbeTimeout))
	n.Finish(r, r.Probes, start.Add(ProbeTimeout))
	assert.Assert(t, !n.Lost() && !n.InDoubt())
}

// Guards against a loss that is found later by the time between rounds, because it began during a round
// in which a request still connected (soak cuts, seed 3: 1.0 s instead of 0.35 s).
func TestLossDuringRoundIsNotDelayed(t *testing.T) {
	n := New(Settings{})
	n.RecordUnreachable(1, start)
	r := n.Next(start, 8)
	n.RecordConnected(9, start.Add(tick))
	end := start.Add(ProbeTimeout)
	n.Finish(r, r.Probes, end)
	n.RecordSuspicion(2, end)
	assert.Equal(t, n.Next(end, 8).Probes, roundProbes)
}

// Guards against failures of a round that the process has slept through: the time-outs of its dials
// expire together when it goes on.
func TestSuspensionIsNoLoss(t *testing.T) {
	for offset := time.Duration(0); offset < 20*tick; offset += tick {
		n := newNode(targets(2, 2, 3))
		n.run(time.Second, 0)
		n.RecordUnreachable(1, n.now)
		from := n.now.Add(offset)
		n.frozen = func() bool { return n.now >= from && n.now < from.Add(3*time.Second) }
		n.run(10*time.Second, 0)
		assert.Assert(t, len(n.changes) == 0 && n.probes > 0, "offset %s", offset)
	}
}

// Guards against a machine that is always late and never decides.
func TestLateMachineDecides(t *testing.T) {
	n := newNode(targets(2, 2, 3))
	n.reaches = func(int) bool { return false }
	n.frozen = func() bool { return n.now.Sub(start)%(700*time.Millisecond) != 0 }
	n.run(10*time.Second, 100*time.Millisecond)
	assert.Assert(t, n.Lost())
}

// Guards against a silence of all targets that lasts longer for the nodes than for the targets, or
// changes how a later loss is found.
func TestShortSilenceLeavesNothing(t *testing.T) {
	n := newNode(targets(1, 2, 4))
	n.run(time.Second, 50*time.Millisecond)
	n.reaches = func(int) bool { return false }
	n.run(time.Second, 50*time.Millisecond)
	n.reaches = func(int) bool { return true }
	n.run(400*time.Millisecond, 50*time.Millisecond)
	assert.Assert(t, !n.Lost() && len(n.changes) == 2)
	n.run(11*time.Second, 50*time.Millisecond)
	n.reaches = func(int) bool { return false }
	n.run(500*time.Millisecond, 50*time.Millisecond)
	assert.Assert(t, n.Lost())
}

// Guards against a node that passes requests on and takes them back with each packet that gets
// through.
func TestUnsteadyLinkStaysLost(t *testing.T) {
	n := newNode(targets(2, 2, 3))
	n.reaches = func(int) bool { return n.now.Sub(start)%(2*time.Second) < 400*time.Millisecond }
	n.run(time.Minute, 50*time.Millisecond)
	assert.Assert(t, len(n.changes) > 2)
	for i := 6; i+1 < len(n.changes); i += 2 {
		assert.Assert(t, n.changes[i+1].At.Sub(n.changes[i].At) >= maxHold, "%v", n.changes)
	}
	n.reaches = func(int) bool { return true }
	n.run(maxHold+time.Second, 50*time.Millisecond)
	assert.Assert(t, !n.Lost())
}

// Guards against rules that hold in chosen cases only: random cuts, dead targets, suspensions and
// traffic.
func TestLossIsTheLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := targets(rapid.IntRange(1, 3).Draw(t, "services"), rapid.IntRange(1, 3).Draw(t, "dataCentres"), rapid.IntRange(1, 4).Draw(t, "targets"))
		dead := rapid.IntRange(0, len(all)/2).Draw(t, "dead")
		if len(all)-dead < lostProbes {
			dead = 0
		}
		n := newNode(all)
		n.refused = rapid.Bool().Draw(t, "refused")
		n.seed = rapid.Uint64().Draw(t, "seed")
		cut := false
		n.reaches = func(i int) bool { return !cut && i >= dead }
		// Targets that have failed are known as such to the node.
		for i := range dead {
			all[i].Failing = true
		}
		interval := time.Duration(rapid.IntRange(1, 20).Draw(t, "interval")) * tick
		for range rapid.IntRange(1, 8).Draw(t, "periods") {
			changes, from := len(n.changes), n.now
			period := time.Duration(rapid.IntRange(10, 400).Draw(t, "ticks")) * tick
			freeze := rapid.Bool().Draw(t, "freeze")
			until := from.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "frozen")) * tick)
			n.frozen = func() bool { return freeze && n.now < until }
			cut = rapid.Bool().Draw(t, "cut")
			n.run(period, interval)
			n.frozen = func() bool { return false }
			if !cut {
				// A round that began in a cut may still end as one.
				for _, c := range n.changes[changes:] {
					assert.Assert(t, !c.Lost || c.At.Sub(from) <= ProbeTimeout+lateness, "lost at %s of a link that works since %s", c.At.Sub(start), from.Sub(start))
				}
				n.run(maxHold+2*time.Second, interval)
				assert.Assert(t, !n.Lost(), "lost for too long")
			} else if len(all) >= minKnown {
				n.run(excusedInterval+2*time.Second, interval)
				assert.Assert(t, n.Lost(), "not found")
			}
		}
	})
}

// Guards against a round that tests one service or one data centre where there are others, a target
// that is chosen twice, and failing targets that are preferred.
func TestPickSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services, dataCentres := rapid.IntRange(1, 4).Draw(t, "services"), rapid.IntRange(1, 4).Draw(t, "dataCentres")
		all := targets(services, dataCentres, rapid.IntRange(1, 3).Draw(t, "targets"))
		for i := range all {
			all[i].Failing = rapid.Bool().Draw(t, "failing")
		}
		sound := map[types.DataCentreID]bool{}
		usable := 0
		for _, c := range all {
			if !c.Failing {
				sound[c.DataCentre] = true
				usable++
			}
		}
		picked := Pick(all, roundProbes, rapid.Uint64().Draw(t, "seed"))
		assert.Equal(t, len(picked), min(roundProbes, len(all)))
		seen, found, failing := map[int]bool{}, map[types.DataCentreID]bool{}, 0
		for _, i := range picked {
			assert.Assert(t, !seen[i])
			seen[i] = true
			if all[i].Failing {
				failing++
			} else {
				found[all[i].DataCentre] = true
			}
		}
		assert.Equal(t, failing, max(len(picked)-usable, 0))
		assert.Assert(t, len(found) >= min(len(sound), 2))
	})
}

// Guards against locks on the path of a request.
func BenchmarkLost(b *testing.B) {
	n := New(Settings{})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if n.Lost() {
				b.Fail()
			}
		}
	})
}

func BenchmarkRecordConnected(b *testing.B) {
	n := New(Settings{})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			n.RecordConnected(1, start)
		}
	})
}
