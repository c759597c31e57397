// Package peer sends messages and requests between hosts as CBOR frames over
// WebSocket. A shared key authenticates both directions. Connections are opened
// on demand, bounded in number, and closed when idle.
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
	// idleTimeout is how long a connection may carry no frame before it is closed.
	// It exceeds the time in which a host probes every other host of a zone of 100
	// hosts once.
	idleTimeout = 2 * time.Minute
	// idleCheckInterval is the time between two checks for idle connections.
	idleCheckInterval = 10 * time.Second
	// defaultMaxConns is the default of Config.MaxConns.
	defaultMaxConns = 128
	// dialTimeout bounds connecting, including the handshake.
	dialTimeout = 2 * time.Second
	// maxRequestTimeout bounds the timeout sent with a request, also if its context
	// has no deadline.
	maxRequestTimeout = 30 * time.Second
	// maxRequestsPerConn bounds the requests of the peer that are handled concurrently
	// per connection.
	maxRequestsPerConn = 512
	// wsBufferBytes is the size of each WebSocket read and write buffer.
	wsBufferBytes = 2 << 10
	// upgradePath and subprotocol identify the protocol in the upgrade request.
	upgradePath = "/peer"
	subprotocol = "pimentorill.peer"
)

// handler handles the requests of a kind. If whileConnected is set, its context also
// ends with the connection of the requester.
type handler struct {
	fn             port.RequestHandler
	whileConnected bool
}

// FaultInjector lets tests drop and delay frames and make addresses unreachable.
// Implementations are safe for concurrent use.
type FaultInjector interface {
	// Outbound returns whether to drop the next frame to the address, and how long
	// to delay it.
	Outbound(address string) (drop bool, delay time.Duration)
	// Unreachable reports whether to fail connecting to the address.
	Unreachable(address string) bool
}

// Config configures a Transport.
type Config struct {
	// Self is this host. An empty Address means the address of Listener.
	Self port.Member
	// Listener accepts connections of other hosts.
	Listener net.Listener
	// SharedKeys holds the accepted shared keys. The first is used to dial.
	SharedKeys [][]byte
	// MaxConns bounds the outbound connections: a new one closes the least recently
	// used one without requests in progress, and exceeds the bound if there is none.
	// Twice as many inbound connections are accepted. 0 means defaultMaxConns.
	MaxConns int
	// Clock is the system clock if nil. It is used only to find idle connections.
	Clock port.Clock
	// Log discards log messages if nil.
	Log *slog.Logger
	// Faults is nil outside tests.
	Faults FaultInjector
}

// Transport implements port.Transport. It can send before it is started, and accepts
// connections from then on. It is safe for concurrent use once OnMessage and the
// handlers have been set.
type Transport struct {
	self       port.Member
	listener   net.Listener
	sharedKeys [][]byte
	maxConns   int
	clock      port.Clock
	log        *slog.Logger
	faults     FaultInjector

	server    *fasthttp.Server
	upgrader  websocket.FastHTTPUpgrader
	dialer    websocket.Dialer
	handlers  map[string]handler
	onMessage func(from port.Member, payload []byte)
	stats     stats

	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// group counts the goroutines that Close waits for.
	group sync.WaitGroup
	// closedMu guards closed. tryAddGoroutine adds none to group once closed is set.
	closedMu sync.Mutex
	closed   bool

	// mu guards the fields below. It may be held while outboundConn.mu, conn.mu or
	// closedMu is locked, not the other way round.
	mu sync.Mutex
	// outbound is keyed by address.
	outbound map[string]*outboundConn
	// inbound holds the connections whose handshake has succeeded; inboundCount also
	// counts those in the handshake.
	inbound      map[*conn]struct{}
	inboundCount int
}

var _ port.Transport = (*Transport)(nil)

// New returns a transport that is not started. The caller must Close it. New returns
// an error if there is no shared key or one is shorter than MinSharedKeyBytes.
func New(cfg Config) (*Transport, error) {
	if len(cfg.SharedKeys) == 0 {
		return nil, errors.New("peer: no shared key")
	}
	for _, k := range cfg.SharedKeys {
		if len(k) < MinSharedKeyBytes {
			return nil, errors.Errorf("peer: shared key of %d bytes, at least %d needed", len(k), MinSharedKeyBytes)
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
	t := &Transport{
		self: cfg.Self, listener: cfg.Listener, sharedKeys: cfg.SharedKeys, maxConns: cfg.MaxConns,
		clock: cfg.Clock, log: cfg.Log, faults: cfg.Faults,
		handlers:  make(map[string]handler),
		onMessage: func(port.Member, []byte) {},
		ctx:       ctx, cancel: cancel,
		outbound: make(map[string]*outboundConn),
		inbound:  make(map[*conn]struct{}),
	}
	pool := &sync.Pool{}
	t.upgrader = websocket.FastHTTPUpgrader{
		HandshakeTimeout: dialTimeout, ReadBufferSize: wsBufferBytes, WriteBufferSize: wsBufferBytes,
		WriteBufferPool: pool, Subprotocols: []string{subprotocol},
	}
	t.dialer = websocket.Dialer{
		HandshakeTimeout: dialTimeout, ReadBufferSize: wsBufferBytes, WriteBufferSize: wsBufferBytes,
		WriteBufferPool: pool, Subprotocols: []string{subprotocol}, NetDialContext: t.dialTCP,
	}
	return t, nil
}

// Self returns this host, with its listen address.
func (t *Transport) Self() port.Member { return t.self }

// OnMessage implements port.Transport.
func (t *Transport) OnMessage(fn func(from port.Member, payload []byte)) { t.onMessage = fn }

// Handle implements port.Transport.
func (t *Transport) Handle(kind string, fn port.RequestHandler) { t.handlers[kind] = handler{fn: fn} }

// HandleWhileConnected is like Handle, but the context of the handler also ends when
// the connection of the requester closes: nobody gets the reply then.
func (t *Transport) HandleWhileConnected(kind string, fn port.RequestHandler) {
	t.handlers[kind] = handler{fn: fn, whileConnected: true}
}

// Start begins accepting connections. Call OnMessage and Handle before it.
func (t *Transport) Start() {
	t.server = &fasthttp.Server{
		Handler: t.handleUpgrade, Name: "pimentorill", Concurrency: 2 * t.maxConns,
		ReadTimeout: dialTimeout, WriteTimeout: dialTimeout, MaxRequestBodySize: 1 << 10,
		ReadBufferSize: 2 * wsBufferBytes, WriteBufferSize: wsBufferBytes,
		NoDefaultServerHeader: true, CloseOnShutdown: true, KeepHijackedConns: true, Logger: discardLogger{},
	}
	t.group.Go(func() {
		if err := t.server.Serve(countingListener{t.listener, &t.stats}); err != nil {
			t.log.Error("peer server failed", "error", err)
		}
	})
	t.group.Go(t.closeIdleLoop)
}

// Close closes the listener and all connections and waits until their goroutines
// and the handlers of requests end. Afterwards Send drops messages and Ask fails.
func (t *Transport) Close() {
	t.closedMu.Lock()
	t.closed = true
	t.closedMu.Unlock()
	// The connections are closed before the handlers end: a peer that got a failure
	// first would send further requests on the connection.
	for _, c := range t.knownConns() {
		c.close()
	}
	t.cancel()
	if t.server != nil {
		_ = t.server.Shutdown()
	} else {
		_ = t.listener.Close()
	}
	t.group.Wait()
}

// tryAddGoroutine adds a goroutine to those that Close waits for; the goroutine must
// call group.Done at its end. It adds none and reports false once the transport is
// closed.
func (t *Transport) tryAddGoroutine() bool {
	t.closedMu.Lock()
	defer t.closedMu.Unlock()
	if t.closed {
		return false
	}
	t.group.Add(1)
	return true
}

// Send implements port.Transport. It connects to the address if necessary.
func (t *Transport) Send(address string, payload []byte) {
	t.outboundTo(address).send(&queuedFrame{frame: frame{Kind: frameMessage, Payload: payload}})
}

// Ask implements port.Transport. It connects to the address if necessary. If the peer
// replies with a failure, the error has the failure's verdict.
func (t *Transport) Ask(ctx context.Context, address, kind string, payload []byte) ([]byte, error) {
	if len(payload) > port.MaxValueBytes {
		return nil, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request to peer too large")
	}
	c, err := t.outboundTo(address).awaitOpen(ctx)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "peer not reached")
	}
	return c.request(ctx, kind, payload)
}

// Flush waits until the frames queued so far on outbound connections are written or
// ctx ends. It does not wait for a connection whose queue is full.
func (t *Transport) Flush(ctx context.Context) {
	t.mu.Lock()
	var conns []*outboundConn
	for _, o := range t.outbound {
		conns = append(conns, o)
	}
	t.mu.Unlock()
	for _, o := range conns {
		o.flush(ctx)
	}
}

// Reset closes the outbound connection to an address, if there is one. The next
// frame opens a new connection.
func (t *Transport) Reset(address string) {
	t.mu.Lock()
	o := t.outbound[address]
	t.mu.Unlock()
	if o == nil {
		return
	}
	if c := o.lastConn(); c != nil {
		c.close()
	}
}

// FramesReceived returns the number of frames that have arrived from an address on
// outbound connections.
func (t *Transport) FramesReceived(address string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.outbound[address]; o != nil {
		return o.framesReceived.Load()
	}
	return 0
}

// Stats returns a snapshot of the transport's counters.
func (t *Transport) Stats() Stats { return t.stats.snapshot() }

// knownConns returns the inbound connections and the last connection of each outbound
// entry, which may be closed.
func (t *Transport) knownConns() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conns []*conn
	for c := range t.inbound {
		conns = append(conns, c)
	}
	for _, o := range t.outbound {
		if c := o.lastConn(); c != nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// closeIdleLoop closes idle connections until the transport is closed.
func (t *Transport) closeIdleLoop() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.closeIdle(t.clock.Now())
		}
	}
}

// closeIdle closes connections that were last used before now minus idleTimeout and
// have no requests in progress. It then removes outbound entries that have no open
// connection and are not being dialed.
func (t *Transport) closeIdle(now time.Time) {
	idleSince := now.Add(-idleTimeout).UnixNano()
	for _, c := range t.knownConns() {
		if c.lastUsed.Load() < idleSince && !c.isBusy() {
			c.close()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, o := range t.outbound {
		if o.isDisconnected() {
			delete(t.outbound, address)
		}
	}
}

// isBusy reports whether requests are in progress on the connection in either
// direction.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingReplies) > 0 || len(c.handlerSlots) > 0
}
