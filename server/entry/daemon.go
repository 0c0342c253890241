package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/transport"
	"github.com/lentilpick/lentilpick/types"
)

// ErrStart reports that the daemon failed to start.
var ErrStart = merry.New("entry daemon failed to start")

// KeyService decides whether requests with an idempotency key may run, and records how they end.
type KeyService interface {
	Claim(ctx context.Context, k idempotency.Key, attempt string, digest uint64) (idempotency.Verdict, *idempotency.Response, error)
	Finish(ctx context.Context, k idempotency.Key, attempt string, end idempotency.Kind, a *idempotency.Response) error
}

// Targets sends requests to targets.
type Targets interface {
	Generate(address string, g *engine.GenerateRequest, deadline time.Time) (*engine.Stream, error)
	Call(address string, c *engine.Call, deadline time.Time) (*engine.Reply, error)
}

// Daemon is the entry daemon.
type Daemon struct {
	settings  *Settings
	log       *logrus.Entry
	metrics   *daemon.Metrics
	counters  *counters
	views     *localview.Store
	control   *localview.Client
	keys      KeyService
	targets   Targets
	router    *routing.Router
	admission *admission.Controller
	pool      *ants.Pool
	demand    demand
	lifecycle shutdown.State
	durations shutdown.Durations // of answered requests, by service
	// requests is cancelled when a stop ends the requests in progress.
	requests    context.Context
	endRequests context.CancelFunc
	// attemptCount numbers the key claims of this process. incarnation is a random ID of the process,
	// so that attempt IDs stay unique after a restart.
	attemptCount atomic.Uint64
	incarnation  string
	// pendingFinishes tracks the ends of keyed requests that are being recorded.
	pendingFinishes sync.WaitGroup
	// recordingCtx is cancelled at the stop timeout to abort the pending recordings.
	recordingCtx  context.Context
	stopRecording context.CancelFunc
}

// New returns a daemon that is not yet serving.
func New(s *Settings, log *logrus.Entry) (*Daemon, error) {
	m, err := daemon.NewMetrics("lentilpick-entry")
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	pool, err := ants.NewPool(s.MaxInFlight, ants.WithNonblocking(true), ants.WithPanicHandler(func(v any) {
		log.WithField("panic", v).Error("request worker panicked")
	}))
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	d := &Daemon{
		settings: s, log: log, metrics: m, pool: pool,
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		views:       localview.NewStore(types.DataCentreID(s.DataCentre), reachableDataCentres(s)),
		router:      newRouter(s),
		admission: admission.NewController(admission.Limits{
			MaxInFlight: int64(s.MaxInFlight), WorkspaceInFlight: int64(s.WorkspaceInFlight),
		}),
		targets: engine.NewClient(engine.Settings{
			DialTimeout: s.DialTimeout, ProgressTimeout: s.ProgressTimeout, MaxIdle: s.ConnectionIdle,
			MaxAge: s.ConnectionAge, MaxConns: s.MaxInFlight,
		}),
	}
	d.requests, d.endRequests = context.WithCancel(context.Background())
	d.recordingCtx, d.stopRecording = context.WithCancel(context.Background())
	d.control = localview.NewClient(s.VM, s.Listen, d.views, s.Control, log)
	d.keys = d.control
	if d.counters, err = newCounters(m); err != nil {
		return nil, err
	}
	err = d.registerGauges()
	return d, err
}

func reachableDataCentres(s *Settings) []types.DataCentreID {
	out := make([]types.DataCentreID, len(s.Reach))
	for i, dc := range s.Reach {
		out[i] = types.DataCentreID(dc)
	}
	return out
}

func (d *Daemon) registerGauges() error {
	if err := d.metrics.Gauge("lentilpick_in_flight", "Requests in progress.", d.admission.InFlight); err != nil {
		return err
	}
	return d.metrics.Gauge("lentilpick_revision", "Configuration revision in force.", func() int64 {
		return int64(d.views.Load().Config.Revision)
	})
}

