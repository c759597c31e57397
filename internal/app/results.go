package app

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/results"
	"github.com/pimentorill/pimentorill/internal/port"
)

// The kinds of messages between hosts about results.
const (
	kindResultPut = "result.put"
	kindResultGet = "result.get"
)

// Bounds of keeping results.
const (
	keptBytes     = 16 << 20
	resultTimeout = 20 * time.Millisecond
	putTimeout    = 500 * time.Millisecond
	// maxPuts bounds the puts under way; beyond it results are not kept.
	maxPuts = 64
	// maxLife bounds how long another host may have a result kept.
	maxLife = 2 * time.Minute
)

// resultMessage carries a stage's result to its home, or asks for a request's.
type resultMessage struct {
	Key   results.Key           `cbor:"1,keyasint"`
	Stage int                   `cbor:"2,keyasint"`
	Kept  *pipeline.CachedStage `cbor:"3,keyasint,omitempty"`
	// Life is how long the result is kept; a duration, since clocks differ.
	Life time.Duration `cbor:"4,keyasint"`
}

// resultReply answers with the stages kept. The key is checked by the asker.
type resultReply struct {
	Key    results.Key            `cbor:"1,keyasint"`
	Stages []pipeline.CachedStage `cbor:"2,keyasint"`
}

// keeper keeps results on their home hosts. It is a pipeline.StageCache.
type keeper struct {
	peers port.Peers
	clock port.Clock
	store *results.Cache
	spawn func(fn func())
	puts  chan struct{}
}

// newKeeper registers the handlers of both messages with the peers, so call
// it before these are started.
func newKeeper(peers port.Peers, clock port.Clock, spawn func(fn func())) *keeper {
	k := &keeper{
		peers: peers,
		clock: clock,
		store: results.NewCache(clock, keptBytes),
		spawn: spawn,
		puts:  make(chan struct{}, maxPuts),
	}
	peers.Handle(kindResultPut, k.handlePut)
	peers.Handle(kindResultGet, k.handleGet)
	return k
}

// Get asks the request's home for what is kept of it. It returns nothing if
// the home does not answer soon.
func (k *keeper) Get(ctx context.Context, req *pipeline.Request) []pipeline.CachedStage {
	key, home, ok := k.home(req)
	if !ok {
		return nil
	}
	if home == k.peers.Self().ID {
		return k.store.Get(key)
	}
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	var reply resultReply
	if err := k.ask(ctx, home, kindResultGet, resultMessage{Key: key}, &reply); err != nil || reply.Key != key {
		return nil
	}
	return reply.Stages
}

// Put sends a finished stage to the request's home. Results are kept for one
// more of the pipeline's deadlines, in which the caller may send again.
func (k *keeper) Put(req *pipeline.Request, stage int, kept pipeline.CachedStage) {
	key, home, ok := k.home(req)
	if !ok || len(kept.Output) > results.MaxOutputBytes {
		return
	}
	life := req.Deadline.Add(req.Pipeline.Deadline()).Sub(k.clock.Now())
	if home == k.peers.Self().ID {
		k.store.Put(key, stage, kept, k.clock.Now().Add(life))
		return
	}
	select {
	case k.puts <- struct{}{}:
	default:
		return
	}
	k.spawn(func() {
		defer func() { <-k.puts }()
		ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
		defer cancel()
		// A result that is not kept costs a second sending more, no more.
		_ = k.ask(ctx, home, kindResultPut, resultMessage{Key: key, Stage: stage, Kept: &kept, Life: life}, nil)
	})
}

// home returns the request's key and the host that keeps its results; false
// for a request without an idempotency key, since nothing tells its second
// sending from another request with the same input.
func (k *keeper) home(req *pipeline.Request) (results.Key, string, bool) {
	if req.IdempotencyKey == "" {
		return results.Key{}, "", false
	}
	key, err := results.KeyOf(req)
	if err != nil {
		return key, "", false
	}
	home, ok := results.Owner(k.peers.Members(), key)
	return key, home, ok
}

func (k *keeper) ask(ctx context.Context, host, kind string, message resultMessage, reply any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	answer, err := k.peers.Ask(ctx, host, kind, payload)
	if err != nil || reply == nil {
		return err
	}
	return cbor.Unmarshal(answer, reply)
}

func (k *keeper) handlePut(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var m resultMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if m.Kept != nil {
		k.store.Put(m.Key, m.Stage, *m.Kept, k.clock.Now().Add(min(m.Life, maxLife)))
	}
	return nil, nil
}

func (k *keeper) handleGet(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var m resultMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return cbor.Marshal(resultReply{Key: m.Key, Stages: k.store.Get(m.Key)})
}
