package carriers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

const (
	fleetRate      = 20                     // requests a second of the callers of each node
	requestTime    = 500 * time.Millisecond // mean
	linkTime       = time.Millisecond       // one way
	reportInterval = 30 * time.Millisecond  // of the requests in progress
)

// fleet is a fleet on virtual time. Nodes that have lost their targets pass requests on.
type fleet struct {
	now             clock.Instant
	due             map[clock.Instant][]func()
	rnd             *rand.Rand
	nodes           []*node
	choosers        []*Chooser
	lost, refuses   func(i int) bool
	inProgress      []int64
	carried         []int
	refused, remote int
}

func (f *fleet) after(d time.Duration, run func()) {
	at := f.now.Add(d.Truncate(time.Millisecond))
	f.due[at] = append(f.due[at], run)
}

// run plays a time and returns the number of carriers and of requests that they have carried.
func (f *fleet) run(d time.Duration) (carriers, carried int) {
	f.due, f.rnd = map[clock.Instant][]func(){}, rand.New(rand.NewPCG(1, 2))
	f.inProgress, f.carried = make([]int64, len(f.nodes)), make([]int, len(f.nodes))
	var left []*node
	for i, n := range f.nodes {
		if !f.lost(i) {
			left = append(left, n)
		}
	}
	for _, n := range f.nodes {
		f.choosers = append(f.choosers, newChooser(Settings{DataCentre: n.DataCentre}, left...))
	}
	for f.now = start; f.now < start.Add(d); f.now = f.now.Add(time.Millisecond) {
		for _, run := range f.due[f.now] {
			run()
		}
		delete(f.due, f.now)
		for i, n := range f.nodes {
			if f.now.Sub(start)%reportInterval == 0 {
				n.requests.Store(f.inProgress[i])
			}
			if f.rnd.Float64() >= fleetRate/1000.0 {
				continue
			}
			if f.lost(i) {
				f.pass(i, nil)
			} else {
				f.serve(i, func() {})
			}
		}
	}
	for _, n := range f.carried {
		carried += n
	}
	return len(left), carried
}

func (f *fleet) serve(i int, done func()) {
	f.inProgress[i]++
	f.after(2*linkTime+time.Duration(f.rnd.ExpFloat64()*float64(requestTime)), func() {
		f.inProgress[i]--
		done()
	})
}

func (f *fleet) pass(from int, tried []types.VMID) {
	c := f.choosers[from]
	p, ok := c.Pick(f.rnd.Uint64(), tried, f.now)
	if !ok || len(tried) > 1 {
		return
	}
	a, ok := c.Begin(p.Name, f.now)
	if !ok {
		f.pass(from, tried)
		return
	}
	var to int
	_, _ = fmt.Sscanf(string(p.Name), "vm-%d", &to)
	f.after(linkTime, func() {
		if f.refuses(to) {
			f.refused++
			f.after(linkTime, func() {
				a.End(Refused, f.now)
				f.pass(from, append(tried, p.Name))
			})
			return
		}
		f.carried[to]++
		if p.DataCentre != f.nodes[from].DataCentre {
			f.remote++
		}
		a.Accepted()
		f.serve(to, func() { a.End(Carried, f.now) })
	})
}

func newFleet(size, dataCentres int, lost, refuses func(i int) bool) *fleet {
	f := &fleet{lost: lost, refuses: refuses}
	for i := range size {
		f.nodes = append(f.nodes, newNode(i, types.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)), 1))
	}
	return f
}

// Guards against a herd: at 60 of 100 nodes that have lost their targets, no carrier gets more than
// twice the mean.
func TestLoadOfCarriersIsSpread(t *testing.T) {
	for name, lost := range map[string]func(i int) bool{
		"evenly":                            func(i int) bool { return i < 60 },
		"two of four data centres and more": func(i int) bool { return i%4 < 2 || i >= 80 },
		"all but one of a data centre":      func(i int) bool { return i%4 == 0 && i > 0 || i%4 > 0 && i < 48 },
	} {
		f := newFleet(100, 4, lost, func(int) bool { return false })
		carriers, carried := f.run(20 * time.Second)
		mean, most := float64(carried)/float64(carriers), 0
		for _, n := range f.carried {
			most = max(most, n)
		}
		t.Logf("%s: %d carriers, %d requests, %d to another data centre, mean %.0f, most %d", name, carriers, carried, f.remote, mean, most)
		assert.Equal(t, carriers, 40)
		assert.Assert(t, carried > 60*fleetRate*19, "%d carried", carried)
		assert.Assert(t, float64(most) <= 2*mean, "%d at a mean of %.0f", most, mean)
	}
}

// Guards against carriers that attract requests because they refuse them and look idle.
func TestRefusingCarriersGetFewRequests(t *testing.T) {
	const seconds = 20
	f := newFleet(20, 1, func(i int) bool { return i < 10 }, func(i int) bool { return i >= 17 })
	_, carried := f.run(seconds * time.Second)
	// A node tries each of the three four times in the first 3 s and every 2 s then, and once more if
	// two requests begin within the 2 ms of the first refusal.
	assert.Assert(t, f.refused <= 10*3*(4+seconds/2+1), "%d refused", f.refused)
	assert.Assert(t, carried > 10*fleetRate*(seconds-1), "%d carried", carried)
}
