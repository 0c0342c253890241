package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/types"
)

var start = time.Unix(1_000_000, 0)

func request() *Request {
	return &Request{Model: "m", PromptTokens: 2000, MaxTokens: 400, Deadline: start.Add(time.Second)}
}

func route(f *Fleet, r *Request, seed uint64) Decision {
	return NewRouter().Route(f, r, start, NewRand(seed))
}

// Guards against routing to a target that is draining, changing its role or in
// back-off, or that lacks the adapter or the version.
func TestRouteSkipsUnusableTargets(t *testing.T) {
	targets := testTargets(40)
	for i, v := range targets[:39] {
		switch i % 4 {
		case 0:
			v.Leaving = true
		case 1:
			v.Changing = true
		case 2:
			v.Adapters = nil
		case 3:
			v.Version = "v0"
		}
	}
	r := request()
	r.Adapter, r.Version = "x", "v1"
	f := NewFleet(1, "a", targets)
	for seed := range uint64(50) {
		assert.Equal(t, route(f, r, seed).Target, targets[39])
	}
	r.AffinityKey = HashKey("order")
	assert.Equal(t, route(f, r, 1).Target, targets[39])
	targets[39].Counters.RecordFailure(start, time.Second, NewRand(1))
	assert.Equal(t, route(f, r, 1).Reason, types.RefusedNoTarget)
}

// Guards against a burst on a target that recovers from a failure, and against a
// back-off that does not grow with consecutive failures.
func TestRecoveryAfterFailureIsGradual(t *testing.T) {
	v := testTarget(0)
	f := NewFleet(1, "a", []*Target{v})
	for range 3 {
		v.Counters.RecordFailure(start, time.Second, NewRand(1))
	}
	backoff := time.Unix(0, v.Counters.RetryAfter.Load()).Sub(start)
	assert.Assert(t, backoff >= 4*time.Second && backoff <= 6*time.Second, "back-off after three failures is %v, want 4 s to 6 s", backoff)
	v.Counters.RetryAfter.Store(0)
	v.Counters.InFlight.Store(recoveryLimit - 1)
	assert.Equal(t, route(f, request(), 1).Target, v)
	v.Counters.InFlight.Store(recoveryLimit)
	assert.Equal(t, route(f, request(), 1).Reason, types.RefusedTargetLimit)
}

// Guards against daemons that route the same key or prefix to different targets
// because their load reports differ, against keys that move when an unrelated target
// is removed, and against a target with several times the mean number of keys.
func TestDaemonsAgreeOnAffinity(t *testing.T) {
	for _, n := range []int{3, 16, 17, 370} {
		a, b, c := testTargets(n), testTargets(n), testTargets(n)
		for i, v := range b {
			v.Report.QueuedPrefillTokens = 100 * i
			v.Counters.QueuedPrefill.Store(int64(50 * i))
		}
		fa, fb, fc, idle := NewFleet(1, "a", a), NewFleet(1, "a", b), NewFleet(1, "a", c[1:]), NewFleet(2, "a", testTargets(n))
		hits := map[types.TargetID]int{}
		for key := range uint64(20 * n) {
			r := request()
			r.AffinityKey = mix(key + 1)
			r.Deadline = time.Time{}
			first := route(fa, r, key).Target.ID
			hits[first]++
			assert.Assert(t, hits[first] < 60, "one of %d targets has %d keys, want less than three times the mean of 20", n, hits[first])
			assert.Equal(t, route(fb, r, key+1).Target.ID, first)
			if first != c[0].ID {
				assert.Equal(t, route(fc, r, key).Target.ID, first)
			}
			r.AffinityKey, r.Blocks, r.PromptTokens = 0, []uint64{mix(key)}, types.BlockTokens+100
			assert.Equal(t, route(fa, r, key).Target.ID, route(idle, r, key+9).Target.ID)
		}
	}
}

// Guards against a popular prefix that overloads the target preferred for it.
func TestPopularPrefixSpreads(t *testing.T) {
	targets := testTargets(60)
	f := NewFleet(1, "a", targets)
	r := request()
	r.Blocks, r.PromptTokens = []uint64{7, 8}, 2*types.BlockTokens+500
	first := route(f, r, 1).Target
	first.Counters.QueuedPrefill.Store(20_000)
	second := route(f, r, 2).Target
	assert.Assert(t, first != second)
	assert.Equal(t, route(f, r, 3).Target, second)
}

// Guards against relying on a cache view that missed events as if it were complete.
func TestCacheEventGapMakesViewUncertain(t *testing.T) {
	v := (*CacheView)(nil).Apply([]CacheEvent{{Sequence: 1, Block: 1}, {Sequence: 2, Block: 2}})
	assert.Assert(t, !v.Uncertain())
	next := v.Apply([]CacheEvent{{Sequence: 2, Block: 9}, {Sequence: 4, Block: 1, Evicted: true}})
	assert.Assert(t, next.Uncertain())
	assert.Assert(t, !v.Uncertain(), "Apply changed the view of an older snapshot")
	assert.Equal(t, next.matchedPrefix([]uint64{1, 2}), 0)
	assert.Equal(t, v.matchedPrefix([]uint64{1, 2, 3}), 2)
	r := request()
	r.Blocks = []uint64{2}
	certain, uncertain := testTarget(0), testTarget(1)
	certain.Cache, uncertain.Cache = v.Apply([]CacheEvent{{Sequence: 3, Block: 1, Evicted: true}}), next
	assert.Equal(t, certain.cached(r, 0), types.BlockTokens)
	assert.Equal(t, uncertain.cached(r, 0), types.BlockTokens/2)
}

// Guards against dispatches that are counted twice, in the load report and in the
// daemon's own counters, or not at all.
func TestEstimateCorrectsReportByLocalWork(t *testing.T) {
	v := testTarget(0)
	var h History
	v.Counters.QueuedPrefill.Store(3000)
	h.Record(start, v.Counters.Load())
	v.Counters.QueuedPrefill.Store(5000)
	h.Record(start.Add(time.Second), v.Counters.Load())
	v.Report.QueuedPrefillTokens, v.Report.At = 10_000, start
	v.LocalAtReport = h.At(start.Add(time.Second / 2))
	assert.Equal(t, v.EstimateLoad(start).QueuedPrefill, int64(12_000))
	v.PeerDelta.QueuedPrefill = -4000
	assert.Equal(t, v.EstimateLoad(start).QueuedPrefill, int64(8000))
	v.Counters.QueuedPrefill.Store(0)
	v.Report.QueuedPrefillTokens = 0
	assert.Equal(t, v.EstimateLoad(start).QueuedPrefill, int64(0))
}

// Guards against requests that are routed although no target can meet the deadline,
// and against borrowed work that uses more than its share of the time until the
// deadline.
func TestDeadlineRefusal(t *testing.T) {
	targets := testTargets(20)
	for _, v := range targets {
		v.Counters.QueuedPrefill.Store(5000)
	}
	f := NewFleet(1, "a", targets)
	r := request()
	assert.Assert(t, route(f, r, 1).Target != nil)
	r.BudgetShare = 0.5
	assert.Equal(t, route(f, r, 1).Reason, types.RefusedDeadline)
	r.BudgetShare, r.Deadline = 0, start.Add(200*time.Millisecond)
	assert.Equal(t, route(f, r, 1).Reason, types.RefusedDeadline)
}

// Guards against requests that leave the data centre although a local target meets
// the deadline, and against a refusal although a remote one does.
func TestLocalDataCentreFirst(t *testing.T) {
	targets := testTargets(20)
	for i, v := range targets {
		if i >= 5 {
			v.DataCentre = "b"
		} else {
			v.Counters.QueuedPrefill.Store(4000)
		}
	}
	f := NewFleet(1, "a", targets)
	r := request()
	assert.Equal(t, route(f, r, 1).Target.DataCentre, types.DataCentreID("a"))
	r.Deadline = start.Add(400 * time.Millisecond)
	assert.Equal(t, route(f, r, 1).Target.DataCentre, types.DataCentreID("b"))
}

// Guards against splitting prefill and decode when the transfer costs more than it
// saves, and for requests that must run on one engine.
func TestSplitOnlyIfCheaperThanCombined(t *testing.T) {
	targets := testTargets(6)
	targets[0].Role, targets[1].Role = types.RolePrefill, types.RolePrefill
	targets[2].Role, targets[3].Role = types.RoleDecode, types.RoleDecode
	f := NewFleet(1, "a", targets)
	r := request()
	r.PromptTokens = 100
	assert.Assert(t, route(f, r, 1).Prefill == nil, "split although the KV transfer takes longer than prefill on an idle mixed engine")
	r.PromptTokens = 6000
	for _, v := range targets[4:] {
		v.Counters.QueuedPrefill.Store(9000)
	}
	d := route(f, r, 1)
	assert.Equal(t, d.Prefill.Role, types.RolePrefill)
	assert.Equal(t, d.Target.Role, types.RoleDecode)
	r.Combined = true
	assert.Assert(t, route(f, r, 1).Prefill == nil)
}

// overloaded returns a fleet with all roles in two data centres in which no target
// meets a deadline, so that a decision searches all roles and both data centres.
func overloaded(n int) *Fleet {
	targets := testTargets(n)
	for i, v := range targets {
		v.Role, v.DataCentre = types.Role(i%3), []types.DataCentreID{"a", "b"}[i/3%2]
		v.Counters.QueuedPrefill.Store(500_000_000)
	}
	return NewFleet(1, "a", targets)
}

// countingScorer counts the calls of Score.
type countingScorer struct {
	LoadScorer
	calls *int
}

func (c countingScorer) Score(r *Request, t *Target, cached int, now time.Time) Prediction {
	*c.calls++
	return c.LoadScorer.Score(r, t, cached, now)
}

// Guards against decisions that allocate memory or whose cost grows with the fleet.
func TestDecisionCostIsBounded(t *testing.T) {
	r := request()
	r.Blocks = []uint64{1, 2, 3}
	for _, n := range []int{370, 3700} {
		f := NewFleet(1, "a", testTargets(n))
		scored := 0
		ro := NewRouter()
		ro.Scorer = countingScorer{NewLoadScorer(), &scored}
		ro.Route(f, r, start, NewRand(1))
		assert.Assert(t, scored <= maxCandidates, "%d targets scored, want at most %d", scored, maxCandidates)
		ro = NewRouter()
		assert.Equal(t, testing.AllocsPerRun(1000, func() { ro.Route(f, r, start, NewRand(1)) }), 0.0)
		f = overloaded(n)
		assert.Equal(t, testing.AllocsPerRun(1000, func() { ro.Route(f, r, start, NewRand(1)) }), 0.0, "allocations of a decision that tries splits and the remote data centre")
	}
}

// Guards against a back-off that is prolonged when the system clock is set back, or
// ends early when it is set forward.
func TestBackoffIgnoresClockSteps(t *testing.T) {
	now := time.Now()
	for _, step := range []time.Duration{-6 * time.Second, 8 * time.Second} {
		target := &Target{Counters: &Counters{}}
		target.Counters.RecordFailure(now, time.Second, NewRand(1))
		assert.Assert(t, !AvailableFilter{}.Keep(&Request{}, target, clocktest.Step(now.Add(999*time.Millisecond), step)))
		assert.Assert(t, AvailableFilter{}.Keep(&Request{}, target, clocktest.Step(now.Add(1500*time.Millisecond), step)))
	}
}
