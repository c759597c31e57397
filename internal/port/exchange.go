package port

import (
	"context"
	"io"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// Field is one header field, forwarded as it came.
type Field struct{ Name, Value string }

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Exchange is one request that is passed through to an endpoint unchanged.
// It is read only once it has been handed over.
type Exchange struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Target is the path with its query, as sent.
	Target string
	Path   string
	Host   string
	// Fields holds the header without the fields of one connection and those
	// that the system sets itself.
	Fields []Field
	Body   []byte
	// Allowance is how long the caller waits from Received on; 0 if it does not say.
	Allowance  time.Duration
	Received   time.Time
	Key        string
	Prompt     []PromptPart
	ResumeFrom string
	// Pieces is the number of pieces of each stage, PieceKey what they are made from.
	Pieces   []int
	PieceKey string
}

// Responder answers one exchange. One goroutine uses it. An error means that
// the caller has gone.
type Responder interface {
	// Begin sends an endpoint's status and header. length is the size of the
	// body, or -1 if it is not known.
	Begin(status int, fields []Field, length int64) error
	// Write sends a part of the body.
	Write(p []byte) error
	// End completes the answer.
	End() error
	// Abort breaks the connection off so that the answer is not taken for a whole one.
	Abort()
	// Refuse answers with a failure of our own. The error is a *verdict.Error.
	Refuse(err error)
}

// Delivery is an exchange on its way to one endpoint.
type Delivery struct {
	Exchange *Exchange
	Endpoint *catalog.Endpoint
	// Customer is told to the endpoint; empty for none.
	Customer string
	// Remaining is how long the endpoint may work.
	Remaining time.Duration
	// Urgency is 0 for the most urgent, up to 9; below 0 says nothing.
	Urgency int
	// Inputs holds the results that the endpoint fetches; nil for none.
	Inputs []string
	// ResumeFrom is the id of the last event that the caller has; empty for none.
	ResumeFrom string
}

// Reply is an endpoint's answer.
type Reply struct {
	Status int
	Fields []Field
	// Body ends with io.EOF only if the whole body has come.
	Body io.Reader
	// Length is the size of the body, or -1.
	Length int64
	// NotRun is set if the endpoint says that it did not run the request.
	NotRun bool
	// Misdirected is set if another endpoint has the address now.
	Misdirected bool
	// Signed is set if the answer carries the endpoint's signature.
	Signed bool
	// Encoded is set if the body is not the endpoint's own bytes.
	Encoded bool
	// Named is set if the answer names the exchange that it belongs to.
	Named bool
	Load  *EndpointLoad
}

// EndpointLoad is what an endpoint says of its load in an answer.
type EndpointLoad struct{ Running, Waiting, Slots int }

// Piece is one unit of a stage's work.
type Piece struct {
	// Request is the id of the exchange that it belongs to.
	Request   string        `cbor:"1,keyasint"`
	Stage     int           `cbor:"2,keyasint"`
	Index     int           `cbor:"3,keyasint"`
	Remaining time.Duration `cbor:"4,keyasint"`
	// Key is set for stages without inputs, Inputs for all others.
	Key    string   `cbor:"5,keyasint,omitempty"`
	Inputs []string `cbor:"6,keyasint,omitempty"`
}

// PieceFailure says why a piece was not made.
type PieceFailure string

// The reasons for which pieces fail.
const (
	PieceMade    PieceFailure = ""
	PieceLate    PieceFailure = "late"
	PieceNoInput PieceFailure = "no_input"
	PieceNoRoom  PieceFailure = "no_room"
	PieceError   PieceFailure = "error"
)

// PieceResult is where a piece's result lies, or why there is none.
type PieceResult struct {
	Handle  string
	Failure PieceFailure
}

// Endpoints calls endpoints. Implementations are safe for concurrent use. An
// error is a *verdict.Error: NotRun if the endpoint cannot have begun.
type Endpoints interface {
	// Deliver sends an exchange and hands the answer to read once its header is
	// there; it returns read's error as it is. The end of ctx closes the
	// connection, also while the body is read.
	Deliver(ctx context.Context, d *Delivery, read func(*Reply) error) error
	// MakePieces runs one call of a stage.
	MakePieces(ctx context.Context, e *catalog.Endpoint, pieces []Piece) ([]PieceResult, error)
	// FreeResults gives up results that lie at the endpoint.
	FreeResults(ctx context.Context, e *catalog.Endpoint, handles []string) error
	// Report asks the endpoint for its state, on a new connection if fresh is set.
	// Any answer shows that it can be reached; one without a report leaves the
	// fields unset.
	Report(ctx context.Context, e *catalog.Endpoint, fresh bool) (EndpointReport, error)
}

// EndpointReport is what an endpoint says of itself.
type EndpointReport struct {
	// FreeBytes is the room for results in whole MB, as of some hundred
	// milliseconds ago; below 0 if it does not say.
	FreeBytes int64
}

// Feed is the store as followed by range and watch. Revisions are of the whole store.
type Feed interface {
	// Read returns all items under the prefix and the revision that they are as of.
	Read(ctx context.Context, prefix string) ([]FeedItem, int64, error)
	// Follow waits for changes after the revision. It returns ErrCompacted if
	// that history is gone, and no changes when the wait has passed.
	Follow(ctx context.Context, prefix string, after int64, wait time.Duration) ([]FeedItem, int64, error)
	// Write sets a key if its revision is prev (0: it must not exist); lease 0
	// keeps it. It returns the new revision, ErrConflict, ErrNotFound for an
	// ended lease, or ErrUncertain.
	Write(ctx context.Context, key string, value []byte, prev, lease int64) (int64, error)
	// Grant begins a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Keep renews a lease; ErrNotFound if it has ended.
	Keep(ctx context.Context, lease int64) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease int64) error
}

// FeedItem is a key of the store, or its deletion.
type FeedItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Lease    int64  `cbor:"4,keyasint,omitempty"`
	Deleted  bool   `cbor:"5,keyasint,omitempty"`
}

// FactKind tells what a key of the store holds.
type FactKind uint8

// The kinds of facts.
const (
	// FactOther is nothing that concerns the system.
	FactOther FactKind = iota
	// FactConfig is the operator's configuration.
	FactConfig
	// FactEvacuated is an availability zone taken out.
	FactEvacuated
	// FactEndpoint is an endpoint's entry.
	FactEndpoint
)

// FactDecoder reads the store's items. Implementations keep no state.
type FactDecoder interface {
	// Classify returns the kind of a key, and the zone or endpoint that it names.
	Classify(key string) (FactKind, string)
	// Config reads the operator's configuration.
	Config(raw []byte) (*catalog.Config, error)
	// Endpoint reads an endpoint's entry; an error means that it names none to use.
	Endpoint(item FeedItem) (*catalog.Endpoint, error)
}
