// Package routing chooses the target of a request from an immutable snapshot
// of the fleet. It performs no I/O and starts no goroutines. The snapshot is
// exchanged by read-copy-update: readers load one pointer, one writer
// publishes a new Fleet.
package routing

import (
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

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
	// RetryAfter is the time in Unix nanoseconds before which the target gets
	// no work after a failure.
	RetryAfter atomic.Int64
	// Limit is the adaptive concurrency limit for this daemon's requests on the
	// target; 0 means no limit yet.
	Limit atomic.Int64
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
	// Report is the last load report, corrected by the digests of peers.
	Report types.LoadReport
	// HasReport says whether any report has arrived.
	HasReport bool
	// Hash identifies the target in rendezvous hashing.
	Hash uint64
	// Counters is shared between snapshots.
	Counters *Counters
}

// Fleet is an immutable snapshot of all targets that a daemon can use.
type Fleet struct {
	Revision types.Revision
	// Local is the data centre of this daemon; its targets are preferred.
	Local    types.DataCentreID
	targets  []*Target
	byModel  map[types.ModelID][]*Target
	byPlain  map[types.ServiceID][]*Target
	byTarget map[types.TargetID]*Target
}

// NewFleet builds a snapshot from targets. It keeps the slice.
func NewFleet(rev types.Revision, local types.DataCentreID, targets []*Target) *Fleet {
	f := &Fleet{
		Revision: rev,
		Local:    local,
		targets:  targets,
		byModel:  make(map[types.ModelID][]*Target),
		byPlain:  make(map[types.ServiceID][]*Target),
		byTarget: make(map[types.TargetID]*Target, len(targets)),
	}
	for _, t := range targets {
		t.Hash = hashString(string(t.ID))
		f.byTarget[t.ID] = t
		if t.Kind == types.KindPlain {
			f.byPlain[t.Service] = append(f.byPlain[t.Service], t)
			continue
		}
		f.byModel[t.Model] = append(f.byModel[t.Model], t)
	}
	return f
}

// Target returns the target with the given identifier, or nil.
func (f *Fleet) Target(id types.TargetID) *Target { return f.byTarget[id] }

// Targets returns all targets. The caller must not change the slice.
func (f *Fleet) Targets() []*Target { return f.targets }

// Engines returns the engines that carry the model. The caller must not change
// the slice.
func (f *Fleet) Engines(m types.ModelID) []*Target { return f.byModel[m] }

// Plain returns the targets of a plain service. The caller must not change the
// slice.
func (f *Fleet) Plain(s types.ServiceID) []*Target { return f.byPlain[s] }

// Request describes what the router needs to know of one request.
type Request struct {
	Model   types.ModelID
	Adapter types.AdapterID
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
	// Excluded targets are not used again for this request.
	Excluded []types.TargetID
}

func (r *Request) excludes(id types.TargetID) bool {
	for _, e := range r.Excluded {
		if e == id {
			return true
		}
	}
	return false
}
