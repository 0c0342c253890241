package modelengine

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/types"
)

var testStart = time.Unix(1_000_000, 0)

func testEngine(change func(*Params)) *Engine {
	p := DefaultParams()
	if change != nil {
		change(&p)
	}
	return NewEngine(p, Description{Role: types.RoleMixed, Model: "m", Version: "1"})
}

func testJob(id types.RequestID, prompt, tokens int) *Job {
	return &Job{ID: id, PromptTokens: prompt, MaxTokens: tokens}
}

// drive steps the engine until it has no work and returns all outputs.
func drive(t *testing.T, e *Engine, now time.Time) ([]Output, time.Time) {
	t.Helper()
	var all []Output
	for range 10_000 {
		d, out := e.Step(now)
		if d == 0 {
			return all, now
		}
		now = now.Add(d)
		all = append(all, out...)
	}
	t.Fatal("engine still has work after 10,000 iterations")
	return nil, now
}

// Guards against cache events with other block hashes than the router computes: the
// router would then match no event to a prompt.
func TestBlockHashesEqualRouter(t *testing.T) {
	prompt := make([]byte, 3*types.BlockTokens*types.BytesPerToken+100)
	for i := range prompt {
		prompt[i] = byte(i * 7 >> 3)
	}
	assert.DeepEqual(t, promptBlocks(string(prompt)), routing.HashBlocks(nil, prompt))
	assert.Equal(t, len(promptBlocks(string(prompt))), 3)
}

// Guards against a stand-in that applies an order of a control daemon that has lost
// its lease although it checks fencing: fencing tests would then pass or fail for the
// wrong reason.
func TestStaleFencingNumber(t *testing.T) {
	order := func(id string, f types.FencingNumber) Order {
		return Order{ID: id, Fence: f, Role: types.RoleMixed, Model: "m", Version: "1", Drain: id == "old"}
	}
	t.Run("checked", func(t *testing.T) {
		e := testEngine(nil)
		_, err := e.Apply(order("new", 7), testStart)
		assert.NilError(t, err)
		_, err = e.Apply(order("old", 6), testStart)
		assert.Assert(t, errors.Is(err, ErrStaleFence))
		assert.Equal(t, e.Leaving(), false)
		assert.Equal(t, e.Stats.OrdersStale, int64(1))
		assert.Equal(t, e.Stats.StaleApplied, int64(0))
	})
	t.Run("ignored", func(t *testing.T) {
		e := testEngine(func(p *Params) { p.ChecksFencing = false })
		_, err := e.Apply(order("new", 7), testStart)
		assert.NilError(t, err)
		_, err = e.Apply(order("old", 6), testStart)
		assert.NilError(t, err)
		assert.Equal(t, e.Leaving(), true)
		assert.Equal(t, e.Stats.StaleApplied, int64(1))
		assert.Equal(t, e.HighestFence(), types.FencingNumber(7))
	})
}

// Guards against a prefix cache without eviction, which would overstate the benefit of
// prefix affinity.
func TestPrefixCacheEvicts(t *testing.T) {
	e := testEngine(func(p *Params) { p.KVTokens = 2 * types.BlockTokens })
	var evicted []uint64
	e.SetCacheObserver(func(k CacheEventKind, b uint64) {
		if k == BlockEvicted {
			evicted = append(evicted, b)
		}
	})
	now := testStart
	for _, b := range []uint64{1, 2, 1, 3} {
		j := testJob("r", types.BlockTokens, 1)
		j.Blocks = []uint64{b}
		assert.NilError(t, e.Submit(j, "m", "", now))
		_, now = drive(t, e, now)
	}
	assert.DeepEqual(t, evicted, []uint64{2}) // 1 was used after 2
	assert.Equal(t, e.cache.lookup([]uint64{1}), 1)
	assert.Equal(t, e.cache.lookup([]uint64{2}), 0)
}

