package order

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// SendDone handles the result of a SendRequest. Only an error with NotRun ends
// the order here; otherwise the next read decides.
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

// checkSuperseded stops orders to an engine that has received an order of a
// later lease.
func (c *Controller) checkSuperseded(e *engine, state port.EngineState) {
	fence, ok := fenceOf(state.LastOrder)
	if ok && fence > c.fence && !e.superseded {
		e.superseded = true
		c.recordEvent(e, OutcomeSuperseded, "last order "+state.LastOrder)
	}
}

// resolvePending determines from the engine's state how the pending order
// ended.
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

// endOrder ends the pending order. An order that did not succeed delays the
// engine's next one.
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

// readFailed handles a failed read. An engine that stays unreachable no longer
// counts as having a pending order, so that other engines of its service can
// get theirs.
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
func (c *Controller) backOff(now time.Time, e *engine, failures int) {
	pause := min(backoffBase<<min(failures, maxBackoffDoublings), maxBackoff)
	e.backoffUntil = now.Add(c.jitter(pause))
	e.nextReadAt = e.backoffUntil
}

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
	Endpoint string           `json:"endpoint"`
	Known    bool             `json:"known"`
	State    port.EngineState `json:"state"`
	// NextOrder is the kind of the next order that the engine needs; empty if
	// none.
	NextOrder port.OrderKind `json:"wanting,omitempty"`
	// PendingOrder is the id of the order that was sent and has not ended.
	PendingOrder string `json:"under_way,omitempty"`
	Failures     int    `json:"failures,omitempty"`
}

// Statuses returns the status of the zone's engines in the order of the
// release. It returns nil on a host that does not hold the lease.
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
