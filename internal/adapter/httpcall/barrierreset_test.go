package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// resetConn is a connection that was reset after its server had sent a text, in parts. A write after
// the first one gets the error of the reset; reads get the parts and then the end, as from a socket.
type resetConn struct {
	net.Conn
	parts  []string
	writes int
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, syscall.ECONNRESET
	}
	return len(p), nil
}

func (c *resetConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	c.parts = c.parts[1:]
	return n, nil
}

func (c *resetConn) Close() error                    { return nil }
func (c *resetConn) SetReadDeadline(time.Time) error { return nil }

// TestResetSeenByABarrierRequestIsNoEnd guards against the beginning of a response without a length
// that passes for the whole one: a barrier request was written when the connection had been reset.
func TestResetSeenByABarrierRequestIsNoEnd(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	p.release("server", newConn(&resetConn{parts: []string{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\npart"}}))
	write := func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err }
	_, err := p.Exchange(context.Background(), "server", false, Call{
		Write: write,
		Matches: func(resp *fasthttp.Response, _ bool) Match {
			if len(resp.Header.Peek("X-Id")) > 0 {
				return MatchOwn
			}
			return MatchUnknown
		},
		Barrier: &Barrier{Write: write, IsRefusal: func(resp *fasthttp.Response) bool { return resp.StatusCode() == 503 }, IsAnswer: func(resp *fasthttp.Response) bool { return resp.StatusCode() == 421 },
			NamesRefusals: func() bool { return false }, OwnAfterEnd: func() bool { return false }},
		Read: func(resp *fasthttp.Response) error {
			body, err := ReadBody(resp, 100)
			is.True(!strings.Contains(string(body), "part"))
			return err
		},
	})
	is.True(err != nil)
}
