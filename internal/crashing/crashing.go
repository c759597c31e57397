// Package crashing keeps requests that crash endpoints from reaching more of them. Each
// host enters what its own requests show into a ledger (core/poison), hosts tell each
// other the evidence, and each refuses by itself what its ledger blames. The store holds
// an entry for each blame, for hosts that start later; without it all else goes on.
package crashing

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// refusalRetry is the retry-after time of refused requests. A caller that comes back
	// within it is refused again, unless a response or an operator has cleared the
	// request meanwhile.
	refusalRetry = 30 * time.Second
	// neighbors is the number of other hosts to which a host sends news.
	neighbors = 4
	// batchDelay is the time in which news are gathered for one message: the requests at
	// an endpoint end together.
	batchDelay = 50 * time.Millisecond
	// exchangeInterval is the time between two exchanges of all evidence with one of the
	// neighbors, for news that were lost.
	exchangeInterval = time.Second
	// witnessTimeout bounds the search for a host to which an endpoint responds after it
	// broke a connection. An endpoint that has crashed refuses connections or is silent.
	witnessTimeout = 300 * time.Millisecond
	// messageTimeout bounds a message to another host.
	messageTimeout = 400 * time.Millisecond

	// kindEvidence is the kind of peer requests that carry a message; the response is
	// one too.
	kindEvidence = "crash.evidence"
)

// Peers connects to the other hosts. *peering.Group implements it.
type Peers interface {
	// Candidates returns the ids of the candidates for the coordinator in order of
	// preference.
	Candidates() []string
	// Others returns the ids of the other known hosts that respond.
	Others() []string
	// Self returns this host's id.
	Self() string
	// Ask sends a request to another host and returns its response.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler for requests of a kind.
	Handle(kind string, fn port.RequestHandler)
}

