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

// serveResponse serves one connection with fixed bytes and closes it.
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

func TestIncompleteBodyIsAnError(t *testing.T) {
	for name, row := range map[string]struct {
		bytes string
		body  string
		whole bool
	}{
		"length":               {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", true},
		"length cut":           {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", "", false},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"cut between chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", false},
		"cut in a chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", "", false},
		"cut before the end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "", false},
		"ends with connection": {"HTTP/1.1 200 OK\r\n\r\nhello", "hello", true},
		"interim first":        {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"no content":           {"HTTP/1.1 204 No Content\r\n\r\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(Config{})
			defer p.Close()
			body, _, err := getBody(context.Background(), p, serveResponse(t, row.bytes))
			is.Equal(err == nil, row.whole)
			if row.whole {
				is.Equal(body, row.body)
			}
		})
	}
}

func TestResponseToEarlierCallIsDiscarded(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	addr := serveResponse(t, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew")
	var got string
	_, err := p.Exchange(context.Background(), addr, false, Call{
		Write:   func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err },
		Matches: func(r *fasthttp.Response) bool { return string(r.Header.Peek("X-Id")) == "new" },
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
