package httpapi_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// response is an HTTP response of a host. Body is decoded if it is JSON.
type response struct {
	Status int
	Header http.Header
	Body   struct {
		RequestID string            `json:"request_id"`
		Pipeline  string            `json:"pipeline"`
		Output    json.RawMessage   `json:"output"`
		Stages    []json.RawMessage `json:"stages"`
		Cost      int64             `json:"cost"`
		Version   uint64            `json:"release_version"`
		Error     struct {
			Code         string `json:"code"`
			Message      string `json:"message"`
			Verdict      string `json:"verdict"`
			RetryAfterMs int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
}

// sendRequest sends a request and returns its response. It fails the test if there is
// none, or if a JSON body is invalid.
func sendRequest(t *testing.T, method, url, body string, headers map[string]string) response {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	r := response{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		if err := json.Unmarshal(data, &r.Body); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
	}
	return r
}

func customerHeader(name string) map[string]string {
	return map[string]string{"Pimentorill-Customer": name}
}

const validBody = `{"input":"is the north face dry?"}`

func TestResponsesHaveDocumentedStatusAndErrorCode(t *testing.T) {
	bed := testbed.Start(t, testbed.Config{AdjustSettings: func(s *settings.Settings) { s.Limits.MaxBodyBytes = 2048 }})
	callers := "http://" + bed.Hosts[0].Address("callers")
	operators := "http://" + bed.Hosts[0].Address("operators")
	run := callers + "/v1/pipelines/guidebook/runs"
	headersWith := func(k, v string) map[string]string { return map[string]string{"Pimentorill-Customer": "triglav", k: v} }
	token := map[string]string{"Authorization": "Bearer " + testbed.OperatorToken}
	cases := []struct {
		name, method, url, body string
		headers                 map[string]string
		status                  int
		code                    string
	}{
		{"run without streaming", "POST", run, validBody, customerHeader("triglav"), 200, ""},
		{"deadline above the pipeline's deadline", "POST", run, validBody, headersWith("Pimentorill-Deadline-Ms", "60000"), 200, ""},
		{"no customer", "POST", run, validBody, nil, 400, "bad_input"},
		{"unknown customer", "POST", run, validBody, customerHeader("nobody"), 400, "bad_input"},
		{"invalid customer name", "POST", run, validBody, customerHeader("a b"), 400, "bad_input"},
		{"negative deadline", "POST", run, validBody, headersWith("Pimentorill-Deadline-Ms", "-1"), 400, "bad_input"},
		{"bad JSON", "POST", run, `{"input":`, customerHeader("triglav"), 400, "bad_input"},
		{"no input", "POST", run, `{}`, customerHeader("triglav"), 400, "bad_input"},
		{"unknown field", "POST", run, `{"input":1,"x":2}`, customerHeader("triglav"), 400, "bad_input"},
		{"data after the JSON body", "POST", run, `{"input":1}{}`, customerHeader("triglav"), 400, "bad_input"},
		{"deep nesting", "POST", run, `{"input":` + strings.Repeat("[", 2000) + `}`, customerHeader("triglav"), 400, "bad_input"},
		{"body over the limit", "POST", run, `{"input":"` + strings.Repeat("x", 4096) + `"}`, customerHeader("triglav"), 413, "too_large"},
		{"unknown pipeline", "POST", callers + "/v1/pipelines/nothing/runs", validBody, customerHeader("triglav"), 404, "not_found"},
		{"encoded slashes in the pipeline name", "POST", callers + "/v1/pipelines/..%2f..%2fetc/runs", validBody, customerHeader("triglav"), 404, "not_found"},
		{"wrong method", "GET", run, "", customerHeader("triglav"), 405, "method_not_allowed"},
		{"at-most-once pipeline without an idempotency key", "POST", callers + "/v1/pipelines/booking/runs", validBody, customerHeader("triglav"), 400, "bad_input"},
		{"idempotency key too long", "POST", run, validBody, headersWith("Idempotency-Key", strings.Repeat("k", 300)), 400, "bad_input"},
		{"operator call on the callers' listener", "GET", callers + "/v1/admin/status", "", token, 404, "not_found"},
		{"operator call without a token", "GET", operators + "/v1/admin/status", "", nil, 401, "unauthorized"},
		{"operator call with a wrong token", "GET", operators + "/v1/admin/status", "", map[string]string{"Authorization": "Bearer x"}, 401, "unauthorized"},
		{"unknown operator call", "GET", operators + "/v1/admin/nothing", "", token, 404, "not_found"},
		{"malformed release note", "POST", operators + "/v1/admin/release/apply", "id: [", token, 400, "bad_input"},
		{"release note with an outdated base", "POST", operators + "/v1/admin/release/apply", "id: n\nbase: 0\nwithdrawn: {customers: [tazalyk]}", token, 409, "conflict"},
		{"unknown zone", "POST", operators + "/v1/admin/zones/nowhere/out", "", token, 404, "not_found"},
		{"status", "GET", operators + "/v1/admin/status", "", token, 200, ""},
		{"health", "GET", callers + "/healthz", "", nil, 200, ""},
		{"ready", "GET", callers + "/readyz", "", nil, 200, ""},
		{"metrics", "GET", callers + "/metrics", "", nil, 200, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := sendRequest(t, c.method, c.url, c.body, c.headers)
			is.Equal(got.Status, c.status)
			is.Equal(got.Body.Error.Code, c.code)
			if c.code != "" {
				is.Equal(got.Body.Error.Verdict, "not_run")
				is.True(got.Body.Error.Message != "")
			}
		})
	}
}

func TestRunResponseListsStagesAndCost(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	got := sendRequest(t, "POST", "http://"+bed.Hosts[0].Address("callers")+"/v1/pipelines/guidebook/runs", validBody, customerHeader("triglav"))
	is.Equal(got.Status, 200)
	is.Equal(len(got.Body.Stages), 4) // encode, retrieve, rerank and generate
	is.Equal(got.Body.Version, uint64(1))
	is.True(got.Body.RequestID != "")
	var charged int64
	for _, row := range bed.Hosts[0].App().CostRows() {
		charged += row.Amount
	}
	is.Equal(got.Body.Cost, charged)
}

func TestStreamEndsWithResultEvent(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	req, err := http.NewRequest("POST", "http://"+bed.Hosts[0].Address("callers")+"/v1/pipelines/guidebook/runs", strings.NewReader(validBody))
	is.NoErr(err)
	req.Header.Set("Pimentorill-Customer", "triglav")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	events := map[string]int{}
	last := ""
	text := ""
	var output string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			events[name]++
			last = name
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			var d struct{ Text, Output string }
			is.NoErr(json.Unmarshal([]byte(data), &d))
			text += d.Text
			output = d.Output
		}
	}
	is.Equal(events["token"], testbed.DefaultFleet.MaxTokens)
	is.Equal(events["stage"], 0) // sent only if the request asks for them
	is.Equal(events["result"], 1)
	is.Equal(last, "result")
	is.Equal(text, output)
}

