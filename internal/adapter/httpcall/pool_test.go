package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// getBody sends one GET request over the pool and returns the body and the number
// of bytes sent.
func getBody(ctx context.Context, p *Pool, addr string) (string, int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/")
	var body []byte
	sent, err := p.Do(ctx, addr, req, false, func(resp *fasthttp.Response) error {
		var err error
		body, err = ReadBody(resp, 1<<10)
		return err
	})
	return string(body), sent, err
}

func TestConnectionsAreReusedUntilServerClosesThem(t *testing.T) {
	is := is.New(t)
	opened := make(chan struct{}, 10)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened <- struct{}{}
		}
	}
	s.Start()
	defer s.Close()
	p := New(Config{})
	defer p.Close()
	addr := s.Listener.Addr().String()
	for range 3 {
		body, sent, err := getBody(t.Context(), p, addr)
		is.NoErr(err)
		is.Equal(body, "ok")
		is.True(sent > 0)
	}
	is.Equal(len(opened), 1)   // three calls used one connection
	s.CloseClientConnections() // the pool must notice and open a second connection
	_, _, err := getBody(t.Context(), p, addr)
	is.NoErr(err)
	is.Equal(len(opened), 2)
}

// TestResponseThatArrivesBetweenTwoCallsIsNotThatOfTheNext guards against a call that gets a response
// which the server sent to none, while the connection was idle.
func TestResponseThatArrivesBetweenTwoCallsIsNotThatOfTheNext(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	stray := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
					if _, ok := <-stray; ok {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
						sent <- struct{}{}
					}
				}
			}()
		}
	}()
	p := New(Config{})
	defer p.Close()
	for range 3 {
		body, _, err := getBody(t.Context(), p, l.Addr().String())
		is.NoErr(err)
		is.Equal(body, "own")
		stray <- struct{}{}
		<-sent
		time.Sleep(20 * time.Millisecond) // the response arrives
	}
	close(stray)
}

// TestNothingIsWrittenAfterDeadline simulates a process that is paused between the
// check of the context and the write while the deadline passes.
func TestNothingIsWrittenAfterDeadline(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	c := &conn{Conn: client, writeDeadline: time.Now().Add(-time.Nanosecond)}
	n, err := c.Write([]byte("order"))
	is.Equal(n, 0)
	is.Equal(c.bytesSent, 0)
	is.Equal(err, context.DeadlineExceeded)
}
