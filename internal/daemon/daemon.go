// Package daemon assembles a host from its settings, adapters, application and
// listeners, and shuts them down in order.
package daemon

import (
	"context"
	"crypto/rand"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/audit"
	"github.com/pimentorill/pimentorill/internal/adapter/httpapi"
	"github.com/pimentorill/pimentorill/internal/adapter/metrics"
	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Dependencies holds the services outside the process that the daemon uses.
type Dependencies struct {
	Store port.Store
	// ControlStore is Store with rate limits of its own, for calls that concern leases
	// and releases; nil means Store.
	ControlStore port.Store
	// ClaimStore is Store without rate limits, for claims, which have a limit for
	// each shard; nil means Store.
	ClaimStore port.Store
	// SetFleetSize adapts this host's rate limits on Store to the number of hosts; may
	// be nil.
	SetFleetSize func(hosts int)
	HostList     port.HostList
	// AttemptClient calls the endpoints. If it also implements port.OrderClient,
	// orders are sent to engines through it.
	AttemptClient port.AttemptClient
	// Listen opens a listening socket; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// SingleHost is set if there are no other hosts. The daemon then does not listen
	// for them.
	SingleHost bool
	// PeerFaults injects faults into the connections to other hosts; nil outside
	// tests.
	PeerFaults peer.FaultInjector
	// Close closes the dependencies' connections once the daemon has ended; nil if
	// there are none.
	Close func()
}

// Daemon is a running host. Address, App and PeerStats may be called concurrently.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	app      *app.App
	deps     Dependencies
	metrics  *metrics.Metrics
	// transport connects to the other hosts; nil if there are none.
	transport *peer.Transport
	listeners []*listener
	// servers counts the listeners that are being served.
	servers sync.WaitGroup
	// cancelTasks cancels tasksCtx, which ends the goroutines in tasks.
	cancelTasks context.CancelFunc
	tasksCtx    context.Context
	tasks       sync.WaitGroup
}

// listener is a listening socket with its server.
type listener struct {
	// name is "callers" or "operators".
	name   string
	server *fasthttp.Server
	socket net.Listener
}

// Start starts a host that serves on the addresses of the settings, which must
// be valid. Stop or Kill ends it. If Start fails, deps.Close has not been called.
func Start(s settings.Settings, deps Dependencies, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, deps: deps, metrics: metrics.New()}
	d.tasksCtx, d.cancelTasks = context.WithCancel(context.Background())
	auditLog := audit.New(s.Host, deps.Store, log)
	fleet, err := d.joinFleet(s)
	if err != nil {
		return nil, err
	}
	// Without an OrderClient, no orders are sent to engines.
	orders, _ := deps.AttemptClient.(port.OrderClient)
	a, err := app.New(app.Config{
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		MaxRequests:      s.Limits.MaxRequests,
		DrainTimeout:     s.DrainTimeout(),
		Standalone:       s.Embedded,
		HostListInterval: time.Duration(s.HostList.PollIntervalSeconds) * time.Second,
		SharedKey:        s.Peers.SharedKey,
	}, app.Deps{
		Fleet:         fleet,
		HostList:      deps.HostList,
		Store:         deps.Store,
		ControlStore:  deps.ControlStore,
		ClaimStore:    deps.ClaimStore,
		AttemptClient: deps.AttemptClient,
		OrderClient:   orders,
		// All hosts are equal candidates for leases.
		LeaseRank:    func() int { return 0 },
		SetFleetSize: deps.SetFleetSize,
		Audit:        auditLog,
		Clock:        port.SystemClock{},
		Log:          log,
		Metrics:      d.metrics.Scope,
		NewID:        NewID,
	})
	if err != nil {
		d.leaveFleet(0)
		return nil, err
	}
	d.app = a
	limits := httpLimits(s)
	callers := httpapi.NewCallerServer(a, d.metrics.Handler, limits, log)
	operators := httpapi.NewOperatorServer(a, auditLog, d.metrics.Handler, s.Operators.Token, limits, log)
	if err := d.listen("callers", s.Listen.Callers, callers); err != nil {
		d.leaveFleet(0)
		return nil, err
	}
	if err := d.listen("operators", s.Listen.Operators, operators); err != nil {
		d.closeListeners()
		d.leaveFleet(0)
		return nil, err
	}
	d.startTransport()
	a.Start()
	d.startTask(auditLog.Run)
	for _, l := range d.listeners {
		d.serve(l)
	}
	return d, nil
}

