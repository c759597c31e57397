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
	// minGoodput is the goodput at three times capacity against that at capacity.
	minGoodput = 0.95
	// minCompliantAttainment is the attainment of a customer within its share.
	minCompliantAttainment = 0.99
	// compliantUsage is the part of its share that such a customer uses.
	compliantUsage = 0.8

	goodputDuration = 30 * time.Second
	shareDuration   = 45 * time.Second
	shareSeeds      = 4
	benchDuration   = 240 * time.Second
)

func simulateOverload(seed uint64, span time.Duration, factor float64, plain, static bool) loadStats {
	b := newSimulation(seed, span, plain, static)
	for _, c := range simCustomers {
		b.startArrivals(c.name, c.share, factor*simCapacity*float64(c.share)/100)
	}
	_, sum := b.measure()
	return sum
}

func TestGoodputHoldsPastCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	goodput := map[float64]float64{}
	for _, factor := range []float64{0.7, 1.0, 1.5, 3.0} {
		got, plain := simulateOverload(benchSeed, goodputDuration, factor, false, false), simulateOverload(benchSeed, goodputDuration, factor, true, true)
		goodput[factor] = got.goodput()
		t.Logf("load %.1f: %v; plain: %v", factor, got, plain)
	}
	is.True(goodput[3.0] >= minGoodput*goodput[1.0])
}

func TestCustomersWithinTheirShareAttain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	small := []string{"small-c", "small-d", "small-e"}
	for _, calm := range [][]string{small, {"large-a"}} {
		sums := map[string]*loadStats{}
		for seed := range uint64(shareSeeds) {
			for c, n := range simulateUnevenLoad(benchSeed+seed, shareDuration, calm, 3.0, false) {
				n.add(sums[c])
				sums[c] = n
			}
		}
		for _, c := range calm {
			t.Logf("%v within share: %s %v", calm, c, *sums[c])
			is.True(sums[c].attainment() >= minCompliantAttainment)
		}
	}
}

// BenchmarkOverload prints the figures of all loads over a longer span.
func BenchmarkOverload(b *testing.B) {
	small := []string{"small-c", "small-d", "small-e"}
	for b.Loop() {
		for _, factor := range []float64{0.7, 1.0, 1.5, 3.0} {
			b.Logf("load %.1f: %v", factor, simulateOverload(benchSeed, benchDuration, factor, false, false))
			b.Logf("load %.1f, static limit: %v", factor, simulateOverload(benchSeed, benchDuration, factor, false, true))
			b.Logf("load %.1f, plain: %v", factor, simulateOverload(benchSeed, benchDuration, factor, true, true))
		}
		for _, calm := range [][]string{small, {"large-a"}, {"small-c"}} {
			for _, factor := range []float64{1.5, 3.0} {
				got, plain := simulateUnevenLoad(benchSeed, benchDuration, calm, factor, false), simulateUnevenLoad(benchSeed, benchDuration, calm, factor, true)
				for _, c := range calm {
					b.Logf("load %.1f, %v within share: %s %v; plain: %v", factor, calm, c, *got[c], *plain[c])
				}
			}
		}
	}
}

// overrun lets the calm customers use compliantUsage of their share and the
// others send so much that the sum is factor times capacity.
func simulateUnevenLoad(seed uint64, span time.Duration, calm []string, factor float64, plain bool) map[string]*loadStats {
	isCalm := map[string]bool{}
	for _, c := range calm {
		isCalm[c] = true
	}
	left, shares := factor, 0.0
	for _, c := range simCustomers {
		part := float64(c.share) / 100
		if isCalm[c.name] {
			left -= compliantUsage * part
			continue
		}
		shares += part
	}
	b := newSimulation(seed, span, plain, false)
	for _, c := range simCustomers {
		part := float64(c.share) / 100
		rate := compliantUsage * part
		if !isCalm[c.name] {
			rate = left * part / shares
		}
		b.startArrivals(c.name, c.share, rate*simCapacity)
	}
	counts, _ := b.measure()
	return counts
}
