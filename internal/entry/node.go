// Package entry assembles a host on a platform: the replica of the store's state,
// connections to the other hosts, stage scheduling, and the server for callers.
// It shuts them down in order.
package entry

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/metrics"
	"github.com/pimentorill/pimentorill/internal/core/advisory"
	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/exchange"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/origins"
	"github.com/pimentorill/pimentorill/internal/overload"
	"github.com/pimentorill/pimentorill/internal/peering"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/relay"
	"github.com/pimentorill/pimentorill/internal/rollouts"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// readinessPropagationTime is how long the platform may still send callers to
	// this host after it becomes unready: two failed readiness checks and the time in which a
	// caller connects.
	readinessPropagationTime = 2500 * time.Millisecond
	// heldMemoryDivisor bounds the bodies of responses held at once to 1/8 of the host's
	// memory.
	heldMemoryDivisor = 8
	// carriedBytes is the memory that an exchange takes that this host carries for another
	// one; all of them together get 1/8 of the host's memory.
	carriedBytes = 64 << 10
	// reachSample is the number of other endpoints that are probed to learn whether this host
	// reaches any.
	reachSample = 3
	// firstStartSpread bounds the time within which all hosts start when the whole
	// system starts for the first time, with the differences of their clocks.
	firstStartSpread = 10 * time.Second
	// shutdownMargin is the part of the shutdown grace that is reserved for closing
	// connections and tasks.
	shutdownMargin = 500 * time.Millisecond
	// refusalTime is how long before the connections are closed the requests are refused
	// that no endpoint has got yet.
	refusalTime = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in flight
	// during shutdown.
	drainPollInterval = 20 * time.Millisecond
)

// CallerServer accepts the callers' connections. Its methods may be called
// concurrently.
type CallerServer interface {
	// CloseAfterResponse sets whether each connection is closed after its next
	// response.
	CloseAfterResponse(on bool)
	// CloseIdle closes connections without a request in flight and accepts no new
	// connections.
	CloseIdle()
	// InFlight returns the number of requests in flight.
	InFlight() int
	// Close closes all connections.
	Close()
}

// Platform holds the platform's services that a host uses.
type Platform struct {
	Store   port.WatchableStore
	Decoder port.StoreDecoder
	// KeyPrefix is the prefix of pimentorill's own keys in the store.
	KeyPrefix string
	// RecordPrefix is the prefix of pimentorill's own keys that not all hosts have to know.
	RecordPrefix string
	// Rollouts translates the keys and values of roll-outs.
	Rollouts rollouts.Codec
	// StatePrefixes are the prefixes of all keys that all hosts have to know.
	StatePrefixes []string
	Endpoints     port.EndpointClient
	// Listen starts the server for callers, which passes their exchanges to s.
	Listen func(s *exchange.Server) (CallerServer, error)
	// ServeReadiness starts to answer readiness checks with the result of ready; the
	// function returned stops it.
	ServeReadiness func(ready func() bool) (func(), error)
}

// Node is a running host. Its exported methods may be called concurrently.
type Node struct {
	settings     Settings
	log          *slog.Logger
	replica      *facts.Replica
	balancer     *balance.Balancer
	retryBudgets *quota.RetryBudgets
	rateLimits   *ratelimit.Limiter
	advisories   *advisory.Registry
	health       *health.Monitor
	relay        *relay.Client
	overload     *overload.Monitor
	stages       *stagework.Dispatcher
	server       *exchange.Server
	callerServer CallerServer
	group        *peering.Group
	origins      *origins.Registry
	crashes      *crashing.Guard
	rollouts     *rollouts.Guard
	metrics      *metrics.Metrics
	// startedUnixMs is the start of this host in Unix milliseconds.
	startedUnixMs int64
	stopReadiness func()
	cancel        context.CancelFunc
	tasks         sync.WaitGroup

	mu sync.Mutex
	// stopping is set once Stop is called.
	stopping    bool
	isolation   isolationState
	recentHosts recentHosts

	stopOnce sync.Once
	// interruptedRequests is the result of Stop.
	interruptedRequests int
}

