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

// ErrStart reports that the daemon failed to start.
var ErrStart = merry.New("control daemon failed to start")

func vmID(s string) types.VMID { return types.VMID(s) }

const (
	// poolSize bounds the open load report streams, state reads and orders in progress.
	poolSize              = 512
	catchUpInterval       = time.Second
	snapshotCheckInterval = 5 * time.Second
	targetDialTimeout     = 2 * time.Second
	// reportStreamTimeout is the time without data after which a connection to a
	// target, in particular a load report stream, counts as stalled.
	reportStreamTimeout = 3 * time.Second
	// startupLoadTimeout bounds loading the configuration from peers before serving.
	startupLoadTimeout = 3 * time.Second
)

// Daemon is the control daemon.
type Daemon struct {
	settings     *Settings
	log          *logrus.Entry
	metrics      *daemon.Metrics
	dc           types.DataCentreID
	incarnation  string
	platform     *logclient.Client
	config       *ConfigLog
	gate         *authority.Gate
	lease        *leaseRunner
	keys         *keyLog
	fleet        *fleetState
	entryDaemons *entryDaemons
	orders       *orderReconciler
	plan         *rolePlanner
	reports      *reportReader
	peers        *peerWatcher
	pool         *ants.Pool
	stopping     chan struct{}
	// calls is the parent of the contexts of all calls that the daemon serves. It is cancelled when a
	// stop ends the calls in progress.
	calls    context.Context
	endCalls context.CancelFunc
	admin    http.Handler
	traffic  traffic
	// lastRevision is the revision at the last call of catchUp, which alone uses it.
	lastRevision types.Revision
}

// New returns a daemon that is not serving yet. SetAdmin must be called before Run.
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
		gate:        &authority.Gate{}, fleet: newFleetState(vmID(s.VM)), entryDaemons: newEntryDaemons(), stopping: make(chan struct{}),
	}
	d.calls, d.endCalls = context.WithCancel(context.Background())
	d.platform = logclient.NewClient(s.Platform, d.traffic.platform.Conn)
	d.config = NewConfigLog(d.platform, log)
	d.lease = newLeaseRunner(d.platform, log, d.dc, s.leaseSettings(d.incarnation), d.gate)
	counters, err := newKeyCounters(m)
	if err != nil {
		return nil, err
	}
	d.keys = newKeyLog(d.platform, log, s, d.keyDeps(), counters)
	targets := engine.NewClient(engine.Settings{
		DialTimeout: targetDialTimeout, ProgressTimeout: reportStreamTimeout, MaxIdle: 5 * time.Second, MaxAge: time.Minute, MaxConns: 8,
		Wrap: d.traffic.targets.Conn,
	})
	d.reports = &reportReader{
		self: vmID(s.VM), dc: d.dc, log: log, config: d.config.Config, fleet: d.fleet, client: targets, pool: pool, interval: s.ReportInterval,
		watched: map[types.TargetID]string{},
	}
	d.orders = &orderReconciler{
		dc: d.dc, log: log, config: d.config.Config, addressLeaving: d.fleet.addressLeaving, gate: d.gate,
		vmRemoved: d.fleet.vmRemoved, loadReport: d.fleet.report, client: targets, pool: pool, interval: s.OrderInterval,
	}
	d.orders.prepare(s.MaxLoadOrders)
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

// clientsIn returns the clients of the peers in a data centre.
func (d *Daemon) clientsIn(dc types.DataCentreID) []peerClient {
	var out []peerClient
	for _, c := range d.peers.clients {
		if c.DataCentre == string(dc) {
			out = append(out, c)
		}
	}
	return out
}

