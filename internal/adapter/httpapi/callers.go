package httpapi

import (
	"log/slog"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	runPrefix = "/v1/pipelines/"
	runSuffix = "/runs"
)

// CallerHandler serves the HTTP API for callers. Its methods are safe for
// concurrent use.
type CallerHandler struct {
	app     *app.App
	metrics fasthttp.RequestHandler
	log     *slog.Logger
}

// NewCallerServer returns the HTTP server for callers. metrics serves GET /metrics.
func NewCallerServer(a *app.App, metrics fasthttp.RequestHandler, limits Limits, log *slog.Logger) *fasthttp.Server {
	c := &CallerHandler{app: a, metrics: metrics, log: log}
	return newServer(c.handle, limits, log)
}

// handle routes a request by its path.
func (c *CallerHandler) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if pipeline, ok := runPath(path); ok {
		c.requireMethod(ctx, fasthttp.MethodPost, func() { c.run(ctx, pipeline) })
		return
	}
	switch path {
	case "/v1/keys":
		c.requireMethod(ctx, fasthttp.MethodPost, func() { c.issueKey(ctx) })
	case "/healthz":
		c.requireMethod(ctx, fasthttp.MethodGet, func() { writeJSON(ctx, fasthttp.StatusOK, statusResponse{Status: "ok"}) })
	case "/readyz":
		c.requireMethod(ctx, fasthttp.MethodGet, func() { c.ready(ctx) })
	case "/metrics":
		c.requireMethod(ctx, fasthttp.MethodGet, func() { c.metrics(ctx) })
	default:
		writeError(ctx, notFound())
	}
}

// runPath returns the pipeline name of a /v1/pipelines/NAME/runs path. It
// reports false for any other path.
func runPath(path string) (string, bool) {
	rest, ok := strings.CutPrefix(path, runPrefix)
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(rest, runSuffix)
	return name, ok && name != "" && !strings.Contains(name, "/")
}

// requireMethod calls serve if the request has the method, and otherwise
// responds with status 405 and an Allow header.
func (c *CallerHandler) requireMethod(ctx *fasthttp.RequestCtx, method string, serve func()) {
	if string(ctx.Method()) == method {
		serve()
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
	writeError(ctx, verdict.New(verdict.CodeMethodNotAllowed, verdict.NotRun, "want method "+method))
}

// statusResponse is the body of a successful response of /healthz and /readyz.
type statusResponse struct {
	Status string `json:"status"`
}

// ready responds with status 200 if the host may receive requests, and otherwise
// with the reason why not.
func (c *CallerHandler) ready(ctx *fasthttp.RequestCtx) {
	if err := c.app.Ready(); err != nil {
		writeError(ctx, verdict.New(verdict.CodeNotReady, verdict.NotRun, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, statusResponse{Status: "ready"})
}

// issueKey responds with a new idempotency key, which only the customer in the
// request's header may use.
func (c *CallerHandler) issueKey(ctx *fasthttp.RequestCtx) {
	customer, err := decodeCustomer(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	key, err := c.app.IssueKey(customer)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, key)
}

// run executes a pipeline request and responds with JSON, or with server-sent
// events if the Accept header asks for them. The run is cancelled if the caller
// closes the connection.
func (c *CallerHandler) run(ctx *fasthttp.RequestCtx, pipeline string) {
	in, err := decodeRun(ctx, pipeline)
	if err != nil {
		writeError(ctx, err)
		return
	}
	runCtx, stop := watchDisconnect(ctx.Conn())
	if strings.Contains(string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)), contentTypeEventStream) {
		c.stream(ctx, runCtx, stop, in)
		return
	}
	defer stop()
	response, err := c.app.Run(runCtx, in)
	ctx.Response.Header.Set(headerRequestID, response.RequestID)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, response)
}
