package modelengine

import (
	"errors"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrNoKV reports that the engine does not hold the KV cache of a request.
var ErrKVNotFound = errors.New("KV cache is not available")

// ErrTooLong reports a request that does not fit into the KV memory.
var ErrRequestTooLarge = errors.New("request does not fit into the KV memory")

// KeepKVFor is how long the KV cache of a request that ended after prefill, or
// was imported, is kept.
const KVRetention = 30 * time.Second

// KV describes the KV cache of one request.
type KV struct {
	PromptTokens int `json:"prompt_tokens"`
	// Produced counts the output tokens that the cache covers.
	Produced int `json:"produced"`
}

// Tokens returns the size of the cache in tokens.
func (k KV) Tokens() int { return k.PromptTokens + k.Produced }

type keptKV struct {
	KV
	id    types.RequestID
	until time.Time
}

// KeepKV keeps the KV cache of a request without a running job for KeepKVFor.
// A kept cache gives way to running jobs when memory is short. Errors:
// ErrTooLong.
func (e *Engine) RetainKV(id types.RequestID, k KV, now time.Time) error {
	e.expireKV(now)
	if k.Tokens() > e.params.KVTokens {
		return ErrRequestTooLarge
	}
	e.kept = slices.DeleteFunc(e.kept, func(o keptKV) bool { return o.id == id })
	e.kept = append(e.kept, keptKV{k, id, now.Add(KVRetention)})
	e.yieldKept()
	return nil
}

// KV returns the KV cache of a request that is kept or is generating. Errors:
// ErrNoKV.
func (e *Engine) KV(id types.RequestID, now time.Time) (KV, error) {
	e.expireKV(now)
	for _, k := range e.kept {
		if k.id == id {
			return k.KV, nil
		}
	}
	for _, j := range e.decode {
		if j.ID == id && !j.cancelled {
			return KV{PromptTokens: j.PromptTokens, Produced: j.Produced}, nil
		}
	}
	return KV{}, ErrKVNotFound
}

// TransferTime returns how long the transfer of a KV cache to or from another
// engine takes.
func (e *Engine) TransferTime(k KV) time.Duration {
	rate := e.params.Rates.KVTransferTokensPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(k.Tokens()) / rate * float64(time.Second))
}

func (e *Engine) expireKV(now time.Time) {
	e.kept = slices.DeleteFunc(e.kept, func(k keptKV) bool { return !now.Before(k.until) })
}

func (e *Engine) keptTokens() int {
	n := 0
	for _, k := range e.kept {
		n += k.Tokens()
	}
	return n
}

// yieldKept drops the oldest kept caches while they and the running jobs are
// over the memory.
func (e *Engine) yieldKept() {
	for len(e.kept) > 0 && e.kvReserved()+e.keptTokens() > e.params.KVTokens {
		e.kept = e.kept[1:]
	}
}

// kvReserved returns the tokens that the running jobs may come to need. Memory
// is reserved at admission, so that no running job has to be preempted.
func (e *Engine) kvReserved() int {
	n := 0
	for _, list := range [][]*Job{e.prefill, e.decode} {
		for _, j := range list {
			n += j.reserve()
		}
	}
	return n
}

func (j *Job) reserve() int {
	if j.PrefillOnly {
		return j.PromptTokens
	}
	return j.PromptTokens + j.MaxTokens
}

// fits reports whether the memory has room for one more job.
func (e *Engine) fits(j *Job) bool { return e.kvReserved()+j.reserve() <= e.params.KVTokens }

// TakeKV returns the kept KV cache of a request and stops keeping it. Errors:
// ErrNoKV.
func (e *Engine) TakeKV(id types.RequestID, now time.Time) (KV, error) {
	e.expireKV(now)
	for i, k := range e.kept {
		if k.id == id {
			e.kept = slices.Delete(e.kept, i, i+1)
			return k.KV, nil
		}
	}
	return KV{}, ErrKVNotFound
}
