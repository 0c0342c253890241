package versions

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// Reason is the reason for a new record. Its text is the name used in logs and metrics.
type Reason string

// Reasons for a new record.
const (
	// ReasonFirst introduces the first plan of a service.
	ReasonFirst Reason = "first"
	// ReasonAppeared introduces a plan for a version that has none.
	ReasonAppeared Reason = "appeared"
	// ReasonLost introduces a plan without a version that has lost all of its targets.
	ReasonLost Reason = "lost"
	// ReasonShares introduces a plan because a version would get too many streams.
	ReasonShares Reason = "shares"
	// ReasonActivated puts the next plan in force.
	ReasonActivated Reason = "activated"
	// ReasonSettled drops plans by which no stream can have begun that still runs.
	ReasonSettled Reason = "settled"
	// ReasonAged states how long earlier plans have been replaced, for daemons that start later.
	ReasonAged Reason = "aged"
	// ReasonRestored repeats a record that the store has lost.
	ReasonRestored Reason = "restored"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonFirst, ReasonAppeared, ReasonLost, ReasonShares, ReasonActivated, ReasonSettled, ReasonAged, ReasonRestored}
}

const (
	// maxOverload is the share of a version's streams, relative to its share of the targets,
	// beyond which a new plan is needed. Each change makes some streams impossible to resume
	// for seconds, so that small differences are left to the choice of targets.
	maxOverload = 1.25
	// maxPrevious bounds the plans that a record retains. A new plan has to wait beyond it.
	maxPrevious = 8
	// ageRecords is into how many parts records divide the time for which an earlier plan is retained.
	// All daemons may be killed at once, and the store alone then knows how old a plan is. Each record
	// takes two calls; kills that follow each other faster than one part keep plans from ageing.
	ageRecords = 4
)

// Propose returns the record that a service needs now, or false if it needs none. writer is the
// field of Record. The record must replace the one that the table has, and no other.
func (t *Table) Propose(id types.ServiceID, writer uint64) (Record, Reason, bool) {
	s := (*t.snapshot.Load())[id]
	switch {
	case s == nil:
		return Record{}, "", false
	case s.record == nil:
		return proposeFirst(s, writer)
	case s.unsaved:
		return withoutAges(*s.record), ReasonRestored, true
	}
	now := t.settings.Now()
	r := Record{Sequence: s.record.Sequence + 1, Writer: writer, Current: s.record.Current}
	for _, p := range s.past {
		if !t.over(p, now) {
			r.Previous = append(r.Previous, EarlierPlan{p.Plan, now.Sub(p.replaced)})
		}
	}
	if s.record.Next != nil {
		if now.Sub(s.learned) <= t.settings.Propagation {
			return Record{}, "", false
		}
		r.Current = *s.record.Next
		r.Previous = append(r.Previous, EarlierPlan{Plan: s.record.Current})
		return r, ReasonActivated, true
	}
	if reason := s.imbalance(); reason != "" && len(r.Previous) < maxPrevious {
		next := NewPlan(r.Sequence, s.registered)
		r.Next = &next
		return r, reason, true
	}
	if len(s.record.Previous) > 0 && len(r.Previous) == 0 {
		return r, ReasonSettled, true
	}
	if t.understates(s.record, r.Previous) {
		return r, ReasonAged, true
	}
	return Record{}, "", false
}

// understates reports whether an earlier plan has aged by more than one part since the record was
// written.
func (t *Table) understates(r *Record, now []EarlierPlan) bool {
	part := (t.settings.Propagation + t.longestAge()) / ageRecords
	return slices.ContainsFunc(now, func(p EarlierPlan) bool {
		return p.Age-r.ageOf(p.Plan) >= part
	})
}

// ageOf returns the age of an earlier plan according to the record.
func (r *Record) ageOf(p Plan) time.Duration {
	if i := slices.IndexFunc(r.Previous, func(q EarlierPlan) bool { return q.Equal(p) }); i >= 0 {
		return r.Previous[i].Age
	}
	return 0
}

// withoutAges returns the record as if its earlier plans had just been replaced. Daemons that started
// while the store lacked the record may have begun streams by them until now.
func withoutAges(r Record) Record {
	r.Previous = slices.Clone(r.Previous)
	for i := range r.Previous {
		r.Previous[i].Age = 0
	}
	return r
}

// proposeFirst returns the first record. Its plan is in force at once, because a daemon without a
// record resolves no streams. If streams may have begun at another version before, they cannot be
// resolved, for which the plan without shares stands.
func proposeFirst(s *service, writer uint64) (Record, Reason, bool) {
	const sequence = 1
	p := NewPlan(sequence, s.registered)
	if len(p.Shares) == 0 {
		return Record{}, "", false
	}
	r := Record{Sequence: sequence, Writer: writer, Current: p}
	if len(s.unplanned) > 1 {
		r.Previous = []EarlierPlan{{}}
	}
	return r, ReasonFirst, true
}

// imbalance returns the reason for which the current plan does not fit the registered targets, or "".
func (s *service) imbalance() Reason {
	wanted := NewPlan(0, s.registered)
	current := s.record.Current
	if len(wanted.Shares) == 0 {
		return ""
	}
	for _, w := range wanted.Shares {
		if current.weight(w.Version) == 0 {
			return ReasonAppeared
		}
	}
	for _, c := range current.Shares {
		if wanted.weight(c.Version) == 0 {
			return ReasonLost
		}
	}
	for _, c := range current.Shares {
		share := float64(c.Weight) / float64(current.total())
		target := float64(wanted.weight(c.Version)) / float64(wanted.total())
		if share > maxOverload*target {
			return ReasonShares
		}
	}
	return ""
}

// LostSince returns since when the current plan of a service has had a version without targets: the latest
// loss of several. It returns the current time if there is none.
func (t *Table) LostSince(id types.ServiceID) clock.Instant {
	s := (*t.snapshot.Load())[id]
	now := t.settings.Now()
	if s == nil || s.record == nil || s.registered == nil {
		return now
	}
	since, found := now, false
	for _, share := range s.record.Current.Shares {
		if s.registered[share.Version] > 0 {
			continue
		}
		if lost := s.lostSince(share.Version); !found || lost > since {
			since, found = lost, true
		}
	}
	return since
}

func (p Plan) weight(v types.SoftwareVersion) int {
	i := slices.IndexFunc(p.Shares, func(s Share) bool { return s.Version == v })
	if i < 0 {
		return 0
	}
	return p.Shares[i].Weight
}

func (p Plan) total() (total int) {
	for _, s := range p.Shares {
		total += s.Weight
	}
	return total
}
