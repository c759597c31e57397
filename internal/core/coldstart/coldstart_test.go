package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testHosts   = 4
	requestRate = 5.0
	// faultsPerRun and maxFaultInterval make a history of about three minutes.
	faultsPerRun     = 25
	maxFaultInterval = 16 * time.Second
	maxPause         = 40 * time.Second
)

// TestColdEndpointStaysWithinItsLimit drives hosts that are paused,
// replaced and cut off, with messages lost and late and an endpoint that
// restarts. Each host's first attempt after a restart of the endpoint finds
// its connection closed, so none meets the new process unannounced.
func TestColdEndpointStaysWithinItsLimit(t *testing.T) {
	var worked, warmed int
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestFleet(rapid.Uint64().Draw(rt, "seed"), testHosts)
		f.chooseConditions()
		for _, h := range f.hosts {
			f.startLoad(h, requestRate)
		}
		restarts := f.rng.Float64()
		for range faultsPerRun {
			f.loop.RunUntil(f.loop.Now().Add(time.Duration(f.rng.Int64N(int64(maxFaultInterval)))))
			f.injectFault(restarts)
			if f.server.overloads > 0 {
				rt.Fatalf("cold endpoint held %d at a time, its limit is %d", f.server.maxCold, testEndpoint.ColdLimit)
			}
		}
		worked += f.server.answeredTotal
		warmed += f.server.coldStartsEnded
	})
	t.Logf("%d attempts answered, %d cold starts ended", worked, warmed)
	is.New(t).True(warmed > 0)
}

// disturb chooses how bad the history's network and work are.
func (f *testFleet) chooseConditions() {
	f.lossRate = []float64{0, 0.02, 0.2}[f.rng.IntN(3)]
	f.maxDelay = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}[f.rng.IntN(3)]
	f.maxPermitSlack = []time.Duration{2 * time.Second, MaxPermitLifetime - attemptDeadline}[f.rng.IntN(2)]
	f.server.closeRate = []float64{0, 0.05}[f.rng.IntN(2)]
	f.hangRate = []float64{0, 0.05, 0.5}[f.rng.IntN(3)]
	f.misroutedRate = []float64{0, 0.05, 0.25}[f.rng.IntN(3)]
}

// inject restarts the endpoint, or brings a fault of a host about.
func (f *testFleet) injectFault(restarts float64) {
	if f.rng.Float64() < restarts {
		f.server.restart()
		return
	}
	i := f.rng.IntN(testHosts)
	h := f.hosts[i]
	if f.holder != nil && f.rng.IntN(2) == 0 {
		h = f.holder
	}
	pause := time.Duration(f.rng.Int64N(int64(maxPause)))
	switch f.rng.IntN(4) {
	case 0:
		h.pausedUntil = f.loop.Now().Add(pause)
	case 1:
		h.pausedUntil = f.loop.Now().Add(pause / 8)
	case 2:
		if h.clockLag == 0 {
			h.clockLag = min(pause, MaxLeaseOverlap)
			h.pausedUntil = f.loop.Now().Add(h.clockLag)
		}
	default:
		f.replaceHost(i, requestRate)
	}
}

func TestRestartedEndpointWarmsUpWithinItsLimit(t *testing.T) {
	is := is.New(t)
	ramp, plain := runWarmUp(t, testHosts, false), runWarmUp(t, testHosts, true)
	is.Equal(ramp.server.overloads, 0)
	is.Equal(ramp.server.lostAttempts, 0)
	is.True(!ramp.server.cold)
	is.True(plain.server.overloads > 0)
	is.True(ramp.server.answeredTotal > plain.server.answeredTotal)
}

// BenchmarkWarmUp prints the warm-up with more hosts at the same load.
func BenchmarkWarmUp(b *testing.B) {
	for b.Loop() {
		for _, hosts := range []int{2, 4, 8, 16, 32} {
			runWarmUp(b, hosts, false)
		}
	}
}

// runWarmUp lets hosts meet a cold endpoint that dies of too much work.
func runWarmUp(t testing.TB, hosts int, plain bool) *testFleet {
	f := newTestFleet(5, hosts)
	f.unlimited = plain
	f.server.restartsOnOverload = true
	for _, h := range f.hosts {
		f.startLoad(h, requestRate*testHosts/float64(hosts))
	}
	start := f.loop.Now()
	f.loop.RunUntil(start.Add(time.Minute))
	warm := "never"
	if !f.server.cold {
		warm = f.server.warmAt.Sub(start).Round(10 * time.Millisecond).String()
	}
	t.Logf("%d hosts, plain %v: warm after %s and %d asks, %d answered, %d lost in %d restarts, %d turned away",
		hosts, plain, warm, f.requests, f.server.answeredTotal, f.server.lostAttempts, f.server.incarnation, f.rejected)
	return f
}
