package claim

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxShardCallsPerSecond limits the average rate of one host's store calls for
	// one shard.
	maxShardCallsPerSecond = 3
	// shardCallBurst is the burst size of this rate limit, in calls.
	shardCallBurst = 6
	// storeTimeout limits one call to the store.
	storeTimeout = 400 * time.Millisecond
	// outcomeBatchDelay is how long an outcome waits for claims that can share its
	// write.
	outcomeBatchDelay = time.Second
	// outcomeRetryDelay is the delay before the first retry of writing an outcome;
	// it doubles with each further retry.
	outcomeRetryDelay = 2 * time.Second
	// maxOutcomeBackoffShift limits how often outcomeRetryDelay doubles.
	maxOutcomeBackoffShift = 5
	// storeFailurePause is how long claims are rejected immediately after a store
	// failure. It is also the retry delay sent to callers.
	storeFailurePause = time.Second
	// jitterStep times 255 is the maximum delay after the first round of a batch.
	jitterStep = 40 * time.Microsecond
	// maxBatchRounds limits the compare-and-swap rounds of one batch.
	maxBatchRounds = 8
	// maxQueuedOps limits the ops queued for one shard on one host.
	maxQueuedOps = 1024
)

// Errors of the writer.
var (
	// errNotWritten means that nothing was written.
	errNotWritten = errors.New("claim: nothing was written")
	// errMayBeWritten means that the claim may have been written.
	errMayBeWritten = errors.New("claim: write may have taken effect")
	// errShardBusy means that the queue is full, or that the op expired or was not
	// written in maxBatchRounds rounds.
	errShardBusy = errors.New("claim: shard is busy")
)

// result is the result of an op: the entry that document.apply returned, or an
// error.
type result struct {
	entry entry
	err   error
	// epoch is the store's epoch in which the entry was read or written; 0 if it is not
	// known.
	epoch int64
}

// pendingOp is an op that waits to be written.
type pendingOp struct {
	op op
	// result receives one result. It is buffered, so that sending does not block
	// if nothing waits any longer.
	result chan result
	// writeAttempted means that a write that contains the op was attempted.
	writeAttempted bool
	// failures counts the failed batches of an outcome or a release.
	failures int
}

// cachedDocument is the last known content of a document in the store.
type cachedDocument struct {
	doc      document
	revision uint64
	epoch    int64
	// fresh means that the document was just read, and that no batch without
	// changes has got its results from it yet.
	fresh bool
}

// shardWriter batches the ops of one shard. It makes one store call at a time and
// is rate limited. submit and startIfIdle are safe for concurrent use.
type shardWriter struct {
	shared  *sharedState
	limiter *rate.Limiter
	// mu guards queue and running.
	mu    sync.Mutex
	queue []*pendingOp
	// running means that a goroutine is processing the queue; only that goroutine
	// accesses cache.
	running bool
	cache   map[documentAddress]*cachedDocument
}

// sharedState is shared by the shard writers of one host. mu guards
// unavailableUntil.
type sharedState struct {
	ctx              context.Context
	store            port.Store
	clock            port.Clock
	random           io.Reader
	claimWindow      func() time.Duration
	undatedRetention time.Duration
	mu               sync.Mutex
	unavailableUntil time.Time
}

func newShardWriters(shared *sharedState) []shardWriter {
	writers := make([]shardWriter, shardCount)
	for i := range writers {
		w := &writers[i]
		w.shared = shared
		w.limiter = rate.NewLimiter(maxShardCallsPerSecond, shardCallBurst)
	}
	return writers
}

// unavailableFor returns how long claims are still rejected, zero if they are
// accepted.
func (s *sharedState) unavailableFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.unavailableUntil.Sub(s.clock.Now()))
}

// markUnavailable rejects claims for storeFailurePause.
func (s *sharedState) markUnavailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableUntil = s.clock.Now().Add(storeFailurePause)
}

// jitter returns a random delay after a round, counted from 0, that must be
// repeated. Its maximum grows with each round.
func (s *sharedState) jitter(round int) time.Duration {
	var b [1]byte
	_, _ = io.ReadFull(s.random, b[:])
	return time.Duration(round+1) * time.Duration(b[0]) * jitterStep
}

