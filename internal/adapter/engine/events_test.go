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

// TestCacheEventsUseRoutingBlockHashes checks that the engine and the routing
// index compute the same block hashes.
func TestCacheEventsUseRoutingBlockHashes(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e"), CacheBlocks: 100})
	c, a := startStandin(t, e, release.KindEngine)
	input, err := json.Marshal(strings.Repeat("loose block on the ridge ", 10))
	is.NoErr(err)
	a.Input = input
	_, callErr := c.Call(t.Context(), a)
	is.NoErr(callErr)
	events, err := c.CacheEvents(t.Context(), a.Endpoint, 0)
	is.NoErr(err)
	index := routing.NewIndex()
	index.Apply("e", events)
	blocks := routing.Blocks(input)
	is.True(len(blocks) > 0)
	is.Equal(index.CachedPrefix("e", blocks), len(blocks))
	newer, err := c.CacheEvents(t.Context(), a.Endpoint, index.LastSequence("e"))
	is.NoErr(err)
	is.Equal(len(newer), 0)
}
