// Package gateway serves requests from front ends: it looks up the route, chooses
// targets, sends, retries and resumes requests, and returns one outcome per request. It
// is independent of message encodings; front ends and target clients implement them
// behind the interfaces of this package.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/workspaces"
)

// Errors of target clients. Every error returned by a Targets or Response method wraps one
// of them.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the target confirmed that it did not run the request.
	ErrRefused = errors.New("target refused the request")
	// ErrMisdirected reports that the request reached a target other than the addressed
	// one. That target did not run the request.
	ErrMisdirected = errors.New("address belongs to another target")
	// ErrWrongRole reports that the role of the engine does not allow the request. The
	// engine did not run the request.
	ErrWrongRole = errors.New("role of the engine does not allow the request")
	// ErrPaused reports that nothing was sent because the target has requested a pause or
	// is leaving.
	ErrPaused = errors.New("target accepts no requests at present")
	// ErrStalled reports that the target made no progress within the progress timeout.
	ErrStalled = errors.New("target made no progress")
	// ErrInvalidResponse reports a response that is truncated or malformed, or belongs to
	// another request.
	ErrInvalidResponse = errors.New("response is truncated or invalid")
	// ErrResponseTooLarge reports a response, a response head or an event above its size
	// limit, or buffered responses that exceed their common limit.
	ErrResponseTooLarge = errors.New("response is too large")
	// ErrCanceled reports that the context of the request ended.
	ErrCanceled = errors.New("request was canceled")
)

// ErrStopping is the cause with which a front end cancels the context of a request that is
// in progress at the end of a planned stop.
var ErrStopping = errors.New("process is stopping")

// Request is one attempt of a caller, decoded by a front end.
type Request struct {
	ID types.RequestID
	// Host and Path select the route. Path excludes the query.
	Host, Path string
	// Credential identifies the workspace of the caller.
	Credential workspaces.Credential
	Arrived    time.Time
	// Deadline is the deadline set by the caller, or zero.
	Deadline time.Time
	// Prompt is nil if the request does not describe its prompt.
	Prompt *placement.Prompt
	// ResumeAfter is the ID of the last event that the caller has received, or empty.
	ResumeAfter string
	// ResumeOf is the ID of the request that brought the first event of the stream that this
	// request resumes, or empty. ResumeHash is a hash of it, as Hash is of ID.
	ResumeOf   types.RequestID
	ResumeHash uint64
	// Bytes is the size of the message in bytes.
	Bytes int
	// Hash is a hash of ID.
	Hash uint64
	// Forwarded is the state of a request that another daemon forwards, or nil.
	Forwarded *Forwarded
	// Message is the request in the representation of the front end. Only a target client
	// of the same protocol interprets it.
	Message any
}

// Stage is the part of a request that a target runs.
type Stage uint8

// Stages.
const (
	// StageCombined runs the complete request on one target.
	StageCombined Stage = iota
	// StagePrefill prefills the prompt and retains its KV cache for another engine.
	StagePrefill
	// StageDecode generates the tokens from the KV cache of another engine.
	StageDecode
)

// Handle identifies the KV cache of a prompt on the engine that ran its prefill.
type Handle struct {
	Target *directory.Target
	ID     string
}

// Call is one request to one target.
type Call struct {
	Request *Request
	Target  *directory.Target
	Stage   Stage
	Caller  Caller
	// KVSource is the KV cache to start from, for StageDecode.
	KVSource Handle
	// FetchFrom is the engine from which the target fetches missing shared parts of the
	// KV cache, or nil.
	FetchFrom *directory.Target
	// Deadline is the time after which the response is of no use.
	Deadline time.Time
	// ProgressTimeout bounds the time without any byte from the target.
	ProgressTimeout time.Duration
	// Priority orders queued requests on an engine; 0 is the highest. A negative value
	// means that no priority is sent.
	Priority int
	// ResumeAfter is the ID of the last event that the caller has received, or empty.
	ResumeAfter string
	// RequireLiveConnection requires that the request is not sent on a connection that
	// the target may have closed.
	RequireLiveConnection bool
	// RequireLifetime requires that the request is sent only to the lifetime of the target that
	// is registered, not to one that has returned under its ID since.
	RequireLifetime bool
}

