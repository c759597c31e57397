package order

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// SendTimeout bounds one order from the check of the lease to its answer.
	SendTimeout = 2 * time.Second
	// MaxClockDrift is left for clocks that run apart.
	MaxClockDrift = time.Second
	// settle is how long a new holder waits before its first order, so that
	// orders of the holder before it have ended.
	leaseSettleTime = SendTimeout + MaxClockDrift

	// fencedReadInterval and unfencedReadInterval are the pauses between two readings of an
	// engine at rest. An engine that ignores fencing numbers is read more
	// often, because only a reading shows that an old holder changed it.
	fencedReadInterval   = 60 * time.Second
	unfencedReadInterval = 15 * time.Second
	// minBusyReadInterval and maxBusyReadInterval bound the pause while an order is under
	// way; within them it is one in busyReadDivisor of the time that it has taken.
	minBusyReadInterval = time.Second
	maxBusyReadInterval = 15 * time.Second
	busyReadDivisor     = 4
	// maxReadsPerStep bounds the readings handed out in one step.
	maxReadsPerStep = 4
	// maxBlockedReadsPerStep bounds the readings in one step of engines that wait for
	// another engine's order or for the weight store.
	maxBlockedReadsPerStep = 2
	// unloadDelay is how long hosts have to hear of a release before what it
	// withdrew is unloaded.
	unloadDelay = 15 * time.Second

	// maxFailedReads is the number of failed readings in a row after which an
	// engine counts as away.
	maxFailedReads = 3

	backoffBase         = time.Second
	maxBackoff          = time.Minute
	maxBackoffDoublings = 6
	// concurrentOrderDivisor is the part of a service's engines that may be under an
	// order at a time: one in concurrentOrderDivisor, at least one.
	concurrentOrderDivisor = 4
)

// Lease is the zone's lease as this host holds it; a zero Fence means that it
// does not.
type Lease struct {
	// Fence is the lease's number; a later holder has a higher one.
	Fence uint64
	// AcquiredAt is when this host got it, Until how long it holds at least.
	AcquiredAt, ValidUntil time.Time
}

// allows reports whether an order may be sent now.
func (l Lease) allowsOrders(now time.Time) bool {
	return l.Fence > 0 && !now.Before(l.AcquiredAt.Add(leaseSettleTime)) && !now.Add(SendTimeout+MaxClockDrift).After(l.ValidUntil)
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
	cfg             Config
	engines         map[string]*engine
	engineIDs       []string
	hasRelease      bool
	releaseVersion  uint64
	unloadAllowedAt time.Time
	limiter         LoadLimiter
	orderCount      uint64
	fence           uint64
	events          []Event
}

