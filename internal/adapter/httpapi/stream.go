package httpapi

import (
	"bufio"
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
)

const contentEvents = "text/event-stream"

// Names of the events of a stream.
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
	// err is set on an error event, for its status if it is the first event.
	err error
}

// tokenData is the data of a token event.
type tokenData struct {
	Text string `json:"text"`
}

// stream answers a run as server-sent events. A failure before the first
// event is answered as an ordinary error.
func (c *Callers) stream(ctx *fasthttp.RequestCtx, gone context.Context, stop func(), in app.RunRequest) {
	gone, cancel := context.WithCancel(gone)
	events := newEventQueue()
	in.OnToken = func(text string) { events.put(serverEvent{name: eventToken, data: tokenData{text}}) }
	if len(ctx.Request.Header.Peek(headerStages)) > 0 {
		in.OnStage = func(s pipeline.StageResult) { events.put(serverEvent{name: eventStage, data: s}) }
	}
	go func() {
		defer events.close()
		answer, err := c.app.Run(gone, in)
		events.put(lastEvent(answer, err))
	}()
	first := events.take()
	if err := first[0].err; err != nil {
		cancel()
		stop()
		writeError(ctx, err)
		return
	}
	ctx.SetContentType(contentEvents)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer stop()
		defer drain(events)
		defer cancel()
		writeEvents(w, first, events)
	})
}

func lastEvent(answer app.RunResponse, err error) serverEvent {
	if err == nil {
		return serverEvent{name: eventResult, data: answer}
	}
	body, _ := newErrorBody(err)
	return serverEvent{name: eventError, data: body, err: err}
}

// writeEvents writes events until the last or until the caller is gone.
// Events that wait together go out in one write.
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
	for _, piece := range []string{"event: ", e.name, "\ndata: "} {
		if _, err := w.WriteString(piece); err != nil {
			return err
		}
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	_, err = w.WriteString("\n\n")
	return err
}

// drain waits for the run to end, so that nothing of it outlives the stream.
func drain(events *eventQueue) {
	for len(events.take()) > 0 {
		continue
	}
}
