package exchange

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// A stream that has begun goes on only with the rest of it: events of a response that is of
// the same kind as the one that began it. Nothing else of an endpoint reaches the caller, and
// no end but that of such a rest completes the stream. A response without an event does not
// tell whether any is left, so its endpoint is asked for the newest event again: if that is
// all it sends before the end, the stream is complete.

// errNoRest means that a response does not bring the rest of the stream that has begun.
var errNoRest = errors.New("response is not the rest of the stream")

// noRest returns the error of a response that does not bring the rest.
func noRest(reason string) error {
	return verdict.Wrap(errNoRest, verdict.CodeEndpointFailed, verdict.MayHaveRun, reason)
}

// checkRest returns an error if a response, by its header, is not the rest of the stream
// that has begun.
func (r *exchangeRun) checkRest(response *port.EndpointResponse) error {
	switch {
	case response.Status != statusOK:
		return noRest("endpoint did not resume the stream, status " + strconv.Itoa(response.Status))
	case mediaType(response.Header) != r.stream.mediaType:
		return noRest("endpoint did not resume the stream, its response is of another kind")
	}
	return nil
}

// candidates returns the endpoints of the next attempt and the criteria to pick one. Whether an
// event is left is asked of the endpoint that sent none, and of others if it has gone. If it is
// unavailable, or a successor is there, its response counts as a failed attempt, as far as the
// route allows another one.
func (r *exchangeRun) candidates() ([]*catalog.Endpoint, balance.Criteria) {
	eligible, criteria := r.eligibleEndpoints(), r.criteria(r.currentResults().zone)
	if !r.stream.mayBeAtEnd {
		return eligible, criteria
	}
	same := slices.IndexFunc(eligible, func(e *catalog.Endpoint) bool { return e.Incarnation() == r.lastEndpoint })
	switch {
	case same >= 0 && r.successor == nil:
		criteria.Avoid = nil
		return eligible[same : same+1], criteria
	case r.successor != nil || r.executedAttempts+1 < r.route.MaxAttempts:
		r.executedAttempts++
	case r.isUsable(r.lastEndpoint):
		return nil, criteria
	}
	r.stream.mayBeAtEnd = false
	return eligible, criteria
}

// countAttempt counts an attempt that failed with err, unless no endpoint ran it. What is sent
// to one endpoint to find out whether an event is left counts once; asked says that the attempt
// did that.
func (r *exchangeRun) countAttempt(err error, asked bool) {
	ran := err != nil && verdict.Of(err) != verdict.NotRun
	if asked && (ran || err == nil) {
		r.stream.mayBeAtEnd = false
	}
	if ran && !r.stream.mayBeAtEnd {
		r.executedAttempts++
	}
}

// mediaType returns the media type that a header names, without parameters, empty if it
// names none.
func mediaType(header []port.HeaderField) string {
	for _, f := range header {
		if strings.EqualFold(f.Name, "Content-Type") {
			base, _, _ := strings.Cut(f.Value, ";")
			return strings.ToLower(strings.TrimSpace(base))
		}
	}
	return ""
}
