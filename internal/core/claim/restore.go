package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// requestKindEpoch is the kind of the peer request that announces the store's epoch
	// and asks whether a host's claims are back.
	requestKindEpoch = "claim.epoch"
	// maxRestoredClaims limits the claims of one op.
	maxRestoredClaims = 64
	// maxConcurrentRestores limits the ops that write claims again at the same time.
	maxConcurrentRestores = 16
	// restoreRetryDelay is the pause after a failed attempt to write claims again.
	restoreRetryDelay = 500 * time.Millisecond
)

// epochQuery announces the store's epoch and asks whether a host's claims are back.
type epochQuery struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Age is how long ago the sender, or a host that it asked, learned of the epoch.
	Age time.Duration `cbor:"2,keyasint"`
}

// epochReply is the reply to an epochQuery.
type epochReply struct {
	Epoch int64         `cbor:"1,keyasint"`
	Age   time.Duration `cbor:"2,keyasint"`
	// Rewritten means that the host's claims are back in Epoch, since RewrittenAge.
	Rewritten    bool          `cbor:"3,keyasint"`
	RewrittenAge time.Duration `cbor:"4,keyasint"`
}

// ObserveEpoch notes the epoch that a response of the store named to another user of it,
// so that claims are written again soon after a restore; 0 is ignored.
func (c *Claims) ObserveEpoch(epoch int64) { c.observeEpoch(epoch, 0) }

// observeEpoch notes the epoch that a response of the store or another host named. If it
// is new, this host writes its claims again and rejects unknown keys until the claims of
// the other hosts are back.
func (c *Claims) observeEpoch(epoch int64, age time.Duration) {
	if !c.epochs.learn(epoch, c.cfg.Clock.Now(), age) {
		return
	}
	batches := c.runs.claimsByDocument(maxRestoredClaims, c.isUsable)
	if len(batches) == 0 {
		c.epochs.setRewritten(epoch, c.startedAt, 0)
	} else {
		go c.writeClaimsAgain(epoch, batches)
	}
	go c.awaitOtherClaims(epoch)
}

