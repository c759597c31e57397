package httpapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/audit"
	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	adminPrefix = "/v1/admin/"
	// headerActor names the operator who is recorded in the audit trail.
	headerActor  = "Pimentorill-Actor"
	defaultActor = "operator"
	// operatorTimeout bounds one operator call, apart from the wait that the call
	// requests with wait_ms.
	operatorTimeout = 15 * time.Second
)

// AuditReader reads the audit trail. Implementations are safe for concurrent use.
type AuditReader interface {
	// Read returns the records that match q. It sets Partial in the trail if not all
	// stored records could be read.
	Read(ctx context.Context, q audit.Query) audit.Trail
}

// OperatorHandler serves the HTTP API for operators. Its methods are safe for
// concurrent use.
type OperatorHandler struct {
	app     *app.App
	audit   AuditReader
	metrics fasthttp.RequestHandler
	// tokenDigest is the SHA-256 digest of the operators' token.
	tokenDigest [sha256.Size]byte
	// routes maps "METHOD PATH", the path without adminPrefix, to a handler.
	routes map[string]routeHandler
}

// routeHandler executes one operator call and returns the value to send as JSON, or
// an error whose code gives the HTTP status.
type routeHandler func(ctx context.Context, req *fasthttp.RequestCtx) (any, error)

// NewOperatorServer returns the HTTP server for operators. Every request must
// carry the token as a bearer token.
func NewOperatorServer(a *app.App, audit AuditReader, metrics fasthttp.RequestHandler, token string, limits Limits, log *slog.Logger) *fasthttp.Server {
	o := &OperatorHandler{app: a, audit: audit, metrics: metrics, tokenDigest: sha256.Sum256([]byte(token))}
	o.routes = map[string]routeHandler{
		"GET release":         o.showRelease,
		"GET release/history": o.showHistory,
		"POST release/check":  o.checkNote,
		"POST release/apply":  o.applyNote,
		"GET status":          o.showStatus,
		"GET cost":            o.showCost,
		"GET audit":           o.showAudit,
		"GET zones":           o.listZones,
		"GET quarantine":      o.listQuarantine,
		"GET endpoints":       o.listEndpoints,
	}
	return newServer(o.handle, limits, log)
}

// handle rejects requests without the operators' token and routes the others.
func (o *OperatorHandler) handle(ctx *fasthttp.RequestCtx) {
	if !o.isAuthorized(ctx) {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		writeError(ctx, verdict.New(verdict.CodeUnauthorized, verdict.NotRun, "the operators' token is missing or wrong"))
		return
	}
	path := string(ctx.Path())
	if path == "/metrics" {
		o.metrics(ctx)
		return
	}
	name, ok := strings.CutPrefix(path, adminPrefix)
	serve := o.findRoute(string(ctx.Method()), name)
	if !ok || serve == nil {
		writeError(ctx, notFound())
		return
	}
	wait, _ := decodeWait(ctx) // applyNote rejects an invalid value; other routes only get a longer timeout
	callCtx, cancel := context.WithTimeout(context.Background(), operatorTimeout+wait)
	defer cancel()
	response, err := serve(callCtx, ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, response)
}

// isAuthorized reports whether the request carries the operators' token. It compares
// digests in constant time, so the duration reveals nothing about the token.
func (o *OperatorHandler) isAuthorized(ctx *fasthttp.RequestCtx) bool {
	sent, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	digest := sha256.Sum256([]byte(sent))
	return subtle.ConstantTimeCompare(digest[:], o.tokenDigest[:]) == 1 && ok
}

// findRoute returns the handler of a call, or nil if there is none. name is the path
// without adminPrefix.
func (o *OperatorHandler) findRoute(method, name string) routeHandler {
	if r, ok := o.routes[method+" "+name]; ok {
		return r
	}
	if id, ok := strings.CutPrefix(name, "explain/"); ok && method == fasthttp.MethodGet {
		return func(context.Context, *fasthttp.RequestCtx) (any, error) { return o.showTrace(id) }
	}
	if fingerprint, ok := strings.CutPrefix(name, "quarantine/"); ok && method == fasthttp.MethodDelete {
		return func(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
			return o.app.ReleaseQuarantine(ctx, actorName(req), fingerprint)
		}
	}
	rest, ok := strings.CutPrefix(name, "zones/")
	zone, action, hasAction := strings.Cut(rest, "/")
	if !ok || !hasAction || method != fasthttp.MethodPost || (action != "out" && action != "in") {
		return nil
	}
	return func(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
		return o.app.SetZoneService(ctx, actorName(req), zone, action == "out")
	}
}

// actor returns the name of the operator from the Pimentorill-Actor header, or
// defaultActor if the header is missing or invalid.
func actorName(ctx *fasthttp.RequestCtx) string {
	name := string(ctx.Request.Header.Peek(headerActor))
	if !isVisibleASCII(name, maxCustomerBytes) {
		return defaultActor
	}
	return name
}

