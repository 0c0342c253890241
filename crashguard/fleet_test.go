package crashguard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

// fleet is a number of daemons with their guards, before engines that crash under one part and
// sometimes by themselves. Its time advances in steps.
type fleet struct {
	*rand.Rand
	guards  []*Guard
	engines []fleetEngine
	now     clock.Instant
	loss    float64 // share of updates that do not arrive
	badSent []clock.Instant
	crashes int // under the bad part
	// crashAfter is the number of events after which the bad part crashes an engine.
	crashAfter int
	// spread is the range of the number of events of a response, from the last one of a suspect on.
	spread int
}

// fleetEngine is an engine with the requests in progress.
type fleetEngine struct {
	started  int64
	downTill clock.Instant
	streams  []fleetRequest
}

type fleetRequest struct {
	daemon int
	parts  []directory.Part
	events int // received so far
	length int // events of the complete response
}

const (
	fleetStep     = 50 * time.Millisecond
	fleetSubjects = 40
)

// send sends a request to a random engine, unless the daemon knows that its part is blocked.
func (f *fleet) send(daemon int, part uint64) {
	parts := prompt(shared, part)
	if f.guards[daemon].Blocked(parts, f.now) > 0 {
		return
	}
	if part == bad {
		f.badSent = append(f.badSent, f.now)
	}
	e := &f.engines[f.IntN(len(f.engines))]
	if e.downTill <= f.now {
		e.streams = append(e.streams, fleetRequest{daemon: daemon, parts: parts, length: 1 + maxSuspectEvents + f.IntN(f.spread)})
	}
}

// run generates an event for each request of an engine, or crashes it.
func (f *fleet) run(i int, spontaneous bool) {
	e := &f.engines[i]
	deadly := slices.ContainsFunc(e.streams, func(r fleetRequest) bool { return r.parts[1].ID == bad && r.events == f.crashAfter })
	if deadly {
		f.crashes++
	}
	if deadly || spontaneous {
		for _, r := range e.streams {
			if Suspect(r.events) {
				f.guards[r.daemon].RecordCrash(directory.Lifetime{Target: uint64(i), StartedAt: e.started}, r.parts, f.now)
			}
		}
		e.streams = nil
		e.started++
		e.downTill = f.now.Add(3 * time.Second)
		return
	}
	e.streams = slices.DeleteFunc(e.streams, func(r fleetRequest) bool {
		if r.events < r.length {
			return false
		}
		f.guards[r.daemon].RecordAnswer(r.parts, f.now)
		return true
	})
	for k := range e.streams {
		e.streams[k].events++
	}
}

// exchange delivers the updates of all daemons to the others, except those that are lost.
func (f *fleet) exchange(full bool) {
	for i, g := range f.guards {
		if !full && !g.Pending() {
			continue
		}
		u := g.Outgoing(full, f.now)
		for k, other := range f.guards {
			if k != i && f.Float64() >= f.loss {
				other.Apply(&u, f.now)
			}
		}
	}
}

func (f *fleet) step(n int) {
	f.now = f.now.Add(fleetStep)
	for range 4 {
		f.send(f.IntN(len(f.guards)), uint64(1+f.IntN(fleetSubjects)))
	}
	if f.Float64() < 0.7*fleetStep.Seconds() {
		f.send(f.IntN(len(f.guards)), bad)
	}
	for i := range f.engines {
		f.run(i, f.Float64() < 0.02*fleetStep.Seconds())
	}
	f.exchange(n%20 == 0)
	for i, g := range f.guards {
		if n%4 == i%4 {
			g.Evaluate(f.now)
		}
	}
}

// Guards against requests that reach engines although five engines have crashed under their
// part, and against sound parts that are blocked beside it, while the requests arrive at any
// daemon, engines crash before, at or after the first event or by themselves, messages are lost
// and a daemon restarts.
func TestFleetBlocksTheBadPartOnly(t *testing.T) {
	// After the fifth crash and the window no more than three such requests may be sent.
	const maxCrashesBefore, maxSentAfter = 5, 3
	const window = 3 * time.Second
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &fleet{Rand: rand.New(rand.NewPCG(seed, 1)), engines: make([]fleetEngine, 5), now: start, loss: 0.05,
				crashAfter: int(seed) % (maxSuspectEvents + 1), spread: maxSuspectEvents}
			for range 13 {
				f.guards = append(f.guards, New())
			}
			fifth := clock.Instant(0)
			for n := range 800 {
				f.step(n)
				if fifth == 0 && f.crashes >= maxCrashesBefore {
					fifth = f.now
				}
				if n%100 == 49 {
					f.guards[f.IntN(len(f.guards))] = New()
				}
			}
			if fifth != 0 {
				after := slices.DeleteFunc(f.badSent, func(at clock.Instant) bool { return at <= fifth.Add(window) })
				assert.Assert(t, len(after) <= maxSentAfter, "%d requests after the fifth crash", len(after))
			}
			for _, g := range f.guards {
				assert.Assert(t, g.Blocked(prompt(bad), f.now) > 0)
				for p := range uint64(fleetSubjects) {
					assert.Equal(t, g.Blocked(prompt(shared, 1+p), f.now), time.Duration(0), "part %d", 1+p)
				}
			}
		})
	}
}

// Guards against sound parts that are blocked when half of the engines end together and again, with
// many long streams in progress, most of whose parts are rarely answered.
func TestEnginesThatEndTogetherBlockNoPart(t *testing.T) {
	const engines, herdSteps, requestsPerStep, meanEvents = 60, 200, 6, 100
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &fleet{Rand: rand.New(rand.NewPCG(seed, 2)), engines: make([]fleetEngine, engines), now: start, loss: 0.05, spread: 2 * meanEvents}
			for range 13 {
				f.guards = append(f.guards, New())
			}
			for n := range 6 * herdSteps {
				f.now = f.now.Add(fleetStep)
				for range requestsPerStep {
					// The k-th part is used in proportion to 1/k.
					f.send(f.IntN(len(f.guards)), bad+uint64(math.Pow(200, f.Float64())))
				}
				for i := range f.engines {
					f.run(i, n%herdSteps == herdSteps-1 && f.IntN(2) == 0)
				}
				f.exchange(n%20 == 0)
				for i, g := range f.guards {
					if n%4 == i%4 {
						assert.Equal(t, len(g.Evaluate(f.now).Blocked), 0)
					}
				}
			}
		})
	}
}
