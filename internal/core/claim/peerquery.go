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
	// requestKindMayHaveRun is the kind of the peer request that asks whether a
	// host may have run a key.
	requestKindMayHaveRun = "claim.known"
	// maxMembersQueried is the number of members, this host included, up to which
	// the other hosts are queried for a key. In a larger cluster none is queried,
	// and every key may have run.
	maxMembersQueried = 16
	// peerQueryTimeout limits the time of all queries for one key.
	peerQueryTimeout = 250 * time.Millisecond
)

// mayHaveRunQuery asks whether a host may have run a key.
type mayHaveRunQuery struct {
	_   struct{} `cbor:",toarray"`
	Key keyID
	// CreatedAtMs is the key's timestamp in Unix milliseconds, 0 for an undated
	// key.
	CreatedAtMs int64
}

// verdictWithoutStore determines whether a key may have run if the store is
// unavailable. It returns NotRun only if every other known host confirms it and
// this host cannot have lost a run of the key.
func (c *Claims) verdictWithoutStore(ctx context.Context, k callerKey) verdict.Verdict {
	if c.mayHaveLostRun(k.createdAt) {
		return verdict.MayHaveRun
	}
	if c.cfg.Peers == nil {
		return verdict.NotRun
	}
	members := c.cfg.Peers.Members()
	if len(members) > maxMembersQueried {
		return verdict.MayHaveRun
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var queries sync.WaitGroup
	var unconfirmed atomic.Int32
	for _, m := range members {
		if m.ID == c.self().ID {
			continue
		}
		queries.Go(func() {
			if !c.confirmNotRun(ctx, m.ID, k) {
				unconfirmed.Add(1)
			}
		})
	}
	queries.Wait()
	if unconfirmed.Load() > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// confirmNotRun reports whether the host confirmed that it has not run the key.
func (c *Claims) confirmNotRun(ctx context.Context, host string, k callerKey) bool {
	q := mayHaveRunQuery{Key: k.id}
	if !k.createdAt.IsZero() {
		q.CreatedAtMs = k.createdAt.UnixMilli()
	}
	payload, err := cbor.Marshal(q)
	if err != nil {
		return false
	}
	reply, err := c.cfg.Peers.Ask(ctx, host, requestKindMayHaveRun, payload)
	if err != nil {
		return false
	}
	mayHaveRun := true
	err = cbor.Unmarshal(reply, &mayHaveRun)
	return err == nil && !mayHaveRun
}

// handleMayHaveRun answers the requests of confirmNotRun.
func (c *Claims) handleMayHaveRun(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var q mayHaveRunQuery
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, errors.Wrap(err, "decode may-have-run query")
	}
	var createdAt time.Time
	if q.CreatedAtMs != 0 {
		createdAt = time.UnixMilli(q.CreatedAtMs)
	}
	return cbor.Marshal(c.runs.has(q.Key) || c.mayHaveLostRun(createdAt))
}

// mayHaveLostRun reports whether this host may have run a caller's key with this
// timestamp and no longer have the run in memory, because the host was restarted
// or the run was evicted to limit memory. For a key without a timestamp, passed
// as the zero time, it does not consider a restart.
func (c *Claims) mayHaveLostRun(createdAt time.Time) bool {
	evicted := c.runs.latestEvictedCallerStart()
	if createdAt.IsZero() {
		return !evicted.IsZero()
	}
	return !createdAt.After(c.startedAt) || !createdAt.After(evicted)
}
