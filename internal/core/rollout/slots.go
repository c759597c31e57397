package rollout

import (
	"fmt"
	"time"
)

// slotTime is the time over which the answers of both sides are compared.
const slotTime = 2 * time.Second

// windows are the numbers of slots over which the target is judged, besides all of them.
var windows = [...]int{3, 10}

// mayOpen reports whether all hosts may go on as granted, whatever each has used of its own
// part of the bound, until the grants that say so have ended.
func (c *Collector) mayOpen() bool {
	elapsed := c.elapsedNow()
	sent, exposed := 0.0, 0.0
	for _, h := range c.hosts {
		sent += float64(h.Sent)
		exposed += float64(h.Exposed)
	}
	share := 1.0
	if c.phase == Trying {
		share = c.share
	}
	ahead := (openRounds + 1) * c.interval
	coming := rateMargin * share * sent * float64(ahead) / float64(max(elapsed, time.Second))
	return elapsed >= time.Second && exposed+coming <= boundMargin*c.bounds.Share*sent+slackMargin*c.bounds.Slack
}

// closeSlot closes the current slot once its time is over.
func (c *Collector) closeSlot(now time.Time) {
	if now.Sub(c.slotAt) < slotTime {
		return
	}
	c.slots = append(c.slots, c.current())
	c.earlier = append(c.earlier, c.slotBegan)
	c.earlier = c.earlier[max(0, len(c.earlier)-windows[len(windows)-1]):]
	c.slotBegan, c.slotAt = c.total.clone(), now
}

// current returns the comparisons of the current slot.
func (c *Collector) current() slot {
	lately := table{}
	if len(c.earlier) > 0 {
		lately = c.total.minus(c.earlier[0])
	}
	return c.total.minus(c.slotBegan).compare(lately)
}

// judge stops the roll-out if the target is bad, and notes suspicions.
func (c *Collector) judge() {
	c.suspected = ""
	slots := append(c.slots[:len(c.slots):len(c.slots)], c.current())
	long := windows[len(windows)-1]
	for _, n := range append(windows[:], len(slots)) {
		for _, f := range findings(slots[max(0, len(slots)-n):]) {
			where := "all routes"
			if f.Route != "" {
				where = "route " + f.Route
			}
			cause := fmt.Sprintf("%s, %s", where, f)
			switch {
			case f.Bad && c.spreads(f):
				c.finding = f
				c.stop(cause)
				return
			case n <= long: // what was over before is no longer suspicious
				c.finding, c.suspected = f, cause
			}
		}
	}
}

// spreads reports whether bad answers are not those of one endpoint alone.
func (c *Collector) spreads(f Finding) bool {
	others := c.total.others()
	bad := make(map[string]int64)
	answered := make(map[string]bool)
	sum, most := int64(0), int64(0)
	for _, h := range c.hosts {
		for key, counts := range h.cells {
			if key.Endpoint == "" || f.Route != "" && f.Route != key.Route {
				continue
			}
			answered[key.Endpoint] = true
			n := counts.Failures
			if f.Slow && others[key.Route] != nil {
				n = counts.above(others[key.Route].medianBucket() + slowBuckets)
			}
			bad[key.Endpoint] += n
			sum += n
			most = max(most, bad[key.Endpoint])
		}
	}
	if len(answered) <= 1 {
		return true
	}
	return float64(sum-most) >= minSpread*float64(sum)*float64(len(answered)-1)/float64(len(answered))
}
