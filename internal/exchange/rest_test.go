package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// headerCaller is a caller whose responder takes one header, as those of connections do.
type headerCaller struct {
	soakCaller
	headers int
}

func (c *headerCaller) WriteHeader(status int, fields []port.HeaderField, length int64) error {
	if c.headers++; c.headers > 1 {
		return errors.New("response header written twice")
	}
	return c.soakCaller.WriteHeader(status, fields, length)
}

// scriptedResponse is an endpoint's own response. Its body has no length, and is whole unless
// broken is set.
type scriptedResponse struct {
	status   int
	kind     string // Content-Type
	body     string
	broken   bool
	unsigned bool
	notRun   bool
	// unreached means that there is no response: the endpoint is not reached.
	unreached bool
}

const eventStream = "text/event-stream"

func (s scriptedResponse) send(read func(*port.EndpointResponse) error) error {
	if s.unreached {
		return verdict.Wrap(&port.NotReachedError{Err: errors.New("connection refused")}, verdict.CodeEndpointFailed, verdict.NotRun, "endpoint failed")
	}
	body := io.Reader(strings.NewReader(s.body))
	if s.broken {
		body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	response := &port.EndpointResponse{Status: s.status, Signed: !s.unsigned, HasAttemptID: true, NotRun: s.notRun, Length: -1, Body: body}
	if s.kind != "" {
		response.Header = []port.HeaderField{{Name: "Content-Type", Value: s.kind}}
	}
	return read(response)
}

// sent is a request as an endpoint got it.
type sent struct{ endpoint, resumeFrom string }

// forwardScripted sends a request on a resumable stream route to endpoints, three at most, that
// respond as script says; n counts from 1. It returns what the caller got and what was sent.
func forwardScripted(t *testing.T, maxAttempts int, script func(n int, resumeFrom string) scriptedResponse) (*headerCaller, []sent) {
	t.Helper()
	return takeUpScripted(t, "", maxAttempts, script)
}

// takeUpScripted is forwardScripted for a caller that takes a stream up after an event, if one
// is given.
func takeUpScripted(t *testing.T, after string, maxAttempts int, script func(n int, resumeFrom string) scriptedResponse) (*headerCaller, []sent) {
	t.Helper()
	c, requests := &headerCaller{}, []sent(nil)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(3, ample, rand.NewPCG(1, 2), func(r *catalog.Route) {
			r.Kind, r.Resumable, r.MaxAttempts = catalog.Stream, true, maxAttempts
		})
		h.forward = func(_ context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			requests = append(requests, sent{r.Endpoint.ID, r.ResumeFrom})
			return script(n, r.ResumeFrom).send(read)
		}
		if after == "" {
			h.exchange(c)
		} else {
			respond := h.forward
			h.forward = func(_ context.Context, _ int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
				return begun.send(read)
			}
			h.exchange(&headerCaller{})
			h.forward, h.calls = respond, 0
			x := &port.Exchange{ID: "r2", Method: "POST", Host: "api.example", Path: "/x/1", Target: "/x/1", ReceivedAt: time.Now(), ResumeFrom: after, FirstAttempt: "r1"}
			h.server.Exchange(context.Background(), x, c)
		}
		h.monitor.Close()
	})
	t.Logf("%v, error %v", requests, c.err)
	return c, requests
}

// inTurn gives the responses one after the other, and the last one from then on.
func inTurn(responses ...scriptedResponse) func(int, string) scriptedResponse {
	return func(n int, _ string) scriptedResponse { return responses[min(n, len(responses))-1] }
}

// endpointsOf returns the number of endpoints that got requests.
func endpointsOf(requests []sent) int {
	ids := make(map[string]bool)
	for _, r := range requests {
		ids[r.endpoint] = true
	}
	return len(ids)
}

const (
	eventsBegun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	eventsLeft  = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
)

