package app

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

type handler = func(ctx context.Context, from port.Member, payload []byte) ([]byte, error)

// handlersMu guards the handlers of fakePeers, whose hosts start one after another.
var handlersMu sync.RWMutex

// fakePeers connects hosts in memory. handlers holds the handlers of all hosts by
// host id and message kind. If previousReply is set, replies are misdirected: each
// caller gets the reply to the previous message.
type fakePeers struct {
	id            string
	handlers      map[string]map[string]handler
	previousReply *[]byte
}

func (p *fakePeers) Self() port.Member { return port.Member{ID: p.id} }

func (p *fakePeers) Members() (all []port.Member) {
	for id := range p.handlers {
		all = append(all, port.Member{ID: id})
	}
	return all
}

func (p *fakePeers) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	handlersMu.RLock()
	handle := p.handlers[host][kind]
	handlersMu.RUnlock()
	if handle == nil {
		return nil, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no handler for "+kind)
	}
	reply, err := handle(ctx, p.Self(), payload)
	if p.previousReply != nil {
		reply, *p.previousReply = *p.previousReply, reply
	}
	return reply, err
}

func (p *fakePeers) Handle(kind string, fn handler) {
	handlersMu.Lock()
	defer handlersMu.Unlock()
	p.handlers[p.id][kind] = fn
}

// newCacheableRequest returns a request with an idempotency key, whose results may
// be cached.
func newCacheableRequest(customer, input string) *pipeline.Request {
	return &pipeline.Request{
		Customer: customer, IdempotencyKey: "k", Input: json.RawMessage(input), Deadline: time.Now().Add(time.Hour),
		Pipeline: release.Pipeline{Name: "p", TimeoutMs: 1000},
	}
}

// TestAResultReachesOnlyTheRequestThatAsked checks that a cached result is returned
// only for the same customer, input and idempotency key, never without a key, and
// not to another request if replies are misdirected.
func TestAResultReachesOnlyTheRequestThatAsked(t *testing.T) {
	is := is.New(t)
	handlers := map[string]map[string]handler{"a": {}, "b": {}, "c": {}}
	runInline := func(fn func()) { fn() }
	caches := map[string]*resultCache{}
	for id := range handlers {
		caches[id] = newResultCache(&fakePeers{id: id, handlers: handlers}, port.SystemClock{}, runInline)
	}
	for _, input := range []string{`1`, `2`, `3`, `4`, `5`, `6`, `7`, `8`} {
		out := json.RawMessage(`"of ` + input + `"`)
		caches["a"].Put(newCacheableRequest("x", input), 0, pipeline.CachedStage{Output: out})
		for _, cache := range caches {
			cached := cache.Get(t.Context(), newCacheableRequest("x", input))
			is.Equal(len(cached), 1)
			is.Equal(string(cached[0].Output), string(out))
			is.Equal(len(cache.Get(t.Context(), newCacheableRequest("y", input))), 0)
			other := newCacheableRequest("x", input)
			other.IdempotencyKey = "another"
			is.Equal(len(cache.Get(t.Context(), other)), 0)
			other.IdempotencyKey = ""
			caches["b"].Put(other, 0, pipeline.CachedStage{Output: out})
			is.Equal(len(cache.Get(t.Context(), other)), 0)
		}
	}
	var previousReply []byte
	cacheWithSwappedReplies := &resultCache{peers: &fakePeers{id: "a", handlers: handlers, previousReply: &previousReply}, clock: port.SystemClock{}, local: caches["a"].local, spawn: runInline}
	for _, input := range []string{`1`, `2`, `3`, `4`, `5`, `6`, `7`, `8`} {
		for _, stage := range cacheWithSwappedReplies.Get(t.Context(), newCacheableRequest("x", input)) {
			is.Equal(string(stage.Output), `"of `+input+`"`)
		}
	}
}
