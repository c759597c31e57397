package exchange

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// streamReadBytes is the size of a read from an endpoint's stream.
	streamReadBytes = 8 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// stallGaps is the pause, in the route's longest wanted pauses, after which
	// a stream is taken up elsewhere.
	stallGaps = 3
	// minStallTimeout is the shortest such pause.
	minStallTimeout = 800 * time.Millisecond
)

// stream is what the caller has got of a stream.
type streamState struct {
	started bool
	// lastEventID is the id of the last event passed on.
	lastEventID string
}

// resumeFrom returns the id that the next attempt goes on from.
func (s *streamState) resumeFrom(x *port.Exchange) string {
	if s.lastEventID != "" {
		return s.lastEventID
	}
	return x.ResumeFrom
}

// forwardStream passes events on as they come. Only whole events are passed on,
// so that the stream can go on at another endpoint.
func (r *exchangeRun) forwardStream(reply *port.EndpointResponse, cancel context.CancelFunc, began time.Time) error {
	stall := r.stallTimer(cancel)
	defer stall.Stop()
	var pending []byte
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := reply.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := bytes.LastIndex(pending, eventEnd)
		if whole >= 0 {
			stall.Reset(r.stallTimeout())
			events := pending[:whole+len(eventEnd)]
			if err := r.forwardEvents(reply, events, began); err != nil {
				return err
			}
			pending = append(pending[:0], pending[len(events):]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0 && r.stream.started:
			if err := r.responder.Finish(); err != nil {
				return callerGoneError(err)
			}
			return nil
		case err != nil, len(pending) > maxEventBytes:
			return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream broke off")
		}
	}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// stallTimer ends the attempt when events stop coming, if the stream may go on
// elsewhere.
func (r *exchangeRun) stallTimer(cancel context.CancelFunc) *time.Timer {
	return time.AfterFunc(r.stallTimeout(), func() {
		if r.route.Resumable {
			cancel()
		}
	})
}

func (r *exchangeRun) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGaps*r.route.TargetEventGap)
}

// forwardEvents passes whole events on. Events that the caller has are left out.
func (r *exchangeRun) forwardEvents(reply *port.EndpointResponse, events []byte, began time.Time) error {
	if r.record.timeToFirstEvent == 0 {
		r.record.timeToFirstEvent = r.cfg.Clock.Now().Sub(r.exchange.ReceivedAt)
		r.recordTimeToFirstEvent(r.cfg.Clock.Now().Sub(began))
		r.freeResults()
	}
	if !r.stream.started {
		r.stream.started = true
		r.record.status = reply.Status
		if err := r.responder.WriteHeader(reply.Status, reply.Header, -1); err != nil {
			return callerGoneError(err)
		}
	} else if r.record.resumes < r.attempts-1 {
		r.record.resumes = r.attempts - 1
	}
	fresh := r.unsentEvents(events)
	if len(fresh) == 0 {
		return nil
	}
	if err := r.responder.Write(fresh); err != nil {
		return callerGoneError(err)
	}
	return nil
}

// unseen returns the events after the last one that was passed on, and notes
// the last of them.
func (r *exchangeRun) unsentEvents(events []byte) []byte {
	var fresh []byte
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if id != "" && !isLaterEvent(id, r.stream.lastEventID) {
			continue
		}
		if id != "" {
			r.stream.lastEventID = id
		}
		fresh = append(fresh, event...)
	}
	return fresh
}

// follows reports whether an event's id comes after another's.
func isLaterEvent(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for _, line := range strings.Split(string(event), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
