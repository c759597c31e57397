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

// Callers serves the callers' address.
type Callers struct {
	app     *app.App
	metrics fasthttp.RequestHandler
	log     *slog.Logger
}

// NewCallers returns the server of the callers' address. metrics serves GET /metrics.
func NewCallers(a *app.App, metrics fasthttp.RequestHandler, limits Limits, log *slog.Logger) *fasthttp.Server {
	c := &Callers{app: a, metrics: metrics, log: log}
	return newServer(c.handle, limits, log)
}

func (c *Callers) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if pipeline, ok := runPath(path); ok {
		c.onlyMethod(ctx, fasthttp.MethodPost, func() { c.run(ctx, pipeline) })
		return
	}
	switch path {
	case "/v1/keys":
		c.onlyMethod(ctx, fasthttp.MethodPost, func() { c.issueKey(ctx) })
	case "/healthz":
		c.onlyMethod(ctx, fasthttp.MethodGet, func() { writeJSON(ctx, fasthttp.StatusOK, health{Status: "ok"}) })
	case "/readyz":
		c.onlyMethod(ctx, fasthttp.MethodGet, func() { c.ready(ctx) })
	case "/metrics":
		c.onlyMethod(ctx, fasthttp.MethodGet, func() { c.metrics(ctx) })
	default:
		writeError(ctx, notFound())
	}
}

// runPath returns the pipeline's name in the path of a run.
func runPath(path string) (string, bool) {
	rest, ok := strings.CutPrefix(path, runPrefix)
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(rest, runSuffix)
	return name, ok && name != "" && !strings.Contains(name, "/")
}

// onlyMethod serves the request if it has the method.
func (c *Callers) onlyMethod(ctx *fasthttp.RequestCtx, method string, serve func()) {
	if string(ctx.Method()) == method {
		serve()
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
	writeError(ctx, verdict.New(verdict.CodeMethodNotAllowed, verdict.NotRun, "want method "+method))
}

// health is the answer of the balancer's checks.
type health struct {
	Status string `json:"status"`
}

func (c *Callers) ready(ctx *fasthttp.RequestCtx) {
	if err := c.app.Ready(); err != nil {
		writeError(ctx, verdict.New(verdict.CodeNotReady, verdict.NotRun, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, health{Status: "ready"})
}

// issueKey answers with an idempotency key for the customer.
func (c *Callers) issueKey(ctx *fasthttp.RequestCtx) {
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

// run answers a run, whole or as a stream.
func (c *Callers) run(ctx *fasthttp.RequestCtx, pipeline string) {
	in, err := decodeRun(ctx, pipeline)
	if err != nil {
		writeError(ctx, err)
		return
	}
	gone, stop := watchHangup(ctx.Conn())
	if strings.Contains(string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)), contentEvents) {
		c.stream(ctx, gone, stop, in)
		return
	}
	defer stop()
	answer, err := c.app.Run(gone, in)
	ctx.Response.Header.Set(headerRequestID, answer.RequestID)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, answer)
}
