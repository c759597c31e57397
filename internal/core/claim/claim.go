// Package claim ensures that a non-repeatable request runs at most once per
// idempotency key, no matter how often and to which hosts it is sent.
//
// A caller's own key is claimed by compare-and-swap in the store. The claims of
// all hosts are batched by shard, which limits the write rate. An issued key
// names the host that issued it; only that host runs it and keeps its state in
// memory, so that issued keys work while the store is unavailable.
package claim

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// UndatedKeyRetention is how long a key without a timestamp is retained. A
	// request with the key after that counts as new.
	UndatedKeyRetention = 7 * 24 * time.Hour
	// maxTimestampAhead limits how far a key's timestamp may be ahead of the
	// host's clock.
	maxTimestampAhead = 24 * time.Hour
	// claimTimeout limits the time to claim a key in the store.
	claimTimeout = 1500 * time.Millisecond
	// maxJoinAttempts limits how often a request joins, in succession, a run of
	// its key that ends without a claim, before the request is rejected.
	maxJoinAttempts = 4
	// outcomeWriteTimeout limits the time to store an outcome, including retries.
	outcomeWriteTimeout = 10 * time.Minute
	// inProgressRetryAfter is the retry delay sent to callers whose key may have
	// a run in progress.
	inProgressRetryAfter = time.Second
	// presumedRunTime is the age up to which the run of a claim without outcome
	// is assumed to be in progress.
	presumedRunTime = time.Minute
)

// Config configures Claims. Claims does not modify it.
type Config struct {
	Store port.Store
	// Peers communicates with the other hosts; nil on a single-host system.
	Peers port.Peers
	// Self is this host; it is used only if Peers is nil.
	Self  port.Member
	Clock port.Clock
	// Random is the source of randomness for claim IDs and issued keys.
	Random io.Reader
	// ClaimWindow returns the time for which a key is valid after its timestamp,
	// according to the release in force.
	ClaimWindow func() time.Duration
	// SigningSecret signs issued keys. It must be the same on all hosts.
	SigningSecret []byte
	// UndatedRetention is how long keys without a timestamp are retained; 0 means
	// UndatedKeyRetention.
	UndatedRetention time.Duration
	// Restored is called when this host has got over a restore of the store from an older
	// copy; may be nil.
	Restored func(Restore)
}

// Request is a request with an idempotency key.
type Request struct {
	Customer string
	// Key is the idempotency key: the caller's own or one that Issue returned.
	Key string
	// Digest identifies the request's content; see DigestOf.
	Digest Digest
	// Deadline limits how long Begin waits.
	Deadline time.Time
}

// DecisionKind says how a host has to handle a request.
type DecisionKind uint8

// Kinds of decisions.
const (
	// Run means that this host holds the claim and must run the request.
	Run DecisionKind = iota + 1
	// Replay means that the request has run and its output must be returned.
	Replay
	// Forward means that the request must be forwarded to the host that issued
	// its key.
	Forward
)

// Decision is the result of Begin.
type Decision struct {
	Kind DecisionKind
	// Execution is set for Run. Its Finish method must be called.
	Execution *Execution
	// Output is the output of the earlier run; it is set for Replay.
	Output json.RawMessage
	// Owner is the ID of the host to forward the request to; it is set for
	// Forward.
	Owner string
}

