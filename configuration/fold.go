package configuration

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrGap reports that records between the fold's position and the next record
// are missing. The caller has to load a newer snapshot.
var ErrGap = errors.New("records are missing before this offset")

// Record is one decoded record of the configuration stream. Exactly one field
// is set; a record that could not be decoded has none.
type Record struct {
	Change   *Change
	Snapshot *Snapshot
}

// Snapshot is a complete fold at one point of the stream.
type Snapshot struct {
	// Next is the offset of the first record that the snapshot does not include.
	Next   types.Offset
	Config *Config
	// Recent holds the results of the latest changes, oldest first, so that a
	// repeated change identifier is recognised after a restart. It is shared
	// with the fold and must not be changed.
	Recent []Result
	// LoggedAt is the log's time of the newest complete snapshot record that the
	// sender knows, or of the first record that it read; the zero time means
	// that it knows neither. A daemon that starts from a peer needs it to know
	// when the next snapshot is due.
	LoggedAt time.Time
}

// Result is the verdict on one change.
type Result struct {
	ChangeID string `json:"change_id"`
	// Operator names who made the change; it is empty without credentials.
	Operator string       `json:"operator,omitempty"`
	Offset   types.Offset `json:"offset"`
	Kind     ObjectKind   `json:"kind"`
	ObjectID string       `json:"object_id"`
	// Deleted says that the change removed the object.
	Deleted  bool           `json:"deleted,omitempty"`
	Revision types.Revision `json:"revision,omitempty"`
	// Current is, for a conflict, the current revision of the object.
	Current types.Revision `json:"current,omitempty"`
	// Refusal is empty for an accepted change.
	Refusal string `json:"refusal,omitempty"`
	// Conflict says that the refusal was a conflict of base revisions.
	Conflict bool `json:"conflict,omitempty"`
}

// Accepted reports whether the change is in force.
func (r Result) Accepted() bool { return r.Refusal == "" }

func (r Result) object() object { return object{r.Kind, r.ObjectID} }

// MaxRecent bounds the results that the fold remembers, and with them the
// revisions of deleted objects. At 14,000 changes a day, 1,024 results cover
// about 105 minutes.
const MaxRecentResults = 1024

type object struct {
	kind ObjectKind
	id   string
}

// Fold is the state machine that turns the configuration stream into the
// configuration in force. All readers of the stream reach the same state. A
// Fold is not safe for concurrent use; Config returns immutable values.
type Fold struct {
	next   types.Offset
	config *Config
	recent []Result
	byID   map[string]Result
	// deleted holds the revisions of the deletions among the recent results.
	deleted map[object]types.Revision
	skipped int
}

// NewFold returns a fold at the beginning of the stream.
func NewFold() *Fold {
	return &Fold{config: New(), byID: map[string]Result{}, deleted: map[object]types.Revision{}}
}

// Next returns the offset of the next record that the fold needs.
func (f *Fold) Next() types.Offset { return f.next }

// Config returns the configuration in force. The caller must not change it.
func (f *Fold) Config() *Config { return f.config }

// Undecoded returns the number of records that could not be decoded.
func (f *Fold) Undecoded() int { return f.skipped }

// Result returns the verdict on a change, if the fold remembers it.
func (f *Fold) Result(changeID string) (Result, bool) {
	r, ok := f.byID[changeID]
	return r, ok
}

// Apply folds the record at offset o. A record before Next was folded already
// and is ignored. It returns an error that wraps ErrGap, and changes nothing,
// when records are missing.
func (f *Fold) Apply(o types.Offset, r Record) error {
	if o < f.next {
		return nil
	}
	if o > f.next {
		return fmt.Errorf("have records up to %d, got %d: %w", f.next-1, o, ErrGap)
	}
	f.next = o + 1
	switch {
	case r.Change != nil:
		f.applyChange(o, r.Change)
	case r.Snapshot != nil:
		// The fold already contains everything that the snapshot does.
	default:
		f.skipped++
	}
	return nil
}

// Load replaces the fold by a snapshot if the snapshot is newer, and reports
// whether it did. An older snapshot is never taken.
func (f *Fold) Load(s *Snapshot) bool {
	if s.Next <= f.next || s.Config.Revision < f.config.Revision {
		return false
	}
	f.next = s.Next
	f.config = s.Config
	f.recent = nil
	clear(f.byID)
	clear(f.deleted)
	for _, r := range s.Recent[max(0, len(s.Recent)-MaxRecentResults):] {
		f.remember(r)
	}
	return true
}

// Snapshot returns the state of the fold. It shares the recent results, which
// the fold only appends to, so that its cost does not grow with them.
func (f *Fold) Snapshot() *Snapshot {
	return &Snapshot{Next: f.next, Config: f.config, Recent: slices.Clip(f.recent)}
}

// Evaluate returns the verdicts that changes, one after the other, would get if
// they followed the snapshot in the stream. The snapshot stays as it is.
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
		return // a duplicate append of one change counts once
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
		f.config = f.config.with(ch)
		res.Revision, res.Deleted = f.config.Revision, ch.Delete
	}
	f.remember(res)
}

func (f *Fold) remember(r Result) {
	if len(f.recent) == MaxRecentResults {
		f.forgetOldest()
	}
	f.recent = append(f.recent, r)
	f.byID[r.ChangeID] = r
	if r.Deleted {
		f.deleted[r.object()] = r.Revision
	}
}

func (f *Fold) forgetOldest() {
	r := f.recent[0]
	f.recent = f.recent[1:]
	delete(f.byID, r.ChangeID)
	if r.Deleted && f.deleted[r.object()] == r.Revision {
		delete(f.deleted, r.object())
	}
}

// objectRevision returns the revision that a change of the object must name as
// its base. For an absent object it is the revision of its deletion while that
// is remembered: a late change with base 0, made before the deletion, must not
// revert it.
func (f *Fold) objectRevision(k ObjectKind, id string) types.Revision {
	if r := f.config.objectRevision(k, id); r != 0 {
		return r
	}
	return f.deleted[object{k, id}]
}

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

// with returns the configuration after a valid change.
func (c *Config) with(ch *Change) *Config {
	n := c.clone(ch.Kind)
	n.Revision++
	switch ch.Kind {
	case ObjectService:
		put(n.Services, types.ServiceID(ch.ObjectID), ch.Service, ch.Delete, n.Revision)
	case ObjectTarget:
		put(n.Targets, types.TargetID(ch.ObjectID), ch.Target, ch.Delete, n.Revision)
	case ObjectWorkspace:
		put(n.Workspaces, types.WorkspaceID(ch.ObjectID), ch.Workspace, ch.Delete, n.Revision)
	}
	return n
}

func put[K comparable, V any](m map[K]Entry[V], k K, v *V, remove bool, rev types.Revision) {
	if remove {
		delete(m, k)
		return
	}
	m[k] = Entry[V]{Value: *v, Revision: rev}
}