// Response is a response in progress. Read returns io.EOF at the end of a complete
// response; any other error wraps an error of this package.
type Response interface {
	io.Reader
	// Status returns the HTTP status code, or its equivalent in other protocols.
	Status() int
	// EndMarked reports whether the protocol marks the end of the response. Otherwise it ends
	// with its connection, and a target that crashes can make it look complete.
	EndMarked() bool
	// SetProgressTimeout replaces the ProgressTimeout of the call for the following reads.
	SetProgressTimeout(d time.Duration)
	// Close releases the response. If it was not read to its end, the request is
	// cancelled on the target.
	Close()
}

// Targets sends requests to targets. A call is cancelled when its context ends.
type Targets interface {
	// Prefill runs the prefill of the prompt on an engine.
	Prefill(ctx context.Context, c *Call) (Handle, error)
	// Send sends the request and returns the response when its head has arrived.
	Send(ctx context.Context, c *Call) (Response, error)
	// Release frees an unused handle. It does not block.
	Release(h Handle)
}

// Responder writes a response to the caller. All methods are called from one goroutine.
// An error means that the caller has disconnected.
type Responder interface {
	// WriteResponse writes a complete response.
	WriteResponse(resp Response, body []byte) error
	// BeginStream writes the head of a stream, WriteChunk a chunk of its body and
	// EndStream its end.
	BeginStream(resp Response) error
	WriteChunk(p []byte) error
	EndStream() error
}

// Observer receives decisions and outcomes. Its methods must not block.
type Observer interface {
	// ObserveDecision is called for each decision as it is made.
	ObserveDecision(e *Event)
	// ObserveEnd is called at the end of a request with all its decisions in order. The
	// last event is the outcome.
	ObserveEnd(all []Event)
}

// LoadPublisher publishes this daemon's work to the other daemons.
type LoadPublisher interface {
	// NotifyLoadChange reports that the local work on the target has changed.
	NotifyLoadChange(t *directory.Target)
	// NotifyPartsUsed reports that an engine has used parts of a prompt.
	NotifyPartsUsed(t *directory.Target, parts []directory.Part)
}

// CrashGuard knows the prompt parts whose requests crash engines. Its methods must not block.
type CrashGuard interface {
	// Blocked returns how much longer requests with any of the parts are refused, 0 if they
	// are not.
	Blocked(parts []directory.Part) time.Duration
	// RecordBroken reports that the connection of a request broke after a number of events of
	// this target. The target may have crashed.
	RecordBroken(t *directory.Target, parts []directory.Part, events int)
	// RecordUnmarkedEnd reports that a response whose end is not marked has ended after a number
	// of events of this target. It is complete, or the target has crashed.
	RecordUnmarkedEnd(t *directory.Target, parts []directory.Part, events int)
	// RecordAnswer reports that a request was answered in full.
	RecordAnswer(parts []directory.Part)
}

// noCrashGuard blocks nothing.
type noCrashGuard struct{}

func (noCrashGuard) Blocked([]directory.Part) time.Duration                { return 0 }
func (noCrashGuard) RecordBroken(*directory.Target, []directory.Part, int) {}
func (noCrashGuard) RecordAnswer([]directory.Part)                         {}

func (noCrashGuard) RecordUnmarkedEnd(*directory.Target, []directory.Part, int) {}

// Settings are the settings of a Gateway.
type Settings struct {
	Costs placement.Costs
	Speed placement.EngineSpeed
	// TransferCostPerToken is the cost of a transferred token of KV cache in addition to
	// the transfer time.
	TransferCostPerToken time.Duration
	// FetchCostPerToken is the cost of caching a shared token on one more engine.
	FetchCostPerToken time.Duration
	// MaxBufferedBytes bounds the total size of responses that are buffered until they
	// are complete.
	MaxBufferedBytes int64
	// Demand receives the work that callers offer to engines.
	Demand *demand.Table
	// Crashes decides which prompts are refused because they crash engines. With nil none are.
	Crashes CrashGuard
	// Versions decides at which software version streams of resumable routes run. With nil they
	// may begin at any, and a request that resumes a stream is served only if all targets of
	// the service have one version.
	Versions VersionPolicy
	// Peers serve requests while this daemon does not reach the targets. With nil none do.
	Peers Peers
	// Shutdown decides which requests may begin while the process stops. With nil it never
	// stops.
	Shutdown *shutdown.State
	// Now returns the current time.
	Now func() time.Time
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	table     atomic.Pointer[routes.Table]
	directory *directory.Directory
	targets   Targets
	publisher LoadPublisher
	observer  Observer
	budgets   budgets
	durations shutdown.Durations
	buffered  atomic.Int64 // bytes of buffered responses
	panics    atomic.Int64
}

