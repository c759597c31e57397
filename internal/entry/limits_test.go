package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/quota"
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

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// TestRestartedHostsStayWithinTheRetryBudget guards against repeats beyond what is allowed (BUDGET)
// because hosts that start anew, one after the other, use their parts of the slack once more.
func TestRestartedHostsStayWithinTheRetryBudget(t *testing.T) {
	const hosts = 8
	limit := quota.RetryLimit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	for _, restarts := range []int{0, 2, 3, hosts} {
		is := is.New(t)
		clock := &manualClock{time.Unix(1000, 0)}
		known := make(map[string]facts.Host)
		budgets := make([]*quota.RetryBudgets, hosts)
		start := func(i int) {
			budgets[i] = quota.NewRetryBudgets(limit, clock)
			budgets[i].SetHostCount(hosts + spareHosts)
			known[fmt.Sprint("edge-", i)] = facts.Host{StartedUnixMs: clock.now.UnixMilli()}
		}
		retries := 0
		use := func(i int) {
			started := known[fmt.Sprint("edge-", i)].StartedUnixMs
			if holdsSlack(known, started, limit.Window, clock.now) {
				budgets[i].HoldSlack(time.UnixMilli(started).Add(limit.Window))
			}
			for budgets[i].TryTake("pool", 1) {
				retries++
			}
		}
		for i := range hosts {
			start(i)
		}
		clock.now = clock.now.Add(limit.Window)
		for i := range hosts {
			use(i)
		}
		for i := range restarts {
			clock.now = clock.now.Add(time.Second)
			start(i)
			use(i)
		}
		t.Logf("%d restarts: %d retries without a first attempt, slack %v", restarts, retries, limit.Slack)
		is.True(retries > 0 && float64(retries) <= limit.Slack)
	}
}
