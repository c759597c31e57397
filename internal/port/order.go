package port

import (
	"context"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// OrderKind is the type of an order.
type OrderKind string

// Types of orders.
const (
	// OrderLoad loads a version of a model and replaces any other loaded version.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads a model and its adapters.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
	// OrderLoadAdapter loads an adapter for a loaded model.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderUnloadAdapter unloads an adapter.
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order is a command to an engine that changes its role, models or adapters.
type Order struct {
	// ID is unique across all hosts.
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Model is the name of the model that the order is about; empty for OrderRole.
	Model string `json:"model,omitempty"`
	// Version is the version of the model to load; it is set for OrderLoad.
	Version string `json:"version,omitempty"`
	// Adapter is set for OrderLoadAdapter and OrderUnloadAdapter.
	Adapter string `json:"adapter,omitempty"`
	// Role is the new role; it is set for OrderRole.
	Role string `json:"role,omitempty"`
}

// LoadedModel is a model that is loaded in an engine.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// EngineState is the state that an engine reports.
type EngineState struct {
	// Incarnation changes with each start of the process.
	Incarnation string        `json:"incarnation"`
	Role        string        `json:"role"`
	Loaded      []LoadedModel `json:"loaded"`
	// Busy means that an order is being executed.
	Busy bool `json:"busy"`
	// LastOrder is the ID of the last order accepted by this incarnation.
	LastOrder string `json:"last_order"`
	// LastError is the reason why LastOrder failed; empty if it did not.
	LastError string `json:"last_error,omitempty"`
}

// OrderClient sends orders to engines. Implementations are safe for concurrent use.
type OrderClient interface {
	// State reads the engine's state. The error is a *verdict.Error.
	State(ctx context.Context, e release.Endpoint) (EngineState, error)
	// Send submits an order, which the engine executes asynchronously.
	// fencingToken is that of the availability zone's lease. The error is a
	// *verdict.Error; NotRun means that the engine did not accept the order.
	Send(ctx context.Context, e release.Endpoint, fencingToken uint64, o Order) error
}
