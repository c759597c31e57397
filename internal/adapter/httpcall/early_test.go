package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveEarlyResponse serves two requests on one connection. It responds to the first
// before it reads the body, and to the second afterwards. It sends both bodies to the
// channel got.
func serveEarlyResponse(l net.Listener, got chan<- []byte) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		length := readContentLength(r)
		response := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		if i == 0 {
			_, _ = io.WriteString(c, response)
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		if i == 1 {
			_, _ = io.WriteString(c, response)
		}
		got <- body
	}
}

// readContentLength reads a request's header and returns its Content-Length.
func readContentLength(r *bufio.Reader) int {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return length
		}
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
}

// TestConnectionStaysUsableAfterResponseBeforeBodyIsRead checks that a server that
// responds before it has read a long body, and keeps the connection open, receives the
// rest of that body before the next request.
func TestConnectionStaysUsableAfterResponseBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	got := make(chan []byte, 2)
	go serveEarlyResponse(l, got)
	p := New(Config{})
	defer p.Close()
	addr := l.Addr().String()
	for _, fill := range []string{"a", "b"} {
		body := bytes.Repeat([]byte(fill), 256<<10)
		req := fasthttp.AcquireRequest()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + addr + "/")
		req.SetBody(body)
		status := 0
		sent, err := p.Do(context.Background(), addr, req, false, func(resp *fasthttp.Response) error {
			status = resp.StatusCode()
			return nil
		})
		fasthttp.ReleaseRequest(req)
		is.NoErr(err)
		is.Equal(status, fasthttp.StatusServiceUnavailable)
		is.True(sent > len(body))
		is.True(bytes.Equal(<-got, body))
	}
}
