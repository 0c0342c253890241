package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/mirror"
	"github.com/lentilpick/lentilpick/peerauth"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/shutdown"
	"github.com/lentilpick/lentilpick/transport"
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/versions"
)

// ErrStart reports that the node failed to start.
var ErrStart = merry.New("node failed to start")

const (
	// memoryLimitShare is the fraction of the platform's memory limit that is set as the soft
	// memory limit of the Go runtime, at which it collects garbage as hard as it can.
	memoryLimitShare = 0.8
	// bufferDivisor limits buffered responses to the platform's memory limit divided by it. An
	// eighth leaves enough memory for the rest of the process if a server never ends its
	// response.
	bufferDivisor = 8
	// minReadBackoff and maxReadBackoff bound the delay after a failed read of the store.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = 700 * time.Millisecond
	// memberReadInterval is the time between two reads of the member list, and the maximum delay
	// after a failed one.
	memberReadInterval = 3 * time.Second
	// retryBudgetShare is the fraction of the platform's retry budget that is used, so that
	// requests in flight do not exceed the budget.
	retryBudgetShare = 0.8
	// prefillSetupTime, iterationTime and iterationTimePerStream are the latency model of the
	// deployed engines: the fixed time of a prefill besides its tokens, the base time of a batch
	// iteration, and the time that each stream adds to an iteration.
	prefillSetupTime       = 8 * time.Millisecond
	iterationTime          = 6 * time.Millisecond
	iterationTimePerStream = 40 * time.Microsecond
	// transferCostPerToken is the cost of transferring one token of KV cache. The deployment's
	// cost model values the transfer of a 17,000-token prompt like a delay of the first token by
	// about 30 ms.
	transferCostPerToken = 2 * time.Microsecond
	// fetchCostPerToken is the cost of caching a shared token on one more engine. With a lower
	// cost, copies of shared prefixes evict each other from the KV cache.
	fetchCostPerToken = 30 * time.Microsecond
	// connectionCost is the cost of a new connection. The deployment's cost model values it like
	// a delay of the first token by about 20 ms.
	connectionCost = 20 * time.Millisecond
	// failureCost is the cost of a target that fails every request.
	failureCost = 400 * time.Millisecond
)

// Node accepts callers' requests on one VM and routes them to targets.
type Node struct {
	settings  *Settings
	machine   *platform.Settings
	log       *logrus.Entry
	metrics   *daemon.Metrics
	counters  *counters
	store     *platform.Store
	directory *directory.Directory
	demand    demand.Table
	exchanger *loadshare.Exchanger
	gateway   *gateway.Gateway
	front     *platform.Front
	targets   *platform.Targets
	link      *targetLink
	crashes   *crashDetector
	members   *memberHandler
	forwarder *forwarder
	// identity authenticates this process to the other nodes, and authenticator them to this one.
	identity      *peerauth.Identity
	authenticator *peerauth.Peers
	peerKeys      map[types.VMID]peerKey   // used by setPeers only
	peers         atomic.Pointer[[]Member] // nil until the member list is loaded
	// mirrors holds the newest records of each feed, for nodes that start during an outage of
	// the store.
	mirrors [len(wireFeeds)]mirror.Feed

	// versions holds the software versions at which streams begin.
	versions *versions.Table
	// streamAge is the longest time-out of a route whose streams may be resumed, of all configurations
	// so far. It is used by recordConfigurationInForce, in the goroutine that follows them.
	streamAge time.Duration

	configLoaded, registrationsLoaded, versionsLoaded atomic.Bool
	// shutdown is the state of the planned stop, and stopped what became of the requests that
	// ended during it.
	shutdown shutdown.State
	stopped  stopTally
}

