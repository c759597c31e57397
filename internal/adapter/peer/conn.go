package peer

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// maxQueuedFrames bounds the frames queued on one connection. Frames that do not
	// fit are dropped.
	maxQueuedFrames = 128
	// writeTimeout bounds the write of one frame.
	writeTimeout = 5 * time.Second
)

// States of a queued frame. frameWriting is set before the write and stays after it.
// A frame in frameCancelled is never written.
const (
	frameQueued int32 = iota
	frameWriting
	frameCancelled
)

// queuedFrame is a frame in the send queue of a connection, or a flush marker.
type queuedFrame struct {
	frame frame
	// state is frameQueued, frameWriting or frameCancelled.
	state atomic.Int32
	// flushed is set on a flush marker, which carries no frame. It is closed once
	// all frames queued before the marker are written.
	flushed chan struct{}
}

// reply is the outcome of a request: its payload, or an error.
type reply struct {
	payload []byte
	err     error
}

// conn is one authenticated connection, inbound or outbound. A host sends requests
// only on its outbound connections. readLoop and writeLoop run in one goroutine each and call receive
// and write; close, enqueue, request, isClosed and isBusy are safe for concurrent use.
type conn struct {
	transport *Transport
	ws        *websocket.Conn
	session   *session
	queue     chan *queuedFrame
	// closed is closed by close.
	closed    chan struct{}
	closeOnce sync.Once
	// ctx is cancelled by close, and when the transport is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// lastUsed is when a frame was last queued or received, in Unix nanoseconds.
	lastUsed atomic.Int64
	// received counts the frames received; nil for an inbound connection.
	received *atomic.Int64
	// handlerSlots holds one element per request of the peer that is being handled.
	handlerSlots chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	lastID uint64
	// pendingReplies maps the ID of each request sent to the channel that gets its
	// reply. The channels have a buffer of one.
	pendingReplies map[uint64]chan reply
}

// newConn returns a connection whose loops are not started.
func newConn(t *Transport, ws *websocket.Conn, s *session) *conn {
	c := &conn{
		transport:      t,
		ws:             ws,
		session:        s,
		queue:          make(chan *queuedFrame, maxQueuedFrames),
		closed:         make(chan struct{}),
		handlerSlots:   make(chan struct{}, maxRequestsPerConn),
		pendingReplies: make(map[uint64]chan reply),
	}
	c.ctx, c.cancel = context.WithCancel(t.ctx)
	c.markUsed()
	return c
}

// markUsed sets the time at which the connection was last used to now.
func (c *conn) markUsed() { c.lastUsed.Store(c.transport.clock.Now().UnixNano()) }

// close closes the connection. Requests that wait for replies fail.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.cancel()
		_ = c.ws.Close()
	})
}

// enqueue queues a frame without blocking. It reports false if the connection is
// closed or its queue is full.
func (c *conn) enqueue(q *queuedFrame) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- q:
		c.markUsed()
		return true
	default:
		return false
	}
}

// writeLoop writes queued frames until the connection closes or a write fails, then
// closes it.
func (c *conn) writeLoop() {
	defer c.close()
	for {
		select {
		case <-c.closed:
			return
		case q := <-c.queue:
			if err := c.write(q); err != nil {
				c.transport.log.Debug("peer connection failed", "host", c.session.peer.ID, "error", err)
				return
			}
		}
	}
}

// write writes one frame unless it is cancelled or dropped by fault injection. For a
// flush marker it reports that the frames before it are written.
func (c *conn) write(q *queuedFrame) error {
	if q.flushed != nil {
		close(q.flushed)
		return nil
	}
	if c.transport.faults != nil {
		drop, delay := c.transport.faults.Outbound(c.session.peer.Address)
		if drop {
			return nil
		}
		c.sleep(delay)
	}
	if !q.state.CompareAndSwap(frameQueued, frameWriting) {
		return nil
	}
	sealed, err := c.session.out.seal(q.frame)
	if err != nil {
		return err
	}
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "peer: set write deadline")
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, sealed); err != nil {
		return errors.Wrap(err, "peer: write frame")
	}
	c.transport.stats.framesOut.Add(1)
	return nil
}

// sleep waits until d has passed or the connection closes.
func (c *conn) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

// readLoop reads and handles frames until the connection closes or a frame is
// invalid, then closes it.
func (c *conn) readLoop() {
	defer c.close()
	for {
		_, sealed, err := c.ws.ReadMessage()
		if err != nil {
			return
		}
		f, err := c.session.in.open(sealed)
		if err != nil {
			c.transport.log.Warn("peer frame refused", "host", c.session.peer.ID, "error", err)
			return
		}
		c.transport.stats.framesIn.Add(1)
		c.markUsed()
		if c.received != nil {
			c.received.Add(1)
		}
		c.receive(f)
	}
}

// receive handles one frame. It runs on the read loop, so the handler of messages
// must not block.
func (c *conn) receive(f frame) {
	switch f.Kind {
	case frameMessage:
		c.transport.onMessage(c.session.peer, f.Payload)
	case frameRequest:
		c.handleRequest(f)
	case frameReply:
		c.deliverReply(f.ID, reply{payload: f.Payload})
	case frameFailure:
		c.deliverReply(f.ID, reply{err: f.Failure.decode()})
	}
}

