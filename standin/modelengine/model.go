// Package modelengine is a stand-in for a model engine with continuous
// batching. The Engine type is a pure model that advances one batch iteration
// at a time on any clock; Server puts it behind HTTP.
//
// The stand-in models iteration times, chunked prefill, a prefix cache, KV
// memory, KV transfers, orders with fencing numbers, late reports, late cache
// events with gaps, crashes and silence. It does not model:
//   - text: a token's text depends on the request and its position only;
//   - attention cost: decode time does not grow with the context, and a token
//     costs the same prefill time at any depth;
//   - preemption: KV memory for the whole answer is reserved at admission;
//   - the sharing of KV memory between the prefix cache and running jobs: each
//     has the whole size;
//   - the network: a KV transfer takes time on the sender's side only;
//   - adapters: loading one takes no time.
package modelengine

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Errors of the engine.
var (
	// ErrModel reports a model or adapter that the engine does not carry.
	ErrModelNotLoaded = errors.New("model or adapter is not loaded")
	// ErrLeaving reports that the engine takes no new work.
	ErrLeaving = errors.New("engine is leaving")
	// ErrChanging reports that an order is being carried out.
	ErrChanging = errors.New("engine is changing")
	// ErrStaleFence reports an order with an old fencing number.
	ErrStaleFence = errors.New("fencing number is stale")
	// ErrBusy reports an order while another is being carried out.
	ErrOrderInProgress = errors.New("another order is in progress")
)

// Params is the speed and size of an engine.
type Params struct {
	Rates types.EngineRates
	// ChunkTokens is the most prompt tokens in one iteration, by role.
	ChunkTokens [types.RoleCount]int
	// KVTokens is the size of the KV cache in tokens.
	KVTokens int
	// ChangeTime is how long a change of role, model or version takes.
	ChangeTime time.Duration
	// ChecksFencing says that stale fencing numbers are refused.
	ChecksFencing bool
}

// DefaultParams returns a mid-sized engine: 16,000 prompt tokens a second and
// 8 ms for an iteration of one stream.
func DefaultParams() Params {
	return Params{
		Rates: types.EngineRates{
			PrefillTokensPerSecond:    16_000,
			IterationBase:             8 * time.Millisecond,
			DecodeCost:                150 * time.Microsecond,
			KVTransferTokensPerSecond: 200_000,
			MaxStreams:                128,
		},
		ChunkTokens:   [types.RoleCount]int{types.RoleMixed: 256, types.RolePrefill: 4096, types.RoleDecode: 64},
		KVTokens:      600_000,
		ChangeTime:    4 * time.Second,
		ChecksFencing: true,
	}
}

// Job is one request on the engine.
type Job struct {
	ID           types.RequestID
	PromptTokens int
	Blocks       []uint64
	MaxTokens    int
	Priority     int
	// Produced counts the tokens so far, including those before a resume.
	Produced int
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int
	// HasKV says that the KV cache was imported, so that no prefill is needed.
	HasKV bool
	// PrefillOnly ends the job after prefill.
	PrefillOnly bool

	remaining int // prompt tokens that still need prefill
	cancelled bool
	order     uint64
}

// Output is what one job got from one iteration.
type Output struct {
	Job *Job
	// Tokens is the number of tokens produced, 0 for a job that ended after
	// prefill or was cut.
	Tokens int
	Done   bool
	// Cut says that the job ended because the engine changed or crashed.
	Interrupted bool
}

// Description is what an engine carries.
type Description struct {
	Role     types.Role
	Model    types.ModelID
	Version  string
	Adapters []types.AdapterID
}

// Engine is the model of one engine. It is not safe for concurrent use.
type Engine struct {
	params  Params
	desc    Description
	leaving bool
	cache   *prefixCache
	// cacheChanged, if set, is told of each change of the cache.
	cacheChanged func(CacheEventKind, uint64)
	kept         []keptKV

	waiting  []*Job
	prefill  []*Job
	decode   []*Job
	arrivals uint64

	highestFence types.FencingNumber
	lastOrder    Order
	changingTo   *Order
	changeEnds   time.Time

	// Stats counts what happened.
	Stats Stats
}

// Stats counts what happened on an engine.
type Stats struct {
	Submitted      int64 `json:"submitted"`
	Completed      int64 `json:"completed"`
	Cancelled      int64 `json:"cancelled"`
	Interrupted    int64 `json:"cut"`
	RoleChanges    int64 `json:"role_changes"`
	OrdersAccepted int64 `json:"orders_accepted"`
	OrdersStale    int64 `json:"orders_stale"`
	// StaleCarriedOut counts the stale orders that were not refused.
	StaleApplied      int64 `json:"stale_carried_out"`
	ChangesAborted    int64 `json:"changes_aborted"`
	OrdersConflicting int64 `json:"orders_conflicting"`
	TokensProduced    int64 `json:"tokens_produced"`
}

// NewEngine returns an idle engine.
func NewEngine(p Params, d Description) *Engine {
	return &Engine{params: p, desc: d, cache: newPrefixCache(p.KVTokens / types.BlockTokens)}
}

// Description returns what the engine carries.
func (e *Engine) Description() Description { return e.desc }

// Leaving reports whether the engine takes no new work.
func (e *Engine) Leaving() bool { return e.leaving }

// SetLeaving makes the engine refuse new work or accept it again.
func (e *Engine) SetLeaving(v bool) { e.leaving = v }

// Running returns the number of jobs on the engine.
func (e *Engine) Running() int { return len(e.waiting) + len(e.prefill) + len(e.decode) }

