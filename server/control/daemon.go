package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/types"
)

// ErrStart reports that the daemon could not start.
var ErrStart = merry.New("control daemon could not start")

func vmID(s string) types.VMID { return types.VMID(s) }

const (
	poolSize       = 256
	vmListEvery    = time.Second
	snapshotCheck  = 5 * time.Second
	targetTimeout  = 2 * time.Second
	startFromPeers = 3 * time.Second
)

// Daemon is the control daemon.
type Daemon struct {
	settings    *Settings
	log         *logrus.Entry
	metrics     *daemon.Metrics
	dc          types.DataCentreID
	incarnation string
	platform    *platform.Client
	config      *ConfigLog
	gate        *authority.Gate
	lease       *leaseRunner
	keys        *keyLog
	fleet       *fleetState
	entries     *entries
	orders      *orderer
	reports     *reportReader
	peers       *exchanger
	pool        *ants.Pool
	stopping    chan struct{}
	admin       http.Handler
}

// New returns a daemon that is not yet serving. admin serves the
// administration API; it may be nil until SetAdmin.
func New(s *Settings, log *logrus.Entry) (*Daemon, error) {
	m, err := daemon.NewMetrics("lentilpick-control")
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	d := &Daemon{
		settings: s, log: log, metrics: m, pool: pool, dc: types.DataCentreID(s.DataCentre),
		incarnation: strconv.FormatUint(rand.Uint64(), 36), platform: platform.NewClient(s.Platform),
		gate: &authority.Gate{}, fleet: newFleetState(vmID(s.VM)), entries: newEntries(), stopping: make(chan struct{}),
	}
	d.config = NewConfigLog(d.platform, log)
	d.lease = newLeaseRunner(d.platform, log, d.dc, s.lease(d.incarnation), d.gate)
	counters, err := newKeyCounters(m)
	if err != nil {
		return nil, err
	}
	d.keys = newKeyLog(d.platform, log, s, d.keyDeps(), counters)
	targets := engine.NewClient(engine.Settings{
		DialTimeout: targetTimeout, Progress: targetTimeout, MaxIdle: 5 * time.Second, MaxAge: time.Minute, MaxConns: 8,
	})
	d.reports = &reportReader{
		self: vmID(s.VM), dc: d.dc, log: log, config: d.config.Config, fleet: d.fleet, client: targets, pool: pool, every: s.ReportInterval,
	}
	d.orders = &orderer{
		dc: d.dc, log: log, config: d.config.Config, gate: d.gate, gone: d.fleet.vmGone, client: targets, pool: pool,
		every: s.OrderInterval, busy: map[types.TargetID]bool{}, state: map[types.TargetID]string{},
	}
	d.peers = &exchanger{log: log, pool: pool, fleet: d.fleet, clients: newPeerClients(s.Peers), state: d.peerState}
	return d, d.registerGauges()
}

func (d *Daemon) registerGauges() error {
	gauges := []struct {
		name, description string
		read              func() int64
	}{
		{"lentilpick_revision", "Configuration revision in force.", func() int64 { return int64(d.config.Config().Revision) }},
		{"lentilpick_lease_held", "1 while this daemon holds the lease.", func() int64 {
			if _, err := d.gate.Check(time.Now(), true, true); err != nil {
				return 0
			}
			return 1
		}},
		{"lentilpick_undecoded_records", "Configuration records that did not decode.", func() int64 { return int64(d.config.Undecoded()) }},
	}
	for _, g := range gauges {
		if err := d.metrics.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
}

// SetAdmin sets the handler of the administration API. It must be called
// before Run.
func (d *Daemon) SetAdmin(h http.Handler) { d.admin = h }

// Config returns the configuration log.
func (d *Daemon) Config() *ConfigLog { return d.config }

// clientsIn returns the peers in a data centre.
func (d *Daemon) clientsIn(dc types.DataCentreID) []peerClient {
	var out []peerClient
	for _, c := range d.peers.clients {
		if c.DataCentre == string(dc) {
			out = append(out, c)
		}
	}
	return out
}

func (d *Daemon) peerState(now time.Time) *peerv1.PeerState {
	s := &peerv1.PeerState{
		Vm: d.settings.VM, DataCentre: d.settings.DataCentre, Incarnation: d.incarnation,
		Revision: uint64(d.config.Config().Revision), Loads: d.fleet.loads(now, true),
	}
	select {
	case <-d.stopping:
		s.Stopping = true
	default:
	}
	return s
}

// Run serves until the context ends, then hands over the lease and stops.
func (d *Daemon) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	start, done := context.WithTimeout(ctx, startFromPeers)
	startFromPeer(start, d.peers.clients, d.config, d.log)
	done()
	server, err := d.listen(d.settings.Listen, d.peerHandler())
	if err != nil {
		return err
	}
	admin, err := d.listen(d.settings.Admin, d.admin)
	if err != nil {
		return err
	}
	keysDone := d.start(work)
	d.log.WithField(daemon.FieldAddress, d.settings.Listen).Info("serving peers")
	<-ctx.Done()
	d.log.Info("stopping")
	close(d.stopping)
	d.releaseLease()
	stop, stopped := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer stopped()
	_ = admin.Shutdown(stop)
	_ = server.Shutdown(stop)
	cancel()
	select {
	case <-keysDone:
	case <-stop.Done():
	}
	d.log.Info("stopped")
	return nil
}

