// Package localview maintains an entry daemon's view of the configuration and the fleet. It receives
// the view from the control daemon on the local VM or, if that one is down, from another control
// daemon, and publishes immutable snapshots.
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

// View is an immutable snapshot of the configuration and the fleet, as last received.
type View struct {
	Config     *configuration.Config
	Fleet      *routing.Fleet
	Workspaces map[types.WorkspaceID]*Workspace
	Budgets    map[types.ServiceID]*admission.RetryBudget
}

// Store holds the current view. Load is safe for concurrent use; the other methods must be called
// from a single goroutine.
type Store struct {
	localDataCentre types.DataCentreID
	// reach is the set of data centres whose targets are used; empty means all.
	reach       map[types.DataCentreID]bool
	current     atomic.Pointer[View]
	config      *configuration.Config
	targetLists map[types.DataCentreID]*membership.TargetList
	counters    map[types.TargetID]*routing.Counters
	histories   map[types.TargetID]*routing.History
	reports     map[types.TargetID]types.LoadReport
	leaving     map[types.TargetID]bool
	workspaces  map[types.WorkspaceID]*admission.Workspace
	budgets     map[types.ServiceID]*admission.RetryBudget

	// viewWorkspaces and viewBudgets are shared with published views and must not be modified.
	viewWorkspaces map[types.WorkspaceID]*Workspace
	viewBudgets    map[types.ServiceID]*admission.RetryBudget
}

// NewStore returns a store with an empty configuration. Its fleet contains only the targets of the
// data centres in reach, or of all if reach is empty, because the time to build a snapshot grows with
// its targets.
func NewStore(local types.DataCentreID, reach []types.DataCentreID) *Store {
	s := &Store{
		localDataCentre: local, reach: map[types.DataCentreID]bool{}, config: configuration.New(),
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
	s.rebuildFromConfig()
	s.publish(time.Time{})
	return s
}

// Load returns the current view.
func (s *Store) Load() *View { return s.current.Load() }

// Update applies a message of the control daemon and publishes a new view. The error wraps
// records.ErrMalformed if the configuration cannot be decoded; the rest of the message is applied
// nevertheless.
func (s *Store) Update(v *peerv1.View, now time.Time) error {
	var err error
	if b := v.GetConfiguration(); len(b) > 0 {
		err = s.updateConfig(b)
	}
	for _, d := range v.GetLoads() {
		if l := s.targetLists[types.DataCentreID(d.GetDataCentre())]; l != nil && s.inReach(l.DataCentre) {
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
		return nil // a lagging control daemon must not revert the configuration
	}
	s.config = r.Snapshot.Config
	s.rebuildFromConfig()
	return nil
}

func (s *Store) publish(now time.Time) {
	s.current.Store(&View{Config: s.config, Fleet: s.buildFleet(now), Workspaces: s.viewWorkspaces, Budgets: s.viewBudgets})
}

// rebuildFromConfig rebuilds the state that depends only on the configuration. It creates new maps
// because published ones must not be modified.
func (s *Store) rebuildFromConfig() {
	s.targetLists = wire.TargetLists(s.config)
	s.viewWorkspaces = make(map[types.WorkspaceID]*Workspace, len(s.config.Workspaces))
	for id, w := range s.config.Workspaces {
		s.viewWorkspaces[id] = &Workspace{Workspace: w.Value, Admission: getOrNew(s.workspaces, id)}
	}
	s.viewBudgets = make(map[types.ServiceID]*admission.RetryBudget, len(s.config.Services))
	for id := range s.config.Services {
		s.viewBudgets[id] = getOrNew(s.budgets, id)
	}
	retainKeys(s.counters, s.config.Targets)
	retainKeys(s.histories, s.config.Targets)
	retainKeys(s.reports, s.config.Targets)
	retainKeys(s.workspaces, s.config.Workspaces)
	retainKeys(s.budgets, s.config.Services)
}

// retainKeys deletes the entries of m whose key is not in keys.
func retainKeys[K comparable, V, W any](m map[K]V, keys map[K]W) {
	for k := range m {
		if _, ok := keys[k]; !ok {
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

func (s *Store) buildFleet(now time.Time) *routing.Fleet {
	targets := make([]*routing.Target, 0, len(s.config.Targets))
	for id, e := range s.config.Targets {
		if e.Value.State == configuration.TargetWithdrawn || !s.inReach(e.Value.DataCentre) {
			continue
		}
		targets = append(targets, s.buildTarget(id, e.Value, now))
	}
	return routing.NewFleet(s.config.Revision, s.localDataCentre, targets)
}

func (s *Store) inReach(dc types.DataCentreID) bool {
	return len(s.reach) == 0 || s.reach[dc]
}

func (s *Store) buildTarget(id types.TargetID, c configuration.Target, now time.Time) *routing.Target {
	t := &routing.Target{
		ID: id, Service: c.Service, Kind: s.config.Services[c.Service].Value.Kind,
		Address: c.Address, DataCentre: c.DataCentre, Model: c.Model, Version: c.Version,
		Adapters: c.Adapters, Role: c.Role,
		Leaving: c.State != configuration.TargetActive || s.leaving[id],
		Rates:   types.EngineRates(c.Rates), Counters: getOrNew(s.counters, id),
	}
	history := getOrNew(s.histories, id)
	history.Record(now, t.Counters.Load())
	r, ok := s.reports[id]
	if !ok {
		return t
	}
	t.Report, t.HasReport, t.LocalAtReport = r, true, history.At(r.At)
	t.Leaving = t.Leaving || r.Leaving
	t.Changing = r.Changing
	if t.Kind == types.KindEngine && r.Model != "" {
		// The model that the engine reports takes precedence over the configured one.
		t.Model, t.Version, t.Adapters, t.Role = r.Model, r.Version, r.Adapters, r.Role
	}
	return t
}
