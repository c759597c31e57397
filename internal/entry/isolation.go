package entry

import (
	"context"
	"log/slog"
	"time"
)

const (
	// isolationDelay is how long this host must get no response from any other host
	// before it becomes unready and has its callers' connections closed. By then the
	// health monitor has marked the endpoints that this host cannot reach.
	isolationDelay = time.Second
	// isolationCheckInterval is the time between two checks for isolation.
	isolationCheckInterval = 250 * time.Millisecond
)

// isolationState distinguishes a host that is partitioned from all other hosts
// from a host whose whole zone is. The first is isolated: it still reaches the
// endpoints of other zones and would compete for them with the other hosts,
// which coordinate their work, so the other hosts serve its callers better. The
// second serves its zone with the zone's endpoints and is not isolated. Node.mu
// guards the fields.
type isolationState struct {
	// partitionedSince is the time of the first of consecutive checks that found that
	// no other host responds while endpoints of other zones are available; zero if
	// the last check did not.
	partitionedSince time.Time
	// isolated is set once that has lasted isolationDelay, and cleared by the first
	// check that finds otherwise.
	isolated bool
}

// update updates the state with the result of a check and reports whether isolated
// has changed. noOtherHostResponds is false if no other host is known.
func (i *isolationState) update(now time.Time, noOtherHostResponds, reachesOtherZones bool) bool {
	wasIsolated := i.isolated
	switch {
	case !noOtherHostResponds || !reachesOtherZones:
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
			noOtherHostResponds, reachesOtherZones := n.group.NoPeerResponds(), n.reachesOtherZones()
			n.mu.Lock()
			if n.isolation.update(now, noOtherHostResponds, reachesOtherZones) {
				n.callerServer.CloseAfterResponse(n.isolation.isolated || n.stopping)
				n.log.Warn("isolation changed", slog.Bool("isolated", n.isolation.isolated), slog.Int("hosts_known", len(n.replica.Current().Hosts)))
			}
			n.mu.Unlock()
		}
	}
}

// reachesOtherZones reports whether the health monitor considers any usable endpoint
// of another zone available.
func (n *Node) reachesOtherZones() bool {
	for _, e := range n.health.Available(n.usableEndpoints()) {
		if e.Zone != n.settings.Zone {
			return true
		}
	}
	return false
}
