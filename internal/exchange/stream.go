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
	// readBytes is the size of a read from an endpoint's stream.
	readBytes = 8 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// stallGaps is the pause, in the route's longest wanted pauses, after which
	// a stream is taken up elsewhere.
	stallGaps = 3
	// minStall is the shortest such pause.
	minStall = 800 * time.Millisecond
)

// stream is what the caller has got of a stream.
type stream struct {
	begun bool
	// lastID is the id of the last event passed on.
	lastID string
}

// resumeFrom returns the id that the next attempt goes on from.
func (s *stream) resumeFrom(x *port.Exchange) string {
	if s.lastID != "" {
		return s.lastID
	}
	return x.ResumeFrom
}

// passStream passes events on as they come. Only whole events are passed on,
// so that the stream can go on at another endpoint.
func (r *run) passStream(reply *port.EndpointResponse, cancel context.CancelFunc, began time.Time) error {
	stall := r.stallTimer(cancel)
	defer stall.Stop()
	var pending []byte
	buffer := make([]byte, readBytes)
	for {
		n, err := reply.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := bytes.LastIndex(pending, eventEnd)
		if whole >= 0 {
			stall.Reset(r.stallTime())
			events := pending[:whole+len(eventEnd)]
			if err := r.passEvents(reply, events, began); err != nil {
				return err
			}
			pending = append(pending[:0], pending[len(events):]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0 && r.stream.begun:
			if err := r.out.Finish(); err != nil {
				return gone(err)
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
func (r *run) stallTimer(cancel context.CancelFunc) *time.Timer {
	return time.AfterFunc(r.stallTime(), func() {
		if r.route.Resumable {
			cancel()
		}
	})
}

func (r *run) stallTime() time.Duration { return max(minStall, stallGaps*r.route.TargetEventGap) }

// passEvents passes whole events on. Events that the caller has are left out.
func (r *run) passEvents(reply *port.EndpointResponse, events []byte, began time.Time) error {
	if r.trace.firstEvent == 0 {
		r.trace.firstEvent = r.cfg.Clock.Now().Sub(r.x.ReceivedAt)
		r.observeFirstEvent(r.cfg.Clock.Now().Sub(began))
		r.freeResults()
	}
	if !r.stream.begun {
		r.stream.begun = true
		r.trace.status = reply.Status
		if err := r.out.WriteHeader(reply.Status, reply.Header, -1); err != nil {
			return gone(err)
		}
	} else if r.trace.resumed < r.sends-1 {
		r.trace.resumed = r.sends - 1
	}
	fresh := r.unseen(events)
	if len(fresh) == 0 {
		return nil
	}
	if err := r.out.Write(fresh); err != nil {
		return gone(err)
	}
	return nil
}

// unseen returns the events after the last one that was passed on, and notes
// the last of them.
func (r *run) unseen(events []byte) []byte {
	var fresh []byte
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if id != "" && !follows(id, r.stream.lastID) {
			continue
		}
		if id != "" {
			r.stream.lastID = id
		}
		fresh = append(fresh, event...)
	}
	return fresh
}

// follows reports whether an event's id comes after another's.
func follows(id, last string) bool {
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
