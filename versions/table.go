package versions

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Settings are the bounds on which the agreement of the daemons is based.
type Settings struct {
	// Propagation is the longest time from the write of a record until every daemon has it.
	Propagation time.Duration
	// MaxAge is the longest time from the begin of a stream to a request that continues it, until
	// SetMaxAge is called.
	MaxAge time.Duration
	// ViewAge is the longest time until every daemon has registered a change of the targets. With 0
	// streams of a version without targets wait for the next plan to be in force.
	ViewAge time.Duration
	// Now reads a clock that is not adjusted and counts suspensions.
	Now func() clock.Instant
}

// Table holds the plans of all services. Assign, Resolve and Several load an immutable snapshot, and
// RecordBegin stores a pointer; the other methods are serialised by a mutex. All methods are safe for concurrent use.
type Table struct {
	settings Settings
	snapshot atomic.Pointer[map[types.ServiceID]*service]
	// confirmed is the clock.Instant as of which the plans are known to be the newest ones, and viewed that
	// as of which the registered targets are, 0 if it is not tracked.
	confirmed, viewed atomic.Int64
	maxAge            atomic.Int64 // time.Duration
	begun             begunStreams

	mu sync.Mutex // serialises writers
}

// service is the immutable state of one service.
type service struct {
	record  *Record       // nil until a record is known
	learned clock.Instant // when the record was applied
	past    []pastPlan
	// registered are the targets of each version that can begin streams.
	registered map[types.SoftwareVersion]int
	// lost holds since when versions have had no targets, since lostDefault those that had none from
	// the first registration on.
	lost        map[types.SoftwareVersion]clock.Instant
	lostDefault clock.Instant
	// withdrawn holds since when the newest plan lacks a version of an earlier one.
	withdrawn map[types.SoftwareVersion]clock.Instant
	// returned holds when versions last had targets again.
	returned map[types.SoftwareVersion]clock.Instant
	// unplanned are the versions that were registered without a record.
	unplanned map[types.SoftwareVersion]bool
	// unsaved reports that the store has an older record than this daemon, or none.
	unsaved bool
}

// pastPlan is a plan that was replaced at the given time at the latest.
type pastPlan struct {
	Plan
	replaced clock.Instant
}

// never is an Instant before every other one, with which differences do not overflow.
const never = math.MinInt64 / 2

// NewTable returns a table without plans.
func NewTable(s Settings) *Table {
	t := &Table{settings: s}
	t.snapshot.Store(&map[types.ServiceID]*service{})
	t.confirmed.Store(never)
	t.SetMaxAge(s.MaxAge)
	return t
}

// SetMaxAge replaces Settings.MaxAge. Plans are retained for that long, and a daemon that has just
// started may know less than their age, so that a longer time than streams last makes it refuse to
// resume them.
func (t *Table) SetMaxAge(d time.Duration) { t.maxAge.Store(int64(d)) }

func (t *Table) longestAge() time.Duration { return time.Duration(t.maxAge.Load()) }

