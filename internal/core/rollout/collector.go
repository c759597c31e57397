package rollout

import "time"

const (
	// outOfTouch is how long after a host's last report it no longer holds a step up. By
	// then its grant has expired.
	outOfTouch = 6 * time.Second
	// sealTime is how long a seal may last before the status is written again to end it.
	sealTime = 5 * time.Second
)

// A roll-out passes through these phases at its collector:
//
//	Waiting ◀──▶ Trying ──▶ Full ◀──▶ Sealing ◀──▶ Sealed    Completed is written
//	    │           │         │           │          │
//	    └───────────┴─────────┴─────┬─────┴──────────┘
//	                                ▼ the target is found bad, or can't be had
//	                            Stopping ──▶ Stopped         RolledBack is written
//
// Another collector starts at Waiting and learns from the reports how far the hosts are. Without a
// quorum of them it goes back to Waiting and grants nothing.

// Phase is the step of a roll-out that a collector grants.
type Phase uint8

// The phases of a roll-out.
const (
	// Waiting means that the target has no endpoints, or hosts have not reported yet.
	Waiting Phase = iota
	// Trying means that a share of the requests goes to the target.
	Trying
	// Full means that all go there.
	Full
	// Sealing means that no request may go to another version until the roll-out ends.
	Sealing
	// Sealed means that none does any more.
	Sealed
	// Stopping means that the target is bad and may still get requests.
	Stopping
	// Stopped means that the target gets no requests.
	Stopped
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	return [...]string{"waiting", "trying", "all to the target", "closing the others", "others closed", "stopping", "stopped"}[min(p, Stopped)]
}

// Collector gathers the counts of all hosts in one roll-out. It is not safe for concurrent
// use.
type Collector struct {
	bounds Bounds
	order  Order
	clock  Clock

	hosts map[hostStart]*hostState
	// registered holds when each registered host was first known.
	registered map[string]time.Time
	total      table
	// slots hold the comparisons so far, slotBegan the total at the start of the current one,
	// which began at slotAt, and earlier the totals at the starts of those before.
	slots     []slot
	slotBegan table
	slotAt    time.Time
	earlier   []table
	// elapsed is the longest time since the order that a report named, at elapsedAt.
	elapsed   time.Duration
	elapsedAt time.Time

	phase      Phase
	phaseSince time.Time
	share      float64
	// seal is the revision of the status to which the seal is bound.
	seal    int64
	stopped string
	finding Finding
	// suspected is the newest suspicion; empty if there is none.
	suspected string
	begunAt   time.Time
	// hostCount is the number of registered hosts, and interval the time between their reports.
	hostCount int
	interval  time.Duration
}

type hostStart struct {
	host        string
	incarnation int64
}

type hostState struct {
	Report
	at    time.Time
	cells map[Key]Counts
}

// NewCollector returns a Collector that knows no counts.
func NewCollector(b Bounds, order Order, clock Clock) *Collector {
	return &Collector{bounds: b, order: order, clock: clock, hosts: make(map[hostStart]*hostState), registered: make(map[string]time.Time), total: make(table), slotBegan: make(table), slotAt: clock.Now(), phaseSince: clock.Now(), begunAt: clock.Now()}
}

