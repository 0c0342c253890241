// Package routing chooses the target of a request from an immutable snapshot
// of the fleet. It performs no I/O and starts no goroutines. Snapshots are
// replaced by read-copy-update: readers load a pointer to the current Fleet and
// a single writer publishes a new one.
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

// Counters counts the work that this daemon has dispatched to one target. The
// counters are shared between snapshots: every Fleet that contains the target
// points to the same Counters.
type Counters struct {
	// InFlight is the number of this daemon's requests in progress on the target.
	InFlight atomic.Int64
	// QueuedPrefill is the number of prompt tokens of dispatched requests that have
	// not produced their first output token.
	QueuedPrefill atomic.Int64
	// Decoding is the number of streams that have delivered a token and are not
	// complete.
	Decoding atomic.Int64
	// Failures is the number of consecutive failed dispatches.
	Failures atomic.Int64
	// RetryAfter is the end of the back-off after a failure, as returned by
	// clock.Nanos. The target gets no work before it.
	RetryAfter atomic.Int64
	// Limit is the adaptive concurrency limit for this daemon's requests on the
	// target, in units of 1/LimitUnit requests; 0 means that there is no limit yet.
	Limit atomic.Int64
}

// AtLimit reports whether this daemon's requests on the target have reached the
// concurrency limit.
func (c *Counters) AtLimit() bool {
	limit := c.Limit.Load()
	return limit > 0 && c.InFlight.Load() >= limit/LimitUnit
}

// Target is one target in a snapshot. All fields are immutable, except for the
// values that Counters points to.
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
	// Leaving is set while the target drains: it finishes its requests and takes no
	// new ones.
	Leaving bool
	// Changing is set while the target carries out an order and takes no requests.
	Changing bool
	Rates    types.EngineRates
	// Report is the last load report of the target.
	Report types.LoadReport
	// HasReport is set once a report has arrived.
	HasReport bool
	// LocalAtReport is this daemon's work on the target at Report.At.
	LocalAtReport Load
	// PeerDelta is the change in the other daemons' work since Report.At, according
	// to their load digests. PeerDeltaAt is the time to which the digests apply.
	PeerDelta   Load
	PeerDeltaAt time.Time
	// Cache is the reported content of the engine's prefix cache, or nil if nothing
	// was reported.
	Cache *CacheView
	// Hash is the target's position on the hash ring. NewFleet sets it.
	Hash uint64
	// Counters is shared with the other snapshots that contain the target.
	Counters *Counters
}

// Fleet is an immutable snapshot of all targets that a daemon can use.
type Fleet struct {
	Revision types.Revision
	// LocalDataCentre is the data centre of this daemon, whose targets are preferred.
	LocalDataCentre types.DataCentreID
	targets         []*Target
	byModel         map[types.ModelID][]*Target
	byTarget        map[types.TargetID]*Target
	pools           map[poolKey]*pool
}

// poolKey identifies the targets that can serve one kind of request: the targets
// of a service, or the engines of a model, optionally limited to an adapter, to a
// version or to both.
type poolKey struct {
	service types.ServiceID
	model   types.ModelID
	adapter types.AdapterID
	version string
}

// pool contains the targets of one poolKey that accept new work.
type pool struct {
	local, remote group
	// all contains the targets of all data centres.
	all ring
}

// group contains the targets of a pool that are in the local data centre, or those
// that are in other data centres.
type group struct {
	all    ring
	byRole [types.RoleCount]ring
}

// NewFleet builds a snapshot of the targets. It retains the slice and sets the Hash
// of each target.
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
		f.addToPools(t)
	}
	for _, p := range f.pools {
		p.buildIndexes()
	}
	return f
}

// addToPools adds a target to its pools. It must be called in the order of the
// targets' hashes.
func (f *Fleet) addToPools(t *Target) {
	if t.Kind == types.KindPlain {
		f.addToPool(poolKey{service: t.Service}, t)
		return
	}
	f.byModel[t.Model] = append(f.byModel[t.Model], t)
	f.addToPool(poolKey{model: t.Model}, t)
	f.addToPool(poolKey{model: t.Model, version: t.Version}, t)
	for _, a := range t.Adapters {
		f.addToPool(poolKey{model: t.Model, adapter: a}, t)
		f.addToPool(poolKey{model: t.Model, adapter: a, version: t.Version}, t)
	}
}

func (f *Fleet) addToPool(k poolKey, t *Target) {
	p := f.pools[k]
	if p == nil {
		p = &pool{}
		f.pools[k] = p
	}
	if t.Leaving || t.Changing {
		return
	}
	p.all.add(t)
	g := &p.local
	if t.DataCentre != f.LocalDataCentre {
		g = &p.remote
	}
	g.all.add(t)
	if t.Role < types.RoleCount {
		g.byRole[t.Role].add(t)
	}
}

func (p *pool) buildIndexes() {
	p.all.buildIndex()
	for _, g := range []*group{&p.local, &p.remote} {
		g.all.buildIndex()
		for i := range g.byRole {
			g.byRole[i].buildIndex()
		}
	}
}

// findPool returns the pool for a request. If the fleet has no such pool, it
// returns nil and the reason for refusal.
func (f *Fleet) findPool(r *Request) (*pool, types.RefusalReason) {
	if r.Service != "" {
		return f.pools[poolKey{service: r.Service}], types.RefusedUnknownService
	}
	p := f.pools[poolKey{model: r.Model, adapter: r.Adapter, version: r.Version}]
	if p == nil && len(f.byModel[r.Model]) > 0 {
		return nil, types.RefusedNoTarget // no engine has the adapter or version loaded
	}
	return p, types.RefusedUnknownModel
}

// Target returns the target with the given identifier, or nil.
func (f *Fleet) Target(id types.TargetID) *Target { return f.byTarget[id] }

// Targets returns all targets. The caller must not modify the slice.
func (f *Fleet) Targets() []*Target { return f.targets }

// Engines returns the engines that serve the model. The caller must not modify the
// slice.
func (f *Fleet) Engines(m types.ModelID) []*Target { return f.byModel[m] }

// Request contains the properties of a request that routing depends on.
type Request struct {
	Model   types.ModelID
	Adapter types.AdapterID
	// Version, if not empty, is the required version of the model.
	Version string
	// Service, if not empty, selects the targets of a plain service instead of the
	// engines of Model.
	Service types.ServiceID
	// PromptTokens is the length of the prompt, MaxTokens the largest length of the
	// output.
	PromptTokens int
	MaxTokens    int
	// Blocks contains a chained hash for each complete block of types.BlockTokens
	// prompt tokens, as returned by HashBlocks.
	Blocks []uint64
	// AffinityKey, if not zero, selects the target by consistent hashing, regardless
	// of load.
	AffinityKey uint64
	// Deadline is the time by which the first token is due; zero means none.
	Deadline time.Time
	// TokenInterval is the maximum time between tokens; 0 means no limit.
	TokenInterval time.Duration
	// BudgetShare is the fraction of the time until the deadline that the predicted
	// time to first token may take, as set by admission; 0 means all of it.
	BudgetShare float64
	// Combined requires that one engine does both prefill and decode.
	Combined bool
	// Excluded lists targets that must not be chosen for this request.
	Excluded []types.TargetID
}

func (r *Request) excludes(id types.TargetID) bool {
	return slices.Contains(r.Excluded, id)
}

// budget returns the time that the first token may take. ok is false if the
// request has no deadline.
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
