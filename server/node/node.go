package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/transport"
)

// ErrStart reports that the node could not start.
var ErrStart = merry.New("node could not start")

const (
	// memoryShare is the share of the platform's memory limit at which the
	// runtime collects garbage as hard as it can.
	memoryShare = 0.8
	// heldPart is the part of the platform's memory limit that answers may take which
	// wait for their end: an eighth leaves room for the rest under a server that
	// sends without end.
	heldPart = 8
	// minPause and maxPause bound the pause after a failed read of the store.
	minPause = 100 * time.Millisecond
	maxPause = 700 * time.Millisecond
	// memberInterval is the time between two reads of the list of nodes.
	memberInterval = 3 * time.Second
	// leaveTime is how long a node that stops takes new connections: the
	// platform needs two missed readiness checks a second apart, and some more.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is kept between the end of the node and the platform's SIGKILL.
	stopMargin = 500 * time.Millisecond
	// budgetShare is the part of the retry budget of all nodes that is used, so
	// that requests in flight do not exceed it.
	budgetShare = 0.8
	// setupTime, stepTime and streamTime describe the users' engines, as far as
	// predictions need them: the time of a prompt besides its tokens, of a batch
	// iteration, and of one more stream in it.
	setupTime  = 8 * time.Millisecond
	stepTime   = 6 * time.Millisecond
	streamTime = 40 * time.Microsecond
	// movedToken is the cost of moving one token of KV cache. The users' price of a
	// moved prompt of 17,000 tokens is about that of a first token 30 ms later.
	movedToken = 2 * time.Microsecond
	// copiedToken is the cost of holding a shared token on one more engine. With
	// less, copies of the users' shared parts crowd each other out of the KV cache.
	copiedToken = 30 * time.Microsecond
	// connectionCost is the cost of a new connection: the users' price of one is
	// about that of a first token 20 ms later.
	connectionCost = 20 * time.Millisecond
	// failureCost is the cost of a target that fails every request.
	failureCost = 400 * time.Millisecond
)

// Node is the process on one VM.
type Node struct {
	settings  *Settings
	machine   *platform.Settings
	log       *logrus.Entry
	metrics   *daemon.Metrics
	store     *platform.Store
	directory *directory.Directory
	share     *loadshare.Exchanger
	gateway   *gateway.Gateway
	front     *platform.Front
	targets   *platform.Targets
	members   *members
	peers     atomic.Pointer[[]Member]
	// mirrors holds what was read of each feed, for nodes that start while the
	// store is away.
	mirrors [len(wireFeeds)]mirror.Feed

	configured, listed, stopping atomic.Bool
}

// New returns a node that is not yet serving.
func New(s *Settings, m *platform.Settings, log *logrus.Entry) (*Node, error) {
	if err := checkBounds(s, m); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(m.MemoryBytes)))
	debug.SetGCPercent(s.GCPercent)
	n := &Node{
		settings: s, machine: m, log: log, store: platform.NewStore(m.Store),
		directory: directory.New(), targets: platform.NewTargets(),
	}
	var err error
	if n.metrics, err = daemon.NewMetrics("lentilpick-node"); err != nil {
		return nil, err
	}
	c, err := newCounters(n.metrics)
	if err != nil {
		return nil, err
	}
	conn, err := loadshare.Listen(n.internal(m.InternalPort))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	n.share = loadshare.New(string(m.VM), conn, n.directory, clock.Now)
	o := newObserver(log, c, s.SampleOne, s.LogRate)
	n.gateway = gateway.New(n.gatewaySettings(), n.directory, n.targets, n.share, o)
	n.front, err = platform.NewFront(n.gateway, log, n.badInput(c))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	n.members = &members{outage: outage{log: log.WithField(fieldSource, "members")}, self: m.VM, changed: n.setPeers}
	n.peers.Store(&[]Member{})
	n.setRetryLimits(minSaved)
	return n, n.registerGauges(o)
}

// callMargin is kept for the call itself when a bound on news of the store is
// checked: several times the store's usual time.
const callMargin = 100 * time.Millisecond

// checkBounds refuses settings with which the news of the store comes later than
// the platform allows.
func checkBounds(s *Settings, m *platform.Settings) error {
	late := max(2*s.RegistrationInterval+tellTime, latestRead(s.RegistrationInterval, 0)+callMargin)
	if late > m.DrainTime {
		return fmt.Errorf("%w: registration_interval = %s: news of leaving targets takes up to %s, and the platform allows %s",
			ErrStart, s.RegistrationInterval, late, m.DrainTime)
	}
	if late := latestRead(0, s.ConfigurationWait) + callMargin; late > m.ConfigTime {
		return fmt.Errorf("%w: configuration_wait = %s: news of a configuration takes up to %s, and the platform allows %s",
			ErrStart, s.ConfigurationWait, late, m.ConfigTime)
	}
	return nil
}