func (o *OperatorHandler) listQuarantine(context.Context, *fasthttp.RequestCtx) (any, error) {
	return o.app.Quarantines(), nil
}

func (o *OperatorHandler) showRelease(context.Context, *fasthttp.RequestCtx) (any, error) {
	r := o.app.Snapshot().Release
	if r == nil {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "no release is known yet")
	}
	return r, nil
}

// historyResponse lists the latest accepted release notes, newest first.
type historyResponse struct {
	Notes []release.AcceptedNote `json:"notes"`
}

func (o *OperatorHandler) showHistory(context.Context, *fasthttp.RequestCtx) (any, error) {
	return historyResponse{Notes: o.app.Snapshot().History}, nil
}

// checkNote returns what the release note in the body would change.
func (o *OperatorHandler) checkNote(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	note, err := decodeNote(req)
	if err != nil {
		return nil, err
	}
	return o.app.CheckNote(ctx, note)
}

// applyNote applies the release note in the body. With wait_ms, the response comes when
// all known hosts have the release in force or wait_ms has passed, and says which hosts
// have it.
func (o *OperatorHandler) applyNote(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	note, err := decodeNote(req)
	if err != nil {
		return nil, err
	}
	wait, err := decodeWait(req)
	if err != nil {
		return nil, err
	}
	accepted, err := o.app.ApplyNote(ctx, note)
	if err != nil {
		return nil, err
	}
	response := app.AcceptedNoteStatus{AcceptedNote: accepted}
	if wait > 0 {
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		status := o.app.WaitForRollout(waitCtx, accepted.Version)
		response.Rollout = &status
	}
	return response, nil
}

// maxRolloutWait bounds wait_ms, how long a call waits until all known hosts have
// an applied release in force.
const maxRolloutWait = 10 * time.Minute

// decodeWait reads wait_ms from the query. It returns zero if wait_ms is absent,
// which means that the call does not wait for the rollout.
func decodeWait(req *fasthttp.RequestCtx) (time.Duration, error) {
	if !req.QueryArgs().Has("wait_ms") {
		return 0, nil
	}
	ms, err := req.QueryArgs().GetUint("wait_ms")
	if wait := time.Duration(ms) * time.Millisecond; err == nil && wait <= maxRolloutWait {
		return wait, nil
	}
	return 0, badInput("wait_ms: want 0 to 600000")
}

// decodeNote parses the release note in the body. A note without an author gets the
// name of the operator.
func decodeNote(req *fasthttp.RequestCtx) (release.Note, error) {
	note, err := release.Parse(req.PostBody())
	if err != nil {
		return note, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, err.Error())
	}
	if note.Author == "" {
		note.Author = actorName(req)
	}
	return note, nil
}

func (o *OperatorHandler) showStatus(context.Context, *fasthttp.RequestCtx) (any, error) {
	return o.app.Status(), nil
}

// showTrace returns the trace of a request that this host has executed, while the host
// still keeps it.
func (o *OperatorHandler) showTrace(id string) (any, error) {
	trace, ok := o.app.Explain(id)
	if !ok {
		return nil, verdict.New(verdict.CodeNotFound, verdict.NotRun, "this host does not remember the request")
	}
	return trace, nil
}

// cost returns the cost of all hosts. Amounts are in millionths of the unit of
// currency.
func (o *OperatorHandler) showCost(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	return o.app.Cost(ctx)
}

// showAudit returns the audit records that match the query parameters kind, subject
// and since_ms. since_ms is the maximum age in milliseconds; an absent parameter
// matches all records.
func (o *OperatorHandler) showAudit(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	args := req.QueryArgs()
	q := audit.Query{Kind: port.AuditKind(args.Peek("kind")), Subject: string(args.Peek("subject"))}
	if args.Has("since_ms") {
		ms, err := args.GetUint("since_ms")
		if err != nil {
			return nil, badInput("since_ms: want a number of milliseconds")
		}
		q.Since = time.Now().Add(-time.Duration(ms) * time.Millisecond)
	}
	return o.audit.Read(ctx, q), nil
}

// zonesResponse lists the availability zones of the release in force.
type zonesResponse struct {
	Zones []release.Zone `json:"zones"`
}

func (o *OperatorHandler) listZones(context.Context, *fasthttp.RequestCtx) (any, error) {
	return zonesResponse{Zones: o.app.Status().Zones}, nil
}

// endpointsResponse lists the endpoints of the release in force.
type endpointsResponse struct {
	Endpoints []app.EndpointStatus `json:"endpoints"`
}

func (o *OperatorHandler) listEndpoints(context.Context, *fasthttp.RequestCtx) (any, error) {
	return endpointsResponse{Endpoints: o.app.Endpoints()}, nil
}
