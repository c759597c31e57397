package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var simCustomers = []struct {
	name  string
	share int
}{{"large-a", 35}, {"large-b", 35}, {"small-c", 10}, {"small-d", 10}, {"small-e", 10}}

const (
	benchSeed = 7
	// minGoodput is the lower bound of the ratio of goodput at three times
	// capacity to goodput at capacity.
	minGoodput = 0.95
	// minCompliantAttainment is the lower bound of attainment for a customer
	// that stays within its share.
	minCompliantAttainment = 0.99
	// compliantUsage is the fraction of its share that a compliant customer
	// uses.
	compliantUsage = 0.8

	goodputDuration = 30 * time.Second
	shareDuration   = 45 * time.Second
	shareSeeds      = 4
	benchDuration   = 240 * time.Second
)

func simulateOverload(seed uint64, duration time.Duration, factor float64, fifo, staticLimit bool) loadStats {
	sim := newSimulation(seed, duration, fifo, staticLimit)
	for _, c := range simCustomers {
		sim.startArrivals(c.name, c.share, factor*simCapacity*float64(c.share)/100)
	}
	_, sum := sim.measure()
	return sum
}

func TestGoodputHoldsPastCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	goodput := map[float64]float64{}
	for _, factor := range []float64{0.7, 1.0, 1.5, 3.0} {
		got, fifo := simulateOverload(benchSeed, goodputDuration, factor, false, false), simulateOverload(benchSeed, goodputDuration, factor, true, true)
		goodput[factor] = got.goodput()
		t.Logf("load %.1f: %v; FIFO: %v", factor, got, fifo)
	}
	is.True(goodput[3.0] >= minGoodput*goodput[1.0])
}

func TestCustomersWithinTheirShareAttain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	small := []string{"small-c", "small-d", "small-e"}
	for _, compliant := range [][]string{small, {"large-a"}} {
		sums := map[string]*loadStats{}
		for seed := range uint64(shareSeeds) {
			for c, n := range simulateUnevenLoad(benchSeed+seed, shareDuration, compliant, 3.0, false) {
				n.add(sums[c])
				sums[c] = n
			}
		}
		for _, c := range compliant {
			t.Logf("%v within share: %s %v", compliant, c, *sums[c])
			is.True(sums[c].attainment() >= minCompliantAttainment)
		}
	}
}

// BenchmarkOverload prints the results at all loads over a longer duration.
func BenchmarkOverload(b *testing.B) {
	small := []string{"small-c", "small-d", "small-e"}
	for b.Loop() {
		for _, factor := range []float64{0.7, 1.0, 1.5, 3.0} {
			b.Logf("load %.1f: %v", factor, simulateOverload(benchSeed, benchDuration, factor, false, false))
			b.Logf("load %.1f, static limit: %v", factor, simulateOverload(benchSeed, benchDuration, factor, false, true))
			b.Logf("load %.1f, FIFO: %v", factor, simulateOverload(benchSeed, benchDuration, factor, true, true))
		}
		for _, compliant := range [][]string{small, {"large-a"}, {"small-c"}} {
			for _, factor := range []float64{1.5, 3.0} {
				got, fifo := simulateUnevenLoad(benchSeed, benchDuration, compliant, factor, false), simulateUnevenLoad(benchSeed, benchDuration, compliant, factor, true)
				for _, c := range compliant {
					b.Logf("load %.1f, %v within share: %s %v; FIFO: %v", factor, compliant, c, *got[c], *fifo[c])
				}
			}
		}
	}
}

// simulateUnevenLoad runs a simulation in which the compliant customers use
// compliantUsage of their share and the others bring the total load to factor
// times capacity.
func simulateUnevenLoad(seed uint64, duration time.Duration, compliant []string, factor float64, fifo bool) map[string]*loadStats {
	isCompliant := map[string]bool{}
	for _, c := range compliant {
		isCompliant[c] = true
	}
	remaining, otherShares := factor, 0.0
	for _, c := range simCustomers {
		share := float64(c.share) / 100
		if isCompliant[c.name] {
			remaining -= compliantUsage * share
			continue
		}
		otherShares += share
	}
	sim := newSimulation(seed, duration, fifo, false)
	for _, c := range simCustomers {
		share := float64(c.share) / 100
		rate := compliantUsage * share
		if !isCompliant[c.name] {
			rate = remaining * share / otherShares
		}
		sim.startArrivals(c.name, c.share, rate*simCapacity)
	}
	counts, _ := sim.measure()
	return counts
}