// Claims decides which request with an idempotency key may run. It is safe for
// concurrent use.
type Claims struct {
	cfg    Config
	random io.Reader
	// writers holds this host's writer of each shard, by shard.
	writers   []shardWriter
	runs      *runTable
	epochs    *epochState
	limiter   issueLimiter
	startedAt time.Time
	draining  atomic.Bool
	// pendingOutcomes counts the outcomes that are not stored yet.
	pendingOutcomes sync.WaitGroup
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns Claims and registers its request handlers with cfg.Peers. Call it
// before the peers are started.
func New(cfg Config) *Claims {
	if cfg.UndatedRetention == 0 {
		cfg.UndatedRetention = UndatedKeyRetention
	}
	c := &Claims{cfg: cfg, random: &lockedReader{r: cfg.Random}, runs: newRunTable(), epochs: newEpochState(), startedAt: cfg.Clock.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	shared := &sharedState{
		ctx:   c.ctx,
		store: cfg.Store, clock: cfg.Clock, random: c.random,
		claimWindow: cfg.ClaimWindow, undatedRetention: cfg.UndatedRetention,
	}
	c.writers = newShardWriters(shared)
	if cfg.Peers != nil {
		cfg.Peers.Handle(requestKindOp, c.handleOp)
		cfg.Peers.Handle(requestKindMayHaveRun, c.handleMayHaveRun)
		cfg.Peers.Handle(requestKindEpoch, c.handleEpoch)
	}
	return c
}

// Drain stops this host from issuing keys and from starting runs of its issued
// keys. Runs in progress and runs of callers' own keys continue.
func (c *Claims) Drain() { c.draining.Store(true) }

// HoldsRun reports whether this host's memory holds a run of the key: finished,
// in progress, or waiting for its claim.
func (c *Claims) HoldsRun(customer, key string) bool {
	return c.runs.has(keyID(hashParts([]byte(customer), []byte(key))))
}

// Close abandons the outcomes that are not stored yet. Begin must not be called
// afterwards.
func (c *Claims) Close() { c.cancel() }

// Flush writes pending outcomes and waits until they are stored, at most for
// timeout.
func (c *Claims) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for i := range c.writers {
		c.writers[i].startIfIdle()
	}
	done := make(chan struct{})
	go func() {
		c.pendingOutcomes.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Begin decides whether the request runs on this host. A duplicate of a request
// that is running on this host waits for its outcome. The error is a
// *verdict.Error; NotRun means that no request with the key has run so far, or,
// with CodeConflict, that this one has not.
func (c *Claims) Begin(ctx context.Context, req Request) (Decision, error) {
	if req.Key == "" || len(req.Key) > maxKeyBytes {
		return Decision{}, verdict.New(verdict.CodeBadInput, verdict.NotRun, "an idempotency key of 1 to 512 bytes is needed")
	}
	if strings.HasPrefix(req.Key, issuedPrefix) {
		return c.beginIssuedKey(ctx, req)
	}
	return c.beginCallerKey(ctx, req)
}

func (c *Claims) beginIssuedKey(ctx context.Context, req Request) (Decision, error) {
	k, err := parseIssuedKey(req.Customer, req.Key, c.cfg.SigningSecret)
	if err != nil {
		return Decision{}, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "the key was not issued to this customer")
	}
	expiresAt := k.createdAt().Add(c.window())
	now := c.cfg.Clock.Now()
	if now.After(expiresAt) || c.runs.mayHaveEvictedIssued(k.createdAt()) {
		return Decision{}, errKeyExpired()
	}
	self := c.self()
	if k.issuer != self.ID {
		return c.forwardToIssuer(k)
	}
	if k.incarnation != self.Incarnation {
		return Decision{}, errIssuerGone()
	}
	// A finished run is retained for longer than the window, so that it cannot be
	// evicted between the age check above and the lookup.
	expiresAt = expiresAt.Add(c.window())
	id := keyID(hashParts([]byte(req.Customer), []byte(req.Key)))
	r, first := c.runs.getOrAdd(id, &run{digest: req.Digest, issued: true, createdAt: k.createdAt(), evictAfter: expiresAt}, now)
	if !first {
		return c.join(ctx, r, req, callerKey{id: id, createdAt: k.createdAt()})
	}
	close(r.claimHeld)
	ex := &Execution{claims: c, run: r, id: id, usableUntil: k.createdAt().Add(2 * c.window())}
	if c.draining.Load() {
		err := errIssuerDraining()
		ex.Finish(nil, err)
		return Decision{}, err
	}
	return Decision{Kind: Run, Execution: ex}, nil
}

// forwardToIssuer returns a Forward decision if the host that issued the key is
// still a member with the same incarnation.
func (c *Claims) forwardToIssuer(k issuedKey) (Decision, error) {
	if c.cfg.Peers == nil {
		return Decision{}, errIssuerGone()
	}
	for _, m := range c.cfg.Peers.Members() {
		if m.ID == k.issuer && m.State != port.MemberGone && m.Incarnation == k.incarnation {
			return Decision{Kind: Forward, Owner: m.ID}, nil
		}
	}
	return Decision{}, errIssuerGone()
}

func (c *Claims) beginCallerKey(ctx context.Context, req Request) (Decision, error) {
	k := parseCallerKey(req.Customer, req.Key)
	now := c.cfg.Clock.Now()
	if !k.createdAt.IsZero() && now.After(k.createdAt.Add(c.window())) {
		return Decision{}, errKeyExpired()
	}
	if k.createdAt.After(now.Add(maxTimestampAhead)) {
		return Decision{}, verdict.New(verdict.CodeBadInput, verdict.NotRun, "the key's birth time is in the future")
	}
	for range maxJoinAttempts {
		r, first := c.runs.getOrAdd(k.id, &run{digest: req.Digest}, now)
		if first {
			return c.claimInStore(ctx, req, k, r)
		}
		if d, err := c.join(ctx, r, req, k); !errors.Is(err, errJoinedRunUnclaimed) {
			return d, err
		}
	}
	return Decision{}, errRunInProgress()
}

// claimInStore claims the key in the store for a run that is new on this host.
func (c *Claims) claimInStore(ctx context.Context, req Request, k callerKey, r *run) (Decision, error) {
	started := c.cfg.Clock.Now()
	limit := earlierOf(req.Deadline, started.Add(claimTimeout))
	ex := &Execution{claims: c, run: r, id: k.id, addr: &k.addr, usableUntil: c.usableUntil(k, started)}
	if _, err := io.ReadFull(c.random, ex.claimID[:]); err != nil {
		return c.reject(ex, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "no random numbers"))
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	if err := c.epochs.waitOpen(ctx); err != nil {
		return c.reject(ex, errStoreUnavailable(err, c.verdictWithoutStore(context.WithoutCancel(ctx), k)))
	}
	var claimed entry
	for confirmed := false; !confirmed; {
		o := ex.op(opAddClaim, limit)
		o.Digest = req.Digest
		requestedAt := c.cfg.Clock.Now()
		res := c.submitOp(ctx, o)
		if res.err != nil {
			return c.rejectUnresolved(ex, k, res.err)
		}
		if res.entry.State == stateRan && res.entry.Digest == req.Digest {
			return c.resolveExisting(ex, res.entry, req.Digest, started)
		}
		c.observeEpoch(res.epoch, 0)
		if err := c.epochs.waitOpen(ctx); err != nil {
			return c.rejectUnresolved(ex, k, err)
		}
		claimed = res.entry
		confirmed = c.epochs.confirm(res.epoch, requestedAt, func() { c.runs.setClaim(r, k.addr, claimed) })
	}
	if claimed.ClaimID != ex.claimID {
		return c.resolveExisting(ex, claimed, req.Digest, started)
	}
	close(r.claimHeld)
	if err := ex.CheckClaim(); err != nil {
		ex.Finish(nil, err)
		return Decision{}, err
	}
	return Decision{Kind: Run, Execution: ex}, nil
}

// usableUntil returns the time until which a claim requested at started may be
// used. It is well before any host may delete the claim.
func (c *Claims) usableUntil(k callerKey, started time.Time) time.Time {
	if k.createdAt.IsZero() {
		return started.Add(c.cfg.UndatedRetention / 2)
	}
	return k.createdAt.Add(2 * c.window())
}

// rejectUnresolved rejects a request whose claim could not be written or
// confirmed in time, or whose document is full. A claim that may have been
// written is released.
func (c *Claims) rejectUnresolved(ex *Execution, k callerKey, err error) (Decision, error) {
	if errors.Is(err, errDocumentFull) {
		return c.reject(ex, errNoCapacity())
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
	defer cancel()
	rejection := errStoreUnavailable(err, c.verdictWithoutStore(ctx, k))
	if errors.Is(err, errNotWritten) {
		return c.reject(ex, rejection)
	}
	ex.finish(nil, rejection, verdict.NotRun)
	return Decision{}, rejection
}

// reject ends a run that holds no claim with err and removes it, so that the key
// can be claimed again. It returns err.
func (c *Claims) reject(ex *Execution, err error) (Decision, error) {
	c.runs.remove(ex.id)
	c.runs.setOutcome(ex.run, outcome{err: err})
	return Decision{}, err
}

// resolveExisting handles a key whose entry e shows that another request has
// already claimed it: it returns the stored output, or rejects the request.
func (c *Claims) resolveExisting(ex *Execution, e entry, digest Digest, now time.Time) (Decision, error) {
	switch {
	case e.compacted():
		return c.reject(ex, errKeyExpired())
	case e.Digest != digest:
		return c.reject(ex, errKeyConflict())
	case e.State != stateRan && now.Sub(time.Unix(e.ClaimedAt, 0)) < presumedRunTime:
		return c.reject(ex, errRunInProgress())
	case e.State != stateRan:
		return c.reject(ex, errUnknownOutcome())
	case e.Output == nil:
		return c.reject(ex, errOutputDiscarded())
	}
	close(ex.run.claimHeld)
	c.runs.setClaim(ex.run, *ex.addr, e)
	c.runs.setOutcome(ex.run, outcome{output: e.Output})
	c.runs.retain(ex.id, ex.run)
	return Decision{Kind: Replay, Output: e.Output}, nil
}

func (c *Claims) window() time.Duration { return c.cfg.ClaimWindow() }

func (c *Claims) self() port.Member {
	if c.cfg.Peers == nil {
		return c.cfg.Self
	}
	return c.cfg.Peers.Self()
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lockedReader makes a reader safe for concurrent use.
type lockedReader struct {
	mu sync.Mutex
	r  io.Reader
}

func (l *lockedReader) Read(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Read(p)
}
