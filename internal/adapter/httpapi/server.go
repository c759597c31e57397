package httpapi

import (
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Limits bounds the resources that the clients of one listener may use.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int
	// MaxConnections bounds the open connections. While more are open, requests on
	// any connection get status 503.
	MaxConnections int
	// ReadTimeout bounds reading one request.
	ReadTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
}

// overLimitConnections is the number of connections accepted beyond
// Limits.MaxConnections, so that requests get status 503 with a JSON error body.
const overLimitConnections = 256

// overLimitRetryAfter is the retry delay sent to a client over the connection limit.
const overLimitRetryAfter = time.Second

// newServer returns a fasthttp server that reports its own errors with the same
// JSON body as the handlers.
func newServer(handler fasthttp.RequestHandler, limits Limits, log *slog.Logger) *fasthttp.Server {
	open := &atomic.Int64{}
	return &fasthttp.Server{
		Handler:               rejectOverLimit(handler, open, int64(limits.MaxConnections)),
		ErrorHandler:          writeReadError,
		ConnState:             countConnections(open),
		MaxRequestBodySize:    limits.MaxBodyBytes,
		Concurrency:           limits.MaxConnections + overLimitConnections,
		ReadTimeout:           limits.ReadTimeout,
		IdleTimeout:           limits.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                fasthttpLogger{log},
	}
}

// countConnections returns a ConnState callback that keeps the number of open
// connections in open.
func countConnections(open *atomic.Int64) func(net.Conn, fasthttp.ConnState) {
	return func(_ net.Conn, state fasthttp.ConnState) {
		switch state {
		case fasthttp.StateNew:
			open.Add(1)
		case fasthttp.StateClosed, fasthttp.StateHijacked:
			open.Add(-1)
		}
	}
}

// rejectOverLimit returns a handler that responds with status 503 and closes the
// connection while more than limit connections are open, and otherwise calls next.
func rejectOverLimit(next fasthttp.RequestHandler, open *atomic.Int64, limit int64) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if open.Load() > limit {
			ctx.SetConnectionClose()
			writeError(ctx, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "too many connections").WithRetryAfter(overLimitRetryAfter))
			return
		}
		next(ctx)
	}
}

// writeReadError responds to a request that could not be read: with status 413 if
// the body is too large, otherwise 400.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeError(ctx, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "the body is over the limit"))
	case errors.As(err, &timeout) && timeout.Timeout():
		writeError(ctx, badInput("the request did not arrive in time"))
	default:
		writeError(ctx, badInput("the request cannot be read"))
	}
}

// fasthttpLogger forwards fasthttp's log messages to slog.
type fasthttpLogger struct{ log *slog.Logger }

// Printf logs at debug level because the messages report client errors.
func (l fasthttpLogger) Printf(format string, args ...any) {
	l.log.Debug("http server", slog.String("message", fmt.Sprintf(format, args...)))
}
