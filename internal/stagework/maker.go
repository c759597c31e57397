package stagework

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Kinds of requests between hosts.
const (
	kindMake = "stage.make"
	kindFree = "stage.free"
)

const (
	// maxKeepers bounds the hosts that a job is handed to, this one last.
	maxKeepers = 3
	// askFreeTimeout bounds the handing over of results to free.
	askFreeTimeout = time.Second
)

// Peers reaches the other hosts.
type Peers interface {
	// Live returns the hosts that answer, this one among them.
	Live() []string
	Self() string
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	Handle(kind string, fn port.RequestHandler)
}

// Maker has jobs done by the keeper of their service.
type Maker struct {
	peers Peers
	desk  *Desk
	clock port.Clock
	log   *slog.Logger
}

// NewMaker returns a Maker and answers other hosts' requests at the desk.
func NewMaker(peers Peers, desk *Desk, clock port.Clock, log *slog.Logger) *Maker {
	m := &Maker{peers: peers, desk: desk, clock: clock, log: log}
	peers.Handle(kindMake, m.handleMake)
	peers.Handle(kindFree, m.handleFree)
	return m
}

// makeRequest asks a keeper for a job. Times are spans: hosts' clocks differ.
type makeRequest struct {
	Service string        `cbor:"1,keyasint"`
	Job     gather.Job    `cbor:"2,keyasint"`
	DueIn   time.Duration `cbor:"3,keyasint"`
	LastIn  time.Duration `cbor:"4,keyasint"`
}

type makeAnswer struct {
	Handles    []string      `cbor:"1,keyasint,omitempty"`
	Zone       string        `cbor:"2,keyasint,omitempty"`
	Wait       time.Duration `cbor:"3,keyasint,omitempty"`
	Code       verdict.Code  `cbor:"4,keyasint,omitempty"`
	Message    string        `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

type freeRequest struct {
	Service string   `cbor:"1,keyasint"`
	Handles []string `cbor:"2,keyasint"`
}

// Results are a job's results and the host that accounts for them.
type Results struct {
	Made
	Service string
	Keeper  string
}

// Make has a job done. The error is a *verdict.Error with NotRun: pieces may
// be made again.
func (m *Maker) Make(ctx context.Context, service string, j gather.Job) (Results, error) {
	tried := make(map[string]bool)
	for range maxKeepers {
		keeper := m.keeper(service, tried)
		if keeper == m.peers.Self() {
			break
		}
		tried[keeper] = true
		made, err, answered := m.ask(ctx, keeper, service, j)
		if answered {
			return Results{made, service, keeper}, err
		}
		if ctx.Err() != nil {
			return Results{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stage was cancelled")
		}
		m.log.Warn("keeper of the stage did not answer", slog.String("request", j.Request), slog.String("service", service),
			slog.String("host", keeper), slog.Any("error", err))
	}
	made, err := m.desk.Make(ctx, service, j)
	return Results{made, service, m.peers.Self()}, err
}

func (m *Maker) keeper(service string, tried map[string]bool) string {
	var ids []string
	for _, id := range m.peers.Live() {
		if !tried[id] {
			ids = append(ids, id)
		}
	}
	return membership.Rendezvous(ids, "stage/"+service, 1)[0]
}

// ask hands the job to a keeper. answered says that the keeper settled it.
func (m *Maker) ask(ctx context.Context, keeper, service string, j gather.Job) (Made, error, bool) {
	now := m.clock.Now()
	payload, err := cbor.Marshal(makeRequest{service, j, j.Due.Sub(now), j.Last.Sub(now)})
	if err != nil {
		return Made{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "encode job"), true
	}
	call, cancel := context.WithDeadline(ctx, j.Last)
	defer cancel()
	raw, err := m.peers.Ask(call, keeper, kindMake, payload)
	if err != nil {
		if ctx.Err() == nil && call.Err() != nil {
			return Made{}, verdict.New(verdict.CodeDeadline, verdict.NotRun, "stage was not done in time"), true
		}
		return Made{}, err, false
	}
	var a makeAnswer
	if err := cbor.Unmarshal(raw, &a); err != nil {
		return Made{}, err, false
	}
	if a.Code != "" {
		return Made{}, verdict.New(a.Code, verdict.NotRun, a.Message).WithRetryAfter(a.RetryAfter), a.Code != verdict.CodeNotReady
	}
	return Made{a.Handles, a.Zone, a.Wait}, nil, true
}

func (m *Maker) handleMake(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r makeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "job can't be read")
	}
	now := m.clock.Now()
	r.Job.Due, r.Job.Last = now.Add(r.DueIn), now.Add(r.LastIn)
	made, err := m.desk.Make(ctx, r.Service, r.Job)
	answer := makeAnswer{Handles: made.Handles, Zone: made.Zone, Wait: made.Wait}
	if err != nil {
		e := verdict.From(err)
		answer = makeAnswer{Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	return cbor.Marshal(answer)
}

func (m *Maker) handleFree(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r freeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "results can't be read")
	}
	m.desk.Free(r.Service, r.Handles)
	return []byte{1}, nil
}

// Free gives up results at their keeper. It does not wait.
func (m *Maker) Free(r Results) {
	if len(r.Handles) == 0 {
		return
	}
	if r.Keeper == m.peers.Self() {
		m.desk.Free(r.Service, r.Handles)
		return
	}
	go func() {
		payload, err := cbor.Marshal(freeRequest{r.Service, r.Handles})
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), askFreeTimeout)
			defer cancel()
			_, err = m.peers.Ask(ctx, r.Keeper, kindFree, payload)
		}
		if err != nil {
			m.log.Info("results left to lapse", slog.String("service", r.Service), slog.String("host", r.Keeper), slog.Any("error", err))
		}
	}()
}
