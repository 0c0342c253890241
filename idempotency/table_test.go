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

// Of two daemons that receive a request with the same key concurrently, only the
// one whose intent comes first may dispatch it.
func TestOnlyFirstIntentRuns(t *testing.T) {
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

// A duplicate append must not restart a released attempt, and a released key must be
// available to another attempt.
func TestReleasedKeyCanRunAgain(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	released := Record{Kind: KindReleased, Key: key, Attempt: "a"}
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), released, intent("a")}))
	v, _ := tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictReleased)
	assert.NilError(t, tb.Apply(1, now, []Record{intent("b")}))
	v, _ = tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictRun)
	// A duplicate of the first intent has no effect after a second release either.
	releasedB := Record{Kind: KindReleased, Key: key, Attempt: "b"}
	assert.NilError(t, tb.Apply(2, now, []Record{releasedB, intent("a")}))
	v, _ = tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictReleased)
}

// The release of a claim that timed out may reach the log before its intent. The key
// must not stay blocked then.
func TestReleaseBeforeIntentFreesKey(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	released := Record{Kind: KindReleased, Key: key, Attempt: "a"}
	assert.NilError(t, tb.Apply(0, now, []Record{released, intent("a"), intent("b")}))
	v, _ := tb.Evaluate(key, "a", 7, now)
	assert.Equal(t, v, VerdictReleased)
	v, _ = tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictRun)
}

// A key must not run a second time in its new home data centre while its records may
// be in the stream of the old one.
func TestMovedKeyWaitsOneWindow(t *testing.T) {
	s := Settings{Window: time.Hour, InProgressLimit: time.Minute, Self: "b"}
	s.Home = func(_ Key, dcs []types.DataCentreID) types.DataCentreID { return dcs[len(dcs)-1] }
	tb, now := NewTable(s), time.Unix(1000, 0)
	homes := func(rev types.Revision, dcs ...types.DataCentreID) Record {
		return Record{Kind: KindHomes, Homes: &Homes{Revision: rev, DataCentres: dcs}}
	}
	assert.NilError(t, tb.Apply(0, now, []Record{homes(1, "a", "b", "c")}))
	assert.Assert(t, tb.Moved(key, now), "the key's home is another data centre")
	assert.NilError(t, tb.Apply(1, now, []Record{homes(2, "a", "b"), homes(1, "a", "b", "c")}))
	assert.Assert(t, tb.Moved(key, now.Add(time.Hour)))
	assert.Assert(t, !tb.Moved(key, now.Add(time.Hour+time.Second)))
}

// A claim must get no verdict from a table that has not read the stream to its end.
func TestClaimWaitsForEndOfStream(t *testing.T) {
	c, now := NewClaims(Settings{Window: time.Hour, InProgressLimit: time.Minute}), time.Unix(1000, 0)
	cl := &Claim{Key: key, Attempt: "b", Digest: 7}
	assert.Assert(t, !c.Open(cl, now))
	assert.NilError(t, c.Apply(0, now, []Record{intent("a")}))
	resolved, intents := c.Resolve(2, now)
	assert.Equal(t, len(resolved)+len(intents), 0)
	done := Record{Kind: KindCompleted, Key: key, Attempt: "a", Response: &Response{Status: 201}}
	assert.NilError(t, c.Apply(1, now, []Record{done}))
	resolved, _ = c.Resolve(2, now)
	assert.Equal(t, len(resolved), 1)
	assert.Equal(t, cl.Verdict, VerdictCompleted)
}

// A claim whose intent came second in the log must run after the first attempt was
// released; it needs a new intent for that.
func TestWaitingClaimRunsAfterRelease(t *testing.T) {
	c, now := NewClaims(Settings{Window: time.Hour, InProgressLimit: time.Minute}), time.Unix(1000, 0)
	c.Resolve(0, now)
	cl := &Claim{Key: key, Attempt: "b", Digest: 7}
	assert.Assert(t, c.Open(cl, now))
	assert.NilError(t, c.Apply(0, now, []Record{intent("a"), intent("b")}))
	resolved, intents := c.Resolve(1, now)
	assert.Equal(t, len(resolved)+len(intents), 0)
	assert.NilError(t, c.Apply(1, now, []Record{{Kind: KindReleased, Key: key, Attempt: "a"}}))
	_, intents = c.Resolve(2, now)
	assert.Equal(t, len(intents), 1)
	assert.NilError(t, c.Apply(2, now, []Record{cl.Intent()}))
	c.Resolve(3, now)
	assert.Equal(t, cl.Verdict, VerdictRun)
}

// A repeated request must get the recorded response instead of running again.
func TestCompletedKeyReturnsResponse(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	done := Record{Kind: KindCompleted, Key: key, Attempt: "a", Response: &Response{Status: 201}}
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), done, intent("b")}))
	v, resp := tb.Evaluate(key, "b", 7, now)
	assert.Equal(t, v, VerdictCompleted)
	assert.Equal(t, resp.Status, 201)
}

// A gap in the records must be reported, and keys older than the window must be
// removed, so that the table does not grow without bound.
func TestGapAndExpiry(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	assert.Assert(t, errors.Is(tb.Apply(1, now, nil), ErrGap))
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a")}))
	assert.NilError(t, tb.Apply(1, now.Add(2*time.Hour), nil))
	assert.Equal(t, tb.Len(), 0)
}