// peerState returns the message for a daemon in the same data centre (local) or in
// another one. The first message of a stream identifies the sender.
func (d *Daemon) peerState(first, local bool, now time.Time) *peerv1.PeerState {
	c := d.config.Config()
	s := &peerv1.PeerState{Revision: uint64(c.Revision), Leaving: d.fleet.localLeaving(c)}
	if first {
		s.Vm, s.DataCentre, s.Incarnation = d.settings.VM, d.settings.DataCentre, d.incarnation
	}
	select {
	case <-d.stopping:
		s.Stopping = true
	default:
	}
	if local {
		s.Loads = d.fleet.directDigest(c, d.dc, now)
		s.Demand = d.entryDaemons.totals()
		s.Daemons = daemonStates(d.entryStatuses(now))
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

// entryStatuses returns the states of the entry daemons that report to this daemon.
func (d *Daemon) entryStatuses(now time.Time) []DaemonStatus {
	var out []DaemonStatus
	for vm, e := range d.entryDaemons.all() {
		out = append(out, DaemonStatus{vmID(vm), d.dc, e.revision, now.Sub(e.at), "entry"})
	}
	return out
}

// localDaemons returns the states of the daemons in this data centre, as far as they
// have been reported to this daemon.
func (d *Daemon) localDaemons(now time.Time) []DaemonStatus {
	out := []DaemonStatus{{VM: vmID(d.settings.VM), DataCentre: d.dc, Revision: d.config.Config().Revision, Kind: "control"}}
	for _, s := range d.fleet.daemons(now) {
		if s.DataCentre == d.dc {
			out = append(out, s)
		}
	}
	return append(out, d.entryStatuses(now)...)
}

// Run serves until the context ends, then stops within StopTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(d.settings.MemoryLimitMB * 1_000_000)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	start, done := context.WithTimeout(ctx, startupLoadTimeout)
	loadFromPeers(start, d.peers.clients, d.config, d.log)
	done()
	server, err := d.listen(d.settings.Listen, d.peerHandler(), d.traffic.acceptedGroup)
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
	d.stop(admin, server, cancel, keysDone)
	return nil
}

// maxStopReserve bounds the part of the stop timeout that is left when the calls in
// progress end. Half of it is for their responses, half for the key records that are
// queued, which take one append.
const maxStopReserve = 4 * time.Second

// stop waits for orders in progress, releases the lease, waits for calls in progress
// and for queued key records. Calls that are in progress shortly before StopTimeout end
// with an error, so that their clients know that the result is open.
func (d *Daemon) stop(admin, server *http.Server, stopWork context.CancelFunc, keysDone <-chan struct{}) {
	d.log.Info("stopping")
	began, timeout := time.Now(), d.settings.StopTimeout
	reserve := min(maxStopReserve, 2*timeout/5)
	close(d.stopping)
	defer time.AfterFunc(timeout-reserve, d.endCalls).Stop()
	d.releaseLease(d.finishOrders(timeout - reserve))
	responses, cancel := context.WithDeadline(context.Background(), began.Add(timeout-reserve/2))
	defer cancel()
	for _, s := range []*http.Server{admin, server} {
		if err := s.Shutdown(responses); err != nil {
			d.log.WithError(err).WithField(daemon.FieldAddress, s.Addr).Warn("closing connections in use")
			_ = s.Close()
		}
	}
	stopWork()
	select {
	case <-keysDone:
		d.log.Info("stopped")
	case <-time.After(time.Until(began.Add(timeout))):
		d.log.Warn("stopped before all queued key records were in the log")
	}
}

// finishOrders waits for orders in progress, at most for the given time, and reports
// whether the results of all orders are known.
func (d *Daemon) finishOrders(wait time.Duration) bool {
	resultsKnown := make(chan bool, 1)
	go func() { resultsKnown <- d.orders.Finish() }()
	select {
	case v := <-resultsKnown:
		return v
	case <-time.After(wait):
		d.log.Warn("an order has no result yet; the lease expires instead of being released")
		return false
	}
}

// start starts the goroutines of the daemon. The returned channel is closed once the
// key log has stopped and has appended its queued records.
func (d *Daemon) start(ctx context.Context) <-chan struct{} {
	go logclient.Follow(ctx, d.platform, logclient.StreamConfig, d.config)
	go logclient.Follow(ctx, d.platform, d.lease.stream, d.lease)
	go logclient.Follow(ctx, d.platform, d.keys.stream, d.keys)
	go d.lease.run(ctx)
	go d.reports.run(ctx)
	go d.orders.run(ctx)
	go d.plan.run(ctx)
	d.peers.run(ctx)
	go d.runEvery(ctx, d.settings.VMListInterval, d.readVMs)
	go d.runEvery(ctx, catchUpInterval, d.catchUp)
	go d.runEvery(ctx, snapshotCheckInterval, d.appendSnapshot)
	keysDone := make(chan struct{})
	go func() {
		defer close(keysDone)
		d.keys.run(ctx)
	}()
	return keysDone
}

func (d *Daemon) runEvery(ctx context.Context, period time.Duration, f func(context.Context)) {
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

// readVMs reads the platform's VM list on one daemon of the data centre and on the
// lease holder, which uses it to determine whether an earlier holder's VM was removed.
// The other daemons receive the leaving targets from their peers.
func (d *Daemon) readVMs(ctx context.Context) {
	now := time.Now()
	_, err := d.gate.Check(now, true, true)
	if err != nil && membership.Best(d.fleet.livePeers(d.dc, now), "vm list") != vmID(d.settings.VM) {
		return
	}
	vms, err := d.platform.VMs(ctx, d.dc)
	if err != nil {
		d.log.WithError(err).Debug("reading the platform's VM list failed")
		return
	}
	d.fleet.setVMs(vms)
}

// appendSnapshot appends a snapshot when the latest one is older than a third of the
// log's retention, if this daemon holds the lease of the first data centre by name.
// Other daemons take over once it is older than half of the retention plus an offset
// that differs between daemons, so that as a rule only one of them appends.
func (d *Daemon) appendSnapshot(ctx context.Context) {
	maxAge := d.settings.LogRetention/2 + membership.SpreadDelay(vmID(d.settings.VM), d.settings.LogRetention/6)
	if _, err := d.gate.Check(time.Now(), true, true); err == nil && d.isFirstDataCentre() {
		maxAge = d.settings.LogRetention / 3
	}
	if !d.config.SnapshotDue(time.Now(), maxAge) {
		return
	}
	if err := d.config.AppendSnapshot(ctx); err != nil {
		d.log.WithError(err).Warn("appending a configuration snapshot failed")
	}
}

func (d *Daemon) isFirstDataCentre() bool {
	for dc := range d.config.Config().DataCentres() {
		if dc < d.dc {
			return false
		}
	}
	return true
}

// releaseLease stops holding the lease. Unless resultsKnown, which reports that the
// results of all orders are known, the lease is left to expire.
func (d *Daemon) releaseLease(resultsKnown bool) {
	r := leaseRelease{resultsKnown: resultsKnown, done: make(chan struct{})}
	select {
	case d.lease.releases <- r:
		<-r.done
	case <-time.After(time.Second):
	}
}

func (d *Daemon) listen(address string, h http.Handler, of func(net.Conn) *daemon.Traffic) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	s := &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10,
		BaseContext: func(net.Listener) context.Context { return d.calls },
	}
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
