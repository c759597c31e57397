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
	// unknownHosts stands for the number of hosts until some are known.
	unknownHosts = 12
	// stillTaken is how long after the signal to end callers may still be sent
	// here: two missed questions for readiness and what a caller needs to connect.
	stillTaken = 2500 * time.Millisecond
	// endMargin is kept free of the grace for the end itself.
	endMargin = 500 * time.Millisecond
	// endPoll is how often a host that ends looks for requests under way.
	endPoll = 20 * time.Millisecond
)

// Front takes the callers' connections.
type Front interface {
	// CloseAfterAnswer has each answer be the last of its connection, or not.
	CloseAfterAnswer(on bool)
	// CloseIdle closes connections without a request and takes no new ones.
	CloseIdle()
	// Busy returns the number of requests under way.
	Busy() int
	Close()
}

// Platform is how a host reaches its surroundings.
type Platform struct {
	Feed    port.WatchableStore
	Decoder port.StoreDecoder
	// OwnKeys is the prefix of the system's own keys.
	OwnKeys   string
	Endpoints port.EndpointClient
	// Listen opens the callers' address.
	Listen func(s *exchange.Server) (Front, error)
	// ServeReady answers the question for readiness; the function returned ends it.
	ServeReady func(ready func() bool) (func(), error)
}

// Node is one running host.
type Node struct {
	settings Settings
	log      *slog.Logger
	facts    *facts.Facts
	table    *balance.Balancer
	retries  *quota.RetryBudgets
	health   *health.Watch
	desk     *stagework.Scheduler
	server   *exchange.Server
	front    Front
	group    *peering.Group
	metrics  *metrics.Metrics
	endReady func()
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu        sync.Mutex
	stopping  bool
	isolation isolation
	maxHosts  int

	stopOnce sync.Once
	cut      int
}

// Start serves on the settings' addresses. Stop ends it.
func Start(s Settings, p Platform, log *slog.Logger) (*Node, error) {
	clock := port.SystemClock{}
	n := &Node{settings: s, log: log, metrics: metrics.New()}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.table = balance.New(s.Zone, clock, newRand(), balance.Limits{Overrun: s.WarmUpOverrun, Slack: s.WarmUpSlack})
	n.retries = quota.NewRetryBudgets(quota.RetryLimit{Share: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow}, clock)
	n.setHosts(unknownHosts)
	self := facts.Host{ID: s.Host, Zone: s.Zone, Address: s.Peers, Started: time.Now().UnixMilli()}
	n.health = health.New(health.Config{Endpoints: p.Endpoints, Known: n.endpoints, Changed: func() { n.desk.Refresh() }, Clock: clock, Log: log})
	group, err := peering.Listen(peering.Config{Self: self, Prefix: p.OwnKeys, Feed: p.Feed, Clock: clock, Log: log,
		MinLease: s.MinLease, Suspected: n.health.Sweep, Hosts: func() map[string]facts.Host { return n.facts.Current().Hosts }})
	if err != nil {
		cancel()
		return nil, err
	}
	n.group = group
	sharing := &factSharing{group: group}
	n.facts = facts.New(facts.Config{Feed: p.Feed, Decoder: p.Decoder, Observer: n, Clock: clock, Log: log,
		Refusal: crashing.Refused, Ask: sharing.ask})
	sharing.answer(n.facts)
	n.desk = stagework.NewScheduler(s.Host, s.Zone, group.Reach, p.Endpoints, n.health, clock, log, n.stageService)
	maker := stagework.NewDispatcher(group, n.desk, clock, log)
	n.server = exchange.New(exchange.Config{Facts: n.facts.Current, Table: n.table, Retries: n.retries, Endpoints: p.Endpoints,
		Stages: maker, Crashes: crashing.New(group, p.Feed, p.OwnKeys, clock, log), Health: n.health, Clock: clock, Rand: newRand(), Log: log,
		Regions: s.Regions, Metrics: n.metrics.Scope})
	if n.front, err = p.Listen(n.server); err != nil {
		cancel()
		return nil, err
	}
	if n.endReady, err = p.ServeReady(n.Ready); err != nil {
		cancel()
		n.front.Close()
		return nil, err
	}
	n.task(ctx, n.facts.Run)
	n.task(ctx, n.desk.Run)
	n.task(ctx, group.Run)
	n.task(ctx, maker.Run)
	n.task(ctx, n.watchIsolation)
	n.serveMetrics(ctx)
	log.Info("started", slog.String("host", s.Host), slog.String("zone", s.Zone), slog.String("callers", s.Callers))
	return n, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) task(ctx context.Context, fn func(context.Context)) {
	n.tasks.Go(func() { fn(ctx) })
}

