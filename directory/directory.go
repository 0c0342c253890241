// Package directory maintains this daemon's view of the registered targets and of
// their load. Readers load an immutable snapshot through an atomic pointer; writers
// are serialised and publish a new snapshot for each change. The package performs no
// I/O and takes all clock readings as arguments.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Entry is one registration of a target.
type Entry struct {
	ID         types.TargetID
	Service    types.ServiceID
	Address    string
	DataCentre types.DataCentreID
	Slots      int
	Draining   bool
	// Role applies to engines only.
	Role types.Role
	// Version is the version of the target's software, empty if it does not state one.
	Version types.SoftwareVersion
	// StartedAt is the start time of the target in Unix milliseconds, which tells a
	// restarted target from the earlier one. 0 means unknown.
	StartedAt int64
	// Sequence counts the registrations that the target has written since StartedAt. 0 means unknown. It
	// is 0 in snapshots.
	Sequence int64
}

// Target is a target in a snapshot. All fields except Load are immutable.
type Target struct {
	Entry
	// Hash identifies the target in messages between daemons and in rendezvous
	// hashing.
	Hash uint64
	// Load is shared by all snapshots until the target restarts or changes its address.
	Load *Load
}

// Usable reports whether the target may receive new work at the given time.
func (t *Target) Usable(now time.Time) bool {
	return t.Admits(now) && t.Load.RetryAfter.Load() <= clock.Nanos(now)
}

// Admits reports whether the target allows new work at the given time: it is not leaving
// and has not requested a pause. A target that admits work may still be avoided because
// of failures (see Usable).
func (t *Target) Admits(now time.Time) bool {
	return !t.Leaving() && t.Load.RequestedPause(now) == 0
}

// Leaving reports whether the target is draining and must not receive new work.
func (t *Target) Leaving() bool {
	return t.Draining || t.Load.Leaving.Load() || t.Load.DeclaredLeaving()
}

// Lifetime identifies one run of a target, from one start to the next.
type Lifetime struct {
	// Target is the hash of the target's ID, as in Target.Hash.
	Target uint64
	// StartedAt is the field of Entry.
	StartedAt int64
}

// Lifetime returns the lifetime of the target.
func (t *Target) Lifetime() Lifetime { return Lifetime{t.Hash, t.StartedAt} }

// VersionTargets are the targets of a service that run one software version.
type VersionTargets struct {
	Version types.SoftwareVersion
	// Targets is sorted by hash and must not be modified.
	Targets []*Target
}

// Snapshot is an immutable set of the registered targets.
type Snapshot struct {
	byService map[types.ServiceID][]*Target
	byVersion map[types.ServiceID][]VersionTargets
	byID      map[types.TargetID]*Target
	byHash    map[uint64]*Target
	holders   *HolderIndex
}

// Holders returns the index of the engines that have cached prompt parts. It is shared by
// all snapshots of a directory.
func (s *Snapshot) Holders() *HolderIndex { return s.holders }

// Service returns the targets of a service, sorted by hash. The caller must not modify
// the slice.
func (s *Snapshot) Service(id types.ServiceID) []*Target { return s.byService[id] }

// Versions returns the targets of a service by software version, sorted by version. The caller
// must not modify the slice.
func (s *Snapshot) Versions(id types.ServiceID) []VersionTargets { return s.byVersion[id] }

// OfVersion returns the targets of a service that run a software version, sorted by hash. The
// caller must not modify the slice.
func (s *Snapshot) OfVersion(id types.ServiceID, v types.SoftwareVersion) []*Target {
	for _, o := range s.byVersion[id] {
		if o.Version == v {
			return o.Targets
		}
	}
	return nil
}

// Target returns the target with the given ID, or nil.
func (s *Snapshot) Target(id types.TargetID) *Target { return s.byID[id] }

// ByHash returns the target with the given hash, or nil.
func (s *Snapshot) ByHash(h uint64) *Target { return s.byHash[h] }

// Len returns the number of targets.
func (s *Snapshot) Len() int { return len(s.byID) }

// All calls f for each target.
func (s *Snapshot) All(f func(*Target)) {
	for _, t := range s.byID {
		f(t)
	}
}