// Config holds the dependencies of a Guard.
type Config struct {
	Peers Peers
	Store port.WatchableStore
	// KeyPrefix is the prefix of pimentorill's own keys in the store.
	KeyPrefix string
	// Snapshot returns the newest snapshot, never nil.
	Snapshot func() *facts.Snapshot
	// Responds reports whether an endpoint responds to any host. A connection to one that
	// does was not broken by a crash. It may be nil: then any broken connection was.
	Responds func(ctx context.Context, e *catalog.Endpoint) bool
	// ProbeSilent starts to probe an endpoint that is silent. Then EndpointUnreachable or
	// EndpointResponded is called. It may be nil.
	ProbeSilent func(e *catalog.Endpoint)
	// Reaches reports whether another endpoint than e responds to this host. If none does, the
	// silence of e says nothing about requests. It may be nil: then another one does.
	Reaches func(ctx context.Context, e *catalog.Endpoint) bool
	Clock   port.Clock
	Log     *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Guard refuses requests that crash endpoints. It is safe for concurrent use.
type Guard struct {
	cfg    Config
	ledger *poison.Ledger
	// changed holds an item while the ledger has news.
	changed chan struct{}
	entries entries
	open    openAttempts
}

// message carries evidence between hosts.
type message struct {
	Reports []poison.Report `cbor:"1,keyasint,omitempty"`
	// All asks for all evidence in the response, not only for news.
	All   bool                 `cbor:"2,keyasint,omitempty"`
	Alive []poison.AliveReport `cbor:"3,keyasint,omitempty"`
}

// New returns a Guard without evidence and registers its handler for the messages of
// other hosts with cfg.Peers. Run spreads evidence.
func New(cfg Config) *Guard {
	g := &Guard{cfg: cfg, changed: make(chan struct{}, 1), entries: newEntries(), open: newOpenAttempts()}
	g.ledger = poison.New(poison.Config{Host: cfg.Peers.Self(), Clock: cfg.Clock, Log: cfg.Log, OnChange: func() {
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}})
	cfg.Peers.Handle(kindEvidence, g.handleMessage)
	return g
}

// Check returns a *verdict.Error with CodeQuarantined and NotRun if the request is not to
// be sent to an endpoint, nil otherwise. Call it before each attempt: what the ledger
// blames changes while requests wait.
func (g *Guard) Check(r *poison.Request) error {
	return g.refusal(g.ledger.BlamedRequest(r))
}

// CheckTrait is Check for the pieces of a request of which only the trait of the whole is known.
func (g *Guard) CheckTrait(t poison.Trait) error {
	return g.refusal(g.ledger.Blamed([]poison.Trait{t}))
}

// refusal returns the error for a blame, nil if there is none.
func (g *Guard) refusal(blame poison.Blame, blamed bool) error {
	if !blamed {
		return nil
	}
	g.count("crash_refusals_total")
	return verdict.Wrap(errors.Errorf("%s crashed %d endpoints", blame.Trait, blame.Crashes), verdict.CodeQuarantined, verdict.NotRun,
		"requests like this one crash endpoints").WithRetryAfter(refusalRetry)
}

// ReportResponse records that an endpoint of the service sent a whole successful response
// to the request.
func (g *Guard) ReportResponse(r *poison.Request, service string) {
	g.ledger.Responded(service, r)
}

// ReportPieces records that all pieces of a request, of which only the trait of the whole is
// known, were made by endpoints of the services.
func (g *Guard) ReportPieces(t poison.Trait, services []string) {
	for _, service := range services {
		g.ledger.Completed(service, []poison.Trait{t})
	}
}

// Suspicion returns how much speaks against a request of which only the trait of the whole is
// known.
func (g *Guard) Suspicion(t poison.Trait) poison.Suspicion { return g.ledger.Suspicion(t) }

// evidence returns the message with the evidence of this host, with fresh only what is new.
func (g *Guard) evidence(fresh bool) message {
	return message{Reports: g.ledger.Reports(fresh), Alive: g.ledger.AliveReports(fresh)}
}

// Run watches the endpoints, spreads evidence and records blames in the store until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker, watch := time.NewTicker(exchangeInterval), time.NewTicker(watchInterval)
	defer ticker.Stop()
	defer watch.Stop()
	joined := false
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-watch.C:
			g.watchAttempts()
			continue
		case <-g.changed:
			port.Sleep(ctx, batchDelay)
			g.spread(ctx, g.evidence(true), g.neighbors())
		case <-ticker.C:
			round++
			m := g.evidence(false)
			m.All = true
			near := g.neighbors()
			if len(near) > 0 && (len(m.Reports) > 0 || len(m.Alive) > 0 || !joined) {
				// A host that has just started asks for what the others know.
				joined = true
				g.spread(ctx, m, near[round%len(near):][:1])
			}
		}
		g.recordBlames(ctx)
	}
}

// neighbors returns the other hosts to which this one sends news: the same ones as long
// as they respond, so that few connections are in use.
func (g *Guard) neighbors() []string {
	return membership.SelectByRendezvous(g.cfg.Peers.Others(), g.cfg.Peers.Self(), neighbors)
}

// spread sends a message to hosts and merges their responses, without waiting for them.
func (g *Guard) spread(ctx context.Context, m message, hosts []string) {
	if len(m.Reports) == 0 && len(m.Alive) == 0 && !m.All {
		return
	}
	payload, err := cbor.Marshal(m)
	if err != nil {
		g.cfg.Log.Error("evidence of crashes can't be encoded", slog.Any("error", err))
		return
	}
	for _, host := range hosts {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, messageTimeout)
			defer cancel()
			if response, err := g.cfg.Peers.Ask(ctx, host, kindEvidence, payload); err == nil {
				_, _ = g.merge(response)
			}
		}()
	}
}

// merge adds the evidence in a message of another host to the ledger.
func (g *Guard) merge(payload []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return m, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "evidence of crashes can't be read")
	}
	g.ledger.MergeAlive(m.Alive)
	g.ledger.Merge(m.Reports)
	return m, nil
}

func (g *Guard) handleMessage(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	m, err := g.merge(payload)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(g.evidence(!m.All))
}

func (g *Guard) count(name string) {
	if g.cfg.Metrics != nil {
		g.cfg.Metrics.Counter(name).Inc(1)
	}
}
