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
	// response.
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
	// maxBlockedReadsPerCall bounds how many of them are for engines whose next
	// order was blocked by the service's limit on concurrent orders or by the
	// weight store's limit.
	maxBlockedReadsPerCall = 2
	// unloadDelay is the time that hosts have to receive a release before the
	// models and adapters it removed are unloaded.
	unloadDelay = 15 * time.Second

	// maxFailedReads is the number of consecutive failed reads after which an
	// engine counts as unreachable.
	maxFailedReads = 3

	// The delay after a failed read or order starts at backoffBase and doubles
	// with each further failure up to maxBackoff. maxBackoffDoublings keeps the
	// doubled value from overflowing.
	backoffBase         = time.Second
	maxBackoff          = time.Minute
	maxBackoffDoublings = 6
	// concurrentOrderDivisor limits concurrent orders to one in
	// concurrentOrderDivisor of a service's engines in the zone, but at least
	// one.
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

// allowsOrders reports whether an order may be sent now: the orders of the
// previous holder have ended, and the lease outlasts the order.
func (l Lease) allowsOrders(now time.Time) bool {
	return l.Fence > 0 && !now.Before(l.AcquiredAt.Add(leaseSettleTime)) && !now.Add(SendTimeout+MaxClockDrift).After(l.ValidUntil)
}

// Config holds the settings of a Controller.
type Config struct {
	// Host is this host's id, which is part of the ids of its orders.
	Host string
	// Zone is the availability zone whose engines get orders.
	Zone string
	// Rand is the source of jitter.
	Rand *rand.Rand
}

// Controller reconciles the engines of one zone. It is not safe for concurrent
// use: one goroutine owns it. The caller runs the ReadRequests and
// SendRequests on other goroutines and passes the result of each one to
// ReadDone or SendDone on the owner's goroutine.
type Controller struct {
	cfg     Config
	engines map[string]*engine
	// engineIDs holds the ids of the engines in the order of the release.
	engineIDs      []string
	hasRelease     bool
	releaseVersion uint64
	// unloadAllowedAt is the time from which the models and adapters that the
	// release removed may be unloaded.
	unloadAllowedAt time.Time
	limiter         LoadLimiter
	// orderCount numbers this host's orders.
	orderCount uint64
	// fence is the fencing token of the lease at the last call of DueReads or
	// ReadDone.
	fence uint64
	// events holds the events since the last TakeEvents.
	events []Event
}

// engine is the Controller's state of one engine.
type engine struct {
	desired DesiredState
	phase   phase
	// lastState is the state of the last successful read. It is not used as the
	// current state unless stateKnown is set.
	lastState  port.EngineState
	stateKnown bool
	// nextReadAt is when the next read is due.
	nextReadAt time.Time
	// backoffUntil is the time before which the engine gets no order.
	backoffUntil time.Time
	// pendingOrder is the order that was sent at sentAt and has not ended; its
	// ID is empty if there is none.
	pendingOrder port.Order
	sentAt       time.Time
	// failedOrders and failedReads count consecutive failures.
	failedOrders int
	failedReads  int
	// blocked is set if the next order waits for the service's limit on
	// concurrent orders or for the weight store's limit.
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

// SetRelease switches to a newer release. It ignores nil and a release that is
// not newer than the current one.
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
	for _, desired := range desiredStates {
		id := desired.Endpoint.ID
		inRelease[id] = true
		c.engineIDs = append(c.engineIDs, id)
		if c.engines[id] == nil {
			c.engines[id] = &engine{}
		}
		c.engines[id].desired = desired
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

// RequestRead makes an engine's next read due now, for one that may have
// restarted. It ignores an endpoint that is not an engine of the zone.
func (c *Controller) RequestRead(now time.Time, endpoint string) {
	if e := c.engines[endpoint]; e != nil {
		e.nextReadAt = now
	}
}

// DueReads returns the engines to read now, and counts them as being read until
// ReadDone. It returns none while the lease allows no orders.
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

// followLease resets what is known of the engines if the lease's fencing token
// has changed. The results of reads and sends in progress are still expected.
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
// if any. The order is derived from this read and pending from now on.
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

// busyReadInterval returns the time until the next read of an engine that is
// busy or has a pending order.
func busyReadInterval(now time.Time, e *engine) time.Duration {
	return min(max(now.Sub(e.sentAt)/busyReadDivisor, minBusyReadInterval), maxBusyReadInterval)
}

func idleReadInterval(e *engine) time.Duration {
	if e.desired.Endpoint.ChecksFence {
		return fencedReadInterval
	}
	return unfencedReadInterval
}

// jitter returns a random duration between 75 % and 125 % of d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)))
}

// prepareSend returns the next order for an engine that has just been read, and
// records it as pending. If it returns none, it schedules the next read where
// that must not wait for the idle interval.
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
// allowed, if the engine needs an unload that is not allowed yet.
func (c *Controller) scheduleUnloadRead(now time.Time, e *engine) {
	if _, pendingUnload := Next(e.desired, e.lastState, true); pendingUnload && now.Before(c.unloadAllowedAt) {
		e.nextReadAt = c.unloadAllowedAt
	}
}

// serviceCount counts a service's engines in the zone.
type serviceCount struct {
	engines int
	// changing is the number of engines that have a pending order or are busy.
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
