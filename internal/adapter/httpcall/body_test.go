package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveResponse accepts one connection, reads the request line, writes the bytes and
// ends its side of the connection. It returns the listener's address.
func serveResponse(t *testing.T, bytes string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, bytes)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		c.Close()
	}()
	t.Cleanup(func() { l.Close(); <-served })
	return l.Addr().String()
}

// TestIncompleteBodyIsAnError checks that a body is returned if it is complete and that
// an incomplete one is an error.
func TestIncompleteBodyIsAnError(t *testing.T) {
	for name, tc := range map[string]struct {
		bytes    string
		wantBody string
		complete bool
	}{
		"content length":                        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", true},
		"content length, truncated":             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", "", false},
		"chunked":                               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"truncated between chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", false},
		"truncated within a chunk":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", "", false},
		"truncated before the final empty line": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "", false},
		"ends with the connection":              {"HTTP/1.1 200 OK\r\n\r\nhello", "hello", true},
		"after an interim response":             {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"no content":                            {"HTTP/1.1 204 No Content\r\n\r\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(Config{})
			defer p.Close()
			body, _, err := getBody(context.Background(), p, serveResponse(t, tc.bytes))
			is.Equal(err == nil, tc.complete)
			if tc.complete {
				is.Equal(body, tc.wantBody)
			}
		})
	}
}

// TestResponseToEarlierCallIsDiscarded puts a response that does not match before the
// one that does, on the same connection.
func TestResponseToEarlierCallIsDiscarded(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	addr := serveResponse(t, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew")
	var got string
	_, err := p.Exchange(context.Background(), addr, false, Call{
		Write: func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err },
		Matches: func(r *fasthttp.Response, _ bool) Match {
			if string(r.Header.Peek("X-Id")) != "new" {
				return MatchOther
			}
			return MatchOwn
		},
		Read: func(r *fasthttp.Response) error {
			raw, err := ReadBody(r, 100)
			got = string(raw)
			return err
		},
	})
	is.NoErr(err)
	is.Equal(got, "new")
}

func TestServerKeepAliveLimitsIdleTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(parseKeepAliveTimeout("timeout=5, max=100"), 5*time.Second-keepAliveMargin)
	is.Equal(parseKeepAliveTimeout("max=100"), time.Duration(0))
	is.Equal(parseKeepAliveTimeout("timeout=x"), time.Duration(0))
	p := New(Config{IdleTimeout: 10 * time.Second})
	is.Equal(p.idleTimeoutOf(&conn{serverIdleTimeout: time.Second}), time.Second)
	is.Equal(p.idleTimeoutOf(&conn{}), 10*time.Second)
}
