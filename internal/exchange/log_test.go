package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestLinesSayWhichAnswerWasBelieved guards against lines of refused attempts that don't
// distinguish a refusal of the attempt from one that may belong to another request.
func TestLinesSayWhichAnswerWasBelieved(t *testing.T) {
	is := is.New(t)
	h := newScriptedHost(soakEndpoints, ample, rand.NewPCG(1, 2), func(*catalog.Route) {})
	defer h.monitor.Close()
	var lines strings.Builder
	h.server.cfg.Log = slog.New(slog.NewTextHandler(&lines, nil))
	h.forward = func(_ context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
		response := &port.EndpointResponse{Status: 503, NotRun: true, Body: strings.NewReader(""), Arrival: &port.Arrival{Before: 7, Discarded: 1, ConnectionAge: 2 * time.Second, SinceSent: 3 * time.Millisecond}}
		switch n {
		case 2:
			response.HasAttemptID, response.Arrival, response.Carrier = true, nil, "edge-1"
		case 3:
			return brokenOff(context.DeadlineExceeded)
		case 4:
			return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Arrival: &port.Arrival{}, Body: strings.NewReader("whole")})
		}
		return read(response)
	}
	h.exchange(&soakCaller{})
	got := strings.Split(strings.TrimSpace(lines.String()), "\n")
	is.Equal(len(got), 4)
	for i, want := range []struct {
		message, part string
	}{
		{"attempt failed", "answer_status=503 answer_named=false connection_answers=7 answers_discarded=1 connection_ms=2000 answer_us=3000"},
		{"attempt failed", "answer_status=503 answer_named=true over_host=edge-1"},
		{"attempt failed", ""},
		{"exchange", "answer_status=200 answer_named=true connection_answers=0 answers_discarded=0 connection_ms=0 answer_us=0"},
	} {
		is.True(strings.Contains(got[i], want.message))
		is.Equal(strings.Contains(got[i], "answer_"), want.part != "")
		is.True(strings.Contains(got[i], want.part))
	}
}
