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

// MinWindow is the shortest key window: twice the longest deadline of a caller,
// 10 minutes. With a shorter one a key could expire while its attempt runs.
const MinWindow = 20 * time.Minute

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
	// KindHomes carries the data centres over which keys are spread.
	KindHomes Kind = "homes"
)

// Response is the recorded answer of a completed request.
type Response struct {
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
	Digest   uint64    `json:"digest"`
	Response *Response `json:"answer,omitempty"`
	// Homes is set on records of KindHomes only.
	Homes *Homes `json:"homes,omitempty"`
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
	// VerdictReleased means that this attempt was given up and cannot run.
	VerdictReleased
	// VerdictMoved means that the records of the key may be in the stream of
	// another data centre.
	VerdictMoved
	// VerdictLogDown means that nothing is known of the key because the log is
	// down, and that no intent of this attempt was appended.
	VerdictLogDown
)

// Settings of the table.
type Settings struct {
	// Window is how long a key is remembered, by the time stamps of the log.
	Window time.Duration
	// InProgressLimit is how long an attempt may be in progress before it
	// counts as unknown.
	InProgressLimit time.Duration
	// Self is the data centre whose stream is folded, and Home returns the home
	// of a key among data centres. Without Home no key has moved.
	Self types.DataCentreID
	Home func(k Key, dcs []types.DataCentreID) types.DataCentreID
}

type entry struct {
	state   State
	attempt string
	digest  uint64
	answer  *Response
	at      time.Time
	// released holds the attempts that were given up. An intent of one of them
	// that reaches the log later, or a second time, has no effect.
	released map[string]struct{}
}

func (e *entry) release(attempt string) {
	if e.released == nil {
		e.released = map[string]struct{}{}
	}
	e.released[attempt] = struct{}{}
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
	homes    *Homes
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

// Restart continues at oldest after records have expired from the log. All keys
// that the table remembers were recorded before oldest, so they are older than
// the key window, which is at most half of the log's retention.
func (t *Table) SkipExpired(oldest types.Offset) {
	if oldest <= t.next {
		return
	}
	t.next = oldest
	clear(t.entries)
	t.ages = nil
}

func (t *Table) apply(r *Record) {
	switch r.Kind {
	case KindIntent:
		t.applyIntent(r)
	case KindReleased:
		t.applyReleased(r)
	case KindCompleted:
		if e := t.running(r); e != nil {
			e.state, e.answer = StateCompleted, r.Response
		}
	case KindUnknown:
		if e := t.running(r); e != nil {
			e.state = StateUnknown
		}
	case KindHomes:
		t.applyHomes(r.Homes)
	}
}

// running returns the entry of a key whose attempt in progress is the record's.
func (t *Table) running(r *Record) *entry {
	e := t.entries[r.Key]
	if e == nil || e.attempt != r.Attempt || e.state != StateInProgress {
		return nil
	}
	return e
}

// applyIntent lets the first record with the key win.
func (t *Table) applyIntent(r *Record) {
	n := &entry{state: StateInProgress, attempt: r.Attempt, digest: r.Digest}
	if e := t.entries[r.Key]; e != nil {
		if _, released := e.released[r.Attempt]; released || e.state != StateFree {
			return
		}
		n.released = e.released
	}
	t.put(r.Key, n)
}

// applyReleased frees the key if the attempt holds it. A release may precede
// the intent of its attempt when the two went to the log by different daemons.
func (t *Table) applyReleased(r *Record) {
	e := t.entries[r.Key]
	if e == nil {
		e = &entry{}
		t.put(r.Key, e)
	}
	if e.attempt == r.Attempt && e.state != StateInProgress {
		return // an attempt that has ended cannot be given up
	}
	if e.attempt == r.Attempt {
		e.state = StateFree
	}
	e.release(r.Attempt)
}

func (t *Table) put(k Key, e *entry) {
	e.at = t.now
	t.entries[k] = e
	t.ages = append(t.ages, aged{k, t.now})
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

// Evaluate returns the verdict on an attempt to run the key. now is the best
// estimate of the log's clock.
func (t *Table) Evaluate(k Key, attempt string, digest uint64, now time.Time) (Verdict, *Response) {
	e := t.entries[k]
	if e == nil {
		return VerdictPending, nil
	}
	if _, released := e.released[attempt]; released {
		return VerdictReleased, nil
	}
	if e.state == StateFree {
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