// submit queues an op. Claims and releases are written as soon as the rate limit
// allows; outcomes are delayed to share a write. The channel receives one result.
// Claims fail at once during a pause after a store failure.
func (w *shardWriter) submit(o op) <-chan result {
	p := &pendingOp{op: o, result: make(chan result, 1)}
	if o.Kind == opAddClaim && w.shared.unavailableFor() > 0 {
		p.result <- result{err: errNotWritten}
		return p.result
	}
	if !w.enqueue(p) {
		p.result <- result{err: errShardBusy}
		return p.result
	}
	if o.Kind == opRecordOutcome {
		time.AfterFunc(outcomeBatchDelay, w.startIfIdle)
		return p.result
	}
	w.startIfIdle()
	return p.result
}

// enqueue adds an op to the queue. It returns false if the queue is full.
func (w *shardWriter) enqueue(p *pendingOp) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedOps {
		return false
	}
	w.queue = append(w.queue, p)
	return true
}

// startIfIdle starts a goroutine that processes the queue, unless one is running.
func (w *shardWriter) startIfIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running || len(w.queue) == 0 {
		return
	}
	w.running = true
	go w.run()
}

// run processes the queue until it is empty.
func (w *shardWriter) run() {
	for {
		w.waitForRate()
		addr, batch := w.takeBatch()
		if len(batch) == 0 {
			return
		}
		w.writeBatch(addr, batch)
	}
}

// takeBatch removes the ops of one document from the queue: the document of the
// first claim, or of the first op if there is no claim. If the queue is empty, it
// marks the writer idle and evicts old documents from the cache.
func (w *shardWriter) takeBatch() (documentAddress, []*pendingOp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		w.evictOldDocuments()
		return documentAddress{}, nil
	}
	addr := w.queue[0].op.addr()
	for _, p := range w.queue {
		if p.op.Kind == opAddClaim {
			addr = p.op.addr()
			break
		}
	}
	var batch, rest []*pendingOp
	for _, p := range w.queue {
		if p.op.addr() == addr {
			batch = append(batch, p)
		} else {
			rest = append(rest, p)
		}
	}
	w.queue = rest
	return addr, batch
}

// evictOldDocuments removes documents from the cache whose keys are older than
// the claim window. The caller holds w.mu, so that no other goroutine that
// accesses the cache starts.
func (w *shardWriter) evictOldDocuments() {
	limit := w.shared.clock.Now().Add(-w.shared.claimWindow())
	for addr := range w.cache {
		if addr.bucket != undatedBucket && addr.end().Before(limit) {
			delete(w.cache, addr)
		}
	}
}

// waitForRate blocks until the rate limit allows another store call.
func (w *shardWriter) waitForRate() {
	now := w.shared.clock.Now()
	delay := w.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay > 0 {
		time.Sleep(delay)
	}
}

// writeBatch applies a batch to one document in rounds of compare-and-swap on the
// latest content, and delivers the results. If the response to a write is lost,
// the next round reads the document: the claim IDs in it show which ops took
// effect.
func (w *shardWriter) writeBatch(addr documentAddress, batch []*pendingOp) {
	if cached, ok := w.cache[addr]; ok {
		cached.fresh = false
	}
	for round := range maxBatchRounds {
		if round > 0 {
			w.waitForRate()
		}
		batch = w.rejectExpired(batch)
		if len(batch) == 0 {
			return
		}
		done, err := w.tryBatch(addr, batch)
		if done {
			return
		}
		if err != nil && !isRetryable(err) {
			w.failBatch(batch, err)
			return
		}
		time.Sleep(w.shared.jitter(round))
	}
	w.failBatch(batch, errShardBusy)
}

// isRetryable reports whether another round may succeed: the store rejected the
// write, or it may have executed the write, which the next round's read shows.
func isRetryable(err error) bool {
	return errors.Is(err, port.ErrConflict) || errors.Is(err, port.ErrUncertain) ||
		errors.Is(err, port.ErrRateLimited)
}