// New returns a node that does not serve requests until Run is called. The error wraps ErrStart
// if the settings do not meet the platform's bounds or a socket cannot be opened.
func New(s *Settings, m *platform.Settings, log *logrus.Entry) (*Node, error) {
	if err := checkBounds(s, m); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(m.MemoryBytes)))
	debug.SetGCPercent(s.GCPercent)
	n := &Node{
		settings: s, machine: m, log: log, store: platform.NewStore(m.StoreAddress),
		directory: directory.New(), versions: newVersionTable(m.MaxDrainDelay, clock.Now),
	}
	var err error
	if n.metrics, err = daemon.NewMetrics("lentilpick-node"); err != nil {
		return nil, err
	}
	c, err := newCounters(n.metrics)
	if err != nil {
		return nil, err
	}
	n.counters = c
	conn, err := loadshare.Listen(n.internalAddress(m.InternalPort))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	n.exchanger = loadshare.New(string(m.VM), conn, n.directory, &n.demand, clock.Now)
	n.exchanger.SetDatagramRate(s.LoadDatagrams)
	n.store.ObserveEra(n.exchanger.ObserveEra)
	n.exchanger.HandleEras(func(era types.Era, source types.VMID) {
		log.WithFields(logrus.Fields{fieldEra: era, fieldSender: source, "returned": n.exchanger.StoreReturned()}).Info("era of the store")
	})
	if n.crashes, err = newCrashDetector(log, c, n.exchanger.NotifyCrashEvidence); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	n.exchanger.ExchangeCrashes(n.crashes.guard)
	o := newObserver(log, c, s.SampleEvery, s.LogRate)
	o.shutdown, o.stopped = &n.shutdown, &n.stopped
	var options []platform.TargetsOption
	if s.BindTargets {
		options = append(options, platform.FromAddress(m.IP))
	}
	n.targets = platform.NewTargets(newTargetSignals(log, c, n.directory, n.exchanger.NotifyLeaving, n.exchanger.NotifyLimit), options...)
	n.crashes.reachable = n.targets.Reachable
	if err := n.observeLink(); err != nil {
		return nil, err
	}
	if err := n.joinPeers(); err != nil {
		return nil, err
	}
	n.gateway = gateway.New(n.gatewaySettings(), n.directory, n.targets, n.exchanger, o)
	n.front, err = platform.NewFront(n.gateway, log, n.badInput(c))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	n.members = &memberHandler{outageLogger: outageLogger{log: log.WithField(fieldSource, "members")}, self: m.VM, selfKey: n.identity.PublicKey(), onChange: n.setPeers}
	n.setRetryLimits(minSavedRetries)
	return n, n.registerGauges(o)
}

// storeCallMargin allows for the latency of the read itself when the propagation time of a change
// is checked. It is several times the usual latency of the store.
const storeCallMargin = 100 * time.Millisecond

// checkBounds rejects settings with which changes in the store can reach a node later than the
// platform allows.
func checkBounds(s *Settings, m *platform.Settings) error {
	delay := max(2*s.RegistrationInterval+propagationTime, maxReadGap(s.RegistrationInterval, 0)+storeCallMargin)
	if delay > m.MaxDrainDelay {
		return fmt.Errorf("%w: registration_interval = %s: changed registrations take up to %s to reach a node, and the platform allows %s",
			ErrStart, s.RegistrationInterval, delay, m.MaxDrainDelay)
	}
	if delay := maxReadGap(0, s.ConfigurationWait) + storeCallMargin; delay > m.MaxConfigDelay {
		return fmt.Errorf("%w: configuration_wait = %s: a changed configuration takes up to %s to reach a node, and the platform allows %s",
			ErrStart, s.ConfigurationWait, delay, m.MaxConfigDelay)
	}
	return nil
}

func (n *Node) internalAddress(port int) string {
	return net.JoinHostPort(n.machine.IP.String(), strconv.Itoa(port))
}

func (n *Node) gatewaySettings() gateway.Settings {
	return gateway.Settings{
		Costs: placement.Costs{
			Local: n.machine.DataCentre, RemoteCostPerByte: n.settings.RemoteByteCost,
			Failure: failureCost, Connection: connectionCost,
		},
		Speed: placement.EngineSpeed{
			PrefillTokensPerMs: float64(n.settings.PrefillTokensPerMs), PairsPerToken: float64(n.settings.PairsPerToken), PrefillSetup: prefillSetupTime, IterationTime: iterationTime, IterationTimePerStream: iterationTimePerStream,
		},
		TransferCostPerToken: transferCostPerToken, FetchCostPerToken: fetchCostPerToken, MaxBufferedBytes: n.machine.MemoryBytes / bufferDivisor, Demand: &n.demand, Crashes: n.crashes, Versions: n.versions, Peers: n.forwarder, Shutdown: &n.shutdown, Now: time.Now,
	}
}

