package order

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// SendDone takes the outcome of a Send. Only a true NotRun ends the order
// here; in all other cases the next reading tells.
func (c *Controller) SendDone(now time.Time, endpoint string, err error) {
	e := c.engines[endpoint]
	if e == nil || e.phase != phaseSending {
		return
	}
	e.phase = phaseIdle
	if e.pendingOrder.ID == "" {
		return
	}
	e.nextReadAt = now.Add(minBusyReadInterval)
	switch verdict.Of(err) {
	case verdict.MayHaveRun:
		e.nextReadAt = now.Add(SendTimeout)
	case verdict.NotRun:
		if fetchesWeights(e.pendingOrder.Kind) {
			c.limiter.Refund()
		}
		c.endOrder(now, e, OutcomeNotAccepted, err.Error())
	}
}

// look takes a reading: it settles the order under way and notes orders that
// this holder did not give.
func (c *Controller) observe(now time.Time, e *engine, state port.EngineState) {
	before, knew := e.state, e.stateKnown
	e.state = state
	e.stateKnown = true
	c.checkSuperseded(e, state)
	if e.pendingOrder.ID != "" {
		c.resolvePending(now, e, before, knew)
		return
	}
	if knew && state.Incarnation == before.Incarnation && state.LastOrder != before.LastOrder {
		c.recordEvent(e, OutcomeForeignOrder, "last order "+state.LastOrder)
	}
}

// checkSuperseded stands down if the engine has an order of a later lease.
func (c *Controller) checkSuperseded(e *engine, state port.EngineState) {
	fence, ok := fenceOf(state.LastOrder)
	if ok && fence > c.fence && !e.superseded {
		e.superseded = true
		c.recordEvent(e, OutcomeSuperseded, "last order "+state.LastOrder)
	}
}

// settle decides how the order under way ended.
func (c *Controller) resolvePending(now time.Time, e *engine, before port.EngineState, knew bool) {
	taken := e.state.LastOrder == e.pendingOrder.ID
	restarted := knew && e.state.Incarnation != before.Incarnation
	replaced := knew && !restarted && e.state.LastOrder != before.LastOrder
	switch {
	case taken && e.state.Busy:
		return
	case taken && e.state.LastError != "":
		c.recordLoad(e, false)
		c.endOrder(now, e, OutcomeFailed, e.state.LastError)
	case taken:
		c.recordLoad(e, true)
		c.endOrder(now, e, OutcomeDone, "")
	case restarted:
		c.endOrder(now, e, OutcomeEngineRestarted, "")
	case replaced:
		c.endOrder(now, e, OutcomeForeignOrder, "last order "+e.state.LastOrder)
	default:
		c.endOrder(now, e, OutcomeNotAccepted, "last order "+e.state.LastOrder)
	}
}

// loaded tells the zone's share of the weight store how a load went.
func (c *Controller) recordLoad(e *engine, good bool) {
	switch {
	case !fetchesWeights(e.pendingOrder.Kind):
	case good:
		c.limiter.LoadSucceeded()
	default:
		c.limiter.LoadFailed()
	}
}

// end closes the order under way. An order that did not succeed holds the
// engine's next one back.
func (c *Controller) endOrder(now time.Time, e *engine, o Outcome, detail string) {
	c.recordEvent(e, o, detail)
	e.pendingOrder = port.Order{}
	if o == OutcomeDone || o == OutcomeEngineRestarted {
		e.failedOrders = 0
		return
	}
	c.backOff(now, e, e.failedOrders)
	e.failedOrders++
}

// away takes a reading that failed. An engine that stays away no longer counts
// as one under an order, so that the others of its service get theirs.
func (c *Controller) readFailed(now time.Time, e *engine, err error) {
	c.backOff(now, e, e.failedReads)
	e.failedReads++
	if e.failedReads < maxFailedReads {
		return
	}
	if e.pendingOrder.ID != "" {
		c.recordEvent(e, OutcomeEngineUnreachable, err.Error())
	}
	e.pendingOrder = port.Order{}
	e.stateKnown = false
}

// hold keeps an engine back for a pause that doubles with each time before.
func (c *Controller) backOff(now time.Time, e *engine, times int) {
	pause := min(backoffBase<<min(times, maxBackoffDoublings), maxBackoff)
	e.backoffUntil = now.Add(c.jitter(pause))
	e.nextReadAt = e.backoffUntil
}

func (c *Controller) recordEvent(e *engine, o Outcome, detail string) {
	c.events = append(c.events, Event{
		Endpoint: e.desired.Endpoint.ID, Order: e.pendingOrder, Fence: c.fence, Outcome: o, Detail: detail,
	})
}

// TakeEvents returns what happened since the last call.
func (c *Controller) TakeEvents() []Event {
	out := c.events
	c.events = nil
	return out
}

// Status is what operators see of one engine.
type Status struct {
	Endpoint string           `json:"endpoint"`
	Known    bool             `json:"known"`
	State    port.EngineState `json:"state"`
	// NextOrder is the order that the engine still needs; empty if none.
	NextOrder port.OrderKind `json:"wanting,omitempty"`
	// PendingOrder is the id of the order that has been sent and not yet settled.
	PendingOrder string `json:"under_way,omitempty"`
	Failures     int    `json:"failures,omitempty"`
}

// Statuses returns the zone's engines in the release's order; none on a host
// that does not hold the lease.
func (c *Controller) Statuses() []Status {
	if c.fence == 0 {
		return nil
	}
	out := make([]Status, 0, len(c.engineIDs))
	for _, id := range c.engineIDs {
		e := c.engines[id]
		s := Status{Endpoint: id, Known: e.stateKnown, State: e.state, PendingOrder: e.pendingOrder.ID, Failures: e.failedOrders}
		if o, ok := Next(e.desired, e.state, true); ok && e.stateKnown {
			s.NextOrder = o.Kind
		}
		out = append(out, s)
	}
	return out
}
