// Package directory keeps what this daemon knows of the targets that have
// registered themselves. Readers load an immutable snapshot by one pointer; a
// single writer folds registrations into a new one. The package performs no
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
	// Role matters for engines only.
	Role types.Role
	// StartedAt identifies the start of the target, in Unix milliseconds; 0 means
	// that it is not known.
	StartedAt int64
}

// Target is a target in a snapshot. All fields but Load are immutable.
type Target struct {
	Entry
	// Hash identifies the target in messages between daemons and in rendezvous
	// hashing.
	Hash uint64
	// Load is shared by all snapshots with this start of the target.
	Load *Load
}

// Usable reports whether the target may get new work at now.
func (t *Target) Usable(now time.Time) bool {
	return !t.Draining && !t.Load.Leaving.Load() && t.Load.RetryAfter.Load() <= clock.Nanos(now)
}

// Leaving reports whether the target must get no new work.
func (t *Target) Leaving() bool { return t.Draining || t.Load.Leaving.Load() }

// Snapshot is the set of known targets. It is immutable.
type Snapshot struct {
	byService map[types.ServiceID][]*Target
	byID      map[types.TargetID]*Target
	byHash    map[uint64]*Target
}

// Service returns the targets of a service in the order of their hashes. The
// caller must not change the slice.
func (s *Snapshot) Service(id types.ServiceID) []*Target { return s.byService[id] }

// Target returns a target, or nil.
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

// Change says what a fold did to one target.
type Change struct {
	ID      types.TargetID
	Service types.ServiceID
	Kind    ChangeKind
}

// ChangeKind is a kind of Change.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdded ChangeKind = "seen"
	// ChangeReturned is a target that registers again after a lapse, before the end
	// of its grace period.
	ChangeReturned ChangeKind = "returned"
	ChangeDraining ChangeKind = "draining"
	ChangeRole     ChangeKind = "role"
	ChangeRemoved  ChangeKind = "removed"
)

// Directory folds registrations. Load may be called from any goroutine; the
// other methods are serialised by a lock that no reader takes.
type Directory struct {
	mu       sync.Mutex
	current  map[types.TargetID]*Target
	snapshot atomic.Pointer[Snapshot]
	// missing holds entries that were removed while the store was away, and
	// until when they still count.
	missing map[types.TargetID]time.Time
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{current: map[types.TargetID]*Target{}, missing: map[types.TargetID]time.Time{}}
	d.publish()
	return d
}

// Load returns the current snapshot.
func (d *Directory) Load() *Snapshot { return d.snapshot.Load() }

// Put folds a registration.
func (d *Directory) Put(e Entry) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.put(e, nil)
	if len(changes) > 0 {
		d.publish()
	}
	return changes
}

func (d *Directory) put(e Entry, changes []Change) []Change {
	_, lapsed := d.missing[e.ID]
	delete(d.missing, e.ID)
	old := d.current[e.ID]
	if old != nil && old.Entry == e {
		if lapsed {
			changes = append(changes, Change{e.ID, e.Service, ChangeReturned})
		}
		return changes
	}
	t := &Target{Entry: e, Hash: xxhash.Sum64String(string(e.ID))}
	what := ChangeAdded
	switch {
	case old == nil || old.StartedAt != e.StartedAt || old.Address != e.Address:
		t.Load = NewLoad()
	default:
		t.Load = old.Load
		if old.Role != e.Role {
			what = ChangeRole
			t.Load.EndSuspension()
		}
		if e.Draining {
			what = ChangeDraining
		} else if old.Draining {
			t.Load.Leaving.Store(false)
		}
	}
	d.current[e.ID] = t
	return append(changes, Change{e.ID, e.Service, what})
}

// Remove folds the removal of a registration at now. With a grace period the
// target stays until it ends, unless it registers again: a registration that
// lapsed while the store was away says nothing about the target.
func (d *Directory) Remove(id types.TargetID, now time.Time, grace time.Duration) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current[id] == nil {
		return nil
	}
	if grace > 0 {
		if _, ok := d.missing[id]; !ok {
			d.missing[id] = now.Add(grace)
		}
		return nil
	}
	changes := d.remove(id, nil)
	d.publish()
	return changes
}

func (d *Directory) remove(id types.TargetID, changes []Change) []Change {
	t := d.current[id]
	if t == nil {
		return changes
	}
	// Requests that hold an older snapshot see the flag.
	t.Load.Leaving.Store(true)
	delete(d.current, id)
	delete(d.missing, id)
	return append(changes, Change{id, t.Service, ChangeRemoved})
}

// Replace folds a complete list of registrations: targets that are not on it
// are removed like by Remove.
func (d *Directory) Replace(all []Entry, now time.Time, grace time.Duration) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	listed := make(map[types.TargetID]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		changes = d.put(e, changes)
	}
	for id := range d.current {
		if listed[id] {
			continue
		}
		if grace > 0 {
			if _, ok := d.missing[id]; !ok {
				d.missing[id] = now.Add(grace)
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

// Expire removes the targets whose grace period is over.
func (d *Directory) Expire(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for id, until := range d.missing {
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
	s := &Snapshot{
		byService: map[types.ServiceID][]*Target{},
		byID:      make(map[types.TargetID]*Target, len(d.current)),
		byHash:    make(map[uint64]*Target, len(d.current)),
	}
	for id, t := range d.current {
		s.byID[id] = t
		s.byHash[t.Hash] = t
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for _, all := range s.byService {
		slices.SortFunc(all, func(a, b *Target) int { return cmp.Compare(a.Hash, b.Hash) })
	}
	d.snapshot.Store(s)
}