// begun is the response that begins a stream and breaks off within its third event.
var begun = scriptedResponse{status: 200, kind: eventStream, body: eventsBegun + "id: 3\nda", broken: true}

// TestResponseThatIsNoRestOfAStreamIsNotJoinedToIt guards against a stream that has begun and
// gets the bytes of another response, or the end of one, where its own rest is due.
func TestResponseThatIsNoRestOfAStreamIsNotJoinedToIt(t *testing.T) {
	long := strings.Repeat("failed\n\n", maxResponseBytes/8)
	for name, other := range map[string]scriptedResponse{
		"no content":              {status: 204},
		"partial content":         {status: 206, kind: eventStream, body: eventsLeft},
		"another success":         {status: 201, kind: eventStream, body: eventsLeft},
		"no body":                 {status: 200, kind: eventStream},
		"comments only":           {status: 200, kind: eventStream, body: ": a\n\n: b\n\n"},
		"empty events":            {status: 200, kind: eventStream, body: "\n\n\n\n"},
		"ends before the rest":    {status: 200, kind: eventStream, body: "id: 1\ndata: a\n\n"},
		"text":                    {status: 200, kind: "text/plain", body: "it failed\n\n"},
		"text of no kind":         {status: 200, body: "it failed\n\n"},
		"not the endpoint's own":  {status: 200, kind: eventStream, body: eventsLeft, unsigned: true},
		"redirect":                {status: 302, body: "elsewhere\n\n"},
		"not found":               {status: 404, body: "not found\n\n"},
		"failed":                  {status: 500, body: "HTTP/1.1 500 Internal Server Error\r\n\r\nid: 3\ndata: x\n\n"},
		"bad gateway":             {status: 502, kind: eventStream, body: eventsLeft},
		"unavailable":             {status: 503, body: "busy\n\n"},
		"gateway timeout":         {status: 504},
		"failed, long":            {status: 500, body: long},
		"not found, long":         {status: 404, body: long},
		"not found, breaking off": {status: 404, body: "not f", broken: true},
	} {
		for _, soundAfter := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				responses := []scriptedResponse{begun, other}
				if soundAfter {
					responses = append(responses, scriptedResponse{status: 200, kind: eventStream, body: eventsLeft})
				}
				c, requests := forwardScripted(t, 3, inTurn(responses...))
				is.True(soundAfter || endpointsOf(requests) == 3) // none but the route's bound ends it
				is.Equal(c.headers, 1)
				is.Equal(c.finished, soundAfter)
				if soundAfter {
					is.Equal(c.body.String(), eventsBegun+eventsLeft)
					return
				}
				is.Equal(c.body.String(), eventsBegun)
				is.Equal(verdict.From(c.err).Code, verdict.CodeEndpointFailed)
				is.Equal(verdict.Of(c.err), verdict.MayHaveRun)
			})
		}
	}
}

// TestRestOfAStreamCompletesIt guards against sound rests that are taken for other responses.
func TestRestOfAStreamCompletesIt(t *testing.T) {
	for name, rest := range map[string]scriptedResponse{
		"all that is left":        {status: 200, kind: eventStream, body: eventsLeft},
		"kind with a parameter":   {status: 200, kind: "Text/Event-Stream; charset=utf-8", body: eventsLeft},
		"from the beginning":      {status: 200, kind: eventStream, body: eventsBegun + eventsLeft},
		"from the newest event":   {status: 200, kind: eventStream, body: "id: 2\ndata: b\n\n" + eventsLeft},
		"after comments":          {status: 200, kind: eventStream, body: ": a\n\n" + eventsLeft},
		"with a last unnumbered":  {status: 200, kind: eventStream, body: eventsLeft + "data: end\n\n"},
		"newest event, then ends": {status: 200, kind: eventStream, body: "id: 2\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, requests := forwardScripted(t, 2, inTurn(begun, rest))
			is.Equal(len(requests), 2)
			is.True(c.finished)
			is.Equal(c.headers, 1)
			is.True(strings.HasPrefix(c.body.String(), eventsBegun))
			is.Equal(strings.Count(c.body.String(), "id: 2"), 1)
			is.Equal(strings.HasSuffix(c.body.String(), eventsLeft), strings.HasSuffix(rest.body, eventsLeft))
		})
	}
}

