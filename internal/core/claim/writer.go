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
	// shardCallRate is the number of store calls a second that one host
	// makes for one shard, on average.
	shardCallRate = 3
	// shardCallBurst is the number of store calls that a shard makes at once
	// after a pause.
	shardCallBurst = 6
	// storeTimeout bounds one call to the store.
	storeTimeout = 400 * time.Millisecond
	// settleDelay is how long an outcome waits for claims to share a write with.
	settleDelay = time.Second
	// settleRetry is the pause before an outcome that failed is written again.
	settleRetry = 2 * time.Second
	// maxSettleBackoff bounds the doublings of that pause.
	maxSettleBackoff = 5
	// awayPause is how long claims are refused at once after the store failed.
	awayPause = time.Second
	// jitterStep times 255 is the longest pause after a batch's first round.
	jitterStep = 40 * time.Microsecond
	// maxSwapAttempts bounds the rounds of one batch.
	maxSwapAttempts = 8
	// maxShardQueue bounds the ops that wait for one shard on one host.
	maxShardQueue = 1024
)

// Errors of the writer.
var (
	// errStoreAway means that nothing was written.
	errStoreAway = errors.New("claim: store is away")
	// errUnsettled means that the claim may have been written.
	errUnsettled = errors.New("claim: not settled")
	errBusy      = errors.New("claim: shard is busy")
)

// result is the answer to an op.
type result struct {
	entry entry
	err   error
}

// pending is an op that waits for its write. Done has room for its result.
type pending struct {
	op   op
	done chan result
	// sent says that a write with the op in it has been tried.
	sent bool
	// failures counts the failed tries of an outcome.
	failures int
}

// cachedDocument is a document as last seen in the store.
type cachedDocument struct {
	doc      document
	revision uint64
	// fresh says that it was read in this round.
	fresh bool
}

// shardWriter batches the ops of one shard: one store call at a time, within
// a rate. It is safe for concurrent use.
type shardWriter struct {
	env   *writerEnv
	pace  *rate.Limiter
	mu    sync.Mutex
	queue []*pending
	// running says that a goroutine works on the queue; it alone uses docs.
	running bool
	docs    map[address]*cachedDocument
}

// writerEnv is what the writers of one host share.
type writerEnv struct {
	life      context.Context
	store     port.Store
	clock     port.Clock
	random    io.Reader
	window    func() time.Duration
	retention time.Duration
	mu        sync.Mutex
	awayUntil time.Time
}

func newShardWriters(env *writerEnv) []shardWriter {
	writers := make([]shardWriter, shardCount)
	for i := range writers {
		w := &writers[i]
		w.env = env
		w.pace = rate.NewLimiter(shardCallRate, shardCallBurst)
	}
	return writers
}

// away returns how long claims are still refused, zero if they are taken.
func (env *writerEnv) away() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return max(0, env.awayUntil.Sub(env.clock.Now()))
}

func (env *writerEnv) setAway() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.awayUntil = env.clock.Now().Add(awayPause)
}

// jitter returns the random pause after a round that has to be repeated.
func (env *writerEnv) jitter(round int) time.Duration {
	var b [1]byte
	_, _ = io.ReadFull(env.random, b[:])
	return time.Duration(round+1) * time.Duration(b[0]) * jitterStep
}

// submit queues an op. Claims are written as soon as the rate allows,
// outcomes wait for company. The result arrives on the channel.
func (w *shardWriter) submit(o op) <-chan result {
	p := &pending{op: o, done: make(chan result, 1)}
	if o.Kind == opClaim && w.env.away() > 0 {
		p.done <- result{err: errStoreAway}
		return p.done
	}
	if !w.push(p) {
		p.done <- result{err: errBusy}
		return p.done
	}
	if o.Kind == opSettle {
		time.AfterFunc(settleDelay, w.kick)
		return p.done
	}
	w.kick()
	return p.done
}

func (w *shardWriter) push(p *pending) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxShardQueue {
		return false
	}
	w.queue = append(w.queue, p)
	return true
}

// kick starts the goroutine that empties the queue, if none runs.
func (w *shardWriter) kick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running || len(w.queue) == 0 {
		return
	}
	w.running = true
	go w.run()
}

func (w *shardWriter) run() {
	for {
		w.wait()
		addr, batch := w.take()
		if len(batch) == 0 {
			return
		}
		w.write(addr, batch)
	}
}

// take removes the ops of one document from the queue: of the first claim's
// if there is a claim. With an empty queue it marks the writer idle.
func (w *shardWriter) take() (address, []*pending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		w.dropOldDocuments()
		return address{}, nil
	}
	addr := w.queue[0].op.addr()
	for _, p := range w.queue {
		if p.op.Kind == opClaim {
			addr = p.op.addr()
			break
		}
	}
	var batch, rest []*pending
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

