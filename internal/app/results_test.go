package app

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

type handler = func(ctx context.Context, from port.Member, payload []byte) ([]byte, error)

// fakePeers joins hosts in one process. cross makes replies go astray: each
// asker gets the reply to the message before.
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
	reply, err := p.handlers[host][kind](ctx, p.Self(), payload)
	if p.previousReply != nil {
		reply, *p.previousReply = *p.previousReply, reply
	}
	return reply, err
}

func (p *fakePeers) Handle(kind string, fn handler) { p.handlers[p.id][kind] = fn }

func newCacheableRequest(customer, input string) *pipeline.Request {
	return &pipeline.Request{
		Customer: customer, IdempotencyKey: "k", Input: json.RawMessage(input), Deadline: time.Now().Add(time.Hour),
		Pipeline: release.Pipeline{Name: "p", DeadlineMs: 1000},
	}
}

func TestAResultReachesOnlyTheRequestThatAsked(t *testing.T) {
	is := is.New(t)
	fleet := map[string]map[string]handler{"a": {}, "b": {}, "c": {}}
	now := func(fn func()) { fn() }
	hosts := map[string]*resultCache{}
	for id := range fleet {
		hosts[id] = newResultCache(&fakePeers{id: id, handlers: fleet}, port.SystemClock{}, now)
	}
	for _, input := range []string{`1`, `2`, `3`, `4`, `5`, `6`, `7`, `8`} {
		out := json.RawMessage(`"of ` + input + `"`)
		hosts["a"].Put(newCacheableRequest("x", input), 0, pipeline.CachedStage{Output: out})
		for _, k := range hosts {
			got := k.Get(t.Context(), newCacheableRequest("x", input))
			is.Equal(len(got), 1)
			is.Equal(string(got[0].Output), string(out))
			is.Equal(len(k.Get(t.Context(), newCacheableRequest("y", input))), 0)
			other := newCacheableRequest("x", input)
			other.IdempotencyKey = "another"
			is.Equal(len(k.Get(t.Context(), other)), 0)
			other.IdempotencyKey = ""
			hosts["b"].Put(other, 0, pipeline.CachedStage{Output: out})
			is.Equal(len(k.Get(t.Context(), other)), 0)
		}
	}
	var astray []byte
	crossed := &resultCache{peers: &fakePeers{id: "a", handlers: fleet, previousReply: &astray}, clock: port.SystemClock{}, local: hosts["a"].local, spawn: now}
	for _, input := range []string{`1`, `2`, `3`, `4`, `5`, `6`, `7`, `8`} {
		for _, kept := range crossed.Get(t.Context(), newCacheableRequest("x", input)) {
			is.Equal(string(kept.Output), `"of `+input+`"`)
		}
	}
}
