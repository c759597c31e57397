package entry

import (
	"log/slog"
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// answerLog logs and counts the endpoints' responses that name no request, or that of
// another call.
type answerLog struct {
	log   *slog.Logger
	scope tally.Scope
}

// observe implements port.EndpointClient's observer of answers.
func (l answerLog) observe(e *catalog.Endpoint, a port.EndpointAnswer) {
	switch {
	case a.OtherCall, a.Ambiguous:
		message, counter := "response to another call discarded", "endpoint_responses_discarded_total"
		if a.Ambiguous {
			message, counter = "response may belong to no call", "endpoint_responses_ambiguous_total"
		}
		l.log.Info(message, slog.String("call", string(a.Call)), slog.String("request", a.Request),
			slog.String("endpoint", e.ID), slog.Int("answer_status", a.Status), slog.String("answer_attempt", a.AttemptID), slog.Bool("refusal", a.NotRun),
			slog.Int("connection_answers", a.Arrival.Before), slog.Int("answers_discarded", a.Arrival.Discarded), slog.Int64("connection_ms", a.Arrival.ConnectionAge.Milliseconds()),
			slog.Int64("answer_us", a.Arrival.SinceSent.Microseconds()))
		l.scope.Tagged(map[string]string{"call": string(a.Call)}).Counter(counter).Inc(1)
	case a.AttemptID == "":
		connection := "new"
		if !a.Arrival.First() {
			connection = "kept"
		}
		l.scope.Tagged(map[string]string{"call": string(a.Call), "connection": connection, "refusal": strconv.FormatBool(a.NotRun)}).Counter("endpoint_responses_unnamed_total").Inc(1)
	}
}