// TestStreamOfNoKindGoesOn guards against rests of streams without a Content-Type that are
// taken for other responses.
func TestStreamOfNoKindGoesOn(t *testing.T) {
	is := is.New(t)
	first := begun
	first.kind = ""
	c, _ := forwardScripted(t, 2, inTurn(first, scriptedResponse{status: 200, body: eventsLeft}))
	is.True(c.finished)
	is.Equal(c.body.String(), eventsBegun+eventsLeft)
}

// soundStream is the stream of a sound endpoint with a number of events, resumed or not.
func soundStream(events int, resumeFrom string) scriptedResponse {
	last, _ := strconv.Atoi(resumeFrom)
	body := ""
	for n := last + 1; n <= events; n++ {
		body += fmt.Sprintf("id: %d\ndata: a\n\n", n)
	}
	return scriptedResponse{status: 200, kind: eventStream, body: body}
}

// TestStreamThatBreaksOffAfterItsLastEventIsCompleted guards against streams cut although
// nothing was left of them, and against one endpoint more than the route allows.
func TestStreamThatBreaksOffAfterItsLastEventIsCompleted(t *testing.T) {
	for events := 1; events <= 3; events++ {
		is := is.New(t)
		c, requests := forwardScripted(t, 2, func(n int, resumeFrom string) scriptedResponse {
			response := soundStream(events, resumeFrom)
			response.broken = n == 1
			return response
		})
		is.True(c.finished)
		is.Equal(c.body.String(), soundStream(events, "").body)
		is.Equal(len(requests), 3)
		is.Equal(endpointsOf(requests), 2)
		is.Equal(requests[1], sent{requests[2].endpoint, fmt.Sprint(events)})
		is.Equal(requests[2].resumeFrom, strings.TrimPrefix(fmt.Sprint(events-1), "0"))
	}
}

// TestEndThatIsNotConfirmedCutsTheStream guards against a stream that is completed because an
// endpoint says twice that nothing is left, or refuses to be asked, and against one endpoint
// more than the route allows.
func TestEndThatIsNotConfirmedCutsTheStream(t *testing.T) {
	for name, second := range map[string]scriptedResponse{
		"again without an event": {status: 200, kind: eventStream},
		"older events":           {status: 200, kind: eventStream, body: "id: 1\ndata: a\n\n"},
		"refused":                {status: 503, notRun: true},
		"failed":                 {status: 500},
		"broken off":             {status: 200, kind: eventStream, body: "id: 2\ndata: b\n\n", broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, requests := forwardScripted(t, 2, inTurn(begun, scriptedResponse{status: 200, kind: eventStream}, second))
			is.True(len(requests) >= 3)
			is.Equal(endpointsOf(requests), 2)
			is.True(!c.finished)
			is.Equal(c.body.String(), eventsBegun)
			is.Equal(verdict.Of(c.err), verdict.MayHaveRun)
		})
	}
}

// TestStreamGoesOnIfItsEndCannotBeConfirmed guards against a stream that is cut because the
// endpoint that sent no event can't be asked again, although the route allows another one.
func TestStreamGoesOnIfItsEndCannotBeConfirmed(t *testing.T) {
	is := is.New(t)
	c, requests := forwardScripted(t, 3, inTurn(begun, scriptedResponse{status: 200, kind: eventStream}, scriptedResponse{unreached: true}, scriptedResponse{status: 200, kind: eventStream, body: eventsLeft}))
	is.True(c.finished)
	is.Equal(c.body.String(), eventsBegun+eventsLeft)
	is.Equal(endpointsOf(requests), 3)
}

