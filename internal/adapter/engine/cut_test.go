package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// answer is what a server sends on a connection before it closes or resets it.
type answer struct {
	text  string
	reset bool
}

// serveAnswers serves each connection with the next answer that is sent to the channel. It
// returns the server's URL.
func serveAnswers(t *testing.T) (string, chan<- answer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answers, served := make(chan answer, 1), make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			next := <-answers
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, next.text)
			if next.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	t.Cleanup(func() { l.Close(); <-served })
	return "http://" + l.Addr().String(), answers
}

const (
	engineStream = `data: {"choices":[{"text":"a"}]}` + "\n\n" + `data: {"choices":[{"text":"b","finish_reason":"stop"}],"usage":{}}` + "\n\ndata: [DONE]\n\n"
	callOutput   = `{"output":{"seat":7},"usage":{}}`
)

// resumedAttempt returns an attempt that resumes a stream, or calls a plain service.
func resumedAttempt(url string, kind release.ServiceKind) port.Attempt {
	a := port.Attempt{ID: "a-2", Endpoint: release.Endpoint{ID: "e", URL: url}, Service: release.Service{Name: "s", Kind: kind}, Stage: release.Stage{Path: "/v1/x", MaxTokens: 20}, Input: json.RawMessage(`"p"`)}
	if kind == release.KindEngine {
		a.ResumeTokens, a.ResumeText = 2, "12"
	}
	return a
}

// TestAnswerCutAnywhereIsNoResult guards against a part of a response, of its head too, that
// passes for a result: of a resumed stream, and of a call.
func TestAnswerCutAnywhereIsNoResult(t *testing.T) {
	for name, tc := range map[string]struct {
		kind         release.ServiceKind
		header, body string
	}{
		"stream until close": {release.KindEngine, "Content-Type: text/event-stream\r\n", engineStream},
		"stream in chunks":   {release.KindEngine, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(engineStream), engineStream)},
		"call with a length": {release.KindPlain, fmt.Sprintf("Content-Length: %d\r\n", len(callOutput)), callOutput},
		"call until close":   {release.KindPlain, "", callOutput},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url, answers := serveAnswers(t)
			a := resumedAttempt(url, tc.kind)
			whole := "HTTP/1.1 200 OK\r\n" + port.HeaderAttempt + ": a-2\r\n" + tc.header + "\r\n" + tc.body
			// A stream is whole with the event that ends it.
			minimum := len(whole)
			if i := strings.Index(whole, "[DONE]\n\n"); i >= 0 {
				minimum = i + len("[DONE]\n\n")
			}
			for end := range len(whole) + 1 {
				for _, reset := range []bool{false, true} {
					if reset && end >= minimum {
						continue
					}
					c := New(Config{})
					answers <- answer{whole[:end], reset}
					result, err := c.Call(t.Context(), a)
					c.Close()
					is.Equal(err == nil, end >= minimum)
					is.Equal(result.Output == nil, err != nil)
					is.True(err == nil || verdict.Of(err) == verdict.MayHaveRun)
				}
			}
		})
	}
}

// TestOtherAnswerToAResumptionIsNoRest guards against the text of an error in a stream that
// is resumed, and against a stream that is completed without its end.
func TestOtherAnswerToAResumptionIsNoRest(t *testing.T) {
	for name, response := range map[string]string{
		"no content":       "204 No Content\r\n\r\n",
		"partial content":  "206 Partial Content\r\n\r\n" + engineStream,
		"failed":           "500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
		"failed as stream": "502 Bad Gateway\r\n\r\n" + engineStream,
		"redirect":         "302 Found\r\nContent-Length: 0\r\n\r\n",
		"no body":          "200 OK\r\nContent-Length: 0\r\n\r\n",
		"no event":         "200 OK\r\n\r\n: a\n\n",
		"only the end":     "200 OK\r\n\r\ndata: [DONE]\n\n",
		"text":             "200 OK\r\n\r\nfailed\n\n",
		"error as event":   "200 OK\r\n\r\ndata: {\"error\":\"failed\"}\n\ndata: [DONE]\n\n",
		"text as event":    "200 OK\r\n\r\ndata: failed\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url, answers := serveAnswers(t)
			a := resumedAttempt(url, release.KindEngine)
			a.OnToken = func(text string) { t.Errorf("token %q", text) }
			c := New(Config{})
			defer c.Close()
			status, rest, _ := strings.Cut(response, "\r\n")
			answers <- answer{text: "HTTP/1.1 " + status + "\r\n" + port.HeaderAttempt + ": a-2\r\n" + rest}
			result, err := c.Call(t.Context(), a)
			is.True(err != nil)
			is.Equal(result.Text, "")
			is.True(result.Output == nil)
		})
	}
}
