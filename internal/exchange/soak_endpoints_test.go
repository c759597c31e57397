package exchange

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// awaitEndpoint waits for d and then until the endpoint is not silent. It returns an
// error if the endpoint is gone by then or ctx ends first.
func (s *soak) awaitEndpoint(ctx context.Context, id string, d time.Duration) error {
	for {
		port.Sleep(ctx, d)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.mu.Lock()
		e := s.endpoints[id]
		silence, gone := time.Until(e.silentUntil), e.gone
		s.mu.Unlock()
		if gone {
			return io.ErrUnexpectedEOF
		}
		if silence <= 0 {
			return nil
		}
		d = min(silence, 50*time.Millisecond) // an endpoint may end while it is silent
	}
}

// Forward implements port.EndpointClient.
func (s *soak) Forward(ctx context.Context, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
	s.mu.Lock()
	gone := s.endpoints[r.Endpoint.ID].gone
	transit, refuses := s.between(time.Millisecond, 5*time.Millisecond), s.rng.IntN(40) == 0
	s.mu.Unlock()
	if gone {
		return verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "endpoint not reached")
	}
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	body := &soakBody{soak: s, ctx: ctx, endpoint: r.Endpoint.ID, request: r.Exchange.ID, next: 1}
	if err := body.await(transit); err != nil {
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint broke off")
	}
	if refuses {
		return read(&port.EndpointResponse{Status: 503, NotRun: true, HasAttemptID: true, Body: strings.NewReader("")})
	}
	response := &port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: body}
	if !strings.HasPrefix(r.Exchange.Path, "/stream/") && !strings.HasPrefix(r.Exchange.Path, "/once/") {
		if err := body.await(30 * time.Millisecond); err != nil {
			return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint broke off")
		}
		response.Body = strings.NewReader("whole")
		return read(response)
	}
	last, _ := strconv.Atoi(r.ResumeFrom)
	body.next = last + 1
	return read(response)
}

// soakBody is the body of a stream.
type soakBody struct {
	*soak
	ctx               context.Context
	endpoint, request string
	next              int
}

// await waits as awaitEndpoint does and records that the endpoint broke off.
func (b *soakBody) await(d time.Duration) error {
	err := b.awaitEndpoint(b.ctx, b.endpoint, d)
	if err == io.ErrUnexpectedEOF {
		b.mu.Lock()
		b.brokenOff[b.request] = true
		b.mu.Unlock()
	}
	return err
}

// Read implements io.Reader.
func (b *soakBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	pause := b.between(20*time.Millisecond, 300*time.Millisecond)
	b.mu.Unlock()
	if err := b.await(pause); err != nil {
		return 0, err
	}
	if b.next > soakEvents {
		return 0, io.EOF
	}
	n := copy(p, fmt.Sprintf("id: %d\ndata: token\n\n", b.next))
	b.next++
	return n, nil
}

// Probe implements port.EndpointClient.
func (s *soak) Connect(ctx context.Context, e *catalog.Endpoint) error {
	_, err := s.Probe(ctx, e, true)
	return err
}

func (s *soak) Probe(ctx context.Context, e *catalog.Endpoint, _ bool) (port.EndpointReport, error) {
	return port.EndpointReport{FreeBytes: -1}, s.awaitEndpoint(ctx, e.ID, 2*time.Millisecond)
}

// RunPieces implements port.EndpointClient.
func (s *soak) RunPieces(context.Context, *catalog.Endpoint, []port.Piece) ([]port.PieceResult, error) {
	panic("no stages")
}

// FreeResults implements port.EndpointClient.
func (s *soak) FreeResults(context.Context, *catalog.Endpoint, []string) error { return nil }

// ObserveNotices implements port.EndpointClient.
func (s *soak) ObserveNotices(func(*catalog.Endpoint, port.EndpointNotice)) {}

// ObserveAnswers implements port.EndpointClient.
func (s *soak) ObserveAnswers(func(*catalog.Endpoint, port.EndpointAnswer)) {}
