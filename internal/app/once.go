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
	// kindForward is the kind of the message that forwards a request to the host
	// that issued its key.
	kindForward = "claim.forward"
	// maxForwardAttempts bounds how often one request is forwarded. The issuer
	// runs it at most once, however often it arrives.
	maxForwardAttempts = 2
	// forwardRetryAfter is when a caller may retry a key whose issuer did not
	// respond.
	forwardRetryAfter = time.Second
	// outcomeFlushTimeout bounds how long a stopping host waits until the
	// outcomes of its runs are stored.
	outcomeFlushTimeout = time.Second
)

// newClaims returns this host's Claims and registers the handler of forwarded
// requests.
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

// IssuedKey is an idempotency key that this host issued.
type IssuedKey struct {
	Key string `json:"key"`
	// ValidForMs is how long the key can be used, in milliseconds.
	ValidForMs int64 `json:"valid_for_ms"`
}

// IssueKey issues an idempotency key to the customer. Requests with the key run
// also while the store is unavailable. The error is a *verdict.Error with NotRun.
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

// runAtMostOnce runs a request whose pipeline has an at-most-once stage, answers
// it with the outcome of an earlier run of its key, or forwards it to the host
// that issued the key.
func (a *App) runAtMostOnce(ctx context.Context, answer *RunResponse, in RunRequest, req pipeline.Request) error {
	decision, err := a.claims.Begin(ctx, claim.Request{
		Customer: in.Customer, Key: in.Key, Digest: claim.DigestOf(in.Pipeline, in.Input), Deadline: req.Deadline,
	})
	switch {
	case err != nil:
		return err
	case decision.Kind == claim.Replay:
		answer.Output = decision.Output
		answer.Stages = []pipeline.StageResult{}
		return nil
	case decision.Kind == claim.Forward:
		return a.forward(ctx, answer, in, req.Deadline, decision.Owner)
	}
	defer decision.Execution.Finish(nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "the run broke off"))
	req.BeforeAtMostOnceStage = decision.Execution.CheckClaim
	err = a.runPipeline(ctx, answer, req)
	decision.Execution.Finish(answer.Output, err)
	return err
}

// forwardRequest is a request as forwarded to the host that issued its key.
type forwardRequest struct {
	Customer string `cbor:"1,keyasint"`
	Pipeline string `cbor:"2,keyasint"`
	Key      string `cbor:"3,keyasint"`
	Input    []byte `cbor:"4,keyasint"`
	// Remaining is the time until the request's deadline. It is a duration
	// because the hosts' clocks differ.
	Remaining time.Duration `cbor:"5,keyasint"`
}

// forwardReply is the issuer's answer or error.
type forwardReply struct {
	Answer  RunResponse     `cbor:"1,keyasint"`
	Refusal *forwardedError `cbor:"2,keyasint,omitempty"`
}

// forwardedError is a verdict.Error as sent between hosts.
type forwardedError struct {
	Code       verdict.Code  `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Verdict    uint8         `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
}

// forward forwards the request to the host that issued its key. If that host does
// not respond, the request is sent once more: the issuer runs the key once and
// answers both messages with the same outcome.
func (a *App) forward(ctx context.Context, answer *RunResponse, in RunRequest, deadline time.Time, issuer string) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var err error
	for range maxForwardAttempts {
		var reply forwardReply
		reply, err = a.sendForward(ctx, in, deadline, issuer)
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

func (a *App) sendForward(ctx context.Context, in RunRequest, deadline time.Time, issuer string) (forwardReply, error) {
	var reply forwardReply
	payload, err := cbor.Marshal(forwardRequest{
		Customer: in.Customer, Pipeline: in.Pipeline, Key: in.Key, Input: in.Input, Remaining: deadline.Sub(a.deps.Clock.Now()),
	})
	if err != nil {
		return reply, errors.Wrap(err, "encode request")
	}
	data, err := a.deps.Peers.Ask(ctx, issuer, kindForward, payload)
	if err != nil {
		return reply, err
	}
	return reply, cbor.Unmarshal(data, &reply)
}

// handleForward runs a request that another host forwarded to this one as the
// issuer of its key.
func (a *App) handleForward(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var request forwardRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	answer, err := a.Run(ctx, RunRequest{Customer: request.Customer, Pipeline: request.Pipeline, Key: request.Key, Input: request.Input, Timeout: max(request.Remaining, time.Millisecond)})
	reply := forwardReply{Answer: answer}
	if err != nil {
		e := verdict.From(err)
		reply.Refusal = &forwardedError{Code: e.Code, Message: e.Message, Verdict: uint8(e.Verdict), RetryAfter: e.RetryAfter}
	}
	return cbor.Marshal(reply)
}

// refusalWithVerdict returns err, the refusal of a request that was not examined,
// with the verdict MayHaveRun if this host knows of a run of its key.
func (a *App) refusalWithVerdict(in RunRequest, err error) error {
	if in.Key == "" || !a.claims.HoldsRun(in.Customer, in.Key) {
		return err
	}
	return verdict.From(err).WithVerdict(verdict.MayHaveRun)
}
