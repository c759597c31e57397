package engine

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/routing"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// TestEventsNameTheBlocksThatRoutingLooksFor checks that both sides hash
// blocks alike.
func TestEventsNameTheBlocksThatRoutingLooksFor(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warm("e"), CacheBlocks: 100})
	c, a := begin(t, e, release.KindEngine)
	input, err := json.Marshal(strings.Repeat("loose block on the ridge ", 10))
	is.NoErr(err)
	a.Input = input
	_, callErr := c.Call(t.Context(), a)
	is.NoErr(callErr)
	events, err := c.CacheEvents(t.Context(), a.Endpoint, 0)
	is.NoErr(err)
	x := routing.NewIndex()
	x.Apply("e", events)
	blocks := routing.Blocks(input)
	is.True(len(blocks) > 0)
	is.Equal(x.CachedPrefix("e", blocks), len(blocks))
	again, err := c.CacheEvents(t.Context(), a.Endpoint, x.LastSequence("e"))
	is.NoErr(err)
	is.Equal(len(again), 0)
}
