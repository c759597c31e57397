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

type starter interface {
	Start() error
	Close()
	URL() string
}

// begin starts a stand-in and returns a client and an attempt for it.
func begin(t *testing.T, s starter, kind release.ServiceKind) (*Client, port.Attempt) {
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

func warm(id string) standin.BackendConfig {
	return standin.BackendConfig{ID: id, Slots: 4, StartsWarm: true}
}

func TestStreamResumesBehindTheTokensAlreadyReceived(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warm("e")})
	c, a := begin(t, e, release.KindEngine)
	e.BreakStreams(1, 7)
	part, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(part.Tokens, 7)
	is.Equal(part.Text, standin.Completion(prompt, 7))
	a.ID, a.ResumeTokens, a.ResumeText = "a-2", part.Tokens, part.Text
	rest, err := c.Call(t.Context(), a)
	is.NoErr(err)
	var whole string
	is.NoErr(json.Unmarshal(rest.Output, &whole))
	is.Equal(whole, standin.Completion(prompt, 20))
	usage, ended, err := c.AttemptUsage(t.Context(), a.Endpoint, "a-1")
	is.NoErr(err)
	is.True(ended)
	is.Equal(usage.Add(rest.Usage), e.Charged())
	is.True(rest.Load != nil)
}

func TestCancelStopsTheWorkOnTheEngine(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warm("e"), TokenTime: time.Hour})
	c, a := begin(t, e, release.KindEngine)
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

func TestVerdicts(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlain(warm("p"), nil)
	c, a := begin(t, p, release.KindPlain)
	a.IdempotencyKey = "booking-1"

	p.LoseAnswers(1)
	_, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(p.Register().Runs("booking-1"), 1)

	p.CrossAnswers(1)
	a.ID, a.IdempotencyKey = "a-2", "booking-2"
	got, err := c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.True(got.Output == nil) // a crossed answer is not handed on

	p.Crash()
	a.ID, a.IdempotencyKey = "a-3", "booking-3"
	got, err = c.Call(t.Context(), a)
	is.NoErr(err)
	is.True(got.Load.Cold)

	p.Close()
	a.ID, a.IdempotencyKey = "a-4", "booking-4"
	_, err = c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(p.Register().Runs("booking-4"), 0)
}

func TestColdLimitOverrunCutsOffAllWork(t *testing.T) {
	is := is.New(t)
	cfg := standin.BackendConfig{ID: "p", Slots: 4, ColdLimit: 1, WorkTime: time.Hour}
	p := standin.NewPool(cfg)
	c, a := begin(t, p, release.KindPool)
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
	is.Equal(p.Stats().MaxCold, 2)
}

func TestRefusalIsNotRunOnlyIfTheEndpointSaysSo(t *testing.T) {
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
	call := func() *verdict.Error {
		_, err := c.Call(t.Context(), a)
		return verdict.From(err)
	}
	is.Equal(call().Verdict, verdict.MayHaveRun)
	header[port.HeaderVerdict] = "not_run"
	is.Equal(call().Verdict, verdict.MayHaveRun) // no attempt id: it may be another's refusal
	header[port.HeaderAttempt] = a.ID
	header[port.HeaderRetryAfterMs] = "250"
	got := call()
	is.Equal(got.Verdict, verdict.NotRun)
	is.Equal(got.Code, verdict.CodeNoCapacity)
	is.Equal(got.RetryAfter, 250*time.Millisecond)
	header[port.HeaderVerdict] = "ran"
	is.Equal(call().Verdict, verdict.MayHaveRun)
}

func TestNothingUncheckedGetsIntoTheRequest(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlain(warm("p"), nil)
	c, good := begin(t, p, release.KindPlain)
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
		a := good
		change(&a)
		_, err := c.Call(t.Context(), a)
		is.Equal(verdict.Of(err), verdict.NotRun)
	}
	is.Equal(p.Stats().Started, 0)
}

func TestAnswersAreBounded(t *testing.T) {
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
	c := New(Config{MaxAnswerBytes: 100_000})
	defer c.Close()
	a := port.Attempt{ID: "a-1", Endpoint: release.Endpoint{URL: s.URL}, Stage: release.Stage{Path: "/x"}}
	for _, kind := range []release.ServiceKind{release.KindEngine, release.KindPool} {
		a.Service.Kind = kind
		_, err = c.Call(t.Context(), a)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	}
}

func TestOrdersOverHTTP(t *testing.T) {
	is := is.New(t)
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warm("e"), Model: "topo", Version: "1", ChecksFence: true})
	c, a := begin(t, e, release.KindEngine)
	load := port.Order{ID: "8/h/1", Kind: port.OrderRole, Role: "decode"}
	e.LoseOrderAnswers(1)
	is.Equal(verdict.Of(c.Send(t.Context(), a.Endpoint, 8, load)), verdict.MayHaveRun)
	state, err := c.State(t.Context(), a.Endpoint)
	is.NoErr(err)
	is.Equal(state.LastOrder, load.ID) // it was taken
	load.ID = "7/h/1"
	is.Equal(verdict.Of(c.Send(t.Context(), a.Endpoint, 7, load)), verdict.NotRun)
	is.Equal(e.OrderStats().Refused, 1)
	a.Service.Model = "unknown"
	_, err = c.Call(t.Context(), a)
	is.Equal(verdict.Of(err), verdict.NotRun) // a model that is not loaded
}
