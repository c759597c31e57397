package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const prompt = "the north face of Triglav"

// standinServer is a stand-in for an endpoint, of any kind of service.
type standinServer interface {
	Start() error
	Close()
	URL() string
}

// startStandin starts a stand-in and returns a client and a valid attempt for it.
// kind is the kind of the stand-in's service.
func startStandin(t *testing.T, s standinServer, kind release.ServiceKind) (*Client, port.Attempt) {
	t.Helper()
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := New(Config{})
	t.Cleanup(c.Close)
	path := "/v1/call"
	if kind == release.KindEngine {
		path = "/v1/completions"
	}
	input, _ := json.Marshal(prompt)
	return c, port.Attempt{
		ID:       "a-1",
		Endpoint: release.Endpoint{ID: "e", URL: s.URL()},
		Service:  release.Service{Name: "s", Kind: kind},
		Stage:    release.Stage{Path: path, MaxTokens: 20},
		Input:    input,
	}
}

// warmBackend returns the configuration of a stand-in that has finished its warm-up.
func warmBackend(id string) standin.BackendConfig {
	return standin.BackendConfig{ID: id, Slots: 4, StartsWarm: true}
}

func TestStreamResumesAfterReceivedTokens(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e")})
	c, a := startStandin(t, e, release.KindEngine)
	e.BreakStreams(1, 7)
	partial, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(partial.Tokens, 7)
	is.Equal(partial.Text, standin.Completion(prompt, 7))
	a.ID, a.ResumeTokens, a.ResumeText = "a-2", partial.Tokens, partial.Text
	resumed, err := c.Call(t.Context(), a)
	is.NoErr(err)
	var full string
	is.NoErr(json.Unmarshal(resumed.Output, &full))
	is.Equal(full, standin.Completion(prompt, 20))
	usage, ended, err := c.AttemptUsage(t.Context(), a.Endpoint, "a-1")
	is.NoErr(err)
	is.True(ended)
	is.Equal(usage.Add(resumed.Usage), e.Charged()) // the usage of both attempts together
	is.True(resumed.Load != nil)
}

func TestCancelStopsWorkOnEngine(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e"), TokenTime: time.Hour})
	c, a := startStandin(t, e, release.KindEngine)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := c.Call(ctx, a)
		ended <- err
	}()
	is.NoErr(e.Wait(t.Context(), func(l port.LoadReport, _ standin.Stats) bool { return l.Running == 1 }))
	cancel()
	err := verdict.From(<-ended)
	is.Equal(err.Code, verdict.CodeCallerCancelled)
	is.Equal(err.Verdict, verdict.MayHaveRun)
	is.NoErr(e.Wait(t.Context(), func(l port.LoadReport, s standin.Stats) bool { return l.Running == 0 && s.Cancelled == 1 }))
}

func TestVerdictTellsWhetherWorkMayHaveRun(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlain(warmBackend("p"), nil)
	c, a := startStandin(t, p, release.KindPlain)
	a.IdempotencyKey = "booking-1"

	p.DropResponses(1)
	_, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(p.RunCounter().Runs("booking-1"), 1)

	p.MisrouteResponses(1)
	a.ID, a.IdempotencyKey = "a-2", "booking-2"
	got, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.True(got.Output == nil) // the response to another attempt is dropped

	p.Crash() // and restart with a new, cold incarnation
	a.ID, a.IdempotencyKey = "a-3", "booking-3"
	got, err = c.Call(t.Context(), a)
	is.NoErr(err)
	is.True(got.Load.Cold)

	p.Close()
	a.ID, a.IdempotencyKey = "a-4", "booking-4"
	_, err = c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(p.RunCounter().Runs("booking-4"), 0)
}

// TestColdLimitOverrunFailsAllRunningCalls sends a second call to a cold pool that
// handles one at a time. The pool then crashes, and both calls fail.
func TestColdLimitOverrunFailsAllRunningCalls(t *testing.T) {
	is := is.New(t)
	cfg := standin.BackendConfig{ID: "p", Slots: 4, ColdLimit: 1, WorkTime: time.Hour}
	p := standin.NewPool(cfg)
	c, a := startStandin(t, p, release.KindPool)
	first := make(chan error)
	go func() {
		_, err := c.Call(t.Context(), a)
		first <- err
	}()
	is.NoErr(p.Wait(t.Context(), func(l port.LoadReport, _ standin.Stats) bool { return l.Running == 1 }))
	a.ID = "a-2"
	_, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(verdict.Of(<-first), verdict.MayHaveRun)
	is.Equal(p.Stats().ColdOverruns, 1)
	is.Equal(p.Stats().MaxColdCalls, 2)
}

