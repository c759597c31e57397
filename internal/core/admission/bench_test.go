package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// simCustomers are the customers of the simulations. Their shares add up to
// 100.
var simCustomers = []struct {
	name  string
	share int
}{{"large-a", 35}, {"large-b", 35}, {"small-c", 10}, {"small-d", 10}, {"small-e", 10}}

const (
	benchSeed = 7
	// minGoodput is the lower bound of the ratio of goodput at three times
	// capacity to goodput at capacity.
	minGoodput = 0.95
	// minCompliantAttainment is the lower bound of attainment, the fraction of
	// requests completed before their deadline, for a customer that stays within
	// its share.
	minCompliantAttainment = 0.99
	// compliantUsage is the fraction of its share that a compliant customer
	// uses.
	compliantUsage = 0.8

	// The durations are in virtual time and exclude the warm-up.
	goodputDuration = 30 * time.Second
	shareDuration   = 45 * time.Second
	// shareSeeds is the number of simulations, each with its own seed, whose
	// results are added up.
	shareSeeds    = 4
	benchDuration = 240 * time.Second
)

// simulateOverload runs a simulation in which each customer sends its share of
// factor times the capacity, and returns the totals.
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
			for c, stats := range simulateUnevenLoad(benchSeed+seed, shareDuration, compliant, 3.0, false) {
				stats.add(sums[c])
				sums[c] = stats
			}
		}
		for _, c := range compliant {
			t.Logf("%v within share: %s %v", compliant, c, *sums[c])
			is.True(sums[c].attainment() >= minCompliantAttainment)
		}
	}
}

// BenchmarkOverload logs the results with admission control, with a static
// limit and with plain FIFO queues over a longer duration.
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
	otherLoad, otherShareSum := factor, 0.0
	for _, c := range simCustomers {
		share := float64(c.share) / 100
		if isCompliant[c.name] {
			otherLoad -= compliantUsage * share
			continue
		}
		otherShareSum += share
	}
	sim := newSimulation(seed, duration, fifo, false)
	for _, c := range simCustomers {
		share := float64(c.share) / 100
		rate := compliantUsage * share
		if !isCompliant[c.name] {
			rate = otherLoad * share / otherShareSum
		}
		sim.startArrivals(c.name, c.share, rate*simCapacity)
	}
	stats, _ := sim.measure()
	return stats
}
