package planning

import (
	"math"
	"time"
)

// BalanceSettings are the settings of a Balancer.
type BalanceSettings struct {
	// InitialShare is the share of the engines, from 0 to 1, that have the prefill role
	// until the demand is known. With 0 the engines keep their roles until then, also
	// those that return after they were missing.
	InitialShare float64
	// PrefillReserve and DecodeReserve give the engines of a role beyond those that the
	// demand keeps busy, as multiples of the square root of the busy ones (square-root
	// staffing, Halfin and Whitt 1981). A small group of engines needs relatively more of
	// them than a large one to absorb the same variation. Decode needs more than prefill: a
	// stream stays on its engine, while a prompt waits for the next free one.
	PrefillReserve, DecodeReserve float64
	// Tolerance is the difference between the planned and the present share of prefill
	// engines up to which roles stay as they are. At least minDeviation engines are
	// tolerated as well.
	Tolerance float64
	// Hold is the time after a change of the plan before the next one. It is several times
	// the time for which a change takes an engine out of service.
	Hold time.Duration
	// WarmUp is the time from the first demand to the first change of the plan. In the first
	// seconds prompts are prefilled whose parts are cached from then on. Without InitialShare
	// the time is Hold, if that is longer.
	WarmUp time.Duration
	// MinBusy is the demand, in busy engines of both roles, below which the plan does not
	// change: any share serves it.
	MinBusy float64
}

// DefaultBalanceSettings returns the settings of deployments that are not known.
func DefaultBalanceSettings() BalanceSettings {
	return BalanceSettings{
		InitialShare: 0.72, PrefillReserve: 0.5, DecodeReserve: 1.75, Tolerance: 0.06,
		Hold: 20 * time.Second, WarmUp: 6 * time.Second, MinBusy: 0.5,
	}
}

// share returns the share of prefill engines for a demand in busy engines.
func (s BalanceSettings) share(busy Demand) float64 {
	p := busy.Prefill + s.PrefillReserve*math.Sqrt(busy.Prefill)
	q := busy.Decode + s.DecodeReserve*math.Sqrt(busy.Decode)
	return p / (p + q)
}

// minDeviation is the deviation, in engines, up to which roles stay as they are. Half an
// engine is the rounding error of a plan.
const minDeviation = 0.9

// balanceWindow is the time constant of the average of the demand. It spans several bursts,
// each of which lasts a few seconds and may have another mix.
const balanceWindow = 12 * time.Second

// Balancer plans how many engines of a service have the prefill role, from the demand for
// both phases. It divides the engines in the ratio of what both phases need with their
// reserves, so that under overload neither wastes the work of the other. A burst of requests
// of the usual mix hardly changes the plan, as it changes both demands alike. It is not safe
// for concurrent use.
type Balancer struct {
	settings    BalanceSettings
	busy        Demand // average, in busy engines of each role
	began, last time.Time
	share       float64   // planned; 0 while the engines keep their roles
	warm        time.Time // end of the warm-up; zero before the first demand
	hold        time.Time // end of the time without changes of the plan
}

// NewBalancer returns a Balancer that has observed no demand.
func NewBalancer(s BalanceSettings) *Balancer {
	return &Balancer{settings: s, share: s.InitialShare}
}

// Observe adds the demand since the previous call: the time for which it would keep prefill
// engines and decode engines busy. The first call only starts the first interval.
func (b *Balancer) Observe(now time.Time, prefill, decode time.Duration) {
	dt := now.Sub(b.last)
	if b.last.IsZero() || dt <= 0 {
		b.last = now
		return
	}
	if b.began.IsZero() {
		if prefill == 0 && decode == 0 {
			b.last = now
			return
		}
		b.began = b.last
	}
	b.last = now
	// The plain mean until the average spans its window.
	weight := max(dt.Seconds()/now.Sub(b.began).Seconds(), 1-math.Exp(-dt.Seconds()/balanceWindow.Seconds()))
	b.busy.Prefill += weight * (prefill.Seconds()/dt.Seconds() - b.busy.Prefill)
	b.busy.Decode += weight * (decode.Seconds()/dt.Seconds() - b.busy.Decode)
}

// Busy returns the average demand in busy engines of each role.
func (b *Balancer) Busy() Demand { return b.busy }

// Plan returns the last planned share of prefill engines, 0 while the engines keep their
// roles.
func (b *Balancer) Plan() float64 { return b.share }

// HasDemand reports whether there is enough demand to plan by.
func (b *Balancer) HasDemand() bool {
	return b.busy.Prefill+b.busy.Decode >= b.settings.MinBusy
}

// Share returns the planned share of prefill engines among the given number of engines, of
// which some have the prefill role at present. It returns the present share while that is
// within the tolerance of what the demand wants: plans of several nodes depend on when each
// of them started, so that they would otherwise change the roles back and forth.
func (b *Balancer) Share(now time.Time, prefill, engines int) float64 {
	present := float64(prefill) / float64(max(engines, 1))
	planned := b.share
	if planned == 0 {
		planned = present
	}
	if !b.HasDemand() || engines == 0 {
		return planned
	}
	if b.warm.IsZero() {
		b.warm = now.Add(b.settings.WarmUp)
		if b.share == 0 {
			// The roles may result from a plan that another node has just changed.
			b.warm = now.Add(max(b.settings.WarmUp, b.settings.Hold))
		}
	}
	if now.Before(b.warm) {
		return planned
	}
	wanted := b.settings.share(b.busy)
	rounding := minDeviation / float64(engines)
	tolerated := max(b.settings.Tolerance, rounding)
	held := now.Before(b.hold)
	// A plan of the hold time is carried out up to its rounding error.
	if math.Abs(wanted-present) <= tolerated && (!held || math.Abs(planned-present) <= rounding) {
		return present
	}
	// An older plan does not move the roles away from what the demand wants now.
	if held && (wanted-present)*(planned-present) <= 0 {
		return present
	}
	if deviation := wanted - planned; !held && math.Abs(deviation) > tolerated {
		// The change stops short of the wanted share: the last engines gain least, and the
		// estimate is uncertain.
		b.share = wanted - math.Copysign(tolerated/2, deviation)
		b.hold = now.Add(b.settings.Hold)
		return b.share
	}
	return planned
}