// start runs the goroutines of the daemon. The returned channel is closed when
// all queued key records were appended.
func (d *Daemon) start(ctx context.Context) <-chan struct{} {
	go platform.Follow(ctx, d.platform, platform.StreamConfig, d.config)
	go platform.Follow(ctx, d.platform, d.lease.stream, d.lease)
	go platform.Follow(ctx, d.platform, d.keys.stream, d.keys)
	go d.lease.run(ctx)
	go d.reports.run(ctx)
	go d.orders.run(ctx)
	go d.peers.run(ctx)
	go d.every(ctx, vmListEvery, d.readVMs)
	go d.every(ctx, snapshotCheck, d.appendSnapshot)
	keysDone := make(chan struct{})
	go func() {
		defer close(keysDone)
		d.keys.run(ctx)
	}()
	return keysDone
}

func (d *Daemon) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *Daemon) readVMs(ctx context.Context) {
	vms, err := d.platform.VMs(ctx)
	if err != nil {
		d.log.WithError(err).Debug("VM list was not read")
		return
	}
	d.fleet.setVMs(vms)
}

// appendSnapshot appends a snapshot at a third of the log's retention if this
// daemon holds the lease of the first data centre by name, and at half of it
// otherwise.
func (d *Daemon) appendSnapshot(ctx context.Context) {
	every := d.settings.LogRetention / 2
	if _, err := d.gate.Check(time.Now(), true, true); err == nil && d.firstDataCentre() {
		every = d.settings.LogRetention / 3
	}
	if !d.config.SnapshotDue(time.Now(), every) {
		return
	}
	if err := d.config.AppendSnapshot(ctx); err != nil {
		d.log.WithError(err).Warn("snapshot was not appended")
	}
}

func (d *Daemon) firstDataCentre() bool {
	for dc := range d.config.Config().DataCentres() {
		if dc < d.dc {
			return false
		}
	}
	return true
}

func (d *Daemon) releaseLease() {
	done := make(chan struct{})
	select {
	case d.lease.release <- done:
		<-done
	case <-time.After(time.Second):
	}
}

func (d *Daemon) listen(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewViewServiceHandler(viewService{d}))
	mux.Handle(peerv1connect.NewPeerServiceHandler(peerService{d}))
	mux.Handle("/metrics", d.metrics.Handler)
	return mux
}

// Status is the state of the data centre as this daemon sees it.
type Status struct {
	VM         types.VMID
	DataCentre types.DataCentreID
	Revision   types.Revision
	Lease      LeaseStatus
	LeaseHeld  bool
	Undecoded  int
	Daemons    []DaemonStatus
	Targets    []TargetStatus
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	VM         types.VMID
	DataCentre types.DataCentreID
	Revision   types.Revision
	Age        time.Duration
	Kind       string
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	ID     types.TargetID
	Report types.LoadReport
	Known  bool
	Age    time.Duration
	Order  string
}

// Status returns the state of the data centre.
func (d *Daemon) Status(now time.Time) Status {
	c := d.config.Config()
	_, err := d.gate.Check(now, true, true)
	s := Status{
		VM: vmID(d.settings.VM), DataCentre: d.dc, Revision: c.Revision, Lease: *d.lease.status.Load(),
		LeaseHeld: err == nil, Undecoded: d.config.Undecoded(),
	}
	s.Daemons = append(s.Daemons, DaemonStatus{VM: s.VM, DataCentre: s.DataCentre, Revision: s.Revision, Kind: "control"})
	for _, p := range d.fleet.allPeers() {
		s.Daemons = append(s.Daemons, DaemonStatus{p.VM, p.DataCentre, p.Revision, now.Sub(p.LastSeen), "control"})
	}
	for vm, e := range d.entries.all() {
		s.Daemons = append(s.Daemons, DaemonStatus{vmID(vm), d.dc, e.revision, now.Sub(e.at), "entry"})
	}
	for id := range c.Targets {
		r, ok := d.fleet.report(id)
		s.Targets = append(s.Targets, TargetStatus{id, r, ok, now.Sub(r.At), d.orders.status(id)})
	}
	return s
}
