package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// connTo returns a connection whose other end serve has after it has read the request.
// The connection is idle in the returned pool, under the address "server".
func connTo(t *testing.T, serve func(server net.Conn)) *Pool {
	t.Helper()
	client, server := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer server.Close()
		_ = readContentLength(bufio.NewReader(server))
		serve(server)
	}()
	p := New(Config{})
	p.release("server", newConn(client))
	t.Cleanup(func() { p.Close(); <-served })
	return p
}

// writeParts writes texts with a silence of the same length before each but the first. It
// stops at the first error, which it returns.
func writeParts(w io.Writer, silence time.Duration, parts ...string) error {
	for i, part := range parts {
		if i > 0 {
			time.Sleep(silence)
		}
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
	}
	return nil
}

// TestSilenceInHeaderLosesNoResponse guards against a response that is given up because
// its sound server falls silent inside the header and then goes on.
func TestSilenceInHeaderLosesNoResponse(t *testing.T) {
	for name, parts := range map[string][]string{
		"status line":      {"HTTP/1.", "1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"field":            {"HTTP/1.1 200 OK\r\nContent-Len", "gth: 2\r\n\r\nok"},
		"last line":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r", "\nok"},
		"several":          {"HTTP", "/1.1 200 OK\r\n", "Content-Length: 2\r\n", "\r\n", "ok"},
		"interim response": {"HTTP/1.1 103 Early", " Hints\r\n", "\r\n", "HTTP/1.1", " 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	} {
		for _, silence := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			t.Run(name+" "+silence.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := connTo(t, func(server net.Conn) { _ = writeParts(server, silence, parts...) })
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
					defer cancel()
					body, _, err := getBody(ctx, p, "server")
					is.NoErr(err)
					is.Equal(body, "ok")
				})
			})
		}
	}
}

// TestTricklingHeaderIsGivenUp guards against headers that arrive without end, whatever
// the size of their pieces, and hold a call without a deadline.
func TestTricklingHeaderIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		piece string
		pause time.Duration
		most  time.Duration
	}{
		"a field at a time": {"X-Field: value\r\n", 50 * time.Millisecond, headerTimeout + 100*time.Millisecond},
		"a byte at a time":  {"x", 10 * time.Millisecond, headerTimeout + 100*time.Millisecond},
		"with silences":     {"X-Field: value\r\n", time.Second, 25 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := connTo(t, func(server net.Conn) {
					err := writeParts(server, 0, "HTTP/1.1 200 OK\r\n")
					for err == nil {
						time.Sleep(tc.pause)
						err = writeParts(server, 0, tc.piece)
					}
				})
				start := time.Now()
				_, _, err := getBody(t.Context(), p, "server")
				is.True(err != nil)
				is.True(time.Since(start) <= tc.most)
			})
		})
	}
}

// TestSilenceInHeaderEndsWithContext guards against a call that outlives its context
// because its server stays silent inside the header.
func TestSilenceInHeaderEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := connTo(t, func(server net.Conn) {
			_ = writeParts(server, 0, "HTTP/1.1 200 OK\r\n")
			_, _ = io.Copy(io.Discard, server) // until the call closes the connection
		})
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, sent, err := getBody(ctx, p, "server")
		is.True(err != nil)
		is.True(sent > 0)
		is.Equal(time.Since(start), 400*time.Millisecond)
	})
}

// TestSilenceInOtherResponseLosesNoResponse guards against a response that is given up
// because its server falls silent inside the body of the response to an earlier call.
func TestSilenceInOtherResponseLosesNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := connTo(t, func(server net.Conn) {
			_ = writeParts(server, time.Second, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\n", "old", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		var body []byte
		_, err := p.Exchange(t.Context(), "server", false, Call{
			Write: func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err },
			Matches: func(r *fasthttp.Response, _ bool) Match {
				if len(r.Header.Peek("X-Id")) > 0 {
					return MatchOther
				}
				return MatchOwn
			},
			Read: func(r *fasthttp.Response) error {
				var err error
				body, err = ReadBody(r, 100)
				return err
			},
		})
		is.NoErr(err)
		is.Equal(string(body), "ok")
	})
}
