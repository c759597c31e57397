package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentorill/pimentorill/internal/testbed"
)

const (
	// Upper bounds on what an idle host spends on its control loop.
	maxIdleCorePercent = 4.4      // percent of a core
	maxIdleHeapBytes   = 32 << 20 // bytes
	// idleWindow is the measured period without requests.
	idleWindow = 10 * time.Second
	// convergenceTime lets hosts discover each other before the measurement.
	convergenceTime = 5 * time.Second
)

// BenchmarkIdleControlLoop measures the CPU, memory and store use of hosts that
// get no requests, at several numbers of hosts in one process.
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
	before, cpu := cluster.Store.Calls(), cpuTime()
	time.Sleep(idleWindow)
	after, used := cluster.Store.Calls(), cpuTime()-cpu
	perHost := float64(hosts) * idleWindow.Seconds()
	core := 100 * used.Seconds() / perHost
	memory := (float64(heapBytes()) - float64(heapBefore)) / float64(hosts)
	b.ReportMetric(core, "core_percent/host")
	b.ReportMetric(maxIdleCorePercent, "bound_core_percent")
	b.ReportMetric(memory, "heap_bytes/host")
	b.ReportMetric(maxIdleHeapBytes, "bound_heap_bytes")
	b.ReportMetric(callsPerSecond(before.Reads(), after.Reads()), "store_reads/s")
	b.ReportMetric(callsPerSecond(before.Writes(), after.Writes()), "store_writes/s")
	b.ReportMetric(callsPerSecond(before.Watches, after.Watches), "store_watches/s")
	if core > maxIdleCorePercent {
		b.Errorf("an idle host uses %.2f%% of a core, bound %.1f%%", core, maxIdleCorePercent)
	}
	if memory > maxIdleHeapBytes {
		b.Errorf("an idle host uses %.0f bytes of heap, bound %d", memory, maxIdleHeapBytes)
	}
}

func callsPerSecond(before, after int) float64 { return float64(after-before) / idleWindow.Seconds() }
