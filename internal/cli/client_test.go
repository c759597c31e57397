package cli

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer has serve handle each connection to the address that it returns.
func startServer(t *testing.T, serve func(c *net.TCPConn, request *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				serve(c.(*net.TCPConn), request)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// TestOddAnswersAreNone guards against results that are taken from a response as no host sends it.
func TestOddAnswersAreNone(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\n{}")
			})
			run := newTool(t, map[string]string{"PIMENTORILL_OPERATORS": "http://" + address, "PIMENTORILL_TOKEN": "t", "PIMENTORILL_ACTOR": "ana"})
			is.Equal(run("status", "-o", "json").exitCode, ExitMayHaveRun)
		})
	}
}

// TestResponseResetWithinAnUploadIsNotComplete guards against the beginning of a response that passes
// for the whole one: its server resets the connection while the request is still being sent.
func TestResponseResetWithinAnUploadIsNotComplete(t *testing.T) {
	upload := []byte(strings.Repeat("b", 16<<20)) // more than the sockets hold
	for name, head := range map[string]string{
		"no length":       "HTTP/1.1 200 OK\r\n\r\n",
		"stream":          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
		"length":          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"after the close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(name+" "+delay.String(), func(t *testing.T) {
				is := is.New(t)
				address := startServer(t, func(c *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(c, head+"part")
					time.Sleep(delay)
					_ = c.SetLinger(0)
				})
				c := newClient(Config{})
				for range 10 {
					read := ""
					err := c.send(request{method: "POST", url: "http://" + address + "/v1/x", body: upload}, func(body io.Reader) error {
						raw, err := io.ReadAll(body)
						read = string(raw)
						return err
					})
					is.True(err != nil)
					is.True(read == "" || read == "part")
				}
			})
		}
	}
}

// TestResponseThatEndsBetweenChunksIsNotComplete guards against the beginning of a response in chunks
// that passes for the whole one.
func TestResponseThatEndsBetweenChunksIsNotComplete(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")
	})
	run := newTool(t, map[string]string{"PIMENTORILL_OPERATORS": "http://" + address, "PIMENTORILL_TOKEN": "t", "PIMENTORILL_ACTOR": "ana"})
	is.True(run("status", "-o", "json").exitCode != ExitOK)
}
