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

// BenchmarkConnectionMemory measures the heap and stack memory of one end of an open
// connection, half of what both ends take, and bounds the memory of maxHostConns
// connections.
func BenchmarkConnectionMemory(b *testing.B) {
	const conns = 100
	start := func(id string) *Transport {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		l, err := New(Config{Self: port.Member{ID: id}, Listener: ln, SharedKeys: [][]byte{[]byte(testKey)}})
		if err != nil {
			b.Fatal(err)
		}
		l.Handle("echo", func(_ context.Context, _ port.Member, p []byte) ([]byte, error) { return p, nil })
		l.Start()
		b.Cleanup(l.Close)
		return l
	}
	var perEnd float64
	for b.Loop() {
		hub := start("hub")
		var others []*Transport
		for range conns {
			others = append(others, start("other"))
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
