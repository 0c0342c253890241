package modelengine

import (
	"errors"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrKVNotFound reports that the engine does not have the KV cache of a request.
var ErrKVNotFound = errors.New("KV cache is not available")

// ErrRequestTooLarge reports a request that does not fit into the KV memory.
var ErrRequestTooLarge = errors.New("request does not fit into the KV memory")

// KVRetention is how long an engine retains the KV cache of a request that ended
// after prefill or was imported.
const KVRetention = 30 * time.Second

// KV describes the KV cache of one request.
type KV struct {
	PromptTokens int `json:"prompt_tokens"`
	// Produced is the number of output tokens that the cache covers.
	Produced int `json:"produced"`
}

// Tokens returns the size of the cache in tokens.
func (k KV) Tokens() int { return k.PromptTokens + k.Produced }

type retainedKV struct {
	KV
	requestID types.RequestID
	expiresAt time.Time
}

// RetainKV retains the KV cache of a request without a running job for KVRetention.
// Running jobs evict retained caches when memory is short. Errors:
// ErrRequestTooLarge.
func (e *Engine) RetainKV(id types.RequestID, k KV, now time.Time) error {
	e.expireRetained(now)
	if k.Tokens() > e.params.KVTokens {
		return ErrRequestTooLarge
	}
	e.retained = slices.DeleteFunc(e.retained, func(o retainedKV) bool { return o.requestID == id })
	e.retained = append(e.retained, retainedKV{k, id, now.Add(KVRetention)})
	e.evictRetained()
	return nil
}

// KV returns the KV cache of a request, retained or of a job in decode. Errors:
// ErrKVNotFound.
func (e *Engine) KV(id types.RequestID, now time.Time) (KV, error) {
	e.expireRetained(now)
	for _, k := range e.retained {
		if k.requestID == id {
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

func (e *Engine) expireRetained(now time.Time) {
	e.retained = slices.DeleteFunc(e.retained, func(k retainedKV) bool { return !now.Before(k.expiresAt) })
}

func (e *Engine) retainedTokens() int {
	n := 0
	for _, k := range e.retained {
		n += k.Tokens()
	}
	return n
}

// evictRetained drops the oldest retained caches while they and the reservations of
// running jobs exceed KVTokens.
func (e *Engine) evictRetained() {
	for len(e.retained) > 0 && e.kvReserved()+e.retainedTokens() > e.params.KVTokens {
		e.retained = e.retained[1:]
	}
}

// kvReserved returns the KV tokens that the running jobs may need at most. They are
// reserved at admission, so that no running job has to be preempted.
func (e *Engine) kvReserved() int {
	n := 0
	for _, list := range [][]*Job{e.prefill, e.decode} {
		for _, j := range list {
			n += j.kvReservation()
		}
	}
	return n
}

func (j *Job) kvReservation() int {
	if j.PrefillOnly {
		return j.PromptTokens
	}
	return j.PromptTokens + j.MaxTokens
}

// fits reports whether the KV memory has room for the job.
func (e *Engine) fits(j *Job) bool { return e.kvReserved()+j.kvReservation() <= e.params.KVTokens }

// TakeKV removes and returns the retained KV cache of a request. Errors:
// ErrKVNotFound.
func (e *Engine) TakeKV(id types.RequestID, now time.Time) (KV, error) {
	e.expireRetained(now)
	for i, k := range e.retained {
		if k.requestID == id {
			e.retained = slices.Delete(e.retained, i, i+1)
			return k.KV, nil
		}
	}
	return KV{}, ErrKVNotFound
}
