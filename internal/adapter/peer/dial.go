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

// maxPendingFrames is the number of messages that wait for a connection to open.
const maxPendingFrames = 16

var errClosed = errors.New("peer: link closed")

// dialled is the outbound connection to one address, open or being opened.
type outboundConn struct {
	transport *Transport
	address   string

	mu       sync.Mutex
	conn     *conn
	dialDone chan struct{}
	dialErr  error
	pending  []*queuedFrame
}

// dialled returns the entry of an address, making room if there are too many.
func (l *Transport) outboundTo(address string) *outboundConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.outbound[address]; ok {
		return d
	}
	if len(l.outbound) >= l.maxConns {
		l.evictLeastRecentlyUsedLocked()
	}
	d := &outboundConn{transport: l, address: address}
	l.outbound[address] = d
	return d
}

// evictLeastRecentlyUsedLocked drops the connection that was unused for longest.
func (l *Transport) evictLeastRecentlyUsedLocked() {
	var oldest *outboundConn
	var oldestUse int64
	for _, d := range l.outbound {
		c := d.current()
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
	delete(l.outbound, oldest.address)
	oldest.current().close()
}

// current returns the open connection, nil if there is none.
func (d *outboundConn) current() *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conn
}

func (d *outboundConn) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dialDone != nil {
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

// send queues a message on the connection, opening it if need be.
func (d *outboundConn) send(q *queuedFrame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && !d.conn.isClosed() {
		d.conn.enqueue(q)
		return
	}
	if len(d.pending) < maxPendingFrames {
		d.pending = append(d.pending, q)
	}
	d.startDialLocked()
}

// wait returns the open connection, opening it if need be.
func (d *outboundConn) awaitOpen(ctx context.Context) (*conn, error) {
	d.mu.Lock()
	if d.conn != nil && !d.conn.isClosed() {
		c := d.conn
		d.mu.Unlock()
		return c, nil
	}
	opening := d.startDialLocked()
	d.mu.Unlock()
	select {
	case <-opening:
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

// flush waits until the queued messages are written.
func (d *outboundConn) flush(ctx context.Context) {
	d.mu.Lock()
	c, opening := d.conn, d.dialDone
	d.mu.Unlock()
	if opening != nil {
		select {
		case <-opening:
		case <-ctx.Done():
			return
		}
		c = d.current()
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

// startDialLocked starts to connect unless that is under way, and returns what is
// closed when the try has ended.
func (d *outboundConn) startDialLocked() <-chan struct{} {
	if d.dialDone != nil {
		return d.dialDone
	}
	opening := make(chan struct{})
	if !d.transport.addGoroutine() {
		d.dialErr = errClosed
		d.pending = nil
		close(opening)
		return opening
	}
	d.dialDone = opening
	go func() {
		defer d.transport.group.Done()
		d.dial()
	}()
	return opening
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
	close(d.dialDone)
	d.dialDone = nil
}

// connect dials an address and authenticates both sides.
func (l *Transport) connect(address string) (*conn, error) {
	if l.faults != nil && l.faults.Unreachable(address) {
		return nil, errors.New("peer: link cut")
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	l.stats.dials.Add(1)
	ws, resp, err := l.dialer.DialContext(ctx, "ws://"+address+path, nil)
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
	s, err := dialHandshake(ws, l.self, l.sharedKeys[0])
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	c := l.startConn(ws, s)
	l.group.Go(c.readLoop)
	return c, nil
}

// run lifts the handshake's limits and starts to write.
func (l *Transport) startConn(ws *websocket.Conn, s *session) *conn {
	ws.SetReadLimit(MaxFrameBytes + tagBytes)
	_ = ws.SetReadDeadline(time.Time{})
	c := newConn(l, ws, s)
	l.group.Go(c.writeLoop)
	if l.ctx.Err() != nil {
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

// dialTCP connects without TCP keepalive: the hosts probe each other.
func (l *Transport) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{c, &l.stats}, nil
}

// upgrade accepts a connection of another host.
func (l *Transport) handleUpgrade(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := l.upgrader.Upgrade(ctx, l.accept); err != nil {
		l.log.Debug("peer upgrade refused", "remote", ctx.RemoteAddr().String(), "error", err)
	}
}

func (l *Transport) accept(ws *websocket.Conn) {
	if !l.reserveInbound() {
		_ = ws.Close()
		return
	}
	defer l.releaseInbound()
	if err := setHandshakeLimits(ws); err != nil {
		_ = ws.Close()
		return
	}
	s, err := acceptHandshake(ws, l.self, l.sharedKeys)
	if err != nil {
		l.log.Warn("peer refused", "remote", ws.RemoteAddr().String(), "error", err)
		_ = ws.Close()
		return
	}
	c := l.startConn(ws, s)
	l.mu.Lock()
	l.inbound[c] = struct{}{}
	l.mu.Unlock()
	c.readLoop()
	l.mu.Lock()
	delete(l.inbound, c)
	l.mu.Unlock()
}

// reserveInbound counts an accepted connection; it reports false if there
// are too many or the link is closed.
func (l *Transport) reserveInbound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inboundCount >= 2*l.maxConns || !l.addGoroutine() {
		return false
	}
	l.inboundCount++
	return true
}

func (l *Transport) releaseInbound() {
	l.mu.Lock()
	l.inboundCount--
	l.mu.Unlock()
	l.group.Done()
}