// Changing reports whether an order is being carried out at now.
func (e *Engine) Changing(now time.Time) bool {
	e.finishChange(now)
	return e.changingTo != nil
}

// Submit adds a job. Errors: ErrModel, ErrLeaving, ErrChanging,
// ErrTooLong.
func (e *Engine) Submit(j *Job, m types.ModelID, a types.AdapterID, now time.Time) error {
	if e.Changing(now) {
		return ErrChanging
	}
	if e.leaving {
		return ErrLeaving
	}
	if m != e.desc.Model || (a != "" && !slices.Contains(e.desc.Adapters, a)) {
		return ErrModelNotLoaded
	}
	if j.reserve() > e.params.KVTokens {
		return ErrRequestTooLarge
	}
	e.Stats.Submitted++
	e.arrivals++
	j.order = e.arrivals
	j.remaining = 0
	if !j.HasKV {
		j.CachedTokens = e.cache.lookup(j.Blocks) * types.BlockTokens
		// A resumed job also needs prefill of the tokens that it had produced.
		j.remaining = max(j.PromptTokens-j.CachedTokens+j.Produced, 1)
	}
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *Job) int {
		if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.order, b.order)
	})
	return nil
}

// Cancel ends a job at the next iteration.
func (e *Engine) Cancel(j *Job) { j.cancelled = true }

// Step computes one iteration. It returns the time that the iteration takes
// and what the jobs have at its end; the time is 0 when there is no work.
func (e *Engine) Step(now time.Time) (time.Duration, []Output) {
	if e.Changing(now) {
		return 0, nil
	}
	e.dropCancelled()
	e.admit()
	if len(e.prefill)+len(e.decode) == 0 {
		return 0, nil
	}
	r := e.params.Rates
	d := r.IterationBase + time.Duration(len(e.decode))*r.DecodeCost
	out := make([]Output, 0, len(e.decode)+1)
	e.decode = e.produce(e.decode, &out)
	done, tokens := e.runPrefill()
	d += time.Duration(float64(tokens) / r.PrefillTokensPerSecond * float64(time.Second))
	e.decode = append(e.decode, e.produce(done, &out)...)
	return d, out
}

// produce gives each job one token and returns the jobs that go on.
func (e *Engine) produce(jobs []*Job, out *[]Output) []*Job {
	kept := jobs[:0]
	for _, j := range jobs {
		if j.PrefillOnly {
			e.Stats.Completed++
			*out = append(*out, Output{Job: j, Done: true})
			continue
		}
		j.Produced++
		e.Stats.TokensProduced++
		o := Output{Job: j, Tokens: 1, Done: j.Produced >= j.MaxTokens}
		*out = append(*out, o)
		if o.Done {
			e.Stats.Completed++
			continue
		}
		kept = append(kept, j)
	}
	return kept
}

// admit moves waiting jobs into the batch while there is room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.prefill)+len(e.decode) < e.params.Rates.MaxStreams {
		j := e.waiting[0]
		if !e.fits(j) {
			return
		}
		e.waiting = e.waiting[1:]
		if j.remaining == 0 {
			e.decode = append(e.decode, j)
		} else {
			e.prefill = append(e.prefill, j)
		}
		e.yieldKept()
	}
}

// runPrefill spends the iteration's chunk in order of arrival and returns the
// jobs whose prefill is complete and the number of tokens processed.
func (e *Engine) runPrefill() (done []*Job, tokens int) {
	budget := e.params.ChunkTokens[e.desc.Role]
	for len(e.prefill) > 0 && budget > 0 {
		j := e.prefill[0]
		n := min(budget, j.remaining)
		j.remaining -= n
		budget -= n
		tokens += n
		if j.remaining > 0 {
			break
		}
		e.storeBlocks(j.Blocks)
		done = append(done, j)
		e.prefill = e.prefill[1:]
	}
	return done, tokens
}

func (e *Engine) dropCancelled() {
	drop := func(j *Job) bool {
		if j.cancelled {
			e.Stats.Cancelled++
		}
		return j.cancelled
	}
	e.waiting = slices.DeleteFunc(e.waiting, drop)
	e.prefill = slices.DeleteFunc(e.prefill, drop)
	e.decode = slices.DeleteFunc(e.decode, drop)
}

// CutAll ends all jobs, as a crash or a change of role does.
func (e *Engine) InterruptAll() []Output {
	var out []Output
	for _, list := range [][]*Job{e.waiting, e.prefill, e.decode} {
		for _, j := range list {
			if j.cancelled {
				continue
			}
			e.Stats.Interrupted++
			out = append(out, Output{Job: j, Done: true, Interrupted: true})
		}
	}
	e.waiting, e.prefill, e.decode = nil, nil, nil
	return out
}

// Report returns the load of the engine at now.
func (e *Engine) Report(now time.Time) types.LoadReport {
	queued := 0
	for _, j := range e.waiting {
		queued += j.remaining
	}
	for _, j := range e.prefill {
		queued += j.remaining
	}
	return types.LoadReport{
		At: now, Role: e.desc.Role, Model: e.desc.Model, Version: e.desc.Version,
		Adapters: e.desc.Adapters, QueuedPrefillTokens: queued, DecodeStreams: len(e.decode),
		Running: e.Running(), KVFreeTokens: max(e.params.KVTokens-e.kvInUse()-e.keptTokens(), 0),
		Leaving: e.leaving, Changing: e.Changing(now),
	}
}

func (e *Engine) kvInUse() int {
	n := 0
	for _, list := range [][]*Job{e.prefill, e.decode} {
		for _, j := range list {
			n += j.PromptTokens + j.Produced
		}
	}
	return n
}
