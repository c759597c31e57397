package peer

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// maxPendingMessages bounds the messages that wait for one connection to open.
const maxPendingMessages = 16

var errClosed = errors.New("peer: transport closed")

// outboundConn is the outbound connection to one address, open or being dialed.
// It is safe for concurrent use.
type outboundConn struct {
	transport *Transport
	address   string

	mu        sync.Mutex
	conn      *conn
	dialEnded chan struct{}
	dialErr   error
	pending   []*queuedFrame
}

// outboundTo returns the entry of an address. If there is none, it adds one and
// first evicts another if maxConns are present.
func (t *Transport) outboundTo(address string) *outboundConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.outbound[address]; ok {
		return d
	}
	if len(t.outbound) >= t.maxConns {
		t.evictLeastRecentlyUsedLocked()
	}
	d := &outboundConn{transport: t, address: address}
	t.outbound[address] = d
	return d
}

// evictLeastRecentlyUsedLocked closes and removes the connection that was used least
// recently, among those without requests in progress. The caller holds t.mu.
func (t *Transport) evictLeastRecentlyUsedLocked() {
	var oldest *outboundConn
	var oldestUse int64
	for _, d := range t.outbound {
		c := d.lastConn()
		if c == nil {
			continue
		}
		if c.isBusy() {
			continue
		}
		if use := c.lastUsed.Load(); oldest == nil || use < oldestUse {
			oldest, oldestUse = d, use
		}
	}
	if oldest == nil {
		return
	}
	delete(t.outbound, oldest.address)
	oldest.lastConn().close()
}

// current returns the connection of the last dial, which may be closed by now, or
// nil if there is none.
func (d *outboundConn) lastConn() *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conn
}

func (d *outboundConn) isDisconnected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dialEnded != nil {
		return false
	}
	return d.conn == nil || d.conn.isClosed()
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
// message if the queue is full.
func (d *outboundConn) send(q *queuedFrame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && !d.conn.isClosed() {
		d.conn.enqueue(q)
		return
	}
	if len(d.pending) < maxPendingMessages {
		d.pending = append(d.pending, q)
	}
	d.startDialLocked()
}

// awaitOpen returns the open connection. It dials if necessary and waits until the
// connection is open, dialling has failed or ctx ends.
func (d *outboundConn) awaitOpen(ctx context.Context) (*conn, error) {
	d.mu.Lock()
	if d.conn != nil && !d.conn.isClosed() {
		c := d.conn
		d.mu.Unlock()
		return c, nil
	}
	dialDone := d.startDialLocked()
	d.mu.Unlock()
	select {
	case <-dialDone:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "peer: connect")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil || d.conn.isClosed() {
		return nil, errors.Wrap(cmp.Or(d.dialErr, errClosed), "peer: connect")
	}
	return d.conn, nil
}

// flush waits until the messages queued so far are written, the connection closes
// or ctx ends.
func (d *outboundConn) flush(ctx context.Context) {
	d.mu.Lock()
	c, dialDone := d.conn, d.dialEnded
	d.mu.Unlock()
	if dialDone != nil {
		select {
		case <-dialDone:
		case <-ctx.Done():
			return
		}
		c = d.lastConn()
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
func (d *outboundConn) startDialLocked() <-chan struct{} {
	if d.dialEnded != nil {
		return d.dialEnded
	}
	dialDone := make(chan struct{})
	if !d.transport.tryAddGoroutine() {
		d.dialErr = errClosed
		d.pending = nil
		close(dialDone)
		return dialDone
	}
	d.dialEnded = dialDone
	go func() {
		defer d.transport.group.Done()
		d.dial()
	}()
	return dialDone
}

func (d *outboundConn) dial() {
	c, err := d.transport.connect(d.address)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn, d.dialErr = c, err
	if c != nil {
		for _, q := range d.pending {
			c.enqueue(q)
		}
	}
	d.pending = nil
	close(d.dialEnded)
	d.dialEnded = nil
}

// connect dials an address, performs the handshake and starts the connection.
func (t *Transport) connect(address string) (*conn, error) {
	if t.faults != nil && t.faults.Unreachable(address) {
		return nil, errors.New("peer: address unreachable by fault injection")
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	t.stats.dials.Add(1)
	ws, resp, err := t.dialer.DialContext(ctx, "ws://"+address+upgradePath, nil)
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
	c := t.startConn(ws, s)
	t.group.Go(c.readLoop)
	return c, nil
}

// startConn replaces the limits of the handshake by those of frames and starts the
// connection's write loop. The caller runs or starts the read loop.
func (t *Transport) startConn(ws *websocket.Conn, s *session) *conn {
	ws.SetReadLimit(MaxFrameBytes + tagBytes)
	_ = ws.SetReadDeadline(time.Time{})
	c := newConn(t, ws, s)
	t.group.Go(c.writeLoop)
	if t.ctx.Err() != nil {
		c.close()
	}
	return c
}

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

// dialTCP connects without TCP keepalive because the hosts probe each other.
func (t *Transport) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{c, &t.stats}, nil
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

// tryReserveInbound counts an inbound connection. It reports false if 2*maxConns are
// open already or the transport is closed.
func (t *Transport) tryReserveInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inboundCount >= 2*t.maxConns || !t.tryAddGoroutine() {
		return false
	}
	t.inboundCount++
	return true
}

func (t *Transport) releaseInbound() {
	t.mu.Lock()
	t.inboundCount--
	t.mu.Unlock()
	t.group.Done()
}
