// Package routing chooses the target of a request from an immutable snapshot
// of the fleet. It performs no I/O and starts no goroutines. The snapshot is
// exchanged by read-copy-update: readers load one pointer, one writer
// publishes a new Fleet.
package routing

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// LimitUnit is the value of Counters.Limit for one request.
const LimitUnit = 1000

// Counters holds the load that this daemon itself puts on one target. The
// counters outlive snapshots: every Fleet that contains the target points to
// the same Counters.
type Counters struct {
	// InFlight counts requests of this daemon that the target is working on.
	InFlight atomic.Int64
	// QueuedPrefill counts prompt tokens that were dispatched and have not
	// reached their first output token.
	QueuedPrefill atomic.Int64
	// Decoding counts streams that have delivered a token and are not complete.
	Decoding atomic.Int64
	// Failures counts consecutive failed dispatches.
	Failures atomic.Int64
	// RetryAfter is the time in nanoseconds of clock.Nanos before which the target gets
	// no work after a failure.
	RetryAfter atomic.Int64
	// Limit is the adaptive concurrency limit for this daemon's requests on the
	// target in 1/LimitUnit requests; 0 means no limit yet.
	Limit atomic.Int64
}

// Full reports whether the target has as many requests of this daemon as its
// limit allows.
func (c *Counters) AtLimit() bool {
	limit := c.Limit.Load()
	return limit > 0 && c.InFlight.Load() >= limit/LimitUnit
}

// Target is one target in a snapshot. All fields but Counters are immutable.
type Target struct {
	ID         types.TargetID
	Service    types.ServiceID
	Kind       types.TargetKind
	Address    string
	DataCentre types.DataCentreID
	Model      types.ModelID
	Version    string
	Adapters   []types.AdapterID
	Role       types.Role
	Leaving    bool
	Changing   bool
	Rates      types.EngineRates
	// Report is the last load report.
	Report types.LoadReport
	// HasReport says whether any report has arrived.
	HasReport bool
	// OwnAtReport is this daemon's own work on the target at Report.At.
	LocalAtReport Load
	// Peers is the change of the other daemons' work since Report.At, as far as
	// digests tell; PeersAt is the time that they describe.
	PeerDelta   Load
	PeerDeltaAt time.Time
	// Cache is what is known of the engine's prefix cache; nil when nothing is.
	Cache *CacheView
	// Hash identifies the target in rendezvous hashing.
	Hash uint64
	// Counters is shared between snapshots.
	Counters *Counters
}

// Fleet is an immutable snapshot of all targets that a daemon can use.
type Fleet struct {
	Revision types.Revision
	// Local is the data centre of this daemon; its targets are preferred.
	LocalDataCentre types.DataCentreID
	targets         []*Target
	byModel         map[types.ModelID][]*Target
	byTarget        map[types.TargetID]*Target
	pools           map[poolKey]*pool
}

// poolKey names the targets that can serve a kind of request: a service, or a
// model with or without a given adapter and a given version.
type poolKey struct {
	service types.ServiceID
	model   types.ModelID
	adapter types.AdapterID
	version string
}

// pool holds the targets of one poolKey that take new work.
type pool struct {
	local, remote group
	// any holds the targets of all data centres.
	any ring
}

// group holds the targets of a pool on one side of the data centre's border.
type group struct {
	all  ring
	role [types.RoleCount]ring
}

// NewFleet builds a snapshot from targets. It keeps the slice.
func NewFleet(rev types.Revision, local types.DataCentreID, targets []*Target) *Fleet {
	f := &Fleet{
		Revision:        rev,
		LocalDataCentre: local,
		targets:         targets,
		byModel:         make(map[types.ModelID][]*Target),
		byTarget:        make(map[types.TargetID]*Target, len(targets)),
		pools:           make(map[poolKey]*pool),
	}
	for _, t := range targets {
		t.Hash = hashString(string(t.ID))
		f.byTarget[t.ID] = t
	}
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b *Target) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, t := range ordered {
		f.index(t)
	}
	for _, p := range f.pools {
		p.finish()
	}
	return f
}

