package order

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// ReadRequest asks to read an engine's state.
type ReadRequest struct{ Endpoint release.Endpoint }

// SendRequest asks to send an order. The order must not be sent after Deadline.
type SendRequest struct {
	Endpoint release.Endpoint
	Fence    uint64
	Order    port.Order
	Deadline time.Time
}

// Event is something that the audit trail keeps.
type Event struct {
	Endpoint string
	Order    port.Order
	Fence    uint64
	Outcome  Outcome
	Detail   string
}

// Outcome tells how an order ended, or what a reading showed.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the engine carried the order out.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the engine took the order and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotAccepted means that the engine did not take the order.
	OutcomeNotAccepted Outcome = "not taken"
	// OutcomeEngineRestarted means that the engine restarted with the order under way.
	OutcomeEngineRestarted Outcome = "engine restarted"
	// OutcomeEngineUnreachable means that the engine could not be read after the order.
	OutcomeEngineUnreachable Outcome = "engine away"
	// OutcomeForeignOrder means that the engine took an order that this holder did
	// not give: by an old holder, or from outside.
	OutcomeForeignOrder Outcome = "foreign order"
	// OutcomeSuperseded means that the engine has an order of a later lease:
	// this host is no longer the holder. It leaves the engine alone.
	OutcomeSuperseded Outcome = "superseded"
)
