package exchange

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// streamReadBytes is the size of a read from an endpoint's stream.
	streamReadBytes = 8 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxIdleBytes bounds the events in a row that are no progress: repeated or empty
	// ones.
	maxIdleBytes = 256 << 10
	// stallGaps is the time without progress after which the attempt at a resumable
	// stream is doubted, in multiples of the route's target event gap.
	stallGaps = 3
	// slowForward is the time from which forwarding events to the caller is slow.
	slowForward = 50 * time.Millisecond
	// minStallTimeout is the lower bound of the time that stallGaps yields.
	minStallTimeout = 800 * time.Millisecond
)

// streamState is what has been sent to the caller of a stream.
type streamState struct {
	// started is set once the response header is sent.
	started bool
	// mediaType is that of the response that began the stream.
	mediaType string
	// lastEventID is the id of the last event sent to the caller, also by an earlier attempt
	// of it that this one takes up; empty if none had an id.
	lastEventID string
	// secondLastEventID is that of the event before it; empty if there was none.
	secondLastEventID string
	// mayBeAtEnd is set after a response that resumed the stream and had no event: there may
	// be none left, which the next attempt finds out.
	mayBeAtEnd bool
	// unnumbered is set while the caller has an event without an id after the last one with
	// one: an endpoint that resumes the stream would send it again.
	unnumbered bool
}

// setStreamStarted and streamStarted access r.stream.started. Only the attempt's own
// goroutine may read it otherwise.
func (r *exchangeRun) setStreamStarted() {
	r.attemptMu.Lock()
	defer r.attemptMu.Unlock()
	r.stream.started = true
}

func (r *exchangeRun) streamStarted() bool {
	r.attemptMu.Lock()
	defer r.attemptMu.Unlock()
	return r.stream.started
}

// setUnnumbered and mayGoOn access r.stream.unnumbered. mayGoOn reports whether another
// attempt can go on with the stream.
func (r *exchangeRun) setUnnumbered(unnumbered bool) {
	r.attemptMu.Lock()
	defer r.attemptMu.Unlock()
	r.stream.unnumbered = unnumbered
}

func (r *exchangeRun) mayGoOn() bool {
	r.attemptMu.Lock()
	defer r.attemptMu.Unlock()
	return !r.stream.unnumbered
}

// resumeFrom returns the id of the event after which the next attempt resumes,
// empty if the stream starts from its beginning. At a stream's possible end it resumes one
// event earlier: if the newest event is the last one, the rest is that event and its end.
func (s *streamState) resumeFrom(x *port.Exchange) string {
	id := s.lastEventID
	if s.mayBeAtEnd {
		id = s.secondLastEventID
	}
	if id != "" {
		return id
	}
	return x.ResumeFrom
}

// forwardStream forwards events as they arrive. It forwards only complete
// events, so that the stream can be resumed at another endpoint. A stream that
// ends without an event or within one is an error, and so is a response that is not the
// rest of a stream that has begun.
func (r *exchangeRun) forwardStream(ctx context.Context, response *port.EndpointResponse, failover *failover, startedAt time.Time) error {
	var lastProgress atomic.Int64 // nanoseconds since startedAt
	recordProgress := func() { lastProgress.Store(int64(r.cfg.Clock.Now().Sub(startedAt))) }
	recordProgress()
	// A caller that reads slowly is no silence of the endpoint. forwardingSince is 0 while no
	// events are being forwarded, else when that began, in nanoseconds since startedAt.
	var forwardingSince atomic.Int64
	stall := failover.after(r.stallTimeout(), errStalled, func() bool {
		now := r.cfg.Clock.Now().Sub(startedAt)
		since := time.Duration(forwardingSince.Load())
		return (since == 0 || now-since < slowForward) && now-time.Duration(lastProgress.Load()) >= r.stallTimeout()
	})
	defer stall.Stop()
	// joined is set once the response is known to bring the stream, or its rest.
	joined := !r.stream.started && r.stream.lastEventID == ""
	var pending []byte
	countedBytes := uncountedBytes // of pending that count towards the budget, or need not
	idleBytes := 0                 // received since the last event that was progress
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			events := pending[:end]
			forwardingSince.Store(max(1, int64(r.cfg.Clock.Now().Sub(startedAt))))
			progressed, err := r.forwardEvents(ctx, response, events, startedAt, &joined)
			if err != nil {
				return err
			}
			forwardingSince.Store(0)
			if progressed {
				recordProgress()
				stall.Reset(r.stallTimeout())
				idleBytes = 0
			} else if idleBytes += len(events); idleBytes > maxIdleBytes {
				return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream makes no progress")
			}
			pending = append(pending[:0], pending[len(events):]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0 && !joined:
			r.stream.mayBeAtEnd = r.stream.started
			return noRest("endpoint did not resume the stream, its response has no event of the rest")
		case err == io.EOF && len(pending) == 0 && r.stream.started:
			if err := r.responder.Finish(); err != nil {
				return callerGoneError(err)
			}
			return nil
		case err != nil, len(pending) > maxEventBytes, len(pending) > countedBytes && !r.takeBytes(chunkBytes):
			return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream broke off")
		case len(pending) > countedBytes:
			countedBytes += chunkBytes
		}
	}
}

