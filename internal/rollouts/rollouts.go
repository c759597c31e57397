// Package rollouts moves the traffic of services to the versions that the operator orders.
// Each host takes part in every roll-out by itself (core/rollout), reports its counts to the
// first two hosts in rank, which judge and grant the steps, and one of these writes the status
// to the store.
package rollouts

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/rollout"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Defaults are the bounds where the settings name none.
var Defaults = rollout.Bounds{Share: 0.05, Slack: 0, Rollback: 5 * time.Second}

// Codec translates the platform's keys and values of roll-outs.
type Codec interface {
	// OrderName and StatusName return the service of the key of an order or a status, and
	// report whether it is such a key.
	OrderName(key string) (service string, ok bool)
	StatusName(key string) (service string, ok bool)
	// StatusKey returns the key of a service's status.
	StatusKey(service string) string
	// DecodeOrder returns the order for a service.
	DecodeOrder(service string, raw []byte) (rollout.Order, error)
	EncodeStatus(rollout.Status) ([]byte, error)
	// DecodeStatus returns the zero Status for one that can't be decoded.
	DecodeStatus(raw []byte) rollout.Status
}

// Peers connects to the other hosts. *peering.Group implements it.
type Peers interface {
	// Candidates returns the ids of the hosts that respond, this one included, in an order
	// on which hosts with the same knowledge agree.
	Candidates() []string
	// Self returns this host's id.
	Self() string
	// Ask sends a request to another host and returns its response.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler for requests of a kind.
	Handle(kind string, fn port.RequestHandler)
}

// Config holds the dependencies of a Guard.
type Config struct {
	Peers  Peers
	Store  port.WatchableStore
	Codec  Codec
	Bounds rollout.Bounds
	// Incarnation is the start of this host's process.
	Incarnation int64
	// Snapshot returns the newest snapshot, never nil.
	Snapshot func() *facts.Snapshot
	Clock    port.Clock
	Log      *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Guard takes part in the roll-outs. It is safe for concurrent use; a nil Guard knows none.
type Guard struct {
	cfg Config
	// active holds the services of which a version is ordered or kept out, by name; nil
	// without any.
	active atomic.Pointer[map[string]*service]

	mu       sync.Mutex
	services map[string]*service
	// observed is set once a state of the store was observed.
	observed bool
}

// New returns a Guard and registers its handler with cfg.Peers. Run reports and collects.
func New(cfg Config) *Guard {
	if cfg.Bounds.Share <= 0 {
		cfg.Bounds.Share = Defaults.Share
	}
	if cfg.Bounds.Rollback <= 0 {
		cfg.Bounds.Rollback = Defaults.Rollback
	}
	g := &Guard{cfg: cfg, services: make(map[string]*service)}
	cfg.Peers.Handle(kindReport, g.handleReport)
	return g
}

// lookup returns what is known of a service, nil if there is nothing.
func (g *Guard) lookup(name string) *service {
	if g == nil {
		return nil
	}
	active := g.active.Load()
	if active == nil {
		return nil
	}
	return (*active)[name]
}

// Eligible returns those of the service's endpoints to which an exchange may go next. free
// reports whether one of some endpoints takes a request now.
func (g *Guard) Eligible(c *rollout.Choice, name string, endpoints []*catalog.Endpoint, free func([]*catalog.Endpoint) bool) []*catalog.Endpoint {
	s := g.lookup(name)
	if s == nil {
		return endpoints
	}
	endpoints = s.without(endpoints)
	if s.participant == nil {
		return endpoints
	}
	return s.participant.Eligible(c, endpoints, rand.Float64(), free)
}

// End records how an attempt of an exchange at an endpoint ended.
func (g *Guard) End(c *rollout.Choice, e *catalog.Endpoint, a rollout.Answer) {
	if s := g.lookup(e.Service); s != nil {
		c.End(e, a, g.warmUp(e.Service))
	}
}

func (g *Guard) warmUp(name string) time.Duration {
	if config := g.cfg.Snapshot().Config; config != nil && config.Services[name] != nil {
		return config.Services[name].WarmUpTime
	}
	return 0
}

// Offered returns those of a stage service's endpoints to which calls may go now.
func (g *Guard) Offered(name string, endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	s := g.lookup(name)
	if s == nil {
		return endpoints
	}
	endpoints = s.without(endpoints)
	if s.participant == nil {
		return endpoints
	}
	return s.participant.Offered(endpoints, rand.Float64())
}

// StageClient is an EndpointClient whose stage calls take part in the roll-outs.
type StageClient struct {
	port.EndpointClient
	Guard *Guard
}

// RunPieces implements port.EndpointClient.
func (c StageClient) RunPieces(ctx context.Context, e *catalog.Endpoint, pieces []port.Piece) ([]port.PieceResult, error) {
	s := c.Guard.lookup(e.Service)
	if s == nil || s.participant == nil {
		return c.EndpointClient.RunPieces(ctx, e, pieces)
	}
	choice := s.participant.ChooseOffered(e)
	defer choice.Release()
	choice.Begin(e)
	startedAt := c.Guard.cfg.Clock.Now()
	results, err := c.EndpointClient.RunPieces(ctx, e, pieces)
	a := rollout.Answer{Time: c.Guard.cfg.Clock.Now().Sub(startedAt) / time.Duration(max(1, len(pieces))), Failed: err != nil}
	a.Ignored = err != nil && (ctx.Err() != nil || isRefusal(err))
	choice.End(e, a, c.Guard.warmUp(e.Service))
	return results, err
}