// serveMetrics serves the metrics if the settings give an address.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.settings.Metrics == "" {
		return
	}
	l, err := net.Listen("tcp", n.settings.Metrics)
	if err != nil {
		n.log.Warn("metrics are not served", slog.Any("error", err))
		return
	}
	server := &fasthttp.Server{Handler: n.metrics.Page, NoDefaultServerHeader: true}
	context.AfterFunc(ctx, func() { l.Close() })
	n.tasks.Go(func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.Warn("metrics listener ended", slog.Any("error", err))
		}
	})
}

// endpoints returns all endpoints that may be called.
func (n *Node) endpoints() []*catalog.Endpoint {
	var all []*catalog.Endpoint
	for _, list := range n.facts.Current().Usable {
		all = append(all, list...)
	}
	return all
}

// stageService returns a stage service with the endpoints that may be called.
func (n *Node) stageService(name string) (*catalog.Service, []*catalog.Endpoint) {
	s := n.facts.Current()
	if s.Config == nil {
		return nil, nil
	}
	return s.Config.Services[name], s.Usable[name]
}

// Ready reports whether this host takes new callers.
func (n *Node) Ready() bool {
	s := n.facts.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping && !n.isolation.on && s.Config != nil && len(s.Usable) > 0
}

// EndpointKnown implements facts.Observer.
func (n *Node) EndpointKnown(e *catalog.Endpoint, service *catalog.Service, fresh bool) {
	n.table.UpdateEndpoint(e, service, fresh)
}

// EndpointCooled implements facts.Observer.
func (n *Node) EndpointCooled(e *catalog.Endpoint, service *catalog.Service) {
	n.table.MarkCold(e, service)
}

// Published implements facts.Observer.
func (n *Node) Published(s *facts.Snapshot) {
	if len(s.Hosts) > 0 {
		n.setHosts(len(s.Hosts) + spareHosts)
	}
	n.table.Prune(func(l catalog.Incarnation) bool { return s.Lifetimes[l] })
	n.desk.Refresh()
}

// setHosts divides the limits over all hosts. The number never falls: a host
// that is cut off does not know who has come.
func (n *Node) setHosts(hosts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := hosts != unknownHosts
	if !known || n.maxHosts == unknownHosts || hosts > n.maxHosts {
		n.maxHosts = hosts
		n.table.SetHosts(hosts)
		n.retries.SetHosts(hosts)
	}
}

// Stop ends the host: not ready at once; callers that still come are served
// until they should have gone; then what is under way is finished, up to the
// grace. It returns the number of requests cut off. Calls after the first one
// return the same.
func (n *Node) Stop() int {
	n.stopOnce.Do(func() { n.cut = n.stop() })
	return n.cut
}

func (n *Node) stop() int {
	began := time.Now()
	n.mu.Lock()
	n.stopping = true
	n.front.CloseAfterAnswer(true)
	n.mu.Unlock()
	n.log.Info("stopping", slog.Duration("grace", n.settings.Grace))
	go n.group.Leave()
	time.Sleep(min(stillTaken, n.settings.Grace/2))
	n.server.RefuseNew()
	n.front.CloseIdle()
	end := began.Add(n.settings.Grace - endMargin)
	for n.front.Busy() > 0 && time.Now().Before(end) {
		time.Sleep(endPoll)
	}
	cut := n.front.Busy()
	n.front.Close()
	n.health.Close()
	n.cancel()
	n.endReady()
	n.tasks.Wait()
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("metrics not closed", slog.Any("error", err))
	}
	n.log.Info("ended", slog.Int("requests_cut", cut))
	return cut
}
