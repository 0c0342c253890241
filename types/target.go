package types

import (
	"errors"
	"fmt"
	"time"
)

// ErrBadValue reports text that names no member of an enumeration.
var ErrInvalidValue = errors.New("value is not allowed")

// Role says which phase of inference an engine serves.
type Role uint8

// Roles of an engine. A mixed engine runs prefill and decode in one batch.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
	// RoleCount is the number of roles; it is not a role.
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
// ErrBadValue.
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

// UnmarshalText implements encoding.TextUnmarshaler. The error wraps ErrBadValue.
func (r *Role) UnmarshalText(b []byte) error {
	v, err := ParseRole(string(b))
	if err != nil {
		return err
	}
	*r = v
	return nil
}

// TargetKind separates model engines from plain services.
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
// ErrBadValue.
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

// UnmarshalText implements encoding.TextUnmarshaler. The error wraps ErrBadValue.
func (k *TargetKind) UnmarshalText(b []byte) error {
	v, err := ParseTargetKind(string(b))
	if err != nil {
		return err
	}
	*k = v
	return nil
}

// LoadReport is what a target says about its own load. Reports arrive late;
// At is the time, on the reader's clock, at which the report was true
// according to its stated age.
type LoadReport struct {
	// At is the time the report describes.
	At time.Time
	// Sequence grows with each report of one target.
	Sequence uint64
	// Role, Model, Version and Adapters are what the engine carries now.
	Role     Role
	Model    ModelID
	Version  string
	Adapters []AdapterID
	// QueuedPrefillTokens counts prompt tokens that wait for prefill.
	QueuedPrefillTokens int
	// DecodeStreams counts streams that are generating.
	DecodeStreams int
	// Running counts requests in progress, including queued ones.
	Running int
	// KVFreeTokens is the free room of the KV cache in tokens.
	KVFreeTokens int
	// Leaving says that the target takes no new work.
	Leaving bool
	// Changing says that an order is in progress and the target is away.
	Changing bool
}

// EngineRates describes the speed of an engine for predictions.
type EngineRates struct {
	// PrefillTokensPerSecond is the prefill speed of one engine.
	PrefillTokensPerSecond float64
	// IterationBase is the time of one batch iteration without work.
	IterationBase time.Duration
	// DecodeCost is the time that one decode stream adds to an iteration.
	DecodeCost time.Duration
	// KVTransferTokensPerSecond is the speed of a KV cache transfer between engines.
	KVTransferTokensPerSecond float64
	// MaxStreams bounds the streams that one engine runs at a time.
	MaxStreams int
}

// BlockTokens is the size in tokens of the blocks in which engines cache
// prompt prefixes.
const BlockTokens = 4096

// BytesPerToken is the estimate that turns prompt bytes into tokens before an
// engine has counted them.
const BytesPerToken = 4

// TokensOf returns the estimated number of tokens in n bytes of prompt.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
