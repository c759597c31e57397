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

// Limits bounds what one listener gives its clients.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int
	// MaxConnections is the most open connections; more are answered with 503.
	MaxConnections int
	// ReadTimeout bounds the reading of one request.
	ReadTimeout time.Duration
	// IdleTimeout bounds the wait for the next request of a connection.
	IdleTimeout time.Duration
}

// overLimitConnections are served beyond the limit, only to be refused in the
// contract's form.
const overLimitConnections = 256

// overLimitRetryAfter is what a client over the connection limit is told.
const overLimitRetryAfter = time.Second

// newServer returns a fasthttp server whose own errors have the contract's form.
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

// countConnections keeps the number of open connections.
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

// rejectOverLimit answers requests on connections over the limit with 503.
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

// writeReadError answers a request that could not be read.
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

// fasthttpLogger sends the server's own messages to slog.
type fasthttpLogger struct{ log *slog.Logger }

// Printf logs at debug level: the messages tell of clients' mistakes.
func (l fasthttpLogger) Printf(format string, args ...any) {
	l.log.Debug("http server", slog.String("message", fmt.Sprintf(format, args...)))
}
