package standins

import (
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/standin/plainservice"
	"github.com/lentilpick/lentilpick/standin/vmlist"
	"github.com/lentilpick/lentilpick/standin/web"
	"github.com/lentilpick/lentilpick/standin/weightstore"
)

// ErrStart reports that the stand-ins failed to start or that one of their servers
// failed.
var ErrStart = merry.New("stand-ins could not serve their addresses")

// Stats are the counts of all stand-ins in the process. Engines is keyed by target,
// Plain by service.
type Stats struct {
	Appends int64                         `json:"appends"`
	Engines map[string]modelengine.Stats  `json:"engines"`
	Plain   map[string]plainservice.Stats `json:"plain"`
}

type process struct {
	log        *logrus.Entry
	logService *logservice.Service
	engines    map[string]*modelengine.Runner
	stores     map[string]*plainservice.Store
	instances  map[string]*plainservice.Instance
	// endpoints are the HTTP servers of the targets, by target.
	endpoints map[string]*web.Endpoint
	failed    chan error
}

// Run serves the stand-ins until the context ends. Errors: ErrStart.
func Run(ctx context.Context, s *Settings, log *logrus.Entry) error {
	p := &process{
		log: log, engines: map[string]*modelengine.Runner{}, stores: map[string]*plainservice.Store{},
		instances: map[string]*plainservice.Instance{}, endpoints: map[string]*web.Endpoint{}, failed: make(chan error, 1),
	}
	if err := p.start(s); err != nil {
		return err
	}
	log.WithField(daemon.FieldAddress, s.Control).Info("serving stand-ins")
	select {
	case <-ctx.Done():
	case err := <-p.failed:
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	for _, r := range p.engines {
		r.Close()
	}
	return nil
}

func (p *process) start(s *Settings) error {
	if s.Platform != nil {
		if err := p.startPlatform(s.Platform); err != nil {
			return err
		}
	}
	for _, e := range s.Engine {
		r := newEngine(&e, s.WeightStore)
		p.engines[e.ID] = r
		if err := p.serveTarget(e.ID, e.Listen, modelengine.NewServer(r).Handle); err != nil {
			return err
		}
	}
	for _, c := range s.Plain {
		if p.stores[c.Service] == nil {
			p.stores[c.Service] = plainservice.NewStore(replicationLag)
		}
		i := &plainservice.Instance{Name: c.ID, Store: p.stores[c.Service], ServiceTime: c.ServiceTime}
		p.instances[c.ID] = i
		if err := p.serveTarget(c.ID, c.Listen, i.Handle); err != nil {
			return err
		}
	}
	return p.serve(s.Control, p.control)
}

// replicationLag is the delay after which the instances of a plain service see each
// other's writes.
const replicationLag = 2 * time.Second

// newEngine starts the runner of one engine. A speed or size of 0 in the settings
// selects the default.
func newEngine(e *Engine, weights string) *modelengine.Runner {
	params := modelengine.DefaultParams()
	params.ChecksFencing = e.ChecksFencing
	params.ChangeTime = e.ChangeTime
	if e.IterationBase > 0 {
		params.Rates.IterationBase = e.IterationBase
	}
	if e.DecodeCost > 0 {
		params.Rates.DecodeCost = e.DecodeCost
	}
	if e.MaxStreams > 0 {
		params.Rates.MaxStreams = e.MaxStreams
	}
	if e.KVTokens > 0 {
		params.KVTokens = e.KVTokens
	}
	s := modelengine.RunnerSettings{
		ReportLag: e.ReportLag,
		Events:    modelengine.EventSettings{Lag: e.EventLag, DropEvery: e.EventDropEvery},
	}
	if weights != "" {
		s.Weights = modelengine.HTTPWeightStore{Address: weights}
	}
	d := modelengine.Description{Role: e.Role, Model: e.Model, Version: e.Version, Adapters: e.Adapters}
	return modelengine.NewRunner(modelengine.NewEngine(params, d), s)
}

func (p *process) startPlatform(s *Platform) error {
	p.logService = logservice.New(logservice.Settings{AppendsPerSecond: s.AppendsPerSecond, Retention: s.Retention}, time.Now)
	vms := vmlist.New(s.VM, s.VMListLag, time.Now)
	weights := weightstore.New(s.WeightsPerMinute, time.Now)
	return p.serve(s.Listen, func(ctx *fasthttp.RequestCtx) {
		if !p.logService.Handle(ctx) && !vms.Handle(ctx) && !weights.Handle(ctx) {
			web.Fail(ctx, fasthttp.StatusNotFound, "no such path")
		}
	})
}

func (p *process) serveTarget(id, address string, h fasthttp.RequestHandler) error {
	e, err := p.listen(address, h)
	p.endpoints[id] = e
	return err
}

func (p *process) serve(address string, h fasthttp.RequestHandler) error {
	_, err := p.listen(address, h)
	return err
}

func (p *process) listen(address string, h fasthttp.RequestHandler) (*web.Endpoint, error) {
	e, err := web.Serve(address, h, func(err error) {
		select {
		case p.failed <- err:
		default:
		}
	})
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	return e, nil
}

// control serves /stats, which returns Stats, and POST requests to /faults/.
func (p *process) control(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/stats" {
		web.Reply(ctx, p.stats())
		return
	}
	if rest, ok := strings.CutPrefix(path, "/faults/"); ok && ctx.IsPost() {
		p.handleFault(ctx, rest)
		return
	}
	web.Fail(ctx, fasthttp.StatusNotFound, "no such path")
}

func (p *process) stats() Stats {
	s := Stats{Engines: map[string]modelengine.Stats{}, Plain: map[string]plainservice.Stats{}}
	if p.logService != nil {
		s.Appends = p.logService.Appends()
	}
	for id, r := range p.engines {
		r.Do(func(e *modelengine.Engine, _ time.Time) []modelengine.Output {
			s.Engines[id] = e.Stats
			return nil
		})
	}
	for name, st := range p.stores {
		s.Plain[name] = st.Stats()
	}
	return s
}
