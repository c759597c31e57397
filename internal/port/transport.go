package port

import "context"

// Transport sends authenticated messages and requests to other hosts by address.
// It is independent of membership. Implementations are safe for concurrent use.
type Transport interface {
	// Send sends one message to address, IP:PORT. It does not block; the message
	// may be lost.
	Send(address string, payload []byte)
	// Ask sends a request to address and waits for the reply. The error is a
	// *verdict.Error: NotRun if the request was not sent, otherwise MayHaveRun or
	// the verdict that the handler returned.
	Ask(ctx context.Context, address, kind string, payload []byte) ([]byte, error)
	// OnMessage sets the handler of messages. Call it before the transport is
	// started; fn must not block.
	OnMessage(fn func(from Member, payload []byte))
	// Handle sets the handler of requests of a kind. Call it before the transport
	// is started; each call of fn runs on its own goroutine.
	Handle(kind string, fn RequestHandler)
}

// RequestHandler handles a request from another host and returns the reply. ctx
// carries the sender's deadline. The verdict of a returned *verdict.Error is sent
// back with the error.
type RequestHandler func(ctx context.Context, from Member, payload []byte) ([]byte, error)