// Run serves callers until the context ends, then stops gracefully within StopTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	metrics, err := net.Listen("tcp", d.settings.Metrics)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.control.Run(background)
	go d.reportLoad(background)
	go func() { _ = http.Serve(metrics, d.metrics.Handler) }()
	server := d.newServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(callers) }()
	d.log.WithField(daemon.FieldAddress, d.settings.Listen).Info("serving callers")
	select {
	case err := <-serveErr:
		return merry.Wrap(ErrStart, merry.WithCause(err))
	case <-ctx.Done():
	}
	_ = d.stop(server)
	return nil
}

func (d *Daemon) newServer() *callerServer {
	return newCallerServer(&fasthttp.Server{
		Handler:                      d.handle,
		Name:                         "lentilpick",
		MaxRequestBodySize:           d.settings.MaxBodyBytes,
		ReadTimeout:                  30 * time.Second,
		WriteTimeout:                 d.settings.MaxAnswerTime, // closes connections of callers that do not read
		IdleTimeout:                  time.Minute,
		ErrorHandler:                 d.protocolError,
		Logger:                       debugLogger{d.log},
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
	})
}

// debugLogger logs the messages of the HTTP server at debug level. They concern single connections,
// whose failures the metrics count.
type debugLogger struct{ entry *logrus.Entry }

// Printf implements fasthttp.Logger. It hides errors other than those of the network, because the
// parser's quote the input with the caller's credentials.
func (l debugLogger) Printf(format string, args ...any) {
	shown := slices.Clone(args)
	for i, a := range shown {
		if err, ok := a.(error); ok && !errors.As(err, new(net.Error)) {
			shown[i] = errInvalidInput
		}
	}
	l.entry.Debugf(format, shown...)
}

var errInvalidInput = errors.New("input is not a valid request")

// protocolError responds to input that is not a valid HTTP request.
func (d *Daemon) protocolError(ctx *fasthttp.RequestCtx, err error) {
	// The server closes the connection after the response. Unread input would then reset the
	// connection, and the caller could lose the response.
	transport.Drain(ctx.Conn())
	var headerErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		d.refuseInput(ctx, newInputError("body", "is over %d bytes", d.settings.MaxBodyBytes), fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &headerErr):
		d.refuseInput(ctx, newInputError("header", "is too large"), fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &netErr) && netErr.Timeout() && d.isStopping():
		d.refuseStopping(ctx)
	case errors.As(err, &netErr) && netErr.Timeout():
		d.refuseInput(ctx, newInputError("http", "the request did not arrive in time"), fasthttp.StatusRequestTimeout)
	default:
		d.refuseInput(ctx, newInputError("http", "is not a valid HTTP/1.1 request"), fasthttp.StatusBadRequest)
	}
}

// recoverPanic logs a panic of the calling goroutine with its stack and calls onPanic, which ends the
// request. It must be deferred. The state that requests share consists of atomics, and of admission
// tickets that are released by deferred calls.
func (d *Daemon) recoverPanic(id types.RequestID, onPanic func()) {
	if v := recover(); v != nil {
		d.log.WithFields(logrus.Fields{daemon.FieldRequest: id, "panic": v, "stack": string(debug.Stack())}).Error("panic while serving a request")
		onPanic()
	}
}

func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	defer d.recoverPanic("", func() {
		var a types.Attempt
		o := a.RefuseAsUnknown(types.RefusedInternal)
		d.counters.recordOutcome(o)
		ctx.Response.Reset()
		newRefusal("", o).write(ctx)
		ctx.SetConnectionClose()
	})
	now := time.Now()
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions":
		d.handleCompletion(ctx, now)
	case strings.HasPrefix(path, servicePrefix):
		d.handleCall(ctx, now)
	case path == "/healthz":
		d.handleHealth(ctx)
	default:
		d.refuseInput(ctx, newInputError("path", "no such path"), fasthttp.StatusNotFound)
	}
	if d.isStopping() {
		ctx.SetConnectionClose()
	}
}

