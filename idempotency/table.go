// Package idempotency decides whether a request that carries an idempotency
// key may run. The decision follows from the sequence of records in the key
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

// MinWindow is the minimum key window: twice the longest deadline of a caller,
// which is 10 minutes. With a shorter window a key could expire while its attempt
// is running.
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
	// KindReleased records that the attempt ended before it sent its first byte.
	KindReleased Kind = "released"
	// KindCompleted carries the response of the completed request.
	KindCompleted Kind = "completed"
	// KindUnknown records that the request was sent and its result is unknown.
	KindUnknown Kind = "unknown"
	// KindHomes carries the data centres over which keys are distributed.
	KindHomes Kind = "homes"
)

// Response is the recorded response of a completed request.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped means that the body was too large to record.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is one decoded key record.
type Record struct {
	Kind Kind `json:"kind"`
	Key  Key  `json:"key"`
	// Attempt identifies one claim by one daemon. Duplicate appends of a record
	// have the same attempt.
	Attempt string `json:"attempt"`
	// Digest is the hash of the request. It detects the reuse of a key for another
	// request.
	Digest uint64 `json:"digest"`
	// Response is set on records of KindCompleted only.
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

// Verdict is the decision on a claim.
type Verdict uint8

// Verdicts on a claim.
const (
	// VerdictPending means that there is no decision yet, because no attempt for
	// the key is in progress or has ended with a result.
	VerdictPending Verdict = iota
	// VerdictRun means that this attempt, and no other, may dispatch the request.
	VerdictRun
	// VerdictInProgress means that another attempt is running.
	VerdictInProgress
	// VerdictCompleted means that the recorded response is to be returned.
	VerdictCompleted
	// VerdictUnknown means that an earlier attempt may have run.
	VerdictUnknown
	// VerdictConflict means that the key belongs to a different request.
	VerdictConflict
	// VerdictReleased means that this attempt was released and must not run.
	VerdictReleased
	// VerdictMoved means that the records of the key may be in the stream of
	// another data centre.
	VerdictMoved
	// VerdictLogDown means that the state of the key cannot be determined because
	// the log is unavailable, and that no intent of this attempt was appended.
	VerdictLogDown
)

// Settings are the parameters of a Table.
type Settings struct {
	// Window is how long a key is retained, measured by the time stamps of the log.
	Window time.Duration
	// InProgressLimit is how long an attempt may be in progress before its result
	// counts as unknown.
	InProgressLimit time.Duration
	// Self is the data centre of the key stream.
	Self types.DataCentreID
	// Home returns the home of a key, which is one of the given data centres. If it
	// is nil, no key counts as moved.
	Home func(k Key, dcs []types.DataCentreID) types.DataCentreID
}

type entry struct {
	state    State
	attempt  string
	digest   uint64
	response *Response
	// recordedAt is the log's time stamp of the record that created the entry.
	recordedAt time.Time
	// released is the set of released attempts. An intent of one of them that is
	// appended later, or a second time, has no effect.
	released map[string]struct{}
}

func (e *entry) release(attempt string) {
	if e.released == nil {
		e.released = map[string]struct{}{}
	}
	e.released[attempt] = struct{}{}
}

type expiryEntry struct {
	key        Key
	recordedAt time.Time
}

// Table is the state that results from the records of one key stream. It is not
// safe for concurrent use.
type Table struct {
	settings    Settings
	next        types.Offset
	entries     map[Key]*entry
	expiryQueue []expiryEntry // ordered by recordedAt
	now         time.Time     // newest time stamp of the log
	homes       *Homes
}

// NewTable returns an empty table at the beginning of the stream.
func NewTable(s Settings) *Table {
	return &Table{settings: s, entries: map[Key]*entry{}}
}

// Next returns the offset of the next record to read.
func (t *Table) Next() types.Offset { return t.next }

// Len returns the number of keys that the table retains.
func (t *Table) Len() int { return len(t.entries) }

// Apply applies the records of the append at offset o; at is its time stamp in
// the log. An append may contain several records, which share the offset. The
// error wraps ErrGap if earlier records are missing.
func (t *Table) Apply(o types.Offset, at time.Time, records []Record) error {
	if o < t.next {
		return nil
	}
	if o > t.next {
		return fmt.Errorf("expected offset %d, got %d: %w", t.next, o, ErrGap)
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

// SkipExpired clears the table and continues at oldest, because the records
// before it have expired from the log. All retained keys were recorded before
// oldest, so they are older than the key window, which is at most half of the
// log's retention.
func (t *Table) SkipExpired(oldest types.Offset) {
	if oldest <= t.next {
		return
	}
	t.next = oldest
	clear(t.entries)
	t.expiryQueue = nil
}

func (t *Table) apply(r *Record) {
	switch r.Kind {
	case KindIntent:
		t.applyIntent(r)
	case KindReleased:
		t.applyReleased(r)
	case KindCompleted:
		if e := t.inProgress(r); e != nil {
			e.state, e.response = StateCompleted, r.Response
		}
	case KindUnknown:
		if e := t.inProgress(r); e != nil {
			e.state = StateUnknown
		}
	case KindHomes:
		t.applyHomes(r.Homes)
	}
}

// inProgress returns the entry of the record's key if the record's attempt is in
// progress, and nil otherwise.
func (t *Table) inProgress(r *Record) *entry {
	e := t.entries[r.Key]
	if e == nil || e.attempt != r.Attempt || e.state != StateInProgress {
		return nil
	}
	return e
}

// applyIntent marks the attempt as in progress unless the attempt was released or
// the key is already taken by another one.
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

// applyReleased frees the key if the attempt is in progress, and records the
// attempt as released. A release may precede the intent of its attempt in the
// stream if different daemons appended the two.
func (t *Table) applyReleased(r *Record) {
	e := t.entries[r.Key]
	if e == nil {
		e = &entry{}
		t.put(r.Key, e)
	}
	if e.attempt == r.Attempt && e.state != StateInProgress {
		return // an attempt that has ended cannot be released
	}
	if e.attempt == r.Attempt {
		e.state = StateFree
	}
	e.release(r.Attempt)
}

func (t *Table) put(k Key, e *entry) {
	e.recordedAt = t.now
	t.entries[k] = e
	t.expiryQueue = append(t.expiryQueue, expiryEntry{k, t.now})
}

func (t *Table) expire() {
	n := 0
	for n < len(t.expiryQueue) && t.now.Sub(t.expiryQueue[n].recordedAt) > t.settings.Window {
		oldest := t.expiryQueue[n]
		if e := t.entries[oldest.key]; e != nil && e.recordedAt.Equal(oldest.recordedAt) {
			delete(t.entries, oldest.key)
		}
		n++
	}
	t.expiryQueue = t.expiryQueue[n:]
}

// Evaluate returns the verdict on an attempt for the key, with the recorded
// response if it is VerdictCompleted. now is the best estimate of the log's
// clock.
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
		return VerdictCompleted, e.response
	case StateUnknown:
		return VerdictUnknown, nil
	}
	if e.attempt == attempt {
		return VerdictRun, nil
	}
	if now.Sub(e.recordedAt) > t.settings.InProgressLimit {
		return VerdictUnknown, nil
	}
	return VerdictInProgress, nil
}