// eventEnds are the ends of an event: an empty line after another one, whose lines end with
// LF or CRLF.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// firstEventEnd returns the end of the first complete event, 0 if there is none.
func firstEventEnd(b []byte) int {
	first := 0
	for _, end := range eventEnds {
		if i := bytes.Index(b, end); i >= 0 && (first == 0 || i+len(end) < first) {
			first = i + len(end)
		}
	}
	return first
}

// lastEventEnd returns the end of the last complete event, 0 if there is none.
func lastEventEnd(b []byte) int {
	last := 0
	for _, end := range eventEnds {
		if i := bytes.LastIndex(b, end); i >= 0 {
			last = max(last, i+len(end))
		}
	}
	return last
}

// stallTimeout returns the time without progress after which the attempt at a stream is
// doubted.
func (r *exchangeRun) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGaps*r.route.TargetEventGap)
}

// forwardEvents sends complete events to the caller, except those that the caller
// already has, and reports whether there was progress: an event with a field that the
// caller did not have. At the first event of the exchange, it frees the stage results,
// which the endpoint has fetched by then, and fixes the stream's origin. joined is that of
// forwardStream.
func (r *exchangeRun) forwardEvents(ctx context.Context, response *port.EndpointResponse, events []byte, startedAt time.Time, joined *bool) (progressed bool, err error) {
	unsent, err := r.takeUnsentEvents(events, joined)
	if err != nil || !*joined {
		return false, err
	}
	if r.record.timeToFirstEvent == 0 {
		r.record.timeToFirstEvent = r.cfg.Clock.Now().Sub(r.exchange.ReceivedAt)
		r.recordTimeToFirstEvent(r.cfg.Clock.Now().Sub(startedAt))
		r.freeResults()
	}
	if !r.stream.started {
		r.fixOrigin(ctx)
		r.setStreamStarted()
		r.stream.mediaType = mediaType(response.Header)
		if err := r.writeHeader(response.Status, response.Header, -1); err != nil {
			return false, err
		}
	} else if r.record.resumes < r.attempts-1 {
		r.record.resumes = r.attempts - 1
	}
	if len(unsent) == 0 {
		return false, nil
	}
	if err := r.responder.Write(unsent); err != nil {
		return false, callerGoneError(err)
	}
	return hasFields(unsent), nil
}

// hasFields reports whether any of the events has a field: lines that begin with a colon
// are comments.
func hasFields(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// takeUnsentEvents returns the events that have not been sent to the caller yet and
// advances lastEventID past them. The newest event that the caller has, or a later one, joins
// the response to the stream; what comes before that is dropped. An event without an id is
// an error then: it may be one that the caller has, or no event at all.
func (r *exchangeRun) takeUnsentEvents(events []byte, joined *bool) ([]byte, error) {
	var unsent []byte
	for len(events) > 0 {
		end := firstEventEnd(events)
		if end == 0 {
			end = len(events) // an empty line after the last event
		}
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		switch {
		case id != "" && !isLaterEvent(id, r.stream.lastEventID):
			*joined = *joined || id == r.stream.lastEventID
			continue
		case id != "":
			r.stream.secondLastEventID, r.stream.lastEventID = r.stream.lastEventID, id
			*joined = true
		case !*joined && hasFields(event):
			return nil, noRest("endpoint did not resume the stream, its response begins without an event id")
		case !*joined:
			continue
		}
		if hasFields(event) {
			r.setUnnumbered(id == "")
		}
		unsent = append(unsent, event...)
	}
	return unsent, nil
}

// isLaterEvent reports whether id is greater than last. It reports true if
// either is not a number.
func isLaterEvent(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// eventID returns the id field of an event, the last one if it has several and empty if it has
// none.
func eventID(event []byte) string {
	id := ""
	for _, line := range strings.Split(string(event), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
	return id
}
