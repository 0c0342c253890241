package types

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalidValue reports a text that is not the name of a value of an
// enumeration.
var ErrInvalidValue = errors.New("invalid value")

// Role is the phase of inference that an engine serves.
type Role uint8

// Roles of an engine. A mixed engine runs prefill and decode in one batch.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
	// RoleCount is the number of roles, not a role itself.
	RoleCount
)

var roleNames = [RoleCount]string{"mixed", "prefill", "decode"}

// String returns the name used in settings and messages.
func (r Role) String() string {
	if r >= RoleCount {
		return fmt.Sprintf("role(%d)", uint8(r))
	}
	return roleNames[r]
}

// ParseRole returns the role with the given name, or an error that wraps
// ErrInvalidValue.
func ParseRole(s string) (Role, error) {
	for i, n := range roleNames {
		if n == s {
			return Role(i), nil
		}
	}
	return 0, fmt.Errorf("role %q (allowed: mixed, prefill, decode): %w", s, ErrInvalidValue)
}

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error wraps ErrInvalidValue.
func (r *Role) UnmarshalText(b []byte) error {
	v, err := ParseRole(string(b))
	if err != nil {
		return err
	}
	*r = v
	return nil
}

// SoftwareVersion is the version of a target's software.
type SoftwareVersion string

// TargetKind distinguishes model engines from plain services.
type TargetKind uint8

// Kinds of target.
const (
	KindEngine TargetKind = iota
	KindPlain
)

// String returns the name used in settings and messages.
func (k TargetKind) String() string {
	if k == KindPlain {
		return "plain"
	}
	return "engine"
}

// ParseTargetKind returns the kind with the given name, or an error that wraps
// ErrInvalidValue.
func ParseTargetKind(s string) (TargetKind, error) {
	switch s {
	case "engine":
		return KindEngine, nil
	case "plain":
		return KindPlain, nil
	}
	return 0, fmt.Errorf("kind %q (allowed: engine, plain): %w", s, ErrInvalidValue)
}

// MarshalText implements encoding.TextMarshaler.
func (k TargetKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error wraps ErrInvalidValue.
func (k *TargetKind) UnmarshalText(b []byte) error {
	v, err := ParseTargetKind(string(b))
	if err != nil {
		return err
	}
	*k = v
	return nil
}

// LoadReport is a target's report of its own state and load. Reports arrive with
// a delay and state their age.
type LoadReport struct {
	// At is the time, on the reader's clock, that the report describes: the time
	// of its arrival less its stated age.
	At time.Time
	// Sequence increases with each report of a target.
	Sequence uint64
	// Role, Model, Version and Adapters are those that the engine serves at present.
	Role     Role
	Model    ModelID
	Version  string
	Adapters []AdapterID
	// QueuedPrefillTokens is the number of prompt tokens that wait for prefill.
	QueuedPrefillTokens int
	// DecodeStreams is the number of streams that are in decode.
	DecodeStreams int
	// Running is the number of requests in progress, including queued ones.
	Running int
	// KVFreeTokens is the free capacity of the KV cache in tokens.
	KVFreeTokens int
	// Leaving means that the target is draining: it takes no new work and finishes
	// its running requests.
	Leaving bool
	// Changing means that the target is carrying out an order and serves no requests.
	Changing bool
}

// EngineRates describes the speed of an engine. Latency predictions use it.
type EngineRates struct {
	// PrefillTokensPerSecond is the prefill speed of one engine.
	PrefillTokensPerSecond float64
	// IterationBase is the fixed time of a batch iteration, without any work.
	IterationBase time.Duration
	// DecodeCost is the time that one decode stream adds to an iteration.
	DecodeCost time.Duration
	// KVTransferTokensPerSecond is the speed of a KV cache transfer between engines.
	KVTransferTokensPerSecond float64
	// MaxStreams is the maximum number of concurrent streams on one engine.
	MaxStreams int
}

// BlockTokens is the number of tokens in a block of an engine's prefix cache.
const BlockTokens = 4096

// BytesPerToken is the assumed average number of prompt bytes per token. It is
// used until an engine has counted the tokens.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in n bytes of prompt.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
