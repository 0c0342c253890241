package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
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
	"github.com/lentilpick/lentilpick/transport"
	"github.com/lentilpick/lentilpick/types"
)

// ErrStart reports that the daemon could not start.
var ErrStart = merry.New("entry daemon could not start")

// KeyService decides whether keyed requests may run.
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
	stopping  atomic.Bool
	// attempts numbers the claims of this run of the daemon; incarnation tells
	// the runs apart.
	attempts    atomic.Uint64
	incarnation string
	// finishing counts the ends of keyed requests that are being recorded.
	finishing sync.WaitGroup
	// recording ends when they are given up.
	recording     context.Context
	stopRecording context.CancelFunc
}

// New returns a daemon that is not yet serving.
func New(s *Settings, log *logrus.Entry) (*Daemon, error) {
	m, err := daemon.NewMetrics("lentilpick-entry")
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	pool, err := ants.NewPool(s.MaxInFlight, ants.WithNonblocking(true), ants.WithPanicHandler(func(v any) {
		log.WithField("panic", v).Error("a request failed")
	}))
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	d := &Daemon{
		settings: s, log: log, metrics: m, pool: pool,
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		views:       localview.NewStore(types.DataCentreID(s.DataCentre), reachOf(s)),
		router:      newRouter(s),
		admission: admission.NewController(admission.Limits{
			MaxInFlight: int64(s.MaxInFlight), WorkspaceInFlight: int64(s.WorkspaceInFlight),
		}),
		targets: engine.NewClient(engine.Settings{
			DialTimeout: s.DialTimeout, ProgressTimeout: s.ProgressTimeout, MaxIdle: s.ConnectionIdle,
			MaxAge: s.ConnectionAge, MaxConns: s.MaxInFlight,
		}),
	}
	d.recording, d.stopRecording = context.WithCancel(context.Background())
	d.control = localview.NewClient(s.VM, s.Listen, d.views, s.Control, log)
	d.keys = d.control
	if d.counters, err = newCounters(m); err != nil {
		return nil, err
	}
	err = d.registerGauges()
	return d, err
}

func reachOf(s *Settings) []types.DataCentreID {
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

// Run serves until the context ends, then stops gracefully within StopTimeout.
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
	server := d.server()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(callers) }()
	d.log.WithField(daemon.FieldAddress, d.settings.Listen).Info("serving callers")
	select {
	case err := <-failed:
		return merry.Wrap(ErrStart, merry.WithCause(err))
	case <-ctx.Done():
	}
	return d.stop(server)
}

func (d *Daemon) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      d.handle,
		Name:                         "lentilpick",
		MaxRequestBodySize:           d.settings.MaxBodyBytes,
		ReadTimeout:                  30 * time.Second,
		WriteTimeout:                 d.settings.MaxAnswerTime, // bounds a caller that does not read
		IdleTimeout:                  time.Minute,
		CloseOnShutdown:              true,
		ErrorHandler:                 d.protocolError,
		Logger:                       debugLogger{d.log},
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
	}
}

// debugLogger takes the lines of the HTTP server. They are about single
// connections, which the counters cover.
type debugLogger struct{ entry *logrus.Entry }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) { l.entry.Debugf(format, args...) }

// stopGrace is how long connections stay open after the stop began, so that
// callers that keep a connection get a refusal instead of a closed connection,
// and the load balancer sees that the daemon is not ready.
const stopGrace = time.Second

// stop lets the requests in progress finish. New requests are refused as not
// run, and their connections are closed after the refusal.
func (d *Daemon) stop(server *fasthttp.Server) error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	grace, done := context.WithTimeout(ctx, stopGrace)
	defer done()
	<-grace.Done()
	if err := server.ShutdownWithContext(ctx); err != nil {
		d.log.WithError(err).Error("requests were in progress at the end of the stop timeout")
		return merry.Wrap(err)
	}
	defer context.AfterFunc(ctx, d.stopRecording)()
	d.finishing.Wait()
	d.log.Info("stopped")
	return nil
}

