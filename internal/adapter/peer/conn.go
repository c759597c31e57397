package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// maxQueuedFrames is the number of frames that wait for one connection.
	maxQueuedFrames = 128
	// writeTimeout bounds the write of one frame.
	writeTimeout = 5 * time.Second
)

// The states of a queued frame.
const (
	frameQueued int32 = iota
	frameWriting
	frameCancelled
)

// queuedFrame is a frame that waits for its connection.
type queuedFrame struct {
	frame frame
	state atomic.Int32
	// written is closed when the queue has come to a marker that carries no frame.
	flushed chan struct{}
}

// reply is what came back for a request.
type reply struct {
	payload []byte
	err     error
}

// conn is one authenticated connection. All methods are safe for concurrent use.
type conn struct {
	transport    *Transport
	ws           *websocket.Conn
	session      *session
	queue        chan *queuedFrame
	closed       chan struct{}
	closeOnce    sync.Once
	lastUsed     atomic.Int64
	handlerSlots chan struct{}

	mu             sync.Mutex
	nextID         uint64
	pendingReplies map[uint64]chan reply
}

func newConn(l *Transport, ws *websocket.Conn, s *session) *conn {
	c := &conn{
		transport:      l,
		ws:             ws,
		session:        s,
		queue:          make(chan *queuedFrame, maxQueuedFrames),
		closed:         make(chan struct{}),
		handlerSlots:   make(chan struct{}, maxRequestsPerConn),
		pendingReplies: make(map[uint64]chan reply),
	}
	c.touch()
	return c
}

func (c *conn) touch() { c.lastUsed.Store(c.transport.clock.Now().UnixNano()) }

// close ends the connection; requests that wait for replies fail.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.ws.Close()
	})
}

// enqueue queues a frame; it reports false if the connection can't take it.
func (c *conn) enqueue(q *queuedFrame) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- q:
		c.touch()
		return true
	default:
		return false
	}
}

// writeLoop writes queued frames until the connection closes.
func (c *conn) writeLoop() {
	defer c.close()
	for {
		select {
		case <-c.closed:
			return
		case q := <-c.queue:
			if err := c.write(q); err != nil {
				c.transport.log.Debug("peer connection broke", "host", c.session.peer.ID, "error", err)
				return
			}
		}
	}
}

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

// readLoop takes frames until the connection breaks.
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
		c.touch()
		c.receive(f)
	}
}

func (c *conn) receive(f frame) {
	switch f.Kind {
	case frameMessage:
		c.transport.onMessage(c.session.peer, f.Payload)
	case frameRequest:
		c.serveRequest(f)
	case frameReply:
		c.deliverReply(f.ID, reply{payload: f.Payload})
	case frameFailure:
		c.deliverReply(f.ID, reply{err: f.Failure.decode()})
	}
}

func (c *conn) deliverReply(id uint64, r reply) {
	c.mu.Lock()
	ch, ok := c.pendingReplies[id]
	delete(c.pendingReplies, id)
	c.mu.Unlock()
	if ok {
		ch <- r
	}
}

// serve answers a request on a goroutine of its own, within the limit.
func (c *conn) serveRequest(f frame) {
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
		c.runHandler(f, handler)
	})
}

func (c *conn) runHandler(f frame, handler handlerFunc) {
	ctx, cancel := context.WithTimeout(c.transport.ctx, time.Duration(f.TimeoutMs)*time.Millisecond)
	defer cancel()
	payload, err := handler(ctx, c.session.peer, f.Payload)
	if err != nil {
		c.sendFailure(f.ID, verdict.From(err))
		return
	}
	if len(payload) > MaxFrameBytes-1<<10 {
		c.sendFailure(f.ID, verdict.New(verdict.CodeTooLarge, verdict.Ran, "reply too large for a frame"))
		return
	}
	c.enqueue(&queuedFrame{frame: frame{Kind: frameReply, ID: f.ID, Payload: payload}})
}

func (c *conn) sendFailure(id uint64, err *verdict.Error) {
	c.enqueue(&queuedFrame{frame: frame{Kind: frameFailure, ID: id, Failure: encodeFailure(err)}})
}

// ask sends a request on this connection and waits for its reply.
func (c *conn) request(ctx context.Context, kind string, payload []byte) ([]byte, error) {
	ch := make(chan reply, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
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

// abandon gives up a request: it has not run if its write has not begun.
func (q *queuedFrame) abandon(cause error, code verdict.Code) *verdict.Error {
	if q.state.CompareAndSwap(frameQueued, frameCancelled) {
		return verdict.Wrap(cause, code, verdict.NotRun, "request to peer was not sent")
	}
	return verdict.Wrap(cause, code, verdict.MayHaveRun, "no reply from peer")
}

// remainingMs is the time left in ctx, at most maxRequestTimeout.
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

func (f failure) decode() *verdict.Error {
	var v verdict.Verdict
	if err := v.UnmarshalText([]byte(f.Verdict)); err != nil {
		v = verdict.MayHaveRun
	}
	e := verdict.New(verdict.Code(f.Code), v, f.Message)
	return e.WithRetryAfter(time.Duration(f.RetryAfterMs) * time.Millisecond)
}
