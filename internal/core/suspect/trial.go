package suspect

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 400 * time.Millisecond
	// pollInterval is the time between two checks whether an endpoint has
	// become free: for an attempt that waits for a trial to end, and for a
	// trial that waits until its endpoint is idle.
	pollInterval = 50 * time.Millisecond
	// maxReportDelay bounds the time from the start of an attempt on a host
	// until the endpoint reports it as running.
	maxReportDelay = 100 * time.Millisecond
	// restartPollInterval is the time between two probes of an endpoint that
	// crashed in a trial. It is also the minimum time left for other hosts'
	// records of that crash to arrive.
	restartPollInterval = time.Second
	// maxClockSkew bounds the difference between the hosts' clocks.
	maxClockSkew = 500 * time.Millisecond
	// restartTimeout bounds the wait until an endpoint that crashed in a trial
	// responds again.
	restartTimeout = 10 * time.Minute
)

// Prefixes of the store keys that reserve a request and an endpoint for a
// trial.
const (
	requestKeyPrefix  = "suspect/request/"
	endpointKeyPrefix = "suspect/endpoint/"
)

// trial is a trial run by this host, or one whose record was read from the
// store. One goroutine at a time uses it.
type trial struct {
	guard  *Guard
	record Record
	// requestEntry and endpointEntry are the store entries that reserve the
	// request and the endpoint. Their revision is 0 while they do not exist.
	requestEntry  port.Entry
	endpointEntry port.Entry
}

// admitTrial reserves the endpoint and the request in the store for this host,
// and waits until the endpoint runs nothing else. The DoneFunc ends the trial
// and deletes both store entries.
func (g *Guard) admitTrial(ctx context.Context, f Fingerprint, endpoint string) (DoneFunc, error) {
	if !g.acquireTrialLock(ctx, endpoint) {
		return nil, noTrialEndpoint()
	}
	t := &trial{guard: g, record: Record{Fingerprint: f, State: OnTrial, Endpoint: endpoint, Host: g.cfg.Host}}
	if err := t.acquire(ctx); err != nil {
		t.deleteEntry(t.endpointEntry)
		g.releaseTrialLock(endpoint)
		return nil, err
	}
	t.record = g.publish(t.record, trialTTL)
	load, ok := g.waitUntilIdle(ctx, endpoint)
	if !ok || !t.resetIfEndpointRestarted(ctx, load.Incarnation) {
		t.finish(Suspect)
		return nil, noTrialEndpoint()
	}
	return t.handleResult, nil
}

// resetIfEndpointRestarted sets a new start, expiry and incarnation for the
// trial if the endpoint restarted while the trial waited for it to become idle:
// that crash was caused by another request and must not count against this
// one. It returns false if the store did not accept the changed record.
func (t *trial) resetIfEndpointRestarted(ctx context.Context, incarnation string) bool {
	if incarnation == t.record.Incarnation {
		return true
	}
	t.record.Incarnation = incarnation
	t.setTimes()
	e, err := t.write(ctx, t.requestEntry.Key, t.requestEntry.Revision, restartTimeout+trialTTL)
	if err != nil {
		return false
	}
	t.requestEntry = e
	t.record = t.guard.publish(t.record, trialTTL)
	return true
}

func noTrialEndpoint() error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint became free for a trial in time").WithRetryAfter(trialRetryAfter)
}

