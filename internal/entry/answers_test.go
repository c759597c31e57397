package entry

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestAnswersThatNameNoCallAreCounted guards against answers out of turn that leave no trace in a
// host's logs and metrics.
func TestAnswersThatNameNoCallAreCounted(t *testing.T) {
	is := is.New(t)
	var lines strings.Builder
	scope := tally.NewTestScope("", nil)
	l := answerLog{slog.New(slog.NewTextHandler(&lines, nil)), scope}
	e := &catalog.Endpoint{ID: "e1"}
	l.observe(e, port.EndpointAnswer{Call: port.CallForward, Request: "a2", Status: 503, AttemptID: "a1", NotRun: true, OtherCall: true, Arrival: port.Arrival{Before: 4, ConnectionAge: time.Second, SinceSent: time.Millisecond}})
	is.True(strings.Contains(lines.String(), `msg="response to another call discarded" call=forward request=a2 endpoint=e1 answer_status=503 answer_attempt=a1 refusal=true connection_answers=4 answers_discarded=0 connection_ms=1000 answer_us=1000`))
	l.observe(e, port.EndpointAnswer{Call: port.CallForward, Request: "a3", Status: 503, NotRun: true})
	l.observe(e, port.EndpointAnswer{Call: port.CallForward, Request: "a4", Status: 503, NotRun: true, Arrival: port.Arrival{Before: 1}})
	l.observe(e, port.EndpointAnswer{Call: port.CallProbe, Status: 200, Arrival: port.Arrival{Discarded: 1}})
	l.observe(e, port.EndpointAnswer{Call: port.CallForward, Request: "a5", Status: 200, AttemptID: "a5"})
	is.Equal(strings.Count(lines.String(), "\n"), 1)
	l.observe(e, port.EndpointAnswer{Call: port.CallForward, Request: "a6", Status: 503, NotRun: true, Ambiguous: true, Arrival: port.Arrival{Before: 2}})
	is.True(strings.Contains(lines.String(), `msg="response may belong to no call" call=forward request=a6 endpoint=e1 answer_status=503 answer_attempt="" refusal=true connection_answers=2`))
	is.Equal(strings.Count(lines.String(), "\n"), 2)
	counters := make(map[string]int64)
	for name, c := range scope.Snapshot().Counters() {
		counters[name] = c.Value()
	}
	is.Equal(counters, map[string]int64{
		"endpoint_responses_discarded_total+call=forward":                            1,
		"endpoint_responses_ambiguous_total+call=forward":                            1,
		"endpoint_responses_unnamed_total+call=forward,connection=new,refusal=true":  1,
		"endpoint_responses_unnamed_total+call=forward,connection=kept,refusal=true": 1,
		"endpoint_responses_unnamed_total+call=probe,connection=kept,refusal=false":  1,
	})
}
