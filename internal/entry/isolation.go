package entry

import (
	"context"
	"log/slog"
	"time"
)

const (
	// isolationDelay is how long no other host must have responded before this host
	// sends its callers elsewhere. By then, endpoints that are partitioned together
	// with it have been detected.
	isolationDelay = time.Second
	// isolationCheckInterval is the time between two checks for isolation.
	isolationCheckInterval = 250 * time.Millisecond
)

// isolationState distinguishes a host that is partitioned from all other hosts
// from a host whose whole zone is. The first is isolated: it still reaches the
// endpoints of other zones and would compete for them with the other hosts,
// which coordinate their work, so the other hosts serve its callers better. The
// second serves its zone with the zone's endpoints and is not isolated.
type isolationState struct {
	// partitionedSince is since when no other host has responded while endpoints of
	// other zones could be reached; zero if that is not so.
	partitionedSince time.Time
	// isolated is set once that has lasted isolationDelay.
	isolated bool
}

// update records whether no other host responds and whether endpoints of other
// zones can be reached. It reports whether isolated has changed.
func (i *isolationState) update(now time.Time, noPeerResponds, reachesOtherZones bool) bool {
	wasIsolated := i.isolated
	switch {
	case !noPeerResponds || !reachesOtherZones:
		i.partitionedSince, i.isolated = time.Time{}, false
	case i.partitionedSince.IsZero():
		i.partitionedSince = now
	default:
		i.isolated = now.Sub(i.partitionedSince) >= isolationDelay
	}
	return i.isolated != wasIsolated
}

// watchIsolation updates n.isolation, which makes this host unready while it is
// isolated, and has callers' connections closed after their next response in that
// time. It returns when ctx ends.
func (n *Node) watchIsolation(ctx context.Context) {
	t := time.NewTicker(isolationCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			noPeerResponds, reachesOtherZones := n.group.NoPeerResponds(), n.reachesOtherZones()
			n.mu.Lock()
			if n.isolation.update(now, noPeerResponds, reachesOtherZones) {
				n.callerServer.CloseAfterResponse(n.isolation.isolated || n.stopping)
				n.log.Warn("isolation changed", slog.Bool("isolated", n.isolation.isolated), slog.Int("hosts_known", len(n.replica.Current().Hosts)))
			}
			n.mu.Unlock()
		}
	}
}

// reachesOtherZones reports whether endpoints of other zones can be reached.
func (n *Node) reachesOtherZones() bool {
	for _, e := range n.health.Available(n.usableEndpoints()) {
		if e.Zone != n.settings.Zone {
			return true
		}
	}
	return false
}