// deliverReply passes a reply to the request that waits for it. It drops the reply if
// the request was abandoned.
func (c *conn) deliverReply(id uint64, r reply) {
	c.mu.Lock()
	ch, ok := c.pendingReplies[id]
	delete(c.pendingReplies, id)
	c.mu.Unlock()
	if ok {
		ch <- r
	}
}

// handleRequest handles a request in a new goroutine. It rejects the request if no
// handler is registered for its kind or maxRequestsPerConn requests of this
// connection are being handled.
func (c *conn) handleRequest(f frame) {
	handler, ok := c.transport.handlers[f.Request]
	if !ok {
		c.sendFailure(f.ID, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no handler for "+f.Request))
		return
	}
	select {
	case c.handlerSlots <- struct{}{}:
	default:
		c.sendFailure(f.ID, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "too many requests on one connection"))
		return
	}
	c.transport.group.Go(func() {
		defer func() { <-c.handlerSlots }()
		c.handleAndReply(f, handler)
	})
}

// handleAndReply calls the handler and queues its reply or failure. The context of
// the handler ends at the requester's timeout, when the transport is closed and, for
// HandleWhileConnected, with the connection.
func (c *conn) handleAndReply(f frame, h handler) {
	parent := c.transport.ctx
	if h.whileConnected {
		parent = c.ctx
	}
	ctx, cancel := context.WithTimeout(parent, time.Duration(f.TimeoutMs)*time.Millisecond)
	defer cancel()
	payload, err := c.callHandler(ctx, f, h)
	if err != nil {
		c.sendFailure(f.ID, verdict.From(err))
		return
	}
	// 1 KiB of the frame is left for the other fields.
	if len(payload) > MaxFrameBytes-1<<10 {
		c.sendFailure(f.ID, verdict.New(verdict.CodeTooLarge, verdict.Ran, "reply too large for a frame"))
		return
	}
	c.enqueue(&queuedFrame{frame: frame{Kind: frameReply, ID: f.ID, Payload: payload}})
}

// callHandler calls the handler. A panic fails this request alone, with MayHaveRun.
func (c *conn) callHandler(ctx context.Context, f frame, h handler) (payload []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			c.transport.log.Error("handler of peer requests panicked", "kind", f.Request, "host", c.session.peer.ID, "panic", p, "stack", string(debug.Stack()))
			err = verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "handler failed")
		}
	}()
	return h.fn(ctx, c.session.peer, f.Payload)
}

func (c *conn) sendFailure(id uint64, err *verdict.Error) {
	c.enqueue(&queuedFrame{frame: frame{Kind: frameFailure, ID: id, Failure: encodeFailure(err)}})
}

// request sends a request on this connection and waits for its reply. The error is
// a *verdict.Error: NotRun if the request was not sent, the verdict of the peer if
// it replied with a failure, MayHaveRun otherwise.
func (c *conn) request(ctx context.Context, kind string, payload []byte) ([]byte, error) {
	ch := make(chan reply, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pendingReplies[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingReplies, id)
		c.mu.Unlock()
	}()
	q := &queuedFrame{frame: frame{Kind: frameRequest, ID: id, Request: kind, TimeoutMs: remainingMs(ctx), Payload: payload}}
	if !c.enqueue(q) {
		return nil, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "connection to peer closed or full")
	}
	select {
	case r := <-ch:
		return r.payload, r.err
	case <-ctx.Done():
		return nil, q.abandon(ctx.Err(), verdict.CodeDeadlineExceeded)
	case <-c.closed:
		return nil, q.abandon(errors.New("peer: connection closed"), verdict.CodeNoCapacity)
	}
}

// abandon cancels a request and returns its error. The verdict is NotRun if the
// frame's write has not started, else MayHaveRun.
func (q *queuedFrame) abandon(cause error, code verdict.Code) *verdict.Error {
	if q.state.CompareAndSwap(frameQueued, frameCancelled) {
		return verdict.Wrap(cause, code, verdict.NotRun, "request to peer was not sent")
	}
	return verdict.Wrap(cause, code, verdict.MayHaveRun, "no reply from peer")
}

// remainingMs returns the milliseconds until the deadline of ctx, at least 1 and at
// most maxRequestTimeout.
func remainingMs(ctx context.Context) uint32 {
	left := maxRequestTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	return uint32(max(left.Milliseconds(), 1))
}

func encodeFailure(err *verdict.Error) failure {
	return failure{Code: string(err.Code), Verdict: err.Verdict.String(), Message: err.Message,
		RetryAfterMs: err.RetryAfter.Milliseconds()}
}

// decode returns the error of a failure. An unknown verdict becomes MayHaveRun.
func (f failure) decode() *verdict.Error {
	var v verdict.Verdict
	if err := v.UnmarshalText([]byte(f.Verdict)); err != nil {
		v = verdict.MayHaveRun
	}
	e := verdict.New(verdict.Code(f.Code), v, f.Message)
	return e.WithRetryAfter(time.Duration(f.RetryAfterMs) * time.Millisecond)
}
