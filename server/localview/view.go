// Package localview keeps an entry daemon's view of the configuration and the
// fleet. It reads the view from the control daemon of its own VM or, when that
// one is down, of a peer, and publishes immutable snapshots.
package localview

import (
	"sync/atomic"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

// Workspace is a workspace with its admission state.
type Workspace struct {
	configuration.Workspace
	Admission *admission.Workspace
}

// View is an immutable snapshot of what an entry daemon knows.
type View struct {
	Config     *configuration.Config
	Fleet      *routing.Fleet
	Workspaces map[types.WorkspaceID]*Workspace
	Budgets    map[types.ServiceID]*admission.RetryBudget
}

// Store holds the current view. Load is safe for concurrent use; the other
// methods are called by one goroutine.
type Store struct {
	local types.DataCentreID
	// reach holds the data centres whose targets are used; empty means all.
	reach      map[types.DataCentreID]bool
	current    atomic.Pointer[View]
	config     *configuration.Config
	lists      map[types.DataCentreID]*membership.TargetList
	counters   map[types.TargetID]*routing.Counters
	histories  map[types.TargetID]*routing.History
	reports    map[types.TargetID]types.LoadReport
	leaving    map[types.TargetID]bool
	workspaces map[types.WorkspaceID]*admission.Workspace
	budgets    map[types.ServiceID]*admission.RetryBudget

	// byWorkspace and byService are part of the published views.
	byWorkspace map[types.WorkspaceID]*Workspace
	byService   map[types.ServiceID]*admission.RetryBudget
}

// NewStore returns a store with the empty configuration. Its fleet holds the
// targets of the data centres in reach, or of all when reach is empty: building
// a snapshot takes time for each target in it.
func NewStore(local types.DataCentreID, reach []types.DataCentreID) *Store {
	s := &Store{
		local: local, reach: map[types.DataCentreID]bool{}, config: configuration.New(),
		counters:   map[types.TargetID]*routing.Counters{},
		histories:  map[types.TargetID]*routing.History{},
		reports:    map[types.TargetID]types.LoadReport{},
		leaving:    map[types.TargetID]bool{},
		workspaces: map[types.WorkspaceID]*admission.Workspace{},
		budgets:    map[types.ServiceID]*admission.RetryBudget{},
	}
	for _, dc := range reach {
		s.reach[dc] = true
	}
	s.configured()
	s.publish(time.Time{})
	return s
}

// Load returns the current view.
func (s *Store) Load() *View { return s.current.Load() }

// Update folds a message of the control daemon and publishes a new view. The
// error wraps records.ErrMalformed when the configuration does not decode; the
// rest of the message is used all the same.
func (s *Store) Update(v *peerv1.View, now time.Time) error {
	var err error
	if b := v.GetConfiguration(); len(b) > 0 {
		err = s.updateConfig(b)
	}
	for _, d := range v.GetLoads() {
		if l := s.lists[types.DataCentreID(d.GetDataCentre())]; l != nil && s.reaches(l.DataCentre) {
			wire.FromDigest(d, l, s.config, now, func(id types.TargetID, r types.LoadReport) { s.reports[id] = r })
		}
	}
	clear(s.leaving)
	for _, id := range v.GetLeaving() {
		s.leaving[types.TargetID(id)] = true
	}
	s.publish(now)
	return err
}

func (s *Store) updateConfig(b []byte) error {
	r, err := records.DecodeConfiguration(b)
	if err != nil {
		return err
	}
	if r.Snapshot == nil || r.Snapshot.Config.Revision < s.config.Revision {
		return nil // a control daemon that lags behind must not revert the configuration
	}
	s.config = r.Snapshot.Config
	s.configured()
	return nil
}

func (s *Store) publish(now time.Time) {
	s.current.Store(&View{Config: s.config, Fleet: s.fleet(now), Workspaces: s.byWorkspace, Budgets: s.byService})
}

// configured rebuilds what depends on the configuration only. Published maps
// are never changed, so the maps are built anew.
func (s *Store) configured() {
	s.lists = wire.TargetLists(s.config)
	s.byWorkspace = make(map[types.WorkspaceID]*Workspace, len(s.config.Workspaces))
	for id, w := range s.config.Workspaces {
		s.byWorkspace[id] = &Workspace{Workspace: w.Value, Admission: getOrNew(s.workspaces, id)}
	}
	s.byService = make(map[types.ServiceID]*admission.RetryBudget, len(s.config.Services))
	for id := range s.config.Services {
		s.byService[id] = getOrNew(s.budgets, id)
	}
	dropOthers(s.counters, s.config.Targets)
	dropOthers(s.histories, s.config.Targets)
	dropOthers(s.reports, s.config.Targets)
	dropOthers(s.workspaces, s.config.Workspaces)
	dropOthers(s.budgets, s.config.Services)
}

// dropOthers deletes the entries of m whose key is not in keep.
func dropOthers[K comparable, V, W any](m map[K]V, keep map[K]W) {
	for k := range m {
		if _, ok := keep[k]; !ok {
			delete(m, k)
		}
	}
}

func getOrNew[K comparable, V any](m map[K]*V, k K) *V {
	v, ok := m[k]
	if !ok {
		v = new(V)
		m[k] = v
	}
	return v
}

func (s *Store) fleet(now time.Time) *routing.Fleet {
	targets := make([]*routing.Target, 0, len(s.config.Targets))
	for id, e := range s.config.Targets {
		if e.Value.State == configuration.TargetWithdrawn || !s.reaches(e.Value.DataCentre) {
			continue
		}
		targets = append(targets, s.target(id, e.Value, now))
	}
	return routing.NewFleet(s.config.Revision, s.local, targets)
}

func (s *Store) reaches(dc types.DataCentreID) bool {
	return len(s.reach) == 0 || s.reach[dc]
}

func (s *Store) target(id types.TargetID, c configuration.Target, now time.Time) *routing.Target {
	t := &routing.Target{
		ID: id, Service: c.Service, Kind: s.config.Services[c.Service].Value.Kind,
		Address: c.Address, DataCentre: c.DataCentre, Model: c.Model, Version: c.Version,
		Adapters: c.Adapters, Role: c.Role,
		Leaving: c.State != configuration.TargetActive || s.leaving[id],
		Rates:   types.EngineRates(c.Rates), Counters: getOrNew(s.counters, id),
	}
	h := getOrNew(s.histories, id)
	h.Record(now, t.Counters.Load())
	r, ok := s.reports[id]
	if !ok {
		return t
	}
	t.Report, t.HasReport, t.LocalAtReport = r, true, h.At(r.At)
	t.Leaving = t.Leaving || r.Leaving
	t.Changing = r.Changing
	if t.Kind == types.KindEngine && r.Model != "" {
		// What the engine says it carries wins over what it was ordered to carry.
		t.Model, t.Version, t.Adapters, t.Role = r.Model, r.Version, r.Adapters, r.Role
	}
	return t
}
