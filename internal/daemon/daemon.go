// Package daemon puts one host together: settings, adapters, application and
// listeners, and ends them in order.
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

// Outside is what the daemon reaches beyond its own process.
type Outside struct {
	Store port.Store
	// ControlStore is Store with ceilings of its own for leases and releases;
	// nil means Store.
	ControlStore port.Store
	// ClaimStore is Store without ceilings, for claims, which have one of their
	// own for each shard; nil means Store.
	ClaimStore port.Store
	// SetFleetSize fits the store's ceilings to the number of hosts; may be nil.
	SetFleetSize func(hosts int)
	HostList     port.HostList
	Caller       port.AttemptClient
	// Listen opens a listening socket; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Alone says that there are no other hosts: none is listened for.
	Alone bool
	// PeerFaults disturbs the connections to other hosts; nil outside tests.
	PeerFaults peer.Faults
	// Close ends the connections; nil if there is nothing to end.
	Close func()
}

// Daemon is one running host.
type Daemon struct {
	settings  settings.Settings
	log       *slog.Logger
	app       *app.App
	outside   Outside
	metrics   *metrics.Metrics
	link      *peer.Link
	listeners []*listener
	serving   sync.WaitGroup
	// endTasks ends the goroutines in tasks.
	endTasks context.CancelFunc
	taskCtx  context.Context
	tasks    sync.WaitGroup
}

// listener is one address with its server.
type listener struct {
	name   string
	server *fasthttp.Server
	socket net.Listener
}

// Start listens on the settings' addresses and serves. The settings are
// checked already. Stop ends what Start began.
func Start(s settings.Settings, outside Outside, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, outside: outside, metrics: metrics.New()}
	d.taskCtx, d.endTasks = context.WithCancel(context.Background())
	trail := audit.New(s.Host, outside.Store, log)
	hosts, err := d.joinFleet(s)
	if err != nil {
		return nil, err
	}
	// A caller that cannot send orders leaves the engines as they are.
	orders, _ := outside.Caller.(port.OrderClient)
	a, err := app.New(app.Config{
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		MaxRequests:      s.Limits.Runs,
		DrainTimeout:     s.Drain(),
		Standalone:       s.Embedded,
		HostListInterval: time.Duration(s.HostList.IntervalSeconds) * time.Second,
		SharedKey:        s.Peers.SharedKey,
	}, app.Deps{
		Fleet:         hosts,
		HostList:      outside.HostList,
		Store:         outside.Store,
		ControlStore:  outside.ControlStore,
		ClaimStore:    outside.ClaimStore,
		AttemptClient: outside.Caller,
		OrderClient:   orders,
		// Each host is a candidate, in no order.
		LeaseRank:    func() int { return 0 },
		SetFleetSize: outside.SetFleetSize,
		Audit:        trail,
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
	limits := limitsOf(s)
	callers := httpapi.NewCallers(a, d.metrics.Page, limits, log)
	operators := httpapi.NewOperators(a, trail, d.metrics.Page, s.Operators.Token, limits, log)
	if err := d.listen("callers", s.Listen.Callers, callers); err != nil {
		d.leaveFleet(0)
		return nil, err
	}
	if err := d.listen("operators", s.Listen.Operators, operators); err != nil {
		d.closeListeners()
		d.leaveFleet(0)
		return nil, err
	}
	d.startLink()
	a.Start()
	d.goUntilStop(trail.Run)
	for _, l := range d.listeners {
		d.serve(l)
	}
	return d, nil
}

func limitsOf(s settings.Settings) httpapi.Limits {
	return httpapi.Limits{
		BodyBytes:   s.Limits.BodyBytes,
		Connections: s.Limits.Connections,
		ReadTimeout: time.Duration(s.Limits.ReadTimeoutMs) * time.Millisecond,
		IdleTimeout: time.Duration(s.Limits.IdleTimeoutMs) * time.Millisecond,
	}
}

// idSource gives ULIDs that grow within a millisecond.
var idSource = &ulid.LockedMonotonicReader{MonotonicReader: ulid.Monotonic(rand.Reader, 0)}

// NewID returns a new ULID.
func NewID() string { return ulid.MustNew(ulid.Now(), idSource).String() }

func (d *Daemon) listen(name, address string, server *fasthttp.Server) error {
	open := d.outside.Listen
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

func (d *Daemon) serve(l *listener) {
	d.serving.Add(1)
	go func() {
		defer d.serving.Done()
		if err := l.server.Serve(l.socket); err != nil {
			d.log.Error("listener ended", slog.String("for", l.name), slog.Any("error", err))
		}
	}()
}

// goUntilStop runs fn until Stop ends its context, once no request is under way.
func (d *Daemon) goUntilStop(fn func(ctx context.Context)) {
	d.tasks.Go(func() { fn(d.taskCtx) })
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.socket.Close()
	}
}

// Address returns the address that a listener took: "callers", "operators"
// or "peers". It is empty for an unknown name.
func (d *Daemon) Address(name string) string {
	if name == "peers" && d.link != nil {
		return d.link.Self().Address
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

// shutdownGrace bounds how long the listeners wait for open connections once
// no request is under way.
const shutdownGrace = 2 * time.Second

// Stop shuts down gracefully: not ready, no new requests, wait for those
// under way up to the drain time, then close. It returns the number of
// requests cut off.
func (d *Daemon) Stop() int {
	left := d.app.Stop()
	d.leaveFleet(flushTimeout)
	d.closeServers(shutdownGrace)
	return left
}

// closeServers closes the listeners, waits for open connections up to the
// grace, and ends everything else.
func (d *Daemon) closeServers(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	for _, l := range d.listeners {
		if err := l.server.ShutdownWithContext(ctx); err != nil {
			d.log.Warn("listener did not close in time", slog.String("for", l.name), slog.Any("error", err))
		}
	}
	d.serving.Wait()
	d.endTasks()
	d.tasks.Wait()
	_ = d.metrics.Close()
	if d.outside.Close != nil {
		d.outside.Close()
	}
}

// Kill ends the host at once, without handing anything over, as the death of
// its process does. The sockets are the caller's to close before.
func (d *Daemon) Kill() {
	d.app.Kill()
	d.leaveFleet(0)
	d.closeServers(0)
}

// NewLogger returns a logger as the settings ask for.
func NewLogger(w io.Writer, s settings.Log) *slog.Logger {
	var level slog.Level
	// The settings are checked: the level is one that slog knows.
	_ = level.UnmarshalText([]byte(s.Level))
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
