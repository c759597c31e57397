package relay

import (
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Kinds of requests between hosts, all sent to a carrier.
const (
	// kindProbe carries a probeRequest; the response is a callReply.
	kindProbe = "endpoint.probe"
	// kindForward carries a forwardRequest and kindRead a readRequest; the response is
	// the progress of the exchange. kindCancel carries the id of an exchange to cancel.
	kindForward = "endpoint.forward"
	kindRead    = "endpoint.read"
	kindCancel  = "endpoint.cancel"
	// kindRunPieces and kindFreeResults carry a stageRequest; the response is a callReply.
	kindRunPieces   = "endpoint.pieces"
	kindFreeResults = "endpoint.free"
)

// endpointRef names one incarnation of an endpoint. The carrier knows its address from
// its own snapshot.
type endpointRef struct {
	ID            string `cbor:"1,keyasint"`
	StartedUnixMs int64  `cbor:"2,keyasint"`
	Service       string `cbor:"3,keyasint"`
}

func refTo(e *catalog.Endpoint) endpointRef { return endpointRef{e.ID, e.StartedUnixMs, e.Service} }

func (r endpointRef) incarnation() catalog.Incarnation {
	return catalog.Incarnation{ID: r.ID, StartedUnixMs: r.StartedUnixMs}
}

// forwardRequest asks a carrier to forward an exchange. Deadlines are sent as durations
// because the hosts' clocks differ.
type forwardRequest struct {
	// ID identifies the exchange among all that the carrier forwards.
	ID         string             `cbor:"1,keyasint"`
	Endpoint   endpointRef        `cbor:"2,keyasint"`
	AttemptID  string             `cbor:"3,keyasint"`
	Method     string             `cbor:"4,keyasint"`
	Target     string             `cbor:"5,keyasint"`
	Host       string             `cbor:"6,keyasint"`
	Header     []port.HeaderField `cbor:"7,keyasint"`
	Body       []byte             `cbor:"8,keyasint"`
	Customer   string             `cbor:"9,keyasint"`
	Remaining  time.Duration      `cbor:"10,keyasint"`
	Priority   int                `cbor:"11,keyasint"`
	Inputs     []string           `cbor:"12,keyasint"` // nil and empty differ
	ResumeFrom string             `cbor:"13,keyasint"`
	MayRepeat  bool               `cbor:"14,keyasint,omitempty"`
	SentBefore bool               `cbor:"15,keyasint,omitempty"`
}

func encodeForward(id string, r *port.EndpointRequest) *forwardRequest {
	x := r.Exchange
	return &forwardRequest{ID: id, Endpoint: refTo(r.Endpoint), AttemptID: x.ID, Method: x.Method, Target: x.Target, Host: x.Host, Header: x.Header, Body: x.Body,
		Customer: r.Customer, Remaining: r.Remaining, Priority: r.Priority, Inputs: r.Inputs, ResumeFrom: r.ResumeFrom, MayRepeat: r.MayRepeat, SentBefore: r.SentBefore}
}

func (f *forwardRequest) decode(e *catalog.Endpoint) *port.EndpointRequest {
	x := &port.Exchange{ID: f.AttemptID, Method: f.Method, Target: f.Target, Host: f.Host, Header: f.Header, Body: f.Body}
	return &port.EndpointRequest{Exchange: x, Endpoint: e, MayRepeat: f.MayRepeat, SentBefore: f.SentBefore, Customer: f.Customer, Remaining: f.Remaining, Priority: f.Priority, Inputs: f.Inputs, ResumeFrom: f.ResumeFrom}
}

// probeRequest asks a host whether it reaches an endpoint, and for a new report of the
// endpoint if Report is set.
type probeRequest struct {
	Endpoint endpointRef `cbor:"1,keyasint"`
	Report   bool        `cbor:"2,keyasint,omitempty"`
	// Anew asks for a response to this probe: one of shortly before is not enough.
	Anew bool `cbor:"3,keyasint,omitempty"`
}

// readRequest asks for the progress of an exchange from an offset in the body on. HasHead
// says that the owner has received the header.
type readRequest struct {
	ID      string `cbor:"1,keyasint"`
	Offset  int64  `cbor:"2,keyasint"`
	HasHead bool   `cbor:"3,keyasint,omitempty"`
}

// progress is what has arrived of an exchange's response. Head is nil until the header
// has arrived. End means that Body ends the response: completely, unless Failure is set.
type progress struct {
	Head    *responseHead `cbor:"1,keyasint,omitempty"`
	Body    []byte        `cbor:"2,keyasint,omitempty"`
	End     bool          `cbor:"3,keyasint,omitempty"`
	Failure *failure      `cbor:"4,keyasint,omitempty"`
	// Notice is what the carrier knows the endpoint to say of itself, if it refuses to send
	// the exchange.
	Notice port.EndpointNotice `cbor:"5,keyasint"`
}

// responseHead is a port.EndpointResponse without its body.
type responseHead struct {
	Status         int                `cbor:"1,keyasint"`
	Header         []port.HeaderField `cbor:"2,keyasint"`
	Length         int64              `cbor:"3,keyasint"`
	NotRun         bool               `cbor:"4,keyasint,omitempty"`
	Misdirected    bool               `cbor:"5,keyasint,omitempty"`
	Signed         bool               `cbor:"6,keyasint,omitempty"`
	ContentEncoded bool               `cbor:"7,keyasint,omitempty"`
	HasAttemptID   bool               `cbor:"8,keyasint,omitempty"`
	Load           *port.EndpointLoad `cbor:"9,keyasint,omitempty"`
	// Notice is what the carrier knows the endpoint to say of itself.
	Notice port.EndpointNotice `cbor:"10,keyasint"`
	// Arrival is how the response reached the carrier; nil from hosts of earlier versions.
	Arrival *port.Arrival `cbor:"11,keyasint,omitempty"`
	// Proven means that NotRun holds although the response names no attempt. Hosts of earlier
	// versions don't set it.
	Proven bool `cbor:"12,keyasint,omitempty"`
}

func encodeHead(r *port.EndpointResponse, notice port.EndpointNotice) *responseHead {
	return &responseHead{Status: r.Status, Header: r.Header, Length: r.Length, NotRun: r.NotRun, Misdirected: r.Misdirected, Signed: r.Signed,
		ContentEncoded: r.ContentEncoded, HasAttemptID: r.HasAttemptID, Load: r.Load, Notice: notice, Arrival: r.Arrival, Proven: r.NotRun}
}

// decode returns the response as this host would have got it from the endpoint. Carriers of
// earlier versions also pass on refusals that name no attempt: these may belong to another one, or
// to none.
func (h *responseHead) decode(carrier string, body io.Reader) *port.EndpointResponse {
	notRun := h.NotRun && (h.HasAttemptID || h.Proven)
	return &port.EndpointResponse{Status: h.Status, Header: h.Header, Length: h.Length, NotRun: notRun, Misdirected: h.Misdirected, Signed: h.Signed,
		ContentEncoded: h.ContentEncoded, HasAttemptID: h.HasAttemptID, Load: h.Load, Arrival: h.Arrival, Carrier: carrier, Body: body}
}

// isValid reports whether a response can have this header. Carriers of earlier versions also pass on
// what no sound endpoint sends.
func (h *responseHead) isValid() bool {
	return port.IsStatus(h.Status) && !slices.ContainsFunc(h.Header, func(f port.HeaderField) bool {
		return !port.IsFieldName(f.Name) || !port.IsFieldValue(f.Value)
	})
}

// stageRequest asks a carrier to make a stage call, or to free results.
type stageRequest struct {
	Endpoint endpointRef  `cbor:"1,keyasint"`
	Pieces   []port.Piece `cbor:"2,keyasint,omitempty"`
	Handles  []string     `cbor:"3,keyasint,omitempty"`
}

// callReply is the outcome of a call that is no exchange.
type callReply struct {
	Results   []port.PieceResult `cbor:"1,keyasint,omitempty"`
	FreeBytes int64              `cbor:"2,keyasint"`
	Failure   *failure           `cbor:"3,keyasint,omitempty"`
	// Notice is what the carrier knows the endpoint to say of itself.
	Notice port.EndpointNotice `cbor:"4,keyasint"`
	// Misdirected is that of the report.
	Misdirected bool `cbor:"5,keyasint,omitempty"`
}

// failure is an error of a carrier.
type failure struct {
	Code       verdict.Code  `cbor:"1,keyasint"`
	NotRun     bool          `cbor:"2,keyasint,omitempty"`
	Message    string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// NotCarried means that the carrier did not send the call: another one may.
	NotCarried bool `cbor:"5,keyasint,omitempty"`
	// ConnectionLost means that the endpoint broke the connection.
	ConnectionLost bool `cbor:"6,keyasint,omitempty"`
}

func encodeFailure(err error) *failure {
	e := verdict.From(err)
	return &failure{Code: e.Code, NotRun: e.Verdict == verdict.NotRun, Message: e.Error(), RetryAfter: e.RetryAfter, ConnectionLost: port.IsConnectionLoss(err)}
}

// refuse returns the failure of a call that the carrier does not send.
func refuse(code verdict.Code, reason string) *failure {
	return &failure{Code: code, NotRun: true, Message: reason, NotCarried: true}
}

// decode returns the error of the carrier as this host would have got it from the endpoint.
func (f *failure) decode(carrier string) error {
	message := "host " + carrier + ": " + f.Message
	cause := errors.New(message)
	if f.ConnectionLost {
		cause = &port.ConnectionLostError{Err: errors.Wrap(io.ErrUnexpectedEOF, message)}
	}
	v := verdict.MayHaveRun
	if f.NotRun {
		v = verdict.NotRun
	}
	return verdict.Wrap(cause, f.Code, v, "call over another host failed").WithRetryAfter(f.RetryAfter)
}