// Start starts a host that serves on the addresses of the settings. Stop ends
// it. Start fails if the host can't listen for callers, readiness checks or other
// hosts; it does not wait for the store.
func Start(s Settings, p Platform, log *slog.Logger) (*Node, error) {
	clock := port.SystemClock{}
	n := &Node{settings: s, log: log, metrics: metrics.New(), recentHosts: make(recentHosts)}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.rateLimits = ratelimit.New(s.HostID, defaultHosts, clock, log)
	n.advisories = advisory.New(s.HostID, defaultHosts, clock, log)
	n.balancer = balance.New(s.HostID, s.Zone, clock, newRand(), balance.ColdSendLimit{Overrun: s.WarmUpOverrun, Slack: s.WarmUpSlack}, n.rateLimits, n.advisories)
	n.retryBudgets = quota.NewRetryBudgets(quota.RetryLimit{Ratio: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow}, clock)
	n.balancer.SetHosts(nil, defaultHosts)
	n.retryBudgets.SetHostCount(defaultHosts)
	n.startedUnixMs = time.Now().UnixMilli()
	self := facts.Host{ID: s.HostID, Zone: s.Zone, Address: s.PeersAddress, StartedUnixMs: n.startedUnixMs, Cores: s.Cores, LinkMbps: s.LinkMbps}
	n.health = health.New(health.Config{Client: p.Endpoints, UsableEndpoints: n.usableEndpoints, OnChange: func() { n.stages.Refresh() },
		Rest: n.advisories.Rest, ProbeOverPeers: func(ctx context.Context, e *catalog.Endpoint) error { return n.relay.ProbeOverPeers(ctx, e) }, OnPathFound: n.balancer.PathFound,
		OnUnreachable: func(e *catalog.Endpoint) { n.crashes.EndpointUnreachable(e) }, OnResponse: func(e *catalog.Endpoint) { n.crashes.EndpointResponded(e) },
		Clock: clock, Log: log, Metrics: n.metrics.Scope})
	n.overload = overload.New(clock, log, n.metrics.Scope)
	group, err := peering.Listen(peering.Config{Self: self, KeyPrefix: p.KeyPrefix, Store: p.Store, Clock: clock, Log: log,
		MinLease: s.MinLease, OnSuspected: n.health.Sweep, Hosts: func() map[string]facts.Host { return n.replica.Current().Hosts }, Gossip: rateLimitGossip{n.rateLimits, log}})
	if err != nil {
		cancel()
		return nil, err
	}
	n.group = group
	n.relay = relay.New(relay.Config{Peers: group, Zone: s.Zone, Regions: s.Regions, Hosts: func() map[string]facts.Host { return n.replica.Current().Hosts }, Direct: p.Endpoints,
		Paths: n.health, Snapshot: func() *facts.Snapshot { return n.replica.Current() }, Rest: n.advisories.Rest, Leaves: n.advisories.Leaves, Notice: n.notice,
		MaxCarried: int(s.MemoryBytes / heldMemoryDivisor / carriedBytes), Clock: clock, Log: log, Metrics: n.metrics.Scope})
	n.relay.ObserveNotices(n.observeNotice)
	n.relay.ObserveAnswers(answerLog{log, n.metrics.Scope}.observe)
	sharing := &stateSharing{group: group}
	n.replica = facts.New(facts.Config{Store: p.Store, Decoder: p.Decoder, Observer: n, Clock: clock, Log: log,
		CrashEntryName: crashing.EntryName, VersionEntryName: origins.VersionEntryName, RolloutOrderName: p.Rollouts.OrderName, RolloutStatusName: p.Rollouts.StatusName,
		StatePrefixes: p.StatePrefixes, IsRecord: origins.IsSegmentKey, OnRecords: func(items []port.KeyValue) { n.origins.LearnSegments(items) }, FetchFromPeer: sharing.fetchFromPeer, Peers: sharing})
	sharing.handleRequests(n.replica)
	n.origins = origins.New(origins.Config{Peers: group, HostID: s.HostID, Store: p.Store, KeyPrefix: p.KeyPrefix, RecordPrefix: p.RecordPrefix, MinLease: s.MinLease,
		StoreAvailable: n.replica.StoreAvailable, Watch: n.replica.Watch,
		Snapshot: n.replica.Current, StartedFirst: func(s *facts.Snapshot) bool { return n.startedFirst(s.Hosts) }, Clock: clock, Log: log, Metrics: n.metrics.Scope})
	n.crashes = crashing.New(crashing.Config{Peers: group, Store: p.Store, KeyPrefix: p.KeyPrefix, Snapshot: n.replica.Current, Responds: n.endpointResponds, ProbeSilent: n.health.Check, Reaches: n.reachesOther,
		Clock: clock, Log: log, Metrics: n.metrics.Scope})
	n.rollouts = rollouts.New(rollouts.Config{Peers: group, Store: p.Store, Codec: p.Rollouts, Bounds: s.Rollouts, Incarnation: n.startedUnixMs, Snapshot: n.replica.Current,
		Clock: clock, Log: log, Metrics: n.metrics.Scope})
	n.stages = stagework.NewDispatcher(stagework.Config{Peers: group, Zone: s.Zone, Endpoints: rollouts.StageClient{EndpointClient: n.relay, Guard: n.rollouts}, Health: n.health, RateLimits: n.rateLimits, Advisories: n.advisories, LookupService: n.stageService,
		StageEndpoints: n.stageEndpoints, Overloaded: n.overload.Overloaded, Crashes: n.crashes, Clock: clock, Log: log, Metrics: n.metrics.Scope})
	n.server = exchange.New(exchange.Config{Snapshot: n.replica.Current, Balancer: n.balancer, RetryBudgets: n.retryBudgets, Endpoints: n.relay,
		Stages: n.stages, Crashes: n.crashes, Health: n.health, Clock: clock, Rand: newRand(), Log: log,
		MaxHeldBytes: s.MemoryBytes / heldMemoryDivisor, RateLimits: n.rateLimits, Origins: n.origins, Rollouts: n.rollouts, Regions: s.Regions, HedgeShare: s.HedgeShare, Metrics: n.metrics.Scope})
	if n.callerServer, err = p.Listen(n.server); err != nil {
		cancel()
		return nil, err
	}
	if n.stopReadiness, err = p.ServeReadiness(n.Ready); err != nil {
		cancel()
		n.callerServer.Close()
		return nil, err
	}
	n.startTask(ctx, n.replica.Run)
	n.startTask(ctx, group.Run)
	n.startTask(ctx, n.stages.Run)
	n.startTask(ctx, n.crashes.Run)
	n.startTask(ctx, n.origins.Run)
	n.startTask(ctx, n.rollouts.Run)
	n.startTask(ctx, n.watchIsolation)
	n.startTask(ctx, n.overload.Run)
	n.serveMetrics(ctx)
	log.Info("started", slog.String("host", s.HostID), slog.String("zone", s.Zone), slog.String("callers", s.CallersAddress))
	return n, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) startTask(ctx context.Context, fn func(context.Context)) {
	n.tasks.Go(func() { fn(ctx) })
}