func TestClientDisconnectCancelsRun(t *testing.T) {
	for name, accept := range map[string]string{"JSON response": "", "stream": "Accept: text/event-stream\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := testbed.DefaultFleet
			cfg.Zones = cfg.Zones[:1]
			cfg.TokenTime = time.Hour // the run ends only if it is cancelled
			bed := testbed.Start(t, testbed.Config{Fleet: cfg})
			conn, err := net.Dial("tcp", bed.Hosts[0].Address("callers"))
			is.NoErr(err)
			_, err = fmt.Fprintf(conn, "POST /v1/pipelines/guidebook/runs HTTP/1.1\r\nHost: x\r\nPimentorill-Customer: triglav\r\n%sContent-Length: %d\r\n\r\n%s", accept, len(validBody), validBody)
			is.NoErr(err)
			engine := bed.Fleet.Engines[standin.ServiceEngines+"-ljubljana-1"]
			is.NoErr(engine.Wait(t.Context(), func(l port.LoadReport, _ standin.Stats) bool { return l.Running == 1 }))
			is.NoErr(conn.Close())
			is.NoErr(engine.Wait(t.Context(), func(l port.LoadReport, _ standin.Stats) bool { return l.Running == 0 }))
			bed.Hosts[0].Stop()
			traces := bed.Hosts[0].App().Traces()
			is.Equal(len(traces), 1)
			is.Equal(string(traces[0].Error.Code), "caller_cancelled")
		})
	}
}

// The first connection sends a request and stays open, so that the second one is over
// the limit.
func TestConnectionsOverLimitGet503(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{AdjustSettings: func(s *settings.Settings) { s.Limits.MaxConnections = 1 }})
	address := bed.Hosts[0].Address("callers")
	open, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer open.Close()
	_, err = io.WriteString(open, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_, err = open.Read(make([]byte, 1))
	is.NoErr(err)
	got := sendRequest(t, "GET", "http://"+address+"/healthz", "", nil)
	is.Equal(got.Status, 503)
	is.Equal(got.Body.Error.Verdict, "not_run")
}

func TestRequestReadTimeoutGets400(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{AdjustSettings: func(s *settings.Settings) { s.Limits.ReadTimeoutMs = 100 }})
	conn, err := net.Dial("tcp", bed.Hosts[0].Address("callers"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/pipelines/guidebook/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 400)
}
