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
	adminPrefix  = "/v1/admin/"
	headerActor  = "Pimentorill-Actor"
	defaultActor = "operator"
	// operatorTimeout bounds one operators' call.
	operatorTimeout = 15 * time.Second
)

// AuditReader gives the audit trail.
type AuditReader interface {
	Read(ctx context.Context, q audit.Query) audit.Trail
}

// Operators serves the operators' address.
type Operators struct {
	app     *app.App
	audit   AuditReader
	metrics fasthttp.RequestHandler
	token   [sha256.Size]byte
	routes  map[string]route
}

// route answers one operators' call; what it returns is sent as JSON.
type route func(ctx context.Context, req *fasthttp.RequestCtx) (any, error)

// NewOperators returns the server of the operators' address. Every call needs
// the token as bearer token.
func NewOperators(a *app.App, audit AuditReader, metrics fasthttp.RequestHandler, token string, limits Limits, log *slog.Logger) *fasthttp.Server {
	o := &Operators{app: a, audit: audit, metrics: metrics, token: sha256.Sum256([]byte(token))}
	o.routes = map[string]route{
		"GET release":         o.release,
		"GET release/history": o.history,
		"POST release/check":  o.check,
		"POST release/apply":  o.apply,
		"GET status":          o.status,
		"GET cost":            o.cost,
		"GET audit":           o.auditTrail,
		"GET zones":           o.zones,
		"GET quarantine":      o.quarantine,
		"GET endpoints":       o.endpoints,
	}
	return newServer(o.handle, limits, log)
}

func (o *Operators) handle(ctx *fasthttp.RequestCtx) {
	if !o.authorized(ctx) {
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
	serve := o.find(string(ctx.Method()), name)
	if !ok || serve == nil {
		writeError(ctx, notFound())
		return
	}
	wait, _ := waitTime(ctx) // a wrong value is refused by its route
	bounded, cancel := context.WithTimeout(context.Background(), operatorTimeout+wait)
	defer cancel()
	answer, err := serve(bounded, ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, answer)
}

func (o *Operators) authorized(ctx *fasthttp.RequestCtx) bool {
	sent, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	digest := sha256.Sum256([]byte(sent))
	return subtle.ConstantTimeCompare(digest[:], o.token[:]) == 1 && ok
}

// find returns the route of a call, nil if there is none.
func (o *Operators) find(method, name string) route {
	if r, ok := o.routes[method+" "+name]; ok {
		return r
	}
	if id, ok := strings.CutPrefix(name, "explain/"); ok && method == fasthttp.MethodGet {
		return func(context.Context, *fasthttp.RequestCtx) (any, error) { return o.explain(id) }
	}
	if print, ok := strings.CutPrefix(name, "quarantine/"); ok && method == fasthttp.MethodDelete {
		return func(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
			return o.app.ReleaseQuarantine(ctx, actor(req), print)
		}
	}
	rest, ok := strings.CutPrefix(name, "zones/")
	zone, action, two := strings.Cut(rest, "/")
	if !ok || !two || method != fasthttp.MethodPost || (action != "out" && action != "in") {
		return nil
	}
	return func(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
		return o.app.SetZoneService(ctx, actor(req), zone, action == "out")
	}
}

// actor returns who makes the call, as the operator's tool says.
func actor(ctx *fasthttp.RequestCtx) string {
	name := string(ctx.Request.Header.Peek(headerActor))
	if !visible(name, maxCustomerBytes) {
		return defaultActor
	}
	return name
}

func (o *Operators) quarantine(context.Context, *fasthttp.RequestCtx) (any, error) {
	return o.app.Quarantines(), nil
}

func (o *Operators) release(context.Context, *fasthttp.RequestCtx) (any, error) {
	r := o.app.Snapshot().Release
	if r == nil {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "no release is known yet")
	}
	return r, nil
}

// historyAnswer lists accepted notes, newest first.
type historyAnswer struct {
	Notes []release.AcceptedNote `json:"notes"`
}

func (o *Operators) history(context.Context, *fasthttp.RequestCtx) (any, error) {
	return historyAnswer{Notes: o.app.Snapshot().History}, nil
}

func (o *Operators) check(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	note, err := decodeNote(req)
	if err != nil {
		return nil, err
	}
	return o.app.CheckNote(ctx, note)
}

func (o *Operators) apply(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	note, err := decodeNote(req)
	if err != nil {
		return nil, err
	}
	wait, err := waitTime(req)
	if err != nil {
		return nil, err
	}
	accepted, err := o.app.ApplyNote(ctx, note)
	if err != nil {
		return nil, err
	}
	answer := app.AcceptedNoteStatus{AcceptedNote: accepted}
	if wait > 0 {
		bounded, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		seen := o.app.WaitForRollout(bounded, accepted.Version)
		answer.Rollout = &seen
	}
	return answer, nil
}

// maxWait bounds how long a call waits for a note to be in force.
const maxWait = 10 * time.Minute

// waitTime reads wait_ms from the query; zero if it is absent.
func waitTime(req *fasthttp.RequestCtx) (time.Duration, error) {
	if !req.QueryArgs().Has("wait_ms") {
		return 0, nil
	}
	ms, err := req.QueryArgs().GetUint("wait_ms")
	if wait := time.Duration(ms) * time.Millisecond; err == nil && wait <= maxWait {
		return wait, nil
	}
	return 0, badInput("wait_ms: want 0 to 600000")
}

func decodeNote(req *fasthttp.RequestCtx) (release.Note, error) {
	note, err := release.Parse(req.PostBody())
	if err != nil {
		return note, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, err.Error())
	}
	if note.Author == "" {
		note.Author = actor(req)
	}
	return note, nil
}

func (o *Operators) status(context.Context, *fasthttp.RequestCtx) (any, error) {
	return o.app.Status(), nil
}

func (o *Operators) explain(id string) (any, error) {
	trace, ok := o.app.Explain(id)
	if !ok {
		return nil, verdict.New(verdict.CodeNotFound, verdict.NotRun, "this host does not remember the request")
	}
	return trace, nil
}

// cost answers with the books of all hosts, in millionths of the unit of currency.
func (o *Operators) cost(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	return o.app.Cost(ctx)
}

// auditTrail answers with the records that the query's kind, subject and
// since_ms (their greatest age) choose.
func (o *Operators) auditTrail(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
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

// zonesAnswer lists the availability zones.
type zonesAnswer struct {
	Zones []release.Zone `json:"zones"`
}

func (o *Operators) zones(context.Context, *fasthttp.RequestCtx) (any, error) {
	return zonesAnswer{Zones: o.app.Status().Zones}, nil
}

// endpointsAnswer lists the endpoints of the release in force.
type endpointsAnswer struct {
	Endpoints []app.EndpointStatus `json:"endpoints"`
}

func (o *Operators) endpoints(context.Context, *fasthttp.RequestCtx) (any, error) {
	return endpointsAnswer{Endpoints: o.app.Endpoints()}, nil
}