// TestEventsThatWereLeftAreSent guards against the events that an endpoint first withheld
// being lost or sent twice when it is asked again.
func TestEventsThatWereLeftAreSent(t *testing.T) {
	is := is.New(t)
	c, requests := forwardScripted(t, 2, func(n int, resumeFrom string) scriptedResponse {
		switch n {
		case 1:
			return scriptedResponse{status: 200, kind: eventStream, body: soundStream(3, "").body, broken: true}
		case 2:
			return scriptedResponse{status: 200, kind: eventStream}
		default:
			return soundStream(5, resumeFrom)
		}
	})
	is.Equal(len(requests), 3)
	is.True(c.finished)
	is.Equal(c.body.String(), soundStream(5, "").body)
}

// TestStreamThatIsTakenUpGetsOnlyItsRest guards against a caller that gets events again, or
// the end of the stream, from an endpoint that does not resume it.
func TestStreamThatIsTakenUpGetsOnlyItsRest(t *testing.T) {
	for name, tc := range map[string]struct {
		response scriptedResponse
		events   string // that the caller gets of a stream that is complete
	}{
		"the rest":           {soundStream(4, "2"), soundStream(4, "2").body},
		"from the beginning": {soundStream(4, ""), soundStream(4, "2").body},
		"newest event":       {soundStream(2, "1"), ""},
		"after comments":     {scriptedResponse{status: 200, kind: eventStream, body: ": a\n\n" + soundStream(4, "2").body}, soundStream(4, "2").body},
		"comments only":      {response: scriptedResponse{status: 200, kind: eventStream, body: ": a\n\n"}},
		"older events":       {response: soundStream(1, "")},
		"no body":            {response: scriptedResponse{status: 200, kind: eventStream}},
		"text":               {response: scriptedResponse{status: 200, kind: "text/plain", body: "it failed\n\n"}},
		"no content":         {response: scriptedResponse{status: 204}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := takeUpScripted(t, "2", 1, inTurn(tc.response))
			whole := tc.events != "" || name == "newest event"
			is.Equal(c.finished, whole)
			is.Equal(c.started, whole)
			is.Equal(c.body.String(), tc.events)
			is.True(whole || verdict.Of(c.err) == verdict.MayHaveRun)
		})
	}
}

// lateReader sends its text once its context has ended, as a buffer does that was filled before.
type lateReader struct {
	ctx  context.Context
	text io.Reader
}

func (r lateReader) Read(p []byte) (int, error) {
	<-r.ctx.Done()
	n, err := r.text.Read(p)
	if err == io.EOF {
		err = r.ctx.Err()
	}
	return n, err
}

// TestEventsOfAnAttemptThatWasGivenUpAreSentOnce guards against events that come twice, or in
// another order, where an endpoint that was given up still delivers.
func TestEventsOfAnAttemptThatWasGivenUpAreSentOnce(t *testing.T) {
	for _, late := range []string{"", "id: 3\nda", "id: 3\ndata: a\n\n", "id: 3\ndata: a\n\nid: 4\ndata: a\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newScriptedHost(3, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.Kind, r.Resumable = catalog.Stream, true })
			running := 0
			h.forward = func(ctx context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
				running++
				defer func() { running-- }()
				is.Equal(running, 1)
				if n > 1 {
					return soundStream(5, r.ResumeFrom).send(read)
				}
				body := io.MultiReader(strings.NewReader(soundStream(2, "").body), lateReader{ctx, strings.NewReader(late)})
				return read(&port.EndpointResponse{Status: 200, Header: []port.HeaderField{{Name: "Content-Type", Value: eventStream}}, Signed: true, HasAttemptID: true, Length: -1, Body: body})
			}
			c := &headerCaller{}
			h.exchange(c)
			h.monitor.Close()
			is.True(c.finished)
			is.Equal(c.body.String(), soundStream(5, "").body)
			is.Equal(h.calls, 2)
		})
	}
}