// engine is what the controller knows of one engine.
type engine struct {
	desired      DesiredState
	phase        phase
	state        port.EngineState
	stateKnown   bool
	nextReadAt   time.Time
	backoffUntil time.Time
	pendingOrder port.Order
	sentAt       time.Time
	// failures counts the orders that failed in a row, misses the readings.
	failedOrders int
	failedReads  int
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
	if r == nil || (c.hasRelease && c.releaseVersion >= r.Version) {
		return
	}
	c.hasRelease = true
	c.releaseVersion = r.Version
	c.unloadAllowedAt = now.Add(unloadDelay)
	c.limiter.SetLimit(r.Settings.WeightLoadsPerMinute, zonesInService(r))
	wants := DesiredStates(r, c.cfg.Zone)
	keep := make(map[string]bool, len(wants))
	c.engineIDs = c.engineIDs[:0]
	for _, w := range wants {
		id := w.Endpoint.ID
		keep[id] = true
		c.engineIDs = append(c.engineIDs, id)
		if c.engines[id] == nil {
			c.engines[id] = &engine{}
		}
		c.engines[id].desired = w
		c.engines[id].nextReadAt = now
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

// RequestRead asks for a reading soon, because an engine may have restarted.
func (c *Controller) RequestRead(now time.Time, endpoint string) {
	if e := c.engines[endpoint]; e != nil {
		e.nextReadAt = now
	}
}

// DueReads returns the engines to read now. A host without the lease gets none.
func (c *Controller) DueReads(now time.Time, lease Lease) []ReadRequest {
	c.followLease(now, lease)
	if !lease.allowsOrders(now) {
		return nil
	}
	var out []ReadRequest
	blocked := 0
	loads := c.countByService()
	for _, id := range c.byReadTime() {
		e := c.engines[id]
		if e.phase != phaseIdle || now.Before(e.nextReadAt) || len(out) == maxReadsPerStep {
			continue
		}
		if e.blocked {
			if blocked == maxBlockedReadsPerStep || loads[e.desired.Endpoint.Service].atLimit() || !c.limiter.Ready(now) {
				continue
			}
			blocked++
		}
		e.phase = phaseReading
		out = append(out, ReadRequest{Endpoint: e.desired.Endpoint})
	}
	return out
}

// byReadTime returns the engines, the one that has waited longest first.
func (c *Controller) byReadTime() []string {
	ids := slices.Clone(c.engineIDs)
	slices.SortStableFunc(ids, func(a, b string) int { return c.engines[a].nextReadAt.Compare(c.engines[b].nextReadAt) })
	return ids
}

// follow starts afresh under another lease.
func (c *Controller) followLease(now time.Time, lease Lease) {
	if lease.Fence == c.fence {
		return
	}
	c.fence = lease.Fence
	for _, e := range c.engines {
		e.pendingOrder = port.Order{}
		e.stateKnown = false
		e.blocked = false
		e.superseded = false
		e.nextReadAt = now
		e.backoffUntil = time.Time{}
	}
}

// ReadDone takes a reading and returns the order to send at once, if any.
// The order is derived from this very reading.
func (c *Controller) ReadDone(now time.Time, lease Lease, endpoint string, state port.EngineState, err error) (SendRequest, bool) {
	c.followLease(now, lease)
	e := c.engines[endpoint]
	if e == nil || e.phase != phaseReading {
		return SendRequest{}, false
	}
	e.phase = phaseIdle
	if err != nil {
		c.readFailed(now, e, err)
		return SendRequest{}, false
	}
	e.failedReads = 0
	c.observe(now, e, state)
	if state.Busy || e.pendingOrder.ID != "" {
		e.nextReadAt = now.Add(busyReadInterval(now, e))
		return SendRequest{}, false
	}
	e.nextReadAt = now.Add(c.jitter(idleReadInterval(e)))
	return c.nextSend(now, lease, e)
}

func busyReadInterval(now time.Time, e *engine) time.Duration {
	return min(max(now.Sub(e.sentAt)/busyReadDivisor, minBusyReadInterval), maxBusyReadInterval)
}

func idleReadInterval(e *engine) time.Duration {
	if e.desired.Endpoint.ChecksFence {
		return fencedReadInterval
	}
	return unfencedReadInterval
}

// jitter returns d give or take a quarter.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)))
}

// decide returns the next order for an engine that has just been read.
func (c *Controller) nextSend(now time.Time, lease Lease, e *engine) (SendRequest, bool) {
	e.blocked = false
	if e.superseded || !lease.allowsOrders(now) {
		return SendRequest{}, false
	}
	if now.Before(e.backoffUntil) {
		e.nextReadAt = e.backoffUntil
		return SendRequest{}, false
	}
	o, ok := Next(e.desired, e.state, !now.Before(c.unloadAllowedAt))
	if !ok {
		c.scheduleUnloadRead(now, e)
		return SendRequest{}, false
	}
	if c.countByService()[e.desired.Endpoint.Service].atLimit() || (fetchesWeights(o.Kind) && !c.limiter.Take(now)) {
		e.blocked = true
		e.nextReadAt = now
		return SendRequest{}, false
	}
	c.orderCount++
	o.ID = newOrderID(lease.Fence, c.cfg.Host, c.orderCount)
	e.pendingOrder = o
	e.sentAt = now
	e.phase = phaseSending
	return SendRequest{Endpoint: e.desired.Endpoint, Fence: lease.Fence, Order: o, Deadline: now.Add(SendTimeout)}, true
}

// scheduleUnloadRead brings the next reading forward to when unloads may begin.
func (c *Controller) scheduleUnloadRead(now time.Time, e *engine) {
	if _, later := Next(e.desired, e.state, true); later && now.Before(c.unloadAllowedAt) {
		e.nextReadAt = c.unloadAllowedAt
	}
}

// serviceCount counts a service's engines in the zone.
type serviceCount struct {
	engines int
	// changing is the number of engines under an order.
	changing int
}

// full reports whether no further engine of the service may be changed now.
func (l serviceCount) atLimit() bool { return l.changing >= max(1, l.engines/concurrentOrderDivisor) }

// countByService counts the engines of each service.
func (c *Controller) countByService() map[string]serviceCount {
	out := make(map[string]serviceCount)
	for _, e := range c.engines {
		l := out[e.desired.Endpoint.Service]
		l.engines++
		if e.pendingOrder.ID != "" || (e.stateKnown && e.state.Busy) {
			l.changing++
		}
		out[e.desired.Endpoint.Service] = l
	}
	return out
}
