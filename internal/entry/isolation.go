package entry

import (
	"context"
	"log/slog"
	"time"
)

const (
	// isolationDelay is how long a host must have been alone before it sends its
	// callers elsewhere: endpoints that are cut off with it are known by then.
	isolationDelay = time.Second
	// isolationCheckInterval is how often that is looked at.
	isolationCheckInterval = 250 * time.Millisecond
)

// isolation tells a host that is cut off from all others from one whose whole
// zone is. The first still reaches the endpoints of other zones, where the other
// hosts have their work done together; it would compete with them, so its callers
// are better served there. The second serves its zone with the zone's endpoints.
type isolationState struct {
	partitionedSince time.Time
	isolated         bool
}

// observe takes in whether the host is alone and reaches endpoints of other
// zones. It reports whether the state has changed.
func (i *isolationState) update(now time.Time, alone, reachesAway bool) bool {
	was := i.isolated
	switch {
	case !alone || !reachesAway:
		i.partitionedSince, i.isolated = time.Time{}, false
	case i.partitionedSince.IsZero():
		i.partitionedSince = now
	default:
		i.isolated = now.Sub(i.partitionedSince) >= isolationDelay
	}
	return i.isolated != was
}

// watchIsolation keeps this host out of the platform's choice, and closes
// callers' connections after their answers, while it is isolated.
func (n *Node) watchIsolation(ctx context.Context) {
	t := time.NewTicker(isolationCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			alone, away := n.group.NoPeerResponds(), n.reachesOtherZones()
			n.mu.Lock()
			if n.isolation.update(now, alone, away) {
				n.callerServer.CloseAfterResponse(n.isolation.isolated || n.stopping)
				n.log.Warn("isolation changed", slog.Bool("isolated", n.isolation.isolated), slog.Int("hosts_known", len(n.replica.Current().Hosts)))
			}
			n.mu.Unlock()
		}
	}
}

// reachesAway reports whether endpoints of other zones can be reached.
func (n *Node) reachesOtherZones() bool {
	for _, e := range n.health.Available(n.usableEndpoints()) {
		if e.Zone != n.settings.Zone {
			return true
		}
	}
	return false
}
