package loadshare

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

// newCarrier returns an exchanger "one" that accepts requests while the result is set, and another
// one that has it in its list.
func newCarrier(t *testing.T) (s, r *Exchanger, carrying *atomic.Bool) {
	s, _ = newExchanger(t, "one")
	r, _ = newExchanger(t, "two")
	r.SetPeers(Peer{Name: "two", DataCentre: "dc"}, []Peer{{Name: "one", DataCentre: "dc", Cores: 2}})
	carrying = &atomic.Bool{}
	s.SetCarrying(carrying.Load)
	return s, r, carrying
}

// Guards against a flag that daemons of an earlier version take for a malformed message, and against
// flags of a later version that this one does.
func TestSpareFlagsAreIgnored(t *testing.T) {
	s, a := newExchanger(t, "one")
	change(s, a, directory.Work{Requests: 1})
	b := s.messages(true)[0]
	want, err := decode(slices.Clone(b))
	assert.NilError(t, err)
	assert.Equal(t, b[flagsAt]&flagCarries, byte(0))
	b[flagsAt] |= ^byte(flagRelay | flagClaims | flagFull | flagBundle | flagCarries)
	got, err := decode(b)
	assert.NilError(t, err)
	assert.Equal(t, got.carries, want.carries)
	assert.DeepEqual(t, got.loads[0].work, want.loads[0].work)
}

// Guards against a daemon that waits for the next full state to tell that it has lost its targets,
// and against messages without a change.
func TestCarryingIsSentWithoutLoad(t *testing.T) {
	s, r, carrying := newCarrier(t)
	assert.Equal(t, len(s.messages(false)), 0)
	for _, c := range []bool{true, false} {
		carrying.Store(c)
		s.NotifyCarrying()
		deliver(t, s, r, false, now)
		assert.Equal(t, len(r.Carriers()) == 1, c)
		assert.Equal(t, len(s.messages(false)), 0)
	}
}

// Guards against a carrier that a late message brings back, that stays without messages, and
// against one that is not a member.
func TestCarriersEnd(t *testing.T) {
	s, r, carrying := newCarrier(t)
	var told [][]Carrier
	r.HandleCarriers(func(l []Carrier) { told = append(told, l) })
	carrying.Store(true)
	late, err := decode(s.messages(true)[0])
	assert.NilError(t, err)
	deliver(t, s, r, true, now)
	assert.Equal(t, len(r.Carriers()), 1)
	assert.Equal(t, r.Carriers()[0].Cores, 2.0)
	carrying.Store(false)
	deliver(t, s, r, true, now)
	r.apply(late, now, instant(now))
	assert.Equal(t, len(r.Carriers()), 0)
	carrying.Store(true)
	deliver(t, s, r, true, now)
	r.expirePeers(now.Add(2 * minPeerTimeout))
	assert.Equal(t, len(r.Carriers()), 0)
	deliver(t, s, r, true, now)
	assert.Equal(t, len(r.Carriers()), 1)
	r.SetPeers(Peer{Name: "two", DataCentre: "dc"}, nil)
	assert.Equal(t, len(r.Carriers()), 0)
	var sizes []int
	for _, l := range told {
		sizes = append(sizes, len(l))
	}
	assert.DeepEqual(t, sizes, []int{0, 1, 0, 1, 0, 1, 0})
}

// Guards against requests of a carrier that count twice, or remain after their end, the restart of
// their target or its removal.
func TestRequestsOfCarriers(t *testing.T) {
	s, r, carrying := newCarrier(t)
	carrying.Store(true)
	for _, e := range []*Exchanger{s, r} {
		e.directory.Put(directory.Entry{ID: "b", Service: "s", StartedAt: 1})
	}
	add := func(id types.TargetID, n int64) {
		change(s, s.directory.Load().Target(id), directory.Work{Requests: n})
	}
	expect := func(full bool, n int64) {
		t.Helper()
		deliver(t, s, r, full, now)
		assert.Equal(t, r.Carriers()[0].Requests(), n)
	}
	add("a", 2)
	add("b", 3)
	expect(false, 5)
	expect(true, 5)
	add("a", -1)
	expect(false, 4)
	for _, e := range []*Exchanger{s, r} {
		e.directory.Put(directory.Entry{ID: "b", Service: "s", StartedAt: 2})
	}
	add("b", 1)
	expect(false, 2)
	r.directory.Remove("a", now, 0)
	m, err := decode(s.messages(true)[0])
	assert.NilError(t, err)
	m.full = false // a full state in several messages
	r.apply(m, now, instant(now))
	assert.Equal(t, r.Carriers()[0].Requests(), int64(1))
	restarted := New("one", s.conn, directory.New(), s.demand, s.now)
	restarted.SetCarrying(carrying.Load)
	deliver(t, restarted, r, true, now)
	assert.Equal(t, r.Carriers()[0].Requests(), int64(0))
}

// Guards against a restarted daemon that gets requests before it is ready.
func TestRestartedCarrierEnds(t *testing.T) {
	s, r, carrying := newCarrier(t)
	carrying.Store(true)
	deliver(t, s, r, true, now)
	assert.Equal(t, len(r.Carriers()), 1)
	deliver(t, New("one", s.conn, directory.New(), s.demand, s.now), r, true, now)
	assert.Equal(t, len(r.Carriers()), 0)
}

// Guards against carriers that are known in their own data centre only, that hubs change, and against
// a loss of targets that the others learn of with the next full state.
func TestCarriersAreKnownThroughHubs(t *testing.T) {
	const size, dataCentres = 42, 3 // 14 in each: with a hub
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, size, dataCentres, 0)
		lost := make([]atomic.Bool, size)
		for i, e := range f.exchangers {
			e.SetCarrying(func() bool { return !lost[i].Load() })
		}
		time.Sleep(3 * time.Second)
		for _, e := range f.exchangers {
			assert.Equal(t, len(e.Carriers()), size-1)
		}
		for i := range 25 {
			lost[i].Store(true)
			f.exchangers[i].NotifyCarrying()
		}
		time.Sleep(100 * time.Millisecond) // the batch window and two hubs
		for i, e := range f.exchangers {
			for _, c := range e.Carriers() {
				assert.Assert(t, slices.IndexFunc(f.peers, func(p Peer) bool { return p.Name == c.Name }) >= 25, "%s at node %d", c.Name, i)
			}
			others := size - 25
			if i >= 25 {
				others--
			}
			assert.Equal(t, len(e.Carriers()), others)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// BenchmarkCarriersUpdate measures one change of the list among 370 daemons.
func BenchmarkCarriersUpdate(b *testing.B) {
	e := New("vm-0", nil, directory.New(), &demand.Table{}, clocktest.Virtual)
	var others []Peer
	for i := 1; i < 370; i++ {
		p := Peer{Name: types.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: types.DataCentreID(fmt.Sprintf("dc-%d", i%30))}
		e.peerStates[p.hash()] = &peerState{carries: true}
		others = append(others, p)
	}
	e.SetPeers(Peer{Name: "vm-0", DataCentre: "dc-0"}, others)
	b.ReportAllocs()
	for b.Loop() {
		e.updateCarriers()
	}
	assert.Equal(b, len(e.Carriers()), 369)
}
