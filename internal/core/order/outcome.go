package order

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// SendDone handles the result of a SendRequest. An error with NotRun ends the
// order at once; otherwise the next read shows how it ended. It ignores the
// result of an order that is no longer pending, as after a change of the lease.
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

// observe handles the state from a read: it resolves the pending order and
// records orders that this lease holder did not send.
func (c *Controller) observe(now time.Time, e *engine, state port.EngineState) {
	previous, previousKnown := e.lastState, e.stateKnown
	e.lastState = state
	e.stateKnown = true
	c.checkSuperseded(e, state)
	if e.pendingOrder.ID != "" {
		c.resolvePending(now, e, previous, previousKnown)
		return
	}
	if previousKnown && state.Incarnation == previous.Incarnation && state.LastOrder != previous.LastOrder {
		c.recordEvent(e, OutcomeForeignOrder, "last order "+state.LastOrder)
	}
}

// checkSuperseded stops this host's orders to an engine that has received an
// order of a later lease.
func (c *Controller) checkSuperseded(e *engine, state port.EngineState) {
	fence, ok := fenceOf(state.LastOrder)
	if ok && fence > c.fence && !e.superseded {
		e.superseded = true
		c.recordEvent(e, OutcomeSuperseded, "last order "+state.LastOrder)
	}
}

// resolvePending determines from the engine's last read whether and how the
// pending order ended. previous is the state of the read before, if
// previousKnown is set.
func (c *Controller) resolvePending(now time.Time, e *engine, previous port.EngineState, previousKnown bool) {
	accepted := e.lastState.LastOrder == e.pendingOrder.ID
	restarted := previousKnown && e.lastState.Incarnation != previous.Incarnation
	replaced := previousKnown && !restarted && e.lastState.LastOrder != previous.LastOrder
	switch {
	case accepted && e.lastState.Busy:
		return
	case accepted && e.lastState.LastError != "":
		c.recordLoad(e, false)
		c.endOrder(now, e, OutcomeFailed, e.lastState.LastError)
	case accepted:
		c.recordLoad(e, true)
		c.endOrder(now, e, OutcomeDone, "")
	case restarted:
		c.endOrder(now, e, OutcomeEngineRestarted, "")
	case replaced:
		c.endOrder(now, e, OutcomeForeignOrder, "last order "+e.lastState.LastOrder)
	default:
		c.endOrder(now, e, OutcomeNotAccepted, "last order "+e.lastState.LastOrder)
	}
}

// recordLoad reports the result of an order that fetches weights to the
// limiter.
func (c *Controller) recordLoad(e *engine, succeeded bool) {
	switch {
	case !fetchesWeights(e.pendingOrder.Kind):
	case succeeded:
		c.limiter.LoadSucceeded()
	default:
		c.limiter.LoadFailed()
	}
}

// endOrder ends the pending order. Unless it is done or the engine restarted,
// the engine's next order is delayed.
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

// readFailed handles a failed read. After maxFailedReads in a row, the engine no
// longer counts as having a pending order or being busy, so that other engines
// of its service can get orders.
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

// backOff delays the engine's next order and read with exponential backoff.
// failures is the number of consecutive failures before this one.
func (c *Controller) backOff(now time.Time, e *engine, failures int) {
	delay := min(backoffBase<<min(failures, maxBackoffDoublings), maxBackoff)
	e.backoffUntil = now.Add(c.jitter(delay))
	e.nextReadAt = e.backoffUntil
}

// recordEvent adds an event with the engine's pending order, if any.
func (c *Controller) recordEvent(e *engine, o Outcome, detail string) {
	c.events = append(c.events, Event{
		Endpoint: e.desired.Endpoint.ID, Order: e.pendingOrder, Fence: c.fence, Outcome: o, Detail: detail,
	})
}

// TakeEvents returns the events since the last call and clears them.
func (c *Controller) TakeEvents() []Event {
	out := c.events
	c.events = nil
	return out
}

// Status is the state of one engine as shown to operators.
type Status struct {
	Endpoint string `json:"endpoint"`
	// Known means that State is from a read under the current lease, and that
	// the engine has not become unreachable since.
	Known bool             `json:"known"`
	State port.EngineState `json:"state"`
	// NextOrder is the kind of the next order that the engine needs; empty if
	// none.
	NextOrder port.OrderKind `json:"wanting,omitempty"`
	// PendingOrder is the id of the order that was sent and has not ended.
	PendingOrder string `json:"under_way,omitempty"`
	// Failures is the number of consecutive orders that did not succeed.
	Failures int `json:"failures,omitempty"`
}

// Statuses returns the status of the zone's engines in the order of the
// release. It returns nil if this host did not hold the lease when DueReads
// or ReadDone was last called.
func (c *Controller) Statuses() []Status {
	if c.fence == 0 {
		return nil
	}
	out := make([]Status, 0, len(c.engineIDs))
	for _, id := range c.engineIDs {
		e := c.engines[id]
		s := Status{Endpoint: id, Known: e.stateKnown, State: e.lastState, PendingOrder: e.pendingOrder.ID, Failures: e.failedOrders}
		if o, ok := Next(e.desired, e.lastState, true); ok && e.stateKnown {
			s.NextOrder = o.Kind
		}
		out = append(out, s)
	}
	return out
}
