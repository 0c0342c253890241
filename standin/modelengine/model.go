// Package modelengine is a stand-in for a model engine with continuous
// batching. Engine is a simulation that advances one batch iteration at a time
// on any clock; Server serves it over HTTP.
//
// The stand-in models iteration times, chunked prefill, a prefix cache, KV
// memory, KV transfers, orders with fencing numbers, delayed load reports,
// delayed cache events with gaps, crashes and unresponsiveness. It does not model:
//   - text: the text of a token depends only on the request and the position;
//   - attention cost: decode time does not grow with the context, and prefill
//     time per token is the same at any position;
//   - preemption: KV memory for the complete response is reserved at admission;
//   - KV memory shared by the prefix cache and running jobs: each has the full
//     size;
//   - the network: the time of a KV transfer follows from the transfer rate of
//     one engine;
//   - adapters: loading an adapter takes no time.
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
	// ErrModelNotLoaded reports a model or adapter that the engine does not serve.
	ErrModelNotLoaded = errors.New("model or adapter is not loaded")
	// ErrLeaving reports that the engine is draining and takes no new work.
	ErrLeaving = errors.New("engine is draining and takes no new work")
	// ErrChanging reports that the engine is changing its role, model or version.
	ErrChanging = errors.New("engine is changing its role, model or version")
	// ErrStaleFence reports an order whose fencing number is below the highest seen.
	ErrStaleFence = errors.New("fencing number is stale")
	// ErrOrderInProgress reports an order that arrives while another is in progress.
	ErrOrderInProgress = errors.New("another order is in progress")
)

// Params sets the speed and capacity of an engine.
type Params struct {
	Rates types.EngineRates
	// ChunkTokens is the maximum number of prompt tokens per iteration, by role.
	ChunkTokens [types.RoleCount]int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int
	// ChangeTime is how long a change of role, model or version takes.
	ChangeTime time.Duration
	// ChecksFencing makes the engine refuse stale fencing numbers.
	ChecksFencing bool
}

// DefaultParams returns the parameters of a mid-sized engine: 16,000 prompt tokens
// a second, and 8 ms for an iteration plus 0.15 ms for each decode stream in it.
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
	// Blocks are the chained hashes of the complete blocks of the prompt.
	Blocks    []uint64
	MaxTokens int
	// Priority orders waiting jobs; a higher value goes first.
	Priority int
	// Produced is the number of tokens so far, including those before a resume.
	Produced int
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
	// HasKV indicates that the KV cache was imported, so that no prefill is needed.
	HasKV bool
	// PrefillOnly makes the job end after prefill.
	PrefillOnly bool

	remainingPrefill int // tokens that still need prefill
	cancelled        bool
	arrival          uint64
}

// Output is the result of one iteration for one job.
type Output struct {
	Job *Job
	// Tokens is the number of tokens produced; it is 0 for a job that ended after
	// prefill or was interrupted.
	Tokens int
	Done   bool
	// Interrupted indicates that the job was cancelled or ended by a change or crash
	// of the engine.
	Interrupted bool
}

// Description is the role of an engine and the model, version and adapters that
// it serves.
type Description struct {
	Role     types.Role
	Model    types.ModelID
	Version  string
	Adapters []types.AdapterID
}

// Engine simulates one model engine. It is not safe for concurrent use.
type Engine struct {
	params      Params
	description Description
	leaving     bool
	cache       *prefixCache
	// onCacheChange, if not nil, is called for each change of the prefix cache.
	onCacheChange func(CacheEventKind, uint64)
	retained      []retainedKV

	waiting  []*Job
	prefill  []*Job
	decode   []*Job
	arrivals uint64

	highestFence types.FencingNumber
	lastOrder    Order
	changingTo   *Order
	changeEndsAt time.Time

	Stats Stats
}

// Stats counts the events of an engine. A crash does not reset the counts.
type Stats struct {
	Submitted      int64 `json:"submitted"`
	Completed      int64 `json:"completed"`
	Cancelled      int64 `json:"cancelled"`
	Interrupted    int64 `json:"cut"`
	RoleChanges    int64 `json:"role_changes"`
	OrdersAccepted int64 `json:"orders_accepted"`
	OrdersStale    int64 `json:"orders_stale"`
	// StaleApplied counts the stale orders that the engine applied because it does not
	// check fencing numbers.
	StaleApplied      int64 `json:"stale_carried_out"`
	ChangesAborted    int64 `json:"changes_aborted"`
	OrdersConflicting int64 `json:"orders_conflicting"`
	TokensProduced    int64 `json:"tokens_produced"`
}

