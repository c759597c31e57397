// Package peer carries messages and requests between hosts: CBOR frames over
// WebSocket, authenticated with a shared key in both directions. Connections
// are opened on demand, bounded in number, and closed when idle. A Link is
// safe for concurrent use once started.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// idleTimeout closes a connection that carried no frame. It is longer
	// than a host takes to probe every other host of a zone of 100 once.
	idleTimeout = 2 * time.Minute
	// sweepInterval is how often idle connections are looked for.
	sweepInterval = 10 * time.Second
	// defaultMaxConns bounds the outbound connections, and inbound ones as well.
	defaultMaxConns = 128
	// dialTimeout bounds connecting and the handshake.
	dialTimeout = 2 * time.Second
	// maxAskTimeout bounds a request without a deadline.
	maxAskTimeout = 30 * time.Second
	// maxRequestsPerConn bounds the requests handled at a time per connection.
	maxRequestsPerConn = 512
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 2 << 10
	// path and subprotocol name the protocol in the upgrade request.
	path        = "/peer"
	subprotocol = "pimentorill.peer"
)

type handlerFunc = port.RequestHandler

// Faults lets tests lose and delay frames and cut connections.
// Implementations are safe for concurrent use.
type Faults interface {
	// Outbound tells whether a frame to the address is lost, and how long it is delayed.
	Outbound(address string) (drop bool, delay time.Duration)
	// Cut tells whether the address can't be reached at all.
	Cut(address string) bool
}

// Config is what a Link needs.
type Config struct {
	// Self is this host; its Address may be left empty if Listener is bound to it.
	Self port.Member
	// Listener accepts the other hosts' connections.
	Listener net.Listener
	// Keys are the shared keys: the first is used to dial, all are accepted.
	Keys [][]byte
	// MaxConns bounds outbound connections; 0 means defaultMaxConns.
	MaxConns int
	Clock    port.Clock
	Log      *slog.Logger
	// Faults is nil outside tests.
	Faults Faults
}

// Link implements port.Transport.
type Link struct {
	self     port.Member
	listener net.Listener
	keys     [][]byte
	maxConns int
	clock    port.Clock
	log      *slog.Logger
	faults   Faults

	server    *fasthttp.Server
	upgrader  websocket.FastHTTPUpgrader
	dialer    websocket.Dialer
	handlers  map[string]handlerFunc
	onMessage func(from port.Member, payload []byte)
	stats     stats

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// closeMu guards closed: no goroutine joins the group after it is set.
	closeMu sync.Mutex
	closed  bool

	mu       sync.Mutex
	outbound map[string]*dialled
	inbound  map[*conn]struct{}
	accepted int
}

var _ port.Transport = (*Link)(nil)

// New returns a link that is not started yet.
func New(cfg Config) (*Link, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.New("peer: no shared key")
	}
	for _, k := range cfg.Keys {
		if len(k) < MinKeyBytes {
			return nil, errors.Errorf("peer: shared key of %d bytes, at least %d needed", len(k), MinKeyBytes)
		}
	}
	if cfg.Self.Address == "" {
		cfg.Self.Address = cfg.Listener.Addr().String()
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.Clock == nil {
		cfg.Clock = port.SystemClock{}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		self: cfg.Self, listener: cfg.Listener, keys: cfg.Keys, maxConns: cfg.MaxConns,
		clock: cfg.Clock, log: cfg.Log, faults: cfg.Faults,
		handlers:  make(map[string]handlerFunc),
		onMessage: func(port.Member, []byte) {},
		ctx:       ctx, cancel: cancel,
		outbound: make(map[string]*dialled),
		inbound:  make(map[*conn]struct{}),
	}
	pool := &sync.Pool{}
	l.upgrader = websocket.FastHTTPUpgrader{
		HandshakeTimeout: dialTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		WriteBufferPool: pool, Subprotocols: []string{subprotocol},
	}
	l.dialer = websocket.Dialer{
		HandshakeTimeout: dialTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		WriteBufferPool: pool, Subprotocols: []string{subprotocol}, NetDialContext: l.dialTCP,
	}
	return l, nil
}