// Add takes a host's report and returns the grant for it.
func (c *Collector) Add(r Report) Grant {
	now := c.clock.Now()
	key := hostStart{r.Host, r.Incarnation}
	h := c.hosts[key]
	isFirst := h == nil
	if isFirst {
		h = &hostState{cells: make(map[Key]Counts)}
		c.hosts[key] = h
	}
	known := h.Version
	if r.Base <= known {
		for _, cell := range r.Cells {
			old := h.cells[cell.Key]
			if cell.Counts.answers() <= old.answers() {
				continue // an earlier report that arrives late
			}
			s := side{cell.Key.Route, cell.Key.Zone, cell.Key.Endpoint != ""}
			tables := []table{c.total}
			if isFirst { // its answers are from other times than those of this slot
				tables = append(tables, c.slotBegan)
			}
			for _, t := range tables {
				t.get(s).add(old, -1)
				t.get(s).add(cell.Counts, 1)
			}
			h.cells[cell.Key] = cell.Counts
		}
		known = max(known, r.Version)
	}
	h.Report, h.at = r, now
	h.Version, h.Cells = known, nil
	if e := c.elapsedNow(); r.Elapsed > e {
		c.elapsed, c.elapsedAt = r.Elapsed, now
	}
	if r.Stopped != "" {
		c.stop(r.Stopped)
	}
	g := Grant{Elapsed: c.elapsedNow(), Known: known, Stopped: c.stopped}
	if c.mayOpen() {
		g.Open = openRounds * c.interval
	}
	switch c.phase {
	case Trying:
		g.Share = c.share
	case Full:
		g.Share, g.Full = 1, true
	case Sealing, Sealed:
		g.Share, g.Full, g.Seal = 1, true, c.seal
	}
	return g
}

func (c *Collector) elapsedNow() time.Duration {
	if c.elapsedAt.IsZero() {
		return 0
	}
	return c.elapsed + c.clock.Now().Sub(c.elapsedAt)
}

func (c *Collector) stop(cause string) {
	if c.stopped == "" {
		c.stopped = cause
		c.enter(Stopping)
	}
}

func (c *Collector) enter(p Phase) {
	if p != c.phase {
		c.phase, c.phaseSince = p, c.clock.Now()
	}
}

// View is what a collector knows besides the reports.
type View struct {
	// Hosts are the ids of the registered hosts.
	Hosts []string
	// StoreFresh says that the store has confirmed them of late.
	StoreFresh bool
	// Status is that in the store, and Revision its revision, 0 for none.
	Status   Status
	Revision int64
}

// hasQuorum reports whether so many hosts have reported that no others can follow another
// collector: one that is cut off grants nothing.
func (v View) hasQuorum(reported int) bool {
	return 2*reported > len(v.Hosts) || 2*reported == len(v.Hosts) && v.StoreFresh
}

// Outcome is what a collector would have done.
type Outcome struct {
	Phase Phase
	Share float64
	// Write is the state to be written now, None if the status stands as it should.
	Write State
	// Cause is why the target is bad or held up; empty if it is neither.
	Cause             string
	Finding           Finding
	Sent, Exposed     int64
	Elapsed           time.Duration
	Reported, Missing int
}

// Step judges the counts and sets the phase.
func (c *Collector) Step(v View) Outcome {
	now := c.clock.Now()
	c.hostCount = len(v.Hosts)
	c.interval = c.bounds.Interval(c.hostCount, c.elapsedNow(), c.order.Duration)
	c.closeSlot(now)
	inTouch, missing, usable := c.inTouch(v.Hosts, now)
	if c.stopped == "" {
		c.judge()
	}
	switch {
	case c.phase == Stopping:
		if missing == 0 && all(inTouch, func(h *hostState) bool { return h.Stopped != "" }) || now.Sub(c.phaseSince) > c.bounds.GrantTime() {
			c.enter(Stopped)
		}
	case c.phase == Stopped:
	case c.order.Duration <= 0:
		c.stop("the duration is not above zero")
		c.enter(Stopped)
	case !usable && v.hasQuorum(len(inTouch)) && c.elapsedNow() >= c.order.Duration && c.phase == Waiting:
		c.stop("there are no endpoints of the service or version")
		c.enter(Stopped)
	case c.phase == Sealing || c.phase == Sealed:
		c.stepSeal(v, inTouch, missing)
	case !v.hasQuorum(len(inTouch)), !usable, missing > 0 && c.phase == Waiting && now.Sub(c.begunAt) < outOfTouch:
		c.enter(Waiting)
	default:
		c.stepShare(v, inTouch, now)
	}
	return c.outcome(v, len(inTouch), missing)
}

