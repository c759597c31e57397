package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// callBody is the body of a call to a pool or plain service.
type callBody struct {
	Input json.RawMessage `json:"input"`
}

// callResponse is the body of a successful response to such a call.
type callResponse struct {
	Output json.RawMessage `json:"output"`
	Usage  port.Usage      `json:"usage"`
}

// attemptUsageResponse is the response of GET /v1/attempts/{id}. Ended means that
// the endpoint no longer works on the attempt.
type attemptUsageResponse struct {
	Usage port.Usage `json:"usage"`
	Ended bool       `json:"ended"`
}

// registerRoutes adds the routes that every endpoint serves.
func (b *backend) registerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.delayedLoad())
	})
	mux.HandleFunc("GET /v1/attempts/{id}", func(w http.ResponseWriter, r *http.Request) {
		usage, ended := b.attemptUsage(r.PathValue("id"))
		writeJSON(w, http.StatusOK, attemptUsageResponse{Usage: usage, Ended: ended})
	})
}

// callFromHeaders returns a call with the fields that are sent in headers. It fails
// if the attempt id is missing or a number is malformed.
func callFromHeaders(r *http.Request) (call, error) {
	c := call{attempt: r.Header.Get(port.HeaderAttempt), key: r.Header.Get(port.HeaderIdempotencyKey)}
	var err error
	if c.attempt == "" {
		return c, errors.New("no attempt id")
	}
	if c.priority, err = headerInt(r, port.HeaderPriority); err != nil {
		return c, err
	}
	c.resumeTokens, err = headerInt(r, port.HeaderResume)
	return c, err
}

// headerInt returns the value of a header, 0 if it is missing.
func headerInt(r *http.Request, name string) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// handleCall serves a call to a pool or plain service.
func (b *backend) handleCall(w http.ResponseWriter, r *http.Request) {
	c, err := callFromHeaders(r)
	var body callBody
	if err == nil {
		err = readJSON(r, &body)
	}
	if err != nil {
		b.writeNotRun(w, c, http.StatusBadRequest)
		return
	}
	c.input = body.Input
	got, err := b.serve(r.Context(), c, func(string) error { return nil })
	if err != nil {
		b.writeFailure(w, c, err)
		return
	}
	b.setResponseHeaders(w, got)
	writeJSON(w, http.StatusOK, callResponse{Output: got.output, Usage: got.usage})
}

// setResponseHeaders sets the load report and the attempt id.
func (b *backend) setResponseHeaders(w http.ResponseWriter, r response) {
	load, err := json.Marshal(r.load)
	if err == nil {
		w.Header().Set(port.HeaderLoad, string(load))
	}
	w.Header().Set(port.HeaderAttempt, r.attempt)
}

// writeNotRun responds with status and the verdict not_run.
func (b *backend) writeNotRun(w http.ResponseWriter, c call, status int) {
	b.setResponseHeaders(w, response{attempt: c.attempt, load: b.delayedLoad()})
	w.Header().Set(port.HeaderVerdict, "not_run")
	w.WriteHeader(status)
}

// writeFailure responds to a call that did not complete. A crash, a lost response
// or the end of the call's context aborts the connection.
func (b *backend) writeFailure(w http.ResponseWriter, c call, err error) {
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		b.writeNotRun(w, c, http.StatusServiceUnavailable)
	case errors.Is(err, errInjectedFailure):
		b.setResponseHeaders(w, response{attempt: c.attempt, load: b.delayedLoad()})
		w.WriteHeader(http.StatusInternalServerError)
	default:
		abortConnection()
	}
}
