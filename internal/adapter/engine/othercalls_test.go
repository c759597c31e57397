package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestCopyOfAnAttemptsResponseIsNoReport guards against an attempt that is charged what another
// one used, because a late copy of that one's response was taken for the report of the usage.
func TestCopyOfAnAttemptsResponseIsNoReport(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	response := func(header, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		attempt := ""
		for r := bufio.NewReader(c); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if id := request.Header.Get(port.HeaderAttempt); id != "" {
				attempt = response(port.HeaderAttempt+": "+id+"\r\n", `{"output":1,"usage":{"calls":1000}}`)
				_, _ = io.WriteString(c, attempt)
				continue
			}
			_, _ = io.WriteString(c, attempt+response("", `{"usage":{"calls":7},"ended":true}`))
		}
	}()
	c := New(Config{})
	defer c.Close()
	e := release.Endpoint{ID: "e", URL: "http://" + l.Addr().String()}
	_, err = c.Call(t.Context(), port.Attempt{ID: "a-1", Endpoint: e, Service: release.Service{Name: "s", Kind: release.KindPlain}, Stage: release.Stage{Path: "/v1/call"}, Input: []byte(`1`)})
	is.NoErr(err)
	for range 2 {
		usage, ended, err := c.AttemptUsage(t.Context(), e, "a-0")
		is.NoErr(err)
		is.True(ended)
		is.Equal(usage.Calls, int64(7))
	}
}
