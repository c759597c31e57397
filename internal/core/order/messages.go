package order

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// ReadRequest asks the caller to read an engine's state.
type ReadRequest struct{ Endpoint release.Endpoint }

// SendRequest asks the caller to send an order, but not after Deadline.
type SendRequest struct {
	Endpoint release.Endpoint
	Fence    uint64
	Order    port.Order
	Deadline time.Time
}

// Event is an entry for the audit trail.
type Event struct {
	Endpoint string
	Order    port.Order
	Fence    uint64
	Outcome  Outcome
	Detail   string
}

// Outcome is how an order ended, or what a read showed.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the engine completed the order.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the engine accepted the order and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotAccepted means that the engine did not accept the order.
	OutcomeNotAccepted Outcome = "not taken"
	// OutcomeEngineRestarted means that the engine restarted while the order
	// was pending.
	OutcomeEngineRestarted Outcome = "engine restarted"
	// OutcomeEngineUnreachable means that the engine could not be read after
	// the order was sent.
	OutcomeEngineUnreachable Outcome = "engine away"
	// OutcomeForeignOrder means that the engine accepted an order that this
	// lease holder did not send: one by a previous holder or from outside.
	OutcomeForeignOrder Outcome = "foreign order"
	// OutcomeSuperseded means that the engine has received an order of a later
	// lease: this host no longer holds the lease and sends the engine no
	// further orders.
	OutcomeSuperseded Outcome = "superseded"
)