func httpLimits(s settings.Settings) httpapi.Limits {
	return httpapi.Limits{
		MaxBodyBytes:   s.Limits.MaxBodyBytes,
		MaxConnections: s.Limits.MaxConnections,
		ReadTimeout:    time.Duration(s.Limits.ReadTimeoutMs) * time.Millisecond,
		IdleTimeout:    time.Duration(s.Limits.IdleTimeoutMs) * time.Millisecond,
	}
}

// idSource is the entropy of NewID. It makes ULIDs of the same millisecond increase
// monotonically.
var idSource = &ulid.LockedMonotonicReader{MonotonicReader: ulid.Monotonic(rand.Reader, 0)}

// NewID returns a new ULID. It is safe for concurrent use.
func NewID() string { return ulid.MustNew(ulid.Now(), idSource).String() }

// listen opens a listener for server, which serve starts.
func (d *Daemon) listen(name, address string, server *fasthttp.Server) error {
	open := d.deps.Listen
	if open == nil {
		open = net.Listen
	}
	socket, err := open("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	d.listeners = append(d.listeners, &listener{name: name, server: server, socket: socket})
	d.log.Info("listening", slog.String("for", name), slog.String("address", socket.Addr().String()))
	return nil
}

// serve starts to serve a listener; closeServers waits until it has ended.
func (d *Daemon) serve(l *listener) {
	d.servers.Add(1)
	go func() {
		defer d.servers.Done()
		if err := l.server.Serve(l.socket); err != nil {
			d.log.Error("listener ended", slog.String("for", l.name), slog.Any("error", err))
		}
	}()
}

// startTask runs fn in a goroutine. Stop or Kill cancels its context after the
// listeners are closed.
func (d *Daemon) startTask(fn func(ctx context.Context)) {
	d.tasks.Go(func() { fn(d.tasksCtx) })
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.socket.Close()
	}
}

// Address returns the address of a listener: "callers", "operators" or "peers".
// It is empty for an unknown name.
func (d *Daemon) Address(name string) string {
	if name == "peers" && d.transport != nil {
		return d.transport.Self().Address
	}
	for _, l := range d.listeners {
		if l.name == name {
			return l.socket.Addr().String()
		}
	}
	return ""
}

// App returns the running application.
func (d *Daemon) App() *app.App { return d.app }

// shutdownGrace bounds how long the listeners wait for open connections once no
// request is in flight.
const shutdownGrace = 2 * time.Second

// Stop shuts the host down gracefully: the host becomes unready, refuses new
// requests, waits for those in flight up to the drain timeout of the settings, then
// closes its listeners and connections. Stop returns the number of requests
// interrupted.
func (d *Daemon) Stop() int {
	interrupted := d.app.Stop()
	d.leaveFleet(flushTimeout)
	d.closeServers(shutdownGrace)
	return interrupted
}

// closeServers closes the listeners, waits for open connections up to grace, then
// ends the tasks and closes the metrics and dependencies.
func (d *Daemon) closeServers(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	for _, l := range d.listeners {
		if err := l.server.ShutdownWithContext(ctx); err != nil {
			d.log.Warn("server did not shut down cleanly", slog.String("for", l.name), slog.Any("error", err))
		}
	}
	d.servers.Wait()
	d.cancelTasks()
	d.tasks.Wait()
	_ = d.metrics.Close()
	if d.deps.Close != nil {
		d.deps.Close()
	}
}

// Kill ends the host at once without handing anything over, as a crash of its
// process would. The caller must close the sockets first.
func (d *Daemon) Kill() {
	d.app.Kill()
	d.leaveFleet(0)
	d.closeServers(0)
}

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(w io.Writer, s settings.Log) *slog.Logger {
	var level slog.Level
	// The settings are valid, so slog knows the level.
	_ = level.UnmarshalText([]byte(s.Level))
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
