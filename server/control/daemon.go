package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
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
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/types"
)

// ErrStart reports that the daemon could not start.
var ErrStart = merry.New("control daemon could not start")

func vmID(s string) types.VMID { return types.VMID(s) }

const (
	// poolSize bounds the streams of load reports and the orders under way.
	poolSize      = 512
	catchUpEvery  = time.Second
	snapshotCheck = 5 * time.Second
	targetTimeout = 2 * time.Second
	// targetSilence ends a stream of load reports without a report.
	targetSilence  = 3 * time.Second
	startFromPeers = 3 * time.Second
)

// Daemon is the control daemon.
type Daemon struct {
	settings    *Settings
	log         *logrus.Entry
	metrics     *daemon.Metrics
	dc          types.DataCentreID
	incarnation string
	platform    *logclient.Client
	config      *ConfigLog
	gate        *authority.Gate
	lease       *leaseRunner
	keys        *keyLog
	fleet       *fleetState
	entries     *entries
	orders      *orderer
	plan        *rolePlanner
	reports     *reportReader
	peers       *peerWatcher
	pool        *ants.Pool
	stopping    chan struct{}
	admin       http.Handler
	traffic     traffic
	// lastRevision belongs to catchUp.
	lastRevision types.Revision
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
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		gate:        &authority.Gate{}, fleet: newFleetState(vmID(s.VM)), entries: newEntries(), stopping: make(chan struct{}),
	}
	d.platform = logclient.NewClient(s.Platform, d.traffic.platform.Conn)
	d.config = NewConfigLog(d.platform, log)
	d.lease = newLeaseRunner(d.platform, log, d.dc, s.lease(d.incarnation), d.gate)
	counters, err := newKeyCounters(m)
	if err != nil {
		return nil, err
	}
	d.keys = newKeyLog(d.platform, log, s, d.keyDeps(), counters)
	targets := engine.NewClient(engine.Settings{
		DialTimeout: targetTimeout, ProgressTimeout: targetSilence, MaxIdle: 5 * time.Second, MaxAge: time.Minute, MaxConns: 8,
		Wrap: d.traffic.targets.Conn,
	})
	d.reports = &reportReader{
		self: vmID(s.VM), dc: d.dc, log: log, config: d.config.Config, fleet: d.fleet, client: targets, pool: pool, every: s.ReportInterval,
		watched: map[types.TargetID]string{},
	}
	d.orders = &orderer{
		dc: d.dc, log: log, config: d.config.Config, leaving: d.fleet.addressLeaving, gate: d.gate,
		gone: d.fleet.vmGone, reported: d.fleet.report, client: targets, pool: pool, every: s.OrderInterval,
	}
	d.orders.start(s.MaxLoadOrders)
	d.plan = newRolePlanner(d)
	d.orders.roleOf = d.plan.roleOf
	d.peers = &peerWatcher{
		vm: s.VM, dc: d.dc, log: log, fleet: d.fleet, config: d.config.Config, clients: newPeerClients(s.Peers, s.Listen, &d.traffic.peers),
	}
	return d, d.registerMetrics()
}

func (d *Daemon) registerMetrics() error {
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
		{"lentilpick_undecoded_records", "Configuration records that did not decode.", func() int64 { return int64(d.config.UndecodedRecords()) }},
	}
	for _, g := range gauges {
		if err := d.metrics.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return d.metrics.Traffic("lentilpick_control_bytes", "Bytes of control traffic, without TCP and IP headers.", d.traffic.groups())
}

// SetAdmin sets the handler of the administration API. It must be called
// before Run.
func (d *Daemon) SetAdmin(h http.Handler) { d.admin = h }

// Metrics returns the daemon's metrics, for the administration API's counters.
func (d *Daemon) Metrics() *daemon.Metrics { return d.metrics }

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

// peerState returns the message to a daemon of the same data centre, or of
// another one. The first message of a stream says who the sender is.
func (d *Daemon) peerState(first, local bool, now time.Time) *peerv1.PeerState {
	c := d.config.Config()
	s := &peerv1.PeerState{Revision: uint64(c.Revision), Leaving: d.fleet.ownLeaving(c)}
	if first {
		s.Vm, s.DataCentre, s.Incarnation = d.settings.VM, d.settings.DataCentre, d.incarnation
	}
	select {
	case <-d.stopping:
		s.Stopping = true
	default:
	}
	if local {
		s.Loads = d.fleet.ownDigest(c, d.dc, now)
		s.Demand = d.entries.totals()
		s.Daemons = daemonStates(d.ownEntries(now))
		return s
	}
	s.Loads = d.fleet.digest(c, d.dc, now)
	s.Daemons = daemonStates(d.localDaemons(now))
	return s
}

