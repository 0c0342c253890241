// Package records encodes and decodes, as JSON, the records that lentilpick keeps
// in the platform's log. Decoding is strict: an unknown kind, an unknown field or
// an oversized record is an error. The readers log it with the record's offset.
package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/types"
)

// Errors of this package.
var (
	// ErrMalformed reports a record that is not valid JSON or does not match the
	// schema of its stream.
	ErrMalformed = errors.New("malformed record")
	// ErrTooLarge reports a record larger than MaxBytes.
	ErrTooLarge = errors.New("record exceeds the size limit")
)

// MaxBytes is the maximum size of an encoded record. A snapshot of 3,700
// workspaces and 11,000 targets is about 8 MB.
const MaxBytes = 16 << 20

type configEnvelope struct {
	Change   *configuration.Change `json:"change,omitempty"`
	Snapshot *snapshot             `json:"snapshot,omitempty"`
}

type snapshot struct {
	Next       types.Offset                                                       `json:"next"`
	Revision   types.Revision                                                     `json:"revision"`
	Services   map[types.ServiceID]configuration.Entry[configuration.Service]     `json:"services"`
	Targets    map[types.TargetID]configuration.Entry[configuration.Target]       `json:"targets"`
	Workspaces map[types.WorkspaceID]configuration.Entry[configuration.Workspace] `json:"workspaces"`
	Recent     []configuration.Result                                             `json:"recent"`
	LoggedAt   time.Time                                                          `json:"logged_at,omitzero"`
}

// EncodeChange encodes a configuration change.
func EncodeChange(c *configuration.Change) ([]byte, error) {
	return encode(configEnvelope{Change: c})
}

// EncodeSnapshot encodes a configuration snapshot.
func EncodeSnapshot(s *configuration.Snapshot) ([]byte, error) {
	c := s.Config
	return encode(configEnvelope{Snapshot: &snapshot{
		Next: s.Next, Revision: c.Revision, Services: c.Services, Targets: c.Targets,
		Workspaces: c.Workspaces, Recent: s.Recent, LoggedAt: s.LoggedAt,
	}})
}

// DecodeConfiguration decodes a record of the configuration stream. The error
// wraps ErrMalformed or ErrTooLarge.
func DecodeConfiguration(b []byte) (configuration.Record, error) {
	var e configEnvelope
	if err := decode(b, &e); err != nil {
		return configuration.Record{}, err
	}
	switch {
	case e.Change != nil && e.Snapshot == nil:
		return configuration.Record{Change: e.Change}, nil
	case e.Snapshot != nil && e.Change == nil:
		s, err := e.Snapshot.toSnapshot()
		return configuration.Record{Snapshot: s}, err
	}
	return configuration.Record{}, fmt.Errorf("record must contain either a change or a snapshot: %w", ErrMalformed)
}

func (s *snapshot) toSnapshot() (*configuration.Snapshot, error) {
	if s.Next < 0 || s.Services == nil || s.Targets == nil || s.Workspaces == nil {
		return nil, fmt.Errorf("snapshot has a negative offset or lacks services, targets or workspaces: %w", ErrMalformed)
	}
	c := &configuration.Config{
		Revision: s.Revision, Services: s.Services, Targets: s.Targets, Workspaces: s.Workspaces,
	}
	return &configuration.Snapshot{Next: s.Next, Config: c, Recent: s.Recent, LoggedAt: s.LoggedAt}, nil
}

// EncodeLease encodes a lease record.
func EncodeLease(r *authority.Record) ([]byte, error) { return encode(r) }

// DecodeLease decodes a lease record. The error wraps ErrMalformed or ErrTooLarge.
func DecodeLease(b []byte) (*authority.Record, error) {
	var r authority.Record
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	switch r.Kind {
	case authority.KindClaim, authority.KindRenew, authority.KindRelease:
		return &r, nil
	}
	return nil, fmt.Errorf("unknown kind of lease record %q: %w", r.Kind, ErrMalformed)
}

// EncodeKeys encodes a batch of key records as one log record.
func EncodeKeys(r []idempotency.Record) ([]byte, error) { return encode(r) }

// DecodeKeys decodes a batch of key records. The error wraps ErrMalformed or
// ErrTooLarge.
func DecodeKeys(b []byte) ([]idempotency.Record, error) {
	var r []idempotency.Record
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	for _, k := range r {
		switch k.Kind {
		case idempotency.KindIntent, idempotency.KindReleased, idempotency.KindCompleted, idempotency.KindUnknown:
		case idempotency.KindHomes:
			if k.Homes == nil {
				return nil, fmt.Errorf("key record of kind %q lacks the field homes: %w", k.Kind, ErrMalformed)
			}
		default:
			return nil, fmt.Errorf("unknown kind of key record %q: %w", k.Kind, ErrMalformed)
		}
	}
	return r, nil
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%d bytes, at most %d are allowed: %w", len(b), MaxBytes, ErrTooLarge)
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if len(b) > MaxBytes {
		return fmt.Errorf("%d bytes, at most %d are allowed: %w", len(b), MaxBytes, ErrTooLarge)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("unexpected data after the record: %w", ErrMalformed)
	}
	return nil
}