// tryBatch attempts the batch once and reports whether it delivered the results of
// all its ops. If not, and the error is nil, the batch must be attempted again.
func (w *shardWriter) tryBatch(addr documentAddress, batch []*pendingOp) (bool, error) {
	cached, err := w.loadDocument(addr)
	if err != nil {
		return false, err
	}
	next := cached.doc.clone()
	results, changed := w.applyAll(&next, addr, batch)
	if !changed {
		return w.deliverUnchanged(addr, cached, batch, results)
	}
	entry, err := w.compareAndSwap(addr, cached, &next)
	if err == nil {
		w.cache[addr] = &cachedDocument{doc: next, revision: entry.Revision, epoch: entry.Epoch}
		deliverResults(batch, results, entry.Epoch)
		return true, nil
	}
	w.cacheAfterFailure(addr, entry, err)
	for _, p := range batch {
		p.writeAttempted = true
	}
	return false, err
}

// deliverUnchanged delivers the results of a batch that needs no write and returns
// true. It does so only if the document was just read; otherwise it drops the
// cached document and returns false, so that the next round reads it.
func (w *shardWriter) deliverUnchanged(addr documentAddress, cached *cachedDocument, batch []*pendingOp, results []result) (bool, error) {
	if !cached.fresh {
		delete(w.cache, addr)
		return false, nil
	}
	cached.fresh = false
	deliverResults(batch, results, cached.epoch)
	return true, nil
}

// applyAll applies the ops of a batch to d. It returns their results, in the order
// of the batch, and whether an op changed d.
func (w *shardWriter) applyAll(d *document, addr documentAddress, batch []*pendingOp) ([]result, bool) {
	now := w.shared.clock.Now()
	if addr.bucket == undatedBucket {
		d.expireEntries(now, w.shared.claimWindow(), w.shared.undatedRetention)
	}
	results := make([]result, len(batch))
	changed := false
	for i, p := range batch {
		e, c, err := d.apply(&p.op, now)
		results[i] = result{entry: e, err: err}
		changed = changed || c
	}
	d.trimOutputs()
	return results, changed
}

// rejectExpired delivers an error to the ops that have expired and returns the
// others.
func (w *shardWriter) rejectExpired(batch []*pendingOp) []*pendingOp {
	now := w.shared.clock.Now().UnixMilli()
	var live []*pendingOp
	for _, p := range batch {
		if p.op.Expires < now {
			p.result <- result{err: claimFailure(p, errShardBusy)}
			continue
		}
		live = append(live, p)
	}
	return live
}

// failBatch delivers an error to the claims and schedules retries of the other
// ops. Unless the shard is busy, claims are then rejected for storeFailurePause.
func (w *shardWriter) failBatch(batch []*pendingOp, err error) {
	if !errors.Is(err, errShardBusy) {
		w.shared.markUnavailable()
	}
	for _, p := range batch {
		if p.op.Kind == opAddClaim || p.op.Kind == opRestoreClaims {
			p.result <- result{err: claimFailure(p, err)}
			continue
		}
		delay := outcomeRetryDelay << min(p.failures, maxOutcomeBackoffShift)
		p.failures++
		time.AfterFunc(delay, func() { w.requeue(p) })
	}
}

// claimFailure returns the error of a failed claim: errMayBeWritten if a write was
// attempted, errNotWritten otherwise.
func claimFailure(p *pendingOp, err error) error {
	if p.writeAttempted {
		return errors.Wrap(errMayBeWritten, err.Error())
	}
	return errors.Wrap(errNotWritten, err.Error())
}

// requeue queues an op for a retry. If the host is closing or the queue is full,
// it delivers an error.
func (w *shardWriter) requeue(p *pendingOp) {
	if w.shared.ctx.Err() != nil || !w.enqueue(p) {
		p.result <- result{err: errShardBusy}
		return
	}
	w.startIfIdle()
}

// deliverResults delivers the results of a batch, which were read or written in epoch.
func deliverResults(batch []*pendingOp, results []result, epoch int64) {
	for i, p := range batch {
		results[i].epoch = epoch
		p.result <- results[i]
	}
}
