package idempotency

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	v, _ := tb.Judge(key, "a", 7, now)
	assert.Equal(t, v, VerdictRun)
	v, _ = tb.Judge(key, "b", 7, now)
	assert.Equal(t, v, VerdictInProgress)
	v, _ = tb.Judge(key, "b", 8, now)
	assert.Equal(t, v, VerdictConflict)
	v, _ = tb.Judge(key, "b", 7, now.Add(2*time.Minute))
	assert.Equal(t, v, VerdictUnknown)
}

// Guards against a duplicate append reviving a released attempt, and against a
// released key that can never run.
func TestReleasedKeyCanRunAgain(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	released := Record{Kind: KindReleased, Key: key, Attempt: "a"}
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), released, intent("a")}))
	v, _ := tb.Judge(key, "a", 7, now)
	assert.Equal(t, v, VerdictPending)
	assert.NilError(t, tb.Apply(1, now, []Record{intent("b")}))
	v, _ = tb.Judge(key, "b", 7, now)
	assert.Equal(t, v, VerdictRun)
}

// Guards against a repeat that runs again instead of getting the recorded answer.
func TestCompletedKeyReturnsAnswer(t *testing.T) {
	tb, now := newTable(), time.Unix(1000, 0)
	done := Record{Kind: KindCompleted, Key: key, Attempt: "a", Answer: &Answer{Status: 201}}
	assert.NilError(t, tb.Apply(0, now, []Record{intent("a"), done, intent("b")}))
	v, a := tb.Judge(key, "b", 7, now)
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
