package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/advisory"
	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

// scriptedHost is a host with the endpoints of a soak whose responses a test scripts.
type scriptedHost struct {
	*soak
	budgets  *quota.RetryBudgets
	balancer *balance.Balancer
	// forward replaces the soak's Forward. n counts the calls from 1.
	forward func(ctx context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error
	calls   int
	// probe replaces the soak's Probe unless it is nil. n counts the calls from 1.
	probe  func(ctx context.Context, n int) error
	probes int
	// prompt is that of the requests.
	prompt []port.PromptPart
	// runPieces replaces the soak's RunPieces; the endpoint "p0" of the service "prep" is
	// the only one of stages.
	runPieces func(pieces []port.Piece) []port.PieceResult
	// stageCalls counts the stage calls, freed the results freed.
	stageCalls, freed int
	dispatcher        *stagework.Dispatcher
}

// Probe implements port.EndpointClient.
func (h *scriptedHost) Connect(ctx context.Context, e *catalog.Endpoint) error {
	_, err := h.Probe(ctx, e, true)
	return err
}

func (h *scriptedHost) Probe(ctx context.Context, e *catalog.Endpoint, fresh bool) (port.EndpointReport, error) {
	if e.Service == "prep" {
		return port.EndpointReport{FreeBytes: -1}, nil
	}
	if h.probe != nil {
		h.mu.Lock()
		h.probes++
		n := h.probes
		h.mu.Unlock()
		return port.EndpointReport{FreeBytes: -1}, h.probe(ctx, n)
	}
	return h.soak.Probe(ctx, e, fresh)
}

// RunPieces implements port.EndpointClient.
func (h *scriptedHost) RunPieces(ctx context.Context, _ *catalog.Endpoint, pieces []port.Piece) ([]port.PieceResult, error) {
	h.mu.Lock()
	h.stageCalls++
	h.mu.Unlock()
	port.Sleep(ctx, 50*time.Millisecond)
	return h.runPieces(pieces), nil
}

// FreeResults implements port.EndpointClient.
func (h *scriptedHost) FreeResults(_ context.Context, _ *catalog.Endpoint, handles []string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freed += len(handles)
	return nil
}

// prep returns the stage service and its endpoint.
func prep(string) (*catalog.Service, []*catalog.Endpoint) {
	return &catalog.Service{Name: "prep", StageLimits: &catalog.StageLimits{MaxConcurrentCalls: 4, MaxBatch: 4, CallOverhead: 40 * time.Millisecond, TimePerPiece: 5 * time.Millisecond,
		ResultCapacityBytes: 1 << 30, ResultTTL: 30 * time.Second}}, []*catalog.Endpoint{{ID: "p0", Service: "prep", Zone: "kranj"}}
}

// made returns a result for each piece.
func made(pieces []port.Piece) []port.PieceResult {
	results := make([]port.PieceResult, len(pieces))
	for i, p := range pieces {
		results[i].Handle = fmt.Sprintf("p0/%s-%d-%d-%d", p.Request, p.Stage, p.Index, time.Now().UnixNano())
	}
	return results
}

// Forward implements port.EndpointClient.
func (h *scriptedHost) Forward(ctx context.Context, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
	h.mu.Lock()
	h.calls++
	n := h.calls
	h.mu.Unlock()
	return h.forward(ctx, n, r, read)
}

// newScriptedHost returns a host with a single route, "/x/", which adjust changes.
func newScriptedHost(endpoints int, budget quota.RetryLimit, source rand.Source, adjust func(*catalog.Route)) *scriptedHost {
	h := &scriptedHost{soak: newSoak(0)}
	for i := endpoints; i < soakEndpoints; i++ {
		delete(h.endpoints, fmt.Sprint("e", i))
	}
	log, clock := slog.New(slog.DiscardHandler), port.SystemClock{}
	limits := ratelimit.New("edge-0", 1, clock, log)
	advisories := advisory.New("edge-0", 1, clock, log)
	h.budgets = quota.NewRetryBudgets(budget, clock)
	h.balancer = balance.New("edge-0", "kranj", clock, rand.New(source), balance.ColdSendLimit{Overrun: 1}, limits, advisories)
	h.dispatcher = stagework.NewDispatcher(stagework.Config{Peers: none{}, Zone: "kranj", Endpoints: h, Health: h.monitor, RateLimits: limits, Advisories: advisories, LookupService: prep,
		StageEndpoints: func() []*catalog.Endpoint { _, e := prep(""); return e }, Overloaded: func() bool { return false }, Clock: clock, Log: log})
	h.server = New(Config{Snapshot: h.current, Balancer: h.balancer, RetryBudgets: h.budgets, RateLimits: limits, Endpoints: h, Health: h.monitor, Origins: h.origins,
		Stages:  h.dispatcher,
		Crashes: h.crashes, Clock: clock, Rand: rand.New(rand.NewPCG(1, 3)), Log: log})
	route := &catalog.Route{Name: "x", Prefix: "/x/", Host: "api.example", Public: true, Kind: catalog.Idempotent, MaxAttempts: 3, Timeout: 20 * time.Second,
		TargetLatency: 150 * time.Millisecond, TargetEventGap: 400 * time.Millisecond, TrafficSplit: []catalog.WeightedService{{Service: "pool", Weight: 1}}}
	adjust(route)
	h.config = &catalog.Config{Services: map[string]*catalog.Service{"pool": {Name: "pool", MaxConnections: 100}}, Routes: []*catalog.Route{route}}
	h.config.BuildIndexes()
	h.publish()
	return h
}

// ample is a budget that is never used up.
var ample = quota.RetryLimit{Slack: 1000, Window: 10 * time.Second}

// exchange sends a request and returns what the caller got and after which time.
func (h *scriptedHost) exchange(out port.Responder) time.Duration {
	start := time.Now()
	h.server.Exchange(context.Background(), &port.Exchange{ID: "r1", Method: "POST", Host: "api.example", Path: "/x/1", Target: "/x/1", ReceivedAt: start, PieceCounts: []int{2}, PieceKey: "k", Prompt: h.prompt}, out)
	return time.Since(start)
}

// brokenOff is the error of an attempt that an endpoint may have run.
func brokenOff(err error) error {
	return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint broke off")
}

// silent is an endpoint that sends nothing until the attempt ends.
func silent(ctx context.Context) error {
	<-ctx.Done()
	return brokenOff(ctx.Err())
}

// whole passes on a complete response.
func whole(read func(*port.EndpointResponse) error) error {
	return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: strings.NewReader("whole")})
}

// refusal passes on that the endpoint did not run the request.
func refusal(read func(*port.EndpointResponse) error) error {
	return read(&port.EndpointResponse{Status: 503, NotRun: true, Body: strings.NewReader("")})
}
