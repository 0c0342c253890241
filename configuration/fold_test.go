package configuration

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

func putService(id, changeID string, base types.Revision) Record {
	return Record{Change: &Change{
		ID: changeID, Kind: ObjectService, ObjectID: id, Base: base,
		Service: &Service{ID: types.ServiceID(id)},
	}}
}

// Of two concurrent changes to one object with the same base, only the first may
// be accepted.
func TestOnlyFirstOfConcurrentChangesIsAccepted(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, putService("a", "c1", 0)))
	assert.NilError(t, f.Apply(1, putService("a", "c2", 0)))
	first, _ := f.Result("c1")
	second, _ := f.Result("c2")
	assert.Assert(t, first.Accepted())
	assert.Assert(t, second.Conflict)
	assert.Equal(t, second.Current, types.Revision(1))
	assert.Equal(t, f.Config().Revision, types.Revision(1))
}

// A duplicate append of a change must not alter its result or the revision.
func TestDuplicateAppendIsAppliedOnce(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, putService("a", "c1", 0)))
	assert.NilError(t, f.Apply(1, putService("a", "c1", 0)))
	r, _ := f.Result("c1")
	assert.Assert(t, r.Accepted())
	assert.Equal(t, f.Config().Revision, types.Revision(1))
}

// A gap in the records must be reported, and an older snapshot must not revert the
// configuration.
func TestGapAndOlderSnapshotAreRefused(t *testing.T) {
	f := NewFold()
	old := f.Snapshot()
	assert.NilError(t, f.Apply(0, putService("a", "c1", 0)))
	err := f.Apply(2, putService("b", "c2", 0))
	assert.Assert(t, errors.Is(err, ErrGap))
	assert.Equal(t, f.Next(), types.Offset(1))
	assert.Assert(t, !f.Load(old))
	assert.Equal(t, f.Config().Revision, types.Revision(1))
}

// A record that cannot be decoded must be counted and must not block the fold.
func TestUndecodedRecordDoesNotBlock(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, Record{}))
	assert.NilError(t, f.Apply(1, putService("a", "c1", 0)))
	assert.Equal(t, f.Undecoded(), 1)
	assert.Equal(t, f.Config().Revision, types.Revision(1))
}

// A target whose service does not exist must be refused.
func TestTargetRequiresService(t *testing.T) {
	err := Validate(New(), &Change{
		ID: "c", Kind: ObjectTarget, ObjectID: "t",
		Target: &Target{ID: "t", Service: "none", Address: "127.0.0.1:1", DataCentre: "d"},
	})
	var fe *FieldError
	assert.Assert(t, errors.As(err, &fe))
	assert.Equal(t, fe.Field, "target.service")
}

func deleteService(id, changeID string, base types.Revision) Record {
	return Record{Change: &Change{ID: changeID, Kind: ObjectService, ObjectID: id, Base: base, Delete: true}}
}

// A change with base 0 that was made before a deletion and is applied after it
// must not revert the deletion, also after a start from a snapshot. To create the
// object again, a change must have the deletion's revision as its base.
func TestLateCreationDoesNotRevertDeletion(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, putService("a", "c1", 0)))
	assert.NilError(t, f.Apply(1, deleteService("a", "c2", 1)))
	g := NewFold()
	assert.Assert(t, g.Load(f.Snapshot()))
	for _, f := range []*Fold{f, g} {
		assert.NilError(t, f.Apply(2, putService("a", "late", 0)))
		r, _ := f.Result("late")
		assert.Assert(t, r.Conflict)
		assert.Equal(t, r.Current, types.Revision(2))
		assert.NilError(t, f.Apply(3, putService("a", "again", r.Current)))
		r, _ = f.Result("again")
		assert.Assert(t, r.Accepted())
	}
}

// The number of retained results and deletions must be bounded, and a snapshot must
// not change when the fold drops its oldest results.
func TestRetainedResultsAreBounded(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, putService("a", "c0", 0)))
	assert.NilError(t, f.Apply(1, deleteService("a", "c1", 1)))
	snap := f.Snapshot()
	for i := range MaxRecentResults {
		assert.NilError(t, f.Apply(types.Offset(i+2), putService("b", fmt.Sprintf("r%d", i), 9)))
	}
	_, ok := f.Result("c1")
	assert.Assert(t, !ok)
	assert.Equal(t, len(f.Snapshot().Recent), MaxRecentResults)
	assert.Equal(t, len(snap.Recent), 2)
	assert.NilError(t, f.Apply(f.Next(), putService("a", "new", 0)))
	r, _ := f.Result("new")
	assert.Assert(t, r.Accepted(), "the revision of the deletion must no longer be retained")
}

// The deletion of an object that does not exist must be refused and must not
// advance the revision.
func TestDeletionRequiresObject(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, deleteService("a", "c", 0)))
	r, _ := f.Result("c")
	assert.Assert(t, !r.Accepted())
	assert.Equal(t, f.Config().Revision, types.Revision(0))
}

// A dry run must not modify the snapshot, and must accept a change that depends on
// an earlier change of the same run.
func TestEvaluateDoesNotModifySnapshot(t *testing.T) {
	f := NewFold()
	assert.NilError(t, f.Apply(0, putService("a", "c1", 0)))
	snap := f.Snapshot()
	target := &Change{ID: "c3", Kind: ObjectTarget, ObjectID: "t", Target: &Target{
		ID: "t", Service: "b", Address: "127.0.0.1:1", DataCentre: "d",
		Model: "m", Version: "1", Rates: Rates{PrefillTokensPerSecond: 1, MaxStreams: 1},
	}}
	got := snap.Evaluate([]*Change{putService("b", "c2", 0).Change, target, putService("a", "c4", 0).Change})
	assert.Assert(t, got[0].Accepted())
	assert.Equal(t, got[1].Refusal, "")
	assert.Assert(t, got[2].Conflict)
	assert.Equal(t, len(snap.Recent), 1)
	assert.Equal(t, len(snap.Config.Services), 1)
}

// Guards against a batch of changes that costs a copy of the configuration each, and against a
// published configuration that a later change modifies.
func TestConfigurationIsCopiedOncePerPublication(t *testing.T) {
	f := NewFold()
	put := func(id string) {
		ch := &Change{ID: id, Kind: ObjectWorkspace, ObjectID: id, Workspace: &Workspace{ID: types.WorkspaceID(id), Share: 1}}
		assert.NilError(t, f.Apply(f.Next(), Record{Change: ch}))
	}
	put("a")
	unpublished := f.config
	put("b")
	assert.Assert(t, f.config == unpublished)
	for i, publish := range []func() *Config{f.Config, func() *Config { return f.Snapshot().Config }} {
		published := publish()
		put("c" + string(rune('0'+i)))
		assert.Equal(t, len(published.Workspaces), 2+i)
		assert.Equal(t, published.Revision, types.Revision(2+i))
		assert.Equal(t, len(f.config.Workspaces), 3+i)
	}
	s := f.Snapshot()
	f = NewFold()
	put("other")
	assert.Assert(t, f.Load(s))
	put("d")
	assert.Equal(t, len(s.Config.Workspaces), 4)
}