// badInput returns a callback that counts input that is not a valid request and logs it at debug
// level. Status 0 is ignored.
func (n *Node) badInput(c *counters) platform.InvalidInputHandler {
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
		n.metrics.Gauge("lentilpick_panics", "Requests and connections that ended with a panic.", func() int64 { return n.front.Panics() + n.gateway.Panics() }),
		n.metrics.Gauge("lentilpick_held_bytes", "Bytes of incomplete responses that are buffered in memory.", n.gateway.BufferedBytes),
		n.metrics.Gauge("lentilpick_peers", "Other nodes from which a message was received recently.", func() int64 { return int64(n.exchanger.LivePeers()) }),
		n.metrics.Gauge("lentilpick_targets", "Targets in the directory.", func() int64 { return int64(n.directory.Load().Len()) }),
		n.metrics.Gauge("lentilpick_bad_messages", "Messages from other nodes that could not be decoded.", n.exchanger.Malformed),
		n.metrics.Gauge("lentilpick_hub_takeovers", "Hubs of the exchange of load that this node has passed over because they were silent.", n.exchanger.HubTakeovers),
		n.metrics.Gauge("lentilpick_relay_dropped", "Messages of other nodes that were not forwarded because too many were pending.", n.exchanger.RelayDropped),
		n.metrics.Gauge("lentilpick_limited_targets", "Targets that have declared a limit of requests.", n.limitedTargets),
		n.metrics.Gauge("lentilpick_mixed_services", "Services with more than one software version that is registered or may be in use.", n.mixedServices),
		n.metrics.Gauge("lentilpick_blocked_parts", "Prompt parts whose requests are refused because they crash engines.", func() int64 { return int64(n.crashes.guard.BlockedParts(clock.Now())) }),
		n.metrics.Gauge("lentilpick_news_told", "Feed updates that were published to other nodes.", n.exchanger.UpdatesPublished),
		n.metrics.Gauge("lentilpick_news_missed", "Feed updates from other nodes that could not be applied, so that the changes were read from the store.", n.exchanger.UpdatesMissed),
		n.metrics.Gauge("lentilpick_claims_refused", "Claims of other nodes that could not be used, because this node had not applied the feed up to their base.", n.exchanger.ClaimsRefused),
		n.metrics.Gauge("lentilpick_store_era", "Newest known era of the store, which rises with each return from an older copy. 0 if it states none.", func() int64 { return int64(n.exchanger.Era()) }),
		n.metrics.Gauge("lentilpick_log_dropped", "Log lines that were dropped.", o.droppedLines.Load),
		n.metrics.Gauge("lentilpick_workspaces", "Workspaces of the configuration in force.", func() int64 {
			if t := n.gateway.Table(); t != nil && t.Workspaces != nil {
				return int64(t.Workspaces.Len())
			}
			return 0
		}),
		n.metrics.Gauge("lentilpick_configuration", "Version of the configuration in force.", func() int64 {
			if t := n.gateway.Table(); t != nil {
				return int64(t.Version)
			}
			return 0
		}),
	)
}

func (n *Node) limitedTargets() (limited int64) {
	n.directory.Load().All(func(t *directory.Target) {
		if t.Load.Limit.Limited() {
			limited++
		}
	})
	return limited
}

func (n *Node) mixedServices() (mixed int64) {
	for _, id := range n.versions.Services() {
		if n.versions.Several(id) {
			mixed++
		}
	}
	return mixed
}

// setPeers replaces the list of the other nodes.
func (n *Node) setPeers(members []Member) {
	n.peers.Store(&members)
	var peers []loadshare.Peer
	for _, m := range members {
		// Load is exchanged only within a region, so that the message volume of a node does not
		// grow with the number of regions.
		if n.machine.Regions[m.DataCentre] == n.machine.Regions[n.machine.DataCentre] {
			peers = append(peers, m.peer())
		}
	}
	n.setPeerKeys(members)
	n.exchanger.SetPeers(n.self().peer(), peers)
	n.setRetryLimits(retryBudgetShare * n.machine.RetryExtra / float64(len(members)+1))
}

// setRetryLimits sets the retry limits. saved is this node's share of the retries that the
// platform allows beyond the ratio.
func (n *Node) setRetryLimits(saved float64) {
	n.gateway.SetRetryLimits(admission.RetryLimits{Ratio: retryBudgetShare * n.machine.RetryRatio, MaxSaved: max(saved, minSavedRetries)})
}

// minSavedRetries is the minimum number of retries that a node may accumulate. It applies until
// the member list is loaded.
const minSavedRetries = 1

// rank returns the position of this node among all nodes, sorted by VM name. It decides in which
// sequence the nodes take over the planning of roles.
func (n *Node) rank() int {
	return n.countBefore(func(m Member) bool { return m.VM < n.machine.VM })
}

// rankInDataCentre returns the position of this node among the nodes of its data centre, those with
// most cores first and then by VM name. It decides in which sequence the nodes take over reading the
// store. The links of the VMs are as different as their cores, and the first node by name may have
// the slowest one.
func (n *Node) rankInDataCentre() int {
	return n.countBefore(func(m Member) bool {
		if m.DataCentre != n.machine.DataCentre {
			return false
		}
		return m.Cores > n.machine.Cores || m.Cores == n.machine.Cores && m.VM < n.machine.VM
	})
}

