// Package entry puts a host on a platform together: facts from its store,
// peers, stages and exchanges behind the callers' connections, and ends them
// in order.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/metrics"
	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/exchange"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/peering"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// spareHosts is added to the hosts known when limits over all hosts are
	// divided: hosts that are replaced or not heard of yet.
	spareHosts = 2
	// defaultHosts stands for the number of hosts until some are known.
	defaultHosts = 12
	// readinessPropagationTime is how long after the signal to end callers may still be sent
	// here: two missed questions for readiness and what a caller needs to connect.
	readinessPropagationTime = 2500 * time.Millisecond
	// shutdownMargin is kept free of the grace for the end itself.
	shutdownMargin = 500 * time.Millisecond
	// drainPollInterval is how often a host that ends looks for requests under way.
	drainPollInterval = 20 * time.Millisecond
)

// CallerServer takes the callers' connections.
type CallerServer interface {
	// CloseAfterResponse has each answer be the last of its connection, or not.
	CloseAfterResponse(on bool)
	// CloseIdle closes connections without a request and takes no new ones.
	CloseIdle()
	// InFlight returns the number of requests under way.
	InFlight() int
	Close()
}

// Platform is how a host reaches its surroundings.
type Platform struct {
	Store   port.WatchableStore
	Decoder port.StoreDecoder
	// KeyPrefix is the prefix of the system's own keys.
	KeyPrefix string
	Endpoints port.EndpointClient
	// Listen opens the callers' address.
	Listen func(s *exchange.Server) (CallerServer, error)
	// ServeReadiness answers the question for readiness; the function returned ends it.
	ServeReadiness func(ready func() bool) (func(), error)
}

// Node is one running host.
type Node struct {
	settings      Settings
	log           *slog.Logger
	replica       *facts.Replica
	balancer      *balance.Balancer
	retryBudgets  *quota.RetryBudgets
	health        *health.Monitor
	scheduler     *stagework.Scheduler
	server        *exchange.Server
	callerServer  CallerServer
	group         *peering.Group
	metrics       *metrics.Metrics
	stopReadiness func()
	cancel        context.CancelFunc
	tasks         sync.WaitGroup

	mu        sync.Mutex
	stopping  bool
	isolation isolationState
	maxHosts  int

	stopOnce            sync.Once
	interruptedRequests int
}

// Start serves on the settings' addresses. Stop ends it.
func Start(s Settings, p Platform, log *slog.Logger) (*Node, error) {
	clock := port.SystemClock{}
	n := &Node{settings: s, log: log, metrics: metrics.New()}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.balancer = balance.New(s.Zone, clock, newRand(), balance.Limits{Overrun: s.WarmUpOverrun, Slack: s.WarmUpSlack})
	n.retryBudgets = quota.NewRetryBudgets(quota.RetryLimit{Share: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow}, clock)
	n.divideLimits(defaultHosts)
	self := facts.Host{ID: s.HostID, Zone: s.Zone, Address: s.PeersAddress, StartedUnixMs: time.Now().UnixMilli()}
	n.health = health.New(health.Config{Client: p.Endpoints, UsableEndpoints: n.usableEndpoints, OnChange: func() { n.scheduler.Refresh() }, Clock: clock, Log: log})
	group, err := peering.Listen(peering.Config{Self: self, KeyPrefix: p.KeyPrefix, Store: p.Store, Clock: clock, Log: log,
		MinLease: s.MinLease, OnSuspected: n.health.Sweep, Hosts: func() map[string]facts.Host { return n.replica.Current().Hosts }})
	if err != nil {
		cancel()
		return nil, err
	}
	n.group = group
	sharing := &stateSharing{group: group}
	n.replica = facts.New(facts.Config{Store: p.Store, Decoder: p.Decoder, Observer: n, Clock: clock, Log: log,
		RefusedFingerprint: crashing.RefusedFingerprint, FetchFromPeer: sharing.fetchFromPeer})
	sharing.handleRequests(n.replica)
	n.scheduler = stagework.NewScheduler(s.HostID, s.Zone, group.ReachableShare, p.Endpoints, n.health, clock, log, n.stageService)
	maker := stagework.NewDispatcher(group, n.scheduler, clock, log)
	n.server = exchange.New(exchange.Config{Snapshot: n.replica.Current, Balancer: n.balancer, RetryBudgets: n.retryBudgets, Endpoints: p.Endpoints,
		Stages: maker, CrashTracker: crashing.New(group, p.Store, p.KeyPrefix, clock, log), Health: n.health, Clock: clock, Rand: newRand(), Log: log,
		Regions: s.Regions, Metrics: n.metrics.Scope})
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
	n.startTask(ctx, n.scheduler.Run)
	n.startTask(ctx, group.Run)
	n.startTask(ctx, maker.Run)
	n.startTask(ctx, n.watchIsolation)
	n.serveMetrics(ctx)
	log.Info("started", slog.String("host", s.HostID), slog.String("zone", s.Zone), slog.String("callers", s.CallersAddress))
	return n, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) startTask(ctx context.Context, fn func(context.Context)) {
	n.tasks.Go(func() { fn(ctx) })
}

