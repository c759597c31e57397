package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentorill/pimentorill/internal/testbed"
)

const (
	// The bounds on what an idle host uses for its control loop.
	maxIdleCorePercent = 4.4 // percent of a core
	maxIdleHeapBytes   = 32 << 20
	// idleWindow is the measured period without requests.
	idleWindow = 10 * time.Second
	// convergenceTime lets hosts discover each other before the measurement.
	convergenceTime = 5 * time.Second
)

// BenchmarkIdleControlLoop measures the CPU, memory and store use of hosts that
// get no requests, at several numbers of hosts in one process. The figures per host
// include a share of the stand-ins, which run in the same process.
func BenchmarkIdleControlLoop(b *testing.B) {
	for _, hosts := range []int{1, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				measureIdleHosts(b, hosts)
			}
		})
	}
}

func measureIdleHosts(b *testing.B, hosts int) {
	heapBefore := heapBytes()
	cluster := testbed.Start(b, testbed.Config{Hosts: hosts})
	time.Sleep(convergenceTime)
	before, cpuBefore := cluster.Store.Calls(), cpuTime()
	time.Sleep(idleWindow)
	after, cpuUsed := cluster.Store.Calls(), cpuTime()-cpuBefore
	hostSeconds := float64(hosts) * idleWindow.Seconds()
	corePercent := 100 * cpuUsed.Seconds() / hostSeconds
	heapPerHost := (float64(heapBytes()) - float64(heapBefore)) / float64(hosts)
	b.ReportMetric(corePercent, "core_percent/host")
	b.ReportMetric(maxIdleCorePercent, "bound_core_percent")
	b.ReportMetric(heapPerHost, "heap_bytes/host")
	b.ReportMetric(maxIdleHeapBytes, "bound_heap_bytes")
	b.ReportMetric(callsPerSecond(before.Reads(), after.Reads()), "store_reads/s")
	b.ReportMetric(callsPerSecond(before.Writes(), after.Writes()), "store_writes/s")
	b.ReportMetric(callsPerSecond(before.Watches, after.Watches), "store_watches/s")
	if corePercent > maxIdleCorePercent {
		b.Errorf("an idle host uses %.2f%% of a core, bound %.1f%%", corePercent, maxIdleCorePercent)
	}
	if heapPerHost > maxIdleHeapBytes {
		b.Errorf("an idle host uses %.0f bytes of heap, bound %d", heapPerHost, maxIdleHeapBytes)
	}
}

// callsPerSecond returns the rate over idleWindow of all hosts together.
func callsPerSecond(before, after int) float64 { return float64(after-before) / idleWindow.Seconds() }
