package shutdown

import (
	"testing"
	"time"
)

// BenchmarkAllows measures the decision about one request while the process stops.
func BenchmarkAllows(b *testing.B) {
	now := time.Unix(1000, 0)
	var s State
	s.Begin(Schedule{now, now.Add(time.Hour), now.Add(time.Hour)})
	r := routeWith(time.Second)
	for b.Loop() {
		s.Allows(now, now.Add(2*time.Hour), r)
	}
}

// BenchmarkProgress measures what the estimate costs a stream of 25 events while the process serves.
func BenchmarkProgress(b *testing.B) {
	var d Durations
	for b.Loop() {
		p := d.Route("a").Begin()
		for i := range 25 {
			p.Extend(time.Duration(i) * 10 * time.Millisecond)
		}
		p.End(250 * time.Millisecond)
	}
}