func (n *Node) internal(port int) string {
	return net.JoinHostPort(n.machine.IP.String(), strconv.Itoa(port))
}

func (n *Node) gatewaySettings() gateway.Settings {
	return gateway.Settings{
		Costs: placement.Costs{
			Local: n.machine.DataCentre, RemoteCostPerByte: n.settings.RemoteByte,
			Failure: failureCost, Connection: connectionCost,
		},
		Speed: placement.EngineSpeed{
			PrefillTokensPerMs: float64(n.settings.PrefillTokensPerMs), PairsPerToken: float64(n.settings.PairsPerToken), PrefillSetup: setupTime, IterationTime: stepTime, IterationTimePerStream: streamTime,
		},
		TransferCostPerToken: movedToken, FetchCostPerToken: copiedToken, MaxBufferedBytes: n.machine.MemoryBytes / heldPart, Now: time.Now,
	}
}

// badInput counts input that is not a request and logs it at a low level.
func (n *Node) badInput(c *counters) platform.BadInput {
	return func(remote net.Addr, status int, err error) {
		if status == 0 {
			return
		}
		c.badInput.Add(context.Background(), 1)
		n.log.WithError(err).WithFields(logrus.Fields{daemon.FieldAddress: remote.String(), fieldStatus: status}).Debug("bad input")
	}
}

func (n *Node) registerGauges(o *observer) error {
	return errors.Join(
		n.metrics.Gauge("lentilpick_in_flight", "Requests in progress.", func() int64 { return int64(n.front.InFlight()) }),
		n.metrics.Gauge("lentilpick_held_bytes", "Bytes of answers that wait in memory for their end.", n.gateway.BufferedBytes),
		n.metrics.Gauge("lentilpick_peers", "Other nodes that were heard lately.", func() int64 { return int64(n.share.LivePeers()) }),
		n.metrics.Gauge("lentilpick_targets", "Known targets.", func() int64 { return int64(n.directory.Load().Len()) }),
		n.metrics.Gauge("lentilpick_bad_messages", "Messages of other nodes that did not decode.", n.share.Malformed),
		n.metrics.Gauge("lentilpick_news_told", "Changes of feeds that were told to other nodes.", n.share.UpdatesPublished),
		n.metrics.Gauge("lentilpick_news_missed", "Changes of feeds that were told and had to be read from the store.", n.share.UpdatesMissed),
		n.metrics.Gauge("lentilpick_claims_refused", "Reads of feeds that other nodes have told and that did not help this node, because it did not know what they rest on.", n.share.ClaimsRefused),
		n.metrics.Gauge("lentilpick_log_dropped", "Log lines that were dropped.", o.dropped.Load),
		n.metrics.Gauge("lentilpick_configuration", "Version of the configuration in force.", func() int64 {
			if t := n.gateway.Table(); t != nil {
				return int64(t.Version)
			}
			return 0
		}),
	)
}

// setPeers takes a new list of the other nodes.
func (n *Node) setPeers(all []Member) {
	n.peers.Store(&all)
	var peers []loadshare.Peer
	for _, m := range all {
		// Load is not exchanged between regions, so that the messages of a node do not
		// grow with their number.
		if n.machine.Regions[m.DataCentre] == n.machine.Regions[n.machine.DataCentre] {
			peers = append(peers, loadshare.Peer{Name: m.VM, DataCentre: m.DataCentre, Address: m.Address})
		}
	}
	n.share.SetPeers(peers, n.machine.DataCentre)
	n.setRetryLimits(budgetShare * n.machine.RetryExtra / float64(len(all)+1))
}

// setRetryLimits sets this node's part of the retries beyond the ratio.
func (n *Node) setRetryLimits(saved float64) {
	n.gateway.SetRetryLimits(admission.RetryLimits{Ratio: budgetShare * n.machine.RetryRatio, MaxSaved: max(saved, minSaved)})
}

// minSaved is the least number of retries that a node may save up. It holds
// while the number of nodes is not known.
const minSaved = 1

// place returns the node's place in line for orders: its position among the
// nodes by name.
func (n *Node) place() int {
	return n.before(func(Member) bool { return true })
}

// placeAtHome returns the node's place in line for reads of the store, among the
// nodes of its data centre.
func (n *Node) placeAtHome() int {
	return n.before(func(m Member) bool { return m.DataCentre == n.machine.DataCentre })
}

