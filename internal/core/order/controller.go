package order

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// Flight bounds one order from the check of the lease to its answer.
	Flight = 2 * time.Second
	// Drift is left for clocks that run apart.
	Drift = time.Second
	// settle is how long a new holder waits before its first order, so that
	// orders of the holder before it have ended.
	settle = Flight + Drift

	// readFencing and readPlain are the pauses between two readings of an
	// engine at rest. An engine that ignores fencing numbers is read more
	// often, because only a reading shows that an old holder changed it.
	readFencing = 60 * time.Second
	readPlain   = 15 * time.Second
	// readBusyMin and readBusyMax bound the pause while an order is under
	// way; within them it is one in busyParts of the time that it has taken.
	readBusyMin = time.Second
	readBusyMax = 15 * time.Second
	busyParts   = 4
	// readsAtOnce bounds the readings handed out in one step.
	readsAtOnce = 4
	// blockedAtOnce bounds the readings in one step of engines that wait for
	// another engine's order or for the weight store.
	blockedAtOnce = 2
	// unloadAfter is how long hosts have to hear of a release before what it
	// withdrew is unloaded.
	unloadAfter = 15 * time.Second

	// awayAfter is the number of failed readings in a row after which an
	// engine counts as away.
	awayAfter = 3

	backoffBase  = time.Second
	backoffMax   = time.Minute
	maxDoublings = 6
	// parallelParts is the part of a service's engines that may be under an
	// order at a time: one in parallelParts, at least one.
	parallelParts = 4
)

// Lease is the zone's lease as this host holds it; a zero Fence means that it
// does not.
type Lease struct {
	// Fence is the lease's number; a later holder has a higher one.
	Fence uint64
	// Since is when this host got it, Until how long it holds at least.
	Since, Until time.Time
}

// allows reports whether an order may be sent now.
func (l Lease) allows(now time.Time) bool {
	return l.Fence > 0 && !now.Before(l.Since.Add(settle)) && !now.Add(Flight+Drift).After(l.Until)
}

// Config is a Controller's part of the settings.
type Config struct {
	Host string
	Zone string
	Rand *rand.Rand
}

// Controller holds one zone's orders. It belongs to one goroutine; the caller
// carries out the Reads and Sends on others and brings their results back.
type Controller struct {
	cfg        Config
	engines    map[string]*engine
	sequence   []string
	started    bool
	version    uint64
	unloadFrom time.Time
	share      Share
	next       uint64
	fence      uint64
	events     []Event
}

// engine is what the controller knows of one engine.
type engine struct {
	want    Want
	phase   phase
	state   port.EngineState
	known   bool
	readAt  time.Time
	holdTo  time.Time
	pending port.Order
	sentAt  time.Time
	// failures counts the orders that failed in a row, misses the readings.
	failures int
	misses   int
	// blocked says that an order waits for another engine or the weight store.
	blocked bool
	// superseded says that the engine has an order of a later lease.
	superseded bool
}

// phase tells what is under way for an engine. Only one thing is at a time.
type phase uint8

const (
	phaseIdle phase = iota
	phaseReading
	phaseSending
)

// New returns a Controller without engines.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, engines: make(map[string]*engine)}
}

// SetRelease takes a newer release; older ones and nil have no effect.
func (c *Controller) SetRelease(now time.Time, r *release.Release) {
	if r == nil || (c.started && c.version >= r.Version) {
		return
	}
	c.started = true
	c.version = r.Version
	c.unloadFrom = now.Add(unloadAfter)
	c.share.Set(r.Settings.WeightLoadsPerMinute, zonesInService(r))
	wants := Wants(r, c.cfg.Zone)
	keep := make(map[string]bool, len(wants))
	c.sequence = c.sequence[:0]
	for _, w := range wants {
		id := w.Endpoint.ID
		keep[id] = true
		c.sequence = append(c.sequence, id)
		if c.engines[id] == nil {
			c.engines[id] = &engine{}
		}
		c.engines[id].want = w
		c.engines[id].readAt = now
		c.engines[id].blocked = false
	}
	for id := range c.engines {
		if !keep[id] {
			delete(c.engines, id)
		}
	}
}

func zonesInService(r *release.Release) int {
	n := 0
	for _, z := range r.Zones {
		if !z.OutOfService {
			n++
		}
	}
	return n
}

// Suspect asks for a reading soon, because an engine may have restarted.
func (c *Controller) Suspect(now time.Time, endpoint string) {
	if e := c.engines[endpoint]; e != nil {
		e.readAt = now
	}
}

