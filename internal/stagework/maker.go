package stagework

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Kinds of requests between hosts.
const (
	kindRun    = "stages.run"
	kindCancel = "stages.cancel"
	kindFree   = "stages.free"
)

const (
	// maxCoordinators bounds the hosts that a plan is handed to, this one last.
	maxCoordinators = 3
	// noticeTimeout bounds the word to a keeper that results or a plan are not
	// wanted any more.
	noticeTimeout = time.Second
)

// Peers reaches the other hosts.
type Peers interface {
	// Candidates returns the hosts that answer, this one among them, in the order in
	// which they are to be the keeper.
	Candidates() []string
	Self() string
	// ShuttingDown reports whether this host is about to end.
	ShuttingDown() bool
	// ClaimCoordination has the others stay with this host as their keeper.
	ClaimCoordination()
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	Handle(kind string, fn port.RequestHandler)
}

// Dispatcher has plans done by their keeper.
type Dispatcher struct {
	peers     Peers
	scheduler *Scheduler
	clock     port.Clock
	log       *slog.Logger

	mu sync.Mutex
	// running holds the plans of other hosts.
	running map[string]context.CancelFunc
}

// NewDispatcher returns a Maker and answers other hosts' requests at the desk.
func NewDispatcher(peers Peers, desk *Scheduler, clock port.Clock, log *slog.Logger) *Dispatcher {
	m := &Dispatcher{peers: peers, scheduler: desk, clock: clock, log: log, running: make(map[string]context.CancelFunc)}
	peers.Handle(kindRun, m.handleRun)
	peers.Handle(kindCancel, m.handleCancel)
	peers.Handle(kindFree, m.handleFree)
	return m
}

// runRequest asks a keeper for a plan. Times are spans: hosts' clocks differ.
type runRequest struct {
	Plan           Plan          `cbor:"1,keyasint"`
	SoftDeadlineIn time.Duration `cbor:"2,keyasint"`
	HardDeadlineIn time.Duration `cbor:"3,keyasint"`
}

type runReply struct {
	Results    Results       `cbor:"1,keyasint"`
	Code       verdict.Code  `cbor:"2,keyasint,omitempty"`
	Message    string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

type freeRequest struct {
	Handles []string `cbor:"1,keyasint"`
}

// Execute has a plan done. The error is a *verdict.Error with NotRun: pieces may
// be made again.
func (m *Dispatcher) Execute(ctx context.Context, p *Plan) (Results, error) {
	tried := make(map[string]bool)
	for range maxCoordinators {
		keeper := m.coordinator(tried)
		if tried[keeper] {
			break
		}
		tried[keeper] = true
		results, err, settled := m.executeAt(ctx, keeper, p)
		if settled {
			return results, err
		}
		if ctx.Err() != nil {
			return Results{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stages were cancelled")
		}
		p.HandedOver = p.HandedOver || verdict.From(err).Code == verdict.CodeNotReady
		m.log.Warn("keeper of the stages did not settle a plan", slog.String("request", p.Request), slog.String("host", keeper),
			slog.Bool("handed_over", p.HandedOver), slog.Any("error", err))
	}
	return m.scheduler.Execute(ctx, p)
}

// at has the plan done by a keeper, which may be this host. settled says that no
// other one should be asked.
func (m *Dispatcher) executeAt(ctx context.Context, keeper string, p *Plan) (results Results, err error, settled bool) {
	if keeper != m.peers.Self() {
		return m.executeRemotely(ctx, keeper, p)
	}
	results, err = m.scheduler.Execute(ctx, p)
	return results, err, !errors.Is(err, errHandedOver)
}

// keeper returns the host that gathers pieces: the first in their order that was not tried.
func (m *Dispatcher) coordinator(tried map[string]bool) string {
	for _, id := range m.peers.Candidates() {
		if !tried[id] {
			return id
		}
	}
	return m.peers.Self()
}

// ask hands the plan to a keeper. answered says that the keeper settled it.
func (m *Dispatcher) executeRemotely(ctx context.Context, keeper string, p *Plan) (results Results, err error, answered bool) {
	now := m.clock.Now()
	payload, err := cbor.Marshal(runRequest{*p, p.SoftDeadline.Sub(now), p.HardDeadline.Sub(now)})
	if err != nil {
		return Results{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "encode plan"), true
	}
	call, cancel := context.WithDeadline(ctx, p.HardDeadline)
	defer cancel()
	raw, err := m.peers.Ask(call, keeper, kindRun, payload)
	if err != nil {
		if call.Err() != nil {
			m.notify(keeper, kindCancel, []byte(p.Request))
		}
		if ctx.Err() == nil && call.Err() != nil {
			return Results{}, verdict.New(verdict.CodeDeadline, verdict.NotRun, "stages were not done in time"), true
		}
		return Results{}, err, false
	}
	var a runReply
	if err := cbor.Unmarshal(raw, &a); err != nil {
		return Results{}, err, false
	}
	if a.Code != "" {
		return Results{}, verdict.New(a.Code, verdict.NotRun, a.Message).WithRetryAfter(a.RetryAfter), a.Code != verdict.CodeNotReady
	}
	return a.Results, nil, true
}

func (m *Dispatcher) handleRun(parent context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r runRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "plan can't be read")
	}
	if m.peers.ShuttingDown() && !r.Plan.HandedOver {
		// The asking host may not know yet, if the store is away.
		return cbor.Marshal(runReply{Code: errHandedOver.Code, Message: errHandedOver.Message})
	}
	now := m.clock.Now()
	r.Plan.SoftDeadline, r.Plan.HardDeadline = now.Add(r.SoftDeadlineIn), now.Add(r.HardDeadlineIn)
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	m.mu.Lock()
	m.running[r.Plan.Request] = cancel
	m.mu.Unlock()
	results, err := m.scheduler.Execute(ctx, &r.Plan)
	m.mu.Lock()
	delete(m.running, r.Plan.Request)
	m.mu.Unlock()
	answer := runReply{Results: results}
	if err != nil {
		e := verdict.From(err)
		answer = runReply{Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	return cbor.Marshal(answer)
}

func (m *Dispatcher) handleCancel(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel := m.running[string(payload)]; cancel != nil {
		cancel()
	}
	return []byte{1}, nil
}

func (m *Dispatcher) handleFree(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r freeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "results can't be read")
	}
	m.scheduler.Free(r.Handles)
	return []byte{1}, nil
}

// Free gives up results at their keeper. It does not wait.
func (m *Dispatcher) Free(r Results) {
	if len(r.Handles) == 0 {
		return
	}
	if r.Coordinator == m.peers.Self() {
		m.scheduler.Free(r.Handles)
		return
	}
	payload, err := cbor.Marshal(freeRequest{r.Handles})
	if err != nil {
		m.log.Error("results left to lapse", slog.Any("error", err))
		return
	}
	m.notify(r.Coordinator, kindFree, payload)
}

// tell sends a notice to a keeper without waiting for its answer.
func (m *Dispatcher) notify(keeper, kind string, payload []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if _, err := m.peers.Ask(ctx, keeper, kind, payload); err != nil {
			m.log.Info("notice to the keeper of the stages lost", slog.String("kind", kind), slog.String("host", keeper), slog.Any("error", err))
		}
	}()
}
