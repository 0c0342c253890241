package configuration

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrGap reports that records between the fold's position and the applied record
// are missing. The caller must load a newer snapshot.
var ErrGap = errors.New("records are missing before this offset")

// Record is one decoded record of the configuration stream. Exactly one field
// is set; both are nil if the record could not be decoded.
type Record struct {
	Change   *Change
	Snapshot *Snapshot
}

// Snapshot is the complete state of a fold at one point of the stream.
type Snapshot struct {
	// Next is the offset of the first record that the snapshot does not include.
	Next   types.Offset
	Config *Config
	// Recent contains the results of the latest changes, oldest first, so that a
	// repeated change ID is recognised after a restart. It is shared with the fold
	// and must not be modified.
	Recent []Result
	// LoggedAt is the log's time stamp of the newest complete snapshot record that
	// the sender has read, or of the first record that it read; it is zero if the
	// sender has neither. A daemon that starts from a peer's snapshot uses it to
	// determine when the next snapshot is due.
	LoggedAt time.Time
}

// Result is the outcome of one change.
type Result struct {
	ChangeID string `json:"change_id"`
	// Operator is the name of the operator who made the change; it is empty
	// without credentials.
	Operator string `json:"operator,omitempty"`
	// Offset is the offset of the change in the configuration stream.
	Offset   types.Offset `json:"offset"`
	Kind     ObjectKind   `json:"kind"`
	ObjectID string       `json:"object_id"`
	// Deleted means that the change removed the object.
	Deleted bool `json:"deleted,omitempty"`
	// Revision is the configuration revision that an accepted change created.
	Revision types.Revision `json:"revision,omitempty"`
	// Current is set on conflicts only: the current revision of the object.
	Current types.Revision `json:"current,omitempty"`
	// Refusal is the reason for the refusal; it is empty for an accepted change.
	Refusal string `json:"refusal,omitempty"`
	// Conflict means that the change was refused because its base revision was not
	// current.
	Conflict bool `json:"conflict,omitempty"`
}

// Accepted reports whether the change is in force.
func (r Result) Accepted() bool { return r.Refusal == "" }

func (r Result) objectKey() objectKey { return objectKey{r.Kind, r.ObjectID} }

// MaxRecentResults limits the results that the fold retains, and with them the
// revisions of deleted objects. At 14,000 changes a day, 1,024 results cover
// about 105 minutes.
const MaxRecentResults = 1024

type objectKey struct {
	kind ObjectKind
	id   string
}

// Fold is the state machine that turns the configuration stream into the
// configuration in force. All readers of the stream reach the same state. A
// Fold is not safe for concurrent use, but the values that Config and Snapshot return are
// immutable.
type Fold struct {
	next   types.Offset
	config *Config
	// owned are the kinds of object whose maps in config only the fold has. A batch of changes
	// copies them once instead of once for each change.
	owned  map[ObjectKind]bool
	recent []Result
	byID   map[string]Result
	// deleted contains the revisions of the deletions among the recent results.
	deleted map[objectKey]types.Revision
	// undecoded counts the records that could not be decoded.
	undecoded int
}

// NewFold returns a fold at the beginning of the stream.
func NewFold() *Fold {
	return &Fold{config: New(), owned: map[ObjectKind]bool{}, byID: map[string]Result{}, deleted: map[objectKey]types.Revision{}}
}

// Next returns the offset of the next record that the fold needs.
func (f *Fold) Next() types.Offset { return f.next }

// Config returns the configuration in force. The caller must not modify it. The next change copies
// the objects of its kind.
func (f *Fold) Config() *Config {
	clear(f.owned)
	return f.config
}

// Undecoded returns the number of records that could not be decoded.
func (f *Fold) Undecoded() int { return f.undecoded }

// Result returns the result of a change, if the fold still retains it.
func (f *Fold) Result(changeID string) (Result, bool) {
	r, ok := f.byID[changeID]
	return r, ok
}

// Apply applies the record at offset o. A record before Next has already been
// applied and is ignored. If records are missing, Apply changes nothing and
// returns an error that wraps ErrGap.
func (f *Fold) Apply(o types.Offset, r Record) error {
	if o < f.next {
		return nil
	}
	if o > f.next {
		return fmt.Errorf("expected offset %d, got %d: %w", f.next, o, ErrGap)
	}
	f.next = o + 1
	switch {
	case r.Change != nil:
		f.applyChange(o, r.Change)
	case r.Snapshot != nil:
		// The fold already contains all changes that the snapshot contains.
	default:
		f.undecoded++
	}
	return nil
}

