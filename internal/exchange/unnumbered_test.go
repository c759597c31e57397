package exchange

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// silentReader sends nothing until its context ends.
type silentReader struct{ ctx context.Context }

func (r silentReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// TestStreamGoesOnOnlyAfterAnEventWithAnID guards against an event without an id that the
// caller gets twice, because the stream was resumed after an event before it.
func TestStreamGoesOnOnlyAfterAnEventWithAnID(t *testing.T) {
	const numbered, unnumbered, comment, rest = "id: 1\ndata: a\n\n", "data: b\n\n", ": still there\n\n", "id: 2\ndata: c\n\n"
	for _, tc := range []struct {
		first  string
		stalls bool
		goesOn bool
	}{
		{numbered, false, true},
		{numbered, true, true},
		{unnumbered + numbered, false, true},
		{numbered + comment, false, true},
		{comment, false, true},
		{unnumbered, false, false},
		{unnumbered, true, false},
		{numbered + unnumbered, false, false},
		{numbered + unnumbered, true, false},
		{numbered + unnumbered + comment, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newScriptedHost(3, ample, rand.NewPCG(1, 1), func(r *catalog.Route) { r.Kind, r.Resumable = catalog.Stream, true })
			h.forward = func(ctx context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
				body := io.Reader(strings.NewReader(rest))
				if n == 1 {
					broken := io.Reader(strings.NewReader("id"))
					if tc.stalls {
						broken = silentReader{ctx}
					}
					body = io.MultiReader(strings.NewReader(tc.first), broken)
				}
				return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: body})
			}
			c := &soakCaller{}
			h.exchange(c)
			h.monitor.Close()
			if is.Equal(c.finished, tc.goesOn); tc.goesOn {
				is.Equal(c.body.String(), tc.first+rest)
				is.Equal(h.calls, 2)
			} else {
				is.Equal(c.body.String(), tc.first)
				is.Equal(h.calls, 1)
			}
		})
	}
}
