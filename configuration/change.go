package configuration

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Errors of this package. Every error that Validate or the fold returns wraps
// one of them.
var (
	// ErrInvalid reports a change that fails validation.
	ErrInvalid = errors.New("invalid change")
	// ErrConflict reports a change whose base revision is not the object's current
	// revision.
	ErrConflict = errors.New("base revision is not current")
)

// ObjectKind is the kind of object that a change modifies.
type ObjectKind string

// Kinds of object.
const (
	ObjectService   ObjectKind = "service"
	ObjectTarget    ObjectKind = "target"
	ObjectWorkspace ObjectKind = "workspace"
)

// Change is one change by an operator. Exactly one of Service, Target and
// Workspace is set, unless Delete is set; then Kind and ObjectID name the object.
type Change struct {
	// ID identifies the change, so that after a lost response its result can be
	// found by reading the log. The fold retains the IDs of the latest
	// MaxRecentResults changes; a repeat after that is evaluated as a new change,
	// by its base revision.
	ID string `json:"change_id"`
	// Operator is the name of the operator who made the change, for the history.
	Operator string `json:"operator,omitempty"`
	// Kind and ObjectID identify the object.
	Kind     ObjectKind `json:"kind"`
	ObjectID string     `json:"object_id"`
	// Base is the revision at which the object last changed: 0 for a new object,
	// or the revision of the deletion if the object was deleted recently.
	Base types.Revision `json:"base_revision"`
	// Delete removes the object.
	Delete    bool       `json:"delete,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Target    *Target    `json:"target,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
}

// Limits on the content of a change.
const (
	MaxNameBytes            = 128
	MaxAdapters             = 64
	MaxServicesPerWorkspace = 256
	MaxShare                = 1000
	MaxRoleChangeWeight     = 1000.0
	maxTokensPerSecond      = 1e9
	maxIterationTime        = 10 * time.Second
	maxEngineStreams        = 65536 // also limits service.min_per_role
)

// FieldError reports the field that makes a change invalid. It wraps ErrInvalid.
type FieldError struct {
	// Field is the path of the field, such as "target.rates.max_streams".
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ValidateContent checks the parts of a change that do not depend on the
// configuration, so that a daemon may refuse the change without appending it to
// the log. It returns nil or a *FieldError.
func ValidateContent(ch *Change) error {
	if err := validateName("change_id", ch.ID); err != nil {
		return err
	}
	if err := validateName("object_id", ch.ObjectID); err != nil {
		return err
	}
	switch ch.Kind {
	case ObjectService:
		return validateServiceContent(ch)
	case ObjectTarget:
		return validateTargetContent(ch)
	case ObjectWorkspace:
		return validateWorkspaceContent(ch)
	}
	return invalid("kind", "%q is not one of service, target, workspace", ch.Kind)
}

// Validate checks a change against the configuration that it would be applied
// to. Only the fold may refuse a change because of its result, as any other
// caller may have an older configuration. It returns nil or a *FieldError.
func Validate(c *Config, ch *Change) error {
	if err := ValidateContent(ch); err != nil {
		return err
	}
	if ch.Delete {
		return validateDelete(c, ch)
	}
	switch ch.Kind {
	case ObjectService:
		return validateService(c, ch.Service)
	case ObjectTarget:
		return validateTarget(c, ch.Target)
	}
	return validateWorkspace(c, ch.Workspace)
}

func validateDelete(c *Config, ch *Change) error {
	if c.objectRevision(ch.Kind, ch.ObjectID) == 0 {
		return invalid("object_id", "%s %q does not exist", ch.Kind, ch.ObjectID)
	}
	if ch.Kind != ObjectService {
		return nil
	}
	id := types.ServiceID(ch.ObjectID)
	var remaining []string
	for _, t := range c.Targets {
		if t.Value.Service == id {
			remaining = append(remaining, string(t.Value.ID))
		}
	}
	if len(remaining) > 0 {
		// The refusal is part of the folded state, which must be the same for all
		// readers, so it must not depend on the iteration order of the map.
		return invalid("object_id", "service %q still has target %q", id, slices.Min(remaining))
	}
	return nil
}

func validateServiceContent(ch *Change) error {
	if ch.Delete {
		return nil
	}
	s := ch.Service
	if s == nil {
		return invalid("service", "is missing")
	}
	if string(s.ID) != ch.ObjectID {
		return invalid("service.id", "%q differs from object_id %q", s.ID, ch.ObjectID)
	}
	if math.IsNaN(s.RoleChangeWeight) || s.RoleChangeWeight < 0 || s.RoleChangeWeight > MaxRoleChangeWeight {
		return invalid("service.role_change_weight", "%v is outside 0 to %v", s.RoleChangeWeight, MaxRoleChangeWeight)
	}
	if s.MinPerRole < 0 || s.MinPerRole > maxEngineStreams {
		return invalid("service.min_per_role", "%d is outside 0 to %d", s.MinPerRole, maxEngineStreams)
	}
	return nil
}

func validateService(c *Config, s *Service) error {
	if old, ok := c.Services[s.ID]; ok && old.Value.Kind != s.Kind {
		return invalid("service.kind", "cannot change from %s to %s", old.Value.Kind, s.Kind)
	}
	return nil
}

func validateTargetContent(ch *Change) error {
	if ch.Delete {
		return nil
	}
	t := ch.Target
	if t == nil {
		return invalid("target", "is missing")
	}
	if string(t.ID) != ch.ObjectID {
		return invalid("target.id", "%q differs from object_id %q", t.ID, ch.ObjectID)
	}
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		return invalid("target.address", "%q is not an IP address with a port", t.Address)
	}
	if err := validateName("target.data_centre", string(t.DataCentre)); err != nil {
		return err
	}
	if t.State >= targetStateCount {
		return invalid("target.state", "%d is not a state", t.State)
	}
	return nil
}

