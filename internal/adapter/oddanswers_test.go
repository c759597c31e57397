package adapter_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/adapter/hostlist"
	"github.com/pimentorill/pimentorill/internal/adapter/store"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// oddProxy passes requests on to a server, and changes its responses.
type oddProxy struct {
	server, address string

	mu sync.Mutex
	// status and field replace the status and add a line, unless they are empty.
	status, field string
	// early makes the proxy answer with last, without a length, and reset the connection, once it has read
	// a request's header.
	early bool
	last  []byte
}

func startOddProxy(t *testing.T, server string) *oddProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &oddProxy{server: server, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *oddProxy) set(status, field string, early bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status, p.field, p.early = status, field, early
}

func (p *oddProxy) serve(c *net.TCPConn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		p.mu.Lock()
		status, field, early, last := p.status, p.field, p.early, p.last
		p.mu.Unlock()
		if early {
			_, _ = c.Write(last)
			time.Sleep(20 * time.Millisecond) // the body fills the sockets
			_ = c.SetLinger(0)
			return
		}
		request.RequestURI, request.URL.Scheme, request.URL.Host = "", "http", p.server
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		response.Header.Del("Content-Length")
		var fields bytes.Buffer
		_ = response.Header.Write(&fields)
		if status == "" {
			status = response.Status
		}
		if field != "" {
			field += "\r\n"
		}
		p.mu.Lock()
		p.last = []byte("HTTP/1.1 " + response.Status + "\r\n" + fields.String() + "\r\n" + string(body))
		p.mu.Unlock()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, field, fields.String(), len(body), body); err != nil {
			return
		}
	}
}

// clientCalls are calls of all clients but those of other hosts, over proxies. Each takes an input of a
// number of bytes where it has one.
func clientCalls(t *testing.T) (calls map[string]func(context.Context, int) error, proxies map[string]*oddProxy) {
	t.Helper()
	mem, hosts, plain := standin.NewStore(standin.NewMemStore(nil)), standin.NewHostList(0), standin.NewPlain(standin.BackendConfig{Slots: 4}, standin.NewRunCounter())
	state := standin.NewEngine(standin.EngineConfig{BackendConfig: standin.BackendConfig{Slots: 4}})
	hosts.Set([]port.ListedHost{{ID: "edge-0"}})
	for _, s := range []interface {
		Start() error
		Close()
	}{mem, hosts, plain, state} {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
	}
	proxies = map[string]*oddProxy{"store": startOddProxy(t, mem.Address()), "host list": startOddProxy(t, strings.TrimPrefix(hosts.URL(), "http://")),
		"call": startOddProxy(t, strings.TrimPrefix(plain.URL(), "http://")), "state": startOddProxy(t, strings.TrimPrefix(state.URL(), "http://"))}
	own, list, engines := store.New(store.Config{Address: proxies["store"].address}), hostlist.New(proxies["host list"].address), engine.New(engine.Config{})
	t.Cleanup(func() { own.Close(); list.Close(); engines.Close() })
	written := 0
	return map[string]func(context.Context, int) error{
		"store": func(ctx context.Context, size int) error {
			written++
			_, err := own.CompareAndSwap(ctx, fmt.Sprint("key-", written), 0, bytes.Repeat([]byte("b"), size), 0)
			return err
		},
		"host list": func(ctx context.Context, _ int) error { _, err := list.Hosts(ctx); return err },
		"call": func(ctx context.Context, size int) error {
			input, _ := json.Marshal(strings.Repeat("b", size))
			_, err := engines.Call(ctx, port.Attempt{ID: "a", Endpoint: release.Endpoint{ID: "e", URL: "http://" + proxies["call"].address}, Service: release.Service{Name: "s", Kind: release.KindPlain},
				Stage: release.Stage{Path: "/v1/call"}, Input: input})
			return err
		},
		"state": func(ctx context.Context, _ int) error {
			_, err := engines.State(ctx, release.Endpoint{ID: "e", URL: "http://" + proxies["state"].address})
			return err
		},
	}, proxies
}

// TestOddAnswersAreNone guards against responses of other systems that no sound server sends and that
// pass for one.
func TestOddAnswersAreNone(t *testing.T) {
	calls, proxies := clientCalls(t)
	for name, call := range calls {
		for _, odd := range []struct{ status, field string }{{"", ""}, {"000 OK", ""}, {"099 OK", ""}, {"600 OK", ""}, {"", "X Odd: 1"}, {"", "X-Odd : 1"}, {"", "X\x01Odd: 1"}} {
			t.Run(fmt.Sprintf("%s %q", name, odd), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				proxies[name].set(odd.status, odd.field, false)
				err := call(ctx, 10)
				is.Equal(err == nil, odd.status == "" && odd.field == "")
			})
		}
	}
}

// TestResponseResetWithinAnUploadIsNotComplete guards against the beginning of a response without a length
// that passes for the whole one: the server resets the connection while the request is still being sent.
func TestResponseResetWithinAnUploadIsNotComplete(t *testing.T) {
	const longest = 16 << 20 // more than the sockets hold
	calls, proxies := clientCalls(t)
	for _, name := range []string{"store", "call"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			is.NoErr(calls[name](ctx, 10))
			proxies[name].set("", "", true)
			for range 10 {
				is.True(calls[name](ctx, longest) != nil)
			}
		})
	}
}
