package idempotency

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

var key = Key{Service: "hire-desk", Workspace: "club", Key: "deposit-1"}

func newTable() *Table {
	return NewTable(Settings{Window: time.Hour, InProgressLimit: time.Minute})
}

func intent(attempt string) Record {
	return Record{Kind: KindIntent, Key: key, Attempt: attempt, Digest: 7}
}

// Guards against two daemons that receive one key at once both dispatching.
func TestFirstIntentWins(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), intent("b")}))
	v, _ := tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictRun)
	v, _ = tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictInProgress)
	v, _ = tb.Evaluate(key, "b", 8, now)
	assert.Equal(t, v, VerdictConflict)
	v, _ = tb.Evaluate(key, "b", 7, now.Add(2*time.Minute))
	assert.Equal(t, v, VerdictUnknown)
}

// Guards against a duplicate append reviving a released attempt, and against a
// released key that can never run.
func TestReleasedKeyCanRunAgain(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	released := Record{Kind: KindReleased, Key: key, Attempt: "a"}
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), released, intent("a")}))
	v, _ := tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictReleased)
	assert.NilError(t, tb.Apply(1, now, []Record{intent("b")}))
	v, _ = tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictRun)
	// A copy of the first intent stays without effect after a second release.
	releasedB := Record{Kind: KindReleased, Key: key, Attempt: "b"}
	assert.NilError(t, tb.Apply(2, now, []Record{releasedB, intent("a")}))
	v, _ = tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictReleased)
}

// Guards against a key that stays blocked because the release of a claim that
// timed out reached the log before its intent.
func TestReleaseBeforeIntent(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	released := Record{Kind: KindReleased, Key: key, Attempt: "a"}
	assert.NilError(t, tb.Apply(0, now, []Record{released, intent("a"), intent("b")}))
	v, _ := tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictReleased)
	v, _ = tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictRun)
}

// Guards against a key that runs a second time in its new home data centre
// while its records are in the old one.
func TestMovedKeyWaitsOneWindow(t *testing.T) {
	s := Settings{Window: time.Hour, InProgressLimit: time.Minute, Self: "b"}
	s.Home = func(_ Key, dcs []types.DataCentreID) types.DataCentreID { return dcs[len(dcs)-1] }
	tb, now := NewTable(s), time.Unix(1000, 0)
	homes := func(rev types.Revision, dcs ...types.DataCentreID) Record {
		return Record{Kind: KindHomes, Homes: &Homes{Revision: rev, DataCentres: dcs}}
	}
	assert.NilError(t, tb.Apply(0, now, []Record{homes(1, "a", "b", "c")}))
	assert.Assert(t, tb.Moved(key, now), "the home is another data centre")
	assert.NilError(t, tb.Apply(1, now, []Record{homes(2, "a", "b"), homes(1, "a", "b", "c")}))
	assert.Assert(t, tb.Moved(key, now.Add(time.Hour)))
	assert.Assert(t, !tb.Moved(key, now.Add(time.Hour+time.Second)))
}

// Guards against a verdict from a table that has not read the stream to its end.
func TestClaimWaitsForEndOfStream(t *testing.T) {
	c, now := NewClaims(Settings{Window: time.Hour, InProgressLimit: time.Minute}), time.Unix(1000, 0)
	cl := &Claim{Key: key, Attempt: "b", Digest: 7}
	assert.Assert(t, !c.Open(cl, now))
	assert.NilError(t, c.Apply(0, now, []Record{intent("a")}))
	settled, intents := c.Resolve(2, now)
	assert.Equal(t, len(settled)+len(intents), 0)
	done := Record{Kind: KindCompleted, Key: key, Attempt: "a", Response: &Response{Status: 201}}
	assert.NilError(t, c.Apply(1, now, []Record{done}))
	settled, _ = c.Resolve(2, now)
	assert.Equal(t, len(settled), 1)
	assert.Equal(t, cl.Verdict, VerdictCompleted)
}

// Guards against a repeat that never runs although the first attempt, whose
// intent came first in the log, was released.
func TestWaitingRepeatRunsAfterRelease(t *testing.T) {
	c, now := NewClaims(Settings{Window: time.Hour, InProgressLimit: time.Minute}), time.Unix(1000, 0)
	c.Resolve(0, now)
	cl := &Claim{Key: key, Attempt: "b", Digest: 7}
	assert.Assert(t, c.Open(cl, now))
	assert.NilError(t, c.Apply(0, now, []Record{intent("a"), intent("b")}))
	settled, intents := c.Resolve(1, now)
	assert.Equal(t, len(settled)+len(intents), 0)
	assert.NilError(t, c.Apply(1, now, []Record{{Kind: KindReleased, Key: key, Attempt: "a"}}))
	_, intents = c.Resolve(2, now)
	assert.Equal(t, len(intents), 1)
	assert.NilError(t, c.Apply(2, now, []Record{cl.Intent()}))
	c.Resolve(3, now)
	assert.Equal(t, cl.Verdict, VerdictRun)
}

// Guards against a repeat that runs again instead of getting the recorded answer.
func TestCompletedKeyReturnsAnswer(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	done := Record{Kind: KindCompleted, Key: key, Attempt: "a", Response: &Response{Status: 201}}
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), done, intent("b")}))
	v, a := tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictCompleted)
	assert.Equal(t, a.Status, 201)
}

// Guards against a skipped record and against unbounded growth of the table.
func TestGapAndExpiry(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	assert.Assert(t, errors.Is(tb.Apply(1, now, nil), ErrGap))
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a")}))
	assert.NilError(t, tb.Apply(1, now.Add(2*time.Hour), nil))
	assert.Equal(t, tb.Len(), 0)
}