func validateTarget(c *Config, t *Target) error {
	s, ok := c.Services[t.Service]
	if !ok {
		return invalid("target.service", "service %q does not exist", t.Service)
	}
	if s.Value.Kind == types.KindPlain {
		return nil
	}
	return validateEngine(t)
}

func validateEngine(t *Target) error {
	if err := validateName("target.model", string(t.Model)); err != nil {
		return err
	}
	if err := validateName("target.version", t.Version); err != nil {
		return err
	}
	if t.Role >= types.RoleCount {
		return invalid("target.role", "%d is not a role", t.Role)
	}
	if len(t.Adapters) > MaxAdapters {
		return invalid("target.adapters", "%d adapters, at most %d are allowed", len(t.Adapters), MaxAdapters)
	}
	r := t.Rates
	if !inRange(r.PrefillTokensPerSecond, 1, maxTokensPerSecond) {
		return invalid("target.rates.prefill_tokens_per_second", "%v is outside 1 to %v", r.PrefillTokensPerSecond, maxTokensPerSecond)
	}
	if !inRange(r.KVTransferTokensPerSecond, 0, maxTokensPerSecond) {
		return invalid("target.rates.kv_transfer_tokens_per_second", "%v is outside 0 to %v", r.KVTransferTokensPerSecond, maxTokensPerSecond)
	}
	if r.IterationBase < 0 || r.IterationBase > maxIterationTime {
		return invalid("target.rates.iteration_base_ns", "%d is outside 0 to %d", r.IterationBase, maxIterationTime)
	}
	if r.DecodeCost < 0 || r.DecodeCost > maxIterationTime {
		return invalid("target.rates.decode_cost_ns", "%d is outside 0 to %d", r.DecodeCost, maxIterationTime)
	}
	if r.MaxStreams < 1 || r.MaxStreams > maxEngineStreams {
		return invalid("target.rates.max_streams", "%d is outside 1 to %d", r.MaxStreams, maxEngineStreams)
	}
	return nil
}

func inRange(v, low, high float64) bool { return v >= low && v <= high }

func validateWorkspaceContent(ch *Change) error {
	if ch.Delete {
		return nil
	}
	w := ch.Workspace
	if w == nil {
		return invalid("workspace", "is missing")
	}
	if string(w.ID) != ch.ObjectID {
		return invalid("workspace.id", "%q differs from object_id %q", w.ID, ch.ObjectID)
	}
	if w.Share < 1 || w.Share > MaxShare {
		return invalid("workspace.share", "%d is outside 1 to %d", w.Share, MaxShare)
	}
	if len(w.Services) > MaxServicesPerWorkspace {
		return invalid("workspace.services", "%d services, at most %d are allowed", len(w.Services), MaxServicesPerWorkspace)
	}
	return nil
}

func validateWorkspace(c *Config, w *Workspace) error {
	for _, s := range w.Services {
		if _, ok := c.Services[s]; !ok {
			return invalid("workspace.services", "service %q does not exist", s)
		}
	}
	return nil
}

func validateName(field, v string) error {
	if v == "" {
		return invalid(field, "is missing")
	}
	if len(v) > MaxNameBytes {
		return invalid(field, "is %d bytes long, at most %d are allowed", len(v), MaxNameBytes)
	}
	for _, r := range v {
		if r < 0x21 || r == 0x7f {
			return invalid(field, "contains a space or control character")
		}
	}
	return nil
}
