package exchange

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestBodyUntilCloseIsCutOnlyPastTheLimits guards against a body without length that is cut
// below the limits, and against one that is cut, by a reset or a limit, and looks complete.
func TestBodyUntilCloseIsCutOnlyPastTheLimits(t *testing.T) {
	const largest = maxResponseBytes
	for _, size := range []int{0, 1, firstChunkBytes, uncountedBytes, defaultHeldBytes - 1, defaultHeldBytes, defaultHeldBytes + 1, largest - 1, largest, largest + 1} {
		for _, status := range []int{200, 404, 500} {
			for _, broken := range []bool{false, true} {
				is := is.New(t)
				r, out := newBodyRun(&catalog.Route{Name: "once", Kind: catalog.AtMostOnce}, 64<<20)
				body := io.Reader(bytes.NewReader(testBody(size)))
				if broken {
					body = io.MultiReader(body, iotest.ErrReader(errors.New("connection reset")))
				}
				err := r.handleResponse(t.Context(), &port.EndpointResponse{Status: status, Signed: true, HasAttemptID: true, Length: -2, Body: body}, nil, time.Time{})
				whole := size <= largest && !broken
				is.Equal(err == nil, whole)
				is.Equal(out.finished, whole)
				if whole {
					is.True(bytes.Equal(out.body.Bytes(), testBody(size)))
				} else {
					is.Equal(verdict.Of(err), verdict.MayHaveRun)
				}
				// What is sent before its end is known is sent in chunks, so that the end is marked.
				is.True(out.length < 0 || out.length == int64(out.body.Len()))
				is.True(out.length < 0 || size <= defaultHeldBytes+chunkBytes)
			}
		}
	}
}

// TestStreamUntilCloseEndsOnlyBetweenEvents guards against a stream without chunks that ends
// inside an event, or is reset, and is finished as complete.
func TestStreamUntilCloseEndsOnlyBetweenEvents(t *testing.T) {
	for _, tc := range []struct {
		body  string
		reset bool
		whole bool
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true},
		{": a\n\n: b\n\n", false, true},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n", false, false},
		{"id: 1\ndata: a\n\nid: 2\n", false, false},
		{"id: 1\ndata: a\n\n\n", false, false},
		{"id: 1\ndata: a\n\n: a", false, false},
		{"id: 1\ndata: a\n", false, false},
		{"", false, false},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, false},
		{": a\n\n", true, false},
	} {
		is := is.New(t)
		r, out := newBodyRun(&catalog.Route{Name: "once", Kind: catalog.Stream}, 64<<20)
		r.exchange, r.cfg.Clock, r.firstEventTimes = &port.Exchange{}, port.SystemClock{}, make(map[string]time.Duration)
		body := io.Reader(bytes.NewReader([]byte(tc.body)))
		if tc.reset {
			body = io.MultiReader(body, iotest.ErrReader(errors.New("connection reset")))
		}
		ctx, failover := r.watch(t.Context(), nil)
		err := r.handleResponse(ctx, &port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -2, Body: iotest.OneByteReader(body)}, failover, time.Time{})
		failover.end()
		is.Equal(err == nil, tc.whole)
		is.Equal(out.finished, tc.whole)
		if tc.whole {
			is.Equal(out.body.String(), tc.body)
		}
	}
}
