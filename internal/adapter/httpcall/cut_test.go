package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// cutHeads are heads of responses, without their last empty line.
var cutHeads = map[string]string{
	"length":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: 3e1b.07\r\nContent-Length: 5\r\n",
	"chunks":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nX-Signature: 3e1b.07\r\n",
	"no length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: 3e1b.07\r\n",
	"stream":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n",
	"HTTP/1.0":  "HTTP/1.0 200 OK\r\nX-Id: a\r\n",
	"line feed": "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 5\n",
	"interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n",
	"refusal":   "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n",
}

// cutCall sends a request with a body and reports whether there was a response, and its error.
func cutCall(p *Pool, addr string, body []byte) (responded bool, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/")
	req.SetBodyRaw(body)
	_, err = p.Do(context.Background(), addr, req, false, func(*fasthttp.Response) error {
		responded = true
		return nil
	})
	return responded, err
}

// cut is how a server cuts what it sends on a connection.
type cut struct {
	text string
	// reset resets the connection instead of closing it, after an earlier response with kept
	// and before the request's body is read with unread.
	reset, kept, unread bool
}

// serveCuts serves each connection with the next cut that is sent to the channel.
func serveCuts(t *testing.T) (string, chan<- cut) {
	t.Helper()
	cuts := make(chan cut, 1)
	addr, _ := serveConns(t, func(c *net.TCPConn, r *bufio.Reader) {
		next := <-cuts
		length := readContentLength(r)
		if next.kept {
			_, _ = io.CopyN(io.Discard, r, int64(length))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			length = readContentLength(r)
		}
		if !next.unread {
			_, _ = io.CopyN(io.Discard, r, int64(length))
		}
		_, _ = io.WriteString(c, next.text)
		if next.reset {
			_ = c.SetLinger(0)
		}
	})
	return addr, cuts
}

// TestHeadCutAnywhereIsNoResponse guards against a part of a head that passes for a response
// without a body: the server closes or resets the connection within it, on a new connection or
// after another response, also while the request's body is still being written.
func TestHeadCutAnywhereIsNoResponse(t *testing.T) {
	long := bytes.Repeat([]byte("b"), 16<<20) // more than the sockets hold
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, cuts := serveCuts(t)
			for end := range len(head) + 1 {
				for variant := range 6 {
					next := cut{text: head[:end], reset: variant%2 == 1, kept: variant >= 4, unread: variant == 2 || variant == 3}
					body := []byte("short")
					if next.unread {
						if end%9 != 0 {
							continue
						}
						body = long
					}
					p := New(Config{})
					cuts <- next
					if next.kept {
						_, err := cutCall(p, addr, body)
						is.NoErr(err)
					}
					responded, err := cutCall(p, addr, body)
					p.Close()
					is.True(err != nil)
					is.True(!responded)
				}
			}
		})
	}
}

// TestBodyCutAnywhereIsNoWholeOne guards against a body that ends early, or without its
// mark, and passes for a whole one.
func TestBodyCutAnywhereIsNoWholeOne(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, tc := range map[string]struct {
		head, body string
		untilClose bool
	}{
		"length":     {cutHeads["length"], "hello", false},
		"chunks":     {cutHeads["chunks"], "10\r\n" + events[:16] + "\r\nc\r\n" + events[16:28] + "\r\n2\r\n\n\n\r\n0\r\nX-Trailer: a\r\n\r\n", false},
		"no length":  {cutHeads["no length"], "hello", true},
		"event list": {cutHeads["stream"], events, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, cuts := serveCuts(t)
			for end := range len(tc.body) {
				for _, reset := range []bool{false, true} {
					p := New(Config{})
					cuts <- cut{text: tc.head + "\r\n" + tc.body[:end], reset: reset}
					body, _, err := getBody(context.Background(), p, addr)
					p.Close()
					if tc.untilClose && !reset { // the close is the end
						is.NoErr(err)
						is.Equal(body, tc.body[:end])
						continue
					}
					is.True(err != nil)
					is.Equal(body, "")
				}
			}
		})
	}
}
