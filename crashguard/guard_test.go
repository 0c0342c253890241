package crashguard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

const (
	bad    = 0xbad
	shared = 0x5a
	start  = clock.Instant(time.Hour)
)

// prompt returns parts with the given IDs.
func prompt(ids ...uint64) (parts []directory.Part) {
	for _, id := range ids {
		parts = append(parts, directory.Part{ID: id})
	}
	return parts
}

// engine returns the lifetime of an engine.
func engine(n int) directory.Lifetime { return directory.Lifetime{Target: uint64(n), StartedAt: 1} }

// crashAll records the crash of n engines, one a second, and returns the time after the last
// one at which it counts.
func crashAll(g *Guard, n int, from clock.Instant, ids ...uint64) clock.Instant {
	for i := range n {
		g.RecordCrash(engine(int(from)+i), prompt(ids...), from.Add(time.Duration(i)*time.Second))
	}
	return from.Add(time.Duration(n-1)*time.Second + settleTime)
}

// Guards against requests that crash one engine after another because no request is refused,
// and against refused requests that only share other parts with them.
func TestPartUnderCrashesIsBlocked(t *testing.T) {
	g := New()
	at := crashAll(g, minCrashes-1, start, shared, bad)
	assert.Equal(t, len(g.Evaluate(at).Blocked), 0)
	g.RecordAnswer(prompt(shared), at)
	g.RecordCrash(engine(99), prompt(shared, bad), at)
	assert.Equal(t, len(g.Evaluate(at.Add(settleTime/2)).Blocked), 0, "answers of other daemons may be on their way")
	at = at.Add(settleTime)
	blocked := g.Evaluate(at).Blocked
	assert.DeepEqual(t, blocked, []Blocking{{Part: bad, Crashes: minCrashes, Count: 1, For: firstBlock}})
	assert.Equal(t, g.Blocked(prompt(7, bad), at), firstBlock)
	assert.Equal(t, g.Blocked(prompt(shared), at), time.Duration(0))
	assert.Equal(t, g.BlockedParts(at), 1)
}

// Guards against suspicion of the parts of all streams in progress at a crash, most of which are
// past their first events.
func TestLongResponsesAreNoSuspects(t *testing.T) {
	assert.Assert(t, Suspect(0))
	assert.Assert(t, Suspect(maxSuspectEvents))
	assert.Assert(t, !Suspect(maxSuspectEvents+1))
}

// Guards against a part that is blocked although its requests are answered, and against one
// crash that counts several times because several requests report it.
func TestSoundPartIsNotBlocked(t *testing.T) {
	g := New()
	at := crashAll(g, minCrashes-1, start, bad)
	for range minCrashes {
		g.RecordCrash(engine(int(start)), prompt(bad), at)
	}
	assert.Equal(t, len(g.Evaluate(at).Blocked), 0)
	g.RecordAnswer(prompt(bad), at)
	at = crashAll(g, 1, at.Add(answerMargin+time.Second), bad)
	assert.Equal(t, len(g.Evaluate(at).Blocked), 0)
	at = crashAll(g, minCrashesAnswered-2, at, bad)
	assert.Equal(t, len(g.Evaluate(at).Blocked), 0, "a loss of several engines is more likely")
	at = crashAll(g, 1, at, bad)
	assert.Equal(t, len(g.Evaluate(at).Blocked), 1, "it turned bad after its answer")
}

// Guards against a block of the part that all prompts share while no engine is left to answer
// any of them.
func TestSharedPartIsNotBlockedDuringOutage(t *testing.T) {
	for _, ids := range [][]uint64{{shared, bad}, {bad, shared}} {
		g := New()
		g.RecordAnswer(prompt(shared), start.Add(-time.Minute))
		at := crashAll(g, minCrashes+2, start, ids...)
		blocked := g.Evaluate(at).Blocked
		assert.Equal(t, len(blocked), 1)
		assert.Equal(t, blocked[0].Part, uint64(bad))
	}
}