// dropOldDocuments forgets the documents of keys that have left the window.
func (w *shardWriter) dropOldDocuments() {
	limit := w.env.clock.Now().Add(-w.env.window())
	for addr := range w.docs {
		if addr.bucket != undatedBucket && addr.end().Before(limit) {
			delete(w.docs, addr)
		}
	}
}

// wait pauses until the rate allows another store call.
func (w *shardWriter) wait() {
	now := w.env.clock.Now()
	delay := w.pace.ReserveN(now, 1).DelayFrom(now)
	if delay > 0 {
		time.Sleep(delay)
	}
}

// write carries out a batch on one document: rounds of compare-and-swap,
// each on the newest content. An answer that was lost is settled by reading
// back: the ops that took effect carry their claim ids in the document.
func (w *shardWriter) write(addr address, batch []*pending) {
	for round := range maxSwapAttempts {
		if round > 0 {
			w.wait()
		}
		batch = w.dropExpired(batch)
		if len(batch) == 0 {
			return
		}
		done, err := w.round(addr, batch)
		if done {
			return
		}
		if err != nil && !worthAnotherRound(err) {
			w.fail(batch, err)
			return
		}
		time.Sleep(w.env.jitter(round))
	}
	w.fail(batch, errBusy)
}

// worthAnotherRound reports whether the store is there, so that the batch can
// still be settled.
func worthAnotherRound(err error) bool {
	return errors.Is(err, port.ErrConflict) || errors.Is(err, port.ErrUncertain) ||
		errors.Is(err, port.ErrRateLimited)
}

// round tries the batch once and reports whether all of it was answered.
func (w *shardWriter) round(addr address, batch []*pending) (bool, error) {
	cached, err := w.load(addr)
	if err != nil {
		return false, err
	}
	next := cached.doc.clone()
	results, changed := w.applyAll(&next, addr, batch)
	if !changed {
		return w.answerUnchanged(addr, cached, batch, results)
	}
	entry, err := w.swap(addr, cached.revision, &next)
	if err == nil {
		w.docs[addr] = &cachedDocument{doc: next, revision: entry.Revision}
		answer(batch, results)
		return true, nil
	}
	w.remember(addr, entry, err)
	for _, p := range batch {
		p.sent = true
	}
	return false, err
}

// answerUnchanged answers a batch that needs no write, from a fresh read.
func (w *shardWriter) answerUnchanged(addr address, cached *cachedDocument, batch []*pending, results []result) (bool, error) {
	if !cached.fresh {
		delete(w.docs, addr)
		return false, nil
	}
	cached.fresh = false
	answer(batch, results)
	return true, nil
}

func (w *shardWriter) applyAll(d *document, addr address, batch []*pending) ([]result, bool) {
	now := w.env.clock.Now()
	if addr.bucket == undatedBucket {
		d.expire(now, w.env.window(), w.env.retention)
	}
	results := make([]result, len(batch))
	changed := false
	for i, p := range batch {
		e, c, err := d.apply(&p.op, now)
		results[i] = result{entry: e, err: err}
		changed = changed || c
	}
	d.trim()
	return results, changed
}

// removeExpired answers the ops that nobody waits for any more.
func (w *shardWriter) dropExpired(batch []*pending) []*pending {
	now := w.env.clock.Now().UnixMilli()
	var kept []*pending
	for _, p := range batch {
		if p.op.Expires < now {
			p.done <- result{err: claimError(p, errBusy)}
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// fail answers claims with the error and queues outcomes again for later.
func (w *shardWriter) fail(batch []*pending, err error) {
	if !errors.Is(err, errBusy) {
		w.env.setAway()
	}
	for _, p := range batch {
		if p.op.Kind == opClaim {
			p.done <- result{err: claimError(p, err)}
			continue
		}
		delay := settleRetry << min(p.failures, maxSettleBackoff)
		p.failures++
		time.AfterFunc(delay, func() { w.requeue(p) })
	}
}

// claimError tells a claim that failed whether it may have been written.
func claimError(p *pending, err error) error {
	if p.sent {
		return errors.Wrap(errUnsettled, err.Error())
	}
	return errors.Wrap(errStoreAway, err.Error())
}

func (w *shardWriter) requeue(p *pending) {
	if w.env.life.Err() != nil || !w.push(p) {
		p.done <- result{err: errBusy}
		return
	}
	w.kick()
}

func answer(batch []*pending, results []result) {
	for i, p := range batch {
		p.done <- results[i]
	}
}