// Self returns this host with the address that it listens on.
func (l *Link) Self() port.Member { return l.self }

// OnMessage implements port.Transport.
func (l *Link) OnMessage(fn func(from port.Member, payload []byte)) { l.onMessage = fn }

// Handle implements port.Transport.
func (l *Link) Handle(kind string, fn port.RequestHandler) { l.handlers[kind] = fn }

// Start begins to accept connections.
func (l *Link) Start() {
	l.server = &fasthttp.Server{
		Handler: l.upgrade, Name: "pimentorill", Concurrency: 2 * l.maxConns,
		ReadTimeout: dialTimeout, WriteTimeout: dialTimeout, MaxRequestBodySize: 1 << 10,
		ReadBufferSize: 2 * bufferBytes, WriteBufferSize: bufferBytes,
		NoDefaultServerHeader: true, CloseOnShutdown: true, KeepHijackedConns: true, Logger: quietLogger{},
	}
	l.group.Go(func() {
		if err := l.server.Serve(countingListener{l.listener, &l.stats}); err != nil {
			l.log.Error("peer server ended", "error", err)
		}
	})
	l.group.Go(l.sweepLoop)
}

// Close ends all connections and waits for their goroutines.
func (l *Link) Close() {
	l.closeMu.Lock()
	l.closed = true
	l.closeMu.Unlock()
	l.cancel()
	for _, c := range l.connections() {
		c.close()
	}
	if l.server != nil {
		_ = l.server.Shutdown()
	} else {
		_ = l.listener.Close()
	}
	l.group.Wait()
}

// join adds a goroutine to those that Close waits for; it reports false once
// the link is closed.
func (l *Link) join() bool {
	l.closeMu.Lock()
	defer l.closeMu.Unlock()
	if l.closed {
		return false
	}
	l.group.Add(1)
	return true
}

// Send implements port.Transport.
func (l *Link) Send(address string, payload []byte) {
	l.dialled(address).send(&queuedFrame{frame: frame{Kind: frameMessage, Payload: payload}})
}

// Ask implements port.Transport.
func (l *Link) Ask(ctx context.Context, address, kind string, payload []byte) ([]byte, error) {
	if len(payload) > port.MaxValueBytes {
		return nil, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request to peer too large")
	}
	c, err := l.dialled(address).wait(ctx)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "peer not reached")
	}
	return c.ask(ctx, kind, payload)
}

// Flush waits until the messages queued so far are written, or ctx ends.
func (l *Link) Flush(ctx context.Context) {
	l.mu.Lock()
	var opened []*dialled
	for _, d := range l.outbound {
		opened = append(opened, d)
	}
	l.mu.Unlock()
	for _, d := range opened {
		d.flush(ctx)
	}
}

// Reset closes the outbound connection to an address, if there is one: the next
// frame opens another.
func (l *Link) Reset(address string) {
	l.mu.Lock()
	d := l.outbound[address]
	l.mu.Unlock()
	if d == nil {
		return
	}
	if c := d.current(); c != nil {
		c.close()
	}
}

// Stats returns what the link has counted since its start.
func (l *Link) Stats() Stats { return l.stats.snapshot() }

func (l *Link) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*conn
	for c := range l.inbound {
		all = append(all, c)
	}
	for _, d := range l.outbound {
		if c := d.current(); c != nil {
			all = append(all, c)
		}
	}
	return all
}

// sweepLoop closes idle connections.
func (l *Link) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			l.sweep(l.clock.Now())
		}
	}
}

func (l *Link) sweep(now time.Time) {
	oldest := now.Add(-idleTimeout).UnixNano()
	for _, c := range l.connections() {
		if c.lastUsed.Load() < oldest && !c.busy() {
			c.close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, d := range l.outbound {
		if d.idle() {
			delete(l.outbound, address)
		}
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0 || len(c.handling) > 0
}