// Guards against a change of role that lets running requests finish: tests would then
// not detect a planner that interrupts requests.
func TestRoleChangeInterruptsRequests(t *testing.T) {
	e := testEngine(nil)
	assert.NilError(t, e.Submit(testJob("r", 100, 50), "m", "", testStart))
	e.Step(testStart)
	interrupted, err := e.Apply(Order{ID: "o", Fence: 1, Role: types.RoleDecode, Model: "m", Version: "1"}, testStart)
	assert.NilError(t, err)
	assert.Equal(t, len(interrupted), 1)
	assert.Assert(t, interrupted[0].Interrupted)
	assert.Equal(t, e.Stats.Interrupted, int64(1))
	assert.Assert(t, errors.Is(e.Submit(testJob("r2", 1, 1), "m", "", testStart), ErrChanging))
	end := testStart.Add(e.params.ChangeTime)
	assert.Equal(t, e.Changing(end), false)
	assert.Equal(t, e.Description().Role, types.RoleDecode)
}

// Guards against a crash that retains the change in progress, the fencing number or
// the cache, which a real process would lose.
func TestCrashLosesState(t *testing.T) {
	e := testEngine(nil)
	j := testJob("r", types.BlockTokens, 1)
	j.Blocks = []uint64{1}
	assert.NilError(t, e.Submit(j, "m", "", testStart))
	_, now := drive(t, e, testStart)
	_, err := e.Apply(Order{ID: "o", Fence: 5, Role: types.RoleDecode, Model: "m", Version: "1"}, now)
	assert.NilError(t, err)
	e.Crash()
	assert.Equal(t, e.Changing(now), false)
	assert.Equal(t, e.Description().Role, types.RoleMixed)
	assert.Equal(t, e.HighestFence(), types.FencingNumber(0))
	assert.Equal(t, e.cache.lookup([]uint64{1}), 0)
	assert.Equal(t, e.Stats.ChangesAborted, int64(1))
}

// Guards against an engine that runs more requests than fit into its KV memory:
// overload would then cause no queue.
func TestKVMemoryLimitsBatch(t *testing.T) {
	e := testEngine(func(p *Params) { p.KVTokens = 1000 })
	assert.Assert(t, errors.Is(e.Submit(testJob("large", 900, 101), "m", "", testStart), ErrRequestTooLarge))
	assert.NilError(t, e.Submit(testJob("a", 500, 100), "m", "", testStart))
	assert.NilError(t, e.Submit(testJob("b", 500, 100), "m", "", testStart))
	e.Step(testStart)
	assert.Equal(t, len(e.waiting), 1)
	out, _ := drive(t, e, testStart)
	done := 0
	for _, o := range out {
		if o.Done {
			done++
		}
	}
	assert.Equal(t, done, 2)
}

// Guards against retained KV caches that never expire or are not evicted for running
// jobs: moving a stream to another engine would then succeed only in tests.
func TestRetainedKVExpiresAndIsEvicted(t *testing.T) {
	e := testEngine(func(p *Params) { p.KVTokens = 1000 })
	assert.NilError(t, e.RetainKV("r", KV{PromptTokens: 400}, testStart))
	_, err := e.KV("r", testStart.Add(KVRetention-1))
	assert.NilError(t, err)
	_, err = e.KV("r", testStart.Add(KVRetention))
	assert.Assert(t, errors.Is(err, ErrKVNotFound))

	assert.NilError(t, e.RetainKV("r", KV{PromptTokens: 400}, testStart))
	assert.NilError(t, e.Submit(testJob("big", 800, 100), "m", "", testStart))
	e.Step(testStart)
	_, err = e.KV("r", testStart)
	assert.Assert(t, errors.Is(err, ErrKVNotFound))
}

// Guards against cache events without delay or gaps: tests would then not detect a
// router that relies on prompt and complete events.
func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	l := eventLog{settings: EventSettings{Lag: time.Second, DropEvery: 3}}
	for b := range uint64(4) {
		l.add(BlockStored, b, testStart)
	}
	assert.Equal(t, len(l.after(0, testStart.Add(time.Second-1))), 0)
	var seqs []uint64
	for _, e := range l.after(1, testStart.Add(time.Second)) {
		seqs = append(seqs, e.Sequence)
	}
	assert.DeepEqual(t, seqs, []uint64{2, 4})
}