func daemonStates(list []DaemonStatus) []*peerv1.DaemonState {
	out := make([]*peerv1.DaemonState, 0, len(list))
	for _, s := range list {
		out = append(out, &peerv1.DaemonState{
			Vm: string(s.VM), Revision: uint64(s.Revision), AgeMs: uint32(s.Age.Milliseconds()), Kind: s.Kind,
		})
	}
	return out
}

// ownEntries returns the entry daemons that report to this daemon.
func (d *Daemon) ownEntries(now time.Time) []DaemonStatus {
	var out []DaemonStatus
	for vm, e := range d.entries.all() {
		out = append(out, DaemonStatus{vmID(vm), d.dc, e.revision, now.Sub(e.at), "entry"})
	}
	return out
}

// localDaemons returns the daemons of this data centre that this daemon hears of.
func (d *Daemon) localDaemons(now time.Time) []DaemonStatus {
	out := []DaemonStatus{{VM: vmID(d.settings.VM), DataCentre: d.dc, Revision: d.config.Config().Revision, Kind: "control"}}
	for _, s := range d.fleet.daemons(now) {
		if s.DataCentre == d.dc {
			out = append(out, s)
		}
	}
	return append(out, d.ownEntries(now)...)
}

// Run serves until the context ends, then hands over the lease and stops.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(d.settings.MemoryLimitMB * 1_000_000)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	start, done := context.WithTimeout(ctx, startFromPeers)
	startFromPeer(start, d.peers.clients, d.config, d.log)
	done()
	server, err := d.listen(d.settings.Listen, d.peerHandler(), d.traffic.accepted)
	if err != nil {
		return err
	}
	admin, err := d.listen(d.settings.Admin, d.admin, func(net.Conn) *daemon.Traffic { return &d.traffic.admin })
	if err != nil {
		return err
	}
	keysDone := d.start(work)
	d.log.WithField(daemon.FieldAddress, d.settings.Listen).Info("serving peers")
	<-ctx.Done()
	d.log.Info("stopping")
	close(d.stopping)
	d.releaseLease(d.orders.Finish())
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
	go logclient.Follow(ctx, d.platform, logclient.StreamConfig, d.config)
	go logclient.Follow(ctx, d.platform, d.lease.stream, d.lease)
	go logclient.Follow(ctx, d.platform, d.keys.stream, d.keys)
	go d.lease.run(ctx)
	go d.reports.run(ctx)
	go d.orders.run(ctx)
	go d.plan.run(ctx)
	d.peers.run(ctx)
	go d.every(ctx, d.settings.VMListInterval, d.readVMs)
	go d.every(ctx, catchUpEvery, d.catchUp)
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

// readVMs reads the platform's list on one daemon of the data centre, and on the
// lease holder, which needs it to tell whether an earlier holder's VM is gone.
// The others learn of leaving targets from their peers.
func (d *Daemon) readVMs(ctx context.Context) {
	now := time.Now()
	_, err := d.gate.Check(now, true, true)
	if err != nil && membership.Best(d.fleet.live(d.dc, now), "vm list") != vmID(d.settings.VM) {
		return
	}
	vms, err := d.platform.VMs(ctx, d.dc)
	if err != nil {
		d.log.WithError(err).Debug("VM list was not read")
		return
	}
	d.fleet.setVMs(vms)
}

// appendSnapshot appends a snapshot at a third of the log's retention if this
// daemon holds the lease of the first data centre by name. Otherwise it does so
// from half of it on, each daemon at its own time, so that the first snapshot
// spares the others theirs.
func (d *Daemon) appendSnapshot(ctx context.Context) {
	every := d.settings.LogRetention/2 + membership.SpreadDelay(vmID(d.settings.VM), d.settings.LogRetention/6)
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

// releaseLease gives up the lease; without settled orders it lets it expire.
func (d *Daemon) releaseLease(settled bool) {
	r := leaseRelease{settled: settled, done: make(chan struct{})}
	select {
	case d.lease.release <- r:
		<-r.done
	case <-time.After(time.Second):
	}
}

func (d *Daemon) listen(address string, h http.Handler, of func(net.Conn) *daemon.Traffic) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	go func() { _ = s.Serve(daemon.Listener(l, of)) }()
	return s, nil
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewViewServiceHandler(viewService{d}))
	mux.Handle(peerv1connect.NewPeerServiceHandler(peerService{d}))
	mux.Handle("/metrics", d.metrics.Handler)
	return mux
}
