package order

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// ReadRequest asks the Controller's caller to read an engine's state.
type ReadRequest struct{ Endpoint release.Endpoint }

// SendRequest asks the Controller's caller to send an order, but not after
// Deadline.
type SendRequest struct {
	Endpoint release.Endpoint
	// Fence is the fencing token of the lease.
	Fence    uint64
	Order    port.Order
	Deadline time.Time
}

// Event is an entry for the audit trail.
type Event struct {
	Endpoint string
	// Order is the order that ended; empty if this host sent none.
	Order port.Order
	// Fence is the fencing token of the lease.
	Fence   uint64
	Outcome Outcome
	// Detail is the error of the engine or of the call, or the id of the
	// engine's last order; may be empty.
	Detail string
}

// Outcome is how an order ended, or what a read showed.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the engine completed the order.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the engine accepted the order and failed to
	// execute it.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotAccepted means that the engine did not accept the order.
	OutcomeNotAccepted Outcome = "not taken"
	// OutcomeEngineRestarted means that the engine restarted while the order
	// was pending.
	OutcomeEngineRestarted Outcome = "engine restarted"
	// OutcomeEngineUnreachable means that several consecutive reads of the
	// engine failed while the order was pending. The order may still be
	// executed.
	OutcomeEngineUnreachable Outcome = "engine away"
	// OutcomeForeignOrder means that the engine accepted an order that this
	// lease holder did not send: one by another holder or from outside.
	OutcomeForeignOrder Outcome = "foreign order"
	// OutcomeSuperseded means that the engine has received an order of a later
	// lease: this host no longer holds the lease and sends the engine no
	// further orders.
	OutcomeSuperseded Outcome = "superseded"
)
