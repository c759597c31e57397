// Package metrics provides the daemon's tally scope and exports it in the Prometheus
// text format.
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

// reportInterval is the time between two reports of the scope's values to the registry,
// and so the maximum age of the exported values.
const reportInterval = time.Second

// Metrics is a metrics scope with its HTTP handler. The caller must Close it.
type Metrics struct {
	// Scope creates metrics. It is safe for concurrent use.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler fasthttp.RequestHandler
	closer  io.Closer
}

// New returns Metrics whose names have the prefix pimentorill_.
func New() *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "pimentorill",
		Separator:       prometheus.DefaultSeparator,
		CachedReporter:  reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	handler := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &Metrics{Scope: scope, Handler: handler, closer: closer}
}

// Close reports the values once more and stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }
