package peer

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// maxPendingMessages bounds the messages that wait for one connection to open. Messages
// beyond it are dropped.
const maxPendingMessages = 16

var errClosed = errors.New("peer: transport closed")

// outboundConn manages the outbound connection to one address, which may be open,
// closed or being dialed. It is safe for concurrent use.
type outboundConn struct {
	transport *Transport
	address   string
	// framesReceived counts the frames received on all connections.
	framesReceived atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// conn is the connection of the last dial, nil if the dial failed.
	conn *conn
	// dialEnded is closed when the dial in progress ends, and nil if there is none.
	dialEnded chan struct{}
	// dialErr is the error of the last dial, nil if it succeeded.
	dialErr error
	// pending holds the messages to send once the connection is open.
	pending []*queuedFrame
}

// outboundTo returns the entry of an address. If there is none, it adds one and
// first evicts another if maxConns are present. If none can be evicted, maxConns is
// exceeded.
func (t *Transport) outboundTo(address string) *outboundConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.outbound[address]; ok {
		return o
	}
	if len(t.outbound) >= t.maxConns {
		t.evictLeastRecentlyUsedLocked()
	}
	o := &outboundConn{transport: t, address: address}
	t.outbound[address] = o
	return o
}

// evictLeastRecentlyUsedLocked closes and removes the connection that was used least
// recently, among those without requests in progress. The caller holds t.mu.
func (t *Transport) evictLeastRecentlyUsedLocked() {
	var oldest *outboundConn
	var oldestUse int64
	for _, o := range t.outbound {
		c := o.lastConn()
		if c == nil {
			continue
		}
		if c.isBusy() {
			continue
		}
		if use := c.lastUsed.Load(); oldest == nil || use < oldestUse {
			oldest, oldestUse = o, use
		}
	}
	if oldest == nil {
		return
	}
	delete(t.outbound, oldest.address)
	oldest.lastConn().close()
}

// lastConn returns the connection of the last dial, which may be closed by now, or
// nil if there is none.
func (o *outboundConn) lastConn() *conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn
}

// isDisconnected reports whether there is no open connection and no dial in progress.
func (o *outboundConn) isDisconnected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dialEnded != nil {
		return false
	}
	return o.conn == nil || o.conn.isClosed()
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// send queues a message and dials if the connection is not open. It drops the
// message if the queue is full, if dialling fails or if the transport is closed.
func (o *outboundConn) send(q *queuedFrame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil && !o.conn.isClosed() {
		o.conn.enqueue(q)
		return
	}
	if len(o.pending) < maxPendingMessages {
		o.pending = append(o.pending, q)
	}
	o.startDialLocked()
}

// awaitOpen returns the open connection. It dials if necessary and waits until the
// connection is open, dialling has failed or ctx ends. The error wraps errClosed, the
// error of the dial or that of ctx.
func (o *outboundConn) awaitOpen(ctx context.Context) (*conn, error) {
	o.mu.Lock()
	if o.conn != nil && !o.conn.isClosed() {
		c := o.conn
		o.mu.Unlock()
		return c, nil
	}
	dialEnded := o.startDialLocked()
	o.mu.Unlock()
	select {
	case <-dialEnded:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "peer: connect")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn == nil || o.conn.isClosed() {
		return nil, errors.Wrap(cmp.Or(o.dialErr, errClosed), "peer: connect")
	}
	return o.conn, nil
}

// flush waits until the frames queued so far are written, the connection closes or
// ctx ends. It returns at once if the queue is full.
func (o *outboundConn) flush(ctx context.Context) {
	o.mu.Lock()
	c, dialEnded := o.conn, o.dialEnded
	o.mu.Unlock()
	if dialEnded != nil {
		select {
		case <-dialEnded:
		case <-ctx.Done():
			return
		}
		c = o.lastConn()
	}
	if c == nil {
		return
	}
	marker := &queuedFrame{flushed: make(chan struct{})}
	marker.state.Store(frameCancelled)
	if !c.enqueue(marker) {
		return
	}
	select {
	case <-marker.flushed:
	case <-c.closed:
	case <-ctx.Done():
	}
}

// startDialLocked starts to dial unless a dial is in progress. It returns a channel
// that is closed when the dial ends. The caller holds d.mu.
func (o *outboundConn) startDialLocked() <-chan struct{} {
	if o.dialEnded != nil {
		return o.dialEnded
	}
	dialEnded := make(chan struct{})
	if !o.transport.tryAddGoroutine() {
		o.dialErr = errClosed
		o.pending = nil
		close(dialEnded)
		return dialEnded
	}
	o.dialEnded = dialEnded
	go func() {
		defer o.transport.group.Done()
		o.dial()
	}()
	return dialEnded
}

// dial connects and queues the pending messages, or drops them if connecting fails.
func (o *outboundConn) dial() {
	c, err := o.transport.connect(o)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn, o.dialErr = c, err
	if c != nil {
		for _, q := range o.pending {
			c.enqueue(q)
		}
	}
	o.pending = nil
	close(o.dialEnded)
	o.dialEnded = nil
}

// connect dials the entry's address, performs the handshake and starts the
// connection's loops.
func (t *Transport) connect(o *outboundConn) (*conn, error) {
	if t.faults != nil && t.faults.Unreachable(o.address) {
		return nil, errors.New("peer: address unreachable by fault injection")
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	t.stats.dials.Add(1)
	ws, resp, err := t.dialer.DialContext(ctx, "ws://"+o.address+upgradePath, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "peer: dial")
	}
	if err := setHandshakeLimits(ws); err != nil {
		_ = ws.Close()
		return nil, err
	}
	s, err := dialHandshake(ws, t.self, t.sharedKeys[0])
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	if limited, ok := ws.NetConn().(*handshakeConn); ok {
		limited.endHandshake()
	}
	c := t.startConn(ws, s)
	c.received = &o.framesReceived
	t.group.Go(c.readLoop)
	return c, nil
}

// startConn replaces the limits of the handshake by those of frames and starts the
// connection's write loop. The caller runs or starts the read loop. The connection is
// closed with the transport, at once if that is closed already.
func (t *Transport) startConn(ws *websocket.Conn, s *session) *conn {
	ws.SetReadLimit(MaxFrameBytes + tagBytes)
	_ = ws.SetReadDeadline(time.Time{})
	c := newConn(t, ws, s)
	t.group.Go(c.writeLoop)
	context.AfterFunc(c.ctx, c.close)
	return c
}

// setHandshakeLimits bounds the size of messages and the duration of the handshake.
func setHandshakeLimits(ws *websocket.Conn) error {
	ws.SetReadLimit(maxHelloBytes)
	deadline := time.Now().Add(dialTimeout)
	if err := ws.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "peer: set deadline")
	}
	if err := ws.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "peer: set deadline")
	}
	return nil
}

// dialTCP connects, counts the bytes of the connection and bounds those of the handshake. It disables TCP keepalive
// because the hosts probe each other.
func (t *Transport) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newHandshakeConn(countingConn{c, &t.stats}), nil
}

// handleUpgrade upgrades an HTTP request of another host to a WebSocket.
func (t *Transport) handleUpgrade(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != upgradePath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := t.upgrader.Upgrade(ctx, t.accept); err != nil {
		t.log.Debug("peer upgrade refused", "remote", ctx.RemoteAddr().String(), "error", err)
	}
}

// accept performs the handshake on an inbound connection and serves it until it
// closes.
func (t *Transport) accept(ws *websocket.Conn) {
	if !t.tryReserveInbound() {
		_ = ws.Close()
		return
	}
	defer t.releaseInbound()
	if err := setHandshakeLimits(ws); err != nil {
		_ = ws.Close()
		return
	}
	s, err := acceptHandshake(ws, t.self, t.sharedKeys)
	if err != nil {
		t.log.Warn("peer refused", "remote", ws.RemoteAddr().String(), "error", err)
		_ = ws.Close()
		return
	}
	c := t.startConn(ws, s)
	t.mu.Lock()
	t.inbound[c] = struct{}{}
	t.mu.Unlock()
	c.readLoop()
	t.mu.Lock()
	delete(t.inbound, c)
	t.mu.Unlock()
}

// tryReserveInbound counts an inbound connection and the goroutine that serves it. It
// counts none and reports false if 2*maxConns are counted already or the transport is
// closed.
func (t *Transport) tryReserveInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inboundCount >= 2*t.maxConns || !t.tryAddGoroutine() {
		return false
	}
	t.inboundCount++
	return true
}

// releaseInbound undoes tryReserveInbound.
func (t *Transport) releaseInbound() {
	t.mu.Lock()
	t.inboundCount--
	t.mu.Unlock()
	t.group.Done()
}
