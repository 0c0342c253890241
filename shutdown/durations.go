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
	routes atomic.Pointer[map[string]*atomic.Int64] // nanoseconds
	mu     sync.Mutex                               // serialises additions
}

// durationDecayShift sets the share of the difference to a shorter response by which the
// longest one decays with each response, 1/2^durationDecayShift.
const durationDecayShift = 6

// Record records the time from the arrival of a request to the end of its complete response.
func (d *Durations) Record(route string, took time.Duration) {
	v := d.route(route)
	for {
		old := v.Load()
		next := max(int64(took), old-(old-int64(took))>>durationDecayShift, 1)
		if v.CompareAndSwap(old, next) {
			return
		}
	}
}

// Longest returns the time of the longest recent response on a route, or 0 if there was
// none. A longer response counts at once, and is forgotten over some hundred shorter ones.
func (d *Durations) Longest(route string) time.Duration {
	if m := d.routes.Load(); m != nil {
		if v := (*m)[route]; v != nil {
			return time.Duration(v.Load())
		}
	}
	return 0
}

func (d *Durations) route(name string) *atomic.Int64 {
	if m := d.routes.Load(); m != nil {
		if v := (*m)[name]; v != nil {
			return v
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]*atomic.Int64{}
	if m := d.routes.Load(); m != nil {
		if v := (*m)[name]; v != nil {
			return v
		}
		maps.Copy(next, *m)
	}
	v := &atomic.Int64{}
	next[name] = v
	d.routes.Store(&next)
	return v
}