// Load replaces the state of the fold with a snapshot if the snapshot is newer,
// and reports whether it did. An older snapshot never replaces the state.
func (f *Fold) Load(s *Snapshot) bool {
	if s.Next <= f.next || s.Config.Revision < f.config.Revision {
		return false
	}
	f.next = s.Next
	f.config = s.Config
	clear(f.owned)
	f.recent = nil
	clear(f.byID)
	clear(f.deleted)
	for _, r := range s.Recent[max(0, len(s.Recent)-MaxRecentResults):] {
		f.addResult(r)
	}
	return true
}

// Snapshot returns the current state. The snapshot shares the recent results
// with the fold, which only appends to them, so the cost of a snapshot does not
// depend on their number.
func (f *Fold) Snapshot() *Snapshot {
	return &Snapshot{Next: f.next, Config: f.Config(), Recent: slices.Clip(f.recent)}
}

// Evaluate returns the results that the changes would get if they were applied
// in sequence after the snapshot. The snapshot is not modified.
func (s *Snapshot) Evaluate(changes []*Change) []Result {
	f := NewFold()
	f.Load(s)
	out := make([]Result, 0, len(changes))
	for _, ch := range changes {
		f.applyChange(f.next, ch)
		out = append(out, f.byID[ch.ID])
	}
	return out
}

func (f *Fold) applyChange(o types.Offset, ch *Change) {
	if _, seen := f.byID[ch.ID]; seen {
		return // a duplicate append is applied only once
	}
	res := Result{ChangeID: ch.ID, Operator: ch.Operator, Offset: o, Kind: ch.Kind, ObjectID: ch.ObjectID}
	current := f.objectRevision(ch.Kind, ch.ObjectID)
	if err := Validate(f.config, ch); err != nil {
		res.Refusal = err.Error()
	} else if current != ch.Base {
		res.Conflict = true
		res.Current = current
		res.Refusal = fmt.Sprintf("base revision %d of %s %q is not current (%d)", ch.Base, ch.Kind, ch.ObjectID, current)
	} else {
		f.own(ch.Kind)
		f.config.apply(ch)
		res.Revision, res.Deleted = f.config.Revision, ch.Delete
	}
	f.addResult(res)
}

// own ensures that the fold may modify the objects of a kind.
func (f *Fold) own(k ObjectKind) {
	if !f.owned[k] {
		f.config = f.config.cloneFor(k)
		f.owned[k] = true
	}
}

func (f *Fold) addResult(r Result) {
	if len(f.recent) == MaxRecentResults {
		f.dropOldestResult()
	}
	f.recent = append(f.recent, r)
	f.byID[r.ChangeID] = r
	if r.Deleted {
		f.deleted[r.objectKey()] = r.Revision
	}
}

func (f *Fold) dropOldestResult() {
	r := f.recent[0]
	f.recent = f.recent[1:]
	delete(f.byID, r.ChangeID)
	if r.Deleted && f.deleted[r.objectKey()] == r.Revision {
		delete(f.deleted, r.objectKey())
	}
}

// objectRevision returns the revision that a change of the object must have as
// its base. For an object that does not exist it is the revision of its deletion
// while that is retained, because a late change with base 0, made before the
// deletion, must not revert it.
func (f *Fold) objectRevision(k ObjectKind, id string) types.Revision {
	if r := f.config.objectRevision(k, id); r != 0 {
		return r
	}
	return f.deleted[objectKey{k, id}]
}

// objectRevision returns the revision at which the object last changed, or 0 if
// it does not exist.
func (c *Config) objectRevision(k ObjectKind, id string) types.Revision {
	switch k {
	case ObjectService:
		return c.Services[types.ServiceID(id)].Revision
	case ObjectTarget:
		return c.Targets[types.TargetID(id)].Revision
	case ObjectWorkspace:
		return c.Workspaces[types.WorkspaceID(id)].Revision
	}
	return 0
}

// apply applies a valid change.
func (c *Config) apply(ch *Change) {
	c.Revision++
	switch ch.Kind {
	case ObjectService:
		putOrDelete(c.Services, types.ServiceID(ch.ObjectID), ch.Service, ch.Delete, c.Revision)
	case ObjectTarget:
		putOrDelete(c.Targets, types.TargetID(ch.ObjectID), ch.Target, ch.Delete, c.Revision)
	case ObjectWorkspace:
		putOrDelete(c.Workspaces, types.WorkspaceID(ch.ObjectID), ch.Workspace, ch.Delete, c.Revision)
	}
}

func putOrDelete[K comparable, V any](m map[K]Entry[V], k K, v *V, remove bool, rev types.Revision) {
	if remove {
		delete(m, k)
		return
	}
	m[k] = Entry[V]{Value: *v, Revision: rev}
}