// New returns a gateway without a configuration. It refuses all requests until SetTable.
func New(s Settings, d *directory.Directory, t Targets, publisher LoadPublisher, o Observer) *Gateway {
	if s.Crashes == nil {
		s.Crashes = noCrashGuard{}
	}
	if s.Peers == nil {
		s.Peers = noPeers{}
	}
	if s.Shutdown == nil {
		s.Shutdown = &shutdown.State{}
	}
	return &Gateway{settings: s, directory: d, targets: t, publisher: publisher, observer: o}
}

// SetTable activates a configuration and reports whether it was newer than the active one.
// Other versions are ignored.
func (g *Gateway) SetTable(t *routes.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			g.keepDurations(t)
			return true
		}
	}
}

// keepDurations forgets the durations of routes that the configuration does not have, once there
// can be as many of them as routes: a pass over all routes at each change would cost more than the
// change of one route.
func (g *Gateway) keepDurations(t *routes.Table) {
	if g.durations.Len() <= 2*t.RouteCount() {
		return
	}
	names := make(map[string]bool, t.RouteCount())
	t.Routes(func(r *routes.Route) { names[r.Name] = true })
	g.durations.Keep(func(route string) bool { return names[route] })
}

// Table returns the active configuration, or nil.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// BufferedBytes returns the total size of the buffers of incomplete responses.
func (g *Gateway) BufferedBytes() int64 { return g.buffered.Load() }

// Panics returns the number of requests that ended with a panic.
func (g *Gateway) Panics() int64 { return g.panics.Load() }

// SetRetryLimits replaces the limits of the retry budgets of all services.
func (g *Gateway) SetRetryLimits(l admission.RetryLimits) { g.budgets.setLimits(l) }

// Result is the result of a request.
type Result struct {
	types.Outcome
	// Started reports whether the head of a response was passed to the caller.
	Started bool
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// Serve serves one request and returns its result. The context must end when the caller
// disconnects, or with the cause ErrStopping when the process is about to end. A panic ends
// the request with RefusedInternal; it is reported to the observer with its stack.
func (g *Gateway) Serve(ctx context.Context, r *Request, w Responder) (res Result) {
	x := exchange{g: g, r: r, w: w}
	defer func() {
		if v := recover(); v != nil {
			g.panics.Add(1)
			x.lastErr = fmt.Errorf("panic: %v\n%s", v, debug.Stack())
			res = x.end(x.callerAttempt.Refuse(types.RefusedInternal))
		}
	}()
	x.table = g.table.Load()
	if x.table == nil {
		return x.end(x.callerAttempt.Refuse(types.RefusedNoConfiguration))
	}
	x.route = x.table.Lookup(r.Host, r.Path)
	if x.route == nil {
		return x.end(x.callerAttempt.Refuse(types.RefusedUnknownRoute))
	}
	if reason, ok := x.accept(); !ok {
		return x.end(x.callerAttempt.Refuse(reason))
	}
	if r.Forwarded == nil {
		x.serviceID = x.route.PickService(r.serviceHash())
	}
	x.service = x.table.Service(x.serviceID)
	x.deadline = r.Arrived.Add(x.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(x.deadline) {
		x.deadline = r.Deadline
	}
	x.durations = g.durations.Route(x.route.Name)
	x.progress = x.durations.Begin()
	if !x.mayBegin() {
		return x.end(x.refuse(types.RefusedStopping, minRetryAfter))
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.callerCtx, x.ctx = ctx, deadlineCtx
	x.budget = g.budgets.get(x.serviceID)
	if r.Forwarded == nil {
		x.budget.Earn()
	}
	return x.end(x.serve())
}

// accept identifies the caller of a request, or takes over what another daemon has found out about it.
func (x *exchange) accept() (reason types.RefusalReason, ok bool) {
	if f := x.r.Forwarded; f != nil {
		return x.acceptForwarded(f)
	}
	return x.identify()
}
