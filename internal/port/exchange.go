package port

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// HeaderField is one HTTP header field, forwarded unchanged.
type HeaderField struct{ Name, Value string }

// PromptPart is a section of a request's prompt. Requests whose prompts begin
// with the same parts can share them in an endpoint's prompt cache.
type PromptPart struct {
	// ID identifies the part's text; equal parts of different requests have the
	// same ID.
	ID string
	// Tokens is the length of the part.
	Tokens int
}

// Exchange is one HTTP request that is proxied to an endpoint unchanged. It is
// immutable once the listener has passed it on.
type Exchange struct {
	// ID is the attempt id that the caller assigned.
	ID     string
	Method string
	// Target is the request target (path and query) as sent.
	Target string
	// Path is Target without the query.
	Path string
	// Host is the Host header, which may contain a port.
	Host string
	// Header excludes the hop-by-hop fields and those that the host sets itself.
	Header []HeaderField
	Body   []byte
	// CallerTimeout is how long the caller waits, counted from ReceivedAt; 0 if
	// unspecified.
	CallerTimeout time.Duration
	ReceivedAt    time.Time
	// APIKey is empty if the caller sent none.
	APIKey string
	// Prompt lists the parts of the prompt in order; empty if unspecified. The
	// last part is unique to the request, the others may be shared.
	Prompt []PromptPart
	// ResumeFrom is the id of the last event of the stream that the caller has
	// already received; empty for none.
	ResumeFrom string
	// FirstAttempt is the id of the caller's attempt that brought the first event of
	// the stream that this one takes up; empty if the caller names none.
	FirstAttempt string
	// PieceCounts holds the number of pieces of each stage of the route, by the
	// stage's index. A missing count is 0.
	PieceCounts []int
	// PieceKey identifies the data that stages without inputs read.
	PieceKey string
}

// Responder writes the response to one exchange. It is not safe for concurrent
// use. An error means that the caller has disconnected, or that the methods were
// called out of order or with a body that does not match its length.
type Responder interface {
	// WriteHeader sends an endpoint's status and header. length is the size of
	// the body in bytes, or -1 if unknown. It must be called once, before Write.
	WriteHeader(status int, header []HeaderField, length int64) error
	// Write sends a part of the body to the caller without buffering it.
	Write(p []byte) error
	// Finish completes the response.
	Finish() error
	// Abort closes the connection so that the caller does not take the response
	// for complete.
	Abort()
	// WriteError sends an error response produced by the host, or aborts if the
	// header was already sent. err is a *verdict.Error.
	WriteError(err error)
}

// EndpointRequest is an exchange addressed to one endpoint.
type EndpointRequest struct {
	Exchange *Exchange
	Endpoint *catalog.Endpoint
	// MayRepeat says that the exchange may run more than once.
	MayRepeat bool
	// SentBefore says that the exchange has been sent to the endpoint's address before, also while
	// another endpoint had it: it is sent on a new connection, since a late copy of the former
	// response has the same attempt id.
	SentBefore bool
	// Customer is sent to the endpoint; empty for none.
	Customer string
	// Remaining is the time left until the exchange's deadline.
	Remaining time.Duration
	// Priority ranges from 0, the most urgent, to 9. It is not sent if negative.
	Priority int
	// Inputs lists the handles of the results that the endpoint fetches; nil
	// for none.
	Inputs []string
	// ResumeFrom is the id of the last event that the caller received; empty for
	// none.
	ResumeFrom string
}

// EndpointResponse is an endpoint's response to an EndpointRequest.
type EndpointResponse struct {
	Status int
	Header []HeaderField
	// Body returns io.EOF only after the complete body was received, or at the end of the
	// connection if Length is LengthUntilClose.
	Body io.Reader
	// Length is the size of the body in bytes, or -1 or LengthUntilClose if unknown.
	Length int64
	// NotRun means that the endpoint did not run and will not run the request. It is set only
	// for a response that can't belong to another request.
	NotRun bool
	// Misdirected means that another endpoint now has the address.
	Misdirected bool
	// Signed means that the response carries the endpoint's signature.
	Signed bool
	// ContentEncoded means that the body has a content encoding, so its bytes are
	// not the endpoint's own.
	ContentEncoded bool
	// HasAttemptID means that the response carries an attempt id.
	HasAttemptID bool
	// Arrival is nil if the host that carried the call does not tell.
	Arrival *Arrival
	// Carrier is the host that carried the call; empty for none.
	Carrier string
	// Load is the load reported in the response; nil if there was none.
	Load *EndpointLoad
}

// LengthUntilClose is the Length of a body that ends with its connection.
const LengthUntilClose = -2