// Confirm records that no newer record than those in the table existed at the given time.
func (t *Table) Confirm(at clock.Instant) {
	for {
		old := t.confirmed.Load()
		if old >= int64(at) || t.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// ConfirmView records that the registered targets were the newest ones at the given time.
func (t *Table) ConfirmView(at clock.Instant) { t.viewed.Store(int64(max(at, 1))) }

// viewMargin is the time beyond Settings.ViewAge for which the registered targets may be unconfirmed. They
// are confirmed every half second.
const viewMargin = time.Second

// outdated reports whether there may be a record that every other daemon has, or a change of the targets
// that every other daemon has registered.
func (t *Table) outdated() bool {
	now, viewed := t.settings.Now(), clock.Instant(t.viewed.Load())
	return now.Sub(clock.Instant(t.confirmed.Load())) > t.settings.Propagation || viewed != 0 && now.Sub(viewed) > t.settings.ViewAge+viewMargin
}

// Assign returns the version at which a stream begins. It returns false if there is no plan, or if
// the plan may be outdated and more than one version is in use. Without a record the only version
// that has been registered counts as the plan.
func (t *Table) Assign(id types.ServiceID, request types.RequestID) (types.SoftwareVersion, bool) {
	s := (*t.snapshot.Load())[id]
	switch {
	case s == nil:
		return "", false
	case s.record == nil && len(s.unplanned) > 1:
		return "", false
	case s.record == nil:
		return s.onlyRegistered()
	case t.several(s) && t.outdated():
		return "", false
	}
	v, ok := s.record.Current.Version(request)
	if ok && s.record.Next != nil && t.isLost(s, v) {
		if next, _ := s.record.Next.Version(request); s.registered[next] > 0 {
			return next, true
		}
	}
	return v, ok && t.mayBegin(s, v)
}

// mayBegin reports whether streams may begin at a version of the current plan: others may count one as gone
// (see goneSince) that this daemon has not registered. If several versions are in use, the same holds for
// one that has just returned, which others may not register if it is lost again, and for one that the next
// plan lacks, because it had lost its targets.
func (t *Table) mayBegin(s *service, v types.SoftwareVersion) bool {
	switch {
	case s.registered == nil:
		return true
	case s.registered[v] == 0:
		return false
	case !t.several(s):
		return true
	}
	at, returned := s.returned[v]
	recent := returned && t.settings.Now().Sub(at) <= t.settings.ViewAge
	return s.record.newest().weight(v) > 0 && !recent
}

// isLost reports whether a version has been without targets for so long that its streams may begin by
// the next plan. By then every daemon knows of the loss, and was told of a return before it resolves
// streams again. The next plan is older than any return that this daemon may not know, so that
// daemons that start after the return have it.
func (t *Table) isLost(s *service, v types.SoftwareVersion) bool {
	now := t.settings.Now()
	if t.settings.ViewAge <= 0 || len(s.registered) == 0 || s.registered[v] > 0 || now.Sub(s.learned) <= t.settings.ViewAge {
		return false
	}
	return now.Sub(s.lostSince(v)) > 2*t.settings.ViewAge
}

// Resolve returns the version that began a stream at most maxAge ago. first is the ID of the request
// that began it, empty if unknown. It returns false if plans by which the stream may have begun
// differ, or if this daemon may lack one of them. A stream that this daemon began needs no plan.
func (t *Table) Resolve(id types.ServiceID, first types.RequestID, maxAge time.Duration) (types.SoftwareVersion, bool) {
	if v, ok := t.begun.find(id, first, t.settings.Now(), t.settings.Propagation+t.longestAge()); ok {
		return v, true
	}
	s := (*t.snapshot.Load())[id]
	if s == nil || s.record == nil || maxAge > t.longestAge() || t.several(s) && t.outdated() {
		return "", false
	}
	oldest := t.settings.Now().Add(-t.settings.Propagation - maxAge)
	plans := []Plan{s.record.Current}
	if s.record.Next != nil {
		plans = append(plans, *s.record.Next)
	}
	for _, p := range s.past {
		if p.replaced >= oldest {
			plans = append(plans, p.Plan)
		}
	}
	version, ok := t.resolve(s, plans, first, oldest)
	if !ok || s.absentSince(version, oldest) {
		return "", false
	}
	return version, true
}

// resolve returns the version at which a stream can only have begun since the given time, by one of the
// plans. A plan has begun no such stream at a version that has gone.
func (t *Table) resolve(s *service, plans []Plan, first types.RequestID, oldest clock.Instant) (version types.SoftwareVersion, found bool) {
	lost := oldest.Add(t.settings.Propagation - t.settings.ViewAge - viewMargin)
	gone := func(v types.SoftwareVersion) bool { return t.goneSince(s, v, lost) }
	for _, p := range plans {
		v, known := p.resolve(first, gone)
		switch {
		case !known:
			return "", false
		case gone(v):
		case found && v != version:
			return "", false
		default:
			version, found = v, true
		}
	}
	return version, found
}

// goneSince reports whether the version has had no targets since the given time and no stream has begun
// there later than every daemon that begins streams has registered that. A return that this daemon has not
// registered was shorter than Settings.ViewAge, within which no stream begins there, or has happened later
// than every daemon had the plan that lacks the version, by which no stream begins there again.
func (t *Table) goneSince(s *service, v types.SoftwareVersion, then clock.Instant) bool {
	if s.registered == nil || s.registered[v] > 0 {
		return false
	}
	withdrawn, planned := s.learned, s.record.newest().weight(v) > 0
	if at, ok := s.withdrawn[v]; ok {
		withdrawn = at
	}
	return !planned && s.lostSince(v) < then && t.settings.Now().Sub(withdrawn) > t.settings.Propagation
}

// absentSince reports whether the version had no targets at some time since then. Its streams may
// have begun by a next plan that this daemon does not have yet.
func (s *service) absentSince(v types.SoftwareVersion, then clock.Instant) bool {
	if s.registered == nil {
		return false
	}
	at, returned := s.returned[v]
	return s.registered[v] == 0 || returned && at >= then
}

// resolve is Version, or the only version that has not gone if the ID is unknown. If all have, it
// returns one of them.
func (p Plan) resolve(id types.RequestID, gone func(types.SoftwareVersion) bool) (v types.SoftwareVersion, ok bool) {
	if id != "" {
		return p.Version(id)
	}
	for _, share := range p.Shares {
		if ok && gone(share.Version) {
			continue
		}
		if ok && !gone(v) {
			return "", false
		}
		v, ok = share.Version, true
	}
	return v, ok
}

// Several reports whether more than one version of the service is registered or may be in use.
func (t *Table) Several(id types.ServiceID) bool {
	s := (*t.snapshot.Load())[id]
	return s != nil && t.several(s)
}

// Record returns the newest known record of a service, or nil. The caller must not modify it.
func (t *Table) Record(id types.ServiceID) *Record {
	if s := (*t.snapshot.Load())[id]; s != nil {
		return s.record
	}
	return nil
}

// Services returns the services that have a plan or registered targets, sorted.
func (t *Table) Services() []types.ServiceID {
	return slices.Sorted(maps.Keys(*t.snapshot.Load()))
}

// Apply takes over a record unless the table has it or a newer one, and reports whether it did.
func (t *Table) Apply(id types.ServiceID, r Record) (applied bool) {
	t.update(id, func(s *service) {
		if s.record != nil && !r.Newer(s.record) {
			s.unsaved = s.unsaved && s.record.Newer(&r)
			return
		}
		applied = true
		now := t.settings.Now()
		s.past = t.replacedPlans(s, &r, now)
		s.withdrawn = s.withdrawnBy(&r, now)
		s.record, s.learned, s.unsaved = &r, now, false
	})
	return applied
}

// withdrawnBy returns the versions of earlier plans that the newest plan of a record lacks, and since when.
func (s *service) withdrawnBy(r *Record, now clock.Instant) map[types.SoftwareVersion]clock.Instant {
	withdrawn, newest := map[types.SoftwareVersion]clock.Instant{}, r.newest()
	earlier := []Plan{r.Current}
	for i := range r.Previous {
		earlier = append(earlier, r.Previous[i].Plan)
	}
	if s.record != nil {
		earlier = append(earlier, s.record.newest())
	}
	for _, p := range earlier {
		for _, share := range p.Shares {
			if newest.weight(share.Version) == 0 {
				withdrawn[share.Version] = now
			}
		}
	}
	for v, since := range s.withdrawn {
		if newest.weight(v) == 0 {
			withdrawn[v] = since
		}
	}
	return withdrawn
}

// replacedPlans returns the past plans after a record. A plan keeps the earliest time by which it is
// known to have been replaced: when this daemon learned it, or the time that follows from its age.
func (t *Table) replacedPlans(s *service, r *Record, now clock.Instant) (past []pastPlan) {
	add := func(p pastPlan) {
		if r.active(p.Plan) {
			return
		}
		if i := slices.IndexFunc(past, func(q pastPlan) bool { return q.Equal(p.Plan) }); i >= 0 {
			past[i].replaced = min(past[i].replaced, p.replaced)
			return
		}
		past = append(past, p)
	}
	for _, p := range s.past {
		add(p)
	}
	if s.record != nil {
		add(pastPlan{s.record.Current, now})
		if s.record.Next != nil {
			add(pastPlan{*s.record.Next, now})
		}
	}
	for _, p := range r.Previous {
		add(pastPlan{p.Plan, now.Add(-p.Age)})
	}
	return slices.DeleteFunc(past, func(p pastPlan) bool { return t.over(p, now) })
}

// over reports whether no stream that began by the plan can be continued any more.
func (t *Table) over(p pastPlan, now clock.Instant) bool {
	return now.Sub(p.replaced) > t.settings.Propagation+t.longestAge()
}

// Register sets the targets of each version of a service that can begin streams.
func (t *Table) Register(id types.ServiceID, targets map[types.SoftwareVersion]int) {
	s := (*t.snapshot.Load())[id]
	if s == nil && len(targets) == 0 || s != nil && s.registered != nil && maps.Equal(s.registered, targets) {
		return
	}
	t.update(id, func(s *service) {
		now := t.settings.Now()
		if s.registered == nil {
			s.lostDefault = now
		}
		s.returned = returnedVersions(s, targets, now)
		s.lost = lostVersions(s, targets, now)
		if s.record == nil {
			s.unplanned = maps.Clone(s.unplanned)
			for v := range targets {
				if s.unplanned == nil {
					s.unplanned = map[types.SoftwareVersion]bool{}
				}
				s.unplanned[v] = true
			}
		}
		s.registered = map[types.SoftwareVersion]int{} // not nil: a service may lose all of its targets
		maps.Copy(s.registered, targets)
	})
}

// returnedVersions returns the times of returns after a change of the targets of a service. Versions
// that were there at the first registration have not returned.
func returnedVersions(s *service, targets map[types.SoftwareVersion]int, now clock.Instant) map[types.SoftwareVersion]clock.Instant {
	returned := maps.Clone(s.returned)
	for v, n := range targets {
		if n == 0 || s.registered == nil || s.registered[v] > 0 {
			continue
		}
		if returned == nil {
			returned = map[types.SoftwareVersion]clock.Instant{}
		}
		returned[v] = now
	}
	return returned
}

// lostSince returns since when a version without targets has had none.
func (s *service) lostSince(v types.SoftwareVersion) clock.Instant {
	if since, known := s.lost[v]; known {
		return since
	}
	return s.lostDefault
}

// lostVersions returns the lost versions of a service after a change of its targets.
func lostVersions(s *service, targets map[types.SoftwareVersion]int, now clock.Instant) map[types.SoftwareVersion]clock.Instant {
	lost := map[types.SoftwareVersion]clock.Instant{}
	for v, n := range s.registered {
		if n > 0 && targets[v] == 0 {
			lost[v] = now
		}
	}
	for v, since := range s.lost {
		if targets[v] == 0 {
			lost[v] = since
		}
	}
	return lost
}

// SetStored tells the table which records the store has. It marks those of which the store has an
// older one or none, so that Propose returns them again.
func (t *Table) SetStored(stored map[types.ServiceID]Record) {
	for _, id := range t.Services() {
		r, ok := stored[id]
		known := t.Record(id)
		if known != nil && (!ok || known.Newer(&r)) {
			t.update(id, func(s *service) { s.unsaved = true })
		}
	}
}

func (t *Table) update(id types.ServiceID, f func(*service)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.snapshot.Load()
	services := maps.Clone(old)
	s := &service{}
	if old[id] != nil {
		*s = *old[id]
	}
	f(s)
	services[id] = s
	t.snapshot.Store(&services)
}

func (s *service) onlyRegistered() (types.SoftwareVersion, bool) {
	if len(s.registered) != 1 {
		return "", false
	}
	for v := range s.registered {
		return v, true
	}
	return "", false
}

// several is Table.Several.
func (t *Table) several(s *service) bool {
	if len(s.registered) > 1 {
		return true
	}
	first, ok := s.onlyRegistered()
	differs := func(p Plan) bool {
		v, single := p.single()
		if !single {
			return len(p.Shares) > 0
		}
		if !ok {
			first, ok = v, true
		}
		return v != first
	}
	if r := s.record; r != nil && (differs(r.Current) || r.Next != nil && differs(*r.Next)) {
		return true
	}
	now := t.settings.Now()
	return slices.ContainsFunc(s.past, func(p pastPlan) bool { return !t.over(p, now) && differs(p.Plan) })
}