// index adds a target to its pools; targets come in the order of their hashes.
func (f *Fleet) index(t *Target) {
	if t.Kind == types.KindPlain {
		f.addTo(poolKey{service: t.Service}, t)
		return
	}
	f.byModel[t.Model] = append(f.byModel[t.Model], t)
	f.addTo(poolKey{model: t.Model}, t)
	f.addTo(poolKey{model: t.Model, version: t.Version}, t)
	for _, a := range t.Adapters {
		f.addTo(poolKey{model: t.Model, adapter: a}, t)
		f.addTo(poolKey{model: t.Model, adapter: a, version: t.Version}, t)
	}
}

func (f *Fleet) addTo(k poolKey, t *Target) {
	p := f.pools[k]
	if p == nil {
		p = &pool{}
		f.pools[k] = p
	}
	if t.Leaving || t.Changing {
		return
	}
	p.any.add(t)
	g := &p.local
	if t.DataCentre != f.LocalDataCentre {
		g = &p.remote
	}
	g.all.add(t)
	if t.Role < types.RoleCount {
		g.role[t.Role].add(t)
	}
}

func (p *pool) finish() {
	p.any.finish()
	for _, g := range []*group{&p.local, &p.remote} {
		g.all.finish()
		for i := range g.role {
			g.role[i].finish()
		}
	}
}

// pool returns the targets for a request, or nil and the reason when the fleet
// has no such target.
func (f *Fleet) pool(r *Request) (*pool, types.RefusalReason) {
	if r.Service != "" {
		return f.pools[poolKey{service: r.Service}], types.RefusedUnknownService
	}
	p := f.pools[poolKey{model: r.Model, adapter: r.Adapter, version: r.Version}]
	if p == nil && len(f.byModel[r.Model]) > 0 {
		return nil, types.RefusedNoTarget // the adapter or version is not loaded now
	}
	return p, types.RefusedUnknownModel
}

// Target returns the target with the given identifier, or nil.
func (f *Fleet) Target(id types.TargetID) *Target { return f.byTarget[id] }

// Targets returns all targets. The caller must not change the slice.
func (f *Fleet) Targets() []*Target { return f.targets }

// Engines returns the engines that carry the model. The caller must not change
// the slice.
func (f *Fleet) Engines(m types.ModelID) []*Target { return f.byModel[m] }

// Request describes what the router needs to know of one request.
type Request struct {
	Model   types.ModelID
	Adapter types.AdapterID
	// Version, if not empty, is the only acceptable version of the model.
	Version string
	Service types.ServiceID
	// PromptTokens and MaxTokens are in tokens.
	PromptTokens int
	MaxTokens    int
	// Blocks holds one chained hash for each complete block of
	// types.BlockTokens prompt tokens.
	Blocks []uint64
	// AffinityKey, if not zero, fixes the order of preference by rendezvous hashing.
	AffinityKey uint64
	// Deadline is the time by which the first token is due.
	Deadline time.Time
	// TokenInterval is the longest acceptable time between tokens; 0 means no limit.
	TokenInterval time.Duration
	// BudgetShare is the part of the time until the deadline that the predicted
	// time to the first token may take, from admission; 0 means all of it.
	BudgetShare float64
	// Combined excludes decisions that split prefill and decode between two engines.
	Combined bool
	// Excluded targets are not used again for this request.
	Excluded []types.TargetID
}

func (r *Request) excludes(id types.TargetID) bool {
	return slices.Contains(r.Excluded, id)
}

// budget returns the time that the first token may take; ok is false without a
// deadline.
func (r *Request) budget(now time.Time) (d time.Duration, ok bool) {
	if r.Deadline.IsZero() {
		return 0, false
	}
	d = r.Deadline.Sub(now)
	if r.BudgetShare > 0 {
		d = time.Duration(float64(d) * r.BudgetShare)
	}
	return d, true
}