func TestErrorStatusIsNotRunOnlyIfEndpointSaysSo(t *testing.T) {
	is := is.New(t)
	header := map[string]string{}
	status := http.StatusServiceUnavailable
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for k, v := range header {
			w.Header().Set(k, v)
		}
		w.WriteHeader(status)
	}))
	defer s.Close()
	c := New(Config{})
	defer c.Close()
	a := port.Attempt{ID: "a-1", Endpoint: release.Endpoint{URL: s.URL}, Stage: release.Stage{Path: "/x"}}
	callError := func() *verdict.Error {
		_, err := c.Call(t.Context(), a)
		return verdict.From(err)
	}
	is.Equal(callError().Verdict, verdict.MayHaveRun)
	header[port.HeaderVerdict] = "not_run"
	is.Equal(callError().Verdict, verdict.MayHaveRun) // without an attempt ID the response may belong to another attempt
	header[port.HeaderAttempt] = a.ID
	header[port.HeaderRetryAfterMs] = "250"
	got := callError()
	is.Equal(got.Verdict, verdict.NotRun)
	is.Equal(got.Code, verdict.CodeNoCapacity)
	is.Equal(got.RetryAfter, 250*time.Millisecond)
	header[port.HeaderVerdict] = "ran"
	is.Equal(callError().Verdict, verdict.MayHaveRun)
}

func TestInvalidAttemptsAreNotSent(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlain(warmBackend("p"), nil)
	c, valid := startStandin(t, p, release.KindPlain)
	for _, change := range []func(*port.Attempt){
		func(a *port.Attempt) { a.IdempotencyKey = "k\r\nX: y" },
		func(a *port.Attempt) { a.IdempotencyKey = strings.Repeat("k", 600) },
		func(a *port.Attempt) { a.ID = "a b" },
		func(a *port.Attempt) { a.Stage.Path = "/../admin" },
		func(a *port.Attempt) { a.Stage.Path = "/a?b=c" },
		func(a *port.Attempt) { a.Endpoint.URL = "http://127.0.0.1:1/x" },
		func(a *port.Attempt) { a.Input = json.RawMessage("{") },
		func(a *port.Attempt) { a.Deadline = time.Unix(0, 0) },
	} {
		a := valid
		change(&a)
		_, err := c.Call(t.Context(), a)
		is.Equal(verdict.Of(err), verdict.NotRun)
	}
	is.Equal(p.Stats().Started, 0)
}

// TestResponseSizeIsLimited sends an endless response to a client with a limit of
// 100,000 bytes.
func TestResponseSizeIsLimited(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(port.HeaderAttempt, r.Header.Get(port.HeaderAttempt))
		line := "data: {\"choices\":[{\"text\":\"" + strings.Repeat("x", 1000) + "\"}]}\n\n"
		for {
			if _, err := w.Write([]byte(line)); err != nil {
				return
			}
		}
	}))
	s.Listener.Close()
	s.Listener = l
	s.Start()
	defer s.Close()
	c := New(Config{MaxResponseBytes: 100_000})
	defer c.Close()
	a := port.Attempt{ID: "a-1", Endpoint: release.Endpoint{URL: s.URL}, Stage: release.Stage{Path: "/x"}}
	for _, kind := range []release.ServiceKind{release.KindEngine, release.KindPool} {
		a.Service.Kind = kind
		_, err = c.Call(t.Context(), a)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	}
}

// TestOrderVerdictsAndStaleTokenRefusal checks that an order whose response is lost may
// have run, and that an order with an older fencing token and a call for a model that
// is not loaded are refused without running.
func TestOrderVerdictsAndStaleTokenRefusal(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e"), Model: "topo", Version: "1", ChecksFence: true})
	c, a := startStandin(t, e, release.KindEngine)
	order := port.Order{ID: "8/h/1", Kind: port.OrderRole, Role: "decode"}
	e.DropOrderResponses(1)
	is.Equal(verdict.Of(c.Send(t.Context(), a.Endpoint, 8, order)), verdict.MayHaveRun)
	state, err := c.State(t.Context(), a.Endpoint)
	is.NoErr(err)
	is.Equal(state.LastOrder, order.ID) // the order was accepted although the response was lost
	order.ID = "7/h/1"
	is.Equal(verdict.Of(c.Send(t.Context(), a.Endpoint, 7, order)), verdict.NotRun)
	is.Equal(e.OrderStats().RefusedStale, 1)
	a.Service.Model = "unknown"
	_, err = c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.NotRun) // the model is not loaded
}
