package exchange

import (
	"io"
	"sync"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxResponseBytes bounds the body of a response that is no stream. One without a length
	// may have no end.
	maxResponseBytes = 8 << 20
	// uncountedBytes is held of each response without counting towards the budget.
	uncountedBytes = 64 << 10
	// chunkBytes is the size of the parts in which a body is held, and firstChunkBytes
	// that of the first one if the length is not known.
	chunkBytes      = 32 << 10
	firstChunkBytes = 4 << 10
	// typicalSizeFactor times the largest response of a route is how much is held of a
	// response without a length, at least minHeldBytes; before any response of the route
	// it is defaultHeldBytes.
	typicalSizeFactor = 16
	minHeldBytes      = 256 << 10
	defaultHeldBytes  = 1 << 20
	// defaultHeldTotal bounds the bodies held for all exchanges together, if Config does
	// not.
	defaultHeldTotal = 32 << 20
)

// bodyBudget bounds the bodies that are held for all exchanges together, and knows the
// largest response of each route. It is safe for concurrent use.
type bodyBudget struct {
	mu      sync.Mutex
	free    int64
	largest map[string]int64
}

func newBodyBudget(total int64) *bodyBudget {
	if total <= 0 {
		total = defaultHeldTotal
	}
	return &bodyBudget{free: total, largest: make(map[string]int64)}
}

// take takes n bytes; it reports false and takes none if fewer are free.
func (b *bodyBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < n {
		return false
	}
	b.free -= n
	return true
}

func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// recordSize records the size of a complete response of a route.
func (b *bodyBudget) recordSize(route string, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.largest[route] = max(b.largest[route], size)
}

// limit returns how much of a response of a route may be held. length is the size of
// its body, -1 if unknown.
func (b *bodyBudget) limit(route string, length int64) int64 {
	if length >= 0 {
		return min(length, maxResponseBytes)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	largest, known := b.largest[route]
	if !known {
		return defaultHeldBytes
	}
	return min(max(minHeldBytes, typicalSizeFactor*largest), maxResponseBytes)
}

// bufferedResponse is an endpoint's response of which the body, or its beginning, is
// held in memory.
type bufferedResponse struct {
	status int
	header []port.HeaderField
	// chunks are the parts of the body in order, size their total size.
	chunks [][]byte
	size   int64
}

// holdBody reads a body into b until its end, its limit, or that of all exchanges
// together. It reports whether the body is complete. The error is that of the connection.
func (r *exchangeRun) holdBody(b *bufferedResponse, body io.Reader, length int64) (complete bool, err error) {
	limit := r.bodies.limit(r.route.Name, length)
	chunk := make([]byte, 0, firstChunkSize(length))
	defer func() {
		if len(chunk) > 0 {
			b.chunks = append(b.chunks, chunk)
		}
	}()
	for {
		if len(chunk) == cap(chunk) {
			// A body of the declared length ends here, which the next read tells.
			full := b.size >= limit && b.size != length
			if full || b.size >= uncountedBytes && !r.takeBytes(chunkBytes) {
				return false, nil
			}
			if len(chunk) > 0 {
				b.chunks = append(b.chunks, chunk)
			}
			chunk = make([]byte, 0, chunkBytes)
		}
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.size += int64(n)
		switch {
		case err == io.EOF:
			r.bodies.recordSize(r.route.Name, b.size)
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// firstChunkSize returns the size of the first part of a body. A known length leaves room
// for the read that returns io.EOF.
func firstChunkSize(length int64) int64 {
	if length < 0 {
		return firstChunkBytes
	}
	return min(length+1, chunkBytes)
}

// takeBytes takes n bytes of the budget until the exchange ends.
func (r *exchangeRun) takeBytes(n int64) bool {
	if !r.bodies.take(n) {
		return false
	}
	r.heldBytes += n
	return true
}

// forwardRest forwards a response whose body is too large to be held: what is held of it
// and the rest as it arrives, up to maxResponseBytes. The caller doesn't take a body that
// breaks off for complete.
func (r *exchangeRun) forwardRest(b *bufferedResponse, body io.Reader, length int64) error {
	if err := r.writeHeader(b.status, b.header, length); err != nil {
		return err
	}
	for _, chunk := range b.chunks {
		if err := r.responder.Write(chunk); err != nil {
			return callerGoneError(err)
		}
	}
	b.chunks = nil
	buffer := make([]byte, chunkBytes)
	for b.size <= maxResponseBytes {
		n, err := body.Read(buffer)
		b.size += int64(n)
		if n > 0 {
			if err := r.responder.Write(buffer[:n]); err != nil {
				return callerGoneError(err)
			}
		}
		switch {
		case err == io.EOF:
			r.bodies.recordSize(r.route.Name, b.size)
			if err := r.responder.Finish(); err != nil {
				return callerGoneError(err)
			}
			return nil
		case err != nil:
			return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer broke off")
		}
	}
	return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is too large")
}
