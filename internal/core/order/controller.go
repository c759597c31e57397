package order

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// SendTimeout bounds one order from the check of the lease to the engine's
	// answer.
	SendTimeout = 2 * time.Second
	// MaxClockDrift bounds the drift between hosts' clocks during a lease.
	MaxClockDrift = time.Second
	// leaseSettleTime is how long a new lease holder waits before its first
	// order, so that all orders of the previous holder have ended.
	leaseSettleTime = SendTimeout + MaxClockDrift

	// fencedReadInterval and unfencedReadInterval are the times between two
	// reads of an idle engine. An engine that ignores fencing tokens is read
	// more often, because only a read shows that a previous lease holder
	// changed it.
	fencedReadInterval   = 60 * time.Second
	unfencedReadInterval = 15 * time.Second
	// minBusyReadInterval and maxBusyReadInterval bound the time between two
	// reads while an order is pending. Within these bounds it is the order's
	// age divided by busyReadDivisor.
	minBusyReadInterval = time.Second
	maxBusyReadInterval = 15 * time.Second
	busyReadDivisor     = 4
	// maxReadsPerCall bounds the reads returned by one call of DueReads.
	maxReadsPerCall = 4
	// maxBlockedReadsPerCall bounds those of them that are for engines whose
	// order is blocked by another engine's order or by the weight store's
	// limit.
	maxBlockedReadsPerCall = 2
	// unloadDelay is the time that hosts have to receive a release before the
	// models and adapters it removed are unloaded.
	unloadDelay = 15 * time.Second

	// maxFailedReads is the number of consecutive failed reads after which an
	// engine counts as unreachable.
	maxFailedReads = 3

	backoffBase         = time.Second
	maxBackoff          = time.Minute
	maxBackoffDoublings = 6
	// concurrentOrderDivisor limits concurrent orders to one in
	// concurrentOrderDivisor of a service's engines, but at least one.
	concurrentOrderDivisor = 4
)

// Lease is the zone's lease as held by this host. Fence is zero if the host
// does not hold it.
type Lease struct {
	// Fence is the lease's fencing token; a later holder has a higher one.
	Fence uint64
	// AcquiredAt is when this host acquired the lease. The lease is valid at
	// least until ValidUntil.
	AcquiredAt, ValidUntil time.Time
}

// allowsOrders reports whether an order may be sent now.
func (l Lease) allowsOrders(now time.Time) bool {
	return l.Fence > 0 && !now.Before(l.AcquiredAt.Add(leaseSettleTime)) && !now.Add(SendTimeout+MaxClockDrift).After(l.ValidUntil)
}

// Config holds the settings of a Controller.
type Config struct {
	Host string
	Zone string
	Rand *rand.Rand
}

// Controller reconciles the engines of one zone. It is not safe for concurrent
// use: one goroutine owns it. The caller runs the ReadRequests and
// SendRequests on other goroutines and returns their results with ReadDone and
// SendDone.
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

// engine is the Controller's state of one engine.
type engine struct {
	desired      DesiredState
	phase        phase
	lastState    port.EngineState
	stateKnown   bool
	nextReadAt   time.Time
	backoffUntil time.Time
	pendingOrder port.Order
	sentAt       time.Time
	// failedOrders and failedReads count consecutive failures.
	failedOrders int
	failedReads  int
	// blocked is set if the next order waits for another engine's order or for
	// the weight store's limit.
	blocked bool
	// superseded is set if the engine has received an order of a later lease.
	superseded bool
}

// phase is the operation in progress on an engine. There is at most one.
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

// SetRelease switches to a newer release. It ignores nil and older releases.
func (c *Controller) SetRelease(now time.Time, r *release.Release) {
	if r == nil || (c.hasRelease && c.releaseVersion >= r.Version) {
		return
	}
	c.hasRelease = true
	c.releaseVersion = r.Version
	c.unloadAllowedAt = now.Add(unloadDelay)
	c.limiter.SetLimit(r.Settings.WeightLoadsPerMinute, countZonesInService(r))
	desiredStates := DesiredStates(r, c.cfg.Zone)
	inRelease := make(map[string]bool, len(desiredStates))
	c.engineIDs = c.engineIDs[:0]
	for _, w := range desiredStates {
		id := w.Endpoint.ID
		inRelease[id] = true
		c.engineIDs = append(c.engineIDs, id)
		if c.engines[id] == nil {
			c.engines[id] = &engine{}
		}
		c.engines[id].desired = w
		c.engines[id].nextReadAt = now
		c.engines[id].blocked = false
	}
	for id := range c.engines {
		if !inRelease[id] {
			delete(c.engines, id)
		}
	}
}