// EndpointLoad is the load that an endpoint reports in a response: the numbers of
// requests, of all hosts, that it runs and queues, and how many it can run at
// once.
type EndpointLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the endpoint, as a multiple of the usual; 0 if not
	// reported.
	Slowdown float64
}

// RateLimit is what a response says about the endpoint's rate limit: how many
// requests a second it takes from all hosts together. The limit is in force for as
// long as the endpoint's responses name it.
type RateLimit struct {
	// Named means that the response names a limit.
	Named bool
	// PerSecond is the limit as sent, in requests a second, and not checked; NaN if
	// it isn't a number.
	PerSecond float64
}

// Brittleness is what a response says about how the endpoint bears refusing requests.
type Brittleness struct {
	// Named means that the endpoint says that it is brittle: it falls over if it has to
	// refuse more than Refusals requests in a second, those of all hosts together.
	Named bool
	// Refusals is the number as sent, and not checked; NaN if it isn't a number.
	Refusals float64
}

// EndpointNotice is what a response says about the endpoint itself.
type EndpointNotice struct {
	// Answer means that the response answers an exchange or a stage call. Only such a
	// response says by not naming something that it no longer holds.
	Answer    bool
	RateLimit RateLimit
	Brittle   Brittleness
	// Rest is how long the endpoint, which has turned the request away, wants nothing from
	// the host that sent it; 0 or less for no such wish.
	Rest time.Duration
	// Leaving means that the endpoint says that it leaves.
	Leaving bool
}

// Piece is one work item of a stage; pieces are batched into calls.
type Piece struct {
	// Request is the ID of the exchange that the piece belongs to.
	Request string `cbor:"1,keyasint"`
	// Stage is the index of the stage in the route, Index that of the piece in
	// the stage.
	Stage int `cbor:"2,keyasint"`
	Index int `cbor:"3,keyasint"`
	// Remaining is the time left until the deadline for the stages' results.
	Remaining time.Duration `cbor:"4,keyasint"`
	// Key is the exchange's PieceKey for stages without inputs. Inputs holds the
	// handles of the input results for all other stages.
	Key    string   `cbor:"5,keyasint,omitempty"`
	Inputs []string `cbor:"6,keyasint,omitempty"`
}

// PieceFailure is the reason why a piece has no result.
type PieceFailure string

// Reasons for failed pieces; PieceSucceeded means no failure.
const (
	PieceSucceeded        PieceFailure = ""
	PieceDeadlineExceeded PieceFailure = "late"
	// PieceInputMissing means that a result listed in Inputs no longer exists.
	PieceInputMissing PieceFailure = "no_input"
	// PieceNoSpace means that the endpoint has no free space to store the result.
	PieceNoSpace PieceFailure = "no_room"
	// PieceFailed means any other failure.
	PieceFailed PieceFailure = "error"
)

// PieceResult is the handle of a piece's result, or the reason for its failure.
type PieceResult struct {
	// Handle identifies the result, which is stored at an endpoint; empty if the
	// piece failed.
	Handle  string
	Failure PieceFailure
}

// ErrOnlyStrayAnswer means that an endpoint sent a response that may belong to another call, and
// no other: it is reachable, but its report is not known.
var ErrOnlyStrayAnswer = errors.New("endpoint sent only a response that may belong to another call")

// EndpointClient sends requests to endpoints. Implementations are safe for
// concurrent use. Errors other than those of read are of type *verdict.Error,
// with NotRun if the endpoint cannot have started the work.
type EndpointClient interface {
	// Forward sends an exchange and calls read once the response header has
	// arrived; it returns read's error unchanged. Cancelling ctx closes the
	// connection, also while read consumes the body.
	Forward(ctx context.Context, r *EndpointRequest, read func(*EndpointResponse) error) error
	// RunPieces runs a batch of pieces in one call and returns their results in
	// the same order. An error concerns the whole call: CodeNotFound means that
	// another endpoint has the address, CodeNoCapacity that the endpoint refused
	// the call.
	RunPieces(ctx context.Context, e *catalog.Endpoint, pieces []Piece) ([]PieceResult, error)
	// FreeResults deletes results stored at the endpoint.
	FreeResults(ctx context.Context, e *catalog.Endpoint, handles []string) error
	// Probe requests the endpoint's report, on a new connection if fresh is set.
	// Any response shows that the endpoint is reachable, so it is not an error if
	// the response carries no report. The error wraps ErrOnlyStrayAnswer if the only
	// response may belong to another call.
	Probe(ctx context.Context, e *catalog.Endpoint, fresh bool) (EndpointReport, error)
	// Connect opens a connection to the endpoint and closes it without a request, which it may
	// do while the endpoint rests. The *verdict.Error has CodeNoCapacity if this host has no
	// path to the endpoint.
	Connect(ctx context.Context, e *catalog.Endpoint) error
	// ObserveNotices has observe called with what each response of an endpoint says about
	// it, unless that is nothing. Calls may be concurrent. It must be called before the
	// client is used.
	ObserveNotices(observe func(e *catalog.Endpoint, n EndpointNotice))
	// ObserveAnswers has observe called with each response that this host reads from an
	// endpoint, also for calls that it carries. It is called at most once, before all others.
	ObserveAnswers(observe func(e *catalog.Endpoint, a EndpointAnswer))
}