// serveMetrics serves the metrics until ctx ends if the settings contain an address
// for them. The host runs without them if it can't listen on that address.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.settings.MetricsAddress == "" {
		return
	}
	l, err := net.Listen("tcp", n.settings.MetricsAddress)
	if err != nil {
		n.log.Warn("metrics are not served", slog.Any("error", err))
		return
	}
	server := &fasthttp.Server{Handler: n.metrics.Handler, NoDefaultServerHeader: true}
	context.AfterFunc(ctx, func() { l.Close() })
	n.tasks.Go(func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.Warn("metrics listener ended", slog.Any("error", err))
		}
	})
}

// usableEndpoints returns all endpoints that may be called.
func (n *Node) usableEndpoints() []*catalog.Endpoint {
	var all []*catalog.Endpoint
	for _, list := range n.replica.Current().Usable {
		all = append(all, list...)
	}
	return all
}

// observeNotice applies what an endpoint says of itself.
func (n *Node) observeNotice(e *catalog.Endpoint, notice port.EndpointNotice) {
	if notice.RateLimit.Named || notice.Answer {
		n.rateLimits.Observe(e, notice.RateLimit)
	}
	n.advisories.Observe(e, notice)
}

// notice returns what this host knows an endpoint to say of itself.
func (n *Node) notice(e *catalog.Endpoint) port.EndpointNotice {
	var notice port.EndpointNotice
	notice.RateLimit.PerSecond, notice.RateLimit.Named = n.rateLimits.Limit(e.Incarnation())
	refusals, brittle := n.advisories.Brittle(e)
	notice.Brittle = port.Brittleness{Named: brittle, Refusals: float64(refusals)}
	notice.Rest, notice.Leaving = n.advisories.Rest(e), n.advisories.Leaves(e)
	return notice
}

// endpointResponds reports whether an endpoint responds to this host or to another one.
func (n *Node) endpointResponds(ctx context.Context, e *catalog.Endpoint) bool {
	responses := make(chan bool, 2)
	go func() {
		report, err := n.relay.Probe(ctx, e, true)
		responses <- err == nil && !report.Misdirected
	}()
	go func() { responses <- n.relay.RespondsToPeers(ctx, e) }()
	for range cap(responses) {
		if <-responses {
			return true
		}
	}
	return false
}

// reachesOther reports whether one of some other endpoints responds to this host.
func (n *Node) reachesOther(ctx context.Context, e *catalog.Endpoint) bool {
	others := slices.DeleteFunc(slices.Clone(n.health.Available(n.usableEndpoints())), func(o *catalog.Endpoint) bool { return o.Incarnation() == e.Incarnation() })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), reachSample)]
	responses := make(chan bool, len(others))
	for _, o := range others {
		go func() {
			_, err := n.relay.Probe(ctx, o, false)
			responses <- err == nil
		}()
	}
	for range others {
		if <-responses {
			return true
		}
	}
	return false
}