// Guards against a block that outlives the proof that its part is sound.
func TestAnswerLiftsBlock(t *testing.T) {
	g, other := New(), New()
	at := crashAll(g, minCrashes, start, bad)
	assert.Equal(t, len(g.Evaluate(at).Blocked), 1)
	exchange(g, other, at)
	assert.Assert(t, other.Blocked(prompt(bad), at) > 0)
	other.RecordAnswer(prompt(bad), at)
	other.Evaluate(at)
	assert.Equal(t, other.Blocked(prompt(bad), at), time.Duration(0))
	exchange(other, g, at)
	exchange(g, other, at)
	g.Evaluate(at)
	assert.Equal(t, g.Blocked(prompt(bad), at), time.Duration(0))
	assert.Equal(t, other.Blocked(prompt(bad), at), time.Duration(0))
}

// Guards against a block that never ends, one that is extended by daemons that tell each other
// its end, and several crashes after a block of a part that is still bad.
func TestBlockEndsAndReturnsAfterOneCrash(t *testing.T) {
	g, other := New(), New()
	at := crashAll(g, minCrashes, start, bad)
	assert.Equal(t, len(g.Evaluate(at).Blocked), 1)
	end := at.Add(firstBlock)
	for ; at < end.Add(time.Second); at = at.Add(time.Second) {
		exchange(g, other, at)
		u := other.Outgoing(true, at)
		g.Apply(&u, at.Add(100*time.Millisecond)) // its time on the way
	}
	for _, d := range []*Guard{g, other} {
		assert.Equal(t, d.Blocked(prompt(bad), at), time.Duration(0))
	}
	at = crashAll(other, 1, at, bad)
	blocked := other.Evaluate(at).Blocked
	assert.DeepEqual(t, blocked, []Blocking{{Part: bad, Crashes: 1, Count: 2, For: 2 * firstBlock}})
	exchange(other, g, at)
	assert.Equal(t, g.Blocked(prompt(bad), at), 2*firstBlock)
}

// Guards against a daemon that sends requests with a blocked part after it has started.
func TestNewDaemonLearnsBlocks(t *testing.T) {
	g, started := New(), New()
	at := start
	for i := range 3 * MaxBlocks {
		at = crashAll(g, minCrashes, at.Add(time.Second), uint64(100+i))
		assert.Equal(t, len(g.Evaluate(at).Blocked), 1)
	}
	for g.Pending() {
		g.Outgoing(false, at)
	}
	for range 3 {
		u := g.Outgoing(true, at)
		started.Apply(&u, at)
	}
	assert.Equal(t, started.BlockedParts(at), 3*MaxBlocks)
}

// Guards against tables that grow with the number of crashes.
func TestEvidenceIsBounded(t *testing.T) {
	g := New()
	at := start
	for i := range 3 * maxCrashes {
		at = crashAll(g, minCrashes, at.Add(time.Second), uint64(i+1))
		g.Evaluate(at)
		assert.Assert(t, len(g.crashes) <= maxCrashes && len(g.blocks) <= maxBlocks)
	}
	assert.Assert(t, len(g.outbox.reports) <= maxCrashes)
}

// exchange delivers what one guard has to publish to another one.
func exchange(from, to *Guard, at clock.Instant) {
	u := from.Outgoing(true, at)
	to.Apply(&u, at)
	for from.Pending() {
		u := from.Outgoing(false, at)
		to.Apply(&u, at)
	}
}

// Guards against a rare part that is blocked because its requests were in progress beside those
// with the bad part.
func TestPartBesideABlockedOneIsNotBlocked(t *testing.T) {
	g := New()
	at := crashAll(g, minCrashes, start, bad, 7)
	g.RecordCrash(engine(99), prompt(bad), at)
	blocked := g.Evaluate(at.Add(settleTime)).Blocked
	assert.Equal(t, len(blocked), 1)
	assert.Equal(t, blocked[0].Part, uint64(bad))
}

// Guards against a service that is refused for a minute because engines have lost power together
// under the part that all its prompts share, after a time without requests.
func TestLossOfSeveralEnginesBlocksNoKnownPart(t *testing.T) {
	g := New()
	g.RecordAnswer(prompt(shared), start.Add(-time.Minute))
	for i := range 4 {
		g.RecordCrash(engine(i), prompt(shared), start)
	}
	assert.Equal(t, len(g.Evaluate(start.Add(settleTime)).Blocked), 0)
}
