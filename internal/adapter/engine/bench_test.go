package engine

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// countingListener accepts connections that add the bytes sent and received to bytes.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startCountingServer serves h on a countingListener. It returns the base URL and
// the number of bytes sent and received so far on all connections.
func startCountingServer(b *testing.B, h http.Handler) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	bytes := new(atomic.Int64)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(countingListener{Listener: l, bytes: bytes}) }()
	b.Cleanup(func() { s.Close() })
	return "http://" + l.Addr().String(), bytes
}

// BenchmarkStateRead measures one read of an engine's state. The holder of an
// availability zone's lease reads the state of each engine of the zone.
func BenchmarkStateRead(b *testing.B) {
	e := standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e"), Model: "topo-drafter", Version: "2026-11-30", Role: "decode"})
	url, bytes := startCountingServer(b, e.Handler())
	c := New(Config{})
	b.Cleanup(c.Close)
	for b.Loop() {
		if _, err := c.State(b.Context(), release.Endpoint{URL: url}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
}

// BenchmarkCall measures one call of a pool, including the work of the stand-in.
func BenchmarkCall(b *testing.B) {
	p := standin.NewPool(warmBackend("p"))
	url, bytes := startCountingServer(b, p.Handler())
	c := New(Config{})
	b.Cleanup(c.Close)
	a := port.Attempt{
		ID:       "01JDXPK3M5A7Q8R9S0T1U2V3W4",
		Endpoint: release.Endpoint{URL: url},
		Service:  release.Service{Kind: release.KindPool},
		Stage:    release.Stage{Path: "/v1/encode"},
		Input:    []byte(`"the north face of Triglav"`),
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(b.Context(), a); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
}
