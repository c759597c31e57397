package bench

import (
	"bytes"
	"compress/flate"
	"runtime"
	"testing"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// BenchmarkReleaseAtDesignSize measures what one change costs a host: reading
// the release of the design size, and the memory that it takes.
func BenchmarkReleaseAtDesignSize(b *testing.B) {
	data, err := DesignStored().Encode()
	if err != nil {
		b.Fatal(err)
	}
	kept := make([]release.StoredRelease, 0, b.N)
	before := heap()
	cpu := processorTime()
	b.ResetTimer()
	for range b.N {
		s, err := release.DecodeStored(data)
		if err != nil {
			b.Fatal(err)
		}
		kept = append(kept, s)
	}
	b.StopTimer()
	used := processorTime() - cpu
	perRelease := (float64(heap()) - float64(before)) / float64(b.N)
	runtime.KeepAlive(kept)
	b.ReportMetric(float64(len(data)), "stored_bytes")
	b.ReportMetric(float64(compressed(b, data)), "deflated_bytes")
	b.ReportMetric(perRelease, "heap_bytes")
	b.ReportMetric(float64(DesignNotes)*used.Seconds()/float64(b.N)/(24*time.Hour).Seconds()*100, "core_percent_at_570_a_day")
	if len(data) > port.MaxValueBytes {
		b.Errorf("the release takes %d bytes, the store holds %d", len(data), port.MaxValueBytes)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func compressed(b *testing.B, data []byte) int {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return out.Len()
}
