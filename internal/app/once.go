package app

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/claim"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// kindForward carries a request to the host that issued its key.
	kindForward = "claim.forward"
	// maxForwards bounds how often one sending is forwarded; the home host
	// runs it once all the same.
	maxForwards = 2
	// forwardRetryAfter is when a caller may ask again for a key whose home
	// did not answer.
	forwardRetryAfter = time.Second
	// outcomeGrace bounds how long a host that stops waits for the outcomes
	// of its runs to be stored.
	outcomeGrace = time.Second
)

// newClaims returns what settles idempotency keys on this host.
func (a *App) newClaims() *claim.Claims {
	if a.deps.Peers != nil {
		a.deps.Peers.Handle(kindForward, a.handleForward)
	}
	return claim.New(claim.Config{
		Store:         a.deps.ClaimStore,
		Peers:         a.deps.Peers,
		Self:          port.Member{ID: a.cfg.Host, Incarnation: uint64(a.deps.Clock.Now().UnixNano())},
		Clock:         a.deps.Clock,
		Random:        rand.Reader,
		ClaimWindow:   a.claimWindow,
		SigningSecret: []byte(a.cfg.SharedKey),
	})
}

// claimWindow returns how long idempotency keys are kept.
func (a *App) claimWindow() time.Duration {
	settings := release.DefaultSettings
	if r := a.Snapshot().Release; r != nil {
		settings = r.Settings
	}
	return time.Duration(settings.ClaimWindowSeconds) * time.Second
}

// IssuedKey is an idempotency key that this host gave out.
type IssuedKey struct {
	Key string `json:"key"`
	// ValidForMs is how long the key can be used.
	ValidForMs int64 `json:"valid_for_ms"`
}

// IssueKey gives the customer an idempotency key of this host, which works
// while the store is away. The error is a *verdict.Error with NotRun.
func (a *App) IssueKey(customer string) (IssuedKey, error) {
	r := a.Snapshot().Release
	if r == nil {
		return IssuedKey{}, verdict.New(verdict.CodeNotReady, verdict.NotRun, "no release is known yet").WithRetryAfter(time.Second)
	}
	if _, ok := r.Customer(customer); !ok {
		return IssuedKey{}, verdict.New(verdict.CodeBadInput, verdict.NotRun, "unknown customer in header Pimentorill-Customer")
	}
	key, err := a.claims.Issue(customer)
	return IssuedKey{Key: key, ValidForMs: a.claimWindow().Milliseconds()}, err
}

// runOnce runs a request whose pipeline has a stage that may not be repeated,
// or answers it from an earlier run of its key.
func (a *App) runOnce(ctx context.Context, answer *RunResponse, in RunRequest, req pipeline.Request) error {
	d, err := a.claims.Begin(ctx, claim.Request{
		Customer: in.Customer, Key: in.Key, Digest: claim.DigestOf(in.Pipeline, in.Input), Deadline: req.Deadline,
	})
	switch {
	case err != nil:
		return err
	case d.Kind == claim.Replay:
		answer.Output = d.Output
		answer.Stages = []pipeline.StageResult{}
		return nil
	case d.Kind == claim.Forward:
		return a.forward(ctx, answer, in, req.Deadline, d.Owner)
	}
	defer d.Execution.Finish(nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "the run broke off"))
	req.BeforeOnce = d.Execution.CheckClaim
	err = a.runPipeline(ctx, answer, req)
	d.Execution.Finish(answer.Output, err)
	return err
}

// forwardMessage is a request on its way to the host that issued its key.
type forwardMessage struct {
	Customer string `cbor:"1,keyasint"`
	Pipeline string `cbor:"2,keyasint"`
	Key      string `cbor:"3,keyasint"`
	Input    []byte `cbor:"4,keyasint"`
	// Left is the time that the request has; a duration, since clocks differ.
	Left time.Duration `cbor:"5,keyasint"`
}

// forwardReply is the home's answer or its refusal.
type forwardReply struct {
	Answer  RunResponse    `cbor:"1,keyasint"`
	Refusal *forwardedFail `cbor:"2,keyasint,omitempty"`
}

// forwardedFail is a verdict.Error between hosts.
type forwardedFail struct {
	Code       verdict.Code  `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Verdict    uint8         `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
}

// forward has the key's home run the request. A home that does not answer is
// asked once more: it runs the key once, and answers both with the same.
func (a *App) forward(ctx context.Context, answer *RunResponse, in RunRequest, deadline time.Time, home string) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var err error
	for range maxForwards {
		var reply forwardReply
		reply, err = a.askHome(ctx, in, deadline, home)
		if err != nil {
			continue
		}
		if f := reply.Refusal; f != nil {
			return verdict.New(f.Code, verdict.Verdict(f.Verdict), f.Message).WithRetryAfter(f.RetryAfter)
		}
		answer.Output, answer.Stages = reply.Answer.Output, reply.Answer.Stages
		answer.Cost, answer.ReleaseVersion = reply.Answer.Cost, reply.Answer.ReleaseVersion
		return nil
	}
	return verdict.Wrap(err, verdict.CodeNotReady, verdict.MayHaveRun, "the host that issued the key did not answer").WithRetryAfter(forwardRetryAfter)
}

func (a *App) askHome(ctx context.Context, in RunRequest, deadline time.Time, home string) (forwardReply, error) {
	var reply forwardReply
	payload, err := cbor.Marshal(forwardMessage{
		Customer: in.Customer, Pipeline: in.Pipeline, Key: in.Key, Input: in.Input, Left: deadline.Sub(a.deps.Clock.Now()),
	})
	if err != nil {
		return reply, errors.Wrap(err, "encode request")
	}
	data, err := a.deps.Peers.Ask(ctx, home, kindForward, payload)
	if err != nil {
		return reply, err
	}
	return reply, cbor.Unmarshal(data, &reply)
}

// handleForward is the home's side of forward.
func (a *App) handleForward(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var m forwardMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	answer, err := a.Run(ctx, RunRequest{Customer: m.Customer, Pipeline: m.Pipeline, Key: m.Key, Input: m.Input, Timeout: max(m.Left, time.Millisecond)})
	reply := forwardReply{Answer: answer}
	if err != nil {
		e := verdict.From(err)
		reply.Refusal = &forwardedFail{Code: e.Code, Message: e.Message, Verdict: uint8(e.Verdict), RetryAfter: e.RetryAfter}
	}
	return cbor.Marshal(reply)
}

// doubtRefusal returns the refusal of a request that was not looked at: if
// this host has run its key before, the key may have run.
func (a *App) doubtRefusal(in RunRequest, err error) error {
	if in.Key == "" || !a.claims.HasRun(in.Customer, in.Key) {
		return err
	}
	return verdict.From(err).WithVerdict(verdict.MayHaveRun)
}
