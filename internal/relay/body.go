package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// cancelWait bounds the wait for a carrier's response to a cancel. A carrier that was cut
// off just before finds out soon after.
const cancelWait = 300 * time.Millisecond

// carriedBody is the body of a response that a carrier receives.
type carriedBody struct {
	ctx    context.Context
	client *Client
	host   string
	id     string
	// pending is what has arrived and not been read, and offset how much has arrived.
	pending []byte
	offset  int64
	// hasHead is set once the header has arrived.
	hasHead bool
	ended   bool
	err     error
	once    sync.Once
}

// take adds what has arrived.
func (b *carriedBody) take(p progress) {
	b.hasHead = b.hasHead || p.Head != nil
	b.pending = append(b.pending, p.Body...)
	b.offset += int64(len(p.Body))
	if p.End {
		b.ended, b.err = true, io.EOF
		if p.Failure != nil {
			b.err = p.Failure.decode(b.host)
		}
	}
}

// fetch waits for progress. After an error the call may have run.
func (b *carriedBody) fetch() (progress, error) {
	var p progress
	err := b.client.ask(b.ctx, b.host, kindRead, readRequest{b.id, b.offset, b.hasHead}, &p)
	var notCarried *notCarriedError
	switch {
	case err == nil:
		return p, nil
	case errors.As(err, &notCarried):
		err = verdict.Wrap(notCarried.error, verdict.CodeEndpointFailed, verdict.MayHaveRun, "the host that carries the call does not respond")
	default:
		err = verdict.From(err).WithVerdict(verdict.MayHaveRun)
	}
	b.cancel()
	return p, err
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (b *carriedBody) Read(buffer []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		p, err := b.fetch()
		if err != nil {
			b.err = err
			continue
		}
		b.take(p)
	}
	n := copy(buffer, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// close has the carrier cancel the call unless the body has been received to its end.
func (b *carriedBody) close() {
	if !b.ended {
		b.cancel()
	}
}

// cancel has the carrier cancel the call. A call that this host has given up goes on elsewhere:
// then cancel waits for the carrier's response, up to cancelWait.
func (b *carriedBody) cancel() {
	b.once.Do(func() {
		cancelled := b.client.carriers.notify(b.host, kindCancel, []byte(b.id))
		if b.ctx.Err() == nil || context.Cause(b.ctx) == b.ctx.Err() {
			return
		}
		timer := time.NewTimer(cancelWait)
		defer timer.Stop()
		select {
		case <-cancelled:
		case <-timer.C:
		}
	})
}
