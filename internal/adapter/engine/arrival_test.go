package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestErrorsSayWhatTheConnectionHadCarried guards against errors of answers that may belong to
// another call, of which nobody can tell whether the connection was a new one.
func TestErrorsSayWhatTheConnectionHadCarried(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(port.HeaderAttempt, "a-1")
		w.Header().Set(port.HeaderVerdict, verdict.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	c := New(Config{})
	defer c.Close()
	a := port.Attempt{ID: "a-1", Endpoint: release.Endpoint{ID: "e", URL: s.URL}, Service: release.Service{Name: "s", Kind: release.KindPlain}, Stage: release.Stage{Path: "/v1/call"}, Input: []byte(`1`)}
	_, err := c.Call(t.Context(), a)
	is.Equal(verdict.From(err).Code, verdict.CodeNoCapacity)
	is.True(strings.Contains(err.Error(), "connection had carried 0 responses"))
	a.ID = "a-2"
	_, err = c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.True(strings.Contains(err.Error(), "response is for attempt"))
}
