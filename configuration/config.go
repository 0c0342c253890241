// Package configuration defines the dynamic configuration that operators publish
// in the platform's log, its validation, and the fold that turns the log records
// into the configuration in force. It performs no I/O and does not encode
// messages.
package configuration

import (
	"fmt"
	"maps"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// TargetState is the state that an operator has set for a target.
type TargetState uint8

// States of a target. A draining target gets no new requests; a withdrawn target
// gets no orders either.
const (
	TargetActive TargetState = iota
	TargetDraining
	TargetWithdrawn
	targetStateCount
)

var targetStateNames = [targetStateCount]string{"active", "draining", "withdrawn"}

// String returns the name used in stored records and messages.
func (s TargetState) String() string {
	if s >= targetStateCount {
		return "invalid"
	}
	return targetStateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s TargetState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error wraps
// types.ErrInvalidValue.
func (s *TargetState) UnmarshalText(b []byte) error {
	for i, n := range targetStateNames {
		if n == string(b) {
			*s = TargetState(i)
			return nil
		}
	}
	return fmt.Errorf("target state %q (allowed: active, draining, withdrawn): %w", b, types.ErrInvalidValue)
}

// Service is a named group of model engines or of plain-service instances that
// callers address.
type Service struct {
	ID   types.ServiceID  `json:"id"`
	Kind types.TargetKind `json:"kind"`
	// RunWithoutLog allows keyed requests to run once without a key record while
	// the log is unavailable. If it is false, they are refused as not run.
	RunWithoutLog bool `json:"run_without_log,omitempty"`
	// RoleChangeWeight is a factor, without a unit, on the cost of a role change.
	// Higher values cause fewer changes; 1 is neutral.
	RoleChangeWeight float64 `json:"role_change_weight,omitempty"`
	// MinPerRole is the minimum number of engines in each of the roles prefill and
	// decode.
	MinPerRole int `json:"min_per_role,omitempty"`
	// RolesPlanned lets the planner change the roles of engines. If it is false,
	// engines keep their configured roles.
	RolesPlanned bool `json:"roles_planned,omitempty"`
}

// Target is one engine or plain-service instance.
type Target struct {
	ID         types.TargetID     `json:"id"`
	Service    types.ServiceID    `json:"service"`
	Address    string             `json:"address"`
	DataCentre types.DataCentreID `json:"data_centre"`
	State      TargetState        `json:"state"`
	// ChecksFencing declares that the target refuses orders with stale fencing
	// numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Role, Model, Version and Adapters apply to engines only.
	Role     types.Role        `json:"role"`
	Model    types.ModelID     `json:"model,omitempty"`
	Version  string            `json:"version,omitempty"`
	Adapters []types.AdapterID `json:"adapters,omitempty"`
	Rates    Rates             `json:"rates,omitzero"`
}

// Rates is the declared speed of an engine. types.EngineRates describes the
// fields.
type Rates struct {
	PrefillTokensPerSecond    float64       `json:"prefill_tokens_per_second,omitempty"`
	IterationBase             time.Duration `json:"iteration_base_ns,omitempty"`
	DecodeCost                time.Duration `json:"decode_cost_ns,omitempty"`
	KVTransferTokensPerSecond float64       `json:"kv_transfer_tokens_per_second,omitempty"`
	MaxStreams                int           `json:"max_streams,omitempty"`
}

// Workspace is the unit of fair sharing and access control.
type Workspace struct {
	ID types.WorkspaceID `json:"id"`
	// Share is the weight of the workspace in fair sharing; 1 is the default share.
	Share int64 `json:"share"`
	// Services lists the services that the workspace may call; empty means all.
	Services []types.ServiceID `json:"services,omitempty"`
}

// Config is the configuration in force at one revision. A Config is immutable
// once published; the fold copies the maps that it changes.
type Config struct {
	Revision   types.Revision
	Services   map[types.ServiceID]Entry[Service]
	Targets    map[types.TargetID]Entry[Target]
	Workspaces map[types.WorkspaceID]Entry[Workspace]
}

// Entry is an object and the revision at which it last changed.
type Entry[T any] struct {
	Value    T              `json:"value"`
	Revision types.Revision `json:"revision"`
}

// New returns an empty configuration at revision 0.
func New() *Config {
	return &Config{
		Services:   map[types.ServiceID]Entry[Service]{},
		Targets:    map[types.TargetID]Entry[Target]{},
		Workspaces: map[types.WorkspaceID]Entry[Workspace]{},
	}
}

// Allows reports whether the workspace may call the service.
func (w Workspace) Allows(s types.ServiceID) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, v := range w.Services {
		if v == s {
			return true
		}
	}
	return false
}

// DataCentres returns the set of the data centres of all targets.
func (c *Config) DataCentres() map[types.DataCentreID]bool {
	out := map[types.DataCentreID]bool{}
	for _, t := range c.Targets {
		out[t.Value.DataCentre] = true
	}
	return out
}

// cloneFor returns a copy of c in which the map that a change of the given kind
// modifies is cloned; the other maps are shared.
func (c *Config) cloneFor(k ObjectKind) *Config {
	n := *c
	switch k {
	case ObjectService:
		n.Services = maps.Clone(c.Services)
	case ObjectTarget:
		n.Targets = maps.Clone(c.Targets)
	case ObjectWorkspace:
		n.Workspaces = maps.Clone(c.Workspaces)
	}
	return &n
}