// protocolError answers what is not a valid HTTP request.
func (d *Daemon) protocolError(ctx *fasthttp.RequestCtx, err error) {
	// The server closes the connection after this answer.
	transport.Drain(ctx.Conn())
	var header *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		d.refuseInput(ctx, badInput("body", "is over %d bytes", d.settings.MaxBodyBytes), fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &header):
		d.refuseInput(ctx, badInput("header", "is too large"), fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &network) && network.Timeout():
		d.refuseInput(ctx, badInput("http", "the request did not arrive in time"), fasthttp.StatusRequestTimeout)
	default:
		d.refuseInput(ctx, badInput("http", "is not a valid HTTP/1.1 request"), fasthttp.StatusBadRequest)
	}
}

func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	if d.stopping.Load() {
		ctx.SetConnectionClose()
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions":
		d.handleCompletion(ctx, now)
	case strings.HasPrefix(path, servicePrefix):
		d.handleCall(ctx, now)
	case path == "/healthz":
		d.handleHealth(ctx)
	default:
		d.refuseInput(ctx, badInput("path", "no such path"), fasthttp.StatusNotFound)
	}
}

func (d *Daemon) handleHealth(ctx *fasthttp.RequestCtx) {
	if d.stopping.Load() || d.views.Load().Config.Revision == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// refuseInput answers a request that is not valid. Nothing of it ran.
func (d *Daemon) refuseInput(ctx *fasthttp.RequestCtx, e *inputError, status int) {
	var a types.Attempt
	d.counters.finished(a.Refuse(types.RefusedBadInput))
	detail := detailFor("", outcomeNotRun, types.RefusedBadInput)
	detail.Field, detail.Message = e.Field, e.Message
	if id, err := name(ctx, "X-Request-Id", maxIDBytes); err == nil {
		detail.RequestID = types.RequestID(id)
	}
	refusal{status, detail}.write(ctx)
}

// admit checks the workspace and takes a place for the request.
func (d *Daemon) admit(v *localview.View, ws types.WorkspaceID, s types.ServiceID, priority int, a *types.Attempt) (*localview.Workspace, admission.Ticket, types.Outcome) {
	var none admission.Ticket
	if d.stopping.Load() {
		return nil, none, a.Refuse(types.RefusedStopping)
	}
	w, ok := v.Workspaces[ws]
	if !ok || !w.Allows(s) {
		return nil, none, a.Refuse(types.RefusedUnknownWorkspace)
	}
	ticket, reason, ok := d.admission.Admit(w.Admission, w.Share, priority, time.Now())
	if !ok {
		return nil, none, a.Refuse(reason)
	}
	return w, ticket, nil
}

func (d *Daemon) markFailed(t *routing.Target, now time.Time) {
	t.Counters.RecordFailure(now, d.settings.FailureBackoff, seed())
}

// seed returns a random source for one decision; the global generator of
// math/rand/v2 is safe for concurrent use and keeps state for each thread.
func seed() routing.Rand { return routing.NewRand(rand.Uint64()) }

// newRouter returns a router that prefers, at equal cost, other targets than
// the other entry daemons of the data centre do. The settings list the control
// daemons of the data centre, the one on this VM first. With one address the
// others are not known; a position from a hash was measured to be no better
// than none (docs/decisions/0002).
func newRouter(s *Settings) *routing.Router {
	r := routing.NewRouter()
	if len(s.Control) > 1 {
		sorted := slices.Sorted(slices.Values(s.Control))
		r.SetRingOffset(slices.Index(sorted, s.Control[0]), len(sorted))
	}
	return r
}

// observe adapts the target's limit to a first token or a whole answer.
func observe(t *routing.Target, observed, predicted time.Duration) {
	most := int64(t.Rates.MaxStreams)
	if most == 0 {
		most = defaultTargetLimit
	}
	admission.AdaptLimit(&t.Counters.Limit, t.Counters.InFlight.Load(), most, observed, predicted)
}

// defaultTargetLimit bounds this daemon's requests on a target that declares no
// maximum; it is the stream limit of a mid-sized engine.
const defaultTargetLimit = 128
