// Package types defines the identifiers, enumerations and outcome types that
// all other modules share. It has no dependencies and performs no I/O.
package types

// TargetID identifies a target: a model engine or an instance of a plain service.
type TargetID string

// ServiceID identifies a service that callers address.
type ServiceID string

// WorkspaceID identifies a workspace, the unit of fair sharing and access control.
type WorkspaceID string

// ModelID identifies a model that engines can load.
type ModelID string

// AdapterID identifies an adapter of a model.
type AdapterID string

// DataCentreID identifies a data centre.
type DataCentreID string

// SoftwareVersion is the version of the software that a target runs. Targets of a service may run
// several versions side by side. A target that does not report one has the empty version.
type SoftwareVersion string

// VMID identifies an entry VM and the daemons on it.
type VMID string

// RequestID identifies a request end to end, from the caller to the target.
type RequestID string

// Revision is the number of accepted configuration changes. Each accepted change
// increments it by one; 0 is the empty configuration.
type Revision uint64

// Offset is the position of a record in one log stream. The first record of a
// stream has offset 0.
type Offset int64

// FencingNumber orders the holders of a lease; a later holder has a higher number.
// It is the offset of the holder's claim plus one, so that 0 means that there is
// no authority to send orders.
type FencingNumber uint64