// stageService returns the service with the given name and its endpoints that may
// be called; nil if it is not known.
func (n *Node) stageService(name string) (*catalog.Service, []*catalog.Endpoint) {
	s := n.replica.Current()
	if s.Config == nil {
		return nil, nil
	}
	return s.Config.Services[name], n.rollouts.Offered(name, s.Usable[name])
}

// stageEndpoints returns the endpoints of all stage services that may be called.
func (n *Node) stageEndpoints() []*catalog.Endpoint {
	s := n.replica.Current()
	if s.Config == nil {
		return nil
	}
	var all []*catalog.Endpoint
	for name, list := range s.Usable {
		if service := s.Config.Services[name]; service != nil && service.StageLimits != nil {
			all = append(all, list...)
		}
	}
	return all
}

// Ready reports whether this host accepts new callers: it is neither stopping nor
// isolated, and knows a configuration and usable endpoints.
func (n *Node) Ready() bool {
	s := n.replica.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping && !n.isolation.isolated && s.Config != nil && len(s.Usable) > 0
}

// EndpointUpdated implements facts.Observer.
func (n *Node) EndpointUpdated(e *catalog.Endpoint, service *catalog.Service, afterFirstRead bool) {
	n.balancer.UpdateEndpoint(e, service, afterFirstRead)
}

// EndpointTurnedCold implements facts.Observer.
func (n *Node) EndpointTurnedCold(e *catalog.Endpoint, service *catalog.Service) {
	n.balancer.MarkCold(e, service)
}

// StoreRestored implements facts.Observer.
func (n *Node) StoreRestored() { n.metrics.Scope.Counter("store_restores_total").Inc(1) }

// SnapshotPublished implements facts.Observer.
func (n *Node) SnapshotPublished(s *facts.Snapshot) {
	n.divideLimits(s.Hosts, time.Now())
	n.origins.Observe(s)
	n.crashes.Observe(s)
	n.rollouts.Observe(s)
	known := func(i catalog.Incarnation) bool { return s.Incarnations[i] }
	n.balancer.Prune(known)
	n.rateLimits.Prune(known)
	n.advisories.Prune(known)
	n.stages.Refresh()
}

// startedFirst reports whether the whole system starts for the first time: the settings
// say so, and no other host started long before this one.
func (n *Node) startedFirst(known map[string]facts.Host) bool {
	return n.settings.FirstStart && !slices.ContainsFunc(slices.Collect(maps.Values(known)), func(h facts.Host) bool {
		return h.StartedUnixMs < n.startedUnixMs-firstStartSpread.Milliseconds()
	})
}

// Stop shuts the host down. The host is unready at once, but serves callers that
// still arrive until the platform has stopped sending them. Then it waits for
// the requests in flight, up to the shutdown grace. Stop returns the number of
// requests interrupted; further calls wait for the first one and return the same
// number.
func (n *Node) Stop() int {
	n.stopOnce.Do(func() { n.interruptedRequests = n.shutDown() })
	return n.interruptedRequests
}

func (n *Node) shutDown() int {
	startedAt := time.Now()
	n.mu.Lock()
	n.stopping = true
	n.callerServer.CloseAfterResponse(true)
	n.mu.Unlock()
	n.log.Info("stopping", slog.Duration("grace", n.settings.ShutdownGrace))
	go n.group.AnnounceLeaving()
	deadline := startedAt.Add(n.settings.ShutdownGrace - shutdownMargin)
	n.server.EndBy(deadline.Add(-refusalTime))
	time.Sleep(min(readinessPropagationTime, n.settings.ShutdownGrace/2))
	n.server.RefuseNew()
	n.relay.RefuseNew()
	n.callerServer.CloseIdle()
	n.awaitRequests(deadline.Add(-refusalTime))
	n.server.RefuseWaiting()
	n.awaitRequests(deadline)
	interrupted := n.callerServer.InFlight()
	n.callerServer.Close()
	n.relay.Close()
	n.health.Close()
	n.cancel()
	n.stopReadiness()
	n.tasks.Wait()
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("metrics not closed", slog.Any("error", err))
	}
	n.log.Info("ended", slog.Int("requests_cut", interrupted))
	return interrupted
}

// awaitRequests waits until no request is in flight, of callers or carried for other hosts,
// or until the deadline.
func (n *Node) awaitRequests(deadline time.Time) {
	for n.callerServer.InFlight()+n.relay.Carrying() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
