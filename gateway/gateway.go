// Package gateway serves requests from front ends: it finds the route, chooses
// targets, sends, retries and resumes, and returns one outcome for each
// request. It knows no message encoding; front ends and target clients bring
// theirs by the interfaces of this package.
package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// Errors of target clients. Every error of a Targets method wraps one of them.
var (
	// ErrNotSent reports that no byte of the request has left.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the target has proved that it did not run the request.
	ErrRefused = errors.New("target refused the request")
	// ErrMisdirected reports a target that is not the one that was addressed. It
	// did not run the request.
	ErrMisdirected = errors.New("another target has the address")
	// ErrWrongRole reports an engine whose role does not allow the request. It did
	// not run the request.
	ErrWrongRole = errors.New("engine has another role")
	// ErrStalled reports a target that made no progress.
	ErrStalled = errors.New("target made no progress")
	// ErrInvalidResponse reports an answer that is not whole, or not the request's own.
	ErrInvalidResponse = errors.New("answer is not usable")
	// ErrResponseTooLarge reports an answer, a head or an event that is longer than one may
	// be, or more bytes than all answers together may hold in memory.
	ErrResponseTooLarge = errors.New("answer is too long")
	// ErrCanceled reports that the request's context ended.
	ErrCanceled = errors.New("request was canceled")
)

// Request is one attempt of a caller, decoded by a front end.
type Request struct {
	ID types.RequestID
	// Host and Path select the route; Path has no query.
	Host, Path string
	Arrived    time.Time
	// Deadline is when the caller gives up; zero if it has not said so.
	Deadline time.Time
	// Prompt is nil when the request describes none.
	Prompt *placement.Prompt
	// ResumeAfter is the last event that the caller has, empty at the start.
	ResumeAfter string
	// Bytes is the size of the message.
	Bytes int
	// Hash is a hash of ID.
	Hash uint64
	// Message is the request in the form of the front end; only a target client
	// of the same family reads it.
	Message any
}

// Stage says what part of a request a target shall do.
type Stage uint8

// Stages.
const (
	// StageCombined runs the request.
	StageCombined Stage = iota
	// StagePrefill reads the prompt and keeps the KV cache.
	StagePrefill
	// StageDecode runs the request from the KV cache of another engine.
	StageDecode
)

// Handle names the KV cache of a prompt on the engine that has read it.
type Handle struct {
	Target *directory.Target
	ID     string
}

// Call is one request to one target.
type Call struct {
	Request  *Request
	Target   *directory.Target
	Stage    Stage
	KVSource Handle // for StageDecode
	// Fetch, if not nil, is an engine from which the target fetches the parts of
	// the prompt that it lacks.
	FetchFrom *directory.Target
	// Deadline is when the work becomes useless.
	Deadline time.Time
	// Progress bounds the time without any byte from the target.
	ProgressTimeout time.Duration
	// Priority orders waiting requests at an engine, 0 first; negative means none.
	Priority int
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// RequireLiveConnection marks a request that must not be sent on a connection that may be dead.
	RequireLiveConnection bool
}

// Response is an answer in progress. Read returns io.EOF at the end of a whole
// answer, and an error that wraps an error of this package otherwise.
type Response interface {
	io.Reader
	// Status is the status in the terms of HTTP.
	Status() int
	// Close ends the answer. Unless it was read to its end, the target is told to
	// stop.
	Close()
}

// Targets sends requests to targets. A call ends when its context does.
type Targets interface {
	// Prefill asks an engine to read the prompt.
	Prefill(ctx context.Context, c *Call) (Handle, error)
	// Send sends the request and returns its answer once the head has arrived.
	Send(ctx context.Context, c *Call) (Response, error)
	// Release frees a handle that is not used. It does not wait.
	Release(h Handle)
}

// Responder passes an answer to the caller. All methods are called from one
// goroutine. After an error the caller is gone.
type Responder interface {
	// WriteResponse passes a complete answer.
	WriteResponse(a Response, body []byte) error
	// BeginStream passes the head of a stream, WriteChunk a piece of it and EndStream
	// its end.
	BeginStream(a Response) error
	WriteChunk(p []byte) error
	EndStream() error
}

// Observer is told of decisions and outcomes. Its methods must not block.
type Observer interface {
	// ObserveDecision is called for each decision when it is made.
	ObserveDecision(e *Event)
	// ObserveEnd is called at the end of a request with all its decisions in order. The
	// last one is the outcome.
	ObserveEnd(all []Event)
}

// LoadPublisher tells the other daemons of this daemon's work.
type LoadPublisher interface {
	// NotifyLoadChange says that the own work on the target has changed.
	NotifyLoadChange(t *directory.Target)
	// NotifyPartsUsed says that an engine has read parts of a prompt.
	NotifyPartsUsed(t *directory.Target, parts []directory.Part)
}

// Settings of a gateway.
type Settings struct {
	Costs placement.Costs
	Speed placement.EngineSpeed
	// TransferCostPerToken is the cost of a token of KV cache that is moved, besides its time.
	TransferCostPerToken time.Duration
	// FetchCostPerToken is the cost of holding a shared token on one more engine.
	FetchCostPerToken time.Duration
	// MaxBufferedBytes bounds the bytes of all answers that wait in memory for their end.
	MaxBufferedBytes int64
	// Now returns the time.
	Now func() time.Time
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	table     atomic.Pointer[routes.Table]
	directory *directory.Directory
	targets   Targets
	share     LoadPublisher
	observer  Observer
	budgets   budgets
	held      atomic.Int64 // bytes of answers that wait for their end
}

// New returns a gateway without a configuration; it refuses all requests.
func New(s Settings, d *directory.Directory, t Targets, share LoadPublisher, o Observer) *Gateway {
	return &Gateway{settings: s, directory: d, targets: t, share: share, observer: o}
}

// SetTable puts a configuration in force. An older version is ignored.
func (g *Gateway) SetTable(t *routes.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// BufferedBytes returns the bytes of answers that wait in memory for their end.
func (g *Gateway) BufferedBytes() int64 { return g.held.Load() }

// SetRetryLimits replaces the limits of the retry budgets of all services.
func (g *Gateway) SetRetryLimits(l admission.RetryLimits) { g.budgets.setLimits(l) }

// Result is the end of a request.
type Result struct {
	types.Outcome
	// Started says that the head of an answer was passed to the caller.
	Started bool
	// RetryAfter is when a refused request has a chance again.
	RetryAfter time.Duration
}

// Serve serves one request to its end. The context ends when the caller is
// gone.
func (g *Gateway) Serve(ctx context.Context, r *Request, w Responder) Result {
	x := exchange{g: g, r: r, w: w}
	x.table = g.table.Load()
	if x.table == nil {
		return x.end(x.attempt.Refuse(types.RefusedNoConfiguration))
	}
	x.route = x.table.Lookup(r.Host, r.Path)
	if x.route == nil {
		return x.end(x.attempt.Refuse(types.RefusedUnknownRoute))
	}
	x.serviceID = x.route.PickService(r.Hash)
	x.service = x.table.Service(x.serviceID)
	x.deadline = r.Arrived.Add(x.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(x.deadline) {
		x.deadline = r.Deadline
	}
	timed, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.caller, x.ctx = ctx, timed
	x.budget = g.budgets.of(x.serviceID)
	x.budget.Earn()
	return x.end(x.serve())
}
