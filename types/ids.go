// Package types defines the identifiers, enumerations and outcome types that
// all other modules share. It has no dependencies and performs no I/O.
package types

// TargetID names one target: a model engine or an instance of a plain service.
type TargetID string

// ServiceID names a service that callers address.
type ServiceID string

// WorkspaceID names a workspace, the unit of fair sharing and access.
type WorkspaceID string

// ModelID names a model that engines can load.
type ModelID string

// AdapterID names an adapter of a model.
type AdapterID string

// DataCentreID names a data centre.
type DataCentreID string

// VMID names one entry VM and the daemons on it.
type VMID string

// RequestID identifies one request from caller to target and back.
type RequestID string

// Revision counts accepted configuration changes. It grows by one with each
// accepted change; 0 is the empty configuration.
type Revision uint64

// Offset is the position of a record in one log stream. The first record of a
// stream has offset 0.
type Offset int64

// FencingNumber orders the holders of a lease. It is the offset of the claim
// plus one, so that 0 means "no authority".
type FencingNumber uint64
