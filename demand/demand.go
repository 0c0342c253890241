// Package demand accumulates the work that callers offer to the engines of each service,
// whether it is served or refused, and learns how long this work takes. It performs no I/O.
// The path of a request reads its tables through atomic pointers and changes atomic
// counters.
package demand

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Work is an amount of work for engines, or its total since the start of a process.
type Work struct {
	// Prefill is the time that one prefill engine needs, in microseconds.
	Prefill int64
	// Slots is the time that streams occupy slots of decode engines, in microseconds.
	Slots int64
	// KV is the KV cache that streams occupy, times the time, in token-milliseconds.
	KV int64
	// Intervals summarises the intervals between events of complete streams.
	Intervals Intervals
}

// Plus returns the sum of w and v.
func (w Work) Plus(v Work) Work {
	return Work{w.Prefill + v.Prefill, w.Slots + v.Slots, w.KV + v.KV, w.Intervals.plus(v.Intervals, 1)}
}

// Minus returns w less v.
func (w Work) Minus(v Work) Work {
	return Work{w.Prefill - v.Prefill, w.Slots - v.Slots, w.KV - v.KV, w.Intervals.plus(v.Intervals, -1)}
}

// Fields returns pointers to all numbers of w in a fixed order, for encoders.
func (w *Work) Fields() [8]*int64 {
	i := &w.Intervals
	return [8]*int64{&w.Prefill, &w.Slots, &w.KV, &i.Count, &i.Streams, &i.StreamsSquared, &i.Interval, &i.Product}
}

// Intervals are sums over streams, from which the effect of the number of streams on the
// interval between events is found by linear regression. Sums of several daemons add up.
type Intervals struct {
	// Count is the number of streams, Streams the sum of the streams on the engine at the
	// same time, and StreamsSquared that of their squares.
	Count, Streams, StreamsSquared int64
	// Interval is the sum of the mean intervals in microseconds, and Product that of their
	// products with the number of streams.
	Interval, Product int64
}

func (i Intervals) plus(j Intervals, sign int64) Intervals {
	return Intervals{
		i.Count + sign*j.Count, i.Streams + sign*j.Streams, i.StreamsSquared + sign*j.StreamsSquared,
		i.Interval + sign*j.Interval, i.Product + sign*j.Product,
	}
}

const (
	// minIntervals is the minimum number of streams for a regression, and minVariance the
	// minimum variance of the number of streams.
	minIntervals = 300
	minVariance  = 1
)

// Slowdown returns the relative increase of the interval between events with each further
// stream on an engine, as a share of the interval of a single stream. ok is false if there
// are too few streams, or all had about the same number beside them.
func (i Intervals) Slowdown() (perStream float64, ok bool) {
	if i.Count < minIntervals {
		return 0, false
	}
	n := float64(i.Count)
	streams, interval := float64(i.Streams)/n, float64(i.Interval)/n
	variance := float64(i.StreamsSquared)/n - streams*streams
	if variance < minVariance {
		return 0, false
	}
	slope := max((float64(i.Product)/n-streams*interval)/variance, 0)
	single := interval - slope*(streams-1)
	if single <= 0 {
		return 0, false
	}
	return slope / single, true
}

// Table holds the demand for each service. It is safe for concurrent use. The zero value
// is empty.
type Table struct {
	services atomic.Pointer[map[types.ServiceID]*Service]
	mu       sync.Mutex // serialises additions
}

// Service returns the demand for a service. It adds the service if it is new.
func (t *Table) Service(id types.ServiceID) *Service {
	return getOrAdd(&t.services, &t.mu, id, newService)
}

// Totals returns the offered work of each service since the start.
func (t *Table) Totals() map[types.ServiceID]Work {
	out := map[types.ServiceID]Work{}
	if m := t.services.Load(); m != nil {
		for id, s := range *m {
			out[id] = s.total()
		}
	}
	return out
}

