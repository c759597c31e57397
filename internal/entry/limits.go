package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/facts"
)

const (
	// spareHosts is added to the hosts of late when limits are divided among them. It
	// allows for hosts being replaced or not known yet.
	spareHosts = 2
	// defaultHosts is the assumed number of hosts until some are known.
	defaultHosts = 12
	// goneHostRetention is how long a host counts after it was last known: it may be
	// cut off from the store and go on using its shares.
	goneHostRetention = time.Hour
)

// recentHosts holds the ids of the hosts known of late, with the time at which each
// was known last.
type recentHosts map[string]time.Time

// update adds the hosts known now and drops those gone for goneHostRetention. It
// returns the ids of all, sorted, and whether they have changed.
func (r recentHosts) update(known map[string]facts.Host, now time.Time) (ids []string, changed bool) {
	before := len(r)
	maps.DeleteFunc(r, func(_ string, seen time.Time) bool { return now.Sub(seen) > goneHostRetention })
	changed = len(r) != before
	for id := range known {
		if _, ok := r[id]; !ok {
			changed = true
		}
		r[id] = now
	}
	return slices.Sorted(maps.Keys(r)), changed
}

// divideLimits divides the limits on all hosts together among the hosts known now. The
// limits on retries, on sends to cold endpoints and on connections, which hold also
// for hosts that are cut off, are divided among those known of late and spareHosts.
func (n *Node) divideLimits(known map[string]facts.Host, now time.Time) {
	if len(known) == 0 {
		return
	}
	n.rateLimits.SetHosts(slices.Collect(maps.Keys(known)))
	if holdsSlack(known, n.startedUnixMs, n.settings.RetryWindow, now) && !n.startedFirst(known) {
		n.retryBudgets.HoldSlack(time.UnixMilli(n.startedUnixMs).Add(n.settings.RetryWindow))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ids, changed := n.recentHosts.update(known, now); changed {
		n.balancer.SetHosts(ids, spareHosts)
		n.advisories.SetHosts(ids, spareHosts)
		n.retryBudgets.SetHostCount(len(ids) + spareHosts)
	}
}

// holdsSlack reports whether a host that started at a time, in Unix milliseconds, has no part of
// the slack of retries: it doesn't know what it used before, and more hosts have started within
// the window than the spare shares make up for.
func holdsSlack(known map[string]facts.Host, startedUnixMs int64, window time.Duration, now time.Time) bool {
	isRecent := func(startedUnixMs int64) bool { return now.Sub(time.UnixMilli(startedUnixMs)) < window }
	recent := 0
	for _, h := range known {
		if isRecent(h.StartedUnixMs) {
			recent++
		}
	}
	return isRecent(startedUnixMs) && recent > spareHosts
}
