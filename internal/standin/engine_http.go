package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pimentorill/pimentorill/internal/port"
)

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionChunk struct {
	Choices []completionChoice `json:"choices"`
	Usage   *port.Usage        `json:"usage,omitempty"`
}

type completionChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// handleCompletion responds with server-sent events, whatever the body's stream
// field says. A failure after the first event aborts the connection.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	c, err := callFromHeaders(r)
	var body completionBody
	if err == nil {
		err = readJSON(r, &body)
	}
	if err != nil || c.resumeTokens < 0 {
		e.writeNotRun(w, c, http.StatusBadRequest)
		return
	}
	c.model, c.prompt, c.maxTokens = body.Model, body.Prompt, body.MaxTokens
	s := &sseWriter{w: w, flush: http.NewResponseController(w).Flush}
	s.setHeaders = func() { e.setResponseHeaders(w, response{attempt: c.attempt, load: e.delayedLoad()}) }
	got, err := e.serve(r.Context(), c, s.writeToken)
	if err != nil {
		if s.started {
			abortConnection()
		}
		e.writeFailure(w, c, err)
		return
	}
	if !s.started {
		s.setHeaders = func() { e.setResponseHeaders(w, got) }
	}
	// The headers with the call's own attempt id are already sent, so this
	// response can no longer be misrouted.
	if got.attempt != c.attempt && s.started {
		abortConnection()
	}
	s.writeEnd(got.usage)
}

// sseWriter writes a completion as server-sent events. It calls setHeaders before
// the first event; started means that this event has been written.
type sseWriter struct {
	w          http.ResponseWriter
	flush      func() error
	setHeaders func()
	started    bool
}

func (s *sseWriter) writeEvent(v any) error {
	if !s.started {
		s.started = true
		s.setHeaders()
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.WriteHeader(http.StatusOK)
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return s.flush()
}

func (s *sseWriter) writeToken(text string) error {
	return s.writeEvent(completionChunk{Choices: []completionChoice{{Text: text}}})
}

// writeEnd writes the finish reason, the usage and the end marker.
func (s *sseWriter) writeEnd(u port.Usage) {
	reason := "length"
	chunk := completionChunk{Choices: []completionChoice{{FinishReason: &reason}}, Usage: &u}
	if s.writeEvent(chunk) == nil {
		_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	}
}

// handleEvents returns the cache events after a sequence number; a missing or
// malformed one counts as 0.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	writeJSON(w, http.StatusOK, e.CacheEvents(after))
}