// acquireTrialLock waits until no other trial of this host uses the endpoint,
// and locks it for this trial. It returns false if ctx ends first.
func (g *Guard) acquireTrialLock(ctx context.Context, endpoint string) bool {
	g.mu.Lock()
	lock, ok := g.trialLocks[endpoint]
	if !ok {
		lock = make(chan struct{}, 1)
		g.trialLocks[endpoint] = lock
	}
	g.mu.Unlock()
	select {
	case lock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Guard) releaseTrialLock(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	<-g.trialLocks[endpoint]
}

// waitUntilIdle waits until the endpoint runs no attempt of this host and
// reports no load, and returns that report. It returns false if ctx ends first.
// It first waits for maxReportDelay, so that the report covers attempts which
// other hosts started before they knew of the trial.
func (g *Guard) waitUntilIdle(ctx context.Context, endpoint string) (port.LoadReport, bool) {
	select {
	case <-time.After(maxReportDelay):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		g.mu.Lock()
		ownRunning, attemptEnded := g.runningAttempts[endpoint], g.attemptEnded
		g.mu.Unlock()
		if ownRunning == 0 {
			load, err := g.cfg.Probe(ctx, endpoint)
			if err == nil && load.Running == 0 && load.Waiting == 0 {
				return load, true
			}
			// attemptEnded says nothing about the attempts of other hosts, so
			// only the poll interval applies.
			attemptEnded = nil
		}
		select {
		case <-attemptEnded:
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
	return port.LoadReport{}, false
}

// acquire reserves the endpoint and then the request in the store. On an error
// the endpoint may stay reserved; the caller deletes endpointEntry. The error
// is a *verdict.Error.
func (t *trial) acquire(ctx context.Context) error {
	var err error
	if t.endpointEntry, err = t.reserveEndpoint(ctx); err != nil {
		return err
	}
	load, err := t.guard.cfg.Probe(ctx, t.record.Endpoint)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "the endpoint for a trial does not answer")
	}
	t.record.Incarnation = load.Incarnation
	t.setTimes()
	key := requestKeyPrefix + t.record.Fingerprint.String()
	stored, err := t.read(ctx, key)
	if err != nil {
		return storeUnavailable(err)
	}
	if err := t.resolveEarlierTrial(ctx, stored); err != nil {
		return err
	}
	t.requestEntry, err = t.write(ctx, key, stored.Revision, restartTimeout+trialTTL)
	return err
}

// setTimes sets the creation, the start and the expiry of the trial's record.
func (t *trial) setTimes() {
	now := t.guard.cfg.Clock.Now()
	t.record.CreatedAt = now.UnixMilli()
	t.record.TrialStartedAt = now.UnixMilli()
	t.record.ExpiresAt = now.Add(trialTTL).UnixMilli()
}

// reserveEndpoint reserves the endpoint in the store and waits while another
// host's trial holds it. The error is a *verdict.Error with NotRun: the store
// is unavailable, or ctx has ended.
func (t *trial) reserveEndpoint(ctx context.Context) (port.Entry, error) {
	for {
		t.setTimes()
		e, err := t.write(ctx, endpointKeyPrefix+t.record.Endpoint, 0, trialTTL)
		if err == nil || verdict.From(err).Code == verdict.CodeStoreUnavailable {
			return e, err
		}
		select {
		case <-time.After(2 * pollInterval):
		case <-ctx.Done():
			return port.Entry{}, noTrialEndpoint()
		}
	}
}

// resolveEarlierTrial handles the entry that the store holds for the request.
// It returns nil if the new trial may replace the entry, otherwise a
// *verdict.Error:
//   - Without an entry the new trial may start.
//   - A quarantine is merged into this host's records, and the request is
//     refused unless this host has a newer record.
//   - While an earlier trial has not expired, the request is refused.
//   - An expired trial was run by a host that failed. While its endpoint does
//     not respond, the request is refused. If the endpoint still has the
//     incarnation of that trial, or other requests ran on it when it crashed,
//     the new trial may start. Otherwise the request is quarantined.
func (t *trial) resolveEarlierTrial(ctx context.Context, stored port.Entry) error {
	if stored.Revision == 0 {
		return nil
	}
	var r Record
	if err := cbor.Unmarshal(stored.Value, &r); err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "a trial's record cannot be read")
	}
	g := t.guard
	switch {
	case r.State == Quarantined:
		g.Merge(r)
		return g.Check(r.Fingerprint)
	case r.ExpiresAt > g.cfg.Clock.Now().UnixMilli():
		return trialInProgress().WithVerdict(verdict.NotRun)
	}
	load, err := g.cfg.Probe(ctx, r.Endpoint)
	if err != nil {
		return trialInProgress().WithVerdict(verdict.NotRun)
	}
	if load.Incarnation == r.Incarnation || g.otherRequestsRanAtCrash(r) {
		return nil
	}
	earlier := &trial{guard: g, record: r, requestEntry: stored}
	earlier.quarantine()
	return g.Check(r.Fingerprint)
}

// read returns the store's entry of a key, the zero Entry if there is none.
func (t *trial) read(ctx context.Context, key string) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := t.guard.cfg.Store.Get(ctx, key)
	if errors.Is(err, port.ErrNotFound) {
		return port.Entry{}, nil
	}
	return e, err
}