// EndpointReport is the state that an endpoint reports.
type EndpointReport struct {
	// FreeBytes is the free space for results in bytes, reported in whole MB and
	// some hundred milliseconds old; negative if not reported.
	FreeBytes int64
	// Misdirected means that another endpoint responded, which has the address now.
	Misdirected bool
}

// StorePosition is a position in the history of a store. A store that was restored
// from an older copy starts a new epoch, in which it gives out revisions again, so
// that revisions of different epochs can't be compared.
type StorePosition struct {
	// Epoch increases with each restore.
	Epoch int64 `cbor:"1,keyasint"`
	// Revision is store-wide.
	Revision int64 `cbor:"2,keyasint"`
}

// Before reports whether p is older than o: of an older epoch, or of the same one
// with a lower revision.
func (p StorePosition) Before(o StorePosition) bool {
	return p.Epoch < o.Epoch || p.Epoch == o.Epoch && p.Revision < o.Revision
}

// Lease is a lease of a WatchableStore. The zero Lease stands for none.
type Lease struct {
	ID int64
	// Epoch is the epoch in which it was granted. IDs are given out again in the next
	// one.
	Epoch int64
}

// WatchableStore is a key-value store with prefix watches and leases. It may be
// restored from an older copy: what was written since the copy is then gone, and
// leases of an earlier epoch count as expired. Implementations are safe for
// concurrent use.
type WatchableStore interface {
	// Range returns all keys under the prefix and the position from which Watch has
	// to continue.
	Range(ctx context.Context, prefix string) ([]KeyValue, StorePosition, error)
	// Watch waits for changes after the given position and returns them in order,
	// with the position to continue from. It returns no changes once wait has
	// elapsed, and ErrCompacted if the history after the position is no longer
	// available, which is also the case in a new epoch.
	Watch(ctx context.Context, prefix string, after StorePosition, wait time.Duration) ([]KeyValue, StorePosition, error)
	// CompareAndSwap sets a key if its revision is prev (0: the key must not
	// exist) and attaches it to the lease, if there is one. It returns the new
	// revision. Errors include ErrConflict, ErrNotFound if the lease has expired, and
	// ErrUncertain if the write may have taken effect. With a lease of an earlier epoch
	// it returns ErrNotFound, but the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease Lease) (int64, error)
	// GrantLease creates a lease with the given TTL.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease; it returns ErrNotFound if the lease has expired.
	RenewLease(ctx context.Context, lease Lease) error
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease Lease) error
}

// KeyValue is a key of the store with its value, or the deletion of the key.
type KeyValue struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the store revision of the last change of the key.
	Revision int64 `cbor:"3,keyasint"`
	// Epoch is the newest epoch in which the store is known to have held this change.
	Epoch int64 `cbor:"6,keyasint,omitempty"`
	// Lease is the lease that the key is attached to, 0 if there is none.
	Lease int64 `cbor:"4,keyasint,omitempty"`
	// Deleted means that the key was deleted, by a caller or with its lease.
	Deleted bool `cbor:"5,keyasint,omitempty"`
}

// Position returns the position of the change in the store's history.
func (kv KeyValue) Position() StorePosition {
	return StorePosition{Epoch: kv.Epoch, Revision: kv.Revision}
}

// KeyKind is the kind of data stored under a key.
type KeyKind uint8

// Kinds of keys.
const (
	// KeyOther marks a key that this system does not use.
	KeyOther KeyKind = iota
	// KeyConfig marks the operator's configuration.
	KeyConfig
	// KeyEvacuatedZone marks an availability zone that is taken out of service.
	KeyEvacuatedZone
	// KeyEndpoint marks an endpoint's registration.
	KeyEndpoint
)

// StoreDecoder parses the keys and values of the store. Implementations are
// stateless.
type StoreDecoder interface {
	// ClassifyKey returns the kind of a key and the name of the availability zone
	// or endpoint in it. For KeyConfig the name is empty, for KeyOther it is the
	// whole key.
	ClassifyKey(key string) (KeyKind, string)
	// DecodeConfig parses the operator's configuration.
	DecodeConfig(raw []byte) (*catalog.Config, error)
	// DecodeEndpoint parses an endpoint's registration. It returns an error if
	// the registration describes no usable endpoint.
	DecodeEndpoint(kv KeyValue) (*catalog.Endpoint, error)
}