func countZonesInService(r *release.Release) int {
	n := 0
	for _, z := range r.Zones {
		if !z.OutOfService {
			n++
		}
	}
	return n
}

// RequestRead schedules an immediate read, for an engine that may have
// restarted.
func (c *Controller) RequestRead(now time.Time, endpoint string) {
	if e := c.engines[endpoint]; e != nil {
		e.nextReadAt = now
	}
}

// DueReads returns the engines to read now. Without the lease it returns none.
func (c *Controller) DueReads(now time.Time, lease Lease) []ReadRequest {
	c.followLease(now, lease)
	if !lease.allowsOrders(now) {
		return nil
	}
	var out []ReadRequest
	blocked := 0
	services := c.countByService()
	for _, id := range c.byReadTime() {
		e := c.engines[id]
		if e.phase != phaseIdle || now.Before(e.nextReadAt) || len(out) == maxReadsPerCall {
			continue
		}
		if e.blocked {
			if blocked == maxBlockedReadsPerCall || services[e.desired.Endpoint.Service].atLimit() || !c.limiter.Ready(now) {
				continue
			}
			blocked++
		}
		e.phase = phaseReading
		out = append(out, ReadRequest{Endpoint: e.desired.Endpoint})
	}
	return out
}

// byReadTime returns the engine ids, longest overdue first.
func (c *Controller) byReadTime() []string {
	ids := slices.Clone(c.engineIDs)
	slices.SortStableFunc(ids, func(a, b string) int { return c.engines[a].nextReadAt.Compare(c.engines[b].nextReadAt) })
	return ids
}

// followLease resets the engines' state if the lease has changed.
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

// ReadDone handles the result of a read and returns the order to send at once,
// if any. The order is derived from this read.
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
	return c.prepareSend(now, lease, e)
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

// jitter returns a random duration within 25 % of d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)))
}

// prepareSend returns the next order for an engine that has just been read.
func (c *Controller) prepareSend(now time.Time, lease Lease, e *engine) (SendRequest, bool) {
	e.blocked = false
	if e.superseded || !lease.allowsOrders(now) {
		return SendRequest{}, false
	}
	if now.Before(e.backoffUntil) {
		e.nextReadAt = e.backoffUntil
		return SendRequest{}, false
	}
	o, ok := Next(e.desired, e.lastState, !now.Before(c.unloadAllowedAt))
	if !ok {
		c.scheduleUnloadRead(now, e)
		return SendRequest{}, false
	}
	if c.countByService()[e.desired.Endpoint.Service].atLimit() || (fetchesWeights(o.Kind) && !c.limiter.TryTake(now)) {
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

// scheduleUnloadRead moves the next read to the time from which unloads are
// allowed, if the engine has something to unload.
func (c *Controller) scheduleUnloadRead(now time.Time, e *engine) {
	if _, pendingUnload := Next(e.desired, e.lastState, true); pendingUnload && now.Before(c.unloadAllowedAt) {
		e.nextReadAt = c.unloadAllowedAt
	}
}

// serviceCount counts a service's engines in the zone.
type serviceCount struct {
	engines int
	// changing is the number of engines that are pending an order or busy.
	changing int
}

// atLimit reports whether no further engine of the service may get an order
// now.
func (s serviceCount) atLimit() bool { return s.changing >= max(1, s.engines/concurrentOrderDivisor) }

// countByService counts the engines of each service.
func (c *Controller) countByService() map[string]serviceCount {
	out := make(map[string]serviceCount)
	for _, e := range c.engines {
		count := out[e.desired.Endpoint.Service]
		count.engines++
		if e.pendingOrder.ID != "" || (e.stateKnown && e.lastState.Busy) {
			count.changing++
		}
		out[e.desired.Endpoint.Service] = count
	}
	return out
}
