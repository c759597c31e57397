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
	// sendQueueFrames is the number of frames that wait for one connection.
	sendQueueFrames = 128
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
	written chan struct{}
}

// reply is what came back for a request.
type reply struct {
	payload []byte
	err     error
}

// conn is one authenticated connection. All methods are safe for concurrent use.
type conn struct {
	link     *Link
	ws       *websocket.Conn
	session  *session
	queue    chan *queuedFrame
	closed   chan struct{}
	once     sync.Once
	lastUsed atomic.Int64
	handling chan struct{}

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan reply
}

func newConn(l *Link, ws *websocket.Conn, s *session) *conn {
	c := &conn{
		link:     l,
		ws:       ws,
		session:  s,
		queue:    make(chan *queuedFrame, sendQueueFrames),
		closed:   make(chan struct{}),
		handling: make(chan struct{}, maxRequestsPerConn),
		waiting:  make(map[uint64]chan reply),
	}
	c.touch()
	return c
}

func (c *conn) touch() { c.lastUsed.Store(c.link.clock.Now().UnixNano()) }

// close ends the connection; requests that wait for replies fail.
func (c *conn) close() {
	c.once.Do(func() {
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
				c.link.log.Debug("peer connection broke", "host", c.session.peer.ID, "error", err)
				return
			}
		}
	}
}

func (c *conn) write(q *queuedFrame) error {
	if q.written != nil {
		close(q.written)
		return nil
	}
	if c.link.faults != nil {
		drop, delay := c.link.faults.Outbound(c.session.peer.Address)
		if drop {
			return nil
		}
		c.pause(delay)
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
	c.link.stats.framesOut.Add(1)
	return nil
}

func (c *conn) pause(d time.Duration) {
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
			c.link.log.Warn("peer frame refused", "host", c.session.peer.ID, "error", err)
			return
		}
		c.link.stats.framesIn.Add(1)
		c.touch()
		c.receive(f)
	}
}

func (c *conn) receive(f frame) {
	switch f.Kind {
	case frameMessage:
		c.link.onMessage(c.session.peer, f.Payload)
	case frameRequest:
		c.serve(f)
	case frameReply:
		c.settle(f.ID, reply{payload: f.Payload})
	case frameFailure:
		c.settle(f.ID, reply{err: f.Failure.decode()})
	}
}

func (c *conn) settle(id uint64, r reply) {
	c.mu.Lock()
	ch, ok := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if ok {
		ch <- r
	}
}

// serve answers a request on a goroutine of its own, within the limit.
func (c *conn) serve(f frame) {
	handler, ok := c.link.handlers[f.Request]
	if !ok {
		c.fail(f.ID, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no handler for "+f.Request))
		return
	}
	select {
	case c.handling <- struct{}{}:
	default:
		c.fail(f.ID, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "too many requests on one connection"))
		return
	}
	c.link.group.Go(func() {
		defer func() { <-c.handling }()
		c.answer(f, handler)
	})
}

func (c *conn) answer(f frame, handler handlerFunc) {
	ctx, cancel := context.WithTimeout(c.link.ctx, time.Duration(f.TimeoutMs)*time.Millisecond)
	defer cancel()
	payload, err := handler(ctx, c.session.peer, f.Payload)
	if err != nil {
		c.fail(f.ID, verdict.From(err))
		return
	}
	if len(payload) > MaxFrameBytes-1<<10 {
		c.fail(f.ID, verdict.New(verdict.CodeTooLarge, verdict.Ran, "reply too large for a frame"))
		return
	}
	c.enqueue(&queuedFrame{frame: frame{Kind: frameReply, ID: f.ID, Payload: payload}})
}

func (c *conn) fail(id uint64, err *verdict.Error) {
	c.enqueue(&queuedFrame{frame: frame{Kind: frameFailure, ID: id, Failure: encodeFailure(err)}})
}

// ask sends a request on this connection and waits for its reply.
func (c *conn) ask(ctx context.Context, kind string, payload []byte) ([]byte, error) {
	ch := make(chan reply, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.waiting[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
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

// remainingMs is the time left in ctx, at most maxAskTimeout.
func remainingMs(ctx context.Context) uint32 {
	left := maxAskTimeout
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
