package standin

import (
	"runtime"
	"time"
)

// PeakLiveHeap samples the live heap until the returned function is called, which returns by how many
// bytes it exceeded that at the start. Each sample collects garbage.
func PeakLiveHeap() func() int64 {
	live := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	start, peak := live(), int64(0)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				peak = max(peak, live()-start)
			}
		}
	}()
	return func() int64 {
		close(done)
		<-ended
		return peak
	}
}