// inTouch returns the newest states of the registered hosts that have reported of late, the
// number of those that are expected to and have not, and whether a host has endpoints of
// the target.
func (c *Collector) inTouch(hosts []string, now time.Time) (states []*hostState, missing int, usable bool) {
	newest := make(map[string]*hostState)
	for key, h := range c.hosts {
		if old := newest[key.host]; old == nil || old.Incarnation < h.Incarnation {
			newest[key.host] = h
		}
	}
	for _, id := range hosts {
		h := newest[id]
		if c.registered[id].IsZero() {
			c.registered[id] = now
		}
		silence := now.Sub(c.registered[id])
		if h != nil {
			silence = now.Sub(h.at)
		}
		switch {
		case h != nil && silence < c.bounds.GrantTime():
			states = append(states, h)
			usable = usable || h.TargetUsable
		case silence < outOfTouch:
			missing++
		}
	}
	return states, missing, usable
}

func all(hosts []*hostState, holds func(*hostState) bool) bool {
	for _, h := range hosts {
		if !holds(h) {
			return false
		}
	}
	return len(hosts) > 0
}

// stepShare follows the plan; while there is a suspicion the share is that of its begin. Hosts
// that have not reported hold nothing up: their grants end.
func (c *Collector) stepShare(v View, inTouch []*hostState, now time.Time) {
	drain := time.Duration(0)
	for _, h := range inTouch {
		drain = max(drain, h.Drain)
	}
	quick := c.bounds.Interval(c.hostCount, c.order.Duration, c.order.Duration)
	s := plan(c.bounds, c.order.Duration, c.elapsedNow(), drain, quick)
	if c.phase == Full {
		s = step{1, true} // a longer drain than was planned for is no reason to go back
	}
	held := c.suspected != ""
	if held && (s.share > c.share || s.full) {
		s = step{share: plan(c.bounds, c.order.Duration, 0, drain, quick).share}
	}
	c.share = s.share
	if !s.full {
		c.enter(Trying)
		return
	}
	c.enter(Full)
	lasts := now.Sub(c.phaseSince) >= fullTime(c.order.Duration)
	if lasts && v.Status == (Status{InProgress, c.order.Target}) && v.Revision != 0 && all(inTouch, func(h *hostState) bool { return h.Full && h.Permits == 0 }) {
		c.seal = v.Revision
		c.enter(Sealing)
	}
}

// stepSeal waits until all hosts are sealed, or the seal has ended.
func (c *Collector) stepSeal(v View, inTouch []*hostState, missing int) {
	switch {
	case v.Revision != c.seal:
		c.enter(Full)
	case missing == 0 && all(inTouch, func(h *hostState) bool { return h.Sealed == c.seal && h.Permits == 0 }):
		c.enter(Sealed)
	default:
		c.enter(Sealing)
	}
}

// outcome returns what is to be written, and describes the collector's state.
func (c *Collector) outcome(v View, reported, missing int) Outcome {
	o := Outcome{Phase: c.phase, Share: c.share, Cause: c.suspected, Finding: c.finding, Elapsed: c.elapsedNow(), Reported: reported, Missing: missing}
	if c.stopped != "" {
		o.Cause, o.Share = c.stopped, 0
	}
	if c.phase == Waiting {
		o.Share = 0
	}
	for _, h := range c.hosts {
		o.Sent += h.Sent
		o.Exposed += h.Exposed
	}
	ended := v.Status.Target == c.order.Target && v.Status.State.Ended()
	current := v.Status.Target == c.order.Target && v.Status.State != None
	switch {
	case ended:
	case c.phase == Stopped:
		o.Write = RolledBack
	case c.phase == Sealed:
		o.Write = Completed
	case !current, c.phase == Sealing && c.clock.Now().Sub(c.phaseSince) > sealTime:
		o.Write = InProgress
	}
	return o
}

// Stopped returns why the target is bad; empty if it is not.
func (c *Collector) Stopped() string { return c.stopped }