// countBefore returns the number of members that come before this node. A node that does not know
// the members yet comes last, so that not all nodes of a fleet that starts consider themselves the
// first.
func (n *Node) countBefore(before func(Member) bool) int {
	members := n.peers.Load()
	if members == nil {
		return maxTakeoverSteps
	}
	i := 0
	for _, m := range *members {
		if before(m) {
			i++
		}
	}
	return i
}

// Run serves until the context ends, then stops gracefully. On each value from hup it reads the
// platform's settings again. The error wraps ErrStart if a listener cannot be opened or fails.
func (n *Node) Run(ctx context.Context, hup <-chan os.Signal) error {
	config := net.ListenConfig{Control: transport.UserTimeoutControl(callerUserTimeout)}
	callers, err := config.Listen(ctx, "tcp4", n.machine.CallerAddress)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	ready, err := net.Listen("tcp4", n.machine.ReadyAddress)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	forwarded, err := config.Listen(ctx, "tcp4", n.internalAddress(n.machine.InternalPort))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	metrics, err := net.Listen("tcp4", n.internalAddress(n.machine.MetricsPort))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 5)
	if n.machine.ControlAddress != "" {
		peers, err := net.Listen("tcp4", n.machine.ControlAddress)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStart, err)
		}
		server := n.servePeers()
		defer server.Close()
		go func() { failed <- server.Serve(peers) }()
	}
	readiness := &fasthttp.Server{Handler: n.handleReady, Name: "lentilpick"}
	go func() { failed <- readiness.Serve(ready) }()
	go func() { failed <- http.Serve(metrics, n.metricsHandler()) }()
	go func() { failed <- n.front.Serve(callers) }()
	go func() { failed <- n.front.ServePeers(forwarded, n.authenticator) }()
	n.startBackground(background, ctx)
	n.log.WithField(daemon.FieldAddress, n.machine.CallerAddress).Info("started")
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("%w: %w", ErrStart, err)
		case <-hup:
			n.reload()
		case <-ctx.Done():
			n.stop(callers, forwarded)
			return errors.Join(ready.Close(), metrics.Close())
		}
	}
}

