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
	"time"

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

// TestResponseIsReadThoughTheServerStopsReading guards against a response that is lost
// because its server closes the connection with part of a long body unread, so that the
// body can't be sent. Such a response is complete only if its length or chunks say so.
func TestResponseIsReadThoughTheServerStopsReading(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		complete bool
	}{
		"refusal with length": {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfull", true},
		"refusal in chunks":   {"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", true},
		"until close":         {"HTTP/1.1 503 Service Unavailable\r\n\r\nfull", false},
		"cut in the body":     {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nfull", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := serveConns(t, func(c *net.TCPConn, r *bufio.Reader) {
				_ = readContentLength(r)
				_, _ = io.WriteString(c, tc.response)
				time.Sleep(20 * time.Millisecond) // the body fills the sockets
			})
			p := New(Config{})
			defer p.Close()
			for range 2 {
				req := fasthttp.AcquireRequest()
				req.Header.SetMethod(fasthttp.MethodPost)
				req.SetRequestURI("http://" + addr + "/")
				req.SetBodyRaw(bytes.Repeat([]byte("b"), 16<<20))
				status, body := 0, ""
				_, err := p.Do(context.Background(), addr, req, false, func(resp *fasthttp.Response) error {
					status = resp.StatusCode()
					raw, err := ReadBody(resp, 100)
					body = string(raw)
					return err
				})
				fasthttp.ReleaseRequest(req)
				is.Equal(status, 503)
				is.Equal(err == nil, tc.complete)
				is.Equal(body == "full", tc.complete)
			}
		})
	}
}
