package shutdown

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Durations holds how long responses take, by route. It is safe for concurrent use; known
// routes are read and updated without locks. The zero value is empty.
type Durations struct {
	routes sync.Map // of *RouteDurations by the name of the route
	count  atomic.Int64
}

// Route returns the durations of a route. It adds the route if it is new, at a cost that does not
// depend on the number of routes.
func (d *Durations) Route(name string) *RouteDurations {
	v, ok := d.routes.Load(name)
	if !ok {
		if v, ok = d.routes.LoadOrStore(name, &RouteDurations{}); !ok {
			d.count.Add(1)
		}
	}
	return v.(*RouteDurations)
}

// Len returns the number of routes.
func (d *Durations) Len() int { return int(d.count.Load()) }

// Keep removes the routes for which keep returns false.
func (d *Durations) Keep(keep func(route string) bool) {
	d.routes.Range(func(name, _ any) bool {
		if !keep(name.(string)) {
			if _, ok := d.routes.LoadAndDelete(name); ok {
				d.count.Add(-1)
			}
		}
		return true
	})
}

const (
	// Durations are divided into intervals whose bounds grow by the factor of the square root
	// of 2, from firstBound to some 45 s.
	firstBound    = 125 * time.Millisecond
	intervalCount = 18
	// maxSamples is the number of complete responses after which the weight of all samples is
	// halved, so that the estimate follows changes.
	maxSamples = 256
)

// bounds are the ends of the intervals.
var bounds = func() (b [intervalCount]time.Duration) {
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Pow(2, float64(i)/2))
	}
	return b
}()

// RouteDurations estimates how long the responses of one route take, from the arrival of a
// request to the end of its response. It is the estimator of Kaplan and Meier (1958), in
// which responses that are in progress, or were cut, count up to their present age: complete
// responses alone would leave out the long ones of a process that has just started. It is
// safe for concurrent use.
type RouteDurations struct {
	// ended are the responses that ended within each interval, and passed those that lasted
	// longer.
	ended, passed [intervalCount]atomic.Int64
	samples       atomic.Int64
}

// Progress is the age of one response. It is not safe for concurrent use.
type Progress struct {
	route    *RouteDurations
	interval int // the first one that has not passed
}

// Begin begins to observe a response.
func (r *RouteDurations) Begin() Progress { return Progress{route: r} }

// Extend records that the response is still in progress after the given time.
func (p *Progress) Extend(elapsed time.Duration) {
	for p.interval < intervalCount && elapsed > bounds[p.interval] {
		p.route.passed[p.interval].Add(1)
		p.interval++
	}
}

// End records that the response is complete after the given time.
func (p *Progress) End(elapsed time.Duration) {
	p.Extend(elapsed)
	if p.interval == intervalCount {
		return
	}
	p.route.ended[p.interval].Add(1)
	if p.route.samples.Add(1) == maxSamples {
		p.route.halve()
	}
}

func (r *RouteDurations) halve() {
	r.samples.Add(-maxSamples / 2)
	for i := range intervalCount {
		r.ended[i].Add(-(r.ended[i].Load() + 1) / 2)
		r.passed[i].Add(-(r.passed[i].Load() + 1) / 2)
	}
}

// Outlasting returns the share of responses, from 0 to 1, that take longer than d. One
// response more than seen is assumed to pass each interval, so that a few samples do not
// exclude longer ones. It is 1 if nothing is known.
func (r *RouteDurations) Outlasting(d time.Duration) float64 {
	share := 1.0
	for i := 0; i < intervalCount && bounds[i] <= d; i++ {
		ended, passed := float64(r.ended[i].Load()), float64(r.passed[i].Load())
		share *= (passed + 1) / (ended + passed + 1)
	}
	return share
}