// Change describes the effect of a registration or a removal on one target.
type Change struct {
	ID      types.TargetID
	Service types.ServiceID
	Kind    ChangeKind
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdded ChangeKind = "seen"
	// ChangeReturned marks a target that registered again before the end of the grace
	// period after its registration had lapsed.
	ChangeReturned ChangeKind = "returned"
	ChangeDraining ChangeKind = "draining"
	ChangeRole     ChangeKind = "role"
	ChangeRemoved  ChangeKind = "removed"
)

// Directory folds registrations into snapshots. All methods are safe for concurrent
// use. Load takes no lock; the other methods are serialised by a mutex.
type Directory struct {
	mu       sync.Mutex
	current  map[types.TargetID]*Target
	snapshot atomic.Pointer[Snapshot]
	// lapsedUntil holds the end of the grace period of each target whose registration
	// was removed with a grace period.
	lapsedUntil map[types.TargetID]time.Time
	// left holds the lifetimes that have declared that they are leaving. They outlive the
	// registration, which may lapse and return during an outage of the store.
	left lifetimeSet
	// written holds the newest known registration of each target, also of those that were removed.
	written writtenRegistrations
	holders HolderIndex
}

// IndexLimit is the number of targets of a service up to which no holders are recorded.
const IndexLimit = 160

// New returns an empty directory.
func New() *Directory {
	d := &Directory{current: map[types.TargetID]*Target{}, lapsedUntil: map[types.TargetID]time.Time{}, written: writtenRegistrations{}}
	d.publish()
	return d
}

// Load returns the current snapshot.
func (d *Directory) Load() *Snapshot { return d.snapshot.Load() }

// Put adds or updates a registration and returns the resulting changes.
func (d *Directory) Put(e Entry) (changes []Change) {
	d.Batch(func(b *Batch) { changes = b.Put(e) })
	return changes
}

// Batch collects the changes of one call of Directory.Batch.
type Batch struct {
	d       *Directory
	changed bool
}

// Batch calls f and then publishes the changes that f has made. The cost of publishing grows with
// the number of targets. f must not call other methods of d than Load.
func (d *Directory) Batch(f func(*Batch)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := Batch{d: d}
	f(&b)
	if b.changed {
		d.publish()
	}
}

// Put is Directory.Put.
func (b *Batch) Put(e Entry) []Change { return b.record(b.d.put(e, nil)) }

func (b *Batch) record(changes []Change) []Change {
	b.changed = b.changed || len(changes) > 0
	return changes
}

func (d *Directory) put(e Entry, changes []Change) []Change {
	if !d.written.accept(e, d.current[e.ID] != nil) {
		return changes
	}
	e.Sequence = 0
	_, lapsed := d.lapsedUntil[e.ID]
	delete(d.lapsedUntil, e.ID)
	old := d.current[e.ID]
	if old != nil && old.Entry == e {
		if lapsed {
			changes = append(changes, Change{e.ID, e.Service, ChangeReturned})
		}
		return changes
	}
	t := &Target{Entry: e, Hash: xxhash.Sum64String(string(e.ID))}
	kind := ChangeAdded
	if old != nil && old.Version != e.Version {
		// A request that uses an older snapshot must not be sent to the other version.
		old.Load.Leaving.Store(true)
	}
	switch {
	case old == nil || old.StartedAt != e.StartedAt || old.Address != e.Address || old.Version != e.Version:
		t.Load = NewLoad()
		if d.left.contains(t.Lifetime()) {
			t.Load.declareLeaving()
		}
	default:
		t.Load = old.Load
		if old.Role != e.Role {
			kind = ChangeRole
			t.Load.EndSuspension()
		}
		if e.Draining {
			kind = ChangeDraining
		} else if old.Draining {
			t.Load.Leaving.Store(false)
		}
	}
	d.current[e.ID] = t
	return append(changes, Change{e.ID, e.Service, kind})
}

// RecordHolders records in the index that an engine has used prompt parts. Services of up to
// IndexLimit targets have no index, as a choice looks at all of them.
func (d *Directory) RecordHolders(t *Target, parts []Part) {
	if len(d.Load().Service(t.Service)) <= IndexLimit {
		return
	}
	for _, p := range parts {
		d.holders.Use(p.Key, t.Hash)
	}
}

// DeclareLeaving records that a target has declared in one of its responses that it is
// leaving, and reports whether this was not known before. The declaration applies to
// this lifetime of the target, also if its registration is not known yet, has lapsed or
// changes its address.
func (d *Directory) DeclareLeaving(l Lifetime) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.left.add(l) {
		return false
	}
	if t := d.Load().ByHash(l.Target); t != nil && t.StartedAt == l.StartedAt {
		t.Load.declareLeaving()
	}
	return true
}

