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

// Era counts how often the store has returned from an older copy of its records. It gives out
// offsets again then, so that offsets of two eras must not be compared. 0 means that the store has
// not stated an era.
type Era int64

// FirstEra is the era of a store that has never returned from an older copy.
const FirstEra Era = 1

// Position is an offset in one era of the store.
type Position struct {
	Era    Era
	Offset Offset
}

// FencingNumber orders the holders of a lease; a later holder has a higher number.
// It is formed from the era and the offset of the holder's claim (see package
// authority). 0 means that there is no authority to send orders.
type FencingNumber uint64
