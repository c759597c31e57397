package peer

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxControlPlaneBytes is the operators' limit for a host's control plane memory.
	maxControlPlaneBytes = 32 << 20
	// maxHostConns is the number of connections of a host at the design size: to and
	// from each of the other hosts of a zone of 52, and as a relay to and from two
	// hosts of each of six other zones.
	maxHostConns = 2*51 + 2*12
)

// BenchmarkConnectionMemory measures the heap and stack memory of an open connection on
// one host, as half of what both of its ends take in this process. It fails if
// maxHostConns connections take more than maxControlPlaneBytes.
func BenchmarkConnectionMemory(b *testing.B) {
	const conns = 100
	startTransport := func(id string) *Transport {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		tr, err := New(Config{Self: port.Member{ID: id}, Listener: ln, SharedKeys: [][]byte{[]byte(testKey)}})
		if err != nil {
			b.Fatal(err)
		}
		tr.Handle("echo", func(_ context.Context, _ port.Member, p []byte) ([]byte, error) { return p, nil })
		tr.Start()
		b.Cleanup(tr.Close)
		return tr
	}
	var perEnd float64
	for b.Loop() {
		hub := startTransport("hub")
		var others []*Transport
		for range conns {
			others = append(others, startTransport("other"))
		}
		before := memoryInUse()
		for _, o := range others {
			if _, err := hub.Ask(b.Context(), o.Self().Address, "echo", nil); err != nil {
				b.Fatal(err)
			}
		}
		perEnd = float64(memoryInUse()-before) / conns / 2
	}
	b.ReportMetric(perEnd/1e3, "kB/connection")
	b.ReportMetric(perEnd*maxHostConns/1e6, "MB/host")
	if perEnd*maxHostConns > maxControlPlaneBytes {
		b.Errorf("%d connections take %.0f bytes, bound %d", maxHostConns, perEnd*maxHostConns, maxControlPlaneBytes)
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
