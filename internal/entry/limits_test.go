package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/facts"
)

// TestGoneHostKeepsItsShares guards against hosts that take over the shares of one that is
// cut off from the store and goes on using them.
func TestGoneHostKeepsItsShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	hosts := make(recentHosts)
	ids, changed := hosts.update(map[string]facts.Host{"edge-2": {}, "edge-1": {}}, now)
	is.True(changed)
	is.Equal(ids, []string{"edge-1", "edge-2"})
	now = now.Add(time.Minute)
	ids, changed = hosts.update(map[string]facts.Host{"edge-2": {}}, now)
	is.True(!changed)
	is.Equal(ids, []string{"edge-1", "edge-2"})
	ids, changed = hosts.update(map[string]facts.Host{"edge-2": {}}, now.Add(goneHostRetention))
	is.True(changed)
	is.Equal(ids, []string{"edge-2"})
}
