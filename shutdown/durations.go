package shutdown

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Durations holds how long responses take, by route. It is safe for concurrent use; known
// routes are read and updated without locks. The zero value is empty.
type Durations struct {
	routes atomic.Pointer[map[string]*RouteDurations]
	mu     sync.Mutex // serialises additions
}

// RouteDurations is how long the responses of one route take, from the arrival of a request
// to the end of its response.
type RouteDurations struct {
	since   time.Time    // of the first request
	longest atomic.Int64 // nanoseconds
}

// Estimate is what is known about the duration of the responses of a route.
type Estimate struct {
	// Longest is the time of the longest recent response, complete or in progress; 0 if
	// there was none.
	Longest time.Duration
	// Watched is the time since the first request. No longer response can have been seen.
	Watched time.Duration
}

// Route returns the durations of a route. It adds the route if it is new: a request to it
// arrives now.
func (d *Durations) Route(name string, now time.Time) *RouteDurations {
	if m := d.routes.Load(); m != nil {
		if v := (*m)[name]; v != nil {
			return v
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]*RouteDurations{}
	if m := d.routes.Load(); m != nil {
		if v := (*m)[name]; v != nil {
			return v
		}
		maps.Copy(next, *m)
	}
	v := &RouteDurations{since: now}
	next[name] = v
	d.routes.Store(&next)
	return v
}

// durationDecayShift sets the share of the difference to a shorter response by which the
// longest one decays with each response, 1/2^durationDecayShift.
const durationDecayShift = 6

// Record records the duration of a complete response. A longer one than before counts at
// once, and is forgotten over some hundred shorter ones.
func (r *RouteDurations) Record(took time.Duration) {
	for {
		old := r.longest.Load()
		next := max(int64(took), old-(old-int64(took))>>durationDecayShift, 1)
		if r.longest.CompareAndSwap(old, next) {
			return
		}
	}
}

// Extend records that a response is still in progress, or was cut, after the given time.
func (r *RouteDurations) Extend(elapsed time.Duration) {
	for old := r.longest.Load(); int64(elapsed) > old; old = r.longest.Load() {
		if r.longest.CompareAndSwap(old, int64(elapsed)) {
			return
		}
	}
}

// Estimate returns what is known at the given time.
func (r *RouteDurations) Estimate(now time.Time) Estimate {
	return Estimate{Longest: time.Duration(r.longest.Load()), Watched: now.Sub(r.since)}
}
