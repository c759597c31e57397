// Package rollout decides how a service's traffic moves to a software version: how much
// of it at each moment, whether the version is bad, and when the move has ended.
// Participant is the part of each host and Collector that of the hosts that gather the
// counts. It has no sockets, and time and randomness are passed in.
package rollout

import (
	"fmt"
	"time"
)

// State is the state of a roll-out as the operator reads it.
type State uint8

// The states of a roll-out.
const (
	// None means that no status is written.
	None State = iota
	// InProgress means that traffic is being moved.
	InProgress
	// Completed means that all traffic goes to the target.
	Completed
	// RolledBack means that no traffic goes to the target.
	RolledBack
)

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"none", "in progress", "completed", "rolled back"}[min(s, RolledBack)]
}

// Ended reports whether the state is final for its order.
func (s State) Ended() bool { return s == Completed || s == RolledBack }

// Order is the operator's order to move a service's traffic to a version.
type Order struct {
	Service, Target string
	Duration        time.Duration
}

// ID identifies the order among those for its service.
func (o Order) ID() string { return fmt.Sprintf("%s/%d", o.Target, o.Duration.Milliseconds()) }

// Status is what the operator reads.
type Status struct {
	State  State
	Target string
}

// Bounds bound how a version may be tried.
type Bounds struct {
	// Share and Slack bound the requests that a bad version gets between the order and its
	// deadline: Share of all requests to the service, plus Slack.
	Share, Slack float64
	// Rollback is the time after enough bad answers within which the last request goes to
	// the version.
	Rollback time.Duration
}

const (
	// boundMargin is the part of Share that is used: requests that one host counts may not
	// reach their endpoint.
	boundMargin = 0.95
	// slackMargin is the part of Slack that is used: hosts that start again have it twice.
	slackMargin = 0.5
	// spareHosts is added to the known hosts that divide Slack.
	spareHosts = 2
	// grantPart is the time that a grant lasts, and intervalPart the longest time between
	// two reports, as parts of Bounds.Rollback: a stop is heard by all after both.
	grantPart, intervalPart = 0.6, 0.25
	// minInterval is the shortest time between two reports, and hostInterval what each host
	// makes it at least; quickHostInterval in the last part of the roll-out, from quickPart on.
	minInterval, hostInterval, quickHostInterval = 300 * time.Millisecond, 5 * time.Millisecond, 1500 * time.Microsecond
	quickPart                                    = 0.8
)

// GrantTime returns how long a grant lasts.
func (b Bounds) GrantTime() time.Duration { return scale(grantPart, b.Rollback) }

// Interval returns the time between two reports of a host at the time elapsed since the order.
func (b Bounds) Interval(hosts int, elapsed, duration time.Duration) time.Duration {
	each := hostInterval
	if elapsed >= scale(quickPart, duration) {
		each = quickHostInterval
	}
	return min(scale(intervalPart, b.Rollback), max(minInterval, time.Duration(hosts)*each))
}

func scale(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }
