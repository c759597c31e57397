package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// requestKindOp is the kind of the peer request that carries an op.
	requestKindOp = "claim.op"
	// opRequestTimeout limits the request to a shard's writer host, except for
	// claims, and the time that the writer host waits for the op's result. It is
	// longer than outcomeBatchDelay.
	opRequestTimeout = 2 * time.Second
	// claimRequestTimeout limits the request for a claim to a shard's writer host.
	// It leaves this host time to write the claim itself within claimTimeout.
	claimRequestTimeout = 500 * time.Millisecond
)

// opReply is the reply of a shard's writer host to an op.
type opReply struct {
	_ struct{} `cbor:",toarray"`
	// HasResult means that the op was executed or that the document is full.
	// Otherwise the sender has to execute the op itself.
	HasResult    bool
	DocumentFull bool
	// Entry is the entry that the op returned; see document.apply.
	Entry entry
}

// epochOpReply is the reply to an op that asks for it. A host of an earlier build replies
// with an opReply.
type epochOpReply struct {
	_            struct{} `cbor:",toarray"`
	HasResult    bool
	DocumentFull bool
	Entry        entry
	// Epoch is the store's epoch in which Entry was read or written; 0 if it names none.
	Epoch int64
}

// submitOp executes an op through the shard's writer host. Each shard has one
// writer host, so that the claims of all hosts share its writes. Any other host
// can write the shard too: if the writer host returns no result, this host
// executes the op, which costs only an additional write. The op may be executed
// twice; it is idempotent. The error wraps ctx.Err() if ctx ends while the op waits
// for this host's shard writer.
func (c *Claims) submitOp(ctx context.Context, o op) result {
	writerHost := c.shardWriterHost(o.Shard)
	if writerHost != "" {
		if r, ok := c.submitToWriterHost(ctx, writerHost, o); ok {
			return r
		}
	}
	select {
	case r := <-c.writers[o.Shard].submit(o):
		if r.err == nil && r.epoch == 0 {
			c.epochs.setUnnamed()
		}
		return r
	case <-ctx.Done():
		return result{err: errors.Wrap(ctx.Err(), "claim")}
	}
}

// submitToWriterHost sends an op to a shard's writer host. It returns the result, and
// false if there is none.
func (c *Claims) submitToWriterHost(ctx context.Context, host string, o op) (result, bool) {
	o.WantEpoch = true
	payload, err := cbor.Marshal(o)
	if err != nil {
		return result{}, false
	}
	limit := opRequestTimeout
	if o.Kind == opAddClaim {
		limit = claimRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rawReply, err := c.cfg.Peers.Ask(ctx, host, requestKindOp, payload)
	if err != nil {
		return result{}, false
	}
	reply, ok := c.decodeOpReply(rawReply)
	if !ok || !reply.HasResult {
		return result{}, false
	}
	if reply.DocumentFull {
		return result{err: errDocumentFull}, true
	}
	return result{entry: reply.Entry, epoch: reply.Epoch}, true
}

// decodeOpReply decodes the reply to an op. A reply that names no epoch is of no use
// unless the store is known to name none.
func (c *Claims) decodeOpReply(raw []byte) (epochOpReply, bool) {
	var reply epochOpReply
	if err := cbor.Unmarshal(raw, &reply); err == nil {
		return reply, true
	}
	var old opReply
	if err := cbor.Unmarshal(raw, &old); err != nil || !c.epochs.namesNone() {
		return epochOpReply{}, false
	}
	return epochOpReply{HasResult: old.HasResult, DocumentFull: old.DocumentFull, Entry: old.Entry}, true
}

// handleOp answers the requests of submitToWriterHost.
func (c *Claims) handleOp(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var o op
	if err := cbor.Unmarshal(payload, &o); err != nil {
		return nil, errors.Wrap(err, "decode op")
	}
	if o.Shard < 0 || o.Shard >= shardCount {
		return nil, errors.Errorf("claim: shard %d out of range", o.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, opRequestTimeout)
	defer cancel()
	var reply epochOpReply
	select {
	case r := <-c.writers[o.Shard].submit(o):
		full := errors.Is(r.err, errDocumentFull)
		reply = epochOpReply{HasResult: r.err == nil || full, DocumentFull: full, Entry: r.entry, Epoch: r.epoch}
	case <-ctx.Done():
	}
	if !o.WantEpoch {
		return cbor.Marshal(opReply{HasResult: reply.HasResult, DocumentFull: reply.DocumentFull, Entry: reply.Entry})
	}
	return cbor.Marshal(reply)
}

// shardWriterHost returns the ID of a shard's writer host, selected from the live
// hosts by rendezvous hashing; empty if it is this host.
func (c *Claims) shardWriterHost(shard int) string {
	if c.cfg.Peers == nil {
		return ""
	}
	self := c.cfg.Peers.Self()
	best, bestWeight := "", rendezvousWeight(shard, self.ID)
	for _, m := range c.cfg.Peers.Members() {
		if m.State != port.MemberLive || m.ID == self.ID {
			continue
		}
		if w := rendezvousWeight(shard, m.ID); w > bestWeight {
			best, bestWeight = m.ID, w
		}
	}
	return best
}

// rendezvousWeight returns a host's rendezvous hashing weight for a shard.
func rendezvousWeight(shard int, host string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(shard))
	_, _ = d.WriteString(host)
	return d.Sum64()
}
