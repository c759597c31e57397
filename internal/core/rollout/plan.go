package rollout

import "time"

const (
	// maxTrialShare is the part of Bounds.Share that goes to the target before the share
	// rises.
	maxTrialShare = 0.3
	// firstRise and secondRise are the shares of the traffic at the steps before all of it.
	firstRise, secondRise = 0.1, 0.3
	// maxRisePart is the longest of these steps, as a part of the roll-out's duration.
	maxRisePart = 0.05
	// spreadRounds is the number of rounds of reports that a step takes to reach all hosts
	// and to be known to have.
	spreadRounds = 4
	// writeTime is the time to write the status.
	writeTime = 300 * time.Millisecond
	// minFullPart is the shortest time for which all requests go to the target before it
	// is completed, as a part of the duration, at most maxFullTime.
	minFullPart = 0.015
	maxFullTime = 2 * time.Second
	// openRounds is the number of rounds of reports for which hosts may go on whatever each
	// has used of its part, and rateMargin what the traffic may grow by meanwhile.
	openRounds = 2
	rateMargin = 1.1
)

// fullTime returns the shortest time for which all requests go to the target before it is
// completed.
func fullTime(duration time.Duration) time.Duration {
	return min(maxFullTime, scale(minFullPart, duration))
}

// step is what a plan provides for at a moment.
type step struct {
	// share of the requests goes to the target.
	share float64
	// full means that all requests go to the target.
	full bool
}

// plan returns the step at the time elapsed since the order. drain is the time that
// requests at the other endpoints need to end. It works back from the deadline: all traffic
// has to be at the target for drain and the spreading of what is agreed, and two
// steps before that take what Bounds.Share leaves.
func plan(b Bounds, duration, elapsed, drain, interval time.Duration) step {
	full := max(drain, fullTime(duration)) + spreadRounds*interval + writeTime
	// rest is how long the bound lets all traffic go to the target besides.
	rest := scale(boundMargin*b.Share, duration) - full - scale(rateMargin, (openRounds+1)*interval)
	trial := maxTrialShare * b.Share
	rise := time.Duration(0)
	if rest > 0 {
		trial = min(trial, float64(rest)/2/float64(duration))
		rise = min(scale(maxRisePart, duration), scale(0.5/(firstRise+secondRise), rest))
	} else {
		trial /= 4
	}
	switch left := duration - elapsed - full; {
	case left <= 0:
		return step{1, true}
	case left <= rise:
		return step{share: max(trial, secondRise)}
	case left <= 2*rise:
		return step{share: max(trial, firstRise)}
	default:
		return step{share: trial}
	}
}
