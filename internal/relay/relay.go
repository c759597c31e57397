// Package relay has other hosts call the endpoints to which this host has lost its path.
//
// The host that took a request from its caller stays its owner: it chooses endpoints,
// runs the stages, decides on retries and keeps to its own shares of all limits. Only the
// single call to an endpoint goes over another host, its carrier, which sends it on a
// connection of its own. A carrier never passes a call on, so there is one hop at most.
// It sends nothing to an endpoint that its own snapshot does not allow.
//
// Verdicts hold over the hop: a carrier that has not sent a call says so, and another
// one is asked. Once a call has been passed to a carrier, only its word makes it NotRun;
// if the carrier is lost, the call may have run.
//
// The body of a response is read from the carrier piece by piece. The carrier keeps what
// has not been read, up to a limit, and then stops reading from the endpoint, so that a
// slow caller slows the endpoint down. The owner always has a read in progress unless its
// caller is slow; a carrier whose connection to the owner breaks, or that hears nothing of
// it for long, cancels the call. A call that may be repeated goes on elsewhere once its owner
// finds the carrier unreachable, so the carrier cancels it once it finds the owner so.
package relay

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
)

// maxCarriers bounds the hosts that are asked to carry one call.
const maxCarriers = 6

// errNoCarrier means that no other host is known to reach the endpoint.
var errNoCarrier = verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "no other host reaches the endpoint")

// Peers connects to the other hosts. *peering.Group implements it.
type Peers interface {
	// Others returns the ids of the other known hosts that respond.
	Others() []string
	// Ask sends a request to another host and returns its response. The error is a
	// *verdict.Error.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler for requests of a kind.
	Handle(kind string, fn port.RequestHandler)
	// HandleWhileConnected is like Handle, but the context of the handler also ends when
	// the requester's connection closes.
	HandleWhileConnected(kind string, fn port.RequestHandler)
	// WhileReachable returns a context that ends once another host does not respond, or
	// release is called.
	WhileReachable(host string) (ctx context.Context, release func())
}

// Paths knows this host's paths to the endpoints. *health.Monitor implements it.
type Paths interface {
	// PathTo returns the path on which an endpoint should be called.
	PathTo(e *catalog.Endpoint) health.Path
	// Unreachable reports whether an endpoint is unreachable on a path.
	Unreachable(e *catalog.Endpoint, p health.Path) bool
}

// Config holds the dependencies of a Client.
type Config struct {
	Peers Peers
	// Zone is this host's availability zone, and Regions maps each zone to its region.
	Zone    string
	Regions map[string]string
	// Hosts returns the known hosts by id.
	Hosts func() map[string]facts.Host
	// Direct calls endpoints on this host's own connections.
	Direct port.EndpointClient
	Paths  Paths
	// Snapshot returns the newest snapshot, never nil.
	Snapshot func() *facts.Snapshot
	// Rest returns how long an endpoint has asked this host for rest from now on, 0 if it
	// has not. It may be nil.
	Rest func(e *catalog.Endpoint) time.Duration
	// Leaves reports whether an endpoint has said that it leaves: it gets no new work. It may
	// be nil.
	Leaves func(e *catalog.Endpoint) bool
	// Notice returns what this host knows an endpoint to say of itself. It may be nil.
	Notice func(e *catalog.Endpoint) port.EndpointNotice
	// MaxCarried bounds the exchanges that this host carries at once; 0 selects a default.
	MaxCarried int
	Clock      port.Clock
	Log        *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Client is a port.EndpointClient that calls endpoints directly or over other hosts, and
// carries the calls of other hosts. It is safe for concurrent use.
type Client struct {
	cfg      Config
	carriers *carriers
	carried  *carried
	// observer is set by ObserveNotices; nil before.
	observer func(*catalog.Endpoint, port.EndpointNotice)
}

var _ port.EndpointClient = (*Client)(nil)

// New returns a Client and registers its handlers for the calls of other hosts.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, carriers: newCarriers(cfg), carried: newCarried(cfg)}
	cfg.Peers.Handle(kindProbe, c.carried.handleProbe)
	cfg.Peers.HandleWhileConnected(kindForward, c.carried.handleForward)
	cfg.Peers.HandleWhileConnected(kindRead, c.carried.handleRead)
	cfg.Peers.Handle(kindCancel, c.carried.handleCancel)
	cfg.Peers.HandleWhileConnected(kindRunPieces, c.carried.stageCall(c.carried.runPieces))
	cfg.Peers.Handle(kindFreeResults, c.carried.stageCall(c.carried.freeResults))
	return c
}

// Carrying returns the number of exchanges that this host carries for others.
func (c *Client) Carrying() int { return c.carried.count() }

// RefuseNew makes this host carry no further exchanges for others. Those in progress go on.
func (c *Client) RefuseNew() { c.carried.refuseNew() }

// Close cancels the exchanges that this host carries and refuses others.
func (c *Client) Close() { c.carried.close() }

// ObserveAnswers implements port.EndpointClient.
func (c *Client) ObserveAnswers(observe func(*catalog.Endpoint, port.EndpointAnswer)) {
	c.cfg.Direct.ObserveAnswers(observe)
}

// ObserveNotices implements port.EndpointClient.
func (c *Client) ObserveNotices(observe func(*catalog.Endpoint, port.EndpointNotice)) {
	c.observer = observe
	c.cfg.Direct.ObserveNotices(observe)
}

// observe passes on what a carrier knows an endpoint to say of itself. isAnswer is that of
// the response that the carrier got.
func (c *Client) observe(e *catalog.Endpoint, n port.EndpointNotice, isAnswer bool) {
	n.Answer = isAnswer
	if c.observer != nil && n != (port.EndpointNotice{}) {
		c.observer(e, n)
	}
}

// ProbeOverPeers returns nil if the endpoint responds to another host.
func (c *Client) ProbeOverPeers(ctx context.Context, e *catalog.Endpoint) error {
	return c.carriers.find(ctx, e, false, false)
}

// RespondsToPeers reports whether the endpoint responds to another host now.
func (c *Client) RespondsToPeers(ctx context.Context, e *catalog.Endpoint) bool {
	return c.carriers.find(ctx, e, false, true) == nil
}

// Connect implements port.EndpointClient. It connects on the own path only.
func (c *Client) Connect(ctx context.Context, e *catalog.Endpoint) error {
	if c.cfg.Paths.PathTo(e) != health.PathDirect {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no path to the endpoint")
	}
	return c.cfg.Direct.Connect(ctx, e)
}

// Probe implements port.EndpointClient. A probe on a new connection is always direct.
func (c *Client) Probe(ctx context.Context, e *catalog.Endpoint, fresh bool) (port.EndpointReport, error) {
	if fresh || c.cfg.Paths.PathTo(e) == health.PathDirect {
		report, err := c.cfg.Direct.Probe(ctx, e, fresh)
		if err == nil {
			c.carried.recordResponse(e)
		}
		return report, err
	}
	report := port.EndpointReport{FreeBytes: -1}
	err := c.overCarriers(ctx, e, func(host string) error {
		reply, err := c.call(ctx, host, kindProbe, e, probeRequest{Endpoint: refTo(e), Report: true})
		if err == nil {
			report = port.EndpointReport{FreeBytes: reply.FreeBytes, Misdirected: reply.Misdirected}
		}
		return err
	})
	return report, err
}

// RunPieces implements port.EndpointClient.
func (c *Client) RunPieces(ctx context.Context, e *catalog.Endpoint, pieces []port.Piece) ([]port.PieceResult, error) {
	var results []port.PieceResult
	err := c.overEither(ctx, e, func() (err error) {
		results, err = c.cfg.Direct.RunPieces(ctx, e, pieces)
		return err
	}, func(host string) error {
		reply, err := c.call(ctx, host, kindRunPieces, e, stageRequest{Endpoint: refTo(e), Pieces: pieces})
		results = reply.Results
		return err
	})
	return results, err
}

