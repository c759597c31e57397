package port

import (
	"fmt"
	"time"
)

// Arrival describes how a response reached the platform.
type Arrival struct {
	// Before is the number of responses that the connection had carried before the call, 0
	// for a new connection.
	Before int
	// Discarded is the number of responses to other calls that were discarded before this one.
	Discarded int
	// ConnectionAge is the time since the connection was opened.
	ConnectionAge time.Duration
	// SinceSent is the time since the request was written: a response that arrives sooner than one
	// round trip was sent before the request.
	SinceSent time.Duration
}

// First reports whether the response is the first one on its connection.
func (a Arrival) First() bool { return a.Before == 0 && a.Discarded == 0 }

// String describes the arrival for an error message.
func (a Arrival) String() string {
	return fmt.Sprintf("connection had carried %d responses before the call, %d discarded since", a.Before, a.Discarded)
}

// CallKind is a kind of call to an endpoint.
type CallKind string

// The kinds of calls.
const (
	CallForward     CallKind = "forward"
	CallRunPieces   CallKind = "pieces"
	CallFreeResults CallKind = "free"
	CallProbe       CallKind = "probe"
)

// EndpointAnswer describes a response that arrived while a call was in progress.
type EndpointAnswer struct {
	Call CallKind
	// Request is the id of the exchange that the call forwards; empty for other calls.
	Request string
	Status  int
	// AttemptID is the attempt id that the response carries; empty for none.
	AttemptID string
	// NotRun means that the response refuses a call.
	NotRun bool
	// OtherCall means that the response was found to belong to another call and discarded.
	OtherCall bool
	// Ambiguous means that the response may belong to the call, to another one or to none. If it
	// proves to be the call's own, it is reported again.
	Ambiguous bool
	Arrival   Arrival
}
