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

// BenchmarkReleaseAtDesignSize measures what one release change costs a host: the
// CPU time to decode a release of the design size, and the memory that the release
// uses. It fails if the store does not accept a value of that size.
func BenchmarkReleaseAtDesignSize(b *testing.B) {
	data, err := DesignStored().Encode()
	if err != nil {
		b.Fatal(err)
	}
	decoded := make([]release.StoredRelease, 0, b.N)
	before := heapBytes()
	cpu := cpuTime()
	b.ResetTimer()
	for range b.N {
		s, err := release.DecodeStored(data)
		if err != nil {
			b.Fatal(err)
		}
		decoded = append(decoded, s)
	}
	b.StopTimer()
	used := cpuTime() - cpu
	perRelease := (float64(heapBytes()) - float64(before)) / float64(b.N)
	runtime.KeepAlive(decoded)
	b.ReportMetric(float64(len(data)), "stored_bytes")
	b.ReportMetric(float64(deflatedSize(b, data)), "deflated_bytes")
	b.ReportMetric(perRelease, "heap_bytes")
	b.ReportMetric(float64(DesignNotes)*used.Seconds()/float64(b.N)/(24*time.Hour).Seconds()*100, "core_percent_at_570_a_day")
	if len(data) > port.MaxValueBytes {
		b.Errorf("the release is %d bytes, the store's limit is %d", len(data), port.MaxValueBytes)
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func deflatedSize(b *testing.B, data []byte) int {
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