// FreeResults implements port.EndpointClient.
func (c *Client) FreeResults(ctx context.Context, e *catalog.Endpoint, handles []string) error {
	return c.overEither(ctx, e, func() error { return c.cfg.Direct.FreeResults(ctx, e, handles) }, func(host string) error {
		_, err := c.call(ctx, host, kindFreeResults, e, stageRequest{Endpoint: refTo(e), Handles: handles})
		return err
	})
}

// Forward implements port.EndpointClient.
func (c *Client) Forward(ctx context.Context, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
	return c.overEither(ctx, r.Endpoint, func() error {
		return c.cfg.Direct.Forward(ctx, r, func(response *port.EndpointResponse) error {
			c.carried.recordResponse(r.Endpoint)
			return read(response)
		})
	}, func(host string) error { return c.forwardOver(ctx, host, r, read) })
}

// overEither makes a call on the path to the endpoint. A direct call that has not reached
// the endpoint is made over a carrier if the path to it was found lost meanwhile.
func (c *Client) overEither(ctx context.Context, e *catalog.Endpoint, direct func() error, over func(host string) error) error {
	if err := c.cfg.checkSend(e); err != nil {
		return err
	}
	if c.cfg.Paths.PathTo(e) == health.PathDirect {
		err := direct()
		if err == nil || !port.IsNotReached(err) || c.cfg.Paths.PathTo(e) == health.PathDirect {
			return err
		}
	}
	return c.overCarriers(ctx, e, over)
}

// notCarriedError is the error of a call that a carrier has not sent.
type notCarriedError struct{ error }

func (e *notCarriedError) Unwrap() error { return e.error }

// overCarriers makes a call over one carrier after the other until one has sent it. If none
// is left, it looks for others. The error is a *verdict.Error.
func (c *Client) overCarriers(ctx context.Context, e *catalog.Endpoint, over func(host string) error) error {
	tried := make(map[string]bool)
	var last error = errNoCarrier
	for range maxCarriers {
		host, rest := c.carriers.pick(e, tried)
		if host == "" {
			_ = c.carriers.find(ctx, e, true, false)
			host, rest = c.carriers.pick(e, tried)
		}
		if host == "" {
			if rest > 0 {
				return c.restAtAllCarriers(e, rest)
			}
			break
		}
		tried[host] = true
		err := over(host)
		var notCarried *notCarriedError
		refused := errors.As(err, &notCarried)
		failure := verdict.From(err)
		rests := refused && failure.RetryAfter > 0
		c.carriers.done(host, e, !refused || rests, refused && failure.Code == verdict.CodeEndpointFailed)
		c.count("carried_calls_total")
		if !refused {
			return err
		}
		c.cfg.Log.Info("host does not carry a call", slog.String("host", host), slog.String("endpoint", e.ID), slog.Any("error", err))
		last = err
	}
	code := verdict.CodeEndpointFailed
	if verdict.From(last).Code == verdict.CodeNoCapacity {
		code = verdict.CodeNoCapacity // of the carriers, which says nothing about the endpoint
	}
	return verdict.Wrap(&port.NotReachedError{Err: last}, code, verdict.NotRun, "no host carries the call")
}

// restAtAllCarriers has this host rest too, and returns the refusal of a call to an endpoint
// that has asked all carriers for rest.
func (c *Client) restAtAllCarriers(e *catalog.Endpoint, rest time.Duration) error {
	c.observe(e, port.EndpointNotice{Rest: rest}, false)
	cause := &port.NotReachedError{Err: errors.New("endpoint has asked all carriers for rest")}
	return verdict.Wrap(cause, verdict.CodeNoCapacity, verdict.NotRun, "endpoint rests").WithRetryAfter(rest)
}

func (c *Client) count(name string) {
	if c.cfg.Metrics != nil {
		c.cfg.Metrics.Counter(name).Inc(1)
	}
}

