package exchange

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// recorder is a Responder that records the response.
type recorder struct {
	body     bytes.Buffer
	length   int64
	finished bool
}

func (r *recorder) WriteHeader(_ int, _ []port.HeaderField, length int64) error {
	r.length = length
	return nil
}
func (r *recorder) Write(p []byte) error { r.body.Write(p); return nil }
func (r *recorder) Finish() error        { r.finished = true; return nil }
func (r *recorder) Abort()               {}
func (r *recorder) WriteError(error)     {}

// newBodyRun returns the run of an exchange of a route, with a budget for bodies.
func newBodyRun(route *catalog.Route, budget int64) (*exchangeRun, *recorder) {
	out := &recorder{}
	return &exchangeRun{Server: &Server{cfg: Config{Clock: port.SystemClock{}}, bodies: newBodyBudget(budget)}, route: route, responder: out}, out
}

func testBody(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	return body
}

// TestBodiesOfAllSizesAreForwardedWhole guards against bytes lost between what is held of a
// body and what is forwarded as it arrives, with and without a declared length.
func TestBodiesOfAllSizesAreForwardedWhole(t *testing.T) {
	is := is.New(t)
	once := &catalog.Route{Name: "once", Kind: catalog.AtMostOnce}
	for _, size := range []int{0, 1, firstChunkBytes, firstChunkBytes + 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, uncountedBytes + 5, 3 << 20, 5<<20 + 3} {
		for _, budget := range []int64{1, 1 << 20, 64 << 20} {
			for _, declared := range []bool{true, false} {
				r, out := newBodyRun(once, budget)
				body, length := testBody(size), int64(-1)
				if declared {
					length = int64(size)
				}
				err := r.handleResponse(t.Context(), &port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: length, Body: iotest.DataErrReader(bytes.NewReader(body))}, nil, time.Time{})
				is.NoErr(err)
				is.True(bytes.Equal(out.body.Bytes(), body))
				is.True(out.finished)
				r.bodies.release(r.heldBytes)
				is.Equal(r.bodies.free, budget) // nothing stays taken
			}
		}
	}
}

// TestBodyThatIsTooLargeIsNotHeld guards against responses that take more memory than the
// host has: a repeatable request goes to another endpoint, and what a route's responses weigh
// bounds those without a length.
func TestBodyThatIsTooLargeIsNotHeld(t *testing.T) {
	is := is.New(t)
	read := &catalog.Route{Name: "read", Kind: catalog.Idempotent, MaxAttempts: 2}
	handle := func(r *exchangeRun, length int64, body io.Reader) error {
		return r.handleResponse(t.Context(), &port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: length, Body: body}, nil, time.Time{})
	}
	endless := func() *countingReader { return &countingReader{} }
	r, out := newBodyRun(read, 64<<20)
	is.NoErr(handle(r, -1, bytes.NewReader(testBody(800))))
	body := endless()
	err := handle(r, -1, body)
	is.Equal(verdict.From(err).Code, verdict.CodeEndpointFailed)
	is.True(body.read <= minHeldBytes+chunkBytes)
	is.Equal(out.body.Len(), 800) // nothing of the second body

	// The last attempt forwards it, but not without end.
	r, out = newBodyRun(read, 64<<20)
	r.executedAttempts = 1
	body = endless()
	is.True(handle(r, -1, body) != nil)
	is.True(body.read <= maxResponseBytes+chunkBytes)
	is.True(!out.finished)

	// A declared length is bounded as well.
	r, out = newBodyRun(read, 64<<20)
	r.executedAttempts = 1
	is.True(handle(r, maxResponseBytes+1, endless()) != nil)
	is.Equal(out.body.Len(), 0)
}

// countingReader is a body without end.
type countingReader struct{ read int64 }

func (c *countingReader) Read(p []byte) (int, error) {
	c.read += int64(len(p))
	return len(p), nil
}

// TestLargeBodyWithoutALengthIsForwardedWhole guards against responses that are cut, each time,
// because the other responses of their route are small.
func TestLargeBodyWithoutALengthIsForwardedWhole(t *testing.T) {
	for _, kind := range []catalog.RouteKind{catalog.AtMostOnce, catalog.Idempotent} {
		for _, size := range []int{2_500_000, maxResponseBytes} {
			is := is.New(t)
			r, _ := newBodyRun(&catalog.Route{Name: "route", Kind: kind, MaxAttempts: 2}, 64<<20)
			out := &recorder{}
			handle := func(body []byte) error {
				out = &recorder{}
				r.responder, r.headerWritten = out, false
				return r.handleResponse(t.Context(), &port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -2, Body: bytes.NewReader(body)}, nil, time.Time{})
			}
			is.NoErr(handle(testBody(800)))
			if kind == catalog.Idempotent {
				r.executedAttempts = 1 // the last attempt
			}
			is.NoErr(handle(testBody(size)))
			is.True(out.finished)
			is.True(bytes.Equal(out.body.Bytes(), testBody(size)))
		}
	}
}
