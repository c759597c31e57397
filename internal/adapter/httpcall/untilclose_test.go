package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveConns has serve handle each connection until the test ends. It returns the address
// and a function that returns the number of connections so far.
func serveConns(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader)) (string, func() int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted atomic.Int64
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			serve(c.(*net.TCPConn), bufio.NewReader(c))
			c.Close()
		}
	}()
	t.Cleanup(func() { l.Close(); <-served })
	return l.Addr().String(), accepted.Load
}

// TestResponseUntilCloseIsComplete checks that a response that ends with its connection is
// complete, and that the next call opens a new connection although the server still reads.
func TestResponseUntilCloseIsComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		header, body string
		status       int
		noBody, skip bool // skip leaves the body unread
	}{
		"success":          {header: "HTTP/1.1 200 OK\r\n", body: "hello", status: 200},
		"error":            {header: "HTTP/1.1 500 Internal Server Error\r\n", body: "fail", status: 500},
		"refusal":          {header: "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\n", body: "full", status: 503, skip: true},
		"empty body":       {header: "HTTP/1.1 200 OK\r\n", status: 200},
		"empty error":      {header: "HTTP/1.1 503 Service Unavailable\r\n", status: 503},
		"HEAD":             {header: "HTTP/1.1 200 OK\r\n", status: 200, noBody: true},
		"keep-alive":       {header: "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n", body: "hello", status: 200},
		"HTTP/1.0, chunks": {header: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", body: "hello", status: 200},
		"long":             {header: "HTTP/1.1 200 OK\r\n", body: strings.Repeat("x", 1<<20), status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, accepted := serveConns(t, func(c *net.TCPConn, r *bufio.Reader) {
				_ = readContentLength(r)
				_, _ = io.WriteString(c, tc.header+"\r\n"+tc.body)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, r)
			})
			p := New(Config{})
			defer p.Close()
			for i := range int64(3) {
				status, body := 0, ""
				_, err := p.Exchange(context.Background(), addr, false, Call{
					Write:  func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err },
					NoBody: tc.noBody,
					Read: func(r *fasthttp.Response) error {
						status = r.StatusCode()
						if tc.skip {
							return nil
						}
						raw, err := ReadBody(r, int64(len(tc.body)))
						body = string(raw)
						return err
					},
				})
				is.NoErr(err)
				is.Equal(status, tc.status)
				is.True(tc.skip || body == tc.body)
				is.Equal(accepted(), i+1)
			}
		})
	}
}

// TestResetIsNoEndOfResponse guards against a reset that is taken for the end of a response
// that ends with its connection, and against a header that ends with it.
func TestResetIsNoEndOfResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		bytes string
		reset bool
	}{
		"within the body":     {"HTTP/1.1 200 OK\r\n\r\nhel", true},
		"before the body":     {"HTTP/1.1 200 OK\r\n\r\n", true},
		"within an error":     {"HTTP/1.1 500 Internal Server Error\r\n\r\nfa", true},
		"within the header":   {"HTTP/1.1 200 OK\r\nX-A: b\r\n", true},
		"closed in a header":  {"HTTP/1.1 200 OK\r\nX-A: b\r\n", false},
		"closed in a field":   {"HTTP/1.1 200 OK\r\nContent-Length: 1", false},
		"malformed length":    {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhello", false},
		"two lengths":         {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello", false},
		"other coding":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello", false},
		"closed in a chunk":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhel", false},
		"reset after a chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := serveConns(t, func(c *net.TCPConn, r *bufio.Reader) {
				_ = readContentLength(r)
				_, _ = io.WriteString(c, tc.bytes)
				if tc.reset {
					_ = c.SetLinger(0)
				}
			})
			p := New(Config{})
			defer p.Close()
			_, sent, err := getBody(context.Background(), p, addr)
			is.True(err != nil)
			is.True(sent > 0)
		})
	}
}

// TestEndOfContextIsNoEndOfResponse guards against a body that is cut by the end of the
// call's own context and looks complete.
func TestEndOfContextIsNoEndOfResponse(t *testing.T) {
	is := is.New(t)
	addr, _ := serveConns(t, func(c *net.TCPConn, r *bufio.Reader) {
		_ = readContentLength(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhel")
		_, _ = io.Copy(io.Discard, r)
	})
	p := New(Config{})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/")
	_, err := p.Do(ctx, addr, req, false, func(r *fasthttp.Response) error {
		var first [1]byte
		_, err := io.ReadFull(r.BodyStream(), first[:])
		is.NoErr(err)
		cancel()
		_, err = ReadBody(r, 100)
		return err
	})
	is.True(err != nil)
}

// TestBodyUntilCloseIsLimited checks a body at its size limit and one over it.
func TestBodyUntilCloseIsLimited(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	body, _, err := getBody(context.Background(), p, serveResponse(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 1<<10)))
	is.NoErr(err)
	is.Equal(len(body), 1<<10)
	_, _, err = getBody(context.Background(), p, serveResponse(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 1<<10+1)))
	is.Equal(err, ErrTooLarge)
}

// TestEarlyResponseUntilCloseIsComplete checks that a server that responds before it reads
// a long body, ends its side and reads on is understood.
func TestEarlyResponseUntilCloseIsComplete(t *testing.T) {
	is := is.New(t)
	const length = 8 << 20 // more than the sockets hold
	got := make(chan int64, 1)
	addr, _ := serveConns(t, func(c *net.TCPConn, r *bufio.Reader) {
		_ = readContentLength(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhello")
		_ = c.CloseWrite()
		n, _ := io.Copy(io.Discard, r)
		got <- n
	})
	p := New(Config{})
	defer p.Close()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/")
	req.SetBodyRaw(bytes.Repeat([]byte("b"), length))
	var body []byte
	_, err := p.Do(context.Background(), addr, req, false, func(r *fasthttp.Response) error {
		var err error
		body, err = ReadBody(r, 100)
		return err
	})
	is.NoErr(err)
	is.Equal(string(body), "hello")
	is.Equal(<-got, int64(length))
}
