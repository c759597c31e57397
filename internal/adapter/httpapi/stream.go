package httpapi

import (
	"bufio"
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
)

const contentTypeEventStream = "text/event-stream"

// Names of the server-sent events of a run.
const (
	eventToken  = "token"
	eventStage  = "stage"
	eventResult = "result"
	eventError  = "error"
)

// serverEvent is one event of a stream.
type serverEvent struct {
	name string
	data any
	// err is the failure of the run in an error event, else nil. It gives the HTTP
	// status if the event is the first one.
	err error
}

// tokenData is the data of a token event.
type tokenData struct {
	Text string `json:"text"`
}

// stream executes a run and responds with server-sent events. A failure before
// the first event becomes an ordinary error response. stop ends the watch for a
// disconnect; stream calls it when the run has ended.
func (c *CallerHandler) stream(ctx *fasthttp.RequestCtx, runCtx context.Context, stop func(), in app.RunRequest) {
	runCtx, cancel := context.WithCancel(runCtx)
	events := newEventQueue()
	in.OnToken = func(text string) { events.put(serverEvent{name: eventToken, data: tokenData{text}}) }
	if len(ctx.Request.Header.Peek(headerStageEvents)) > 0 {
		in.OnStage = func(s pipeline.StageResult) { events.put(serverEvent{name: eventStage, data: s}) }
	}
	go func() {
		defer events.close()
		response, err := c.app.Run(runCtx, in)
		events.put(finalEvent(response, err))
	}()
	first := events.take() // not empty: every run puts a final event
	if err := first[0].err; err != nil {
		cancel()
		stop()
		writeError(ctx, err)
		return
	}
	ctx.SetContentType(contentTypeEventStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer stop()
		defer drainUntilClosed(events)
		defer cancel()
		writeEvents(w, first, events)
	})
}

// finalEvent returns the result event or the error event that ends a stream.
func finalEvent(response app.RunResponse, err error) serverEvent {
	if err == nil {
		return serverEvent{name: eventResult, data: response}
	}
	body, _ := newErrorBody(err)
	return serverEvent{name: eventError, data: body, err: err}
}

// writeEvents writes batch and then the events of the queue until it is closed or
// a write fails. It flushes once per batch.
func writeEvents(w *bufio.Writer, batch []serverEvent, events *eventQueue) {
	for len(batch) > 0 {
		for _, e := range batch {
			if err := writeEvent(w, e); err != nil {
				return
			}
		}
		if err := w.Flush(); err != nil {
			return
		}
		batch = events.take()
	}
}

func writeEvent(w *bufio.Writer, e serverEvent) error {
	data, err := json.Marshal(e.data)
	if err != nil {
		return err
	}
	for _, part := range []string{"event: ", e.name, "\ndata: "} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	_, err = w.WriteString("\n\n")
	return err
}

// drainUntilClosed discards events until the queue is closed at the end of the run,
// so that the run's goroutine does not outlive the stream.
func drainUntilClosed(events *eventQueue) {
	for len(events.take()) > 0 {
		continue
	}
}
