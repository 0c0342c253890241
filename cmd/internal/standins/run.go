package standins

import (
	"context"
	"encoding/json"
	"net"
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

// ErrStart reports that the stand-ins could not start.
var ErrStart = merry.New("stand-ins could not start")

// Stats is what the stand-ins counted.
type Stats struct {
	Appends int64                         `json:"appends"`
	Engines map[string]modelengine.Stats  `json:"engines"`
	Plain   map[string]plainservice.Stats `json:"plain"`
}

type process struct {
	log     *logrus.Entry
	service *logservice.Service
	engines map[string]*modelengine.Runner
	stores  map[string]*plainservice.Store
	plain   map[string]*plainservice.Instance
	servers []*fasthttp.Server
	failed  chan error
}

// Run serves the stand-ins until the context ends.
func Run(ctx context.Context, s *Settings, log *logrus.Entry) error {
	p := &process{
		log: log, engines: map[string]*modelengine.Runner{}, stores: map[string]*plainservice.Store{},
		plain: map[string]*plainservice.Instance{}, failed: make(chan error, 1),
	}
	if err := p.start(s); err != nil {
		return err
	}
	log.WithField(daemon.FieldAddress, s.Control).Info("stand-ins are serving")
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
		params := modelengine.DefaultParams()
		params.ChecksFencing = e.ChecksFencing
		params.ChangeTime = e.ChangeTime
		d := modelengine.Description{Role: e.Role, Model: e.Model, Version: e.Version, Adapters: e.Adapters}
		r := modelengine.NewRunner(modelengine.NewEngine(params, d), e.ReportLag)
		p.engines[e.ID] = r
		if err := p.serve(e.Listen, modelengine.NewServer(r).Handle); err != nil {
			return err
		}
	}
	for _, c := range s.Plain {
		if p.stores[c.Service] == nil {
			p.stores[c.Service] = plainservice.NewStore(replicationLag)
		}
		i := &plainservice.Instance{Name: c.ID, Store: p.stores[c.Service], ServiceTime: c.ServiceTime}
		p.plain[c.ID] = i
		if err := p.serve(c.Listen, i.Handle); err != nil {
			return err
		}
	}
	return p.serve(s.Control, p.control)
}

// replicationLag is how late the instances of a plain service see each other's writes.
const replicationLag = 2 * time.Second

func (p *process) startPlatform(s *Platform) error {
	p.service = logservice.New(logservice.Settings{AppendsPerSecond: s.AppendsPerSecond, Retention: s.Retention}, time.Now)
	vms := vmlist.New(s.VM, s.VMListLag, time.Now)
	weights := weightstore.New(s.WeightsPerMinute, time.Now)
	return p.serve(s.Listen, func(ctx *fasthttp.RequestCtx) {
		if !p.service.Handle(ctx) && !vms.Handle(ctx) && !weights.Handle(ctx) {
			web.Fail(ctx, fasthttp.StatusNotFound, "no such path")
		}
	})
}

func (p *process) serve(address string, h fasthttp.RequestHandler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: 64 << 20, IdleTimeout: time.Minute}
	p.servers = append(p.servers, s)
	go func() {
		if err := s.Serve(l); err != nil {
			select {
			case p.failed <- err:
			default:
			}
		}
	}()
	return nil
}

// control serves GET /stats and POST /faults/log, /faults/engine/{id}.
func (p *process) control(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/stats":
		web.Reply(ctx, p.stats())
	case path == "/faults/log" && p.service != nil:
		var f logservice.Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		p.service.SetFaults(f)
		web.Reply(ctx, struct{}{})
	default:
		web.Fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (p *process) stats() Stats {
	s := Stats{Engines: map[string]modelengine.Stats{}, Plain: map[string]plainservice.Stats{}}
	if p.service != nil {
		s.Appends = p.service.Appends()
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