func (d *Daemon) handleHealth(ctx *fasthttp.RequestCtx) {
	if d.isStopping() || d.views.Load().Config.Revision == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// refuseInput responds to an invalid request with the outcome not run.
func (d *Daemon) refuseInput(ctx *fasthttp.RequestCtx, e *inputError, status int) {
	var a types.Attempt
	d.counters.recordOutcome(a.Refuse(types.RefusedBadInput))
	detail := newErrorDetail("", outcomeNotRun, types.RefusedBadInput)
	detail.Field, detail.Message = e.Field, e.Message
	if id, err := headerText(ctx, "X-Request-Id", maxIDBytes); err == nil {
		detail.RequestID = types.RequestID(id)
	}
	refusal{status, detail}.write(ctx)
}

// refuseStopping responds to a request that has not arrived completely before the end of a stop.
func (d *Daemon) refuseStopping(ctx *fasthttp.RequestCtx) {
	var a types.Attempt
	o := a.Refuse(types.RefusedStopping)
	d.counters.recordOutcome(o)
	newRefusal("", o).write(ctx)
}

// admit checks that the workspace may call the service and reserves admission capacity. The caller
// releases it.
func (d *Daemon) admit(v *localview.View, ws types.WorkspaceID, s types.ServiceID, priority int, a *types.Attempt) (*localview.Workspace, admission.Ticket, types.Outcome) {
	var noTicket admission.Ticket
	if d.isStopping() {
		return nil, noTicket, a.Refuse(types.RefusedStopping)
	}
	w, ok := v.Workspaces[ws]
	if !ok || !w.Allows(s) {
		return nil, noTicket, a.Refuse(types.RefusedUnknownWorkspace)
	}
	ticket, reason, ok := d.admission.Admit(w.Admission, w.Share, priority, time.Now())
	if !ok {
		return nil, noTicket, a.Refuse(reason)
	}
	return w, ticket, nil
}

// backOffTarget excludes a target from routing for the failure back-off, with random jitter.
func (d *Daemon) backOffTarget(t *routing.Target, now time.Time) {
	t.Counters.RecordFailure(now, d.settings.FailureBackoff, newRand())
}

// newRand returns a random source for one routing decision. It is seeded from the global generator of
// math/rand/v2, which is safe for concurrent use and keeps its state per thread.
func newRand() routing.Rand { return routing.NewRand(rand.Uint64()) }

// newRouter returns a router that, among targets of equal cost, prefers different targets than the
// other entry daemons of the data centre. Its ring offset is the position of this VM's control
// daemon, which is the first address of the setting, in the sorted list of addresses. With a single
// address the number of daemons is unknown, and the offset is not set: an offset derived from a hash
// distributed the requests no better than none (docs/decisions/0002).
func newRouter(s *Settings) *routing.Router {
	r := routing.NewRouter()
	if len(s.Control) > 1 {
		sorted := slices.Sorted(slices.Values(s.Control))
		r.SetRingOffset(slices.Index(sorted, s.Control[0]), len(sorted))
	}
	return r
}

// adaptTargetLimit adapts the limit on a target's requests to the observed and predicted latency of a
// first token or a complete response. Without a prediction both are 0.
func adaptTargetLimit(t *routing.Target, observed, predicted time.Duration) {
	maxLimit := int64(t.Rates.MaxStreams)
	if maxLimit == 0 {
		maxLimit = defaultTargetLimit
	}
	admission.AdaptLimit(&t.Counters.Limit, t.Counters.InFlight.Load(), maxLimit, observed, predicted)
}

// defaultTargetLimit bounds the requests of this daemon on a target without a declared maximum. It is
// the stream limit of a mid-sized engine.
const defaultTargetLimit = 128