// NewEngine returns an idle engine.
func NewEngine(p Params, d Description) *Engine {
	return &Engine{params: p, description: d, cache: newPrefixCache(p.KVTokens / types.BlockTokens)}
}

// Description returns the engine's role, model, version and adapters.
func (e *Engine) Description() Description { return e.description }

// Leaving reports whether the engine is draining and takes no new work.
func (e *Engine) Leaving() bool { return e.leaving }

// SetLeaving sets whether the engine refuses new work.
func (e *Engine) SetLeaving(v bool) { e.leaving = v }

// Running returns the number of waiting and running jobs on the engine.
func (e *Engine) Running() int { return len(e.waiting) + len(e.prefill) + len(e.decode) }

// Changing reports whether an order is in progress at now.
func (e *Engine) Changing(now time.Time) bool {
	e.finishChange(now)
	return e.changingTo != nil
}

// Submit adds a job. Errors: ErrModelNotLoaded, ErrLeaving, ErrChanging,
// ErrRequestTooLarge.
func (e *Engine) Submit(j *Job, m types.ModelID, a types.AdapterID, now time.Time) error {
	if e.Changing(now) {
		return ErrChanging
	}
	if e.leaving {
		return ErrLeaving
	}
	if m != e.description.Model || (a != "" && !slices.Contains(e.description.Adapters, a)) {
		return ErrModelNotLoaded
	}
	if j.kvReservation() > e.params.KVTokens {
		return ErrRequestTooLarge
	}
	e.Stats.Submitted++
	e.arrivals++
	j.arrival = e.arrivals
	j.remainingPrefill = 0
	if !j.HasKV {
		j.CachedTokens = e.cache.lookup(j.Blocks) * types.BlockTokens
		// A resumed job also needs prefill of the tokens produced before.
		j.remainingPrefill = max(j.PromptTokens-j.CachedTokens+j.Produced, 1)
	}
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *Job) int {
		if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	return nil
}

// Cancel ends a job at the next iteration.
func (e *Engine) Cancel(j *Job) { j.cancelled = true }

// Step computes one iteration. It returns the duration of the iteration and the
// outputs of the jobs at its end; the duration is 0 when there is no work.
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

// produce generates one token for each job and returns the jobs that continue.
func (e *Engine) produce(jobs []*Job, out *[]Output) []*Job {
	continuing := jobs[:0]
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
		continuing = append(continuing, j)
	}
	return continuing
}

// admit moves waiting jobs into the batch while there is room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.prefill)+len(e.decode) < e.params.Rates.MaxStreams {
		j := e.waiting[0]
		if !e.fits(j) {
			return
		}
		e.waiting = e.waiting[1:]
		if j.remainingPrefill == 0 {
			e.decode = append(e.decode, j)
		} else {
			e.prefill = append(e.prefill, j)
		}
		e.evictRetained()
	}
}

// runPrefill spends the iteration's token budget in order of admission. It returns
// the jobs whose prefill is complete and the number of tokens processed.
func (e *Engine) runPrefill() (done []*Job, tokens int) {
	budget := e.params.ChunkTokens[e.description.Role]
	for len(e.prefill) > 0 && budget > 0 {
		j := e.prefill[0]
		n := min(budget, j.remainingPrefill)
		j.remainingPrefill -= n
		budget -= n
		tokens += n
		if j.remainingPrefill > 0 {
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

// InterruptAll ends all jobs, as a crash or a change of role, model or version does.
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
		queued += j.remainingPrefill
	}
	for _, j := range e.prefill {
		queued += j.remainingPrefill
	}
	return types.LoadReport{
		At: now, Role: e.description.Role, Model: e.description.Model, Version: e.description.Version,
		Adapters: e.description.Adapters, QueuedPrefillTokens: queued, DecodeStreams: len(e.decode),
		Running: e.Running(), KVFreeTokens: max(e.params.KVTokens-e.kvInUse()-e.retainedTokens(), 0),
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