// writeClaimsAgain writes the claims that this host holds in memory to the store, where
// they are missing. It gives up once a later epoch is known.
func (c *Claims) writeClaimsAgain(epoch int64, batches []heldBatch) {
	count := 0
	var all sync.WaitGroup
	var failed atomic.Bool
	slots := make(chan struct{}, maxConcurrentRestores)
	for _, batch := range batches {
		count += len(batch.claims)
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if !c.writeBatchAgain(epoch, batch) {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	if !failed.Load() {
		c.epochs.setRewritten(epoch, c.cfg.Clock.Now(), count)
	}
}

// isUsable reports whether a host may still accept the keys of a document.
func (c *Claims) isUsable(addr documentAddress) bool {
	return addr.bucket == undatedBucket || c.cfg.Clock.Now().Before(addr.end().Add(c.window()))
}

// writeBatchAgain writes claims of one document until they are in the store with the
// runs' outcomes. A claim that was released meanwhile is released again. It returns false
// if it gave up.
func (c *Claims) writeBatchAgain(epoch int64, batch heldBatch) bool {
	expires := c.cfg.Clock.Now().Add(outcomeWriteTimeout)
	ctx, cancel := context.WithDeadline(c.ctx, expires)
	defer cancel()
	for ctx.Err() == nil && c.epochs.status().known == epoch {
		entries := c.runs.entriesOf(batch)
		o := op{Kind: opRestoreClaims, Shard: batch.addr.shard, Bucket: batch.addr.bucket, Entries: entries, Expires: expires.UnixMilli()}
		res := c.submitOp(ctx, o)
		if res.err != nil || res.epoch < epoch {
			port.Sleep(ctx, restoreRetryDelay)
			continue
		}
		c.observeEpoch(res.epoch, 0)
		if c.runs.haveChanged(batch, entries) {
			continue
		}
		c.releaseEnded(ctx, batch, expires)
		return true
	}
	return false
}

// releaseEnded releases the claims of a batch whose runs ended without having run.
func (c *Claims) releaseEnded(ctx context.Context, batch heldBatch, expires time.Time) {
	for _, h := range batch.claims {
		if c.runs.isReleased(h) {
			c.submitOp(ctx, op{
				Kind: opReleaseClaim, Shard: batch.addr.shard, Bucket: batch.addr.bucket,
				Key: h.id, Claim: h.run.claim.ClaimID, Expires: expires.UnixMilli(),
			})
		}
	}
}

// awaitOtherClaims asks the other hosts whether their claims are back until all have
// confirmed it, and then lets unknown keys be claimed. Hosts that do not answer are given
// up returnTimeout after the first host that answers learned of the epoch, all others
// returnTimeout after this one did.
func (c *Claims) awaitOtherClaims(epoch int64) {
	var openFrom time.Time
	confirmed := make(map[string]bool)
	for {
		answers := c.askOtherHosts(epoch, confirmed)
		s := c.epochs.status()
		if c.ctx.Err() != nil || s.known != epoch {
			return
		}
		now := c.cfg.Clock.Now()
		var missing []string
		waiting := !s.rewritten && now.Sub(s.learnedAt) < returnTimeout
		for host, a := range answers {
			switch {
			case a.rewritten:
				confirmed[host] = true
				if a.rewrittenAt.After(openFrom) {
					openFrom = a.rewrittenAt
				}
			case now.Sub(s.learnedAt) >= returnTimeout || !a.responded && now.Sub(s.firstLearnedAt) >= returnTimeout:
				missing = append(missing, host)
			default:
				waiting = true
				if !a.responded && now.Sub(s.learnedAt) >= epochQueryTimeout {
					c.epochs.setStalled(epoch)
				}
			}
		}
		if !waiting {
			if len(missing) > 0 {
				openFrom = now
			}
			c.epochs.setOpen(epoch, openFrom)
			c.reportRestore(s, missing, now)
			return
		}
		port.Sleep(c.ctx, epochQueryInterval)
	}
}

func (c *Claims) reportRestore(s epochStatus, missing []string, now time.Time) {
	if c.cfg.Restored != nil && s.former != 0 {
		c.cfg.Restored(Restore{FormerEpoch: s.former, Epoch: s.known, Claims: s.rewrittenCount, Duration: now.Sub(s.learnedAt), Missing: missing})
	}
}

// hostAnswer is a host's answer to whether its claims are back.
type hostAnswer struct {
	responded   bool
	rewritten   bool
	rewrittenAt time.Time
}

// askOtherHosts asks all other hosts that are not gone, except those that have confirmed,
// whether their claims are back.
func (c *Claims) askOtherHosts(epoch int64, confirmed map[string]bool) map[string]hostAnswer {
	answers := make(map[string]hostAnswer)
	if c.cfg.Peers == nil {
		return answers
	}
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, m := range c.cfg.Peers.Members() {
		if m.ID == c.self().ID || m.State == port.MemberGone || confirmed[m.ID] {
			continue
		}
		queries.Go(func() {
			a := c.askEpoch(m.ID, epoch)
			mu.Lock()
			defer mu.Unlock()
			answers[m.ID] = a
		})
	}
	queries.Wait()
	return answers
}

// askEpoch asks one host whether its claims are back. A host of a build that doesn't know
// the question never writes its claims again, so there is nothing to wait for.
func (c *Claims) askEpoch(host string, epoch int64) hostAnswer {
	ctx, cancel := context.WithTimeout(c.ctx, epochQueryTimeout)
	defer cancel()
	age := c.cfg.Clock.Now().Sub(c.epochs.status().firstLearnedAt)
	payload, err := cbor.Marshal(epochQuery{Epoch: epoch, Age: age})
	if err != nil {
		return hostAnswer{}
	}
	raw, err := c.cfg.Peers.Ask(ctx, host, requestKindEpoch, payload)
	if err != nil {
		unknown := verdict.From(err).Code == verdict.CodeNotFound
		return hostAnswer{responded: unknown, rewritten: unknown}
	}
	var reply epochReply
	if err := cbor.Unmarshal(raw, &reply); err != nil {
		return hostAnswer{}
	}
	c.observeEpoch(reply.Epoch, reply.Age)
	if reply.Epoch != epoch {
		return hostAnswer{responded: true}
	}
	return hostAnswer{responded: true, rewritten: reply.Rewritten, rewrittenAt: c.cfg.Clock.Now().Add(-reply.RewrittenAge)}
}

// handleEpoch answers the requests of askEpoch.
func (c *Claims) handleEpoch(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var q epochQuery
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, errors.Wrap(err, "decode epoch query")
	}
	c.observeEpoch(q.Epoch, q.Age)
	s := c.epochs.status()
	now := c.cfg.Clock.Now()
	reply := epochReply{Epoch: s.known, Age: now.Sub(s.firstLearnedAt), Rewritten: s.rewritten, RewrittenAge: now.Sub(s.rewrittenAt)}
	return cbor.Marshal(reply)
}