// Due returns the engines to read now. A host without the lease gets none.
func (c *Controller) Due(now time.Time, lease Lease) []Read {
	c.follow(now, lease)
	if !lease.allows(now) {
		return nil
	}
	var out []Read
	blocked := 0
	loads := c.serviceLoads()
	for _, id := range c.byReadTime() {
		e := c.engines[id]
		if e.phase != phaseIdle || now.Before(e.readAt) || len(out) == readsAtOnce {
			continue
		}
		if e.blocked {
			if blocked == blockedAtOnce || loads[e.want.Endpoint.Service].full() || !c.share.Ready(now) {
				continue
			}
			blocked++
		}
		e.phase = phaseReading
		out = append(out, Read{Endpoint: e.want.Endpoint})
	}
	return out
}

// byReadTime returns the engines, the one that has waited longest first.
func (c *Controller) byReadTime() []string {
	ids := slices.Clone(c.sequence)
	slices.SortStableFunc(ids, func(a, b string) int { return c.engines[a].readAt.Compare(c.engines[b].readAt) })
	return ids
}

// follow starts afresh under another lease.
func (c *Controller) follow(now time.Time, lease Lease) {
	if lease.Fence == c.fence {
		return
	}
	c.fence = lease.Fence
	for _, e := range c.engines {
		e.pending = port.Order{}
		e.known = false
		e.blocked = false
		e.superseded = false
		e.readAt = now
		e.holdTo = time.Time{}
	}
}

// ReadDone takes a reading and returns the order to send at once, if any.
// The order is derived from this very reading.
func (c *Controller) ReadDone(now time.Time, lease Lease, endpoint string, state port.EngineState, err error) (Send, bool) {
	c.follow(now, lease)
	e := c.engines[endpoint]
	if e == nil || e.phase != phaseReading {
		return Send{}, false
	}
	e.phase = phaseIdle
	if err != nil {
		c.away(now, e, err)
		return Send{}, false
	}
	e.misses = 0
	c.look(now, e, state)
	if state.Busy || e.pending.ID != "" {
		e.readAt = now.Add(busyPause(now, e))
		return Send{}, false
	}
	e.readAt = now.Add(c.jitter(restPause(e)))
	return c.decide(now, lease, e)
}

func busyPause(now time.Time, e *engine) time.Duration {
	return min(max(now.Sub(e.sentAt)/busyParts, readBusyMin), readBusyMax)
}

func restPause(e *engine) time.Duration {
	if e.want.Endpoint.ChecksFence {
		return readFencing
	}
	return readPlain
}

// jitter returns d give or take a quarter.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)))
}

// decide returns the next order for an engine that has just been read.
func (c *Controller) decide(now time.Time, lease Lease, e *engine) (Send, bool) {
	e.blocked = false
	if e.superseded || !lease.allows(now) {
		return Send{}, false
	}
	if now.Before(e.holdTo) {
		e.readAt = e.holdTo
		return Send{}, false
	}
	o, ok := Next(e.want, e.state, !now.Before(c.unloadFrom))
	if !ok {
		c.rereadForUnload(now, e)
		return Send{}, false
	}
	if c.serviceLoads()[e.want.Endpoint.Service].full() || (needsWeights(o.Kind) && !c.share.Take(now)) {
		e.blocked = true
		e.readAt = now
		return Send{}, false
	}
	c.next++
	o.ID = orderID(lease.Fence, c.cfg.Host, c.next)
	e.pending = o
	e.sentAt = now
	e.phase = phaseSending
	return Send{Endpoint: e.want.Endpoint, Fence: lease.Fence, Order: o, Deadline: now.Add(Flight)}, true
}

// rereadForUnload brings the next reading forward to when unloads may begin.
func (c *Controller) rereadForUnload(now time.Time, e *engine) {
	if _, later := Next(e.want, e.state, true); later && now.Before(c.unloadFrom) {
		e.readAt = c.unloadFrom
	}
}

// serviceLoad counts a service's engines in the zone.
type serviceLoad struct {
	engines int
	// changing is the number of engines under an order.
	changing int
}

// full reports whether no further engine of the service may be changed now.
func (l serviceLoad) full() bool { return l.changing >= max(1, l.engines/parallelParts) }

// serviceLoads counts the engines of each service.
func (c *Controller) serviceLoads() map[string]serviceLoad {
	out := make(map[string]serviceLoad)
	for _, e := range c.engines {
		l := out[e.want.Endpoint.Service]
		l.engines++
		if e.pending.ID != "" || (e.known && e.state.Busy) {
			l.changing++
		}
		out[e.want.Endpoint.Service] = l
	}
	return out
}