// metricsHandler serves the metrics and, if the settings allow it, profiles of the process.
func (n *Node) metricsHandler() http.Handler {
	if !n.settings.Profiling {
		return n.metrics.Handler
	}
	mux := http.NewServeMux()
	mux.Handle("/", n.metrics.Handler)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// callerUserTimeout is the TCP_USER_TIMEOUT of connections from callers: the time that sent data
// may stay unacknowledged.
const callerUserTimeout = 5 * time.Second

// startBackground starts the goroutines that follow the feeds, exchange load with the other
// nodes, check targets for progress and plan roles. They run until ctx ends; those that plan roles
// or register the node end with serving, when the node begins to stop.
func (n *Node) startBackground(ctx, serving context.Context) {
	source := func(name string) outageLogger { return outageLogger{log: n.log.WithField(fieldSource, name)} }
	go n.exchanger.Run(ctx)
	go n.link.run(ctx)
	go n.watchTargets(ctx)
	go n.crashes.run(ctx)
	go n.crashes.recordBlocks(ctx, n.store)
	go n.crashes.restoreBlocks(ctx, platform.Keyed(n.store, blocksTopic, decodeBlock))
	go followFeed(ctx, n.newSharedFeed(feedConfig, 0, n.settings.ConfigurationWait), n.store.Configurations(), &configHandler{
		outageLogger: source("configuration"), gateway: n.gateway, counters: n.counters, onLoaded: n.recordConfigurationInForce,
		readState: func() loadshare.ReadState { return n.exchanger.ReadState(feedConfig, clock.Now()) },
	}, minReadBackoff, maxReadBackoff)
	go followFeed(ctx, n.newSharedFeed(feedRegistrations, n.settings.RegistrationInterval, 0), n.store.Registrations(), &registrationHandler{
		outageLogger: source("registrations"), directory: n.directory, onLoaded: n.recordRegistrationsLoaded,
		onChange: func() { registerVersions(n.versions, n.directory) },
	}, minReadBackoff, maxReadBackoff)
	members := n.newSharedFeed(feedMembers, memberReadInterval, 0)
	go registerMember(serving, n.announcingStore(members.pacer), n.self(), n.members.isListed, n.log)
	go followFeed(ctx, members, platform.Keyed(n.store, membersTopic, DecodeMember), n.members,
		registerRetryInterval, memberReadInterval)
	n.startVersions(ctx, serving, &versionHandler{outageLogger: source(feedNames[feedVersions]), table: n.versions, onLoaded: func() { n.versionsLoaded.Store(true) }})
	if n.settings.PlanRoles {
		holder := authority.Holder{VM: n.machine.VM, Incarnation: strconv.FormatUint(rand.Uint64(), 36)}
		k := &roleController{
			log: n.log, gateway: n.gateway, directory: n.directory, targets: n.targets, self: n.machine.VM,
			lease:      newLeaseClaimer(n.store, holder, n.machine.MinHolderGap, n.machine.ChecksFencing, n.exchanger.Era, n.hasOlderMembers),
			fixedShare: float64(n.settings.PrefillShare) / 1000, bootstrap: n.machine.Bootstrap, demand: n.exchanger.Demand, rank: n.rank, linkLost: n.link.Lost, notifySuspended: n.exchanger.NotifyLoadChange,
		}
		go k.run(serving)
	}
}

// announcingStore returns the store for the record of this node. The other nodes refuse its requests
// until they know its new key, so that it publishes the record of a restart. When all nodes start
// together, the reader publishes them.
func (n *Node) announcingStore(members *readPacer) memberStore {
	if n.machine.Bootstrap {
		return n.store
	}
	return announcingStore{n.store, members.publishChange}
}

// recordConfigurationInForce is called for each configuration. The age of streams does not fall with
// their time-outs, because those that have begun may last as long as before.
func (n *Node) recordConfigurationInForce() {
	n.gateway.Table().Routes(func(r *routes.Route) {
		if r.Kind == routes.KindStream && r.Resumable {
			n.streamAge = max(n.streamAge, min(r.Timeout, maxStreamAge))
		}
	})
	n.versions.SetMaxAge(n.streamAge)
	n.configLoaded.Store(true)
}

// recordRegistrationsLoaded is called when the registrations are listed. Without the
// versions in its table a ready node would refuse streams.
func (n *Node) recordRegistrationsLoaded() {
	registerVersions(n.versions, n.directory)
	n.registrationsLoaded.Store(true)
}

// startVersions starts the goroutines that follow and write the plans of the software versions. They
// run until ctx ends, the one that writes until serving ends.
func (n *Node) startVersions(ctx, serving context.Context, h *versionHandler) {
	topic := func() *platform.Topic[versions.Record] { return platform.Keyed(n.store, versionsTopic, decodeVersions) }
	p := &versionPlanner{
		log: n.log, counters: n.counters, table: n.versions, directory: n.directory, store: n.store, source: topic(), now: clock.Now, rank: n.rank,
		confirmed: n.newestAsOf(feedVersions, h), viewed: n.newestAsOf(feedRegistrations, h), registered: n.registrationsLoaded.Load, due: map[types.ServiceID]dueProposal{},
		mayWrite: func() bool {
			return n.configLoaded.Load() && n.registrationsLoaded.Load() && n.versionsLoaded.Load() && !h.failing.Load()
		},
	}
	f := n.newSharedFeed(feedVersions, 0, versionsWait)
	f.pacer.onRead = func(r feed.ReadResult) { n.versions.Confirm(r.AsOf) }
	go followFeed(ctx, f, topic(), h, minReadBackoff, maxReadBackoff)
	go p.update(ctx)
	go p.plan(serving)
}

func (n *Node) self() Member {
	return Member{
		VM: n.machine.VM, DataCentre: n.machine.DataCentre, Key: n.identity.PublicKey(),
		Address: netip.AddrPortFrom(n.machine.IP, uint16(n.machine.InternalPort)), Cores: n.machine.Cores, Eras: true,
	}
}

// hasOlderMembers reports whether a node is listed whose fencing numbers do not depend on the era of the
// store, or the list is not known.
func (n *Node) hasOlderMembers() bool {
	members := n.peers.Load()
	return members == nil || slices.ContainsFunc(*members, func(m Member) bool { return !m.Eras })
}

// ready reports whether a configuration, the registrations and the plans of the software versions are
// loaded and the node is not stopping.
func (n *Node) ready() bool {
	return n.configLoaded.Load() && n.registrationsLoaded.Load() && n.versionsLoaded.Load() && n.shutdown.Schedule() == nil
}

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if !n.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// reload reads the platform's settings again and logs the store's address. It does not apply
// the settings to the running process.
func (n *Node) reload() {
	m, err := platform.LoadSettings()
	if err != nil {
		n.log.WithError(err).Error("failed to reload the platform settings")
		return
	}
	n.log.WithField("store", m.StoreAddress).Info("settings reloaded")
}