// ask sends a request to a carrier and decodes the response into reply. The error is a
// *notCarriedError if the carrier has not got it, else a *verdict.Error with MayHaveRun.
func (c *Client) ask(ctx context.Context, host, kind string, request, reply any) error {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return &notCarriedError{err}
	}
	encoded, err := c.cfg.Peers.Ask(ctx, host, kind, payload)
	if err == nil {
		err = cbor.Unmarshal(encoded, reply)
	}
	switch {
	case err == nil:
		return nil
	case ctx.Err() == nil && verdict.Of(err) == verdict.NotRun:
		return &notCarriedError{err}
	case verdict.Of(err) == verdict.NotRun:
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.NotRun, "call was not passed to another host")
	default:
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "the host that carries the call does not respond")
	}
}

// learn applies what a carrier knows an endpoint to say of itself. A rest is that of the
// carrier, not of this host.
func (c *Client) learn(host string, e *catalog.Endpoint, n port.EndpointNotice, isAnswer bool) {
	if n.Rest > 0 {
		c.carriers.recordRest(host, e, n.Rest)
		n.Rest = 0
	}
	c.observe(e, n, isAnswer)
}

// call makes a call that is no exchange over a carrier, and applies what the carrier knows
// the endpoint to say of itself.
func (c *Client) call(ctx context.Context, host, kind string, e *catalog.Endpoint, request any) (callReply, error) {
	var reply callReply
	if err := c.ask(ctx, host, kind, request, &reply); err != nil {
		return reply, err
	}
	c.learn(host, e, reply.Notice, kind == kindRunPieces && reply.Failure == nil)
	return reply, reply.Failure.error(host)
}

// error returns the error of a carrier's failure, a *notCarriedError if the call was not
// sent; nil for nil.
func (f *failure) error(carrier string) error {
	switch {
	case f == nil:
		return nil
	case f.NotCarried:
		return &notCarriedError{f.decode(carrier)}
	default:
		return f.decode(carrier)
	}
}

// forwardOver forwards an exchange over a carrier.
func (c *Client) forwardOver(ctx context.Context, host string, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
	id := newID()
	body := &carriedBody{ctx: ctx, client: c, host: host, id: id}
	request := encodeForward(id, r)
	if deadline, ok := ctx.Deadline(); ok {
		// Other paths may have been tried before.
		request.Remaining = min(request.Remaining, deadline.Sub(c.cfg.Clock.Now()))
	}
	var p progress
	if err := c.ask(ctx, host, kindForward, request, &p); err != nil {
		if verdict.Of(err) != verdict.NotRun {
			body.cancel()
		}
		return err
	}
	for p.Head == nil && p.Failure == nil {
		var err error
		if p, err = body.fetch(); err != nil {
			return err
		}
	}
	if p.Head == nil {
		c.learn(host, r.Endpoint, p.Notice, false)
		return p.Failure.error(host)
	}
	if !p.Head.isValid() {
		body.cancel()
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "response over host "+host+" has a malformed header")
	}
	response := p.Head.decode(host, body)
	c.learn(host, r.Endpoint, p.Head.Notice, response.NotRun || response.Signed && response.HasAttemptID)
	body.take(p)
	defer body.close()
	return read(response)
}

// newID returns an id that no other exchange has.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// checkSend returns an error if an endpoint has asked this host for rest, or leaves.
func (cfg *Config) checkSend(e *catalog.Endpoint) error {
	if cfg.Leaves != nil && cfg.Leaves(e) {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoint leaves")
	}
	if cfg.Rest == nil {
		return nil
	}
	if rest := cfg.Rest(e); rest > 0 {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoint has asked for rest").WithRetryAfter(rest)
	}
	return nil
}

// notice returns what this host knows an endpoint, which may be nil, to say of itself.
func (cfg *Config) notice(e *catalog.Endpoint) port.EndpointNotice {
	if cfg.Notice == nil || e == nil {
		return port.EndpointNotice{}
	}
	return cfg.Notice(e)
}