// DeclaredLeaving returns the lifetimes of registered targets that have declared that they
// are leaving, oldest declaration first.
func (d *Directory) DeclaredLeaving() (out []Lifetime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.left.order {
		if t := d.Load().ByHash(l.Target); t != nil && t.StartedAt == l.StartedAt {
			out = append(out, l)
		}
	}
	return out
}

// Remove folds the removal of a registration at the given time. With a grace period,
// Expire removes the target at its end unless the target registers again before: a
// registration that lapsed during an outage of the store says nothing about the health
// of the target.
func (d *Directory) Remove(id types.TargetID, now time.Time, grace time.Duration) (changes []Change) {
	d.Batch(func(b *Batch) { changes = b.Remove(id, now, grace) })
	return changes
}

// Remove is Directory.Remove.
func (b *Batch) Remove(id types.TargetID, now time.Time, grace time.Duration) []Change {
	d := b.d
	if d.current[id] == nil {
		return nil
	}
	if grace > 0 {
		if _, ok := d.lapsedUntil[id]; !ok {
			d.lapsedUntil[id] = now.Add(grace)
		}
		return nil
	}
	return b.record(d.remove(id, nil))
}

func (d *Directory) remove(id types.TargetID, changes []Change) []Change {
	t := d.current[id]
	if t == nil {
		return changes
	}
	// The flag is visible to requests that use an older snapshot.
	t.Load.Leaving.Store(true)
	delete(d.current, id)
	delete(d.lapsedUntil, id)
	return append(changes, Change{id, t.Service, ChangeRemoved})
}

// Replace folds a complete list of registrations. Targets that are missing from the
// list are removed as by Remove, unless the list has an unusable registration of them, as in unusable.
func (d *Directory) Replace(all []Entry, unusable []types.TargetID, now time.Time, grace time.Duration) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	listed := make(map[types.TargetID]bool, len(all))
	for _, id := range unusable {
		listed[id] = true
	}
	for _, e := range all {
		listed[e.ID] = true
		changes = d.put(e, changes)
	}
	for id := range d.current {
		if listed[id] {
			continue
		}
		if grace > 0 {
			if _, ok := d.lapsedUntil[id]; !ok {
				d.lapsedUntil[id] = now.Add(grace)
			}
			continue
		}
		changes = d.remove(id, changes)
	}
	if len(changes) > 0 {
		d.publish()
	}
	return changes
}

// Expire removes the targets whose grace period has ended.
func (d *Directory) Expire(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for id, until := range d.lapsedUntil {
		if !now.Before(until) {
			changes = d.remove(id, changes)
		}
	}
	if len(changes) > 0 {
		d.publish()
	}
	return changes
}

func (d *Directory) publish() {
	d.written.prune(d.current)
	s := &Snapshot{
		byService: map[types.ServiceID][]*Target{},
		byVersion: map[types.ServiceID][]VersionTargets{},
		byID:      make(map[types.TargetID]*Target, len(d.current)),
		byHash:    make(map[uint64]*Target, len(d.current)),
		holders:   &d.holders,
	}
	for id, t := range d.current {
		s.byID[id] = t
		s.byHash[t.Hash] = t
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for id, all := range s.byService {
		slices.SortFunc(all, func(a, b *Target) int { return cmp.Compare(a.Hash, b.Hash) })
		s.byVersion[id] = groupByVersion(all)
	}
	d.snapshot.Store(s)
}

// groupByVersion returns the targets of a service by software version, sorted by version. With one
// version, which is the usual case, the result shares the slice.
func groupByVersion(all []*Target) []VersionTargets {
	mixed := slices.ContainsFunc(all, func(t *Target) bool { return t.Version != all[0].Version })
	if !mixed {
		return []VersionTargets{{all[0].Version, all}}
	}
	groups := map[types.SoftwareVersion][]*Target{}
	for _, t := range all {
		groups[t.Version] = append(groups[t.Version], t)
	}
	out := make([]VersionTargets, 0, len(groups))
	for v, targets := range groups {
		out = append(out, VersionTargets{v, targets})
	}
	slices.SortFunc(out, func(a, b VersionTargets) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
