package loadshare

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

// targetLimit is the limit of requests that a target has declared, or that it declares none.
type targetLimit struct {
	target  directory.Lifetime
	limited bool
	// perSecond is the limit, rounded to thousandths.
	perSecond float64
	// age is the time since the target has stated it.
	age time.Duration
}

// NotifyLimit reports that a target has begun to declare a limit to this daemon, or has ceased
// to.
func (e *Exchanger) NotifyLimit(t *directory.Target) {
	e.mu.Lock()
	e.outbox.limits = append(e.outbox.limits, t.Hash)
	if !slices.Contains(e.outbox.limited, t.Hash) {
		e.outbox.limited = append(e.outbox.limited, t.Hash)
	}
	e.mu.Unlock()
	e.notify()
}

// repeatLimits adds some of the limits that were declared to this daemon, in turn, so that
// daemons that have lost a message or start learn of them.
func (o *outbox) repeatLimits(s *directory.Snapshot) {
	o.limited = slices.DeleteFunc(o.limited, func(h uint64) bool {
		t := s.ByHash(h)
		return t == nil || !t.Load.Limit.Limited()
	})
	for range min(len(o.limited), maxLimits-min(len(o.limits), maxLimits)) {
		o.nextLimited++
		o.limits = append(o.limits, o.limited[o.nextLimited%len(o.limited)])
	}
}

// takeLimits returns the limits to publish.
func (e *Exchanger) takeLimits() (out []targetLimit) {
	now := clock.Nanos(time.Now())
	snapshot := e.directory.Load()
	for _, h := range e.outbox.limits {
		if t := snapshot.ByHash(h); t != nil {
			perSecond, at := t.Load.Limit.Rate()
			out = append(out, targetLimit{t.Lifetime(), t.Load.Limit.Limited(), perSecond, time.Duration(now - at)})
		}
	}
	e.outbox.limits = nil
	return out
}

// applyLimits sets the limits that another daemon has published, unless this one knows newer
// statements of the targets.
func applyLimits(s *directory.Snapshot, limits []targetLimit, now time.Time) {
	for _, l := range limits {
		if t := s.ByHash(l.target.Target); t != nil && t.Lifetime() == l.target {
			t.Load.Limit.Declare(l.perSecond, l.limited, clock.Nanos(now.Add(-l.age)))
		}
	}
}

func appendLimits(b []byte, limits []targetLimit) []byte {
	b = append(b, byte(len(limits)))
	for _, l := range limits {
		b = binary.BigEndian.AppendUint64(b, l.target.Target)
		b = binary.BigEndian.AppendUint64(b, uint64(l.target.StartedAt))
		rate := uint64(0) // no limit
		if l.limited {
			rate = 1 + uint64(math.Round(l.perSecond*1000))
		}
		b = binary.AppendUvarint(b, rate)
		b = appendMillis(b, l.age)
	}
	return b
}

func (m *message) decodeLimits(r *fieldReader) {
	for n := r.count(maxLimits); n > 0 && !r.malformed; n-- {
		l := targetLimit{target: directory.Lifetime{Target: r.uint64(), StartedAt: int64(r.uint64())}}
		if rate := r.uvarint(); rate > 0 {
			l.limited, l.perSecond = true, float64(rate-1)/1000
		}
		l.age = r.millis()
		m.limits = append(m.limits, l)
	}
}