func (n *Node) before(counts func(Member) bool) int {
	i := 0
	for _, m := range *n.peers.Load() {
		if m.VM < n.machine.VM && counts(m) {
			i++
		}
	}
	return i
}

// Run serves until the context ends, then stops gracefully. A value from hup
// asks for the platform's settings to be read again.
func (n *Node) Run(ctx context.Context, hup <-chan os.Signal) error {
	config := net.ListenConfig{Control: transport.UserTimeoutControl(userTimeout)}
	callers, err := config.Listen(ctx, "tcp4", n.machine.Callers)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	ready, err := net.Listen("tcp4", n.machine.Ready)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	metrics, err := net.Listen("tcp4", n.internal(n.machine.MetricsPort))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 4)
	if n.machine.Control != "" {
		peers, err := net.Listen("tcp4", n.machine.Control)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStart, err)
		}
		server := n.servePeers()
		defer server.Close()
		go func() { failed <- server.Serve(peers) }()
	}
	readiness := &fasthttp.Server{Handler: n.handleReady, Name: "lentilpick"}
	go func() { failed <- readiness.Serve(ready) }()
	go func() { failed <- http.Serve(metrics, n.metrics.Handler) }()
	go func() { failed <- n.front.Serve(callers) }()
	n.start(background)
	n.log.WithField(daemon.FieldAddress, n.machine.Callers).Info("started")
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("%w: %w", ErrStart, err)
		case <-hup:
			n.reload()
		case <-ctx.Done():
			n.stop(callers)
			return errors.Join(ready.Close(), metrics.Close())
		}
	}
}

// userTimeout bounds the time that data for callers may stay unacknowledged.
const userTimeout = 5 * time.Second

// start begins to follow the store and the other nodes.
func (n *Node) start(ctx context.Context) {
	source := func(name string) outage { return outage{log: n.log.WithField(fieldSource, name)} }
	go n.share.Run(ctx)
	go n.watch(ctx)
	go follow(ctx, n.followed(feedConfig, 0, n.settings.ConfigurationWait), n.store.Configurations(), &configFeed{
		outage: source("configuration"), gateway: n.gateway, loaded: func() { n.configured.Store(true) },
		knowledge: func() loadshare.ReadState { return n.share.ReadState(feedConfig, clock.Now()) },
	}, minPause, maxPause)
	go follow(ctx, n.followed(feedRegistrations, n.settings.RegistrationInterval, 0), n.store.Registrations(), &registrationFeed{
		outage: source("registrations"), directory: n.directory, loaded: func() { n.listed.Store(true) },
	}, minPause, maxPause)
	go join(ctx, n.store, n.self(), n.log)
	go follow(ctx, n.followed(feedMembers, memberInterval, 0), platform.Keyed(n.store, membersTopic, DecodeMember), n.members,
		joinPause, memberInterval)
	if n.settings.PrefillShare > 0 {
		holder := authority.Holder{VM: n.machine.VM, Incarnation: strconv.FormatUint(rand.Uint64(), 36)}
		k := &roleKeeper{
			log: n.log, gateway: n.gateway, directory: n.directory, targets: n.targets, self: n.machine.VM,
			lease: newLeaseClaimer(n.store, holder, n.machine.LeaseTime, n.machine.ChecksFencing),
			share: float64(n.settings.PrefillShare) / 1000, place: n.place, away: n.share.NotifyLoadChange,
		}
		go k.run(ctx)
	}
}

func (n *Node) self() Member {
	return Member{
		VM: n.machine.VM, DataCentre: n.machine.DataCentre,
		Address: netip.AddrPortFrom(n.machine.IP, uint16(n.machine.InternalPort)),
	}
}

// ready reports whether the node can serve requests.
func (n *Node) ready() bool {
	return n.configured.Load() && n.listed.Load() && !n.stopping.Load()
}

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if !n.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// reload reads the platform's settings again. What a running process cannot
// change is logged and kept.
func (n *Node) reload() {
	m, err := platform.LoadSettings()
	if err != nil {
		n.log.WithError(err).Error("settings were not reloaded")
		return
	}
	n.log.WithField("store", m.Store).Info("settings reloaded")
}

// stop ends the node: first it gets no new connections, then the connections
// without a request are closed, and the others after their answers.
func (n *Node) stop(callers net.Listener) {
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.front.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), n.machine.StopTime-stopMargin)
	defer cancel()
	var left sync.WaitGroup
	left.Go(func() { leave(n.store, n.self()) })
	daemon.Sleep(ctx, leaveTime)
	_ = callers.Close()
	n.front.Stop(ctx)
	left.Wait()
	n.log.Info("stopped")
}
