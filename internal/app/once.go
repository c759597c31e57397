package app

import (
	"context"
	"crypto/rand"
	"log/slog"
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
	// maxForwardAttempts bounds how often one request is sent to the issuer of its
	// key. The issuer runs it at most once, however often it arrives.
	maxForwardAttempts = 2
	// forwardRetryAfter is the retry delay sent to callers whose key's issuer did
	// not respond.
	forwardRetryAfter = time.Second
	// outcomeFlushTimeout bounds how long a stopping host waits until the
	// outcomes of its runs with an idempotency key are stored.
	outcomeFlushTimeout = time.Second
)

// newClaims returns this host's Claims and registers the handler of forwarded
// requests, so it must be called before the peers are started.
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
		Restored:      a.reportRestore,
	})
}

// reportRestore logs and counts that this host has got over a restore of the store.
func (a *App) reportRestore(r claim.Restore) {
	a.deps.Log.Warn("claims are back after a restore of the store", slog.Int64("epoch", r.Epoch), slog.Int64("former_epoch", r.FormerEpoch),
		slog.Int("claims", r.Claims), slog.Int64("took_ms", r.Duration.Milliseconds()), slog.Any("hosts_given_up", r.Missing))
	a.deps.Metrics.Counter("store_restores_total").Inc(1)
	a.deps.Metrics.Counter("claims_written_again_total").Inc(int64(r.Claims))
}

// claimWindow returns how long after its creation a key with a timestamp may be
// used, according to the release in force, or the default if none is known.
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
	// ValidForMs is how long the key can be used after it was issued, in
	// milliseconds.
	ValidForMs int64 `json:"valid_for_ms"`
}

// IssueKey issues an idempotency key to the customer. Requests with the key run
// even while the store is unavailable, but only on this host, until it stops. The
// error is a *verdict.Error with NotRun.
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

// runAtMostOnce runs a request whose pipeline has an at-most-once stage, responds
// with the outcome of an earlier run of its key, or forwards it to the host that
// issued the key.
func (a *App) runAtMostOnce(ctx context.Context, response *RunResponse, in RunRequest, req pipeline.Request) error {
	decision, err := a.claims.Begin(ctx, claim.Request{
		Customer: in.Customer, Key: in.Key, Digest: claim.DigestOf(in.Pipeline, in.Input), Deadline: req.Deadline,
	})
	switch {
	case err != nil:
		return err
	case decision.Kind == claim.Replay:
		response.Output = decision.Output
		response.Stages = []pipeline.StageResult{}
		return nil
	case decision.Kind == claim.Forward:
		return a.forward(ctx, response, in, req.Deadline, decision.Owner)
	}
	// Finish has an effect only once, so this call records an outcome only if
	// runPipeline panics.
	defer decision.Execution.Finish(nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "the run broke off"))
	req.BeforeAtMostOnceStage = decision.Execution.CheckClaim
	err = a.runPipeline(ctx, response, req)
	decision.Execution.Finish(response.Output, err)
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

// forwardReply is the issuer's response to a forwarded request. Error is nil if the
// request succeeded; it holds any failure, before or after the run started.
type forwardReply struct {
	Response RunResponse     `cbor:"1,keyasint"`
	Error    *forwardedError `cbor:"2,keyasint,omitempty"`
}

// forwardedError is a verdict.Error, without its cause, as sent between hosts.
type forwardedError struct {
	Code       verdict.Code  `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Verdict    uint8         `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
}

// forward forwards the request to the host that issued its key and fills in the
// response. If that host does not respond, the request is sent once more, which is
// safe because the issuer runs it at most once and replies to both messages with
// the outcome of that run.
func (a *App) forward(ctx context.Context, response *RunResponse, in RunRequest, deadline time.Time, issuer string) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var err error
	for range maxForwardAttempts {
		var reply forwardReply
		reply, err = a.sendForward(ctx, in, deadline, issuer)
		if err != nil {
			continue
		}
		if f := reply.Error; f != nil {
			return verdict.New(f.Code, verdict.Verdict(f.Verdict), f.Message).WithRetryAfter(f.RetryAfter)
		}
		response.Output, response.Stages = reply.Response.Output, reply.Response.Stages
		response.Cost, response.ReleaseVersion = reply.Response.Cost, reply.Response.ReleaseVersion
		return nil
	}
	return verdict.Wrap(err, verdict.CodeNotReady, verdict.MayHaveRun, "the host that issued the key did not answer").WithRetryAfter(forwardRetryAfter)
}

// sendForward sends the request to the issuer of its key once and returns the reply.
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
// issuer of its key. A request whose time is up gets a timeout of 1 ms, because
// Run takes zero for the pipeline's deadline.
func (a *App) handleForward(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var request forwardRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	response, err := a.Run(ctx, RunRequest{Customer: request.Customer, Pipeline: request.Pipeline, Key: request.Key, Input: request.Input, Timeout: max(request.Remaining, time.Millisecond)})
	reply := forwardReply{Response: response}
	if err != nil {
		e := verdict.From(err)
		reply.Error = &forwardedError{Code: e.Code, Message: e.Message, Verdict: uint8(e.Verdict), RetryAfter: e.RetryAfter}
	}
	return cbor.Marshal(reply)
}

// refusalWithVerdict returns err, with which this host refuses a request before it
// looks up the request's key. A verdict NotRun would deny earlier runs of the key
// too, so the verdict becomes MayHaveRun if this host's memory holds such a run.
func (a *App) refusalWithVerdict(in RunRequest, err error) error {
	if in.Key == "" || !a.claims.HoldsRun(in.Customer, in.Key) {
		return err
	}
	return verdict.From(err).WithVerdict(verdict.MayHaveRun)
}
