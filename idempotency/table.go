// Package idempotency decides whether a request that carries an idempotency
// key may run. The decision follows from the order of records in the key
// stream of the key's home data centre. The package performs no I/O and does
// not encode messages.
package idempotency

import (
	"errors"
	"fmt"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// ErrGap reports that key records before the given offset are missing.
var ErrGap = errors.New("key records are missing before this offset")

// Key identifies a request that may run at most once.
type Key struct {
	Service   types.ServiceID   `json:"service"`
	Workspace types.WorkspaceID `json:"workspace"`
	Key       string            `json:"key"`
}

// Kind is the kind of a key record.
type Kind string

// Kinds of key record.
const (
	// KindIntent is appended before a request is dispatched.
	KindIntent Kind = "intent"
	// KindReleased says that the request was given up before its first byte.
	KindReleased Kind = "released"
	// KindCompleted carries the recorded answer.
	KindCompleted Kind = "completed"
	// KindUnknown says that the request was sent and its result is not known.
	KindUnknown Kind = "unknown"
)

// Answer is the recorded answer of a completed request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped says that the body was too large to record.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is one decoded key record.
type Record struct {
	Kind Kind `json:"kind"`
	Key  Key  `json:"key"`
	// Attempt identifies one claim by one daemon. Duplicate appends carry the
	// same attempt.
	Attempt string `json:"attempt"`
	// Digest is the hash of the request, so that a key reused for another
	// request is detected.
	Digest uint64  `json:"digest"`
	Answer *Answer `json:"answer,omitempty"`
}

// State is the state of a key.
type State uint8

// States of a key.
const (
	StateFree State = iota
	StateInProgress
	StateCompleted
	StateUnknown
)

// Verdict is what a claim resolves to.
type Verdict uint8

// Verdicts on a claim.
const (
	// VerdictPending means that the claim's record has not been read.
	VerdictPending Verdict = iota
	// VerdictRun means that this attempt, and no other, may dispatch.
	VerdictRun
	// VerdictInProgress means that another attempt is running.
	VerdictInProgress
	// VerdictCompleted means that the recorded answer is to be returned.
	VerdictCompleted
	// VerdictUnknown means that an earlier attempt may have run.
	VerdictUnknown
	// VerdictConflict means that the key belongs to a different request.
	VerdictConflict
)

// Settings of the table.
type Settings struct {
	// Window is how long a key is remembered, by the time stamps of the log.
	Window time.Duration
	// InProgressLimit is how long an attempt may be in progress before it
	// counts as unknown.
	InProgressLimit time.Duration
}

type entry struct {
	state   State
	attempt string
	digest  uint64
	answer  *Answer
	at      time.Time
}

type aged struct {
	key Key
	at  time.Time
}

// Table is the fold of one key stream. It is not safe for concurrent use.
type Table struct {
	settings Settings
	next     types.Offset
	entries  map[Key]*entry
	ages     []aged
	now      time.Time
}

// NewTable returns the empty table at the beginning of the stream.
func NewTable(s Settings) *Table {
	return &Table{settings: s, entries: map[Key]*entry{}}
}

// Next returns the offset of the next record to read.
func (t *Table) Next() types.Offset { return t.next }

// Len returns the number of keys that the table remembers.
func (t *Table) Len() int { return len(t.entries) }

// Apply folds the records at offset o, which the log stamped with at. An
// append may carry several records; they share the offset. The error wraps
// ErrGap when records are missing.
func (t *Table) Apply(o types.Offset, at time.Time, records []Record) error {
	if o < t.next {
		return nil
	}
	if o > t.next {
		return fmt.Errorf("next is %d, got %d: %w", t.next, o, ErrGap)
	}
	t.next = o + 1
	if at.After(t.now) {
		t.now = at
	}
	t.expire()
	for i := range records {
		t.apply(&records[i])
	}
	return nil
}

// Restart continues at oldest after records have expired from the log. The
// expired records were older than the key window, which is shorter than the
// log's retention.
func (t *Table) Restart(oldest types.Offset) {
	if oldest > t.next {
		t.next = oldest
	}
}

func (t *Table) apply(r *Record) {
	e := t.entries[r.Key]
	if r.Kind == KindIntent {
		t.applyIntent(e, r)
		return
	}
	if e == nil || e.attempt != r.Attempt || e.state != StateInProgress {
		return
	}
	switch r.Kind {
	case KindReleased:
		e.state = StateFree
	case KindCompleted:
		e.state, e.answer = StateCompleted, r.Answer
	case KindUnknown:
		e.state = StateUnknown
	}
}

func (t *Table) applyIntent(e *entry, r *Record) {
	if e != nil && (e.state != StateFree || e.attempt == r.Attempt) {
		return // the first record wins; a duplicate of a released intent stays released
	}
	t.entries[r.Key] = &entry{state: StateInProgress, attempt: r.Attempt, digest: r.Digest, at: t.now}
	t.ages = append(t.ages, aged{r.Key, t.now})
}

func (t *Table) expire() {
	n := 0
	for n < len(t.ages) && t.now.Sub(t.ages[n].at) > t.settings.Window {
		a := t.ages[n]
		if e := t.entries[a.key]; e != nil && e.at.Equal(a.at) {
			delete(t.entries, a.key)
		}
		n++
	}
	t.ages = t.ages[n:]
}

// Judge returns the verdict on an attempt to run the key. now is the best
// estimate of the log's clock.
func (t *Table) Judge(k Key, attempt string, digest uint64, now time.Time) (Verdict, *Answer) {
	e := t.entries[k]
	if e == nil || e.state == StateFree {
		return VerdictPending, nil
	}
	if e.digest != digest {
		return VerdictConflict, nil
	}
	switch e.state {
	case StateCompleted:
		return VerdictCompleted, e.answer
	case StateUnknown:
		return VerdictUnknown, nil
	}
	if e.attempt == attempt {
		return VerdictRun, nil
	}
	if now.Sub(e.at) > t.settings.InProgressLimit {
		return VerdictUnknown, nil
	}
	return VerdictInProgress, nil
}
