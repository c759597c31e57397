// Package metrics gives the daemon a tally scope and serves it in Prometheus form.
package metrics

import (
	"io"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// reportInterval is the time between two reports of the scope.
const reportInterval = time.Second

// Metrics is a scope with its page. Close it when the daemon ends.
type Metrics struct {
	Scope tally.Scope
	// Handler serves the metrics in Prometheus text form.
	Handler fasthttp.RequestHandler
	closer  io.Closer
}

// New returns metrics under the prefix pimentorill.
func New() *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "pimentorill",
		Separator:       prometheus.DefaultSeparator,
		CachedReporter:  reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	page := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &Metrics{Scope: scope, Handler: page, closer: closer}
}

// Close reports for the last time and stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }
