package entry

import (
	"context"
	"log/slog"
	"time"
)

const (
	// isolationTime is how long a host must have been alone before it sends its
	// callers elsewhere: endpoints that are cut off with it are known by then.
	isolationTime = time.Second
	// isolationPoll is how often that is looked at.
	isolationPoll = 250 * time.Millisecond
)

// isolation tells a host that is cut off from all others from one whose whole
// zone is. The first still reaches the endpoints of other zones, where the other
// hosts have their work done together; it would compete with them, so its callers
// are better served there. The second serves its zone with the zone's endpoints.
type isolation struct {
	since time.Time
	on    bool
}

// observe takes in whether the host is alone and reaches endpoints of other
// zones. It reports whether the state has changed.
func (i *isolation) observe(now time.Time, alone, reachesAway bool) bool {
	was := i.on
	switch {
	case !alone || !reachesAway:
		i.since, i.on = time.Time{}, false
	case i.since.IsZero():
		i.since = now
	default:
		i.on = now.Sub(i.since) >= isolationTime
	}
	return i.on != was
}

// watchIsolation keeps this host out of the platform's choice, and closes
// callers' connections after their answers, while it is isolated.
func (n *Node) watchIsolation(ctx context.Context) {
	t := time.NewTicker(isolationPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			alone, away := n.group.Alone(), n.reachesAway()
			n.mu.Lock()
			if n.isolation.observe(now, alone, away) {
				n.front.CloseAfterAnswer(n.isolation.on || n.stopping)
				n.log.Warn("isolation changed", slog.Bool("isolated", n.isolation.on), slog.Int("hosts_known", len(n.facts.Current().Hosts)))
			}
			n.mu.Unlock()
		}
	}
}

// reachesAway reports whether endpoints of other zones can be reached.
func (n *Node) reachesAway() bool {
	for _, e := range n.health.Up(n.endpoints()) {
		if e.Zone != n.settings.Zone {
			return true
		}
	}
	return false
}