// getOrAdd returns the value of a key in a map that is copied when a key is added.
func getOrAdd[K comparable, V any](p *atomic.Pointer[map[K]*V], mu *sync.Mutex, key K, create func() *V) *V {
	if m := p.Load(); m != nil {
		if v := (*m)[key]; v != nil {
			return v
		}
	}
	mu.Lock()
	defer mu.Unlock()
	next := map[K]*V{}
	if m := p.Load(); m != nil {
		if v := (*m)[key]; v != nil {
			return v
		}
		maps.Copy(next, *m)
	}
	v := create()
	next[key] = v
	p.Store(&next)
	return v
}

// Service is the demand for one service, and what is known about its engines.
type Service struct {
	prefill, slots, kv atomic.Int64
	intervals          struct{ count, streams, streamsSquared, interval, product atomic.Int64 }
	// slowdown is the ratio of the actual time of a prefill to the predicted one, in
	// 1/slowdownUnit.
	slowdown atomic.Int64
	routes   atomic.Pointer[map[string]*route]
	mu       sync.Mutex // serialises additions of routes
}

// route is what is known about the streams of a route.
type route struct {
	// stream is the smoothed time that a stream occupies its slot, in microseconds; 0
	// before the first one.
	stream atomic.Int64
}

func newService() *Service {
	s := &Service{}
	s.slowdown.Store(slowdownUnit)
	return s
}

func (s *Service) total() Work {
	i := &s.intervals
	return Work{s.prefill.Load(), s.slots.Load(), s.kv.Load(), Intervals{
		i.count.Load(), i.streams.Load(), i.streamsSquared.Load(), i.interval.Load(), i.product.Load(),
	}}
}

// RecordInterval records the mean interval between the events of a complete stream, and the
// number of streams on its engine at that time, including itself.
func (s *Service) RecordInterval(streams int64, interval time.Duration) {
	i, us := &s.intervals, interval.Microseconds()
	i.count.Add(1)
	i.streams.Add(streams)
	i.streamsSquared.Add(streams * streams)
	i.interval.Add(us)
	i.product.Add(us * streams)
}

func (s *Service) route(name string) *route {
	return getOrAdd(&s.routes, &s.mu, name, func() *route { return new(route) })
}

// Offer records a request: the time that its prefill takes, and the tokens of KV cache that
// its stream occupies. The time of the stream is that of earlier streams of the route, or
// assumed before the first one.
func (s *Service) Offer(routeName string, prefill time.Duration, tokens int, assumed time.Duration) {
	s.prefill.Add(prefill.Microseconds())
	stream := s.route(routeName).stream.Load()
	if stream == 0 {
		stream = assumed.Microseconds()
	}
	s.slots.Add(stream)
	s.kv.Add(int64(tokens) * stream / 1000)
}

// streamShift sets the weight of a stream in the smoothed time to 1/2^streamShift.
const streamShift = 4

// RecordStream records the time that a complete stream of a route has occupied its slot.
func (s *Service) RecordStream(routeName string, d time.Duration) {
	v := &s.route(routeName).stream
	us := max(d.Microseconds(), 1)
	if v.CompareAndSwap(0, us) {
		return
	}
	old := v.Load()
	v.Store(old + (us-old)>>streamShift)
}

const (
	slowdownUnit = 1 << 16
	// slowdownStep is the relative change of the slowdown with each prefill. With this step,
	// a hundred prefills suffice for a factor of 2.
	slowdownStep = 1.0 / 128
	// maxSlowdown bounds the slowdown and its inverse.
	maxSlowdown = 8
)

// RecordPrefill records the predicted and the actual time of a prefill that had its engine
// for itself. The slowdown follows the median of their ratio by stochastic approximation
// (Robbins and Monro 1951), so that single outliers, such as those of a frozen engine, have
// the weight of any other prefill.
func (s *Service) RecordPrefill(predicted, actual time.Duration) {
	if predicted <= 0 {
		return
	}
	old := s.slowdown.Load()
	step := max(int64(float64(old)*slowdownStep), 1)
	if float64(actual)/float64(predicted) < float64(old)/slowdownUnit {
		step = -step
	}
	s.slowdown.Store(min(max(old+step, slowdownUnit/maxSlowdown), slowdownUnit*maxSlowdown))
}

// Slowdown returns the ratio of the actual time of prefills to the time that the settings
// predict. It is 1 before there are samples.
func (s *Service) Slowdown() float64 { return float64(s.slowdown.Load()) / slowdownUnit }