// write stores the trial's record under a key whose revision is prevRevision, 0
// for a new key. If the store's response is lost, it reads the key back. The
// error is a *verdict.Error with NotRun: CodeNoCapacity if the key has another
// revision, CodeStoreUnavailable if the store fails, CodeInternal if the record
// cannot be encoded.
func (t *trial) write(ctx context.Context, key string, prevRevision uint64, ttl time.Duration) (port.Entry, error) {
	value, err := cbor.Marshal(t.record)
	if err != nil {
		return port.Entry{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "a trial's record cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	e, err := t.guard.cfg.Store.CompareAndSwap(ctx, key, prevRevision, value, ttl)
	if errors.Is(err, port.ErrUncertain) {
		e, err = t.read(ctx, key)
		if err == nil && string(e.Value) != string(value) {
			err = port.ErrConflict
		}
	}
	switch {
	case err == nil:
		return e, nil
	case errors.Is(err, port.ErrConflict):
		return port.Entry{}, trialInProgress().WithVerdict(verdict.NotRun)
	default:
		return port.Entry{}, storeUnavailable(err)
	}
}

func storeUnavailable(err error) error {
	return verdict.Wrap(err, verdict.CodeStoreUnavailable, verdict.NotRun, "an endpoint died while it ran this request, and no trial can be settled").WithRetryAfter(trialRetryAfter)
}

// handleResult is the DoneFunc of the trial. After a crash the trial continues
// on another goroutine until the endpoint has restarted.
func (t *trial) handleResult(result AttemptResult) {
	switch result {
	case Survived:
		t.finish(Clear)
	case Crashed:
		t.guard.cfg.Go(t.awaitRestart)
	default:
		t.finish(Suspect)
	}
}

// finish ends the trial, deletes its store entries and publishes the request's
// state s.
func (t *trial) finish(s State) {
	t.deleteEntry(t.endpointEntry)
	t.guard.releaseTrialLock(t.record.Endpoint)
	t.deleteEntry(t.requestEntry)
	t.guard.publish(Record{Fingerprint: t.record.Fingerprint, State: s}, suspectTTL)
}

// deleteEntry deletes an entry from the store unless its revision is 0.
func (t *trial) deleteEntry(e port.Entry) {
	if e.Revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// An entry that is not deleted expires by its TTL.
	_ = t.guard.cfg.Store.Delete(ctx, e.Key, e.Revision)
}

// awaitRestart waits until the endpoint of a trial that lost its connection
// responds again, and meanwhile extends the trial on all hosts. An unchanged
// incarnation shows that the endpoint did not crash, and clears the request. A
// new one proves a crash; the request is then quarantined, unless other
// requests ran on the endpoint at that time: it stays a suspect then, as it
// does if the endpoint does not respond within restartTimeout. If the Guard is
// closed first, the trial's record is left to expire.
func (t *trial) awaitRestart() {
	g := t.guard
	deadline := g.cfg.Clock.Now().Add(restartTimeout)
	for g.cfg.Clock.Now().Before(deadline) {
		t.record = g.publish(t.record, trialTTL)
		select {
		case <-time.After(restartPollInterval):
		case <-g.ctx.Done():
			return
		}
		load, err := g.cfg.Probe(g.ctx, t.record.Endpoint)
		switch {
		case err != nil:
			continue
		case load.Incarnation == t.record.Incarnation:
			t.finish(Clear)
		case g.otherRequestsRanAtCrash(t.record):
			t.finish(Suspect)
		default:
			g.releaseTrialLock(t.record.Endpoint)
			t.quarantine()
		}
		return
	}
	t.finish(Suspect)
}

// otherRequestsRanAtCrash reports whether other requests were running on the
// trial's endpoint when it crashed, that is, whether this host has a crash
// record of another request on it from between the trial's start, less
// maxClockSkew, and the trial's expiry. Later crashes are unrelated: only until
// the expiry was the endpoint reserved for the trial.
func (g *Guard) otherRequestsRanAtCrash(trial Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.crashes[trial.Endpoint] {
		if r.Fingerprint != trial.Fingerprint && r.CreatedAt >= trial.TrialStartedAt-maxClockSkew.Milliseconds() && r.CreatedAt <= trial.ExpiresAt {
			return true
		}
	}
	return false
}

// quarantine quarantines the trial's request on all hosts and in the store.
func (t *trial) quarantine() {
	g := t.guard
	t.deleteEntry(t.endpointEntry)
	r := t.record
	r.State = Quarantined
	r = g.publish(r, quarantineTTL)
	if g.cfg.OnQuarantineChange != nil {
		g.cfg.OnQuarantineChange(r, "quarantine")
	}
	value, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// The other hosts have the record already; the store keeps it for hosts
	// that start later.
	_, _ = g.cfg.Store.CompareAndSwap(ctx, t.requestEntry.Key, t.requestEntry.Revision, value, quarantineTTL)
}

// EndQuarantine ends a request's quarantine on all hosts on behalf of an
// operator. It reports whether this host knew the request as quarantined. If
// the store fails, its quarantine entry remains until it expires; a host that
// runs a trial of the request then applies it unless it has a newer record.
func (g *Guard) EndQuarantine(ctx context.Context, f Fingerprint) bool {
	r := g.lookup(f)
	if r.State != Quarantined {
		return false
	}
	t := &trial{guard: g, record: r}
	if e, err := t.read(ctx, requestKeyPrefix+f.String()); err == nil {
		t.deleteEntry(e)
	}
	r.State = Clear
	r = g.publish(r, suspectTTL)
	if g.cfg.OnQuarantineChange != nil {
		g.cfg.OnQuarantineChange(r, "release")
	}
	return true
}