// serveMetrics serves the metrics if the settings give an address.
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

// endpoints returns all endpoints that may be called.
func (n *Node) usableEndpoints() []*catalog.Endpoint {
	var all []*catalog.Endpoint
	for _, list := range n.replica.Current().Usable {
		all = append(all, list...)
	}
	return all
}

// stageService returns a stage service with the endpoints that may be called.
func (n *Node) stageService(name string) (*catalog.Service, []*catalog.Endpoint) {
	s := n.replica.Current()
	if s.Config == nil {
		return nil, nil
	}
	return s.Config.Services[name], s.Usable[name]
}

// Ready reports whether this host takes new callers.
func (n *Node) Ready() bool {
	s := n.replica.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping && !n.isolation.isolated && s.Config != nil && len(s.Usable) > 0
}

// EndpointKnown implements facts.Observer.
func (n *Node) EndpointUpdated(e *catalog.Endpoint, service *catalog.Service, fresh bool) {
	n.balancer.UpdateEndpoint(e, service, fresh)
}

// EndpointCooled implements facts.Observer.
func (n *Node) EndpointTurnedCold(e *catalog.Endpoint, service *catalog.Service) {
	n.balancer.MarkCold(e, service)
}

// Published implements facts.Observer.
func (n *Node) SnapshotPublished(s *facts.Snapshot) {
	if len(s.Hosts) > 0 {
		n.divideLimits(len(s.Hosts) + spareHosts)
	}
	n.balancer.Prune(func(l catalog.Incarnation) bool { return s.Incarnations[l] })
	n.scheduler.Refresh()
}

// divideLimits divides the limits over all hosts. The number never falls: a host
// that is cut off does not know who has come.
func (n *Node) divideLimits(hosts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := hosts != defaultHosts
	if !known || n.maxHosts == defaultHosts || hosts > n.maxHosts {
		n.maxHosts = hosts
		n.balancer.SetHosts(hosts)
		n.retryBudgets.SetHosts(hosts)
	}
}

// Stop ends the host: not ready at once; callers that still come are served
// until they should have gone; then what is under way is finished, up to the
// grace. It returns the number of requests cut off. Calls after the first one
// return the same.
func (n *Node) Stop() int {
	n.stopOnce.Do(func() { n.interruptedRequests = n.shutDown() })
	return n.interruptedRequests
}

func (n *Node) shutDown() int {
	began := time.Now()
	n.mu.Lock()
	n.stopping = true
	n.callerServer.CloseAfterResponse(true)
	n.mu.Unlock()
	n.log.Info("stopping", slog.Duration("grace", n.settings.ShutdownGrace))
	go n.group.AnnounceLeaving()
	time.Sleep(min(readinessPropagationTime, n.settings.ShutdownGrace/2))
	n.server.RefuseNew()
	n.callerServer.CloseIdle()
	end := began.Add(n.settings.ShutdownGrace - shutdownMargin)
	for n.callerServer.InFlight() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	cut := n.callerServer.InFlight()
	n.callerServer.Close()
	n.health.Close()
	n.cancel()
	n.stopReadiness()
	n.tasks.Wait()
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("metrics not closed", slog.Any("error", err))
	}
	n.log.Info("ended", slog.Int("requests_cut", cut))
	return cut
}
