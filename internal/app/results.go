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

// Bounds of caching results.
const (
	// maxResultCacheBytes bounds the results that one host caches.
	maxResultCacheBytes = 16 << 20
	// resultGetTimeout bounds a request to the owner, which delays the run.
	// resultPutTimeout bounds one that runs in the background.
	resultGetTimeout = 20 * time.Millisecond
	resultPutTimeout = 500 * time.Millisecond
	// maxConcurrentPuts bounds the puts to other hosts in flight; further results
	// for other hosts are not cached.
	maxConcurrentPuts = 64
	// maxResultTTL bounds the TTL of results that another host puts.
	maxResultTTL = 2 * time.Minute
)

// resultMessage puts a stage's result into the owner's cache, or gets all cached
// results of a request. A get has only the Key; Stage is the stage's index.
type resultMessage struct {
	Key    results.Key           `cbor:"1,keyasint"`
	Stage  int                   `cbor:"2,keyasint"`
	Result *pipeline.CachedStage `cbor:"3,keyasint,omitempty"`
	// TTL is how long the result is cached. It is a duration because the hosts'
	// clocks differ.
	TTL time.Duration `cbor:"4,keyasint"`
}

// resultReply holds the cached stages of a request. The receiver checks Key
// against its request, so that a misdirected reply is not used.
type resultReply struct {
	Key    results.Key            `cbor:"1,keyasint"`
	Stages []pipeline.CachedStage `cbor:"2,keyasint"`
}

// resultCache implements pipeline.StageCache. It caches the results of each request
// on the request's owner, one of the hosts.
type resultCache struct {
	peers port.Peers
	clock port.Clock
	// local holds the results that this host owns.
	local *results.Cache
	// spawn runs fn on another goroutine.
	spawn func(fn func())
	// putSemaphore has a capacity of maxConcurrentPuts.
	putSemaphore chan struct{}
}

// newResultCache registers the handlers of both messages with the peers, so it
// must be called before these are started.
func newResultCache(peers port.Peers, clock port.Clock, spawn func(fn func())) *resultCache {
	c := &resultCache{
		peers:        peers,
		clock:        clock,
		local:        results.NewCache(clock, maxResultCacheBytes),
		spawn:        spawn,
		putSemaphore: make(chan struct{}, maxConcurrentPuts),
	}
	peers.Handle(kindResultPut, c.handlePut)
	peers.Handle(kindResultGet, c.handleGet)
	return c
}

// Get returns the request's stages cached by its owner. It returns nil if the
// owner does not respond within resultGetTimeout.
func (c *resultCache) Get(ctx context.Context, req *pipeline.Request) []pipeline.CachedStage {
	key, owner, ok := c.ownerOf(req)
	if !ok {
		return nil
	}
	if owner == c.peers.Self().ID {
		return c.local.Get(key)
	}
	ctx, cancel := context.WithTimeout(ctx, resultGetTimeout)
	defer cancel()
	var reply resultReply
	if err := c.call(ctx, owner, kindResultGet, resultMessage{Key: key}, &reply); err != nil || reply.Key != key {
		return nil
	}
	return reply.Stages
}

// Put caches a finished stage, given by its index, on the request's owner. It does
// not block, and drops a result above results.MaxOutputBytes. The result is cached
// until the request's deadline plus the pipeline's maximum run time, so that a retry
// of the caller can use it; on another host at most for maxResultTTL.
func (c *resultCache) Put(req *pipeline.Request, stage int, result pipeline.CachedStage) {
	key, owner, ok := c.ownerOf(req)
	if !ok || len(result.Output) > results.MaxOutputBytes {
		return
	}
	ttl := req.Deadline.Add(req.Pipeline.Timeout()).Sub(c.clock.Now())
	if owner == c.peers.Self().ID {
		c.local.Put(key, stage, result, c.clock.Now().Add(ttl))
		return
	}
	select {
	case c.putSemaphore <- struct{}{}:
	default:
		return
	}
	c.spawn(func() {
		defer func() { <-c.putSemaphore }()
		ctx, cancel := context.WithTimeout(context.Background(), resultPutTimeout)
		defer cancel()
		// A result that is not cached only makes a retry run the stage again.
		_ = c.call(ctx, owner, kindResultPut, resultMessage{Key: key, Stage: stage, Result: &result, TTL: ttl}, nil)
	})
}

// ownerOf returns the request's cache key and the id of the host that caches its
// results. It returns false for a request without an idempotency key, because its
// retry cannot be distinguished from another request with the same input, and if
// the key cannot be computed or no host is live.
func (c *resultCache) ownerOf(req *pipeline.Request) (results.Key, string, bool) {
	if req.IdempotencyKey == "" {
		return results.Key{}, "", false
	}
	key, err := results.KeyOf(req)
	if err != nil {
		return key, "", false
	}
	owner, ok := results.Owner(c.peers.Members(), key)
	return key, owner, ok
}

// call sends a message to a host and decodes its response into reply, unless reply
// is nil.
func (c *resultCache) call(ctx context.Context, host, kind string, message resultMessage, reply any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	response, err := c.peers.Ask(ctx, host, kind, payload)
	if err != nil || reply == nil {
		return err
	}
	return cbor.Unmarshal(response, reply)
}

func (c *resultCache) handlePut(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var message resultMessage
	if err := cbor.Unmarshal(payload, &message); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if message.Result != nil {
		c.local.Put(message.Key, message.Stage, *message.Result, c.clock.Now().Add(min(message.TTL, maxResultTTL)))
	}
	return nil, nil
}

func (c *resultCache) handleGet(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var message resultMessage
	if err := cbor.Unmarshal(payload, &message); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return cbor.Marshal(resultReply{Key: message.Key, Stages: c.local.Get(message.Key)})
}
